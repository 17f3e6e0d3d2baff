"""An entry of another writer that can't be read stops the feed of servers."""

import asyncio
import json
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import fleet as fleet_lib  # noqa: E402

NESTED_LISTS = 2000
# `drain` of the settings is 2 s.
DRAIN_SECONDS = 2.0
MARGIN_SECONDS = 3.0
QUIET_SECONDS = 4.0
SENDS = 60


def foreign_entry() -> bytes:
    """Return an entry whose field `warmup_left` has another type."""
    fields = {
        "service": "orders",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "sequence": 1,
    }
    nested = "[" * NESTED_LISTS + "]" * NESTED_LISTS
    text = json.dumps(fields)
    return f'{text[:-1]}, "warmup_left": {nested}}}'.encode()


async def play(fleet: fleet_lib.Fleet, *, trouble: bool) -> int:
    """Write the entry, drain a server, and see whether it gets requests."""
    fleet.store.put(
        "op/config",
        fleet_lib.configuration(7, [fleet_lib.route("/orders/", "orders")]),
    )
    first = await fleet.add_member("orders")
    await fleet.add_member("orders")
    for entry in fleet.entries:
        fleet.start_entry(entry)
    for entry in fleet.entries:
        if not await fleet.wait_ready(entry):
            return fleet_lib.CANNOT_RUN
    await asyncio.sleep(QUIET_SECONDS)
    for _ in range(10):
        for entry in fleet.entries:
            answer = await fleet_lib.ask(fleet, entry, "/orders/1")
            if answer.status != 200:
                return fleet_lib.CANNOT_RUN
    if trouble:
        fleet.store.put("servers/i-foreign", foreign_entry())
        fleet.log.add("foreign entry written")
        await asyncio.sleep(1.0)
        fleet.store.delete("servers/i-foreign")
        fleet.log.add("foreign entry removed")
    await asyncio.sleep(QUIET_SECONDS)
    first.state = "draining"
    first.register()
    fleet.log.add("draining accepted", server=first.name)
    await asyncio.sleep(DRAIN_SECONDS + MARGIN_SECONDS)
    fleet.log.add("drained", server=first.name)
    late = 0
    for _ in range(SENDS):
        for entry in fleet.entries:
            before = fleet.log.count("run", server=first.name)
            await fleet_lib.ask(fleet, entry, "/orders/1")
            late += fleet.log.count("run", server=first.name) - before
    unserved = await replace_all(fleet)
    fleet.log.add(
        "verdict", late_requests=late, unserved_after_replacement=unserved
    )
    return fleet_lib.BROKEN if late else fleet_lib.HELD


async def replace_all(fleet: fleet_lib.Fleet) -> int:
    """Replace all servers; return how many of some requests are not served.

    This is not the rule that is checked; it shows how far the fault reaches.
    """
    before = list(fleet.members)
    await fleet.add_member("orders")
    for member in before:
        member.state = "draining"
        member.register()
    await asyncio.sleep(DRAIN_SECONDS + MARGIN_SECONDS)
    for member in before:
        await member.leave()
    fleet.log.add("all servers replaced")
    await asyncio.sleep(QUIET_SECONDS)
    answers = [
        await fleet_lib.ask(fleet, entry, "/orders/1")
        for entry in fleet.entries
        for _ in range(5)
    ]
    ready = [await fleet.is_ready(entry) for entry in fleet.entries]
    fleet.log.add("ready after the replacement", entries=ready)
    return sum(answer.status != 200 for answer in answers)


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(CASE, play, entries=3))
