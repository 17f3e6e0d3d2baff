"""Probes: connections that are kept between them, and their end."""

import curio
import pytest
from tests.daemon import conftest
from tests.daemon.conftest import http_response

from agateshelf.core import effects
from agateshelf.daemon.targets import probing
from agateshelf.platform import dialect


@pytest.fixture
def probe(virtual_run):
    """Run a test with a prober, a target and a function that probes it."""

    def run(answer, test):
        async def body():
            target = conftest.ScriptedTarget(answer)
            await target.start()
            prober = probing.Prober(dialect.DIALECT)
            told = []

            async def ask():
                await prober.probe(
                    effects.ProbeTarget(
                        "status", "t0", target.address, "/health", 0.5
                    ),
                    post,
                )

            async def post(event):
                told.append(event)

            await test(prober, ask, told)

        virtual_run(body)

    return run


async def answer(_seen, _sock):
    await curio.sleep(0.05)
    return http_response(b"ok")


def test_a_connection_is_kept_between_probes(probe):
    async def test(prober, ask, told):
        for _ in range(2):
            await ask()
            await curio.sleep(0.1)
        assert [event.load is not None for event in told] == [True, True]
        assert set(prober.kept) == {"t0"}

    probe(answer, test)


@pytest.mark.parametrize("after", [0.01, 0.1])
def test_nothing_stays_open_to_a_target_that_is_probed_no_longer(probe, after):
    async def test(prober, ask, told):
        await ask()
        await curio.sleep(after)
        await prober.end(["t0"])
        await curio.sleep(0.2)
        assert len(told) == 1
        assert not prober.kept

    probe(answer, test)
