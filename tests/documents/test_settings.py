"""Tests of the validation of settings."""

import pytest

from agateshelf import exceptions
from agateshelf.documents import settings
from agateshelf.documents import structs

GOOD = {
    "entry": "entry-0",
    "failure_domain": "boston",
    "callers": {"port": 8080},
    "administration": {"port": 8081},
    "platform": {"store": "127.0.0.1:1"},
}
DIGEST = "0" * 64


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"entry": "Entry 0"}, "/entry"),
        ({"callers": {"port": 70000}}, "/callers/port"),
        ({"platform": {"store": "here"}}, "/platform/"),
        ({"surprise": 1}, "/surprise"),
        ({"administration": {"host": "0.0.0.0", "port": 1}}, "/administrat"),
    ],
)
def test_error_names_the_path_of_an_invalid_setting(changes, path):
    with pytest.raises(exceptions.DocumentError) as caught:
        structs.read_value(settings.Settings, {**GOOD, **changes})
    assert caught.value.path.startswith(path)


def test_administration_beyond_loopback_requires_a_token():
    administration = {
        "host": "0.0.0.0",
        "port": 1,
        "token_sha256": [DIGEST],
    }
    cfg = structs.read_value(
        settings.Settings, {**GOOD, "administration": administration}
    )
    assert cfg.administration.token_sha256 == (DIGEST,)
