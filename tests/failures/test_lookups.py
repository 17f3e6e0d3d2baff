"""Lookups through real processes while a target drains."""

from concurrent import futures
import json
import time

from tests.failures import booking_system

from agateshelf_standins import system

DRAIN_SECONDS = 3.0
CALLERS = 8


def start(local_system, targets):
    """Start a system whose target slots the callers can fill."""
    options = ("--slots", "2", "--service-ms", "20")
    return booking_system.start(
        local_system,
        entries=2,
        targets=targets,
        target_options=options,
        slots=2,
    )


def look_up(deployment, seconds):
    """Send lookups from all callers for some seconds; return all statuses."""
    deadline = time.monotonic() + seconds

    def call_repeatedly(caller):
        entry = deployment.entries[caller % len(deployment.entries)]
        address = entry.process.address
        statuses = []
        while time.monotonic() < deadline:
            response = system.request(address, "GET", "/bookings/1")
            statuses.append(response[0])
        return statuses

    with futures.ThreadPoolExecutor(CALLERS) as pool:
        statuses_by_caller = pool.map(call_repeatedly, range(CALLERS))
        return [
            status for statuses in statuses_by_caller for status in statuses
        ]


def start_times(target):
    _, body = system.request(target.address, "GET", "/control/ledger")
    return [run["began"] for run in json.loads(body)]


def test_draining_target_stops_getting_requests_within_seconds(local_system):
    deployment = start(local_system, targets=3)
    statuses = look_up(deployment, 1.0)
    draining_target, *others = deployment.targets
    system.set_options(draining_target, draining=True)
    draining_since = time.time()
    statuses += look_up(deployment, DRAIN_SECONDS + 2.0)
    assert set(statuses) == {200}
    assert max(start_times(draining_target)) <= draining_since + DRAIN_SECONDS
    other_starts = [
        start_time for target in others for start_time in start_times(target)
    ]
    assert max(other_starts) > draining_since + DRAIN_SECONDS
