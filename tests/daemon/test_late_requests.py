"""Requests that come late in a graceful stop of an entry that follows routes.

Guards against incident LOST: they were passed on to targets and broken off with
502 at the end of the grace period, though the targets were at work on them.
"""

import dataclasses
import errno
import signal
import socket

import curio
import pytest
from tests.core import routed_fleet
from tests.daemon import conftest
from tests.daemon import test_routes

from agateshelf.daemon import clock
from agateshelf.daemon import listening
from agateshelf.daemon import main as daemon_main
from agateshelf.daemon import signals
from agateshelf.daemon import stopping
from agateshelf.documents import settings

GRACE_SECONDS = 6.0
# The users' rule: a request sent later than this isn't broken off.
LATE_SECONDS = 3.0
REQUEST = (
    b"%b %b HTTP/1.1\r\nHost: recall.example\r\nX-Request-Id: r1\r\n"
    b"X-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n"
)


@dataclasses.dataclass(frozen=True)
class Late:
    """A request late in a stop.

    Attributes:
        sent_at: Seconds from the signal until its last byte is sent.
        idempotent: Whether it may run more than once.
        timeout: Its timeout in seconds.
        head_at: Seconds from the signal until its head is sent.
        is_pipelined: Whether it waits behind another request that was sent in
            the same moment.
        is_relayed: Whether another entry sends it.
    """

    sent_at: float
    idempotent: bool = False
    timeout: float = 8.0
    head_at: float | None = None
    is_pipelined: bool = False
    is_relayed: bool = False

    def head(self):
        method = b"GET" if self.idempotent else b"POST"
        path = b"/vin/1" if self.idempotent else b"/book/1"
        head = REQUEST % (method, path, round(self.timeout * 1000))
        if self.is_relayed:
            head = head[:-2] + b"Agateshelf-Relay-Target: t0\r\n\r\n"
        return head


def create_table():
    lookups = routed_fleet.create_route(timeout=8.0)
    bookings = routed_fleet.create_route(
        name="b", prefix="/book/", idempotent=False, timeout=8.0
    )
    return routed_fleet.create_table(1, lookups, bookings)


async def stop(rig, signal_lag=0.0, repeats=(), relay_listener=None):
    """Stop the entry; return the task of its stop.

    Args:
        rig: The entry.
        signal_lag: Seconds for which its loop doesn't read the signal.
        repeats: Further signals, each with seconds since the first one.
        relay_listener: Its listener for other entries.
    """
    cfg = settings.Settings(
        entry="entry-0",
        failure_domain="boston",
        callers=settings.SecureListen(port=0),
        platform=settings.Platform(store="127.0.0.1:9"),
        routes=settings.Routes(grace_seconds=GRACE_SECONDS),
    )
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    stop_signals = signals.Signals(curio.io.Socket(reader), writer)
    stop_signals.stop_received_at = clock.now()
    await curio.sleep(signal_lag)
    listener = listening.create_listener(
        settings.SecureListen(port=0), rig.server.serve, "/callers"
    )
    await listener.start()
    for number, seconds in repeats:
        await curio.spawn(_signal_later, writer, number, seconds, daemon=True)
    return await curio.spawn(
        stopping.stop,
        rig.driver,
        rig.server,
        listener,
        stop_signals,
        daemon_main._stop_limits(cfg),
        None,
        relay_listener,
        daemon_main._ending_signals(cfg),
    )


async def _signal_later(writer, number, seconds):
    await curio.sleep(seconds)
    writer.send(bytes([number]))


