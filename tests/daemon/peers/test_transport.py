"""Tests of the transport between entries over loopback sockets."""

import collections
import contextlib

import curio
import pytest
import zmq

from agateshelf.core.configuration import messages
from agateshelf.core.directory import models as directory_models
from agateshelf.core.feed import messages as feed_messages
from agateshelf.daemon.peers import codec
from agateshelf.daemon.peers import const
from agateshelf.daemon.peers import transport
from agateshelf.documents import settings

TIMEOUT_SECONDS = 5.0
SETTLE_SECONDS = 0.4
SYSTEM_KEYS = zmq.curve_keypair()


class Peer:
    """A transport with the events and counts that it produced."""

    def __init__(self, entry, keys, epoch=1):
        public, secret = keys
        cfg = settings.Peers(
            listen=settings.Listen(port=0),
            public_key=public and public.decode(),
            secret_key=secret and secret.decode(),
        )
        self.counts = collections.Counter()
        self.received = curio.Queue()
        self.transport = transport.create_transport(
            entry, epoch, cfg, self._count
        )

    def _count(self, name, amount):
        self.counts[name] += amount

    async def start(self):
        self.task = await curio.spawn(
            self.transport.run, self.received.put, daemon=True
        )

    async def next(self):
        async with curio.timeout_after(TIMEOUT_SECONDS):
            return await self.received.get()

    async def wait_for_count(self, name):
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while not self.counts[name]:
                await curio.sleep(0.01)

    async def stop(self):
        await self.task.cancel()
        self.transport.close()


def run_with(peers, scenario):
    async def run():
        for peer in peers:
            await peer.start()
        try:
            await scenario(*peers)
        finally:
            for peer in peers:
                await peer.stop()

    curio.run(run)


def announce(version):
    return messages.VersionAnnouncement(version)


def test_messages_are_delivered_both_ways_in_order():
    async def scenario(a, b):
        a.transport.add_peer("b", b.transport.address)
        b.transport.add_peer("a", a.transport.address)
        for version in range(200):
            a.transport.send(("b",), announce(version))
            event = await b.next()
            assert (event.peer, event.message) == ("a", announce(version))
        b.transport.send(("a",), announce(7))
        assert (await a.next()).message == announce(7)

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


def test_burst_is_received_completely(monkeypatch):
    monkeypatch.setattr(const, "RECEIVE_BATCH_MESSAGES", 4)

    async def scenario(a, b):
        a.transport.add_peer("b", b.transport.address)
        a.transport.send(("b",), announce(0))
        await b.next()
        for version in range(1, 50):
            a.transport.send(("b",), announce(version))
        await curio.sleep(SETTLE_SECONDS)
        for version in range(1, 50):
            assert (await b.next()).message == announce(version)

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


def test_client_with_other_keys_is_denied_and_counted():
    outsider = Peer("s", zmq.curve_keypair())

    async def scenario(a, s):
        # The client knows the system's public key, but not its secret key.
        client = s.transport.context.socket(zmq.DEALER)
        client.setsockopt(zmq.LINGER, 0)
        client.curve_serverkey = SYSTEM_KEYS[0]
        client.curve_publickey, client.curve_secretkey = zmq.curve_keypair()
        client.connect(f"tcp://{a.transport.address}")
        client.send(codec.encode("s", 1, 1, announce(99)), zmq.NOBLOCK)
        with contextlib.closing(client):
            await a.wait_for_count(const.COUNT_STRANGERS)
            await curio.sleep(SETTLE_SECONDS)
        assert a.received.empty()

    run_with([Peer("a", SYSTEM_KEYS), outsider], scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00" * 40,
        b"\xff\xfe garbled",
        codec.encode("b", 1, 1, announce(9))[:-1],
        codec.encode("a", 1, 1, announce(9)),
    ],
)
def test_malformed_or_forged_message_is_counted_and_dropped(data):
    async def scenario(a, b):
        b.transport.add_peer("a", a.transport.address)
        b.transport._socket_to("a").send(data)
        await a.wait_for_count(const.COUNT_GARBLED)
        b.transport.send(("a",), announce(2))
        assert (await a.next()).message == announce(2)

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


def test_replayed_message_is_counted_and_dropped():
    async def scenario(a, b):
        b.transport.add_peer("a", a.transport.address)
        sock = b.transport._socket_to("a")
        recorded = codec.encode("b", 1, 5, announce(5))
        for data in (recorded, recorded, codec.encode("b", 0, 9, announce(1))):
            sock.send(data)
        sock.send(codec.encode("b", 1, 6, announce(6)))
        assert (await a.next()).message == announce(5)
        assert (await a.next()).message == announce(6)
        assert a.counts[const.COUNT_REPLAYED] == 2

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


