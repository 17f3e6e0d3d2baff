"""Measures quotas in virtual time: messages, and refusals within the quota.

Callers of 88 workspaces keep to their usual load, at random entries. On the
calm day nothing fails; on the other one a tenth of the entries is killed within
2 s, each of which is back after 1.5 s.
"""

import random
from typing import Any

import click
from tests.core.quotas import quota_fleet

from agateshelf.core.quotas import messages

# Tests are not typed.
_FLEETS: Any = quota_fleet
_ANSWERS = (messages.QuotaRequest, messages.QuotaDecided)


def measure(
    entries: int, seconds: float, seed: int, *, restarts: bool
) -> tuple[int, int, float, float, float]:
    """Run a day; return its figures.

    Returns:
        Requests within their quota, those refused of them, messages of quotas
        for each request, those of them that are questions and answers, and
        messages a second at the busiest entry.
    """
    usages = _FLEETS.create_usages(random.Random(seed))
    fleet = _FLEETS.create_fleet(usages, entries, seed=seed)
    begin = fleet.now
    fleet.drive(usages, seconds)
    if restarts:
        names = fleet.rng.sample(list(fleet.nodes), max(1, entries // 10))
        for name in names:
            at = begin + fleet.rng.uniform(1.0, 3.0)
            fleet.at(at, fleet.kill, name)
            fleet.at(at + 1.5, fleet.restart, name)
    fleet.run_for(seconds)
    within, refused = fleet.refused_within_quota(usages, begin)
    sent = [
        [message for at, message in items if at >= begin]
        for items in fleet.traffic.values()
    ]
    requests = len(fleet.arrivals)
    total = sum(map(len, sent))
    answers = sum(isinstance(m, _ANSWERS) for items in sent for m in items)
    busiest = max(map(len, sent)) / seconds
    return within, refused, total / requests, answers / requests, busiest


@click.command()
@click.argument("entries", nargs=-1, type=int)
@click.option("--seconds", default=10.0, help="Duration of each day.")
@click.option("--seed", default=1, help="Seed of workspaces and callers.")
def main(entries: tuple[int, ...], seconds: float, seed: int) -> None:
    """Measure fleets of so many ENTRIES."""
    for size in entries or (13, 146, 300):
        for restarts in (False, True):
            within, refused, total, answers, busiest = measure(
                size, seconds, seed, restarts=restarts
            )
            print(
                f"{size} entries, {'restarts' if restarts else 'calm'}:"
                f" {refused} of {within} refused, {total:.2f} messages a"
                f" request ({answers:.2f} questions and answers),"
                f" {busiest:.0f} a second at the busiest",
                flush=True,
            )


if __name__ == "__main__":
    main()
