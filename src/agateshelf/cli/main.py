"""The command-line tool `agateshelf`."""

import json
import pathlib
import sys
from typing import Any

import click

from agateshelf import const
from agateshelf import exceptions
from agateshelf.cli import client
from agateshelf.documents import settings

_EXIT_UNREACHABLE = 3
_STATUS_OK = 200

_admin_option = click.option(
    "--admin",
    default="127.0.0.1:8081",
    show_default=True,
    help="Administration address of an entry.",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def main() -> None:
    """Look at and steer a system of agateshelf entries.

    Exit status: 0 done, 1 refused, 2 bad input, 3 entry not reachable.
    """


@main.command("check-settings")
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check_settings(path: pathlib.Path) -> None:
    """Check an entry's settings file."""
    try:
        settings.read_settings(path)
    except exceptions.DocumentError as exc:
        click.echo(f"agateshelf: settings: {exc}", err=True)
        sys.exit(const.EXIT_BAD_INPUT)
    click.echo("settings are valid")


@main.command()
@_admin_option
@_json_option
def status(admin: str, as_json: bool) -> None:
    """Show how an entry is."""
    value = _get(admin, "/status")
    if as_json:
        click.echo(json.dumps(value))
        return
    click.echo(f"entry          {value['entry']}")
    click.echo(f"failure domain {value['failure_domain']}")
    click.echo(f"ready          {value['ready']}")
    click.echo(f"configuration  {value['version']}")
    click.echo(f"calls          {value['calls_in_flight']} in flight")


@main.command()
@_admin_option
@_json_option
def targets(admin: str, as_json: bool) -> None:
    """Show what an entry believes of its targets."""
    value = _get(admin, "/targets")
    if as_json:
        click.echo(json.dumps(value))
        return
    for row in value:
        state = "draining" if row["draining"] else "live"
        click.echo(
            f"{row['service']:<20} {row['target']:<12} {row['address']:<21} "
            f"{row['failure_domain']:<12} {state:<9} {row['in_flight']}"
        )


def _get(admin: str, path: str) -> Any:
    try:
        reply = client.request(admin, "GET", path)
    except client.UnreachableError as exc:
        click.echo(f"agateshelf: {exc}", err=True)
        sys.exit(_EXIT_UNREACHABLE)
    if reply.status != _STATUS_OK:
        click.echo(f"agateshelf: status {reply.status}", err=True)
        sys.exit(1)
    return reply.value


if __name__ == "__main__":
    main()
