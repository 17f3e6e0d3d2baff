"""What must hold in a soak whatever goes wrong, checked on its record."""

import collections
from collections import abc
from typing import Any

from soak import records

# Bounds of the users' rules, in seconds.
DRAIN_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
STABLE_SECONDS = 3.0
HELD_SECONDS = 0.5
READ_SECONDS = 0.2
RECOVERY_SECONDS = 4.0
# Clocks of the soak and of the processes are one; what it notes is late by
# about the time of one system call.
NOTE_SECONDS = 0.05
# The budget that the entries share, as their settings say.
REPEAT_SHARE = 0.05
REPEAT_SLACK = 9
REPEAT_SECONDS = 10.0
MOST_ATTEMPTS = 2
MOST_OVER_ATTEMPTS = 3
RECOVERED_SHARE = 0.9

_PROMISES = frozenset({408, 421, 429, 503})
_MARKER = "/m"
_NOT_FOUND = 404


def faults_of(record: records.Record) -> list[str]:
    """Return what is wrong, a line each."""
    checks: tuple[abc.Callable[[records.Record], list[str]], ...] = (
        _doubled,
        _untrue,
        _foreign,
        _held,
        _cut,
        _drained,
        _denied,
        _reverted,
        _late_tables,
        _attempts,
        _budget,
        _not_recovered,
        _without_return,
    )
    found = [line for check in checks for line in check(record)]
    return [*found, *record.ends]


def _runs(record: records.Record) -> dict[str, list[dict[str, Any]]]:
    runs: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for line in record.runs:
        if line["kind"] == "run":
            runs[line["id"]].append(line)
    return runs


def _disturbed(
    record: records.Record,
    begin: float,
    end: float,
    *,
    what: abc.Collection[str],
    index: int | None = None,
) -> bool:
    return any(
        one.what in what
        and (index is None or one.index in (index, -1))
        and one.begin <= end
        and one.end >= begin
        for one in record.disturbances
    )


def _in_touch(
    record: records.Record, entry: int, begin: float, end: float
) -> bool:
    """Return whether an entry could hear of what the store says.

    What befalls other entries, readers among them, is no excuse.
    """
    if _disturbed(record, begin, end, what=("store",)):
        return False
    own = ("entry", "stop", "link")
    return not _disturbed(record, begin, end, what=own, index=entry)


def _doubled(record: records.Record) -> list[str]:
    runs = _runs(record)
    return [
        f"{call.id} ran {len(runs[call.id])} times"
        for call in record.calls
        if not call.repeatable and len(runs.get(call.id, ())) > 1
    ]


def _untrue(record: records.Record) -> list[str]:
    runs = _runs(record)
    return [
        f"{call.id} was told {call.status} and ran"
        for call in record.calls
        if call.status in _PROMISES and not call.repeatable and call.id in runs
    ]


def _foreign(record: records.Record) -> list[str]:
    return [
        f"{call.id} got a success that is not its own"
        for call in record.calls
        if call.status == 200 and not call.own
    ]


def _held(record: records.Record) -> list[str]:
    """Find calls without a word at the end of their route's time."""
    found = []
    for call in record.calls:
        due = call.sent + call.timeout + HELD_SECONDS
        if call.left or due > record.over:
            continue
        if call.ended is not None and call.ended <= due:
            continue
        begin = call.sent - STABLE_SECONDS
        if _disturbed(record, begin, due, what=("entry",), index=call.entry):
            continue
        found.append(f"{call.id} had no word after {call.timeout} s")
    return found


def _cut(record: records.Record) -> list[str]:
    """Find calls whose connection ended without a word on them."""
    runs = _runs(record)
    found = []
    for call in record.calls:
        if call.status is not None or call.left or call.ended is None:
            continue
        if call.id not in runs and call.ended - call.sent <= READ_SECONDS:
            continue
        begin = call.sent - STABLE_SECONDS
        end = call.ended + NOTE_SECONDS
        if _disturbed(record, begin, end, what=("entry",), index=call.entry):
            continue
        found.append(f"{call.id} was cut off at entry {call.entry}")
    return found


