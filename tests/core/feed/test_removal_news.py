"""Tests of what entries log of removals, and of how old they were."""

import dataclasses

from tests.core import routed_fleet

from agateshelf.core.directory import models as directory_models

DOMAINS = ("boston", "boston", "hartford")


def lines(fleet, event):
    """Return the details of all log lines of an event, by entry."""
    return [
        (node.name, dict(effect.details))
        for node in fleet.nodes.values()
        for _, effect in node.notes
        if effect.event == event
    ]


def ages(fleet, target):
    return [
        details["age"]
        for _, details in lines(fleet, "target.registration")
        if details["target"] == target and details["state"] != "ready"
    ]


def test_entries_log_how_old_a_removal_was():
    fleet = routed_fleet.create_fleet(DOMAINS)
    fleet.change(directory_models.Removal("t0", 0))
    fleet.run_for(0.1)
    # A watch was pending, so that it can't have been older.
    assert len(ages(fleet, "t0")) == len(DOMAINS)
    assert all(0 < age <= 0.51 for age in ages(fleet, "t0"))


def test_the_age_includes_the_pause_before_the_next_watch():
    fleet = routed_fleet.create_fleet(DOMAINS)
    fleet.change(fleet.items["t1"])
    fleet.run_for(0.1)
    fleet.change(fleet.items["t1"])
    leaving = dataclasses.replace(fleet.items["t0"], draining=True)
    fleet.change(leaving)
    fleet.run_for(1.0)
    assert len(ages(fleet, "t0")) == len(DOMAINS)
    assert all(0.1 < age <= 0.7 for age in ages(fleet, "t0"))


def test_a_held_removal_is_logged_with_its_reason():
    fleet = routed_fleet.create_fleet(DOMAINS)
    removals = [directory_models.Removal(name, 0) for name in fleet.items]
    fleet.change(*removals)
    fleet.run_for(2.0)
    held = lines(fleet, "target.removal_held")
    # Each of the two readers holds all three.
    assert len(held) == 2 * len(removals)
    assert {details["reason"] for _, details in held} == {"many"}
    assert all(0 < details["seconds"] <= 1.4 for _, details in held)
    # The age counts from when it was made, and not from when it was read.
    assert all(age >= 1.4 for age in ages(fleet, "t1"))
