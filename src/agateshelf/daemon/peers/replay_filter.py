"""Recognises messages that were received before."""

import collections
import dataclasses

from agateshelf.daemon.peers import const


@dataclasses.dataclass(slots=True)
class ReplayFilter:
    """The latest message of each sender; older ones are not taken again.

    A connection keeps the order of its messages, so a sender's numbers only
    grow; the sender heard least recently is forgotten first.

    Attributes:
        latest: Epoch and sequence of each sender's latest message.
    """

    latest: collections.OrderedDict[str, tuple[int, int]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def accept(self, sender: str, epoch: int, sequence: int) -> bool:
        """Return whether a message is new, and remember it if so."""
        mark = self.latest.get(sender)
        if mark is not None and (epoch, sequence) <= mark:
            return False
        self.latest[sender] = (epoch, sequence)
        self.latest.move_to_end(sender)
        if len(self.latest) > const.MAX_SENDERS:
            self.latest.popitem(last=False)
        return True
