"""Times how late the event loop handles what it receives.

The loop polls its sockets, handles all that the poll returned, and polls again.
What arrives in between waits until then, unseen. So the time from one poll to
the next says how long events waited, also if the process got no processor time
meanwhile.
"""

import selectors

from agateshelf.daemon import clock

# Shorter delays are usual at entries that aren't overloaded.
MIN_DELAY_SECONDS = 0.01


class LagSelector(selectors.DefaultSelector):
    """The selector of the event loop, which times the loop.

    Attributes:
        polled_at: Loop time at which the last poll returned.
        busy: Seconds between the last poll and the one before.
        unreported: The longest such time that is not reported yet; 0 if none
            was long.
    """

    def __init__(self) -> None:
        super().__init__()
        self.polled_at = clock.now()
        self.busy = 0.0
        self.unreported = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events as the base class does."""
        self.busy = clock.now() - self.polled_at
        if self.busy >= MIN_DELAY_SECONDS:
            self.unreported = max(self.unreported, self.busy)
        ready = super().select(timeout)
        self.polled_at = clock.now()
        return ready

    def take(self) -> float:
        """Return the longest delay since the last call; 0 if none was long."""
        seconds = self.unreported
        self.unreported = 0.0
        return seconds

    def waited(self, now: float) -> float:
        """Return how long what is read now may have waited in its socket.

        It is 0 if that is not long.
        """
        seconds = now - self.polled_at + self.busy
        return seconds if seconds >= MIN_DELAY_SECONDS else 0.0
