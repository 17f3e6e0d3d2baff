"""Tests of the codec, also between entries of different versions."""

import contextlib
from typing import ClassVar

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from agateshelf.core.configuration import messages
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.membership import models
from agateshelf.core.peers import models as peer_models
from agateshelf.core.quotas import messages as quota_messages
from agateshelf.daemon.peers import codec
from agateshelf.daemon.peers import service_types

MEMBER = models.Member("e1", 3, models.Status.LEAVING, "127.0.0.1:1", "boston")


@pytest.mark.parametrize(
    "message",
    [
        membership_messages.Ping(1, 2, MEMBER, (MEMBER,)),
        membership_messages.SyncPage((MEMBER, MEMBER), more=True),
        messages.ContentChunk(1, 2, "d", 1, 0, 1, b"\x00\xff"),
        quota_messages.QuotaRequest(1, 2, "w", rate=3.0, version=4),
        quota_messages.QuotaPolled(1, ("e2", "e3")),
    ],
)
def test_message_round_trip(message):
    received = codec.decode(codec.encode("e0", 4, 5, message))
    assert received == codec.Received("e0", 4, 5, message)


def envelope(payload, *more, protocol=1, kind="Ping"):
    raw = msgspec.Raw(msgspec.msgpack.encode(payload))
    return msgspec.msgpack.encode([protocol, "e0", 1, 1, kind, raw, *more])


PING = {"number": 1, "version": 2, "sender": msgspec.to_builtins(MEMBER)}


def test_unknown_fields_of_newer_entry_are_ignored():
    data = envelope({**PING, "load": 3}, "later", protocol=2)
    assert codec.decode(data).message.version == 2


def test_missing_fields_of_older_entry_get_defaults():
    assert codec.decode(envelope(PING)).message.updates == ()


def test_unknown_message_type_is_rejected():
    with pytest.raises(codec.MessageError):
        codec.decode(envelope(PING, kind="Later"))


@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_are_decoded_or_rejected(data):
    with contextlib.suppress(codec.MessageError):
        codec.decode(data)


def test_every_message_between_entries_is_known():
    named = {
        codec._wire_name(kind)
        for kind in peer_models.PeerMessage.__subclasses__()
    }
    assert named == set(codec._decoders)


def test_message_is_encoded_and_decoded_under_its_wire_name(monkeypatch):
    # A subclass of Ping is not in PeerMessage.__subclasses__(), which the test
    # above compares with the types that the codec decodes.
    class Renamed(membership_messages.Ping, frozen=True):
        wire_name: ClassVar[str] = "Original"

    monkeypatch.setattr(codec, "_decoders", {})
    codec.add_types((Renamed,))
    message = Renamed(1, 2, MEMBER, (MEMBER,))
    data = codec.encode("e0", 4, 5, message)
    kind, payload, _ = msgspec.msgpack.decode(data)[4:]
    assert kind == "Original"
    assert "wire_name" not in payload
    assert codec.decode(data) == codec.Received("e0", 4, 5, message)
    with pytest.raises(codec.MessageError):
        codec.decode(envelope(PING, kind="Renamed"))


def test_wire_names_are_unique():
    # The decoders are keyed by wire name: of two types with the same one, only
    # the type registered last would be decoded.
    kinds = codec._TYPES + service_types._TYPES
    names = [codec._wire_name(kind) for kind in kinds]
    assert sorted(names) == sorted(codec._decoders)
