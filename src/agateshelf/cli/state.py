"""Shows what restricts the requests of an entry that follows routes."""

from typing import Any

import click

from agateshelf.cli import client
from agateshelf.cli import output


@click.command("state")
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def state(address: str, as_json: bool) -> None:
    """Show the running builds, and what restricts requests at an entry.

    ADDRESS is the HOST:PORT at which the entry answers /metrics.
    """
    entry = client.Administration(address)
    value = output.request_value(entry, "GET", "/state")
    if as_json:
        output.show_json(value)
        return
    targets = value["targets"]
    click.echo(f"entry           {value['entry']}")
    click.echo(f"routes          {value['routes_version']}")
    click.echo(f"entries         {value['entries']}")
    for row in value["builds"]:
        name = row["build"] or "earlier or unknown"
        click.echo(
            f"build           {name}, format {row['format']}:"
            f" {row['entries']} entries"
        )
    click.echo(f"reader          {'yes' if value['is_reader'] else 'no'}")
    click.echo(
        f"targets         {targets['cold']} cold, {targets['limited']} limited,"
        f" {targets['paused']} paused, {targets['leaving']} leaving"
    )
    click.echo(f"keys            {_describe_proof(value['key_proof'])}")
    for domain in value["evacuated"]:
        click.echo(
            f"evacuated       {domain['failure_domain']},"
            f" for {domain['seconds']:.1f} s"
        )
    _show_load(value)
    rows = [
        (row["name"], row["rate"], row["tokens"]) for row in value["workspaces"]
    ]
    if rows:
        output.show_rows(("WORKSPACE", "RATE", "TOKENS"), rows)


def _show_load(value: dict[str, Any]) -> None:
    """Show what an entry measured; those of earlier builds report nothing."""
    if "delay" in value:
        since = value["delay"]["overloaded_seconds"]
        overload = "" if since is None else f", in overload for {since:.1f} s"
        click.echo(f"delay           {value['delay']['ms']:.1f} ms{overload}")
    for owner in value.get("late_owners", ()):
        click.echo(
            f"late owner      {owner['entry']}, {owner['ms']:.1f} ms,"
            f" not asked for {owner['seconds']:.1f} s"
        )
    for trip in value.get("round_trips", ()):
        click.echo(
            f"round trip      {trip['failure_domain']}, {trip['ms']:.1f} ms"
        )


def _describe_proof(proof: dict[str, float | None] | None) -> str:
    if proof is None:
        return "not used"
    answer = "served" if proof["permits"] else "refused"
    if proof["seconds"] is None:
        return answer
    return f"{answer}, proof {proof['seconds']:.1f} s old"
