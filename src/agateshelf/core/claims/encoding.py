"""Store keys, encoded values, digests and nonces of the log of claims."""

import hashlib

import msgspec

from agateshelf.core.claims import const
from agateshelf.core.claims import models

_DIGEST_BYTES = 16
_REQUEST_DIGEST_BYTES = 8
_CALL_NUMBER_BYTES = 6
_VERSION_DIGITS = 16
_LENGTH_BYTES = 4

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(models.Head)


def digest_of(service: str, caller: str, key: str) -> bytes:
    """Return the digest of an idempotency key within its service and caller.

    The digest is cryptographic, so that no caller can produce a key that
    collides with another caller's.
    """
    return _digest((service, caller, key), _DIGEST_BYTES)


def request_digest_of(method: str, path: str, body_digest: bytes) -> bytes:
    """Return the digest by which requests with the same key are compared."""
    return _digest((method, path, body_digest.hex()), _REQUEST_DIGEST_BYTES)


def _digest(parts: tuple[str, ...], size: int) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(data)
    return digest.digest()


def nonce_of(incarnation: bytes, call: int) -> bytes:
    """Return the nonce of a call, unique across entries and their restarts."""
    return incarnation + call.to_bytes(_CALL_NUMBER_BYTES, "big")


def shard_of(digest: bytes) -> int:
    """Return the number of the shard of a digest."""
    return digest[0] % const.SHARDS


def head_key(shard: int) -> str:
    """Return the store key of a shard's head."""
    return f"{const.KEY_PREFIX}{shard:02d}/head"


def segment_prefix(shard: int) -> str:
    """Return the store key prefix of a shard's segments."""
    return f"{const.KEY_PREFIX}{shard:02d}/segment/"


def segment_key(shard: int, version: int, incarnation: bytes) -> str:
    """Return the store key of the segment that holds a sealed head.

    Args:
        shard: Number of the shard.
        version: Version of the head.
        incarnation: Incarnation of the process that writes the segment.
    """
    return f"{segment_floor(shard, version)}-{incarnation.hex()}"


def segment_floor(shard: int, version: int) -> str:
    """Return a key that sorts before all segments of a version and later."""
    return f"{segment_prefix(shard)}{version:0{_VERSION_DIGITS}d}"


def segment_version(shard: int, key: str) -> int:
    """Return the version of the head that a segment contains."""
    start = len(segment_prefix(shard))
    return int(key[start : start + _VERSION_DIGITS])


def encode(head: models.Head) -> bytes:
    """Return the encoded value of a head or a segment."""
    return _encoder.encode(head)


def decode(value: bytes) -> models.Head:
    """Return the head or segment decoded from a value.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return _decoder.decode(value)
