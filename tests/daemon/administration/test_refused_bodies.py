"""Tests of requests that are rejected before their body has been received."""

import curio
from tests.daemon import conftest

from agateshelf.daemon.administration import server

HEAD = b"POST /patches HTTP/1.1\r\nHost: e\r\nContent-Length: 3000000\r\n\r\n"
PEER = ("203.0.113.9", 4711)


def test_rejection_is_received_while_the_body_is_being_sent(virtual_run):
    # A client is still sending a body that is too large when it is rejected.
    # Closing the connection with unread data would reset it, and the client
    # would lose the reply.
    async def exchange():
        rig = await conftest.create_rig(None)
        admin = server.AdministrationServer(rig.driver, rig.server.limits)
        client, sock = curio.socket.socketpair()

        async def serve():
            async with sock:
                await admin.serve(sock, PEER)

        await curio.spawn(serve, daemon=True)
        await client.sendall(HEAD + b"x" * 100_000)
        reply = b""
        while data := await client.recv(65536):
            reply += data
        return reply

    assert virtual_run(exchange).startswith(b"HTTP/1.1 413 ")
