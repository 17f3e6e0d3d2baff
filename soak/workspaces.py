"""Workspaces and keys of the soak: their documents and their invariants."""

from collections import abc
import dataclasses
import pathlib
import random
from typing import Any

from soak import history as history_lib

# Later than that after the store acknowledged that a key is withdrawn, no
# request with it runs.
REVOCATION_SECONDS = 5.0
# Whether that holds at entries that are not in touch with the store as well;
# the entries then run with `revocation_ms`.
IS_STRICT = True
# Number of the key of a workspace that may be withdrawn; it has one more.
_WITHDRAWABLE = 0
_WITHDRAWABLE_SHARE = 0.3
_FORGED_SHARE = 0.1
_UNAUTHORIZED = 401

IsConnected = abc.Callable[[history_lib.History, int, float, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """What a caller sends to say who it is.

    Attributes:
        workspace: Name of its workspace; empty if there are none.
        key: Key of the workspace; empty if there are none.
        forges: Whether it claims to be another workspace in the header that
            targets read.
    """

    workspace: str = ""
    key: str = ""
    forges: bool = False

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of a request."""
        found = []
        if self.key:
            found.append(("Authorization", f"Bearer {self.key}"))
        if self.forges:
            found.append(("X-Tenant-Id", "forged"))
        return found


def name_of(number: int) -> str:
    """Return the name of a workspace."""
    return f"w{number}"


def key_of(workspace: str, number: int = _WITHDRAWABLE) -> str:
    """Return a key of a workspace; it occurs nowhere else in a run."""
    return f"sk-secret-{workspace}-{number}"


def draw_credentials(rng: random.Random, workspaces: int) -> Credentials:
    """Draw a workspace and one of its keys."""
    if not workspaces:
        return Credentials()
    workspace = name_of(rng.randrange(workspaces))
    number = int(rng.random() >= _WITHDRAWABLE_SHARE)
    forges = rng.random() < _FORGED_SHARE
    return Credentials(workspace, key_of(workspace, number), forges)


def documents(
    workspaces: int, withdrawn: abc.Container[str]
) -> list[dict[str, Any]]:
    """Return the workspaces as the configuration has them."""
    return [
        {
            "name": name,
            "api_keys": [
                key
                for key in (key_of(name, 0), key_of(name, 1))
                if key not in withdrawn
            ],
            "priority": 0,
        }
        for name in map(name_of, range(workspaces))
    ]


def is_refused_rightly(
    history: history_lib.History, call: history_lib.Call
) -> bool:
    """Return whether a request came with a key that is withdrawn in the run."""
    return call.key in history.withdrawn_at


def find_violations(
    history: history_lib.History, is_connected: IsConnected
) -> list[str]:
    """Return a line for each violation of what workspaces are promised.

    Args:
        history: The history of a run.
        is_connected: Returns whether an entry could receive changes of the
            store between two times.
    """
    calls = {call.id: call for call in history.calls if call.key}
    if not calls:
        return []
    violations = [
        f"{call.id} got status 401 with a valid key"
        for call in calls.values()
        if call.status == _UNAUTHORIZED
        and not is_refused_rightly(history, call)
    ]
    for line in history.ledger:
        call = calls.get(line.get("id", ""))
        if line["kind"] != "run" or call is None:
            continue
        if line["has_key"]:
            violations.append(f"{line['by']} got the key of {call.id}")
        if line["workspace"] != call.workspace:
            violations.append(
                f"{call.id} ran for workspace {line['workspace']}"
                f" instead of {call.workspace}"
            )
        if _is_late(history, call, is_connected):
            violations.append(f"{call.id} ran with a withdrawn key")
    found = [f"{name} has a key" for name in history.files_with_keys]
    return [*violations, *found]


def _is_late(
    history: history_lib.History,
    call: history_lib.Call,
    is_connected: IsConnected,
) -> bool:
    """Return whether a request was sent too late after its key's withdrawal."""
    withdrawn_at = history.withdrawn_at.get(call.key)
    if withdrawn_at is None:
        return False
    if call.sent_at <= withdrawn_at + REVOCATION_SECONDS:
        return False
    return IS_STRICT or is_connected(
        history, call.entry, withdrawn_at, call.sent_at
    )


def files_with_keys(directory: pathlib.Path, workspaces: int) -> list[str]:
    """Return the names of the files in a directory that contain any key."""
    keys = [
        key_of(name_of(number), key).encode()
        for number in range(workspaces)
        for key in (0, 1)
    ]
    return [
        path.name
        for path in sorted(directory.iterdir())
        if path.is_file() and any(key in path.read_bytes() for key in keys)
    ]
