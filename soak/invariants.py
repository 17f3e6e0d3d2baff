"""Invariants of the product, checked on the history of a run.

They hold whatever faults are injected; each check names the faults that excuse
a violation.
"""

import bisect
import collections
from collections import abc
import re
from typing import Any

from soak import history as history_lib
from soak import late_requests
from soak import loop_delays
from soak import pipelining
from soak import quotas
from soak import workspaces

# Bounds of the users' requirements.
# Time after which a draining target gets no new requests.
DRAIN_SECONDS = 2.0
# Time within which an entry applies a new version of the route table.
CONFIGURATION_SECONDS = 2.0
# How long a fault excuses violations after it is over.
SETTLING_SECONDS = 3.0
# How long after the timeout of its route a response may arrive.
RESPONSE_MARGIN_SECONDS = 0.5
# Time within which an entry may close a connection without having read the
# request on it.
MAX_UNREAD_SECONDS = 0.2
# Time within which the system recovers after the last fault.
RECOVERY_SECONDS = 4.0
# The soak test and the processes share one clock, but the soak test records an
# event late by about the duration of a system call.
RECORDING_DELAY_SECONDS = 0.05
# The retry budget that the entries share; it goes into their settings.
RETRY_SHARE = 0.05
RETRY_SLACK = 9
RETRY_WINDOW_SECONDS = 10.0
# The `max_attempts` of all routes, and how many requests may exceed it.
MAX_ATTEMPTS = 2
MAX_REQUESTS_OVER_LIMIT = 3
# Part of the path of a request that crashes each target that runs it.
CRASH_MARK = "crash"
# Later than LATE_SECONDS after such a request has crashed MAX_CRASHES targets,
# entries send it at most MAX_LATE_SENDS times.
MAX_CRASHES = 3
LATE_SECONDS = 3.0
MAX_LATE_SENDS = 3
# From LIMIT_GRACE_SECONDS after a target first named a limit, it gets in any
# LIMIT_WINDOW_SECONDS at most LIMIT_FACTOR times what that allows and
# LIMIT_EXTRA more, from entries that had passed on an answer of it for
# LIMIT_TOLD_SECONDS.
LIMIT_GRACE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_TOLD_SECONDS = 0.5
# From PAUSE_TOLD_SECONDS after a target asked an entry for a pause until its
# end, the entry sends it at most MAX_SENDS_IN_PAUSE requests.
PAUSE_TOLD_SECONDS = 0.5
MAX_SENDS_IN_PAUSE = 2
# Time within which an entry that hasn't passed on that a target is leaving
# knows it from the others.
LEAVING_KNOWN_SECONDS = 5.0
# A cold target gets in any second at most WARMUP_FACTOR times its service's
# `warmup_per_s` and WARMUP_EXTRA more. The rate is below that in use, since the
# callers send warm targets about 15 requests a second.
WARMUP_RATE = 1.0
WARMUP_FACTOR = 1.5
WARMUP_EXTRA = 8
# From CUT_SETTLING_SECONDS after entries were cut off from all targets, they
# serve at least MIN_CUT_SHARE of what the others would, by the share that these
# serve on each route, or fail at most MAX_CUT_FAILURES and
# MAX_CUT_FAILURE_SHARE of all requests.
CUT_SETTLING_SECONDS = 3.0
MIN_CUT_SHARE = 2 / 3
MAX_CUT_FAILURES = 10
MAX_CUT_FAILURE_SHARE = 0.02
# Time after which no request reaches a target of an evacuated failure domain.
EVACUATE_SECONDS = 5.0
# Share of requests that are served after the recovery.
MIN_SERVED_SHARE = 0.9

# Statuses by which an entry asserts that a request did not run.
_NOT_RUN_STATUSES = frozenset({401, 408, 421, 429, 503})
# Route table N has the routes /m1/ to /mN/, which tell the versions apart.
_VERSION_PREFIX = "/m"
_NOT_FOUND = 404
_BAD_REQUEST = 400


