"""Command line of the daemon.

Only an entry that is started by hand needs it: `main` reads the usual arguments
itself, since the import of click takes a twentieth of the time of a start.
"""

from collections import abc
import pathlib
import sys

import click

from agateshelf import const


@click.command("agateshelfd")
@click.option(
    "--settings",
    "path",
    required=True,
    envvar=const.SETTINGS_VARIABLE,
    type=click.Path(path_type=pathlib.Path),
    help="JSON file with this entry's settings.",
)
def _command(path: pathlib.Path) -> None:
    """Run one entry of agateshelf until it is asked to stop."""
    del path


def parse(arguments: abc.Sequence[str]) -> pathlib.Path:
    """Return the path of the settings; exit after help or an error."""
    try:
        context = _command.make_context("agateshelfd", list(arguments))
    except click.exceptions.Exit as exc:
        sys.exit(exc.exit_code)
    except click.ClickException as exc:
        exc.show()
        sys.exit(exc.exit_code)
    path: pathlib.Path = context.params["path"]
    return path
