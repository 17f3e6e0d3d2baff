"""Replication of configuration between entries.

An entry announces its active version to a few neighbours. An entry that is
behind pulls the changes in chunks from several peers, so that a new version
reaches all entries without each of them reading it from the store.
"""

import zlib

import msgspec

from agateshelf import decoding
from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.configuration import adoption
from agateshelf.core.configuration import const
from agateshelf.core.configuration import content
from agateshelf.core.configuration import messages
from agateshelf.core.configuration import models
from agateshelf.core.configuration import state_models
from agateshelf.core.membership import view


class _Changes(msgspec.Struct, array_like=True):
    removed: tuple[str, ...]
    parts: tuple[content.Part, ...]


_COMPRESSION_LEVEL = 6

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Changes)


def announce(state: core_state.State) -> list[effects.Effect]:
    """Announce the active version to a few neighbours not known to have it."""
    peer_versions = state.configuration.peer_versions
    behind = [
        entry
        for entry in view.neighbours(state)
        if peer_versions.get(entry, 0) < state.cfg.version
    ]
    if not behind:
        return []
    count = min(const.ANNOUNCE_FANOUT, len(behind))
    peers = tuple(state.rng.sample(behind, count))
    return [
        effects.SendToPeers(
            peers, messages.VersionAnnouncement(state.cfg.version)
        )
    ]


def on_version_reported(
    state: core_state.State, now: float, peer: str, version: int
) -> list[effects.Effect]:
    """Record a peer's version and start a download if it is newer."""
    cfg = state.configuration
    if (
        peer in cfg.peer_versions
        or len(cfg.peer_versions) < const.MAX_KNOWN_PEERS
    ):
        cfg.peer_versions[peer] = version
    if version <= state.cfg.version:
        return []
    return pull_if_behind(state, now)


def pull_if_behind(state: core_state.State, now: float) -> list[effects.Effect]:
    """Start a download if a peer has a newer version than the active one."""
    cfg = state.configuration
    if cfg.pull is not None:
        return []
    wanted = max(cfg.peer_versions.values(), default=0)
    if wanted <= state.cfg.version or wanted in cfg.validating:
        return []
    if cfg.invalid_until.get(wanted, now) > now:
        return []
    cfg.pull = state_models.Pull(wanted)
    return _request_chunk(state, now, cfg.pull)


def _request_chunk(
    state: core_state.State, now: float, pull: state_models.Pull
) -> list[effects.Effect]:
    cfg = state.configuration
    peer = _next_peer(state, pull)
    if peer is None:
        cfg.pull = None
        return []
    pull.peer = peer
    cfg.pull_serial += 1
    pull.serial = cfg.pull_serial
    at = now + const.PULL_TIMEOUT_SECONDS * state.rng.uniform(0.8, 1.2)
    timers.schedule(state.timers, at, models.PullDue(pull.serial))
    base = None if pull.full else cfg.active
    message = messages.ContentRequest(
        number=pull.serial,
        version=base.version if base else 0,
        digest=base.digest if base else "",
        chunk=len(pull.chunks),
    )
    return [effects.SendToPeers((pull.peer,), message)]


def _next_peer(state: core_state.State, pull: state_models.Pull) -> str | None:
    """Return another peer for the next chunk, to spread the load.

    The first chunk is requested from a peer known to have the version. For
    later chunks the neighbours are candidates as well: by then most of them
    have it, and one that does not costs no more than a timeout.
    """
    peer_versions = state.configuration.peer_versions
    peers = {
        p for p, version in peer_versions.items() if version >= pull.version
    }
    if pull.chunks:
        peers.update(view.neighbours(state))
    if not peers:
        return None
    others = peers - {pull.peer}
    return state.rng.choice(sorted(others or peers))


def on_pull_timeout(
    state: core_state.State, now: float, event: models.PullDue
) -> list[effects.Effect]:
    """Request the chunk from another peer after a timeout."""
    cfg = state.configuration
    pull = cfg.pull
    if pull is None or pull.serial != event.serial:
        return []
    counted = effects.Count("configuration.pull_unanswered")
    return [counted, *_request_chunk(state, now, pull)]


