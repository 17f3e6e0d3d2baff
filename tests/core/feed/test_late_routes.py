"""Tests that changes of large configurations are in force in time.

Guards against routes that wait for links which all versions share, and against
refusals for good by entries that such routes have not reached.
"""

import dataclasses

import pytest
from tests.builds import mixed_fleet
from tests.core import routed_fleet
from tests.core.feed import linked_fleet

from agateshelf.core.routes import models as route_models


def test_changes_of_a_large_configuration_are_in_force_in_time():
    fleet = linked_fleet.LinkedFleet()
    fleet.store_seconds = 0.3
    fleet.write_version(3, routes=1400)
    behind = fleet.entries_behind(3.0)
    for version in range(4, 10):
        fleet.write_version(version, routes=1400)
        behind |= fleet.entries_behind(0.5)
    behind |= fleet.entries_behind(4.0)
    assert not behind


@pytest.mark.parametrize("routes", [4, 300])
def test_versions_in_a_row_are_in_force_in_time(routes):
    fleet = linked_fleet.LinkedFleet()
    behind = set()
    for version in range(3, 13):
        fleet.write_version(version, routes=routes)
        behind |= fleet.entries_behind(0.25)
    behind |= fleet.entries_behind(4.0)
    assert not behind


def test_no_request_goes_to_the_service_before_once_routes_are_due():
    fleet = linked_fleet.LinkedFleet(48)
    fleet.store_seconds = 0.3
    fleet.change(
        routed_fleet.create_target("t222", service="archive", slots=900)
    )
    fleet.run_for(1.0)
    table = linked_fleet.create_table(3, routes=1400)
    share = route_models.Share("archive", 1.0)
    moved = dataclasses.replace(table.routes[0], shares=(share,))
    routes = (moved, *table.routes[1:])
    fleet.change(table=dataclasses.replace(table, routes=routes))
    fleet.run_for(linked_fleet.IN_FORCE_SECONDS)
    fleet.sends.clear()
    key = linked_fleet.digest_of("key-3")
    calls = []
    for name in fleet.nodes:
        calls.append(fleet.request(name, key_digest=key))
        fleet.run_for(0.1)
    assert {fleet.response(call)[0] for call in calls[:-5]} == {"answer"}
    assert set(fleet.sends) == {"t222"}


class MixedFleet(mixed_fleet.OldBuilds, linked_fleet.LinkedFleet):
    """A fleet in which some entries are of an earlier build."""


@pytest.mark.parametrize("old", [range(3), range(3, 9), range(9)])
def test_entries_of_an_earlier_build_get_routes_in_time(old):
    fleet = MixedFleet(12)
    for n in old:
        fleet.replace(list(fleet.nodes)[n], is_old=True)
        fleet.run_for(0.2)
    fleet.run_for(4.0)
    for version in range(3, 6):
        fleet.write_version(version, routes=100)
        assert not fleet.entries_behind(3.0)
