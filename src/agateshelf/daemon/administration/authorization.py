"""Who speaks to the administration API, and what they may do."""

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
    """Whoever sent a request.

    Attributes:
        team: The team.
        token: Name of the token, for the history.
        right: What it may do.
    """

    team: str
    token: str
    right: teams.Right

    def has_right(self, needed: teams.Right) -> bool:
        """Return whether the principal has a right."""
        return teams.includes(self.right, needed)


def authenticate(
    headers: messages.Headers,
    operator_digests: abc.Sequence[str],
    known: abc.Mapping[str, teams.TeamDocument],
) -> Principal | None:
    """Return who sent a request, or None if its token is not known.

    Without any token configured everyone is an administrator: the settings
    allow that on loopback only.
    """
    if not operator_digests and not any(t.tokens for t in known.values()):
        return Principal(LOCAL_TEAM, "", teams.Right.ADMINISTER)
    digest = _digest_of(headers)
    if digest is None:
        return None
    for allowed in operator_digests:
        if hmac.compare_digest(allowed, digest):
            return Principal(OPERATORS_TEAM, "settings", teams.Right.ADMINISTER)
    return _find_team_principal(digest, known)


def _find_team_principal(
    digest: str, known: abc.Mapping[str, teams.TeamDocument]
) -> Principal | None:
    for name, team in known.items():
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
