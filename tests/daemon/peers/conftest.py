"""Registers all message types with the codec for the tests of peers."""

import pytest

from agateshelf.daemon.peers import service_types


@pytest.fixture(autouse=True, scope="session")
def register_all_types():
    service_types.register()
