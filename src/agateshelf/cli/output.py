"""Output and exit statuses of the command-line tool."""

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
EXIT_OUTCOME_UNKNOWN = 4

_STATUS_OK = 200


def fail(message: str, status: int) -> NoReturn:
    """Print an error message and exit with a status."""
    click.echo(f"agateshelf: {message}", err=True)
    sys.exit(status)


def fail_bad_input(message: str) -> NoReturn:
    """Print an error message about invalid input and exit."""
    fail(message, const.EXIT_BAD_INPUT)


def request_value(admin: client.Administration, method: str, path: str) -> Any:
    """Return the decoded body of a successful response, or exit."""
    reply = send(admin, client.Request(method, path))
    if reply.status != _STATUS_OK:
        fail(error_of(reply), EXIT_REFUSED)
    return reply.value


def send(admin: client.Administration, request: client.Request) -> client.Reply:
    """Return the response of an entry, or exit if there is none."""
    try:
        return client.send(admin, request)
    except client.UnreachableError as exc:
        fail(str(exc), EXIT_UNREACHABLE)


def error_of(reply: client.Reply) -> str:
    """Return the error message of a response."""
    if isinstance(reply.value, dict) and "error" in reply.value:
        return str(reply.value["error"])
    return f"HTTP status {reply.status}"


def show_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
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
