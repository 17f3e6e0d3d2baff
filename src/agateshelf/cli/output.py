"""Output of the command-line tool, for people and for scripts."""

from collections import abc
import json
import sys
from typing import Any
from typing import NoReturn

import click

from agateshelf import const
from agateshelf.cli import client

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_KNOWN = 4

_STATUS_OK = 200


def fail(message: str, status: int) -> NoReturn:
    """Print a message and end with an exit status."""
    click.echo(f"agateshelf: {message}", err=True)
    sys.exit(status)


def bad_input(message: str) -> NoReturn:
    """End because what the operator gave can't be used."""
    fail(message, const.EXIT_BAD_INPUT)


def ask(admin: client.Administration, method: str, path: str) -> Any:
    """Return the decoded answer, or end with a message and exit status."""
    reply = send(admin, client.Request(method, path))
    if reply.status != _STATUS_OK:
        fail(fault_of(reply), EXIT_REFUSED)
    return reply.value


def send(admin: client.Administration, request: client.Request) -> client.Reply:
    """Return an entry's reply, or end if there is none."""
    try:
        return client.send(admin, request)
    except client.UnreachableError as exc:
        fail(str(exc), EXIT_UNREACHABLE)


def fault_of(reply: client.Reply) -> str:
    """Return what a reply says is wrong."""
    if isinstance(reply.value, dict) and "error" in reply.value:
        return str(reply.value["error"])
    return f"status {reply.status}"


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def show_rows(header: abc.Sequence[str], rows: abc.Sequence[Any]) -> None:
    """Print rows in aligned columns."""
    table = [tuple(header)]
    table.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [max(len(row[n]) for row in table) for n in range(len(header))]
    for row in table:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())
