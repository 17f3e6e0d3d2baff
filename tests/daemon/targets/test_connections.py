"""Kept-alive connections to targets: fresh, silent, late, never accepted."""

import socket

import curio
import pytest
from tests.daemon import conftest
from tests.daemon.conftest import http_response

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon.targets import load

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


async def answer(seen, _sock):
    await curio.sleep(0.01)
    return http_response(b"on %d" % seen.connection)


async def ask(rig, data=GET):
    caller = await rig.caller()
    got = await caller.request(data)
    await caller.sock.close()
    return got


def test_non_idempotent_request_runs_on_a_fresh_connection(serve):
    async def test(rig):
        assert (await ask(rig, POST)).body == b"on 1"
        assert (await ask(rig, POST)).body == b"on 1"
        await curio.sleep(1.0)
        assert (await ask(rig, GET)).body == b"on 1"
        await curio.sleep(1.0)
        assert (await ask(rig, POST)).body == b"on 2"

    serve(answer, test)


def test_connections_older_than_a_silent_one_are_not_used(serve):
    silent = set()

    async def stop_answering(seen, sock):
        if seen.connection in silent:
            await curio.sleep(3600)
        return await answer(seen, sock)

    async def test(rig):
        tasks = [await curio.spawn(ask, rig) for _ in range(4)]
        for task in tasks:
            await task.join()
        silent.update(range(1, 5))
        await curio.sleep(1.0)
        assert (await ask(rig)).status in (502, 504)
        started_at = await curio.clock()
        assert (await ask(rig)).body == b"on 5"
        assert await curio.clock() - started_at < 0.5

    serve(stop_answering, test)


def test_failure_on_a_kept_connection_is_reported_as_such(serve, monkeypatch):
    requests = []

    async def stop_answering(seen, sock):
        requests.append(seen)
        if len(requests) > 1:
            await curio.sleep(3600)
        return await answer(seen, sock)

    async def test(rig):
        failed = []
        post = type(rig.driver).post

        async def record_failures(self, event):
            if isinstance(event, events.AttemptFailed):
                failed.append(event)
            await post(self, event)

        monkeypatch.setattr(type(rig.driver), "post", record_failures)
        await ask(rig)
        await ask(rig)
        assert [end.kept_connection for end in failed] == [True]
        assert failed[0].kind is outcome_models.FailureKind.TIMEOUT

    serve(stop_answering, test)


def test_late_answer_is_dropped_and_its_connection_closed(serve):
    async def answer_first_late(seen, _sock):
        if len(requests) == 0:
            requests.append(seen)
            await curio.sleep(2.5)
            return http_response(b"late")
        return http_response(b"in time")

    requests = []

    async def test(rig):
        assert (await ask(rig)).status in (502, 504)
        assert (await ask(rig)).body == b"in time"
        await curio.sleep(2)
        assert (await ask(rig)).body == b"in time"
        assert rig.target.connections == 2
        assert rig.target.closed >= 1
        assert rig.driver.targets.running == {}

    serve(answer_first_late, test)


def test_unsolicited_bytes_close_a_kept_connection(serve):
    async def send_extra_answer(seen, sock):
        if seen.connection == 1:
            await sock.sendall(http_response(b"mine"))
            await curio.sleep(0.1)
            return http_response(b"not yours")
        return http_response(b"yours")

    async def test(rig):
        assert (await ask(rig)).body == b"mine"
        await curio.sleep(0.15)
        assert (await ask(rig)).body == b"yours"

    serve(send_extra_answer, test)


def test_connect_timeout_is_reported_as_not_run(serve):
    async def test(rig):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            waiting = [socket.socket() for _ in range(3)]
            for sock in waiting:
                sock.setblocking(False)
                sock.connect_ex(listener.getsockname())
            host, port = listener.getsockname()
            policy = conftest.create_service(f"{host}:{port}")
            cfg = models.Configuration(2, {policy.name: policy})
            await rig.driver.post(events.ConfigurationRead(cfg))
            started_at = await curio.clock()
            got = await ask(rig, POST)
            elapsed = await curio.clock() - started_at
            for sock in waiting:
                sock.close()
        assert got.status in (502, 503)
        assert b"agateshelf-outcome: not-run" in got.head.lower()
        assert elapsed == pytest.approx(1.0, abs=0.3)

    serve(answer, test, attempt_timeout=4.0)


def use_target(address):
    policy = conftest.create_service(address)
    return events.ConfigurationRead(
        models.Configuration(2, {policy.name: policy})
    )


@pytest.mark.parametrize("port", [65536, 99999])
def test_a_port_out_of_range_is_reported_as_not_run_at_once(serve, port):
    # An entry of an earlier build may relay such a registration. The error
    # ended the task of the attempt, and the call waited until its deadline.
    async def test(rig):
        await rig.driver.post(use_target(f"127.0.0.1:{port}"))
        started_at = await curio.clock()
        got = await ask(rig, POST)
        assert got.status in (502, 503)
        assert b"agateshelf-outcome: not-run" in got.head.lower()
        assert await curio.clock() - started_at < 0.5

    serve(answer, test, attempt_timeout=4.0)


def test_an_unexpected_error_ends_an_attempt_at_once(serve, monkeypatch):
    def fail(*_arguments):
        raise ZeroDivisionError

    async def test(rig):
        monkeypatch.setattr(load, "event_of", fail)
        started_at = await curio.clock()
        got = await ask(rig, POST)
        assert got.status == 502
        assert b"agateshelf-outcome: unknown" in got.head.lower()
        assert await curio.clock() - started_at < 0.5

    serve(answer, test, attempt_timeout=4.0)


@pytest.mark.parametrize(
    ("header", "reused"), [("timeout=2, max=9", False), ("max=2", True)]
)
def test_a_connection_ends_before_the_target_says_it_does(
    serve, header, reused
):
    # A request that arrives as the target closes the connection is lost.
    async def say(seen, _sock):
        extra = b"Keep-Alive: " + header.encode() + b"\r\n"
        return http_response(b"on %d" % seen.connection, extra=extra)

    async def test(rig):
        assert (await ask(rig)).body == b"on 1"
        await curio.sleep(1.6)
        assert (await ask(rig)).body == (b"on 1" if reused else b"on 2")
        counts = rig.driver.metrics.counts
        assert counts["connections.opened.first"] == 1
        assert counts.get("connections.reused", 0) == reused
        assert counts.get("connections.opened.expired", 0) == (not reused)
        assert not rig.driver.targets.connections.in_use

    serve(say, test)


def test_closed_idle_connections_are_reported(serve):
    # An owner would prefer a target for a connection that is gone.
    async def test(rig):
        posted = []

        async def post(event):
            posted.append(event)

        rig.driver.targets.connections.post = post
        await ask(rig)
        await curio.sleep(29.0)
        assert posted == []
        await curio.sleep(3.0)
        closed = events.IdleConnectionsClosed((rig.target.address,))
        assert posted == [closed]

    serve(answer, test)


def test_a_connection_is_kept_after_a_refusal_without_an_identifier(serve):
    async def refuse(seen, _sock):
        return http_response(b"on %d" % seen.connection, status=404)

    async def test(rig):
        assert (await ask(rig)).body == b"on 1"
        assert (await ask(rig)).body == b"on 1"

    serve(refuse, test)
