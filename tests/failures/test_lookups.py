"""Lookups through real entries while a target leaves."""

from concurrent import futures
import json
import time

from tests.failures import booking_system

from agateshelf_standins import system

LEAVING_SECONDS = 3.0
CALLERS = 8


def start(running, targets):
    """Start a system whose targets the callers can fill."""
    options = ("--slots", "2", "--service-ms", "20")
    return booking_system.start(
        running, entries=2, targets=targets, target_options=options, slots=2
    )


def look_up(booking, seconds):
    """Have callers look up through the entries; return all statuses."""
    end = time.monotonic() + seconds

    def call_again(caller):
        entry = booking.entries[caller % len(booking.entries)]
        address = entry.process.address
        statuses = []
        while time.monotonic() < end:
            answer = system.request(address, "GET", "/bookings/1")
            statuses.append(answer[0])
        return statuses

    with futures.ThreadPoolExecutor(CALLERS) as pool:
        rows = pool.map(call_again, range(CALLERS))
        return [status for row in rows for status in row]


def starts(target):
    _, body = system.request(target.address, "GET", "/control/ledger")
    return [run["began"] for run in json.loads(body)]


def test_a_draining_target_gets_nothing_new_within_seconds(running):
    booking = start(running, targets=3)
    statuses = look_up(booking, 1.0)
    leaving, *others = booking.targets
    system.control(leaving, draining=True)
    began = time.time()
    statuses += look_up(booking, LEAVING_SECONDS + 2.0)
    assert set(statuses) == {200}
    assert max(starts(leaving)) <= began + LEAVING_SECONDS
    later = [at for target in others for at in starts(target)]
    assert max(later) > began + LEAVING_SECONDS
