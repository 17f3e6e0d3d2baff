"""Waits for ZeroMQ sockets on the event loop.

The file descriptor of a ZeroMQ socket is edge-triggered: it becomes readable on
any change of state, and only the socket option EVENTS tells which. So EVENTS
must be checked before each wait, and again after each send.
"""

from curio import traps
import zmq


async def wait_readable(sock: "zmq.Socket[bytes]") -> None:
    """Wait until a message can be received from a socket."""
    descriptor = sock.fileno()
    while not int(sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
        await traps._read_wait(descriptor)  # noqa: SLF001
