"""Transport of messages between entries over ZeroMQ.

An entry receives on one bound socket and sends on one socket per peer. Delivery
is best effort: a message is dropped rather than queued without bound, so
senders must not rely on it. Only holders of the system's key pair can connect
(CURVE).

Messages say where their sender receives. Of entries that start together, each
is asked by some that it has not heard of: an answer must not wait until
membership has brought their addresses.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import socket

import curio
import logbook
import zmq

from agateshelf.core import events
from agateshelf.core.peers import models
from agateshelf.daemon import posting
from agateshelf.daemon.peers import authentication
from agateshelf.daemon.peers import codec
from agateshelf.daemon.peers import const
from agateshelf.daemon.peers import messages
from agateshelf.daemon.peers import parts
from agateshelf.daemon.peers import readiness
from agateshelf.daemon.peers import replay_filter
from agateshelf.documents import settings

_log = logbook.Logger("peers")

Socket = zmq.Socket[bytes]

_PORTS = 1 << 16


@dataclasses.dataclass(slots=True)
class Transport:
    """Sends messages to other entries and posts received ones as events.

    Attributes:
        entry: Identifier of this entry.
        epoch: Number of this process; grows with each restart.
        cfg: Address to listen on and the system's keys.
        count: Adds to a counter.
        context: ZeroMQ context of all sockets.
        authenticator: Authenticates peers; None if no keys are configured.
        inbound: The bound socket, which only receives.
        addresses: `HOST:PORT` of each known entry.
        sender_addresses: The same of entries that have sent a message and are
            not among the known ones, the latest last.
        own_address: `HOST:PORT` at which this entry receives; empty if that is
            its identifier.
        outbound: Open sockets by entry, least recently used first.
        replays: Filter for replayed messages, which are dropped only if keys
            are configured.
        sequence: Number of the latest message sent.
        assembler: Joins messages that arrive in parts.
    """

    entry: str
    epoch: int
    cfg: settings.Peers
    count: authentication.CountCallback
    context: "zmq.Context[Socket]"
    authenticator: authentication.Authenticator | None
    inbound: Socket
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    sender_addresses: collections.OrderedDict[str, str] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    own_address: str = ""
    outbound: collections.OrderedDict[str, Socket] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    replays: replay_filter.ReplayFilter = dataclasses.field(
        default_factory=replay_filter.ReplayFilter
    )
    sequence: int = 0
    assembler: parts.Assembler = dataclasses.field(
        default_factory=parts.Assembler
    )

    def add_peer(self, peer: str, address: str) -> None:
        """Set the address of an entry; ignored if too many are known.

        The entry is connected when the first message is sent to it.
        """
        if self.addresses.get(peer) == address:
            return
        if len(self.addresses) >= const.MAX_ADDRESSES:
            return
        if self.sender_addresses.pop(peer, None) != address:
            self._close(peer)
        self.addresses[peer] = address

    def _note_sender(self, received: codec.Received) -> None:
        """Note where an entry receives that is not known as a member."""
        address = received.address or received.sender
        if received.sender in self.addresses or not _is_endpoint(address):
            return
        if self.sender_addresses.pop(received.sender, address) != address:
            self._close(received.sender)
        self.sender_addresses[received.sender] = address
        if len(self.sender_addresses) > const.MAX_SENDER_ADDRESSES:
            self.sender_addresses.popitem(last=False)

    def disconnect_peer(self, peer: str) -> None:
        """Close the connection to an entry that is gone.

        Its address is kept, since the entry may send again and needs a reply.
        """
        self._close(peer)

    def send(
        self, peers: abc.Iterable[str], message: models.PeerMessage
    ) -> None:
        """Send a message to entries; drop it where it can't be queued."""
        payload = codec.encode_payload(message)
        divided: list[bytes] | None = None
        for peer in peers:
            if divided is None:
                data = self._add_envelope(type(message), payload)
                is_large = len(data) > const.MAX_MESSAGE_BYTES
                if not is_large or not parts.is_divisible(message):
                    self._send_data(peer, data, type(message))
                    continue
                divided = self._divide(payload)
            self._send_parts(peer, divided)

    def _divide(self, payload: bytes) -> list[bytes]:
        divided = parts.divide(payload, self.sequence)
        return [codec.encode_payload(part) for part in divided]

    def _send_parts(self, peer: str, divided: list[bytes]) -> None:
        """Send all parts of a message, or as many as can be queued."""
        if not divided:
            self.count(const.COUNT_UNSENT, 1)
        for part in divided:
            data = self._add_envelope(messages.MessagePart, part)
            if not self._send_data(peer, data, messages.MessagePart):
                return

    def _add_envelope(
        self, kind: type[models.PeerMessage], payload: bytes
    ) -> bytes:
        self.sequence += 1
        return codec.add_envelope(
            self.entry,
            self.epoch,
            self.sequence,
            kind,
            payload,
            self.own_address,
        )

    def _send_data(
        self, peer: str, data: bytes, kind: type[models.PeerMessage]
    ) -> bool:
        """Queue a message; return whether it could be queued."""
        sock = self._socket_to(peer)
        if sock is None or len(data) > const.MAX_MESSAGE_BYTES:
            self.count(const.COUNT_UNSENT, 1)
            return False
        try:
            sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.count(const.COUNT_UNSENT, 1)
            return False
        self.count(const.COUNT_SENT_BYTES, len(data))
        self.count(f"{const.COUNT_SENT_BYTES}.{kind.__name__}", len(data))
        return True

    def _socket_to(self, peer: str) -> Socket | None:
        sock = self.outbound.get(peer)
        if sock is not None:
            self.outbound.move_to_end(peer)
            return sock
        address = self.addresses.get(peer) or self.sender_addresses.get(peer)
        if address is None:
            return None
        sock = _create_outbound(self.context, self.cfg, address)
        if sock is None:
            return None
        self.outbound[peer] = sock
        if len(self.outbound) > const.MAX_CONNECTIONS:
            _, oldest = self.outbound.popitem(last=False)
            oldest.close()
        return sock

    def _close(self, peer: str) -> None:
        sock = self.outbound.pop(peer, None)
        if sock is not None:
            sock.close()

    async def run(self, post: posting.Post) -> None:
        """Post received messages as events; never returns."""
        async with curio.TaskGroup(wait=None) as group:
            if self.authenticator is not None:
                await group.spawn(self.authenticator.run)
            while True:
                await readiness.wait_readable(self.inbound)
                await self._receive_batch(post)

    async def _receive_batch(self, post: posting.Post) -> None:
        with contextlib.suppress(zmq.Again):
            for _ in range(const.RECEIVE_BATCH_MESSAGES):
                frames = self.inbound.recv_multipart(zmq.NOBLOCK)
                event = self._to_event(frames)
                if event is not None:
                    await post(event)
        # Yield to other tasks, so that a flood can't occupy the event loop.
        await curio.sleep(0)

    def _to_event(
        self, frames: list[bytes]
    ) -> events.PeerMessageReceived | None:
        self.count(const.COUNT_RECEIVED_BYTES, sum(map(len, frames)))
        try:
            received = codec.decode(frames[-1])
        except codec.MessageError:
            self.count(const.COUNT_GARBLED, 1)
            return None
        if received.sender == self.entry:
            self.count(const.COUNT_GARBLED, 1)
            return None
        is_new = self.replays.accept(
            received.sender, received.epoch, received.sequence
        )
        if not is_new and self.authenticator is not None:
            self.count(const.COUNT_REPLAYED, 1)
            return None
        self._note_sender(received)
        message: models.PeerMessage | None = received.message
        if isinstance(message, messages.MessagePart):
            message = self._join(received, message)
        if message is None:
            return None
        return events.PeerMessageReceived(received.sender, message)

    def _join(
        self, received: codec.Received, part: messages.MessagePart
    ) -> models.PeerMessage | None:
        try:
            return self.assembler.add(received.sender, received.epoch, part)
        except codec.MessageError:
            self.count(const.COUNT_GARBLED, 1)
            return None

    def close(self) -> None:
        """Close all sockets and the context."""
        for sock in self.outbound.values():
            sock.close()
        self.outbound.clear()
        self.inbound.close()
        if self.authenticator is not None:
            self.authenticator.sock.close()
        self.context.term()

    @property
    def address(self) -> str:
        """Return the bound address as `HOST:PORT`."""
        endpoint = self.inbound.getsockopt(zmq.LAST_ENDPOINT)
        text = endpoint.decode() if isinstance(endpoint, bytes) else ""
        return text.rstrip("\0").removeprefix("tcp://")


