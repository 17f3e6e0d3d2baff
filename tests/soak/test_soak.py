"""A short soak of real processes, and the seeds that ever found a fault."""

import pytest

from soak import main

SHORT_SECONDS = 5.0
SEEDS = (11,)
# Seed, its length, and what it found when it failed.
REGRESSIONS: tuple[tuple[int, float, str], ...] = ()


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_in_a_short_soak(seed):
    assert main.soak(seed, SHORT_SECONDS, main.ROOT / "src") == []


@pytest.mark.parametrize(("seed", "seconds", "cause"), REGRESSIONS)
def test_a_seed_that_once_found_a_fault_finds_none(seed, seconds, cause):
    assert main.soak(seed, seconds, main.ROOT / "src") == [], cause
