"""Entry point of the command-line tool `agateshelf`."""

import hashlib
import pathlib
import secrets

import click

from agateshelf import exceptions
from agateshelf.cli import client
from agateshelf.cli import configuration
from agateshelf.cli import explain
from agateshelf.cli import output
from agateshelf.cli import state
from agateshelf.documents import check
from agateshelf.documents import configuration as configuration_documents
from agateshelf.documents import settings

_TOKEN_BYTES = 32


@click.group(context_settings={"auto_envvar_prefix": "AGATESHELF"})
@click.option(
    "--admin",
    default="127.0.0.1:8081",
    show_default=True,
    help="Administration address of an entry.",
)
@click.option(
    "--token",
    help="Bearer token; prefer AGATESHELF_TOKEN, hidden from process lists.",
)
@click.option(
    "--authority",
    type=click.Path(exists=True),
    help="File of trusted CA certificates; enables TLS.",
)
@click.pass_context
def main(
    ctx: click.Context, admin: str, token: str | None, authority: str | None
) -> None:
    """Inspect and configure a system of agateshelf entries.

    Exit status: 0 success, 1 refused, 2 bad input, 3 entry not reachable,
    4 outcome not known yet.
    """
    ctx.obj = client.Administration(admin, token, authority)


main.add_command(configuration.group)
main.add_command(configuration.drain)
main.add_command(explain.explain)
main.add_command(state.state)


@main.command("check-settings")
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check_settings(path: pathlib.Path) -> None:
    """Validate a settings file of an entry."""
    try:
        settings.read_settings(path)
    except exceptions.DocumentError as exc:
        output.fail_bad_input(f"settings: {exc}")
    click.echo("settings are valid")


@main.command("check-configuration")
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check_configuration(path: pathlib.Path) -> None:
    """Validate a file with a complete configuration."""
    try:
        check.check_json(
            configuration_documents.ConfigurationDocument, path.read_bytes()
        )
    except exceptions.DocumentError as exc:
        output.fail_bad_input(f"configuration: {exc}")
    except OSError as exc:
        output.fail_bad_input(f"{path}: {exc.strerror}")
    click.echo("configuration is valid")


@main.command("new-token")
def new_token() -> None:
    """Generate a bearer token and its SHA-256 digest."""
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    click.echo(f"token   {token}")
    click.echo(f"sha256  {hashlib.sha256(token.encode()).hexdigest()}")


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def status(admin: client.Administration, as_json: bool) -> None:
    """Show the status of an entry."""
    value = output.request_value(admin, "GET", "/status")
    if as_json:
        output.show_json(value)
        return
    click.echo(f"entry           {value['entry']}")
    click.echo(f"failure domain  {value['failure_domain']}")
    click.echo(f"ready           {'yes' if value['ready'] else 'no'}")
    click.echo(f"configuration   {value['version']}")
    click.echo(f"calls           {value['calls_in_flight']} in flight")


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def targets(admin: client.Administration, as_json: bool) -> None:
    """Show the state of the targets as seen by an entry."""
    value = output.request_value(admin, "GET", "/targets")
    if as_json:
        output.show_json(value)
        return
    rows = [
        (
            row["service"],
            row["target"],
            row["address"],
            row["failure_domain"],
            row["belief"],
            row["in_flight"],
        )
        for row in value
    ]
    header = ("SERVICE", "TARGET", "ADDRESS", "DOMAIN", "BELIEF", "IN FLIGHT")
    output.show_rows(header, rows)


if __name__ == "__main__":
    main()
