"""Sends a message that is too large for one in parts, and joins them again.

A part that is lost makes the rest useless: the receiver gets nothing of the
message and asks for it again when it next hears that it lacks something. Builds
that don't know of parts ignore them.
"""

import collections
import dataclasses

import msgspec

from agateshelf import decoding
from agateshelf.core.feed import messages as feed_messages
from agateshelf.core.peers import models
from agateshelf.daemon.peers import codec
from agateshelf.daemon.peers import const
from agateshelf.daemon.peers import messages

# Messages that grow with the configuration and the number of targets. Senders
# of all others keep them small.
_DIVISIBLE = (feed_messages.FeedUpdate,)


_decoder = msgspec.msgpack.Decoder(feed_messages.FeedUpdate)


def is_divisible(message: models.PeerMessage) -> bool:
    """Return whether a message may be sent in parts."""
    return isinstance(message, _DIVISIBLE)


def divide(payload: bytes, number: int) -> list[messages.MessagePart]:
    """Return the parts of an encoded message; none if it is far too large."""
    size = const.PART_BYTES
    count = -(-len(payload) // size)
    if count > const.MAX_PARTS:
        return []
    return [
        messages.MessagePart(
            number, i, count, payload[i * size : (i + 1) * size]
        )
        for i in range(count)
    ]


@dataclasses.dataclass(slots=True)
class _Incomplete:
    epoch: int
    number: int
    count: int
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Assembler:
    """Joins the parts of messages.

    Of each sender only the latest message is kept; of too many senders, that
    which began longest ago is dropped. Both bound the memory.

    Attributes:
        incomplete: Messages of which parts are missing, by sender.
    """

    incomplete: collections.OrderedDict[str, _Incomplete] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def add(
        self, sender: str, epoch: int, part: messages.MessagePart
    ) -> models.PeerMessage | None:
        """Return the whole message if this was its last part, else None.

        Raises:
            codec.MessageError: The part or the message is malformed.
        """
        is_valid = 0 <= part.index < part.count <= const.MAX_PARTS
        if not is_valid or len(part.data) > const.PART_BYTES:
            raise codec.MessageError("invalid part of a message")
        found = self._find(sender, epoch, part)
        if found is None:
            return None
        found.parts[part.index] = part.data
        if len(found.parts) < found.count:
            return None
        del self.incomplete[sender]
        payload = b"".join(found.parts[i] for i in range(found.count))
        try:
            return _decoder.decode(payload)
        except decoding.ERRORS as exc:
            raise codec.MessageError(str(exc)) from None

    def _find(
        self, sender: str, epoch: int, part: messages.MessagePart
    ) -> _Incomplete | None:
        """Return the message of a part; None if a later one has begun."""
        found = self.incomplete.get(sender)
        if found is not None:
            known = (found.epoch, found.number)
            if known > (epoch, part.number):
                return None
            if known == (epoch, part.number) and found.count == part.count:
                return found
        found = _Incomplete(epoch, part.number, part.count)
        self.incomplete[sender] = found
        self.incomplete.move_to_end(sender)
        if len(self.incomplete) > const.MAX_INCOMPLETE_MESSAGES:
            self.incomplete.popitem(last=False)
        return found