def test_oversized_message_is_dropped():
    async def scenario(a, b):
        b.transport.add_peer("a", a.transport.address)
        large = messages.ContentChunk(
            1, 1, "", 0, 0, 1, b"x" * const.MAX_MESSAGE_BYTES
        )
        b.transport.send(("a",), large)
        assert b.counts[const.COUNT_UNSENT] == 1
        sock = b.transport._socket_to("a")
        sock.send(b"x" * (const.MAX_MESSAGE_BYTES + 1))
        await curio.sleep(SETTLE_SECONDS)
        assert a.received.empty()
        assert not a.counts[const.COUNT_RECEIVED_BYTES]

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


@pytest.mark.parametrize("size", [1_000, const.MAX_MESSAGE_BYTES, 1_500_000])
def test_feed_updates_of_any_size_arrive_as_they_were_sent(size):
    removal = directory_models.Removal("x" * size, 7)
    large = feed_messages.FeedUpdate(7, 0.0, 0, removals=(removal,))

    async def scenario(a, b):
        a.transport.add_peer("b", b.transport.address)
        for message in (announce(1), large, large, announce(2)):
            a.transport.send(("b",), message)
        for message in (announce(1), large, large, announce(2)):
            assert (await b.next()).message == message
        assert not a.counts[const.COUNT_UNSENT]

    run_with([Peer("a", SYSTEM_KEYS), Peer("b", SYSTEM_KEYS)], scenario)


def test_number_of_connections_is_bounded(monkeypatch):
    monkeypatch.setattr(const, "MAX_CONNECTIONS", 3)

    async def scenario(a):
        for n in range(10):
            a.transport.add_peer(f"x{n}", "127.0.0.1:1")
            a.transport.send((f"x{n}",), announce(1))
        assert len(a.transport.outbound) == 3

    run_with([Peer("a", SYSTEM_KEYS)], scenario)


@pytest.mark.parametrize("is_named", [False, True], ids=["address", "name"])
def test_an_entry_that_is_not_known_gets_an_answer(is_named):
    # Entries that started together didn't answer those that they had not heard
    # of: state syncs ended there, and requests for a target went unanswered.
    keys = (None, None)

    async def scenario(a, b):
        a.transport.add_peer(b.transport.entry, b.transport.address)
        a.transport.send([b.transport.entry], announce(1))
        event = await b.next()
        assert event.peer not in b.transport.addresses
        b.transport.send([event.peer], announce(2))
        answer = await a.next()
        assert answer.peer == b.transport.entry
        assert answer.message.version == 2

    a, b = Peer("a", keys), Peer("b", keys)
    if not is_named:
        for peer in (a, b):
            peer.transport.entry = peer.transport.address
            peer.transport.own_address = ""
    run_with([a, b], scenario)


def test_the_address_that_membership_tells_goes_before_that_of_a_message():
    async def scenario(a, b, c):
        a.transport.add_peer("b", b.transport.address)
        a.transport.send(["b"], announce(1))
        assert (await b.next()).peer == "a"
        b.transport.add_peer("a", c.transport.address)
        b.transport.send(["a"], announce(2))
        assert (await c.next()).message.version == 2
        assert not b.transport.sender_addresses

    run_with([Peer(name, SYSTEM_KEYS) for name in "abc"], scenario)


@pytest.mark.parametrize(
    "address",
    [
        "host.example:80",
        "entry-0",
        "10.0.0.1:0",
        "10.0.0.1:70000",
        "10.0.0.1\0:80",
        "10.0.0.\u00b9:80",
    ],
)
def test_only_ip_addresses_are_taken_from_messages(address):
    async def scenario(a, b):
        a.transport.own_address = address
        a.transport.add_peer("b", b.transport.address)
        a.transport.send(["b"], announce(1))
        assert (await b.next()).peer == "a"
        assert not b.transport.sender_addresses

    run_with([Peer(name, SYSTEM_KEYS) for name in "ab"], scenario)


def test_the_number_of_senders_that_are_not_known_is_bounded(monkeypatch):
    monkeypatch.setattr(const, "MAX_SENDER_ADDRESSES", 2)

    async def scenario(*peers):
        *senders, receiver = peers
        for sender in senders:
            sender.transport.add_peer("r", receiver.transport.address)
            sender.transport.send(["r"], announce(1))
            await receiver.next()
        assert list(receiver.transport.sender_addresses) == ["b", "c"]

    run_with([Peer(name, SYSTEM_KEYS) for name in "abcr"], scenario)
