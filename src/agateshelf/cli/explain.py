"""Reconstructs the course of a request from the logs of several entries."""

from collections import abc
import pathlib

import click
import msgspec

from agateshelf import decoding
from agateshelf.cli import output

# Changes of a target's state affect later requests to it. Those within this
# time before the first log line of a request are shown as context.
CONTEXT_SECONDS = 5.0
_TARGET_EVENTS = frozenset(
    {
        "limit.lifted",
        "limit.named",
        "target.barred",
        "target.cold",
        "target.leaving",
        "target.paused",
        "target.registration",
        "target.warm",
    }
)

Line = dict[str, object]


@click.command("explain")
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
)
def explain(request_id: str, files: tuple[pathlib.Path, ...]) -> None:
    """Show the log lines of a request in order of time."""
    lines = sorted(
        (line for path in files for line in read_lines(path)),
        key=_time_of,
    )
    selected = select_lines(request_id, lines)
    if not selected:
        output.fail_bad_input(f"no log line mentions request {request_id}")
    start_time = _time_of(selected[0])
    for line in selected:
        click.echo(_format_line(line, start_time))


def read_lines(path: pathlib.Path) -> abc.Iterator[Line]:
    """Yield the JSON records of a log file; other lines are skipped.

    Text before the first brace of a line is ignored.
    """
    with path.open("rb") as file:
        for raw in file:
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(raw[start:], type=Line)
            except decoding.ERRORS:
                continue
            if "event" in line and "t" in line:
                yield line


def select_lines(request_id: str, lines: abc.Sequence[Line]) -> list[Line]:
    """Return the lines of a request and the state changes of its targets."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return []
    targets = {line["target"] for line in own if "target" in line}
    since = _time_of(own[0]) - CONTEXT_SECONDS
    until = _time_of(own[-1])
    seen: set[tuple[object, ...]] = set()
    selected: list[Line] = []
    for line in lines:
        if line.get("request") == request_id:
            selected.append(line)
        elif _is_context(line, targets, since, until):
            # Each entry logs the same change of a target; show it once.
            change = (line["event"], line["target"], line.get("revision"))
            if change not in seen:
                seen.add(change)
                selected.append(line)
    return selected


def _is_context(
    line: Line, targets: set[object], since: float, until: float
) -> bool:
    if line["event"] not in _TARGET_EVENTS:
        return False
    return line.get("target") in targets and since <= _time_of(line) <= until


def _time_of(line: Line) -> float:
    at = line["t"]
    return float(at) if isinstance(at, int | float) else 0.0


def _format_line(line: Line, start_time: float) -> str:
    milliseconds = (_time_of(line) - start_time) * 1000
    rest = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("t", "node", "event", "request")
    )
    entry = str(line.get("node", ""))
    return f"{milliseconds:+9.1f} ms  {entry}  {line['event']}  {rest}"
