"""Withdrawn keys, from the stored configuration to requests, in virtual time.

Guards against a key that is served on because the configuration that withdraws
it was not put in force, and against keys refused for what concerns others.
"""

import base64
import hashlib
import json

import pytest
from tests.core import routed_fleet
from tests.core.feed import proving_fleet
from tests.platform import test_documents as samples

from agateshelf.core.feed import messages
from agateshelf.platform import documents
from agateshelf.platform import items

ROUTE = {
    "name": "lookups",
    "host": "recall.example",
    "prefix": "/vin/",
    "kind": "safe",
    "timeout": 1000,
    "target_latency": 300,
    "max_attempts": 2,
    "service": "status",
}
NORTH = {"name": "north", "api_keys": ["north-key"]}
SOUTH = {"name": "south", "api_keys": ["south-key"]}
STEP_SECONDS = 0.25
SERVED = "served"


def digest_of(key):
    return hashlib.sha256(key.encode()).hexdigest()


class StoredFleet(proving_fleet.ProvingFleet):
    """A fleet whose configuration is decoded as the store has it."""

    def __init__(self, **changes):
        super().__init__(**changes)
        self.change(routed_fleet.create_target("t1", slots=64))
        self.write_tenants(2, [NORTH, SOUTH])
        self.run_for(2.0)

    def write_tenants(self, version, tenants, **changes):
        """Write a configuration with these tenants."""
        value = {
            **samples.CONFIGURATION,
            "version": version,
            "routes": [ROUTE],
            "services": [{"name": "status"}],
            "tenants": tenants,
            **changes,
        }
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = items.Item("op/config", self.revision + 1, data)
        table = documents.decode_route_table([item])
        if table is None:
            self.write_unreadable()
        else:
            self.change(table=table)

    def outcomes(self, seconds):
        """Send requests of both keys at all entries for some seconds.

        Returns:
            What became of the requests of each key, with the time.
        """
        calls = {"north-key": [], "south-key": []}
        for _ in range(round(seconds / STEP_SECONDS)):
            for key, sent in calls.items():
                for name in self.nodes:
                    call = self.request(name, key_digest=digest_of(key))
                    sent.append((self.now, call))
            self.run_for(STEP_SECONDS)
        self.run_for(1.0)
        return {
            key: [(at, self._outcome(call)) for at, call in sent]
            for key, sent in calls.items()
        }

    def _outcome(self, call):
        kind, value = self.response(call)
        return SERVED if kind == "answer" else value.reason


def outcomes_after(found, at):
    return {outcome for when, outcome in found if when > at}


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "west", "api_keys": None},
        {"name": "", "api_keys": ["west-key"]},
        {"name": "west", "rate_per_s": -1},
        {**NORTH, "allowed_regions": None},
        {**NORTH, "rate_per_s": "ten"},
    ],
)
def test_a_bad_workspace_delays_no_withdrawal(bad):
    fleet = StoredFleet()
    assert outcomes_after(fleet.outcomes(1.0)["north-key"], 0) == {SERVED}
    written_at = fleet.now
    fleet.write_tenants(3, [SOUTH, bad])
    found = fleet.outcomes(7.0)
    assert outcomes_after(found["north-key"], written_at + 1.0) == {
        "unknown-key"
    }
    assert outcomes_after(found["south-key"], written_at) == {SERVED}


def test_unreadable_routes_are_not_proved():
    # They may withdraw any key, so that none is served after the lease.
    fleet = StoredFleet()
    written_at = fleet.now
    fleet.write_tenants(3, [SOUTH], limits=None)
    found = fleet.outcomes(8.0)
    lapsed_at = written_at + fleet.seconds
    for key in found:
        assert outcomes_after(found[key], lapsed_at) == {"no-key-proof"}
    fleet.write_tenants(4, [SOUTH])
    fleet.run_for(2.0)
    found = fleet.outcomes(2.0)
    assert outcomes_after(found["north-key"], 0) == {"unknown-key"}
    assert outcomes_after(found["south-key"], 0) == {SERVED}


def lose_relays(fleet):
    """Lose what readers tell of their own accord, except heartbeats."""
    deliver = fleet._deliver

    def drop(sender, peer, message):
        is_update = isinstance(message, messages.FeedUpdate)
        if not is_update or message.token or fleet.now > lost_until:
            deliver(sender, peer, message)

    lost_until = fleet.now + 0.3
    fleet._deliver = drop


def names(fleet):
    return list(fleet.nodes)


def turn_away(fleet):
    fleet.turned_away = set(names(fleet)[3:])
    fleet._serve_watches()


def cut_off(fleet):
    node = fleet.nodes[names(fleet)[4]]
    node.partitioned = node.store_silent = True
    for name in ("partitioned", "store_silent"):
        fleet.at(fleet.now + 6.0, setattr, node, name, False)


def restart_some(fleet):
    for name in names(fleet)[1:4]:
        fleet.at(fleet.now + 0.5, fleet.restart, name)


DISTURBANCES = {
    "nothing": lambda _: None,
    "relays lost": lose_relays,
    "half turned away": turn_away,
    "some restart": restart_some,
    "one cut off": cut_off,
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("version", [1, 2])
@pytest.mark.parametrize("name", DISTURBANCES)
def test_a_rewritten_table_withdraws_its_keys(name, version, seed):
    # Version 2 is in force everywhere. A read of another table under the same
    # or a lower version would keep the proof of the one in force young.
    fleet = StoredFleet(seed=seed)
    written_at = fleet.now
    DISTURBANCES[name](fleet)
    fleet.write_tenants(version, [SOUTH])
    found = fleet.outcomes(10.0)
    late = outcomes_after(found["north-key"], written_at + fleet.seconds)
    assert SERVED not in late
    settled = outcomes_after(found["south-key"], written_at + 9.0)
    logged = {
        event.event for node in fleet.nodes.values() for _, event in node.notes
    }
    if version == 2:
        assert settled == {SERVED}
        return
    # Versions never go back; the entries say why they refuse.
    assert "no-key-proof" in settled
    assert "routes.ignored" in logged
    fleet.write_tenants(3, [SOUTH])
    fleet.run_for(3.0)
    assert outcomes_after(fleet.outcomes(1.0)["south-key"], 0) == {SERVED}
