"""Show that the soak finds faults: break the product on purpose, and look.

Each promise has one fault here, put into a copy of the sources; the soak runs
the copy with a few seeds until it finds the fault.
"""

import dataclasses
import pathlib
import shutil
import sys
import tempfile

import click

from soak import main as soak

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = (9, 7, 8, 1, 2, 3, 5, 11)
SECONDS = 12.0
_CORE = "agateshelf/core"


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A text in a file of the sources, and what takes its place."""

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A fault put into the product.

    Attributes:
        invariant: What it breaks.
        found: Words of the line by which the soak finds it.
        edits: How the sources are changed.
    """

    invariant: str
    found: str
    edits: tuple[Edit, ...]


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
                'body=parts[0] if len(parts) == 1 else b"".join(parts)',
                'body=b"{}"',
            ),
        ),
    ),
    Mutation(
        "route-timeouts",
        "got no response",
        (
            Edit(
                f"{_CORE}/forwarding/lifecycle.py",
                "deadline=now + min(timeout, route.timeout)",
                "deadline=now + timeout",
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
        "configuration-in-force",
        "did not apply version",
        (
            Edit(
                f"{_CORE}/feed/relaying.py",
                "if not state.feed.is_reader or "
                "(table is None and not changed):",
                "if True:",
            ),
            Edit(
                f"{_CORE}/feed/relaying.py",
                "if behind or heartbeat.version > version(state):",
                "if behind:",
            ),
            Edit(
                f"{_CORE}/feed/relaying.py",
                "if table is not None and table.version <= request.version:",
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


def _find(one: Mutation) -> int | None:
    """Return the seed by which the soak finds a fault, or None."""
    with tempfile.TemporaryDirectory(prefix="sabotage-") as directory:
        source = pathlib.Path(directory) / "src"
        shutil.copytree(ROOT / "src" / "agateshelf", source / "agateshelf")
        for edit in one.edits:
            path = source / edit.file
            text = path.read_text()
            if edit.old not in text:
                raise click.ClickException(f"{edit.file}: no {edit.old!r}")
            path.write_text(text.replace(edit.old, edit.new, 1))
        for seed in SEEDS:
            lines = soak.soak(seed, SECONDS, source)
            if any(one.found in line for line in lines):
                return seed
    return None


@click.command()
@click.argument("promises", nargs=-1)
def main(promises: tuple[str, ...]) -> None:
    """Sabotage the promises named, or all; fail if one is not found."""
    chosen = [one for one in MUTATIONS if one.invariant in promises]
    missed = []
    for one in chosen or MUTATIONS:
        seed = _find(one)
        print(f"{one.invariant}: found by seed {seed}", flush=True)
        if seed is None:
            missed.append(one.invariant)
    print(f"not found: {missed}")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