def find_violations(history: history_lib.History) -> list[str]:
    """Return a line for each violation."""
    checks: tuple[abc.Callable[[history_lib.History], list[str]], ...] = (
        _duplicate_runs,
        _false_refusals,
        _invalid_responses,
        _refused_as_malformed,
        _late_responses,
        _lost_connections,
        _runs_after_drain,
        _missing_routes,
        _reverted_tables,
        _late_tables,
        _excess_attempts,
        _excess_retries,
        _late_crashing_sends,
        _sends_over_limits,
        _sends_to_leaving,
        _sends_in_pauses,
        _sends_to_evacuated,
        _sends_to_cold,
        _unserved_at_cut_entries,
        _missing_recovery,
        _missing_retry_after,
        _broken_promises_of_keys,
        quotas.find_violations,
        _broken_lines,
        _broken_off_in_stops,
    )
    violations = [line for check in checks for line in check(history)]
    return [*violations, *history.exit_errors]


def _runs(history: history_lib.History) -> dict[str, list[dict[str, Any]]]:
    """Return the ledger lines of the runs of each request."""
    runs: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    for line in history.ledger:
        if line["kind"] == "run":
            runs[line["id"]].append(line)
    return runs


def _is_fault_active(
    history: history_lib.History,
    begin: float,
    end: float,
    *,
    kinds: abc.Collection[str],
    index: int | None = None,
) -> bool:
    """Return whether a fault of these kinds was active between two times."""
    return any(
        window.kind in kinds
        and (index is None or window.index in (index, -1))
        and window.begin <= end
        and window.end >= begin
        for window in history.fault_windows
    )


def _is_connected(
    history: history_lib.History, entry: int, begin: float, end: float
) -> bool:
    """Return whether an entry could receive changes of the store.

    Faults of other entries are no excuse, even of those that read the store on
    its behalf.
    """
    if _is_fault_active(history, begin, end, kinds=("store",)):
        return False
    own = ("entry", "stop", "link")
    return not _is_fault_active(history, begin, end, kinds=own, index=entry)


def _duplicate_runs(history: history_lib.History) -> list[str]:
    """Find non-idempotent requests that ran more than once."""
    runs = _runs(history)
    return [
        f"{call.id} ran {len(runs[call.id])} times"
        for call in history.calls
        if not call.idempotent and len(runs.get(call.id, ())) > 1
    ]


def _false_refusals(history: history_lib.History) -> list[str]:
    """Find non-idempotent requests that were refused as not run, but ran."""
    runs = _runs(history)
    return [
        f"{call.id} got status {call.status} but ran"
        for call in history.calls
        if call.status in _NOT_RUN_STATUSES
        and not call.idempotent
        and call.id in runs
    ]


def _invalid_responses(history: history_lib.History) -> list[str]:
    return [
        f"{call.id} got an invalid response with status 200"
        for call in history.calls
        if call.status == 200 and not call.verified
    ]


def _refused_as_malformed(history: history_lib.History) -> list[str]:
    """Find requests refused as malformed; the callers send no such ones."""
    return [
        f"{call.id} got status {call.status} but is well formed"
        for call in history.calls
        if call.status == _BAD_REQUEST
    ]


def _late_responses(history: history_lib.History) -> list[str]:
    """Find requests without a response within their route's timeout.

    A closed connection ends the wait as well. Only a pause or kill of the entry
    that received the request is an excuse, a loop that was kept busy, and the
    time for which the soak's own loop held back what it was to pass on.
    """
    violations = []
    for call in history.calls:
        due = call.sent_at + call.timeout + RESPONSE_MARGIN_SECONDS
        if call.disconnected or due > history.ended_at:
            continue
        if call.ended_at is not None and call.ended_at <= due:
            continue
        due += loop_delays.total(history, call.sent_at, due)
        if call.ended_at is not None and call.ended_at <= due:
            continue
        begin = call.sent_at - SETTLING_SECONDS
        if _is_fault_active(
            history, begin, due, kinds=("entry", "busy"), index=call.entry
        ):
            continue
        violations.append(f"{call.id} got no response within {call.timeout} s")
    return violations


