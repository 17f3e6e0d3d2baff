"""Content of a configuration version: a manifest and content-addressed parts.

A part is addressed by the digest of its bytes and is immutable. The reader of a
manifest therefore finds exactly the parts of that version or finds some of them
missing, but never mixes parts of two versions.
"""

from collections import abc
import dataclasses
import hashlib

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Configuration of one service or team.

    Attributes:
        name: Section and name, such as `services/search`.
        value: JSON object as submitted by the operators.
    """

    name: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """Complete content of one version.

    Attributes:
        version: Version number.
        digest: Digest of the manifest.
        manifest: Digest of each part by name, sorted by name.
        parts: Parts by name, sorted by name.
    """

    version: int
    digest: str
    manifest: dict[str, str]
    parts: dict[str, Part]


def digest_of(value: bytes) -> str:
    """Return the digest by which a part is addressed, in hexadecimal."""
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).hexdigest()


def manifest_digest(manifest: abc.Mapping[str, str]) -> str:
    """Return the digest of a manifest, independent of its order."""
    lines = (f"{name} {manifest[name]}\n" for name in sorted(manifest))
    return digest_of("".join(lines).encode())


def create_content(version: int, parts: abc.Iterable[Part]) -> Content:
    """Create the content of a version from its parts, in any order."""
    ordered = {part.name: part for part in sorted(parts, key=_name_of)}
    manifest = {name: digest_of(p.value) for name, p in ordered.items()}
    return Content(version, manifest_digest(manifest), manifest, ordered)


def _name_of(part: Part) -> str:
    return part.name


def changed_parts(
    base: abc.Mapping[str, str], new: Content
) -> tuple[Part, ...]:
    """Return the parts that are new or differ from the base manifest."""
    return tuple(
        part
        for name, part in new.parts.items()
        if base.get(name) != new.manifest[name]
    )
