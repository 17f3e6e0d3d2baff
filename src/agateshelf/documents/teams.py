"""Schema of teams, their tokens and rights, as part of the configuration."""

from collections import abc
import enum
from typing import Annotated

import pydantic

from agateshelf.documents import check

Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class Right(enum.StrEnum):
    """Right of a token; each one includes those listed before it."""

    READ = "read"
    CHANGE = "change"
    ADMINISTER = "administer"


_ORDER = (Right.READ, Right.CHANGE, Right.ADMINISTER)


def includes(granted: Right, needed: Right) -> bool:
    """Return whether a right includes another."""
    return _ORDER.index(granted) >= _ORDER.index(needed)


class TokenDocument(check.Document):
    """A bearer token, of which only the digest is stored.

    Attributes:
        name: Name of the token, recorded as part of the author of a change.
        sha256: SHA-256 digest of the token, in hexadecimal.
        right: Right of the token.
    """

    name: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    sha256: Digest
    right: Right = Right.READ


class TeamDocument(check.Document):
    """A team that owns services.

    Attributes:
        tokens: Tokens of the team.
        probe_rate: Limit in probes per second of all its services together;
            None for no limit. Only administrators may change it.
    """

    tokens: tuple[TokenDocument, ...] = ()
    probe_rate: Annotated[float, pydantic.Field(ge=0)] | None = None


def has_administrator(teams: abc.Mapping[str, TeamDocument]) -> bool:
    """Return whether any token has the right `administer`."""
    return any(
        token.right is Right.ADMINISTER
        for team in teams.values()
        for token in team.tokens
    )
