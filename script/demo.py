"""Runs a small local system until Ctrl-C: a store, targets and two entries."""

import pathlib
import shutil
import signal
import sys
import threading
from typing import Any

from agateshelf_standins import system

CALLERS_PORT = 8080
ADMIN_PORT = 8081
SECOND_CALLERS_PORT = 8082
SECOND_ADMIN_PORT = 8083
REFUSAL = {"header": "Request-Outcome", "value": "not-run"}
DOMAINS = ("boston", "hartford", "portland", "providence")
SERVICES = {
    "recall-lookups": ("/recall/", 3, "urgent", []),
    "remedy-bookings": ("/bookings/", 3, "urgent", ["POST"]),
    "dealer-feeds": ("/feeds/", 2, "background", []),
}

HELP = """
agateshelf is ready: callers on 127.0.0.1:8080, administration on 127.0.0.1:8081

  curl http://127.0.0.1:8080/recall/4T1BE46K19U123456
  curl -X POST -H 'Idempotency-Key: booking-1' -d bay=2 \\
      http://127.0.0.1:8080/bookings/
  curl http://127.0.0.1:8080/feeds/today
  curl http://127.0.0.1:8081/ready
  .venv/bin/agateshelf status
  .venv/bin/agateshelf targets
  .venv/bin/agateshelf config history
  .venv/bin/agateshelf drain dealer-feeds dealer-feeds-0
  .venv/bin/agateshelf config wait 2

The second entry takes callers on 127.0.0.1:8082. Ctrl-C stops everything.
"""


def service_document(local_system: system.System, name: str) -> dict[str, Any]:
    """Start the targets of a service and return its policy document."""
    prefix, count, priority, non_idempotent = SERVICES[name]
    targets = []
    for number in range(count):
        identifier = f"{name}-{number}"
        process = local_system.start_stand_in(
            "target", "--port", "0", "--slots", "2", "--id", identifier
        )
        targets.append(
            {
                "id": identifier,
                "address": process.address,
                "failure_domain": DOMAINS[number % len(DOMAINS)],
            }
        )
    return {
        "team": "harborline",
        "prefix": prefix,
        "priority": priority,
        "non_idempotent": non_idempotent,
        "targets": targets,
        "refusal_marks": [REFUSAL],
    }


def entry_settings(
    number: int, callers: int, admin: int, platform: dict[str, str]
) -> dict[str, Any]:
    """Return the settings document of an entry."""
    return {
        "entry": f"entry-{number}",
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "callers": {"port": callers},
        "administration": {"port": admin},
        "platform": platform,
    }


def start(local_system: system.System) -> None:
    """Start the store, the targets and two entries with connected peers."""
    store = local_system.start_stand_in("store", "--port", "0")
    document = {
        "services": {
            name: service_document(local_system, name) for name in SERVICES
        },
    }
    system.put_configuration(store.address, document)
    platform = {"store": store.address}
    first = entry_settings(0, CALLERS_PORT, ADMIN_PORT, platform)
    second = entry_settings(1, SECOND_CALLERS_PORT, SECOND_ADMIN_PORT, platform)
    system.add_peer_settings([first, second])
    for settings in (first, second):
        entry = local_system.start_entry(settings)
        system.wait_for(entry.admin, "/ready", entry.process.popen)


def main() -> int:
    """Run the system until SIGINT or SIGTERM."""
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    local_system = system.create_system()
    try:
        start(local_system)
        print(HELP, flush=True)
        stop.wait()
    finally:
        local_system.stop()
        shutil.rmtree(pathlib.Path(local_system.directory), ignore_errors=True)
    print("stopped", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
