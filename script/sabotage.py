"""Mutation tests of the soak: checks that it detects deliberate faults.

Each mutation breaks one invariant of the soak in a copy of the sources. The
soak runs the copy with one seed after another until it reports the violation.
The script fails if no seed detects a mutation.
"""

import dataclasses
import pathlib
import shutil
import sys
import tempfile

import click

from soak import main as soak

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = (9, 7, 8, 1, 2, 3, 5, 11, 802)
SECONDS = 12.0
SERIES_ENTRIES = 4
_CORE = "agateshelf/core"


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A replacement of text in a source file.

    Attributes:
        file: Path of the file, relative to `src`.
        old: Text that is replaced; it must occur in the file.
        new: Text that takes its place.
    """

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A deliberate fault of the product.

    Attributes:
        invariant: Name of the invariant that it breaks, as given on the command
            line.
        expected_text: Text of the violation that the soak must report.
        edits: Changes of the sources, in order.
        is_series: Whether the soak runs its plan of stops in series.
    """

    invariant: str
    expected_text: str
    edits: tuple[Edit, ...]
    is_series: bool = False


MUTATIONS = (
    Mutation(
        "at-most-once",
        "times",
        (
            Edit(
                f"{_CORE}/forwarding/completion.py",
                "return call.route.idempotent or call.verdict is "
                "Verdict.DID_NOT_RUN",
                "return True",
            ),
        ),
    ),
    Mutation(
        "true-refusals",
        "but ran",
        (
            Edit(
                f"{_CORE}/forwarding/refusals.py",
                "unknown_status: int = outcome_const.STATUS_BAD_GATEWAY",
                "unknown_status: int = outcome_const.STATUS_UNAVAILABLE",
            ),
        ),
    ),
    Mutation(
        "whole-answers",
        "invalid response",
        (
            Edit(
                "agateshelf/daemon/targets/client.py",
                "body=bytes(body)",
                'body=b"{}"',
            ),
        ),
    ),
    Mutation(
        "route-timeouts",
        "got no response",
        (
            Edit(
                f"{_CORE}/forwarding/arrivals.py",
                "return timeout if event.relay_target else "
                "min(timeout, route.timeout)",
                "return timeout",
            ),
        ),
    ),
    Mutation(
        "planned-stops",
        "lost its connection",
        (
            Edit(
                "agateshelf/daemon/main.py",
                "(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)",
                "(signal.SIGINT, signal.SIGHUP)",
            ),
        ),
    ),
    Mutation(
        "late-requests-in-stops",
        "was broken off",
        (
            Edit(
                f"{_CORE}/stopping/admission.py",
                "return now >= state.stop.late_from and may_outlast("
                "state, deadline)",
                "return False",
            ),
            Edit(
                f"{_CORE}/stopping/admission.py",
                "return min(deadline, state.stop.ends_at)",
                "return deadline",
            ),
        ),
    ),
    Mutation(
        "late-requests-in-series",
        "was broken off",
        (
            Edit(
                f"{_CORE}/stopping/admission.py",
                "return now >= state.stop.late_from and may_outlast("
                "state, deadline)",
                "return False",
            ),
            Edit(
                f"{_CORE}/stopping/admission.py",
                "return min(deadline, state.stop.ends_at)",
                "return deadline",
            ),
        ),
        is_series=True,
    ),
    Mutation(
        "times-from-the-signal",
        "was broken off",
        (
            Edit(
                "agateshelf/daemon/stopping.py",
                "elapsed = stop_signals.seconds_since_stop()",
                "elapsed = 0.0",
            ),
        ),
        is_series=True,
    ),
    Mutation(
        "bodies-cut-short",
        "is well formed",
        (
            Edit(
                "agateshelf/daemon/callers/reading.py",
                "if conn.read_shut:",
                "if False:",
            ),
        ),
        is_series=True,
    ),
    Mutation(
        "signals-in-stops",
        "was broken off",
        (
            Edit(
                "agateshelf/daemon/main.py",
                "return stopping.STOP_SIGNALS - {signal.SIGTERM}",
                "return stopping.STOP_SIGNALS",
            ),
        ),
        is_series=True,
    ),
    Mutation(
        "changes-in-stops",
        "was broken off",
        (
            Edit(
                f"{_CORE}/feed/handling.py",
                "return [*emitted, *relaying.request_from_neighbour(state)]",
                "return emitted",
            ),
        ),
        is_series=True,
    ),
    Mutation(
        "draining",
        "which was draining",
        (
            Edit(
                "agateshelf/platform/documents.py",
                "draining=decoded.state == const.STATE_DRAINING",
                "draining=False",
            ),
        ),
    ),
    Mutation(
        "odd-entries",
        "was draining",
        (
            Edit(
                "agateshelf/decoding.py",
                "(msgspec.MsgspecError, UnicodeError, RecursionError)",
                "(msgspec.MsgspecError, UnicodeError)",
            ),
        ),
    ),
    Mutation(
        "unannounced-leaving",
        "was draining",
        (
            Edit(
                f"{_CORE}/feed/outages.py",
                "if silent_for >= shortest_outage(state):",
                "if feed.failed_at > now - 1.0:",
            ),
            Edit(
                f"{_CORE}/feed/removals.py",
                "latest = math.inf if are_many else in_force_by",
                "latest = math.inf",
            ),
        ),
    ),
    Mutation(
        "configuration-in-force",
        "did not apply version",
        (
            Edit(
                f"{_CORE}/feed/relaying.py",
                "if not state.feed.is_reader or "
                "(before is None and not changed):",
                "if True:",
            ),
            Edit(
                f"{_CORE}/feed/relaying.py",
                "lacks_routes or catching_up.is_behind(\n"
                "        state, heartbeat.version, heartbeat.routes_at\n"
                "    )",
                "lacks_routes",
            ),
            Edit(
                f"{_CORE}/feed/relaying.py",
                "if table is not None and not _lacks(request, table):",
                "if True:",
            ),
            Edit(
                f"{_CORE}/feed/catching_up.py",
                "if not is_behind(state, version, at):",
                "if True:",
            ),
            Edit(
                f"{_CORE}/confirmation/handling.py",
                "if not is_final or is_confirmed(state, now, event):",
                "if True:",
            ),
        ),
    ),
    Mutation(
        "configuration-never-back",
        "reverted from version",
        (
            Edit(
                f"{_CORE}/routes/matching.py",
                "def normalize_host(host: str) -> str:",
                "_ROUND = __import__('itertools').count()\n\n\n"
                "def normalize_host(host: str) -> str:",
            ),
            Edit(
                f"{_CORE}/routes/matching.py",
                "        if bare.startswith(route.prefix):\n",
                "        if route.prefix[:2] == '/m' and next(_ROUND) % 9 == 8:"
                "\n            continue\n"
                "        if bare.startswith(route.prefix):\n",
            ),
        ),
    ),
    Mutation(
        "budget-of-repeats",
        "retries for",
        (
            Edit(
                f"{_CORE}/dispatch/retry_budget.py",
                "return len(window.retries) + 1 <= share + slack",
                "return True",
            ),
        ),
    ),
    Mutation(
        "crashing-requests",
        "late after",
        (
            Edit(
                f"{_CORE}/poison/records.py",
                "if len(active) < limit:",
                "if True:",
            ),
        ),
    ),
    Mutation(
        "crashing-requests-of-many-callers",
        "late after",
        (
            Edit(
                f"{_CORE}/forwarding/arrivals.py",
                "parts = (host, event.method, path)",
                "parts = (host, event.method, path, event.caller)",
            ),
        ),
    ),
    Mutation(
        "entries-cut-from-targets",
        "cut entries served",
        (
            Edit(
                f"{_CORE}/reach/relays.py",
                "    if not candidates:\n        return None\n",
                "    if candidates:\n        return None\n",
            ),
        ),
    ),
    Mutation(
        "target-limits",
        "named",
        (
            Edit(
                f"{_CORE}/target_notices/pacing.py",
                "return pace.tokens >= 1.0",
                "return True",
            ),
        ),
    ),
    Mutation(
        "leaving-targets",
        "late sends to leaving",
        (
            Edit(
                "agateshelf/platform/dialect.py",
                "return True if value == _LEAVING else None",
                "return False if value == _LEAVING else None",
            ),
        ),
    ),
    Mutation(
        "pauses",
        "asked for a pause",
        (
            Edit(
                "agateshelf/platform/dialect.py",
                'pause=b"retry-after"',
                'pause=b""',
            ),
        ),
    ),
    Mutation(
        "evacuations",
        "sends to evacuated",
        (
            Edit(
                "agateshelf/platform/documents.py",
                "evacuated=not item.tombstone",
                "evacuated=False",
            ),
        ),
    ),
    Mutation(
        "withdrawn-keys",
        "ran with a withdrawn key",
        (
            Edit(
                f"{_CORE}/workspaces/lookup.py",
                "if state.workspaces.table is not state.routes.table:",
                "if state.workspaces.table is None:",
            ),
        ),
    ),
    Mutation(
        "secret-keys",
        "got the key of",
        (
            Edit(
                "agateshelf/daemon/targets/requests.py",
                "replaced |= {dialect.key, dialect.workspace}",
                "replaced |= {dialect.workspace}",
            ),
        ),
    ),
    Mutation(
        "names-of-workspaces",
        "instead of",
        (
            Edit(
                "agateshelf/daemon/targets/requests.py",
                "headers.append((dialect.workspace, workspace.encode()))",
                'headers.append((dialect.workspace, b"other"))',
            ),
        ),
    ),
    Mutation(
        "quotas",
        "requests in 5 s",
        (
            Edit(
                f"{_CORE}/quotas/counting.py",
                "    if not buckets.take(bucket, now):",
                "    if False:",
            ),
        ),
    ),
    Mutation(
        "lowered-quotas",
        "requests in 5 s",
        (
            Edit(
                f"{_CORE}/quotas/replication.py",
                "quotas.limited = {",
                "quotas.limited = quotas.limited or {",
            ),
        ),
    ),
    Mutation(
        "cold-targets",
        "was cold and got",
        (
            Edit(
                "agateshelf/platform/dialect.py",
                'cold=b"x-warmup-ms"',
                'cold=b""',
            ),
            Edit(
                "agateshelf/platform/documents.py",
                "warmup=_to_warmup(decoded.warmup_left)",
                "warmup=0.0",
            ),
        ),
    ),
    Mutation(
        "recovery",
        "after the last fault",
        (
            Edit(
                f"{_CORE}/feed/reading.py",
                "topic_state.retry_at = now + pause * jitter",
                "topic_state.retry_at = now + 3600.0",
            ),
        ),
    ),
    Mutation(
        "when-to-come-back",
        "without Retry-After",
        (
            Edit(
                "agateshelf/daemon/callers/problems.py",
                'headers.append((b"retry-after", value))',
                "pass",
            ),
        ),
    ),
)


