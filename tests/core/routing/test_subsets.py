"""Tests of subsetting: even shares and few groups per entry."""

import collections
import random

import hypothesis
from hypothesis import strategies as st

from agateshelf.core.routing import models
from agateshelf.core.routing import subsets

_DRAWS = 400


def draws(entries, groups, rank):
    """Return the number of times that an entry draws each group."""
    routing = models.RoutingState(
        failure_domains=dict.fromkeys(
            (f"e{n}" for n in range(entries)), "boston"
        ),
        rank=rank,
    )
    rng = random.Random(rank)
    return collections.Counter(
        subsets.draw_group(routing, groups, rng) for _ in range(_DRAWS)
    )


@hypothesis.given(entries=st.integers(1, 400), groups=st.integers(1, 480))
def test_each_point_is_covered_by_the_same_number_of_entries(entries, groups):
    arc = subsets.arc_steps(entries, groups)
    covers = collections.Counter(
        (rank + step) % entries
        for rank in range(entries)
        for step in range(arc)
    )
    assert set(covers.values()) == {arc}


def test_groups_get_even_shares_and_entries_few_groups():
    entries, groups = 250, 478
    total = collections.Counter()
    for rank in range(entries):
        mine = draws(entries, groups, rank)
        assert len(mine) <= 8
        total.update(mine)
    mean = entries * _DRAWS / groups
    assert len(total) == groups
    assert max(total.values()) < 1.35 * mean
    assert min(total.values()) > 0.65 * mean


def test_all_entries_use_all_groups_of_a_small_service():
    for rank in range(14):
        assert set(draws(14, 2, rank)) == {0, 1}
