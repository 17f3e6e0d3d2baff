"""Fixtures shared by all tests."""

import contextlib
import selectors
import time
from unittest import mock

import curio
import hypothesis
import pytest

from agateshelf_standins import system

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


class VirtualClock:
    """A monotonic clock that advances only when the event loop is idle."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


class VirtualSelector(selectors.DefaultSelector):
    """A selector that advances the clock by the timeout instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError(
                "the event loop would wait forever: no I/O and no timer"
            )
        self.clock.now += timeout
        return []


@contextlib.contextmanager
def create_virtual_run():
    """Yield a function that runs a coroutine function in virtual time."""
    clock = VirtualClock()
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            mock.patch.object(time, "monotonic", clock.monotonic)
        )
        kernel = stack.enter_context(
            curio.Kernel(selector=VirtualSelector(clock))
        )
        yield kernel.run


@pytest.fixture
def virtual_run():
    """Return a function that runs a coroutine function in virtual time."""
    with create_virtual_run() as run:
        yield run


@pytest.fixture
def local_system():
    """Yield a system without processes; stop all that were started in it."""
    created = system.create_system()
    yield created
    created.stop()