@pytest.fixture
def send_late(virtual_run):
    """Return a function that sends a late request.

    It returns the status of the response, None if the connection was closed
    instead, the seconds it took, and the number of runs at the target.
    """

    def run(late, work_seconds=2.3, signal_lag=0.0, repeats=()):
        async def work(_request, _sock):
            await curio.sleep(work_seconds)
            return conftest.http_response(extra=test_routes.VALID)

        async def body():
            rig = await test_routes.create_entry(
                [work], create_table(), is_relay=late.is_relayed
            )
            began = clock.now()
            caller = await rig.caller()
            stopped = await stop(rig, signal_lag, repeats)
            head_at = late.sent_at if late.head_at is None else late.head_at
            await curio.sleep(began + head_at - clock.now())
            data = late.head()
            if late.is_pipelined:
                data = Late(0.0, timeout=1.0).head() + b"hi" + data
            await caller.send(data)
            await curio.sleep(began + late.sent_at - clock.now())
            await caller.send(b"hi")
            sent_at = clock.now()
            count = 2 if late.is_pipelined else 1
            try:
                status = (await caller.read_responses(count))[-1].status
            except EOFError:
                status = None
            seconds = clock.now() - sent_at
            await stopped.join()
            assert clock.now() <= began + GRACE_SECONDS
            return status, seconds, len(rig.target[0].requests)

        return virtual_run(body)

    return run


MOMENTS = (
    *(Late(sent_at) for sent_at in (2.95, 3.05, 3.2, 3.35, 3.45)),
    *(Late(sent_at, idempotent=True) for sent_at in (2.95, 3.2, 3.45)),
    Late(4.0, head_at=2.9),
    Late(5.0, head_at=2.9, idempotent=True),
    Late(3.2, is_relayed=True),
    Late(3.4, is_relayed=True, idempotent=True),
)


@pytest.mark.parametrize("late", MOMENTS, ids=str)
def test_late_request_whose_end_is_not_sure_is_refused_at_once(send_late, late):
    status, seconds, runs = send_late(late)
    assert (status, runs) == (503, 0)
    assert seconds < 0.1


@pytest.mark.parametrize("late", MOMENTS, ids=str)
def test_late_request_is_served_if_it_must_end_in_time(send_late, late):
    late = dataclasses.replace(late, timeout=5.2 - late.sent_at)
    status, _, runs = send_late(late, work_seconds=0.1)
    assert (status, runs) == (200, 1)


@pytest.mark.parametrize("late", MOMENTS, ids=str)
def test_late_request_is_not_broken_off_before_its_deadline(send_late, late):
    late = dataclasses.replace(late, timeout=5.2 - late.sent_at)
    status, seconds, runs = send_late(late, work_seconds=9.0)
    # It isn't sent if the target can't be expected to answer in time.
    assert status == (504 if runs else 503)
    if runs:
        assert seconds >= late.timeout - 0.01


@pytest.mark.parametrize("idempotent", [False, True])
def test_request_read_behind_another_one_counts_from_then(
    send_late, idempotent
):
    late = Late(2.0, idempotent=idempotent, is_pipelined=True)
    status, _, runs = send_late(late)
    # The one ahead got its answer after 1 s, at its deadline.
    assert (status, runs) == (503, 1)


@pytest.mark.parametrize("sent_at", [0.1, 1.0, 2.0])
def test_relayed_request_that_a_stop_may_break_off_is_refused(
    send_late, sent_at
):
    # The entry that relays it has all the time, and knows other relays.
    late = Late(sent_at, is_relayed=True)
    status, seconds, runs = send_late(late, work_seconds=7.0)
    assert (status, runs) == (503, 0)
    assert seconds < 0.1


@pytest.mark.parametrize("sent_at", [0.1, 1.0, 2.0])
def test_short_relayed_request_is_served_in_a_stop(send_late, sent_at):
    late = Late(sent_at, is_relayed=True, timeout=3.0)
    status, _, runs = send_late(late)
    assert (status, runs) == (200, 1)


