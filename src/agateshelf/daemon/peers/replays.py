"""Recognises messages that were received before."""

import collections
import dataclasses

from agateshelf.daemon.peers import const


@dataclasses.dataclass(slots=True)
class Replays:
    """The latest message of each sender; older ones are not taken again.

    A connection keeps the order of its messages, so a sender's numbers only
    grow; the sender heard least recently is forgotten first.

    Attributes:
        marks: Epoch and sequence of each sender's latest message.
    """

    marks: collections.OrderedDict[str, tuple[int, int]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def is_fresh(self, sender: str, epoch: int, sequence: int) -> bool:
        """Return whether a message is new, and remember it if so."""
        mark = self.marks.get(sender)
        if mark is not None and (epoch, sequence) <= mark:
            return False
        self.marks[sender] = (epoch, sequence)
        self.marks.move_to_end(sender)
        if len(self.marks) > const.MAX_SENDERS:
            self.marks.popitem(last=False)
        return True
