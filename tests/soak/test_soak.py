"""Soak tests of real processes: a short one, and seeds that once failed."""

import pytest

from soak import main

# Seed, duration of the fault phase in seconds, and the cause of its failure.
SEEDS = ((11, 5.0, "no failure so far: the short run of each CI"),)


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_no_invariant_is_violated_by_a_seed(seed, seconds, cause):
    assert main.soak(seed, seconds, main.ROOT / "src") == [], cause
