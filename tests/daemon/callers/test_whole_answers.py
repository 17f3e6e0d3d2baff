"""Complete answers: framing, order, limits and disconnects of callers."""

import curio
import pytest
from tests.daemon.conftest import http_response

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(seen, _sock):
    return http_response(seen.target + b" " + seen.body)


def post(body, headers=b""):
    head = b"POST /b HTTP/1.1\r\nHost: h\r\n" + headers
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def test_hop_by_hop_headers_are_removed_and_via_is_added(serve):
    async def answer(_seen, _sock):
        return http_response(extra=b"Connection: x-b\r\nX-B: 1\r\nX-C: 2\r\n")

    async def test(rig):
        caller = await rig.caller()
        got = await caller.request(
            b"GET /a HTTP/1.1\r\nHost: shop.example\r\nX-A: 1\r\n"
            b"Connection: x-a, keep-alive\r\nTE: trailers\r\n\r\n"
        )
        (seen,) = rig.target.requests
        assert seen.header(b"host") == [b"shop.example"]
        assert seen.header(b"via") == [b"1.1 entry-0"]
        assert seen.header(b"forwarded") == [
            b'for=203.0.113.9;host="shop.example";proto=http'
        ]
        for name in (b"x-a", b"te", b"connection"):
            assert seen.header(name) == []
        assert b"X-B" not in got.head
        assert b"x-c: 2" in got.head.lower()
        assert b"via: 1.1 entry-0" in got.head.lower()

    serve(answer, test)


def test_chunked_request_is_complete_and_the_next_one_is_read(serve):
    async def test(rig):
        caller = await rig.caller()
        await caller.send(
            b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" + GET
        )
        first, second = await caller.read_responses(2)
        assert first.body == b"/b abcde"
        assert second.body == b"/a "
        assert rig.target.requests[0].header(b"content-length") == [b"5"]

    serve(echo, test)


def test_chunked_answer_is_forwarded_with_its_length(serve):
    async def answer(_seen, _sock):
        return (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n"
        )

    async def test(rig):
        got = await (await rig.caller()).request(GET)
        assert got.body == b"abc"
        assert b"transfer-encoding" not in got.head.lower()

    serve(answer, test)


def test_head_keeps_the_length_and_has_no_body(serve):
    async def answer(_seen, _sock):
        return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"

    async def test(rig):
        caller = await rig.caller()
        head = GET.replace(b"GET", b"HEAD")
        await caller.send(head + head.replace(b"HEAD /a", b"HEAD /z"))
        while caller.received.count(b"\r\n\r\n") < 2:
            caller.received += await caller.sock.recv(65536)
        assert caller.received.lower().count(b"content-length: 5") == 2
        assert rig.target.connections == 1

    serve(answer, test)


@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_body_keep_the_connection(serve, status):
    async def answer(_seen, _sock):
        return b"HTTP/1.1 %d X\r\n\r\n" % status

    async def test(rig):
        caller = await rig.caller()
        for _ in range(2):
            got = await caller.request(GET)
            assert got.status == status
            caller.received = b""
        assert rig.target.connections == 1

    serve(answer, test)


def test_100_continue_is_sent_before_the_body_arrives(serve):
    async def test(rig):
        caller = await rig.caller()
        request = post(b"hello", b"Expect: 100-continue\r\n")
        await caller.send(request[:-5])
        (continue_response,) = await caller.read_responses(1)
        assert continue_response.status == 100
        caller.received = b""
        got = await caller.request(b"hello")
        assert got.body == b"/b hello"
        assert rig.target.requests[0].header(b"expect") == []

    serve(echo, test)


def test_pipelined_requests_are_answered_in_order(serve):
    async def answer(seen, _sock):
        await curio.sleep(0.5 if seen.target == b"/0" else 0.0)
        return http_response(seen.target)

    async def test(rig):
        caller = await rig.caller()
        paths = [b"/%d" % n for n in range(5)]
        await caller.send(b"".join(GET.replace(b"/a", p) for p in paths))
        got = await caller.read_responses(5)
        assert [answer.body for answer in got] == paths

    serve(answer, test)


def test_http_1_0_caller_gets_its_answer_and_a_close(serve):
    async def answer(_seen, _sock):
        return (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n"
        )

    async def test(rig):
        caller = await rig.caller()
        await caller.send(b"GET /a HTTP/1.0\r\n\r\n")
        data = await caller.read_to_end()
        assert data.endswith(b"\r\n\r\nabc")
        assert b"chunked" not in data
        assert rig.target.requests[0].header(b"host") == [
            rig.target.address.encode()
        ]
        assert rig.target.requests[0].header(b"via") == [b"1.0 entry-0"]

    serve(answer, test)


