"""Slopes of a real entry process on loopback."""

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
_ENTRIES_TOGETHER = 4
_ACQUAINTANCE_SECONDS = 5.0
_KIBIBYTE = 1024.0
_READ_BYTES = 65536
_ENTRY_LIMITS = {"connections": 1000}
_REQUEST = b"GET /recall/1 HTTP/1.1\r\nHost: bench\r\n\r\n"


def start(running: system.System, count: int) -> list[system.Entry]:
    """Start a store, a target and connected entries."""
    store = running.start_stand_in("store", "--port", "0")
    target = running.start_stand_in(
        "target", "--port", "0", "--id", "t0", "--service-ms", "0"
    )
    row = {"id": "t0", "address": target.address, "failure_domain": "boston"}
    service = {"team": "harborline", "prefix": "/recall/", "targets": [row]}
    system.put_configuration(
        store.address, {"services": {"recall-lookups": service}}
    )
    platform = {"store": store.address}
    documents = [_entry_settings(number, platform) for number in range(count)]
    if count > 1:
        system.add_peer_settings(documents)
    entries = [running.start_entry(document) for document in documents]
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
    """Return the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def connect(entry: system.Entry) -> socket.socket:
    """Open a caller's connection to an entry."""
    host, _, port = entry.process.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def call(sock: socket.socket) -> None:
    """Send one lookup and read its whole answer."""
    sock.sendall(_REQUEST)
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(_READ_BYTES)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(
        head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
    )
    while len(body) < length:
        body += sock.recv(_READ_BYTES)


def calls(name: str, entries: list[system.Entry]) -> fitting.Slope:
    """Measure the entries' processor time for each call through them."""
    points = []
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(contextlib.closing(connect(entry)))
            for entry in entries
        ]
        for count in _CALL_COUNTS:
            before = _processor_seconds_of(entries)
            for number in range(count):
                call(socks[number % len(socks)])
            spent = _processor_seconds_of(entries) - before
            points.append(fitting.Point(count, spent * 1000.0))
    return fitting.fit(name, "calls", "ms", points)


def _processor_seconds_of(entries: list[system.Entry]) -> float:
    return sum(processor_seconds(entry.process.popen.pid) for entry in entries)


def connections(entry: system.Entry) -> fitting.Slope:
    """Measure resident memory for each kept caller's connection."""
    pid = entry.process.popen.pid
    points = []
    with contextlib.ExitStack() as stack:
        held = 0
        for count in _CONNECTION_COUNTS:
            for _ in range(count - held):
                sock = stack.enter_context(contextlib.closing(connect(entry)))
                call(sock)
            held = count
            time.sleep(_SETTLE_SECONDS)
            points.append(fitting.Point(count, resident_bytes(pid) / _KIBIBYTE))
    return fitting.fit("entry/memory", "connections", "KiB", points)


def alone() -> list[fitting.Slope]:
    """Measure an entry without peers."""
    running = system.create_system()
    try:
        entries = start(running, 1)
        return [calls("entry/processor-alone", entries), connections(*entries)]
    finally:
        running.stop()


def together() -> list[fitting.Slope]:
    """Measure entries that place calls with each other's help."""
    running = system.create_system()
    try:
        entries = start(running, _ENTRIES_TOGETHER)
        time.sleep(_ACQUAINTANCE_SECONDS)
        slopes = [calls("entry/processor", entries)]
        slopes.append(_placing_bytes(entries))
        return slopes
    finally:
        running.stop()


def _placing_bytes(entries: list[system.Entry]) -> fitting.Slope:
    """Measure what all entries send each other for the calls they place."""
    points = []
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(contextlib.closing(connect(entry)))
            for entry in entries
        ]
        for count in _CALL_COUNTS:
            before = sum(_sent_bytes(entry) for entry in entries)
            for number in range(count):
                call(socks[number % len(socks)])
            sent = sum(_sent_bytes(entry) for entry in entries) - before
            points.append(fitting.Point(count, sent / _KIBIBYTE))
    return fitting.fit("entry/peer-bytes", "calls", "KiB", points)


def _sent_bytes(entry: system.Entry) -> int:
    _, body = system.request(entry.admin, "GET", "/status")
    return int(json.loads(body)["counts"].get("peers.sent_bytes", 0))


def run() -> list[fitting.Slope]:
    """Measure all slopes of real entries."""
    return [*alone(), *together()]
