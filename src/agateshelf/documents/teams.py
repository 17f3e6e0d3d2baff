"""Teams, their tokens and their rights, as part of the configuration."""

from collections import abc
import enum
from typing import Annotated

import pydantic

from agateshelf.documents import check

Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class Right(enum.StrEnum):
    """What a token may do; a later one includes the earlier ones."""

    READ = "read"
    CHANGE = "change"
    ADMINISTER = "administer"


_ORDER = (Right.READ, Right.CHANGE, Right.ADMINISTER)


def includes(held: Right, needed: Right) -> bool:
    """Return whether a right includes another."""
    return _ORDER.index(held) >= _ORDER.index(needed)


class TokenDocument(check.Document):
    """One bearer token; only its SHA-256 digest is kept, in hexadecimal."""

    name: Annotated[str, pydantic.Field(min_length=1, max_length=64)]
    sha256: Digest
    right: Right = Right.READ


class TeamDocument(check.Document):
    """One team that shares the platform.

    Attributes:
        tokens: Tokens that speak for the team.
        probe_rate: Probes a second that all its services may use together;
            None is no limit. Only administrators set it.
    """

    tokens: tuple[TokenDocument, ...] = ()
    probe_rate: Annotated[float, pydantic.Field(ge=0)] | None = None


def has_administrator(teams: abc.Mapping[str, TeamDocument]) -> bool:
    """Return whether any token may administer."""
    return any(
        token.right is Right.ADMINISTER
        for team in teams.values()
        for token in team.tokens
    )
