"""Tests of who may speak to the administration API."""

import hashlib

from agateshelf.daemon.administration import authorization
from agateshelf.documents import teams

TOKEN = b"a-token-of-harborline"
DIGEST = hashlib.sha256(TOKEN).hexdigest()
KNOWN = {
    "harborline": teams.TeamDocument(
        tokens=(
            teams.TokenDocument(
                name="desk", sha256=DIGEST, right=teams.Right.CHANGE
            ),
        )
    )
}


def bearer(token):
    return ((b"authorization", b"Bearer " + token),)


def test_a_known_token_speaks_for_its_team():
    principal = authorization.authenticate(bearer(TOKEN), (), KNOWN)
    assert principal == authorization.Principal(
        "harborline", "desk", teams.Right.CHANGE
    )
    assert principal.has_right(teams.Right.READ)
    assert not principal.has_right(teams.Right.ADMINISTER)


def test_an_unknown_token_or_none_is_nobody():
    assert authorization.authenticate(bearer(b"guess"), (), KNOWN) is None
    assert authorization.authenticate((), (), KNOWN) is None


def test_operators_token_of_the_settings_administers():
    operators = hashlib.sha256(b"root").hexdigest()
    principal = authorization.authenticate(bearer(b"root"), (operators,), KNOWN)
    assert principal.has_right(teams.Right.ADMINISTER)


def test_without_any_token_everyone_on_loopback_administers():
    principal = authorization.authenticate((), (), {})
    assert principal.team == authorization.LOCAL_TEAM
