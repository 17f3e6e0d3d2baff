"""Probes reuse their connections and close them when probing ends."""

import curio
import pytest
from tests.daemon import conftest
from tests.daemon.conftest import http_response

from agateshelf.core import effects
from agateshelf.core.target_notices import const as notice_const
from agateshelf.daemon.targets import probing
from agateshelf.daemon.targets import short_answers
from agateshelf.platform import dialect


@pytest.fixture
def probe(virtual_run):
    """Run a test with a prober, a function that probes, and posted events."""

    def run(answer, test):
        async def body():
            target = conftest.ScriptedTarget(answer)
            await target.start()
            prober = probing.Prober(dialect.DIALECT)
            posted = []

            async def ask():
                await prober.probe(
                    effects.ProbeTarget(
                        "status", "t0", target.address, "/health", 0.5
                    ),
                    post,
                )

            async def post(event):
                posted.append(event)

            await test(prober, ask, posted)

        virtual_run(body)

    return run


async def answer(_seen, _sock):
    await curio.sleep(0.05)
    return http_response(b"ok")


def test_an_unexpected_error_in_a_probe_is_no_answer(probe, monkeypatch):
    # Without an answer the sampler would wait for it for ever.
    def fail(_data):
        raise ZeroDivisionError

    monkeypatch.setattr(short_answers, "read", fail)

    async def test(_prober, ask, posted):
        await ask()
        await curio.sleep(0.1)
        assert [event.reached for event in posted] == [False]

    probe(answer, test)


def test_a_connection_is_kept_between_probes(probe):
    async def test(prober, ask, posted):
        for _ in range(2):
            await ask()
            await curio.sleep(0.1)
        assert [event.load is not None for event in posted] == [True, True]
        assert set(prober.idle) == {"t0"}

    probe(answer, test)


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ((), 0.0),
        (("X-Warmup-Ms: 0",), 0.0),
        (("X-Warmup-Ms: 1500",), 1.5),
        (("X-Warmup-Ms: -5",), notice_const.INVALID_WARMUP),
        (("X-Warmup-Ms: soon",), notice_const.INVALID_WARMUP),
    ],
)
def test_an_answer_tells_for_how_long_its_target_is_cold(
    probe, headers, expected
):
    # An answer without the header is what says that a target is warm.
    async def warming(_seen, _sock):
        head = "".join(f"{line}\r\n" for line in headers)
        return (
            f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{head}\r\nok"
        ).encode()

    async def test(_prober, ask, posted):
        await ask()
        await curio.sleep(0.2)
        assert [event.cold for event in posted] == [expected]

    probe(warming, test)


def test_a_probe_without_an_answer_says_nothing_of_a_warm_up(probe):
    async def silent(_seen, _sock):
        await curio.sleep(2.0)
        return http_response(b"late")

    async def test(_prober, ask, posted):
        await ask()
        await curio.sleep(0.8)
        assert [event.cold for event in posted] == [None]

    probe(silent, test)


@pytest.mark.parametrize("pause", [0.01, 0.1])
def test_connection_to_a_target_that_is_no_longer_probed_is_closed(
    probe, pause
):
    async def test(prober, ask, posted):
        await ask()
        await curio.sleep(pause)
        await prober.close_connections(["t0"])
        await curio.sleep(0.2)
        assert len(posted) == 1
        assert not prober.idle

    probe(answer, test)
