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
    speaker = authorization.identify(bearer(TOKEN), (), KNOWN)
    assert speaker == authorization.Speaker(
        "harborline", "desk", teams.Right.CHANGE
    )
    assert speaker.may(teams.Right.READ)
    assert not speaker.may(teams.Right.ADMINISTER)


def test_an_unknown_token_or_none_is_nobody():
    assert authorization.identify(bearer(b"guess"), (), KNOWN) is None
    assert authorization.identify((), (), KNOWN) is None


def test_operators_token_of_the_settings_administers():
    operators = hashlib.sha256(b"root").hexdigest()
    speaker = authorization.identify(bearer(b"root"), (operators,), KNOWN)
    assert speaker.may(teams.Right.ADMINISTER)


def test_without_any_token_everyone_on_loopback_administers():
    speaker = authorization.identify((), (), {})
    assert speaker.team == authorization.LOCAL_TEAM
