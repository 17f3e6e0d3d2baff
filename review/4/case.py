"""Resets of one entry's watches keep a server in use that has left."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import fleet as fleet_lib  # noqa: E402
from standins import member as member_lib  # noqa: E402
from standins import proxy as proxy_lib  # noqa: E402

# `drain` of the settings is 2 s. A request is late if its client sent it later
# than that, and a tenth of a second for the way to the store and back.
DRAIN_SECONDS = 2.1
LEAVES_AFTER_SECONDS = 0.25
QUIET_SECONDS = 6.0
START_PAUSE_SECONDS = 0.14
# The server serves on for `drain` and a little longer.
SERVES_ON_SECONDS = 2.3
PAUSE_SECONDS = 0.025


async def send_all(
    fleet: fleet_lib.Fleet, leaving: member_lib.Member, began: float
) -> tuple[int, int]:
    """Send bookings for a while; return how many were late, and lost."""
    loop = asyncio.get_running_loop()
    late = lost = 0

    async def send_one(entry: fleet_lib.Entry) -> None:
        nonlocal late, lost
        sent_at = loop.time() - began
        answer = await fleet_lib.ask(fleet, entry, "/pay/1", method="POST")
        ran = fleet.log.count("run", server=leaving.name, id=answer.request_id)
        if ran and sent_at > DRAIN_SECONDS:
            late += 1
            lost += answer.status != 200

    tasks = []
    while loop.time() - began < SERVES_ON_SECONDS + 1.0:
        tasks.extend(
            asyncio.create_task(send_one(entry)) for entry in fleet.entries[1:]
        )
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*tasks)
    return late, lost


async def play(fleet: fleet_lib.Fleet, *, trouble: bool) -> int:
    """Remove the entry of a server while watches are cut."""
    route = fleet_lib.route("/pay/", "ledger", "unsafe")
    fleet.store.put("op/config", fleet_lib.configuration(7, [route]))
    leaving = await fleet.add_member("ledger", work_seconds=0.1)
    for _ in range(3):
        await fleet.add_member("ledger", work_seconds=0.1)
    # The entry with the first address reads the store for its zone.
    fleet.entries.sort(key=lambda entry: f"127.0.0.1:{entry.control}")
    reader = fleet.entries[0]
    link = proxy_lib.Proxy((fleet_lib.HOST, fleet.store_port))
    port = fleet_lib.free_port()
    await link.start(fleet_lib.HOST, port)
    fleet.store_port_of[reader.name] = port
    for entry in fleet.entries:
        fleet.start_entry(entry)
        await asyncio.sleep(START_PAUSE_SECONDS)
    for entry in fleet.entries:
        if not await fleet.wait_ready(entry):
            return fleet_lib.CANNOT_RUN
    await asyncio.sleep(QUIET_SECONDS)
    if trouble:
        link.reset_all()
        fleet.log.add("connections reset", entry=reader.name)
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    if leaving.beating is not None:
        leaving.beating.cancel()
    fleet.store.delete(f"servers/{leaving.name}")
    fleet.log.add("entry removed", server=leaving.name)
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def end() -> None:
        await asyncio.sleep(SERVES_ON_SECONDS)
        fleet.log.add("server ends", server=leaving.name)
        await leaving.close()

    ending = asyncio.create_task(end())
    late, lost = await send_all(fleet, leaving, began)
    await ending
    await link.close()
    fleet.log.add("verdict", late_requests=late, lost=lost, resets=link.resets)
    return fleet_lib.BROKEN if late else fleet_lib.HELD


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(CASE, play, entries=3))
