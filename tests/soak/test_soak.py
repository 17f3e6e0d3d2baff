"""A short soak of real processes, and the seeds that ever found a fault."""

import pytest

from soak import main

# Seed, its length in seconds, and what it found when it failed.
SEEDS = ((11, 5.0, "nothing: the short soak of every run"),)


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_no_promise_is_broken_by_a_seed(seed, seconds, cause):
    assert main.soak(seed, seconds, main.ROOT / "src") == [], cause