def test_informational_answers_are_skipped(serve):
    async def answer(_seen, _sock):
        return b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + http_response(b"late")

    async def test(rig):
        got = await (await rig.caller()).request(GET)
        assert (got.status, got.body) == (200, b"late")

    serve(answer, test)


def test_answer_without_framing_is_not_forwarded(serve):
    async def answer(_seen, sock):
        await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans")

    async def test(rig):
        got = await (await rig.caller()).request(post(b""))
        assert got.status == 502
        assert b"agateshelf-outcome: unknown" in got.head.lower()

    serve(answer, test)


def test_incomplete_buffered_answer_is_not_forwarded(serve):
    async def answer(_seen, sock):
        await sock.sendall(http_response(b"x" * 5000)[:3000])

    async def test(rig):
        caller = await rig.caller()
        got = await caller.request(post(b""))
        assert got.status == 502
        assert b"xxx" not in caller.received
        assert rig.budget.reserved == 0

    serve(answer, test)


@pytest.mark.parametrize("chunked", [False, True])
def test_incomplete_streamed_answer_has_no_clean_end(serve, chunked):
    framing = b"Content-Length: 100000\r\n"
    if chunked:
        framing = b"Transfer-Encoding: chunked\r\n"

    async def answer(_seen, sock):
        body = b"x" * 30000
        if chunked:
            body = b"7530\r\n" + body + b"\r\n"
        await sock.sendall(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body)

    async def test(rig):
        caller = await rig.caller()
        await caller.send(GET)
        data = b""
        try:
            while chunk := await caller.sock.recv(65536):
                data += chunk
        except ConnectionError:
            pass
        assert data.startswith(b"HTTP/1.1 200")
        assert not data.endswith(b"0\r\n\r\n")
        assert data.count(b"x") <= 30000
        assert rig.open == 0
        assert rig.budget.reserved == 0

    serve(answer, test, limits={"held_answer_bytes": 4096})


def test_streamed_answer_is_complete_and_its_connection_is_kept(serve):
    async def answer(_seen, _sock):
        return http_response(b"y" * 500000)

    async def test(rig):
        caller = await rig.caller()
        for _ in range(2):
            got = await caller.request(GET)
            assert got.body == b"y" * 500000
            caller.received = b""
        assert rig.target.connections == 1
        assert rig.budget.reserved == 0

    serve(answer, test, limits={"held_answer_bytes": 4096})


def test_stalled_stream_is_aborted(serve):
    async def answer(_seen, sock):
        await sock.sendall(http_response(b"z" * 9000)[:8000])
        await curio.sleep(3600)

    async def test(rig):
        caller = await rig.caller()
        await caller.send(GET)
        started_at = await curio.clock()
        with pytest.raises((EOFError, ConnectionError)):
            await caller.read_responses(1)
        assert await curio.clock() - started_at < 5

    limits = {"held_answer_bytes": 1024, "idle_seconds": 3}
    serve(answer, test, limits=limits)


def test_early_answer_reaches_the_caller_and_closes_the_connection(serve):
    body = b"b" * (16 << 20)

    async def test(rig):
        caller = await rig.caller()
        got = await caller.request(post(body))
        assert (got.status, len(got.body)) == (413, 16 << 20)
        caller.received = b""
        got = await caller.request(GET)
        assert got.status == 200

    async def read_little(self, sock, number):
        del self, number
        async with sock:
            first = await sock.recv(1000)
            if first.startswith(b"POST"):
                await sock.sendall(http_response(b"n" * (16 << 20), status=413))
                while await sock.recv(65536):
                    pass
                return
            await sock.sendall(http_response())

    async def run(rig):
        rig.target._serve = read_little.__get__(rig.target)
        await test(rig)

    serve(echo, run, limits={"request_body_bytes": 32 << 20})


def test_disconnect_cancels_the_attempt_but_pipelined_bytes_do_not(serve):
    async def answer(seen, _sock):
        await curio.sleep(1.0)
        return http_response(seen.target)

    async def test(rig):
        caller = await rig.caller()
        await caller.send(GET + GET.replace(b"/a", b"/second"))
        got = await caller.read_responses(2)
        assert [g.body for g in got] == [b"/a", b"/second"]
        leaving = await rig.caller()
        await leaving.send(GET)
        await curio.sleep(0.2)
        assert rig.driver.state.calls.calls
        await leaving.sock.close()
        await curio.sleep(0.2)
        assert not rig.driver.state.calls.calls
        assert not rig.driver.targets.running
        assert rig.driver.metrics.counts["callers.left"] == 1
        assert rig.driver.exchanges.open == {}

    serve(answer, test)


