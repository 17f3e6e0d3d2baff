"""A system of real processes: store, one target, one entry."""

import contextlib
import dataclasses
import socket

from agateshelf_standins import system


@dataclasses.dataclass
class SmallSystem:
    """The processes that tests connect to."""

    entry: system.Entry
    target: system.Process

    def connect(self):
        """Connect to the entry as a caller."""
        host, _, port = self.entry.process.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=15)
        return contextlib.closing(sock)


def start(local_system, limits=None, target_options=(), **more):
    """Start the processes and return once the entry is ready."""
    store = local_system.start_stand_in("store", "--port", "0")
    target = local_system.start_stand_in(
        "target", "--port", "0", "--id", "t0", *target_options
    )
    service = {
        "team": "harborline",
        "prefix": "/",
        "targets": [
            {"id": "t0", "address": target.address, "failure_domain": "boston"}
        ],
        "timeout": 30,
        "attempt_timeout": 30,
        "store_away": "run-unclaimed",
    }
    document = {"services": {"recall-lookups": service}}
    system.put_configuration(store.address, document)
    settings = {
        "entry": "entry-0",
        "failure_domain": "boston",
        "callers": {"port": system.free_port()},
        "administration": {"port": system.free_port()},
        "platform": {"store": store.address},
        "limits": limits or {},
        **more,
    }
    entry = local_system.start_entry(settings)
    system.wait_for(entry.admin, "/ready", entry.process.popen)
    return SmallSystem(entry, target)


def read_all(sock):
    """Read until the connection is closed."""
    parts = []
    while data := sock.recv(1 << 20):
        parts.append(data)
    return b"".join(parts)
