"""Fixtures: a fleet of eight entries in virtual time, and its operators."""

import pytest
from tests.core.configuration import operators as helpers

from bench import fleet as fleets


@pytest.fixture
def fleet():
    created = fleets.create_fleet(8, seed=5)
    created.run_for(10.0)
    return created


@pytest.fixture
def operators(fleet):
    return helpers.Operators(fleet)