def rejected_status(serve, data, limits=None, script=echo):
    async def test(rig):
        caller = await rig.caller()
        await caller.send(data)
        text = await caller.read_to_end()
        answers = text.split(b"HTTP/1.1 ")[1:]
        assert len(answers) == 1, text
        assert rig.target.requests == []
        assert b"agateshelf-outcome: not-run" in text.lower()
        assert b"connection: close" in text.lower()
        await curio.sleep(2)
        assert rig.open == 0
        assert rig.budget.reserved == 0
        return int(answers[0][:3])

    return serve(script, test, limits=limits)


def test_large_header_is_431(serve):
    data = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3000
    limits = {"header_bytes": 1024}
    assert rejected_status(serve, data, limits) == 431
    assert rejected_status(serve, data + b"\r\n\r\n", limits) == 431


def test_large_body_is_413(serve):
    limits = {"request_body_bytes": 1024}
    assert rejected_status(serve, post(b"x" * 2000), limits) == 413
    chunked = (
        b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"800\r\n" + b"x" * 2048
    )
    assert rejected_status(serve, chunked, limits) == 413


@pytest.mark.parametrize("data", [GET[:20], post(b"hello")[:-3]])
def test_slow_request_is_408(serve, data):
    assert rejected_status(serve, data, {"request_seconds": 2}) == 408


def test_idle_connection_is_closed_without_a_response(serve):
    async def test(rig):
        caller = await rig.caller()
        started_at = await curio.clock()
        assert await caller.read_to_end() == b""
        assert 4 < await curio.clock() - started_at < 6

    serve(echo, test, limits={"idle_seconds": 5})


def test_request_beyond_the_memory_budget_is_503(serve):
    limits = {"held_total_bytes": 2048}
    assert rejected_status(serve, post(b"x" * 4000), limits) == 503


def test_answer_beyond_the_memory_budget_is_streamed(serve):
    async def answer(_seen, _sock):
        return http_response(b"q" * 9000)

    async def test(rig):
        caller = await rig.caller()
        got = await caller.request(GET)
        assert got.body == b"q" * 9000
        caller.received = b""
        assert (await caller.request(GET)).status == 200
        await curio.sleep(1)
        assert rig.budget.reserved == 0

    serve(answer, test, limits={"held_total_bytes": 2048})


def test_connection_beyond_the_limit_is_503(serve):
    async def test(rig):
        first = await rig.caller()
        assert (await first.request(GET)).status == 200
        second = await rig.caller()
        assert b"503" in (await second.read_to_end())[:12]
        first.received = b""
        assert (await first.request(GET)).status == 200

    serve(echo, test, limits={"connections": 1})


SMUGGLING = {
    "conflicting lengths": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "repeated length": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    "listed length": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 2, 2\r\n\r\nab",
    "signed length": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: +2\r\n\r\nab",
    "length and chunks": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two codings": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "repeated coding": b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
    b"chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "coding of 1.0": b"POST / HTTP/1.0\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "space before colon": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length : 2\r\n\r\nab",
    "bad chunk size": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
    "bad chunk end": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
    "bare LF after last chunk": b"POST / HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\nGET /x HTTP/1.1\r\nHost: h"
    b"\r\n\r\n",
    "bare LF": b"GET / HTTP/1.1\nHost: h\n\n",
    "one bare LF": b"GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
    "bare CR": b"GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
    "folded line": b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "bad host": b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
    "absolute target": b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
    "fragment": b"GET /a#b HTTP/1.1\r\nHost: x\r\n\r\n",
    "version": b"GET / HTTP/1.2\r\nHost: x\r\n\r\n",
    "tls hello": b"\x16\x03\x01\x02\x00\x01\x00",
    "no request line": b"garbage\r\n\r\n",
}


@pytest.mark.parametrize("name", SMUGGLING)
def test_ambiguous_request_is_400_and_close(serve, name):
    assert rejected_status(serve, SMUGGLING[name]) == 400


def test_unsupported_methods_are_501(serve):
    for method in (b"CONNECT", b"TRACE", b"get"):
        assert rejected_status(serve, GET.replace(b"GET", method)) == 501
