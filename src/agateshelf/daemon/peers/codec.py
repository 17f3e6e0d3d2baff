"""Messages between entries as bytes.

An envelope is a list, so that later versions may append to it; a payload is a
map, so that a reader skips fields it does not know and fills in defaults for
those that an older sender leaves out.
"""

import dataclasses

import msgspec

from agateshelf import exceptions
from agateshelf.core.dispatch import messages as dispatch_messages
from agateshelf.core.feed import messages as feed_messages
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.peers import models
from agateshelf.core.poison import messages as poison_messages
from agateshelf.daemon.peers import const

_TYPES: tuple[type[models.PeerMessage], ...] = (
    membership_messages.Ping,
    membership_messages.Ack,
    membership_messages.IndirectPing,
    membership_messages.IndirectAck,
    membership_messages.SyncRequest,
    membership_messages.SyncPage,
    poison_messages.CrashSeen,
    poison_messages.SuspectCleared,
    feed_messages.FeedHeartbeat,
    feed_messages.FeedRequest,
    feed_messages.FeedUpdate,
    dispatch_messages.LoadSubscription,
    dispatch_messages.LoadReport,
    dispatch_messages.DispatchRequest,
    dispatch_messages.DispatchQueued,
    dispatch_messages.DispatchGranted,
    dispatch_messages.DispatchRefused,
    dispatch_messages.DispatchEnded,
)


class MessageError(exceptions.AgateshelfError):
    """Bytes are no message of this protocol."""


class _Envelope(msgspec.Struct, array_like=True):
    protocol: int
    sender: str
    epoch: int
    sequence: int
    type: str
    payload: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message with what its envelope says.

    Attributes:
        sender: Identifier of the entry that sent it.
        epoch: Number that grows with each process of the sender.
        sequence: Number that grows with each message of that process.
        message: The message.
    """

    sender: str
    epoch: int
    sequence: int
    message: models.PeerMessage


def _wire_name(kind: type[models.PeerMessage]) -> str:
    """Return the type that the envelope of such a message carries."""
    return kind.wire_name or kind.__name__


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_decoders = {_wire_name(kind): msgspec.msgpack.Decoder(kind) for kind in _TYPES}


def add_types(kinds: tuple[type[models.PeerMessage], ...]) -> None:
    """Read messages of these kinds too."""
    for kind in kinds:
        _decoders[_wire_name(kind)] = msgspec.msgpack.Decoder(kind)


def encode(
    sender: str, epoch: int, sequence: int, message: models.PeerMessage
) -> bytes:
    """Return the bytes of a message."""
    envelope = _Envelope(
        const.PROTOCOL_VERSION,
        sender,
        epoch,
        sequence,
        _wire_name(type(message)),
        msgspec.Raw(_encoder.encode(message)),
    )
    return _encoder.encode(envelope)


def decode(data: bytes) -> Received:
    """Return the message that bytes hold.

    Raises:
        MessageError: They hold none, or one of a kind not known here.
    """
    try:
        envelope = _envelope_decoder.decode(data)
        decoder = _decoders.get(envelope.type)
        if envelope.protocol < const.OLDEST_PROTOCOL_VERSION or not decoder:
            raise MessageError(f"not known here: {envelope.type[:40]!r}")
        message = decoder.decode(envelope.payload)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as exc:
        raise MessageError(str(exc)) from None
    return Received(envelope.sender, envelope.epoch, envelope.sequence, message)
