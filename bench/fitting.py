"""Straight lines through measured points."""

from collections import abc
import dataclasses

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: a size and what it cost."""

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost that grows with a size.

    Attributes:
        name: Name, like `claims/store-writes`.
        size_unit: What the size counts.
        cost_unit: What the cost counts.
        points: What was measured.
        slope: Cost of one more, by least squares.
        base: Cost at size nought.
    """

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[Point, ...]
    slope: float
    base: float

    def at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.base + self.slope * size


def fit(
    name: str,
    size_unit: str,
    cost_unit: str,
    points: abc.Sequence[Point],
) -> Slope:
    """Return the line through the points."""
    sizes = np.array([point.size for point in points])
    costs = np.array([point.cost for point in points])
    slope, base = np.polyfit(sizes, costs, 1)
    return Slope(
        name, size_unit, cost_unit, tuple(points), float(slope), float(base)
    )
