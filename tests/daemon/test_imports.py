"""Tests that an entry that follows routes loads no module of services.

They would take memory and start-up time for nothing.
"""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
from agateshelf.daemon import main
from agateshelf.daemon.callers import memory
from agateshelf.documents import settings
cfg = settings.Settings(
    entry="e0",
    failure_domain="boston",
    callers=settings.SecureListen(port=0),
    platform=settings.Platform(store="127.0.0.1:9"),
    routes=settings.Routes(),
)
driver = main.create_driver(cfg, 1, memory.Budget(1 << 20))
from agateshelf.core import events, reducer
reducer.reduce(driver.state, 1.0, events.Started(1, has_feed=True))
print(*sys.modules)
"""
MODULES = (
    "calls.models",
    "claims.models",
    "configuration.models",
    "hedging",
    "limits",
    "routing",
)


@pytest.fixture(scope="module")
def loaded():
    command = [sys.executable, "-c", PROGRAM]
    return subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout.split()


@pytest.mark.parametrize("module", MODULES)
def test_module_of_services_is_not_loaded(loaded, module):
    name = f"agateshelf.core.{module}"
    assert not [found for found in loaded if found.startswith(name)]
