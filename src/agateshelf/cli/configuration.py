"""Commands that show and change the configuration."""

import json
import pathlib
import time
from typing import Any
import uuid

import click

from agateshelf.cli import client
from agateshelf.cli import output

_POLL_SECONDS = 0.2
_STATUS_OK = 200
_STATUS_ACCEPTED = 202
_PATCH_TYPE = "application/json-patch+json"


@click.group("config")
def group() -> None:
    """Show and change the configuration."""


@group.command()
@click.pass_obj
def show(admin: client.Administration) -> None:
    """Print the active configuration of an entry, as JSON."""
    output.show_json(output.request_value(admin, "GET", "/config"))


@group.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--version", type=int, required=True, help="Version to apply it to."
)
@click.option("--reason", default="", help="Reason, shown in the history.")
@click.option(
    "--id",
    "patch_id",
    help="Identifier of the patch; it is applied once even if sent again.",
)
@click.pass_obj
def patch(
    admin: client.Administration,
    path: pathlib.Path,
    version: int,
    reason: str,
    patch_id: str | None,
) -> None:
    """Submit a JSON Patch (RFC 6902) from a file."""
    try:
        body = path.read_bytes()
        json.loads(body)
    except OSError as exc:
        output.fail_bad_input(f"{path}: {exc.strerror}")
    except ValueError as exc:
        output.fail_bad_input(f"{path}: invalid JSON: {exc}")
    _submit(admin, body, version, reason, patch_id or _new_id())


def _new_id() -> str:
    return uuid.uuid4().hex


def _submit(
    admin: client.Administration,
    body: bytes,
    version: int,
    reason: str,
    patch_id: str,
) -> None:
    headers = (
        ("content-type", _PATCH_TYPE),
        ("if-match", f'"{version}"'),
        ("patch-id", patch_id),
        ("patch-reason", reason),
    )
    click.echo(f"patch {patch_id}", err=True)
    request = client.Request("PATCH", "/config", body, headers)
    _report(output.send(admin, request))


def _report(reply: client.Reply) -> None:
    if reply.status == _STATUS_OK:
        click.echo(f"accepted as version {reply.value['version']}")
        return
    if reply.status == _STATUS_ACCEPTED:
        patch_id = reply.value["patch_id"]
        output.fail(
            "outcome not known yet; look it up with: "
            f"agateshelf config lookup {patch_id}",
            output.EXIT_OUTCOME_UNKNOWN,
        )
    detail = output.error_of(reply)
    if isinstance(reply.value, dict) and reply.value.get("detail"):
        detail = str(reply.value["detail"])
    output.fail(detail, output.EXIT_REFUSED)


@group.command()
@click.option("--reason", default="", help="Reason, shown in the history.")
@click.pass_obj
def republish(admin: client.Administration, reason: str) -> None:
    """Write the active version to a store that holds a lower one."""
    headers = (("patch-id", _new_id()), ("patch-reason", reason))
    request = client.Request("POST", "/config/republish", b"", headers)
    _report(output.send(admin, request))


@group.command()
@click.argument("patch_id")
@click.pass_obj
def lookup(admin: client.Administration, patch_id: str) -> None:
    """Show the outcome of a patch."""
    request = client.Request("GET", f"/config/patches/{patch_id}")
    _report(output.send(admin, request))


@group.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def history(admin: client.Administration, as_json: bool, limit: int) -> None:
    """Show the accepted changes, the newest first."""
    value = output.request_value(admin, "GET", f"/config/history?limit={limit}")
    if as_json:
        output.show_json(value)
        return
    rows = [
        (
            change["version"],
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change["time"])),
            change["author"],
            change["patch_id"],
            change["reason"],
        )
        for change in value
    ]
    header = ("VERSION", "TIME (UTC)", "AUTHOR", "PATCH", "REASON")
    output.show_rows(header, rows)


@group.command()
@click.argument("version", type=int)
@click.option("--seconds", default=20.0, show_default=True)
@click.pass_obj
def wait(admin: client.Administration, version: int, seconds: float) -> None:
    """Wait until a version, or a newer one, is active on all entries.

    Prints the version of each entry, and exits with 1 if some entries don't
    report the version in time.
    """
    end = time.monotonic() + seconds
    while True:
        rows = output.request_value(admin, "GET", "/entries")
        missing = [row for row in rows if not _has_version(row, version)]
        if not missing or time.monotonic() >= end:
            break
        time.sleep(_POLL_SECONDS)
    output.show_rows(
        ("ENTRY", "STATE", "VERSION"),
        [(row["entry"], row["state"], row["version"]) for row in rows],
    )
    if missing:
        names = ", ".join(row["entry"] for row in missing)
        output.fail(f"version not active on: {names}", output.EXIT_REFUSED)


def _has_version(row: dict[str, Any], version: int) -> bool:
    return row["version"] is not None and int(row["version"]) >= version


@click.command()
@click.argument("service")
@click.argument("target")
@click.option("--undo", is_flag=True, help="Stop draining the target.")
@click.option("--reason", default="", help="Reason, shown in the history.")
@click.pass_obj
def drain(
    admin: client.Administration,
    service: str,
    target: str,
    undo: bool,
    reason: str,
) -> None:
    """Exclude a target from new requests."""
    document = output.request_value(admin, "GET", "/config")
    service_document = document["services"].get(service)
    if service_document is None:
        output.fail_bad_input(f"service {service} does not exist")
    target_ids = [row["id"] for row in service_document["targets"]]
    if target not in target_ids:
        output.fail_bad_input(f"service {service} has no target {target}")
    path = f"/services/{service}/targets/{target_ids.index(target)}/draining"
    operation = {"op": "add", "path": path, "value": not undo}
    body = json.dumps([operation]).encode()
    _submit(
        admin,
        body,
        document["version"],
        reason or f"drain {target}",
        _new_id(),
    )
