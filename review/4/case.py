"""Resets of one entry's watches keep a server in use that has left."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import fleet as fleet_lib  # noqa: E402
from standins import member as member_lib  # noqa: E402
from standins import proxy as proxy_lib  # noqa: E402

# `drain` of the settings is 2 s; a little more for the way to the store.
DRAIN_SECONDS = 2.05
LEAVES_AFTER_SECONDS = 0.22
QUIET_SECONDS = 4.0
START_PAUSE_SECONDS = 0.14
# The server serves on for `drain` and a little longer.
SERVES_ON_SECONDS = 2.3
PAUSE_SECONDS = 0.025
WORK_SECONDS = 0.1
SERVERS = 4
ROUNDS = 8


async def send_all(
    fleet: fleet_lib.Fleet,
    others: list[fleet_lib.Entry],
    leaving: member_lib.Member,
) -> tuple[int, int]:
    """Send bookings for a while; return how many were late, and lost."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    late = lost = 0

    async def send_one(entry: fleet_lib.Entry) -> None:
        nonlocal late, lost
        sent_at = loop.time() - began
        answer = await fleet_lib.ask(fleet, entry, "/pay/1", method="POST")
        ran = fleet.log.count("run", server=leaving.name, id=answer.request_id)
        if ran and sent_at > DRAIN_SECONDS:
            late += 1
            lost += answer.status != 200

    tasks: list[asyncio.Task[None]] = []
    while loop.time() - began < SERVES_ON_SECONDS:
        tasks.extend(asyncio.create_task(send_one(entry)) for entry in others)
        await asyncio.sleep(PAUSE_SECONDS)
    await leaving.close()
    fleet.log.add("server ends", server=leaving.name)
    await asyncio.gather(*tasks)
    fleet.log.add("round", late_requests=late, lost=lost)
    return late, lost


async def retire(
    fleet: fleet_lib.Fleet,
    links: dict[str, proxy_lib.Proxy],
    leaving: member_lib.Member,
    *,
    trouble: bool,
) -> tuple[int, int]:
    """Reset the reader's connections to the store, and remove a server."""
    # Only the reader has connections that stay open: its two watches.
    reader = max(links, key=lambda name: len(links[name].pairs))
    others = [entry for entry in fleet.entries if entry.name != reader]
    if trouble:
        links[reader].reset_all()
        fleet.log.add("connections reset", entry=reader)
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    if leaving.beating is not None:
        leaving.beating.cancel()
    fleet.store.delete(f"servers/{leaving.name}")
    fleet.log.add("entry removed", server=leaving.name)
    return await send_all(fleet, others, leaving)


async def play(fleet: fleet_lib.Fleet, *, trouble: bool) -> int:
    """Replace servers, each as one entry's watches are reset."""
    route = fleet_lib.route("/pay/", "ledger", "unsafe")
    fleet.store.put("op/config", fleet_lib.configuration(7, [route]))
    working = [
        await fleet.add_member("ledger", work_seconds=WORK_SECONDS)
        for _ in range(SERVERS)
    ]
    links: dict[str, proxy_lib.Proxy] = {}
    for entry in fleet.entries:
        port = fleet_lib.free_port()
        link = proxy_lib.Proxy((fleet_lib.HOST, fleet.store_port))
        await link.start(fleet_lib.HOST, port)
        links[entry.name] = link
        fleet.store_port_of[entry.name] = port
    for entry in fleet.entries:
        fleet.start_entry(entry)
        await asyncio.sleep(START_PAUSE_SECONDS)
    for entry in fleet.entries:
        if not await fleet.wait_ready(entry):
            return fleet_lib.CANNOT_RUN
    late = lost = 0
    for _ in range(ROUNDS):
        # More than `stable_window` after the reset before.
        await asyncio.sleep(QUIET_SECONDS)
        late_now, lost_now = await retire(
            fleet, links, working.pop(0), trouble=trouble
        )
        late, lost = late + late_now, lost + lost_now
        working.append(
            await fleet.add_member("ledger", work_seconds=WORK_SECONDS)
        )
    fleet.log.add("verdict", late_requests=late, lost=lost)
    for link in links.values():
        await link.close()
    return fleet_lib.BROKEN if late else fleet_lib.HELD


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(CASE, play, entries=3))