def _lost_connections(history: history_lib.History) -> list[str]:
    """Find requests whose connection was closed before the response.

    An entry may close a connection before it has read the request. Beyond that,
    only a pause or kill of the entry is an excuse.
    """
    runs = _runs(history)
    violations = []
    for call in history.calls:
        if (
            call.status is not None
            or call.disconnected
            or call.unread
            or call.ended_at is None
        ):
            continue
        if (
            call.id not in runs
            and call.ended_at - call.sent_at <= MAX_UNREAD_SECONDS
        ):
            continue
        begin = call.sent_at - SETTLING_SECONDS
        end = call.ended_at + RECORDING_DELAY_SECONDS
        if _is_fault_active(
            history, begin, end, kinds=("entry",), index=call.entry
        ):
            continue
        violations.append(
            f"{call.id} lost its connection to entry {call.entry}"
        )
    return violations


def _runs_after_drain(history: history_lib.History) -> list[str]:
    """Find runs on targets that had been draining for too long.

    A target drains from the time at which the store acknowledged that it does.
    """
    left: dict[str, float] = {}
    entry_of = {call.id: call.entry for call in history.calls}
    violations = []
    for line in history.ledger:
        if line["kind"] == "left":
            left.setdefault(line["by"], line["at"])
        since = left.get(line["by"])
        if line["kind"] != "run" or since is None:
            continue
        if line["at"] <= since + DRAIN_SECONDS:
            continue
        begin = since - SETTLING_SECONDS
        entry = entry_of.get(line["id"])
        if entry is not None and _is_connected(
            history, entry, begin, line["at"]
        ):
            violations.append(
                f"{line['id']} ran on {line['by']}, which was draining"
            )
    return violations


def _version_of(call: history_lib.Call) -> int | None:
    """Return the first version of the route table that has a request's route.

    None for the routes that every version has.
    """
    if not call.path.startswith(_VERSION_PREFIX):
        return None
    return int(call.path.removeprefix(_VERSION_PREFIX).partition("/")[0])


def _missing_routes(history: history_lib.History) -> list[str]:
    """Find requests answered with 404 whose route every version has."""
    return [
        f"{call.id} got status 404"
        for call in history.calls
        if call.status == _NOT_FOUND and _version_of(call) is None
    ]


def _reverted_tables(history: history_lib.History) -> list[str]:
    """Find processes that used an older route table than before."""
    seen: dict[int, tuple[int, float]] = {}
    violations = []
    for call in sorted(history.calls, key=lambda call: call.sent_at):
        version = _version_of(call)
        if version is None or call.ended_at is None:
            continue
        newest, at = seen.get(call.process_id, (0, 0.0))
        if (
            call.status == _NOT_FOUND
            and version <= newest
            and call.sent_at > at
        ):
            violations.append(
                f"entry {call.entry} reverted from version {version}"
            )
        if call.status == 200 and version > newest:
            seen[call.process_id] = (version, call.ended_at)
    return violations


def _late_tables(history: history_lib.History) -> list[str]:
    """Find entries that had not applied a route table in time."""
    violations = []
    for call in history.calls:
        version = _version_of(call)
        if version is None or call.status != _NOT_FOUND:
            continue
        at = history.table_written_at[version]
        if call.sent_at <= at + CONFIGURATION_SECONDS:
            continue
        begin = at - SETTLING_SECONDS
        if _is_connected(history, call.entry, begin, call.sent_at):
            violations.append(
                f"entry {call.entry} did not apply version {version}"
            )
    return violations


