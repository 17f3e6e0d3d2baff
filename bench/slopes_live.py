"""Measures cost slopes of real entry processes on loopback.

See `bench.slopes` for what the slopes are used for.
"""

import contextlib
import json
import os
import pathlib
import socket
import time
from typing import Any

from agateshelf_standins import system
from bench import fitting

_CALL_COUNTS = (500, 1000, 2000, 3000)
_CONNECTION_COUNTS = (0, 100, 200, 400)
_SETTLE_SECONDS = 0.5
_CONNECTED_ENTRIES = 4
_MEMBERSHIP_SETTLE_SECONDS = 5.0
_KIBIBYTE = 1024.0
_READ_BYTES = 65536
_ENTRY_LIMITS = {"connections": 1000}
_REQUEST = b"GET /recall/1 HTTP/1.1\r\nHost: bench\r\n\r\n"


def start_entries(
    local_system: system.System, count: int
) -> list[system.Entry]:
    """Start a store, a target and entries that are peers of each other."""
    store = local_system.start_stand_in("store", "--port", "0")
    target = local_system.start_stand_in(
        "target", "--port", "0", "--id", "t0", "--service-ms", "0"
    )
    target_document = {
        "id": "t0",
        "address": target.address,
        "failure_domain": "boston",
    }
    service = {
        "team": "harborline",
        "prefix": "/recall/",
        "targets": [target_document],
    }
    system.put_configuration(
        store.address, {"services": {"recall-lookups": service}}
    )
    platform = {"store": store.address}
    settings = [_entry_settings(number, platform) for number in range(count)]
    if count > 1:
        system.add_peer_settings(settings)
    entries = [local_system.start_entry(one) for one in settings]
    for entry in entries:
        system.wait_for(entry.admin, "/ready", entry.process.popen)
    return entries


def _entry_settings(number: int, platform: dict[str, str]) -> dict[str, Any]:
    return {
        "entry": f"entry-{number}",
        "failure_domain": "boston",
        "callers": {"port": system.free_port()},
        "administration": {"port": system.free_port()},
        "platform": platform,
        "limits": _ENTRY_LIMITS,
    }


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, kernel = fields.split()[11:13]
    return (int(user) + int(kernel)) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def open_connection(entry: system.Entry) -> socket.socket:
    """Open a connection to an entry as a caller."""
    host, _, port = entry.process.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def send_request(connection: socket.socket) -> None:
    """Send one request and read its whole response."""
    connection.sendall(_REQUEST)
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(_READ_BYTES)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(
        head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
    )
    while len(body) < length:
        body += connection.recv(_READ_BYTES)


def measure_processor(name: str, entries: list[system.Entry]) -> fitting.Slope:
    """Measure the processor time of all entries by number of calls."""
    points = []
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(contextlib.closing(open_connection(entry)))
            for entry in entries
        ]
        for count in _CALL_COUNTS:
            before = _total_processor_seconds(entries)
            for number in range(count):
                send_request(connections[number % len(connections)])
            used = _total_processor_seconds(entries) - before
            points.append(fitting.Point(count, used * 1000.0))
    return fitting.fit(name, "calls", "ms", points)


def _total_processor_seconds(entries: list[system.Entry]) -> float:
    return sum(processor_seconds(entry.process.popen.pid) for entry in entries)


def measure_memory(entry: system.Entry) -> fitting.Slope:
    """Measure resident memory by number of open caller connections."""
    pid = entry.process.popen.pid
    points = []
    with contextlib.ExitStack() as stack:
        opened = 0
        for count in _CONNECTION_COUNTS:
            for _ in range(count - opened):
                connection = stack.enter_context(
                    contextlib.closing(open_connection(entry))
                )
                send_request(connection)
            opened = count
            time.sleep(_SETTLE_SECONDS)
            points.append(fitting.Point(count, resident_bytes(pid) / _KIBIBYTE))
    return fitting.fit("entry/memory", "connections", "KiB", points)


def measure_single_entry() -> list[fitting.Slope]:
    """Measure an entry without peers: processor time and memory."""
    local_system = system.create_system()
    try:
        entries = start_entries(local_system, 1)
        return [
            measure_processor("entry/processor-alone", entries),
            measure_memory(*entries),
        ]
    finally:
        local_system.stop()


def measure_connected_entries() -> list[fitting.Slope]:
    """Measure entries with peers: processor time and traffic between them.

    These entries ask the owner of a service, often another entry, for a target.
    """
    local_system = system.create_system()
    try:
        entries = start_entries(local_system, _CONNECTED_ENTRIES)
        time.sleep(_MEMBERSHIP_SETTLE_SECONDS)
        slopes = [measure_processor("entry/processor", entries)]
        slopes.append(_measure_peer_traffic(entries))
        return slopes
    finally:
        local_system.stop()


def _measure_peer_traffic(entries: list[system.Entry]) -> fitting.Slope:
    """Measure the bytes that all entries send to peers by number of calls."""
    points = []
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(contextlib.closing(open_connection(entry)))
            for entry in entries
        ]
        for count in _CALL_COUNTS:
            before = sum(_sent_bytes(entry) for entry in entries)
            for number in range(count):
                send_request(connections[number % len(connections)])
            sent = sum(_sent_bytes(entry) for entry in entries) - before
            points.append(fitting.Point(count, sent / _KIBIBYTE))
    return fitting.fit("entry/peer-bytes", "calls", "KiB", points)


def _sent_bytes(entry: system.Entry) -> int:
    _, body = system.request(entry.admin, "GET", "/status")
    return int(json.loads(body)["counts"].get("peers.sent_bytes", 0))


def run() -> list[fitting.Slope]:
    """Measure all slopes of real entries."""
    return [*measure_single_entry(), *measure_connected_entries()]
