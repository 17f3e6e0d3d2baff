"""The content of one configuration version: one part for each service.

A part is addressed by the digest of its bytes and never changes, so that a
reader who holds a manifest either finds exactly its parts or misses some; it
never sees a mixture of two versions.
"""

from collections import abc
import dataclasses
import hashlib

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One service's policy as the operators wrote it.

    Attributes:
        name: Name of the service.
        value: The policy, a JSON object.
    """

    name: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """One version whole.

    Attributes:
        version: Number of the version.
        digest: Digest over the manifest.
        manifest: Digest of each part by name, in order of the names.
        parts: The parts by name, in order of the names.
    """

    version: int
    digest: str
    manifest: dict[str, str]
    parts: dict[str, Part]


def digest_of(value: bytes) -> str:
    """Return the address of a part's bytes."""
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).hexdigest()


def manifest_digest(manifest: abc.Mapping[str, str]) -> str:
    """Return the digest that names a manifest."""
    lines = (f"{name} {manifest[name]}\n" for name in sorted(manifest))
    return digest_of("".join(lines).encode())


def create_content(version: int, parts: abc.Iterable[Part]) -> Content:
    """Create the content of a version from its parts."""
    ordered = {part.name: part for part in sorted(parts, key=_name_of)}
    manifest = {name: digest_of(p.value) for name, p in ordered.items()}
    return Content(version, manifest_digest(manifest), manifest, ordered)


def _name_of(part: Part) -> str:
    return part.name


def changed_parts(
    base: abc.Mapping[str, str], new: Content
) -> tuple[Part, ...]:
    """Return the parts that a holder of the base manifest misses."""
    return tuple(
        part
        for name, part in new.parts.items()
        if base.get(name) != new.manifest[name]
    )
