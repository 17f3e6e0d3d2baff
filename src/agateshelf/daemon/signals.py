"""Signals delivered over a socket pair, so that a task can await them.

curio has no signal queue.
"""

from collections import abc
import dataclasses
import signal
import socket

import curio


@dataclasses.dataclass(slots=True)
class Signals:
    """Queue of received signals.

    Attributes:
        reader: Socket from which the signal numbers are read.
        writer: Socket to which the interpreter writes the signal numbers.
    """

    reader: curio.io.Socket
    writer: socket.socket

    async def next(self) -> signal.Signals:
        """Wait for the next signal."""
        data = await self.reader.recv(1)
        return signal.Signals(data[0])

    async def next_stop(self) -> signal.Signals:
        """Wait for the next signal other than SIGHUP.

        SIGHUP asks for a reload of the settings, not for a stop.
        """
        while (number := await self.next()) == signal.SIGHUP:
            pass
        return number

    async def close(self) -> None:
        """Stop receiving signals and close the sockets."""
        signal.set_wakeup_fd(-1)
        self.writer.close()
        await self.reader.close()


def create_signals(numbers: abc.Iterable[signal.Signals]) -> Signals:
    """Start to receive the given signals; must run on the main thread."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in numbers:
        signal.signal(number, _ignore)
    return Signals(curio.io.Socket(reader), writer)


def _ignore(number: int, frame: object) -> None:
    del number, frame
