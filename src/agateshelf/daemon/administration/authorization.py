"""Authenticates requests to the administration API by bearer token."""

from collections import abc
import dataclasses
import hashlib
import hmac

from agateshelf.daemon import messages
from agateshelf.documents import teams

LOCAL_TEAM = "local"
OPERATORS_TEAM = "operators"

_SCHEME = b"bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated sender of a request.

    Attributes:
        team: Name of the team that owns the token.
        token: Name of the token, recorded in the history; empty without one.
        right: Right of the token.
    """

    team: str
    token: str
    right: teams.Right

    def has_right(self, needed: teams.Right) -> bool:
        """Return whether the principal's right includes another."""
        return teams.includes(self.right, needed)


def authenticate(
    headers: messages.Headers,
    operator_digests: abc.Sequence[str],
    known_teams: abc.Mapping[str, teams.TeamDocument],
) -> Principal | None:
    """Return the sender of a request; None if its token is missing or unknown.

    If no token is configured at all, everyone is an administrator. The settings
    allow that only while the API listens on loopback.

    Args:
        headers: Headers of the request.
        operator_digests: SHA-256 digests of the tokens in the settings.
        known_teams: Teams of the configuration, by name.
    """
    if not operator_digests and not any(t.tokens for t in known_teams.values()):
        return Principal(LOCAL_TEAM, "", teams.Right.ADMINISTER)
    digest = _digest_of(headers)
    if digest is None:
        return None
    for allowed in operator_digests:
        if hmac.compare_digest(allowed, digest):
            return Principal(OPERATORS_TEAM, "settings", teams.Right.ADMINISTER)
    return _find_team_principal(digest, known_teams)


def _find_team_principal(
    digest: str, known_teams: abc.Mapping[str, teams.TeamDocument]
) -> Principal | None:
    for name, team in known_teams.items():
        for token in team.tokens:
            if hmac.compare_digest(token.sha256, digest):
                return Principal(name, token.name, token.right)
    return None


def _digest_of(headers: messages.Headers) -> str | None:
    value = messages.header(headers, b"authorization")
    if value is None or not value.lower().startswith(_SCHEME):
        return None
    token = value[len(_SCHEME) :].strip()
    return hashlib.sha256(token).hexdigest()
