"""Detects replayed messages by their epoch and sequence number.

A connection preserves the order of messages, so the numbers of a sender only
grow; a message that is not newer than the latest one has been sent again.
"""

import collections
import dataclasses

from agateshelf.daemon.peers import const


@dataclasses.dataclass(slots=True)
class ReplayFilter:
    """Accepts only messages that are newer than the sender's latest one.

    When there are too many senders, the one that sent least recently is
    evicted.

    Attributes:
        latest: Epoch and sequence of each sender's latest message.
    """

    latest: collections.OrderedDict[str, tuple[int, int]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def accept(self, sender: str, epoch: int, sequence: int) -> bool:
        """Return whether a message is new, and record it if so."""
        latest = self.latest.get(sender)
        if latest is not None and (epoch, sequence) <= latest:
            return False
        self.latest[sender] = (epoch, sequence)
        self.latest.move_to_end(sender)
        if len(self.latest) > const.MAX_SENDERS:
            self.latest.popitem(last=False)
        return True