def _excess_attempts(history: history_lib.History) -> list[str]:
    """Check that few requests run more often than their route allows."""
    counts = [len(runs) for runs in _runs(history).values()]
    excess = [count for count in counts if count > MAX_ATTEMPTS]
    if len(excess) <= MAX_REQUESTS_OVER_LIMIT:
        return []
    return [f"{len(excess)} requests ran more than {MAX_ATTEMPTS} times"]


def _excess_retries(history: history_lib.History) -> list[str]:
    """Check the retries of each service in each window of the budget.

    An arrival of a request at a target after its first one is a retry.
    """
    service_of = {call.id: call.idempotent for call in history.calls}
    sent: dict[bool, list[float]] = {True: [], False: []}
    for call in history.calls:
        sent[call.idempotent].append(call.sent_at)
    retries: dict[bool, list[float]] = {True: [], False: []}
    arrived = set()
    for line in history.ledger:
        if line["kind"] != "arrived" or line["id"] not in service_of:
            continue
        if line["id"] in arrived:
            retries[service_of[line["id"]]].append(line["at"])
        arrived.add(line["id"])
    violations = []
    for service, times in retries.items():
        for index, end in enumerate(times):
            begin = end - RETRY_WINDOW_SECONDS
            count = sum(begin <= at for at in times[: index + 1])
            requests = sum(begin <= at <= end for at in sent[service])
            if count > RETRY_SHARE * requests + RETRY_SLACK:
                violations.append(f"{count} retries for {requests} requests")
                break
    return violations


def _late_crashing_sends(history: history_lib.History) -> list[str]:
    """Find crashing requests that are sent on after MAX_CRASHES crashes.

    Sends of entries that were cut off or not running shortly before don't
    count.
    """
    marked = {
        call.id: call for call in history.calls if CRASH_MARK in call.path
    }
    violations = []
    for path in sorted({call.path for call in marked.values()}):
        lines = [
            line
            for line in history.ledger
            if line.get("id") in marked and marked[line["id"]].path == path
        ]
        crashes = sorted(line["at"] for line in lines if line["kind"] == "run")
        if len(crashes) < MAX_CRASHES:
            continue
        late_from = crashes[MAX_CRASHES - 1] + LATE_SECONDS
        late = [
            line
            for line in lines
            if line["kind"] == "arrived"
            and line["at"] > late_from
            and _is_connected(
                history,
                marked[line["id"]].entry,
                line["at"] - SETTLING_SECONDS,
                line["at"],
            )
        ]
        if len(late) > MAX_LATE_SENDS:
            violations.append(
                f"{path} was sent {len(late)} times late after "
                f"{MAX_CRASHES} crashes; {len(crashes)} in all"
            )
    return violations


def _sends_over_limits(history: history_lib.History) -> list[str]:
    """Find targets that got more than the limit that they had named.

    Sends of entries that were cut off or not running shortly before don't
    count.
    """
    call_of = {call.id: call for call in history.calls}
    violations = []
    for limit in history.named_limits:
        told = _told_at(history, limit)
        times = []
        for line in history.ledger:
            call = call_of.get(line.get("id", ""))
            if (
                line["kind"] == "arrived"
                and line["by"] == limit.target
                and limit.begin + LIMIT_GRACE_SECONDS <= line["at"] <= limit.end
                and call is not None
                and _counts_for_limit(history, told, call, line["at"])
            ):
                times.append(line["at"])
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA
        most = max(
            (
                sum(at - LIMIT_WINDOW_SECONDS < other <= at for other in times)
                for at in times
            ),
            default=0,
        )
        if most > allowed:
            violations.append(
                f"{limit.target} named {limit.rate} a second and got {most} in "
                f"{LIMIT_WINDOW_SECONDS} s; allowed {allowed:g}"
            )
    return violations


