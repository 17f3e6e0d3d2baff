"""Tests of authentication by bearer token."""

import hashlib

from agateshelf.daemon.administration import authorization
from agateshelf.documents import teams

TOKEN = b"a-token-of-harborline"
DIGEST = hashlib.sha256(TOKEN).hexdigest()
TEAMS = {
    "harborline": teams.TeamDocument(
        tokens=(
            teams.TokenDocument(
                name="desk", sha256=DIGEST, right=teams.Right.CHANGE
            ),
        )
    )
}


def bearer_headers(token):
    return ((b"authorization", b"Bearer " + token),)


def test_known_token_authenticates_its_team():
    principal = authorization.authenticate(bearer_headers(TOKEN), (), TEAMS)
    assert principal == authorization.Principal(
        "harborline", "desk", teams.Right.CHANGE
    )
    assert principal.has_right(teams.Right.READ)
    assert not principal.has_right(teams.Right.ADMINISTER)


def test_unknown_or_missing_token_is_rejected():
    assert (
        authorization.authenticate(bearer_headers(b"guess"), (), TEAMS) is None
    )
    assert authorization.authenticate((), (), TEAMS) is None


def test_token_of_the_settings_grants_administration():
    operators = hashlib.sha256(b"root").hexdigest()
    principal = authorization.authenticate(
        bearer_headers(b"root"), (operators,), TEAMS
    )
    assert principal.has_right(teams.Right.ADMINISTER)


def test_without_configured_tokens_everyone_is_administrator():
    principal = authorization.authenticate((), (), {})
    assert principal.team == authorization.LOCAL_TEAM