def _detect(mutation: Mutation) -> int | None:
    """Return the first seed with which the soak detects a mutation, or None."""
    with tempfile.TemporaryDirectory(prefix="sabotage-") as directory:
        source = pathlib.Path(directory) / "src"
        shutil.copytree(ROOT / "src" / "agateshelf", source / "agateshelf")
        for edit in mutation.edits:
            path = source / edit.file
            text = path.read_text()
            if edit.old not in text:
                raise click.ClickException(
                    f"{edit.file} does not contain {edit.old!r}"
                )
            path.write_text(text.replace(edit.old, edit.new, 1))
        for seed in SEEDS:
            if mutation.is_series:
                lines = soak.run_series(seed, SERIES_ENTRIES, source)
            else:
                lines = soak.run_seed(seed, SECONDS, source)
            if any(mutation.expected_text in line for line in lines):
                return seed
    return None


@click.command()
@click.argument("promises", nargs=-1)
def main(promises: tuple[str, ...]) -> None:
    """Run the mutations of the named promises, or all; fail if one survives."""
    selected = [
        mutation for mutation in MUTATIONS if mutation.invariant in promises
    ]
    undetected = []
    for mutation in selected or MUTATIONS:
        seed = _detect(mutation)
        print(f"{mutation.invariant}: found by seed {seed}", flush=True)
        if seed is None:
            undetected.append(mutation.invariant)
    print(f"not found: {undetected}")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
