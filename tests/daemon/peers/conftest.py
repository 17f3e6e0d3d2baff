"""Fixtures of the tests of peers: the codec reads all kinds of messages."""

import pytest

from agateshelf.daemon.peers import service_types


@pytest.fixture(autouse=True, scope="session")
def all_types():
    service_types.register()