def _told_at(
    history: history_lib.History, limit: history_lib.NamedLimit
) -> dict[int, float]:
    """Return when each process of an entry passed on the first such answer."""
    told: dict[int, float] = {}
    for call in history.calls:
        if call.answered_by != limit.target or call.ended_at is None:
            continue
        # An answer that was under way when the limit was set may lack it.
        if not limit.begin + LIMIT_TOLD_SECONDS < call.ended_at < limit.end:
            continue
        at = min(told.get(call.process_id, call.ended_at), call.ended_at)
        told[call.process_id] = at
    return told


def _counts_for_limit(
    history: history_lib.History,
    told: dict[int, float],
    call: history_lib.Call,
    at: float,
) -> bool:
    told_at = told.get(call.process_id)
    if told_at is None or at < told_at + LIMIT_TOLD_SECONDS:
        return False
    begin = at - SETTLING_SECONDS
    own = ("entry", "stop", "link")
    return not _is_fault_active(history, begin, at, kinds=own, index=call.entry)


def _arrivals(
    history: history_lib.History,
) -> list[tuple[str, float, history_lib.Call]]:
    """Return target, time and call of each arrival of a caller's request."""
    call_of = {call.id: call for call in history.calls}
    return [
        (line["by"], line["at"], call_of[line["id"]])
        for line in history.ledger
        if line["kind"] == "arrived" and line["id"] in call_of
    ]


def _sends_to_leaving(history: history_lib.History) -> list[str]:
    """Find sends to targets that had said that they are leaving.

    An entry that has passed that on is excused by nothing but a pause. Others
    are excused as long as they are not connected. A later process of a target
    has not said so.
    """
    starts = collections.defaultdict[str, list[float]](list)
    for line in history.ledger:
        if line["kind"] == "started":
            starts[line["by"]].append(line["at"])
    told: dict[tuple[str, int, int], float] = {}
    told_any: dict[tuple[str, int], float] = {}
    for call in history.calls:
        if not call.said_leaving or call.ended_at is None:
            continue
        process = bisect.bisect(starts[call.answered_by], call.ended_at)
        key = (call.answered_by, process, call.process_id)
        told[key] = min(told.get(key, call.ended_at), call.ended_at)
        first = told_any.get(key[:2], call.ended_at)
        told_any[key[:2]] = min(first, call.ended_at)
    late = collections.Counter[str]()
    for target, at, call in _arrivals(history):
        process = bisect.bisect(starts[target], at)
        since = told.get((target, process, call.process_id))
        if since is not None and call.sent_at > since + DRAIN_SECONDS:
            if not _is_fault_active(
                history, since, at, kinds=("entry",), index=call.entry
            ):
                late[f"{target} from entry {call.entry}"] += 1
            continue
        first = told_any.get((target, process), at)
        if call.sent_at > first + LEAVING_KNOWN_SECONDS and _is_connected(
            history, call.entry, first - SETTLING_SECONDS, at
        ):
            late[f"{target} from entry {call.entry}, untold"] += 1
    return [f"{n} late sends to leaving {key}" for key, n in late.items()]


def _sends_in_pauses(history: history_lib.History) -> list[str]:
    """Find entries that send too much to a target within a pause."""
    call_of = {call.id: call for call in history.calls}
    arrivals = _arrivals(history)
    violations = []
    for line in history.ledger:
        asked = call_of.get(line.get("id", ""))
        if line["kind"] != "paused" or asked is None:
            continue
        begin = line["at"] + PAUSE_TOLD_SECONDS
        end = line["at"] + float(line["seconds"])
        count = sum(
            target == line["by"]
            and begin <= at <= end
            and call.process_id == asked.process_id
            for target, at, call in arrivals
        )
        if count <= MAX_SENDS_IN_PAUSE or _is_fault_active(
            history,
            line["at"] - SETTLING_SECONDS,
            end,
            kinds=("entry", "stop", "link"),
            index=asked.entry,
        ):
            continue
        violations.append(
            f"{line['by']} asked for a pause and got {count} requests in it "
            f"from entry {asked.entry}"
        )
    return violations


