"""Figures of the benches, the bounds on them, and their report.

A bound turns a figure into a regression check: `make bench` fails if a bound
is broken, unless KNOWN-RED.txt lists it.
"""

import dataclasses
import enum
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
LATEST = ROOT / "bench" / "latest.json"
_RED_PREFIX = "bench:"


class Comparison(enum.Enum):
    """How a figure must compare with its limit."""

    AT_MOST = "<="
    AT_LEAST = ">="


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A limit on a figure.

    Attributes:
        comparison: How the figure must compare with the limit.
        limit: The limit, in the figure's unit.
    """

    comparison: Comparison
    limit: float

    def holds(self, value: float) -> bool:
        """Return whether a value satisfies the bound."""
        match self.comparison:
            case Comparison.AT_MOST:
                return value <= self.limit
            case Comparison.AT_LEAST:
                return value >= self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name, unique among all benches, such as `decisions/8-targets`.
        value: Value, in `unit`.
        unit: Unit as it is printed.
        bound: Bound that the value is checked against; None if the figure is
            only reported, as wall-clock figures are.
    """

    name: str
    value: float
    unit: str
    bound: Bound | None = None


def known_red(text: str) -> frozenset[str]:
    """Return the names of figures whose bounds are known to be broken.

    Args:
        text: Content of KNOWN-RED.txt.
    """
    names = (line.split("|")[0].strip() for line in text.splitlines())
    return frozenset(
        name.removeprefix(_RED_PREFIX)
        for name in names
        if name.startswith(_RED_PREFIX)
    )


def verdict_of(figure: Figure, red: frozenset[str]) -> str:
    """Return the verdict to print for a figure; empty if it has no bound."""
    if figure.bound is None:
        return ""
    if figure.bound.holds(figure.value):
        return "ok (listed as red)" if figure.name in red else "ok"
    return "known red" if figure.name in red else "BROKEN"


def print_table(figures: list[Figure]) -> bool:
    """Print all figures and write them as JSON; return whether to succeed.

    A broken bound counts as success if it is known to be red.
    """
    red = known_red(KNOWN_RED.read_text())
    holds = True
    for figure in figures:
        verdict = verdict_of(figure, red)
        holds = holds and verdict != "BROKEN"
        limit = _limit_text(figure.bound)
        print(
            f"{figure.name:<52} {figure.value:>14.4f} {figure.unit:<12} "
            f"{limit:<14} {verdict}"
        )
    LATEST.write_text(json.dumps([_row(f) for f in figures], indent=1))
    return holds


def _limit_text(bound: Bound | None) -> str:
    if bound is None:
        return ""
    return f"{bound.comparison.value} {bound.limit:g}"


def _row(figure: Figure) -> dict[str, object]:
    return {
        "name": figure.name,
        "value": figure.value,
        "unit": figure.unit,
        "bound": _limit_text(figure.bound),
    }
