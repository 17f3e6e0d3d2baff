"""Encodes and decodes messages between entries (MessagePack).

Entries of different versions exchange messages during an upgrade. The envelope
is an array, to which later versions may append; the payload is a map, so that
a reader ignores unknown fields and uses the defaults of missing ones.
"""

import dataclasses

import msgspec

from agateshelf import decoding
from agateshelf import exceptions
from agateshelf.core.dispatch import messages as dispatch_messages
from agateshelf.core.feed import messages as feed_messages
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.peers import models
from agateshelf.core.poison import messages as poison_messages
from agateshelf.core.quotas import messages as quota_messages
from agateshelf.core.reach import messages as reach_messages
from agateshelf.core.target_notices import messages as notice_messages
from agateshelf.daemon.peers import const
from agateshelf.daemon.peers import messages

_TYPES: tuple[type[models.PeerMessage], ...] = (
    membership_messages.Ping,
    membership_messages.Ack,
    membership_messages.IndirectPing,
    membership_messages.IndirectAck,
    membership_messages.SyncRequest,
    membership_messages.SyncPage,
    poison_messages.CrashReports,
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
    notice_messages.TargetNotices,
    reach_messages.ReachReport,
    quota_messages.QuotaRequest,
    quota_messages.QuotaDecided,
    quota_messages.QuotaReturned,
    quota_messages.QuotaCounts,
    messages.MessagePart,
    quota_messages.QuotaPoll,
    quota_messages.QuotaPolled,
    quota_messages.NewQuotas,
)


class MessageError(exceptions.AgateshelfError):
    """The data is not a message that this version can read."""


class _Envelope(msgspec.Struct, array_like=True):
    protocol: int
    sender: str
    epoch: int
    sequence: int
    type: str
    payload: msgspec.Raw
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A received message with the metadata of its envelope.

    Attributes:
        sender: Identifier of the entry that sent it.
        epoch: Number of the sender's process; grows with each restart.
        sequence: Number of the message within that process; grows.
        message: The decoded payload.
        address: `HOST:PORT` at which the sender receives; empty if that is its
            identifier, or from an earlier build.
    """

    sender: str
    epoch: int
    sequence: int
    message: models.PeerMessage
    address: str = ""


def _wire_name(kind: type[models.PeerMessage]) -> str:
    """Return the type name that envelopes of a message type carry."""
    return kind.wire_name or kind.__name__


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_decoders = {_wire_name(kind): msgspec.msgpack.Decoder(kind) for kind in _TYPES}


def add_types(kinds: tuple[type[models.PeerMessage], ...]) -> None:
    """Register further message types with the decoder."""
    for kind in kinds:
        _decoders[_wire_name(kind)] = msgspec.msgpack.Decoder(kind)


def encode(
    sender: str, epoch: int, sequence: int, message: models.PeerMessage
) -> bytes:
    """Encode a message with its envelope."""
    payload = encode_payload(message)
    return add_envelope(sender, epoch, sequence, type(message), payload)


def encode_payload(message: models.PeerMessage) -> bytes:
    """Encode a message without an envelope, which differs by recipient."""
    return _encoder.encode(message)


def add_envelope(
    sender: str,
    epoch: int,
    sequence: int,
    kind: type[models.PeerMessage],
    payload: bytes,
    address: str = "",
) -> bytes:
    """Encode the envelope of an encoded message.

    Args:
        sender: Identifier of this entry.
        epoch: Number of this process.
        sequence: Number of the message.
        kind: Type of the message.
        payload: The encoded message.
        address: Address at which this entry receives; empty if that is its
            identifier.
    """
    envelope = _Envelope(
        const.PROTOCOL_VERSION,
        sender,
        epoch,
        sequence,
        _wire_name(kind),
        msgspec.Raw(payload),
        address,
    )
    return _encoder.encode(envelope)


def decode(data: bytes) -> Received:
    """Decode a message and its envelope.

    Raises:
        MessageError: The data is malformed, or its protocol version or message
            type is not supported.
    """
    try:
        envelope = _envelope_decoder.decode(data)
        decoder = _decoders.get(envelope.type)
        if envelope.protocol < const.OLDEST_PROTOCOL_VERSION or not decoder:
            raise MessageError(
                f"unsupported message type or version: {envelope.type[:40]!r}"
            )
        message = decoder.decode(envelope.payload)
    except decoding.ERRORS as exc:
        raise MessageError(str(exc)) from None
    return Received(
        envelope.sender,
        envelope.epoch,
        envelope.sequence,
        message,
        envelope.address,
    )