def _sends_to_evacuated(history: history_lib.History) -> list[str]:
    """Find requests that reached targets of an evacuated failure domain."""
    late = collections.Counter[str]()
    for target, at, call in _arrivals(history):
        number = int("".join(c for c in target if c.isdigit()))
        for evacuation in history.evacuations:
            begin = evacuation.begin
            if number not in evacuation.targets:
                continue
            if not begin + EVACUATE_SECONDS < at < evacuation.end:
                continue
            if not _may_not_know(history, call.entry, begin, at):
                late[f"{target} from entry {call.entry}"] += 1
    return [f"{n} sends to evacuated {key}" for key, n in late.items()]


def _may_not_know(
    history: history_lib.History, entry: int, begin: float, at: float
) -> bool:
    """Return whether an entry may not know of an evacuation.

    It was disturbed shortly before, or the store was until it had to know. What
    it knows it keeps while the store is away, unless it starts again.
    """
    own = ("entry", "stop", "link")
    since = at - SETTLING_SECONDS
    if _is_fault_active(history, since, at, kinds=own, index=entry):
        return True
    if _is_fault_active(
        history,
        begin - SETTLING_SECONDS,
        begin + EVACUATE_SECONDS,
        kinds=("store",),
    ):
        return True
    return _is_fault_active(
        history, since, at, kinds=("store",)
    ) and _is_fault_active(history, begin, at, kinds=own, index=entry)


def _sends_to_cold(history: history_lib.History) -> list[str]:
    """Find targets that got more than allowed while they were cold.

    Whatever befell the entries is no excuse. A link to the target that held
    requests back, or a target that was suspended, is one: these arrive later
    than they were sent.
    """
    entry_of = {call.id: call.entry for call in history.calls}
    times = collections.defaultdict[str, list[float]](list)
    for line in history.ledger:
        if line["kind"] != "arrived" or not line.get("cold"):
            continue
        begin, at = line["at"] - SETTLING_SECONDS, line["at"]
        number = int(re.sub(r"\D", "", line["by"]))
        entry = entry_of.get(line["id"])
        if _is_fault_active(
            history, begin, at, kinds=("target",), index=number
        ) or _is_fault_active(history, begin, at, kinds=("cut",), index=entry):
            continue
        times[line["by"]].append(at)
    allowed = WARMUP_FACTOR * WARMUP_RATE + WARMUP_EXTRA
    violations = []
    for target, arrivals in times.items():
        most = max(sum(at - 1.0 < t <= at for t in arrivals) for at in arrivals)
        if most > allowed:
            violations.append(
                f"{target} was cold and got {most} requests in a second"
            )
    return violations


