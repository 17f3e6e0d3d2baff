"""Soak tests of real processes: a short one, and seeds that failed before."""

import pytest

from soak import main

# Seed, duration of the fault phase in seconds, and why an earlier run failed.
SEEDS = (
    (11, 5.0, "no failure so far: the short soak test of each CI run"),
    (511, 10.0, "the soak held targets for leaving that had started again"),
    (
        732,
        10.0,
        "the soak held cut entries to serve while all others were dead",
    ),
    (730, 10.0, "the soak delivered what a cut had held after it was given up"),
    (438, 10.0, "the soak held targets for limited that had ended before"),
)


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_no_invariant_is_violated_by_a_seed(seed, seconds, cause):
    assert main.run_seed(seed, seconds, main.ROOT / "src") == [], cause