@pytest.mark.parametrize("route_timeout", [0.4, 2.0, 8.0])
def test_relay_doesnt_end_a_request_by_its_own_version_of_the_route(
    virtual_run, route_timeout
):
    # The entry that has the call would take it for a failure of the target.
    async def silent(_request, _sock):
        await curio.sleep(30.0)
        return conftest.http_response(extra=test_routes.VALID)

    async def body():
        route = routed_fleet.create_route(
            name="b", prefix="/book/", idempotent=False, timeout=route_timeout
        )
        table = routed_fleet.create_table(1, route)
        rig = await test_routes.create_entry([silent], table, is_relay=True)
        entry = await rig.caller()
        relayed = Late(0.0, timeout=2.0, is_relayed=True)
        await entry.send(relayed.head() + b"hi")
        began = clock.now()
        (response,) = await entry.read_responses(1)
        seconds = clock.now() - began
        return response.status, seconds, len(rig.target[0].requests)

    status, seconds, runs = virtual_run(body)
    assert (status, runs) == (504, 1)
    assert seconds == pytest.approx(2.0, abs=0.01)


@pytest.mark.parametrize("sent_at", [0.1, 1.0, 2.0])
def test_early_request_is_served(send_late, sent_at):
    status, _, runs = send_late(Late(sent_at))
    assert (status, runs) == (200, 1)


@pytest.mark.parametrize("signal_lag", [0.1, 0.5, 1.0])
def test_late_requests_count_from_the_signal(send_late, signal_lag):
    # The loop may notice the signal late; SIGKILL comes after the grace period
    # all the same.
    status, _, runs = send_late(Late(3.05), signal_lag=signal_lag)
    assert (status, runs) == (503, 0)


def test_body_that_is_not_read_to_its_end_is_refused_as_not_run(virtual_run):
    # It is on its way behind an answer when the entry stops reading. The caller
    # was told that its request is malformed.
    async def work(_request, _sock):
        await curio.sleep(3.2)
        return conftest.http_response(extra=test_routes.VALID)

    async def body():
        rig = await test_routes.create_entry([work], create_table())
        caller = await rig.caller()
        await caller.send(Late(0.0).head() + b"hi" + Late(0.0).head() + b"h")
        await curio.sleep(0.05)
        stopped = await stop(rig)
        first, second = await caller.read_responses(2)
        await stopped.join()
        return first, second, len(rig.target[0].requests)

    first, second, runs = virtual_run(body)
    assert (first.status, second.status, runs) == (200, 503, 1)
    assert b"agateshelf-outcome: not-run" in second.head.lower()
    assert b"retry-after" in second.head.lower()


@pytest.mark.parametrize("sent_at", [0.1, 1.0, 2.0])
@pytest.mark.parametrize("repeated_at", [0.5, 1.5, 2.5, 3.2])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP], ids=str)
def test_signals_in_a_stop_break_off_no_request(
    send_late, number, repeated_at, sent_at
):
    # The entry was told to stop again while it stopped.
    status, _, runs = send_late(
        Late(sent_at, timeout=2.0),
        work_seconds=1.8,
        repeats=[(number, repeated_at), (number, repeated_at + 0.1)],
    )
    assert (status, runs) == (200, 1)


def test_an_operator_at_a_terminal_can_end_a_stop(send_late):
    status, seconds, runs = send_late(
        Late(1.0), repeats=[(signal.SIGINT, 1.5)], work_seconds=2.3
    )
    assert (status, runs) == (502, 1)
    assert seconds == pytest.approx(0.5, abs=0.05)


@pytest.mark.parametrize(("at", "refused"), [(2.0, False), (3.7, True)])
def test_late_relays_are_refused_before_anything_is_read(
    virtual_run, at, refused
):
    # A connection that is closed unread would count as "may have run".
    async def body():
        rig = await test_routes.create_entry([], create_table(), is_relay=True)
        relay_listener = listening.create_listener(
            settings.SecureListen(port=0), rig.server.serve, "/relay"
        )
        await relay_listener.start()
        host, _, port = relay_listener.address.rpartition(":")
        holder = await rig.caller()
        stopped = await stop(rig, relay_listener=relay_listener)
        await holder.send(Late(0.0, is_relayed=True).head())
        await curio.sleep(at)
        # The kernel answers without the loop, whose time would go on.
        with socket.socket() as sock:
            status = sock.connect_ex((host, int(port)))
        await stopped.join()
        return status == errno.ECONNREFUSED

    assert virtual_run(body) is refused
