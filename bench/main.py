"""Run all benchmarks in virtual time; exit 1 if a bound breaks."""

import sys

from bench import bookings
from bench import chain
from bench import decisions
from bench import overload
from bench import replication
from bench import report
from bench import routing

_PARTS = (
    decisions,
    bookings,
    replication,
    routing,
    overload,
    chain,
)


def main() -> int:
    """Run every part, print the table and judge the bounds."""
    figures: list[report.Figure] = []
    for part in _PARTS:
        figures.extend(part.run())
    return 0 if report.print_table(figures) else 1


if __name__ == "__main__":
    sys.exit(main())
