"""Linear regression of measured costs, for the sizing estimates."""

from collections import abc
import dataclasses

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement.

    Attributes:
        size: Size, in the size unit of the slope.
        cost: Measured cost at this size, in the cost unit of the slope.
    """

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost as a linear function of a size.

    `bench.slopes` writes the fields to a file under their own names.

    Attributes:
        name: Name, such as `claims/writes`.
        size_unit: Unit of the size.
        cost_unit: Unit of the cost.
        points: Measurements that the line was fitted to.
        slope: Additional cost per unit of size.
        base: Cost at size 0.
    """

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[Point, ...]
    slope: float
    base: float

    def predict(self, size: float) -> float:
        """Return the cost that the line predicts for a size."""
        return self.base + self.slope * size


def fit(
    name: str,
    size_unit: str,
    cost_unit: str,
    points: abc.Sequence[Point],
) -> Slope:
    """Fit a line to the points by least squares."""
    sizes = np.array([point.size for point in points])
    costs = np.array([point.cost for point in points])
    slope, intercept = np.polyfit(sizes, costs, 1)
    return Slope(
        name,
        size_unit,
        cost_unit,
        tuple(points),
        float(slope),
        float(intercept),
    )
