"""Measures how costs grow with size; writes the data of docs/CAPACITY.md.

The page extrapolates from these slopes to a deployment that is too large for
one machine.
"""

import dataclasses
import json
import pathlib
import sys

from bench import fitting
from bench import sizing
from bench import slopes_core
from bench import slopes_live

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA_FILE = ROOT / "docs" / "capacity-slopes.json"


def print_slope(slope: fitting.Slope) -> None:
    """Print a slope and its points on one line."""
    points = ", ".join(
        f"{point.size:g}: {point.cost:.2f}" for point in slope.points
    )
    print(
        f"{slope.name:<24} {slope.slope:>12.5f} {slope.cost_unit} for each "
        f"{slope.size_unit}, base {slope.base:.3f}  [{points}]"
    )


def main() -> int:
    """Measure, print and write all slopes."""
    slopes = [*slopes_core.run(), *slopes_live.run()]
    for slope in slopes:
        print_slope(slope)
    rows = [dataclasses.asdict(slope) for slope in slopes]
    DATA_FILE.write_text(json.dumps(rows, indent=1) + "\n")
    sizing.write_page({slope.name: slope for slope in slopes})
    return 0


if __name__ == "__main__":
    sys.exit(main())
