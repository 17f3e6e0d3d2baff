"""Simulates entries whose links and store take time for each byte.

Messages between entries and answers with routes wait in turn for the links of
both ends. What a read takes longer than its timeout is lost.
"""

import collections
import dataclasses
import hashlib

from tests.core import routed_fleet
from tests.core.feed import proving_fleet

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.feed import models
from agateshelf.core.routes import models as route_models
from agateshelf.daemon.peers import codec

WORKSPACES = 88
STORE = "store"
STORE_MEGABITS = 1000.0
# Size of routes in the store, as JSON in base64, relative to those in messages.
STORED_SHARE = 1.75
# The platform's bound on the time until a change is in force.
IN_FORCE_SECONDS = 2.5
STEP_SECONDS = 0.05


def digest_of(text):
    return hashlib.sha256(text.encode()).hexdigest()


def create_workspaces(version):
    """Create workspaces, the first of which has a new key in each version."""
    names = [f"w{n}" for n in range(WORKSPACES)]
    keys = [[digest_of(f"{name}-{n}") for n in range(2)] for name in names]
    keys[0].append(digest_of(f"key-{version}"))
    return tuple(
        route_models.Workspace(name, tuple(own), rate=900.0, burst=900.0)
        for name, own in zip(names, keys, strict=True)
    )


def create_table(version, routes=4):
    """Create a table with a route and a key that only this version has."""
    created = [
        routed_fleet.create_route(
            name=f"route-{n}", prefix=f"/{digest_of(str(n))[:8]}/"
        )
        for n in range(routes)
    ]
    own = routed_fleet.create_route(
        name=f"own-{version}", prefix=f"/version-{version}/"
    )
    table = routed_fleet.create_table(
        version, routed_fleet.create_route(), *created, own
    )
    return dataclasses.replace(table, workspaces=create_workspaces(version))


class LinkedFleet(proving_fleet.ProvingFleet):
    """A fleet with a link for each entry, and one for the store.

    Attributes:
        megabits: Speed of each entry's link, in Mbit/s, by entry.
        free_at: Time at which each direction of a link is free.
        sent: Bytes that each entry sent.
        written: When each version was acknowledged.
    """

    def __init__(self, entries=146, megabits=10.0, seed=1):
        self.megabits = collections.defaultdict(lambda: megabits)
        self.megabits[STORE] = STORE_MEGABITS
        self.free_at = collections.defaultdict(float)
        self.sent = collections.Counter()
        self.written = {}
        self._sizes = (None, 0)
        self._deadlines = {}
        super().__init__(entries, seed)
        self.change(routed_fleet.create_target("t1", slots=900))
        self.write_version(2)
        self.run_for(4.0)
        self.sent.clear()

    def _size_of(self, message):
        if self._sizes[0] is not message:
            self._sizes = (message, len(codec.encode_payload(message)))
        return self._sizes[1]

    def _transfer(self, source, recipient, size):
        """Return when so many bytes are through the links of both ends."""
        at = self.now
        for end in ((source, "out"), (recipient, "in")):
            seconds = size * 8 / (self.megabits[end[0]] * 1e6)
            at = max(at, self.free_at[end]) + seconds
            self.free_at[end] = at
        return at

    def _deliver(self, sender, peer, message):
        size = self._size_of(message)
        self.sent[sender.name] += size
        at = self._transfer(sender.name, peer, size)
        self.at(at, super()._deliver, sender, peer, message)

    def apply(self, node, effect):
        if isinstance(effect, effects.ReadFeed):
            key = (node.name, effect.request)
            self._deadlines[key] = self.now + effect.timeout
        super().apply(node, effect)

    def post(self, node, event):
        answer = getattr(event, "answer", None)
        if getattr(answer, "table", None) is None:
            super().post(node, event)
            return
        size = STORED_SHARE * len(codec.encode_payload(answer.table))
        at = self._transfer(STORE, node.name, size)
        deadline = self._deadlines.pop((node.name, event.request), at)
        if at > deadline:
            at = max(self.now, deadline)
            late = models.Unavailable("no answer in time")
            event = events.FeedAnswered(event.request, late)
        self.at(at, super().post, node, event)

    def write_version(self, version, routes=4):
        """Write routes, and note when they were acknowledged."""
        self.change(table=create_table(version, routes))
        self.written[version] = self.now

    def due_version(self):
        """Return the version that must be in force by now."""
        due = self.now - IN_FORCE_SECONDS
        return max(
            (v for v, at in self.written.items() if at <= due), default=0
        )

    def entries_behind(self, seconds, excused=()):
        """Run for some seconds; return entries with routes that are too old."""
        end = self.now + seconds
        behind = set()
        while self.now < end - 1e-9:
            self.run_for(STEP_SECONDS)
            due = self.due_version()
            for node in self.nodes.values():
                if not node.alive or node.name in excused:
                    continue
                table = node.state.routes.table
                if table is None or table.version < due:
                    behind.add(node.name)
        return behind