def _unserved_at_cut_entries(history: history_lib.History) -> list[str]:
    """Find cut entries that serve far less than the others on the same routes.

    Requests at entries that were killed, stopped or paused, or whose other
    links were broken, don't count, nor do those at times at which that held for
    all entries that were not cut off: nobody could relay them. Nor do those at
    times at which no target was registered: every entry refuses them, but the
    others may have got none then.
    """
    windows = [w for w in history.fault_windows if w.kind == "cut"]
    if not windows:
        return []
    begin = min(w.begin for w in windows) + CUT_SETTLING_SECONDS
    end = min(w.end for w in windows)
    cut = {w.index for w in windows}
    whole = {call.entry for call in history.calls} - cut

    def is_disturbed(entry: int, since: float, call: history_lib.Call) -> bool:
        return _is_fault_active(
            history,
            since,
            call.sent_at + call.timeout,
            kinds=("entry", "stop", "link"),
            index=entry,
        )

    calls = [
        call
        for call in history.calls
        if begin <= call.sent_at <= end - call.timeout
        and not call.disconnected
        and CRASH_MARK not in call.path
        and _version_of(call) is None
        and not workspaces.is_refused_rightly(history, call)
        and not quotas.is_limited(history, call)
        and not is_disturbed(call.entry, begin - CUT_SETTLING_SECONDS, call)
        and not _is_fault_active(
            history, call.sent_at, call.sent_at, kinds=("lapse",)
        )
        and not all(
            is_disturbed(entry, call.sent_at - SETTLING_SECONDS, call)
            for entry in whole
        )
    ]
    there = [call for call in calls if call.entry in cut]
    elsewhere = [call for call in calls if call.entry not in cut]
    served_there = sum(call.status == 200 for call in there)
    served_elsewhere = sum(call.status == 200 for call in elsewhere)
    failed = len(there) - served_there
    allowed = MAX_CUT_FAILURES + MAX_CUT_FAILURE_SHARE * len(calls)
    if not there or not elsewhere or failed <= allowed:
        return []
    # All targets of one service may pause, be limited or leave.
    expected = 0.0
    for route in {_route_of(call) for call in there}:
        others = [c for c in elsewhere if _route_of(c) == route] or elsewhere
        share = sum(call.status == 200 for call in others) / len(others)
        expected += share * sum(_route_of(call) == route for call in there)
    if served_there >= MIN_CUT_SHARE * expected:
        return []
    counts = f"{served_there} of {len(there)}"
    counts_elsewhere = f"{served_elsewhere} of {len(elsewhere)}"
    return [f"cut entries served {counts}, the others {counts_elsewhere}"]


def _route_of(call: history_lib.Call) -> str:
    """Return the part of a request's path that selects its route."""
    return call.path.split("/")[1]


def _missing_recovery(history: history_lib.History) -> list[str]:
    """Check the share of requests served once the last fault is over.

    Requests whose response could arrive after the end of the run and those to
    routes that not every version has don't count.
    """
    begin = history.faults_over_at + RECOVERY_SECONDS
    last = [
        call
        for call in history.calls
        if begin <= call.sent_at <= history.ended_at - 2 * call.timeout
        and not call.disconnected
        and _version_of(call) is None
        and not workspaces.is_refused_rightly(history, call)
        and not quotas.is_limited(history, call)
    ]
    served = sum(call.status == 200 for call in last)
    if served >= MIN_SERVED_SHARE * len(last):
        return []
    return [f"{served} of {len(last)} served after the last fault"]


def _broken_promises_of_keys(history: history_lib.History) -> list[str]:
    return workspaces.find_violations(history, _is_connected)


def _broken_lines(history: history_lib.History) -> list[str]:
    def is_excused(call: history_lib.Call) -> bool:
        begin = call.sent_at - SETTLING_SECONDS
        end = (call.ended_at or call.sent_at) + RECORDING_DELAY_SECONDS
        return _is_fault_active(
            history, begin, end, kinds=("entry",), index=call.entry
        )

    return pipelining.find_violations(history, is_excused)


def _broken_off_in_stops(history: history_lib.History) -> list[str]:
    """Find requests that were broken off around a planned stop.

    Any other fault of the entry, or of the target, is an excuse; any fault is
    one for early requests that may be moved to other targets.
    """

    def is_excused(call: history_lib.Call, target: int, is_late: bool) -> bool:
        begin = call.sent_at - SETTLING_SECONDS
        end = (call.ended_at or call.sent_at) + RECORDING_DELAY_SECONDS
        own = ("entry", "link", "cut")
        if (call.idempotent and not is_late) and _is_fault_active(
            history, begin, end, kinds=(*own, "target", "store")
        ):
            return True
        return _is_fault_active(
            history, begin, end, kinds=("target",), index=target
        ) or _is_fault_active(history, begin, end, kinds=own, index=call.entry)

    return late_requests.find_violations(history, is_excused)


def _missing_retry_after(history: history_lib.History) -> list[str]:
    """Find responses with status 503 and no `Retry-After` header."""
    return [
        f"{call.id} got status {call.status} without Retry-After"
        for call in history.calls
        if call.status == 503 and not call.has_retry_after
    ][:3]
