"""Fixtures of the routing tests: reducers that exchange messages."""

import dataclasses

import pytest

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core.configuration import models
from agateshelf.core.routing import messages
from bench import deployments

DOMAINS = ("boston", "hartford")


def create_configuration(targets=4, version=1, **changes):
    """Create a configuration with one service, `lookups`."""
    spec = deployments.ServiceSpec(
        "lookups", targets, 0.0, models.Priority.URGENT
    )
    deployment = deployments.Deployment("test", DOMAINS, 0.001, 2, (spec,))
    cfg = deployments.create_configuration(
        deployment, lambda service: dataclasses.replace(service, **changes)
    )
    return dataclasses.replace(cfg, version=version)


class Entry:
    """A reducer with helpers that post events to it."""

    def __init__(self, name, cfg):
        identity = core_state.Identity(name, DOMAINS[0])
        self.state = core_state.create_state(identity, 7)
        self.calls = 0
        self.post(0.0, events.ConfigurationRead(cfg))

    def post(self, now, event):
        return reducer.reduce(self.state, now, event)

    def set_live_entries(self, *names):
        live = tuple(events.LiveEntry(n, DOMAINS[0]) for n in names)
        return self.post(0.0, events.LiveEntriesChanged(live))

    def receive_draining(self, now, target):
        """Receive another entry's report that a target is draining."""
        update = messages.TargetStateUpdate("lookups", target, True, 0.0)
        return self.post(now, events.PeerMessageReceived("e9", update))

    def arrive(self, now, method="GET", **changes):
        self.calls += 1
        request = events.RequestArrived(
            self.calls, "dealer", method, f"/lookups/{self.calls}", **changes
        )
        return self.post(now, request)

    def answer(self, now, attempt, status=200, **changes):
        answered = events.AttemptAnswered(attempt.attempt, status, **changes)
        return self.post(now, answered)


def started(emitted):
    """Return the attempts that the effects start."""
    return [e for e in emitted if isinstance(e, effects.StartAttempt)]


def sent(emitted, kind):
    """Return the receivers and messages of a kind that the effects send."""
    return [
        (e.peers, e.message)
        for e in emitted
        if isinstance(e, effects.SendToPeers) and isinstance(e.message, kind)
    ]


@pytest.fixture
def entry():
    return Entry("e0", create_configuration())