def _drained(record: records.Record) -> list[str]:
    left: dict[str, float] = {}
    entry_of = {call.id: call.entry for call in record.calls}
    found = []
    for line in record.runs:
        if line["kind"] == "left":
            left.setdefault(line["by"], line["at"])
        since = left.get(line["by"])
        if line["kind"] != "run" or since is None:
            continue
        if line["at"] <= since + DRAIN_SECONDS:
            continue
        begin = since - STABLE_SECONDS
        entry = entry_of.get(line["id"])
        if entry is not None and _in_touch(record, entry, begin, line["at"]):
            found.append(f"{line['id']} ran at {line['by']}, which had left")
    return found


def _version_of(call: records.Call) -> int | None:
    if not call.path.startswith(_MARKER):
        return None
    return int(call.path.removeprefix(_MARKER).partition("/")[0])


def _denied(record: records.Record) -> list[str]:
    """Find requests refused as unknown that every version allows."""
    return [
        f"{call.id} was told 404"
        for call in record.calls
        if call.status == _NOT_FOUND and _version_of(call) is None
    ]


def _reverted(record: records.Record) -> list[str]:
    seen: dict[int, tuple[int, float]] = {}
    found = []
    for call in sorted(record.calls, key=lambda call: call.sent):
        version = _version_of(call)
        if version is None or call.ended is None:
            continue
        newest, at = seen.get(call.process, (0, 0.0))
        if call.status == _NOT_FOUND and version <= newest and call.sent > at:
            found.append(f"entry {call.entry} forgot version {version}")
        if call.status == 200 and version > newest:
            seen[call.process] = (version, call.ended)
    return found


def _late_tables(record: records.Record) -> list[str]:
    found = []
    for call in record.calls:
        version = _version_of(call)
        if version is None or call.status != _NOT_FOUND:
            continue
        at = record.tables[version]
        if call.sent <= at + CONFIGURATION_SECONDS:
            continue
        begin = at - STABLE_SECONDS
        if _in_touch(record, call.entry, begin, call.sent):
            found.append(f"entry {call.entry} did not know version {version}")
    return found


def _attempts(record: records.Record) -> list[str]:
    counts = [len(runs) for runs in _runs(record).values()]
    over = [count for count in counts if count > MOST_ATTEMPTS]
    if len(over) <= MOST_OVER_ATTEMPTS:
        return []
    return [f"{len(over)} requests ran more than {MOST_ATTEMPTS} times"]


def _budget(record: records.Record) -> list[str]:
    """Check the further sends of each service in each window."""
    service_of = {call.id: call.repeatable for call in record.calls}
    sent: dict[bool, list[float]] = {True: [], False: []}
    for call in record.calls:
        sent[call.repeatable].append(call.sent)
    again: dict[bool, list[float]] = {True: [], False: []}
    first = set()
    for line in record.runs:
        if line["kind"] != "arrived" or line["id"] not in service_of:
            continue
        if line["id"] in first:
            again[service_of[line["id"]]].append(line["at"])
        first.add(line["id"])
    found = []
    for service, times in again.items():
        for index, end in enumerate(times):
            begin = end - REPEAT_SECONDS
            count = sum(begin <= at for at in times[: index + 1])
            asked = sum(begin <= at <= end for at in sent[service])
            if count > REPEAT_SHARE * asked + REPEAT_SLACK:
                found.append(f"{count} further sends for {asked} requests")
                break
    return found


def _not_recovered(record: records.Record) -> list[str]:
    begin = record.calm_from + RECOVERY_SECONDS
    last = [
        call
        for call in record.calls
        if begin <= call.sent <= record.over - 2 * call.timeout
        and not call.left
        and _version_of(call) is None
    ]
    served = sum(call.status == 200 for call in last)
    if served >= RECOVERED_SHARE * len(last):
        return []
    return [f"{served} of {len(last)} served after the last fault"]


def _without_return(record: records.Record) -> list[str]:
    """Find refusals that don't say when to come back."""
    return [
        f"{call.id} was told {call.status} and not when to come back"
        for call in record.calls
        if call.status == 503 and not call.retry_after
    ][:3]
