"""The story of one request, joined from the logs of several entries."""

from collections import abc
import pathlib

import click
import msgspec

from agateshelf.cli import output

# What is believed of a target changes the fate of requests sent to it later;
# changes so long before a request's first line are shown with it.
CONTEXT_SECONDS = 5.0
_TARGET_EVENTS = frozenset({"target.barred", "target.registration"})

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
    """Show what happened to a request, in order, from log files."""
    lines = sorted(
        (line for path in files for line in read_lines(path)),
        key=_time_of,
    )
    story = story_of(request_id, lines)
    if not story:
        output.bad_input(f"no line tells of request {request_id}")
    began = _time_of(story[0])
    for line in story:
        click.echo(_told(line, began))


def read_lines(path: pathlib.Path) -> abc.Iterator[Line]:
    """Yield the lines of a log file; what is no line of ours is left out."""
    with path.open("rb") as file:
        for raw in file:
            start = raw.find(b"{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(raw[start:], type=Line)
            except msgspec.MsgspecError:
                continue
            if "event" in line and "t" in line:
                yield line


def story_of(request_id: str, lines: abc.Sequence[Line]) -> list[Line]:
    """Return the lines of a request, with what concerns its targets."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return []
    targets = {line["target"] for line in own if "target" in line}
    since = _time_of(own[0]) - CONTEXT_SECONDS
    until = _time_of(own[-1])
    told: set[tuple[object, ...]] = set()
    story: list[Line] = []
    for line in lines:
        if line.get("request") == request_id:
            story.append(line)
        elif _concerns(line, targets, since, until):
            # Every entry logs the same news of a target.
            news = (line["event"], line["target"], line.get("revision"))
            if news not in told:
                told.add(news)
                story.append(line)
    return story


def _concerns(
    line: Line, targets: set[object], since: float, until: float
) -> bool:
    if line["event"] not in _TARGET_EVENTS:
        return False
    return line.get("target") in targets and since <= _time_of(line) <= until


def _time_of(line: Line) -> float:
    at = line["t"]
    return float(at) if isinstance(at, int | float) else 0.0


def _told(line: Line, began: float) -> str:
    milliseconds = (_time_of(line) - began) * 1000
    rest = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("t", "node", "event", "request")
    )
    node = str(line.get("node", ""))
    return f"{milliseconds:+9.1f} ms  {node}  {line['event']}  {rest}"
