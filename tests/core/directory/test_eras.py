"""Registrations after the store came back from an older copy."""

import pytest
from tests.core import routed_fleet

from agateshelf.core import positions
from agateshelf.core.directory import handling
from agateshelf.core.directory import models


def at(era, revision):
    return positions.position_of(era, revision)


def create_target(revision, *, sequence, draining=False, born=None):
    return routed_fleet.create_target(
        "t0", revision, sequence=sequence, draining=draining, born=born
    )


@pytest.fixture
def directory():
    return models.DirectoryState()


def test_positions_order_by_era_and_then_by_revision():
    ordered = [at(0, 0), at(0, 900), at(1, 3), at(1, 4), at(7, 1)]
    assert ordered == sorted(ordered)
    assert positions.era_of(at(7, 12)) == 7
    assert positions.revision_of(at(7, 12)) == 12


def test_a_later_registration_with_a_lower_revision_is_adopted(directory):
    handling.adopt(directory, [create_target(at(0, 90), sequence=5)])
    later = create_target(at(1, 60), sequence=8, draining=True)
    assert handling.adopt(directory, [later]) == [later]


def test_a_target_that_drains_is_not_ready_again_by_an_older_copy(directory):
    handling.adopt(
        directory, [create_target(at(0, 90), sequence=5, draining=True)]
    )
    older = create_target(at(1, 60), sequence=3)
    assert handling.adopt(directory, [older]) == []
    assert directory.targets["t0"].draining
    # What is known now counts as of the copy, so that its removal applies.
    removal = models.Removal("t0", at(1, 61))
    assert handling.adopt(directory, [removal]) == [removal]


def test_a_target_that_left_does_not_come_back_by_an_older_copy(directory):
    handling.adopt(directory, [create_target(at(0, 90), sequence=5)])
    handling.adopt(directory, [models.Removal("t0", at(0, 95))])
    older = create_target(at(1, 60), sequence=5)
    assert handling.adopt(directory, [older]) == []
    assert "t0" not in directory.targets


@pytest.mark.parametrize(
    "back",
    [
        create_target(at(1, 62), sequence=6),
        create_target(at(1, 62), sequence=1, born=2000),
    ],
)
def test_a_target_that_registers_again_comes_back(directory, back):
    handling.adopt(directory, [create_target(at(0, 90), sequence=5)])
    handling.adopt(directory, [models.Removal("t0", at(0, 95))])
    assert handling.adopt(directory, [back]) == [back]


def test_within_an_era_the_revision_alone_decides(directory):
    handling.adopt(directory, [create_target(at(1, 60), sequence=5)])
    later = create_target(at(1, 61), sequence=2)
    assert handling.adopt(directory, [later]) == [later]
