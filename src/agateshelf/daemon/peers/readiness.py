"""Waits for ZeroMQ sockets on the event loop.

The file descriptor of a ZeroMQ socket is edge-triggered: it becomes readable on
any change of state, and only the socket option EVENTS tells which. So EVENTS
must be checked before each wait, and again after each send.
"""

from curio import traps
import zmq


def is_readable(sock: "zmq.Socket[bytes]") -> bool:
    """Return whether a message can be received from a socket."""
    return bool(int(sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN)


async def wait_changed(sock: "zmq.Socket[bytes]") -> None:
    """Wait until the state of a socket changes after `is_readable`.

    The event loop gets the socket, not its file descriptor: a descriptor is
    unregistered after each wait, an object only when its task waits for
    something else.
    """
    await traps._read_wait(sock)  # noqa: SLF001


async def wait_readable(sock: "zmq.Socket[bytes]") -> None:
    """Wait until a message can be received from a socket."""
    while not is_readable(sock):
        await wait_changed(sock)
