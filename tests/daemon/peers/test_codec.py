"""Tests of messages as bytes, among entries of different ages."""

import contextlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from agateshelf.core.configuration import messages
from agateshelf.core.membership import messages as membership_messages
from agateshelf.core.membership import models
from agateshelf.core.peers import models as peer_models
from agateshelf.daemon.peers import codec

MEMBER = models.Member("e1", 3, models.Status.LEAVING, "127.0.0.1:1", "boston")


@pytest.mark.parametrize(
    "message",
    [
        membership_messages.Ping(1, 2, MEMBER, (MEMBER,)),
        membership_messages.RosterPage((MEMBER, MEMBER), more=True),
        messages.ContentChunk(1, 2, "d", 1, 0, 1, b"\x00\xff"),
    ],
)
def test_a_message_reads_back(message):
    received = codec.decode(codec.encode("e0", 4, 5, message))
    assert received == codec.Received("e0", 4, 5, message)


def envelope(payload, *more, protocol=1, kind="Ping"):
    raw = msgspec.Raw(msgspec.msgpack.encode(payload))
    return msgspec.msgpack.encode([protocol, "e0", 1, 1, kind, raw, *more])


PING = {"number": 1, "version": 2, "sender": msgspec.to_builtins(MEMBER)}


def test_a_newer_entry_may_add_fields():
    data = envelope({**PING, "load": 3}, "later", protocol=2)
    assert codec.decode(data).message.version == 2


def test_an_older_entry_may_leave_fields_out():
    assert codec.decode(envelope(PING)).message.updates == ()


def test_an_unknown_kind_is_refused():
    with pytest.raises(codec.MessageError):
        codec.decode(envelope(PING, kind="Later"))


@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_read_or_refused(data):
    with contextlib.suppress(codec.MessageError):
        codec.decode(data)


def test_every_message_between_entries_is_known():
    named = {kind.__name__ for kind in peer_models.PeerMessage.__subclasses__()}
    assert named == set(codec._decoders)
