"""Tests of the changes that a team may make to the configuration."""

import pytest

from agateshelf import exceptions
from agateshelf.documents import check
from agateshelf.documents import configuration
from agateshelf.documents import rights

DIGEST = "0" * 64


def create_document(**services):
    teams = {
        "platform": {
            "tokens": [
                {"name": "root", "sha256": DIGEST, "right": "administer"}
            ]
        },
        "harborline": {"probe_rate": 50},
        "tsagaan": {},
    }
    value = {"version": 1, "services": services, "teams": teams}
    return check.check_value(configuration.ConfigurationDocument, value)


def service(team, prefix, **policy):
    return {"team": team, "prefix": prefix, **policy}


RECALL = service("harborline", "/recall/")
GRADES = service("tsagaan", "/grades/")


def test_team_may_change_its_own_service():
    before = create_document(recall=RECALL, grades=GRADES)
    after = create_document(recall={**RECALL, "timeout": 2}, grades=GRADES)
    rights.check_change("harborline", before, after)


@pytest.mark.parametrize(
    "services",
    [
        {"recall": RECALL, "grades": {**GRADES, "callers": {"yard": {}}}},
        {"recall": RECALL},
        {"recall": RECALL, "grades": {**GRADES, "team": "harborline"}},
        {"recall": {**RECALL, "team": "tsagaan"}, "grades": GRADES},
        {
            "recall": RECALL,
            "grades": GRADES,
            "taken": service("harborline", "/grades/best/"),
        },
        {"recall": {**RECALL, "probe_rate": 51}, "grades": GRADES},
    ],
    ids=["share", "delete", "take", "give", "prefix", "probes"],
)
def test_team_may_not_change_what_it_does_not_own(services):
    before = create_document(recall=RECALL, grades=GRADES)
    after = create_document(**services)
    with pytest.raises(rights.ForbiddenError):
        rights.check_change("harborline", before, after)


def test_service_of_unlisted_team_is_rejected():
    with pytest.raises(exceptions.DocumentError, match="not listed"):
        create_document(recall=service("nobody", "/recall/"))
