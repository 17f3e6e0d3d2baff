"""Extrapolates the measured slopes to the planned size of the deployment.

The constants state the planned size and the budget per node for control traffic
(docs/CAPACITY.md); the tables of that page are written from here.
"""

from collections import abc
import dataclasses
import math
import pathlib

from bench import fitting

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"

TARGETS = 4300
SERVICES = 330
CALLS_PER_SECOND = 250_000
CHANGES_PER_DAY = 7400
FAILURE_DOMAINS = 12
ENTRY_UTILISATION = 0.6
BOOKING_SHARE = 0.04
CLAIM_LIFETIME_SECONDS = 600
CLAIM_SHARDS = 4
CALLER_CONNECTIONS = 200
CONTROL_PLANE_PROCESSOR_PERCENT = 4.1
CONTROL_PLANE_MEMORY_MIB = 128.0
CONTROL_PLANE_BYTES_PER_SECOND = 4096.0

_SECONDS_PER_DAY = 86400.0
_KIBIBYTES_PER_MEBIBYTE = 1024.0
_TABLE_BEGIN = "<!-- table begin: written by make slopes -->"
_TABLE_END = "<!-- table end -->"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One extrapolated figure, a row of the second table.

    Attributes:
        role: Part of the system that bears the cost.
        figure: What is stated.
        value: The value, with its unit.
        origin: Slope and sizes from which it was computed.
    """

    role: str
    figure: str
    value: str
    origin: str


def entries_needed(slopes: abc.Mapping[str, fitting.Slope]) -> int:
    """Return the number of entries needed for the planned calls."""
    calls_per_core = 1000.0 / slopes["entry/processor"].slope
    return math.ceil(CALLS_PER_SECOND / (calls_per_core * ENTRY_UTILISATION))


def create_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    """Return all figures at the planned size."""
    return [
        *_caller_rows(slopes),
        *_routing_rows(slopes),
        *_claim_rows(slopes),
        *_configuration_rows(slopes),
        *_peer_rows(slopes),
    ]


def _caller_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    processor = slopes["entry/processor"]
    memory = slopes["entry/memory"]
    entries = entries_needed(slopes)
    resident = memory.predict(CALLER_CONNECTIONS) / _KIBIBYTES_PER_MEBIBYTE
    return [
        Row(
            "caller side",
            "processor time for each call",
            f"{processor.slope:.2f} ms",
            "entry/processor",
        ),
        Row(
            "caller side",
            "the same for an entry that asks nobody",
            f"{slopes['entry/processor-alone'].slope:.2f} ms",
            "entry/processor-alone",
        ),
        Row(
            "caller side",
            "entries for all calls, each core 60% busy",
            f"{entries} ({math.ceil(entries / FAILURE_DOMAINS)} a domain)",
            f"{CALLS_PER_SECOND} calls/s and entry/processor",
        ),
        Row(
            "caller side",
            f"memory with {CALLER_CONNECTIONS} callers' connections",
            f"{resident:.0f} MiB",
            "entry/memory",
        ),
    ]


def _routing_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    memory = slopes["routing/memory"].predict(TARGETS) / _KIBIBYTES_PER_MEBIBYTE
    decision = slopes["routing/decision"].predict(math.log2(TARGETS))
    return [
        Row(
            "routing",
            "traffic of placing calls for each entry",
            f"{_dispatch_kilobytes_per_second(slopes):.0f} KB/s of 4.1",
            "entry/peer-bytes, at the calls an entry carries",
        ),
        Row(
            "routing",
            "state, were all targets in one service",
            f"{memory:.1f} MiB",
            "routing/memory at 4,300 targets",
        ),
        Row(
            "routing",
            "processor time for a decision among all targets",
            f"{decision:.0f} us",
            "routing/decision at log2(4,300)",
        ),
    ]


def _dispatch_kilobytes_per_second(
    slopes: abc.Mapping[str, fitting.Slope],
) -> float:
    calls = CALLS_PER_SECOND / entries_needed(slopes)
    return slopes["entry/peer-bytes"].slope * 1.024 * calls


def _claim_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    bookings = CALLS_PER_SECOND * BOOKING_SHARE
    claim_kib = slopes["claims/memory"].slope
    claims_kib = claim_kib * bookings * CLAIM_LIFETIME_SECONDS
    writes = max(point.cost for point in slopes["claims/writes"].points)
    return [
        Row(
            "claims",
            f"store writes a second at {bookings:.0f} bookings/s",
            f"{writes:.0f}",
            "claims/writes, level in its range; the rate is capped",
        ),
        Row(
            "claims",
            "memory of all shards' remembered claims",
            f"{claims_kib / _KIBIBYTES_PER_MEBIBYTE:.0f} MiB",
            "claims/memory, 600 s",
        ),
        Row(
            "claims",
            f"memory for one of {CLAIM_SHARDS} shards at its owner",
            f"{claims_kib / _KIBIBYTES_PER_MEBIBYTE / CLAIM_SHARDS:.0f} MiB",
            "claims/memory, 600 s",
        ),
    ]


def _configuration_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    content_kib = slopes["configuration/bytes"]
    check_ms = slopes["configuration/check"].predict(SERVICES)
    memory = slopes["configuration/memory"].predict(SERVICES)
    changes = CHANGES_PER_DAY / _SECONDS_PER_DAY
    share = check_ms / 1000.0 * changes * 100.0
    return [
        Row(
            "configuration",
            "bytes of one version whole",
            f"{content_kib.predict(SERVICES):.0f} KiB",
            "configuration/bytes at 330 services",
        ),
        Row(
            "configuration",
            "processor time to check and adopt all changes",
            f"{share:.2f}% of a core ({check_ms:.0f} ms each)",
            "configuration/check, 7,400 changes a day",
        ),
        Row(
            "configuration",
            "memory in force, document and core form",
            f"{memory / _KIBIBYTES_PER_MEBIBYTE:.1f} MiB",
            "configuration/memory at 330 services",
        ),
        Row(
            "configuration",
            "traffic of changed parts for each entry",
            f"{content_kib.slope * 1024.0 * changes:.0f} B/s",
            "configuration/bytes, one part a change",
        ),
    ]


def _peer_rows(slopes: abc.Mapping[str, fitting.Slope]) -> list[Row]:
    entries = entries_needed(slopes)
    largest = max(point.cost for point in slopes["peers/traffic"].points)
    processor = slopes["peers/processor"].predict(entries)
    memory = slopes["peers/memory"].predict(entries)
    return [
        Row(
            "membership and peers",
            "heartbeat traffic for each entry",
            f"{largest:.0f} B/s of {CONTROL_PLANE_BYTES_PER_SECOND:.0f}",
            "peers/traffic, its highest point: it levels off",
        ),
        Row(
            "membership and peers",
            f"processor time at {entries} entries",
            f"{processor:.2f}% of a core of {CONTROL_PLANE_PROCESSOR_PERCENT}%",
            "peers/processor",
        ),
        Row(
            "membership and peers",
            f"memory at {entries} entries",
            f"{memory:.0f} KiB of {CONTROL_PLANE_MEMORY_MIB:.0f} MiB",
            "peers/memory",
        ),
    ]


def create_tables(slopes: abc.Mapping[str, fitting.Slope]) -> str:
    """Return the tables of slopes and of figures as Markdown."""
    lines = ["| slope | for each | base | points |", "|---|---|---|---|"]
    for slope in slopes.values():
        points = ", ".join(f"{p.size:g}: {p.cost:.4g}" for p in slope.points)
        lines.append(
            f"| `{slope.name}` | {slope.slope:.4g} {slope.cost_unit} a "
            f"{slope.size_unit} | {slope.base:.4g} | {points} |"
        )
    lines += ["", "| role | at the letter's size | figure | from |"]
    lines.append("|---|---|---|---|")
    lines += [
        f"| {row.role} | {row.figure} | {row.value} | {row.origin} |"
        for row in create_rows(slopes)
    ]
    return "\n".join(lines)


def write_page(slopes: abc.Mapping[str, fitting.Slope]) -> None:
    """Replace the tables on the page."""
    text = PAGE.read_text()
    before, _, rest = text.partition(_TABLE_BEGIN)
    _, _, after = rest.partition(_TABLE_END)
    PAGE.write_text(
        f"{before}{_TABLE_BEGIN}\n{create_tables(slopes)}\n{_TABLE_END}{after}"
    )
