"""Waiting for ZeroMQ sockets on the loop.

The descriptor of a ZeroMQ socket is edge-triggered: it says that something
changed, and only the socket's own events say what. Whoever waits must look at
the events first and again after each send.
"""

from curio import traps
import zmq


async def wait_readable(sock: "zmq.Socket[bytes]") -> None:
    """Wait until a socket has a message to receive."""
    descriptor = sock.fileno()
    while not int(sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
        await traps._read_wait(descriptor)  # noqa: SLF001