def on_content_request(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.ContentRequest,
) -> list[effects.Effect]:
    """Answer with one chunk of the changes since the requester's version."""
    active = state.configuration.active
    if active is None or active.version <= message.version:
        return []
    if not _may_serve(state, now):
        return [effects.Count("configuration.pulls_put_off")]
    base = state.configuration.recent.get(message.version)
    if base is not None and base.digest != message.digest:
        base = None
    data = _encode_changes(state, base, active)
    chunks = max(1, -(-len(data) // const.CHUNK_BYTES))
    # A requester whose chunk is out of range gets the first one, by which it
    # notices that the content differs and starts over.
    chunk = message.chunk if 0 <= message.chunk < chunks else 0
    start = chunk * const.CHUNK_BYTES
    answer = messages.ContentChunk(
        number=message.number,
        version=active.version,
        digest=active.digest,
        base_version=base.version if base else 0,
        chunk=chunk,
        chunks=chunks,
        data=data[start : start + const.CHUNK_BYTES],
    )
    return [effects.SendToPeers((peer,), answer)]


def _may_serve(state: core_state.State, now: float) -> bool:
    """Count a chunk and return whether it may be served within this second.

    The limit bounds the load caused by new entries; they retry other peers.
    """
    cfg = state.configuration
    if now - cfg.serve_window_start >= 1.0:
        cfg.serve_window_start = now
        cfg.chunks_served = 0
    cfg.chunks_served += 1
    return cfg.chunks_served <= const.SERVED_CHUNKS_PER_SECOND


def _encode_changes(
    state: core_state.State,
    base: content.Content | None,
    active: content.Content,
) -> bytes:
    cfg = state.configuration
    key = (base.version if base else 0, active.version)
    if cfg.encoded_changes is not None and cfg.encoded_changes.key == key:
        return cfg.encoded_changes.data
    manifest = base.manifest if base else {}
    changes = _Changes(
        removed=tuple(name for name in manifest if name not in active.manifest),
        parts=content.changed_parts(manifest, active),
    )
    data = zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)
    cfg.encoded_changes = state_models.EncodedChanges(key, data)
    return data


def on_chunk(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.ContentChunk,
) -> list[effects.Effect]:
    """Store a chunk, then request the next or assemble the content."""
    cfg = state.configuration
    pull = cfg.pull
    if pull is None or (pull.peer, pull.serial) != (peer, message.number):
        return []
    if message.version < pull.version:
        return []
    key = (message.version, message.base_version, message.digest)
    if pull.key is None:
        pull.key = key
    if pull.key != key or not _is_next(pull, message):
        return _restart(state, now, pull, message)
    pull.chunks.append(message.data)
    if len(pull.chunks) < message.chunks:
        return _request_chunk(state, now, pull)
    cfg.pull = None
    new = _assemble(state, message, b"".join(pull.chunks))
    if new is None:
        cfg.peer_versions.pop(peer, None)
        return [effects.Count("configuration.bad_content")]
    return adoption.request_validation(state, new)


def _restart(
    state: core_state.State,
    now: float,
    pull: state_models.Pull,
    message: messages.ContentChunk,
) -> list[effects.Effect]:
    """Restart the download with all parts instead of the changes.

    Chunks differ if peers have moved on to a newer version or not all of them
    keep the base version. With all parts of one version, the chunks are the
    same on every peer.
    """
    pull.key = None
    pull.chunks.clear()
    pull.full = True
    pull.version = max(pull.version, message.version)
    return _request_chunk(state, now, pull)


def _is_next(pull: state_models.Pull, message: messages.ContentChunk) -> bool:
    if message.chunks > const.MAX_CHUNKS:
        return False
    if len(message.data) > const.CHUNK_BYTES:
        return False
    return message.chunk == len(pull.chunks)


def _assemble(
    state: core_state.State, message: messages.ContentChunk, data: bytes
) -> content.Content | None:
    """Return the assembled content, or None if its digest does not match."""
    parts: dict[str, content.Part] = {}
    active = state.configuration.active
    if message.base_version:
        if active is None or active.version != message.base_version:
            return None
        parts.update(active.parts)
    try:
        changes = _decoder.decode(_decompress(data))
    except (*decoding.ERRORS, zlib.error):
        return None
    for name in changes.removed:
        parts.pop(name, None)
    parts.update({part.name: part for part in changes.parts})
    new = content.create_content(message.version, parts.values())
    return new if new.digest == message.digest else None


def _decompress(data: bytes) -> bytes:
    """Return decompressed data, truncated to `MAX_CONTENT_BYTES`."""
    return zlib.decompressobj().decompress(data, const.MAX_CONTENT_BYTES)
