"""Tests that changes between route tables make exactly the later one."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest
from tests.core import routed_fleet

from agateshelf.core.routes import changes
from agateshelf.core.routes import models

NAMES = [f"n{n}" for n in range(6)]
ITEMS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES), strategies.integers(1, 3)
    ),
    max_size=6,
    unique_by=lambda item: item[0],
)


def create_table(version, routes, workspaces):
    table = routed_fleet.create_table(
        version,
        *(
            routed_fleet.create_route(name=name, prefix=f"/{name}/", priority=n)
            for name, n in [("first", 1), *routes]
        ),
    )
    created = tuple(
        models.Workspace(name, tuple(f"{name}-{k}" for k in range(n)))
        for name, n in workspaces
    )
    return dataclasses.replace(table, workspaces=created, revision=version)


@hypothesis.given(ITEMS, ITEMS, ITEMS, ITEMS)
def test_changes_make_the_later_table(routes, later_routes, spaces, later):
    base = create_table(1, routes, spaces)
    table = create_table(2, later_routes, later)
    found = changes.between(base, table)
    if found is not None:
        assert changes.apply(base, found) == table
    kept = [name for name, _ in routes if name in dict(later_routes)]
    kept_later = [name for name, _ in later_routes if name in dict(routes)]
    if spaces == later and kept == kept_later:
        assert found is not None


def test_a_change_of_one_workspace_is_small():
    spaces = [(f"w{n}", 2) for n in range(88)]
    routes = [(f"r{n}", 1) for n in range(1400)]
    base = create_table(1, routes, spaces)
    table = create_table(2, routes, [("w0", 3), *spaces[1:]])
    found = changes.between(base, table)
    assert not found.routes
    assert [one.name for one in found.workspaces] == ["w0"]
    assert changes.size_of(found) < 1000


def test_changes_apply_to_no_other_table():
    base = create_table(1, [("n1", 1)], [])
    found = changes.between(base, create_table(2, [("n1", 2)], []))
    written_again = dataclasses.replace(base, revision=7)
    assert changes.apply(written_again, found) is None


@pytest.mark.parametrize(
    "changed",
    [{"workspaces": None}, {"format": 0}, {"revision": 0}],
)
def test_tables_that_changes_dont_describe(changed):
    base = create_table(1, [], [("w0", 1)])
    other = dataclasses.replace(base, **changed)
    table = create_table(2, [], [("w0", 1)])
    assert changes.between(other, table) is None


def test_equal_items_are_shared():
    base = create_table(1, [("n1", 1), ("n2", 1)], [("w0", 1)])
    table = create_table(2, [("n1", 1), ("n2", 2)], [("w0", 1)])
    shared = changes.share_items(table, base)
    assert shared == table
    assert shared.routes[1] is base.routes[1]
    assert shared.routes[2] is not base.routes[2]
    assert shared.workspaces[0] is base.workspaces[0]