def create_transport(
    entry: str,
    epoch: int,
    cfg: settings.Peers,
    count: authentication.CountCallback,
) -> Transport:
    """Create an entry's transport and bind its socket.

    Raises:
        zmq.ZMQError: The address can't be bound.
    """
    context: zmq.Context[Socket] = zmq.Context()
    authenticator: authentication.Authenticator | None = None
    if cfg.public_key is not None:
        authenticator = authentication.create_authenticator(
            context, cfg.public_key, count
        )
    inbound = context.socket(zmq.ROUTER)
    _set_common_options(inbound, cfg)
    if authenticator is not None:
        inbound.setsockopt(zmq.CURVE_SERVER, 1)
    inbound.setsockopt(zmq.RCVHWM, const.RECEIVE_QUEUE_MESSAGES)
    inbound.bind(f"tcp://{cfg.listen.host}:{cfg.listen.port}")
    transport = Transport(
        entry, epoch, cfg, count, context, authenticator, inbound
    )
    own_address = cfg.advertised or transport.address
    transport.own_address = "" if own_address == entry else own_address
    _log.info("Entry {} listens for peers on {}.", entry, transport.address)
    return transport


def _is_endpoint(address: str) -> bool:
    """Return whether an address is `HOST:PORT` with an IP address as the host.

    A name would be resolved by whoever connects to it.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    try:
        socket.inet_pton(family, host.strip("[]"))
    except (OSError, ValueError):
        return False
    return port.isdecimal() and 0 < int(port) < _PORTS


def _create_outbound(
    context: "zmq.Context[Socket]", cfg: settings.Peers, address: str
) -> Socket | None:
    sock = context.socket(zmq.DEALER)
    _set_common_options(sock, cfg)
    sock.setsockopt(zmq.SNDHWM, const.SEND_QUEUE_MESSAGES)
    if cfg.public_key is not None:
        sock.setsockopt(zmq.CURVE_SERVERKEY, cfg.public_key.encode())
    sock.setsockopt(zmq.RECONNECT_IVL, const.RECONNECT_MILLISECONDS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, const.RECONNECT_MAX_MILLISECONDS)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, const.CONNECT_TIMEOUT_MILLISECONDS)
    try:
        sock.connect(f"tcp://{address}")
    except zmq.ZMQError as exc:
        _log.warning("Can't connect to the peer at {}: {}.", address, exc)
        sock.close()
        return None
    return sock


def _set_common_options(sock: Socket, cfg: settings.Peers) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.MAXMSGSIZE, const.MAX_MESSAGE_BYTES)
    sock.setsockopt(zmq.HANDSHAKE_IVL, const.HANDSHAKE_MILLISECONDS)
    sock.setsockopt(zmq.HEARTBEAT_IVL, const.HEARTBEAT_MILLISECONDS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, const.HEARTBEAT_TIMEOUT_MILLISECONDS)
    sock.setsockopt(zmq.TCP_MAXRT, const.UNACKNOWLEDGED_MILLISECONDS)
    if cfg.public_key is not None and cfg.secret_key is not None:
        sock.setsockopt(zmq.CURVE_PUBLICKEY, cfg.public_key.encode())
        sock.setsockopt(zmq.CURVE_SECRETKEY, cfg.secret_key.encode())
