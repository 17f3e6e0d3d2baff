"""Figures, bounds and their report."""

import dataclasses
import enum
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
LATEST = ROOT / "bench" / "latest.json"
_RED_PREFIX = "bench:"


class Side(enum.Enum):
    """Which side of its limit a figure must stay on."""

    AT_MOST = "<="
    AT_LEAST = ">="


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A limit that a figure must keep.

    Attributes:
        side: Which side of the limit is allowed.
        limit: The limit, in the figure's unit.
    """

    side: Side
    limit: float

    def holds(self, value: float) -> bool:
        """Return whether a value keeps the bound."""
        match self.side:
            case Side.AT_MOST:
                return value <= self.limit
            case Side.AT_LEAST:
                return value >= self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name, unique in the bench, like `routing/steady/p99`.
        value: The value.
        unit: Its unit.
        bound: The bound it is judged by; wall-clock figures have none.
    """

    name: str
    value: float
    unit: str
    bound: Bound | None = None


def known_red(text: str) -> frozenset[str]:
    """Return the names of bounds that are known to be broken."""
    names = (line.split("|")[0].strip() for line in text.splitlines())
    return frozenset(
        name.removeprefix(_RED_PREFIX)
        for name in names
        if name.startswith(_RED_PREFIX)
    )


def verdict_of(figure: Figure, red: frozenset[str]) -> str:
    """Return the word on a figure: none, ok, BROKEN or known red."""
    if figure.bound is None:
        return ""
    if figure.bound.holds(figure.value):
        return "ok (listed as red)" if figure.name in red else "ok"
    return "known red" if figure.name in red else "BROKEN"


def print_table(figures: list[Figure]) -> bool:
    """Print every figure and write them as JSON; return whether all hold."""
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
    return f"{bound.side.value} {bound.limit:g}"


def _row(figure: Figure) -> dict[str, object]:
    return {
        "name": figure.name,
        "value": figure.value,
        "unit": figure.unit,
        "bound": _limit_text(figure.bound),
    }
