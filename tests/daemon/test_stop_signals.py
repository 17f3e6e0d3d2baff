"""Signals that come while an entry stops."""

import signal
import socket

import curio
import pytest
from tests.daemon import conftest

from agateshelf.daemon import listening
from agateshelf.daemon import signals
from agateshelf.daemon import stopping
from agateshelf.documents import settings

GET = b"GET /recall/1 HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = settings.Limits(unready_seconds=1.0, stop_seconds=5.0)


@pytest.mark.parametrize(
    ("second", "status"), [(signal.SIGHUP, 200), (signal.SIGTERM, 503)]
)
def test_only_a_second_stop_signal_ends_the_wait(virtual_run, second, status):
    # scale-1 of tsagaan-intake, seed 980678226626: a SIGHUP that followed the
    # SIGTERM cut off the requests in flight.
    async def slow(_seen, _sock):
        await curio.sleep(1.5)
        return conftest.http_response()

    async def body():
        rig = await conftest.create_rig(slow)
        caller = await rig.caller()
        await caller.send(GET)
        await curio.sleep(0.1)
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        arrived = signals.Signals(curio.io.Socket(reader), writer)
        listener = listening.create_listener(
            settings.SecureListen(port=0), rig.server.serve, "/callers"
        )
        await listener.start()
        writer.send(bytes([second]))
        stop = await curio.spawn(
            stopping.stop, rig.driver, rig.server, listener, arrived, LIMITS
        )
        (answer,) = await caller.read_responses(1)
        await stop.join()
        return answer

    assert virtual_run(body).status == status
