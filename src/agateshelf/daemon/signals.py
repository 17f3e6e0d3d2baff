"""Signals delivered over a socket pair, so that a task can await them.

curio has no signal queue.
"""

from collections import abc
import dataclasses
import signal
import socket

import curio

from agateshelf.daemon import clock


@dataclasses.dataclass(slots=True)
class Signals:
    """Queue of received signals.

    Attributes:
        reader: Socket from which the signal numbers are read.
        writer: Socket to which the interpreter writes the signal numbers.
        stop_received_at: Loop time of the first signal that asks for a stop,
            which a busy loop reads later; None before it.
    """

    reader: curio.io.Socket
    writer: socket.socket
    stop_received_at: float | None = None

    def on_signal(self, number: int, frame: object) -> None:
        """Note the time of a signal, whose number comes over the sockets."""
        del frame
        if number != signal.SIGHUP and self.stop_received_at is None:
            self.stop_received_at = clock.now()

    def seconds_since_stop(self) -> float:
        """Return the seconds since a stop was asked for, 0 if none was."""
        if self.stop_received_at is None:
            return 0.0
        return clock.now() - self.stop_received_at

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
    created = Signals(curio.io.Socket(reader), writer)
    for number in numbers:
        signal.signal(number, created.on_signal)
    return created
