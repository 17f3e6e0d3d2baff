"""Simulates entries that follow routes, their store and targets.

Several reducers run in virtual time. Messages between them, the store and the
targets are simulated, and faults are injected through attributes of the fleet
and its nodes.
"""

import collections
import dataclasses
import heapq
import itertools

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import positions
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.directory import models as directory_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import models as feed_models
from agateshelf.core.membership import models as membership_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import const as route_const
from agateshelf.core.routes import models as route_models
from bench import fakestore

MESSAGE_SECONDS = 0.002
STORE_SECONDS = 0.004
# Stands among the changes of the store for routes that can't be read.
UNREADABLE = "unreadable"
LIMITS = route_models.Limits(16384, 1 << 20, 3.0, 15.0)


def create_route(**changes):
    """Create a route for idempotent requests."""
    values = {
        "name": "lookups",
        "host": "recall.example",
        "prefix": "/vin/",
        "shares": (route_models.Share("status", 1.0),),
        "idempotent": True,
        "timeout": 1.0,
        "target_latency": 0.3,
        "max_attempts": 2,
        "priority": 2,
    }
    return route_models.Route(**{**values, **changes})


def create_table(version, *routes):
    """Create a route table; without routes, with that of `create_route`."""
    routes = routes or (create_route(),)
    services = {s.service for route in routes for s in route.shares}
    paths = dict.fromkeys(sorted(services), "/health")
    return route_models.RouteTable(
        version, routes, paths, LIMITS, format=route_const.TABLE_FORMAT
    )


def create_target(name, revision=1, **changes):
    """Create the registration of a target that accepts requests."""
    values = {
        "id": name,
        "service": "status",
        "address": f"10.9.0.{len(name)}:80",
        "failure_domain": "boston",
        "slots": 2,
        "draining": False,
        "warmup": 0.0,
        "born": None,
        "revision": revision,
    }
    return directory_models.Registration(**{**values, **changes})


@dataclasses.dataclass
class Node:
    """One entry, the faults injected into it, and its recorded effects.

    Attributes:
        name: Identifier of the entry.
        state: State of its reducer.
        alive: Whether it runs; a dead entry gets no events.
        store_silent: Whether the store does not answer it.
        watch_stalled: Whether its watches are not answered.
        partitioned: Whether messages to and from it are lost.
        responses: Final response to each call, by call number.
        notes: Logged events with their time.
        probes: Number of probes sent.
        ended_probes: Targets whose probes were ended.
    """

    name: str
    state: core_state.State
    alive: bool = True
    store_silent: bool = False
    watch_stalled: bool = False
    partitioned: bool = False
    responses: dict = dataclasses.field(default_factory=dict)
    notes: list = dataclasses.field(default_factory=list)
    probes: int = 0
    ended_probes: set = dataclasses.field(default_factory=set)


class RoutedFleet:
    """A fleet of entries with a simulated store and simulated targets."""

    def __init__(self, domains, seed=1):
        self.now = 100.0
        self.queue = []
        self.order = itertools.count()
        self.revision = 10
        self.table = create_table(1)
        self.items = {}
        self.changes = []
        self.watches = []
        self.store_calls = 0
        self.evacuated = set()
        self.store_seconds = STORE_SECONDS
        self.reads = []
        self.backlog = {}
        self.store = fakestore.FakeStore()
        self.store_requests = []
        self.sends = collections.defaultdict(list)
        self.run_seconds = 0.1
        self.script = None
        self.silent_targets = set()
        self.calls = itertools.count(1)
        self.nodes = {}
        self.incarnations = collections.Counter()
        for index, domain in enumerate(domains):
            name = f"10.0.0.{index}:7000"
            identity = core_state.Identity(name, domain)
            created = core_state.create_state(
                identity, seed + index, has_services=False
            )
            self.nodes[name] = Node(name, created)

    def start(self):
        """Start all entries, with the first one as the seed of each."""
        seed = next(iter(self.nodes))
        contact = membership_models.Seed(seed, seed)
        for node in self.nodes.values():
            started = events.Started(
                1,
                node.name,
                (contact,),
                has_store=False,
                has_feed=True,
                unix_time=self.now,
            )
            self.post(node, started)

    def kill(self, name):
        """Kill an entry."""
        self.nodes[name].alive = False

    def freeze(self, name, seconds):
        """Stop an entry, which handles all it missed afterwards."""
        self.backlog[name] = []
        self.nodes[name].alive = False
        self.at(self.now + seconds, self._thaw, name)

    def _thaw(self, name):
        self.nodes[name].alive = True
        for event in self.backlog.pop(name):
            self.post(self.nodes[name], event)

    def restart(self, name):
        """Start an entry again, which has forgotten everything."""
        node = self.nodes[name]
        node.alive = True
        self.incarnations[name] += 1
        incarnation = 1 + self.incarnations[name]
        identity = node.state.identity
        seed = 1000 * incarnation + len(self.sends)
        node.state = core_state.create_state(identity, seed, has_services=False)
        contacts = tuple(
            membership_models.Seed(other, other)
            for other in list(self.nodes)[:3]
        )
        started = events.Started(
            incarnation,
            name,
            contacts,
            has_store=False,
            has_feed=True,
            unix_time=self.now,
        )
        self.post(node, started)

    def at(self, when, action, *arguments):
        heapq.heappush(self.queue, (when, next(self.order), action, arguments))

    def run_for(self, seconds):
        """Advance the virtual time by some seconds."""
        end = self.now + seconds
        while True:
            due = [
                (timers.next_at(node.state.timers), node.name)
                for node in self.nodes.values()
                if node.alive and timers.next_at(node.state.timers)
            ]
            at, name = min(due, default=(end, None))
            if self.queue and self.queue[0][0] <= min(at, end):
                self.now, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            elif name is not None and at <= end:
                self.now = max(self.now, at)
                self.post(self.nodes[name], events.Tick())
            else:
                self.now = end
                return

    def post(self, node, event):
        """Reduce an event at an entry and apply its effects."""
        if node.name in self.backlog:
            self.backlog[node.name].append(event)
        if not node.alive:
            return
        for effect in reducer.reduce(node.state, self.now, event):
            self.apply(node, effect)

    def apply(self, node, effect):
        match effect:
            case effects.SendToPeers():
                for peer in effect.peers:
                    self.at(
                        self.now + MESSAGE_SECONDS,
                        self._deliver,
                        node,
                        peer,
                        effect.message,
                    )
            case effects.ReadFeed():
                self.store_calls += 1
                self.reads.append((self.now, node.name, effect))
                pause = self.store_seconds
                if node.store_silent or pause > effect.timeout:
                    pause = effect.timeout
                self.at(self.now + pause, self._read, node, effect)
            case effects.SendStoreRequest():
                self.store_requests.append(effect.body)
                pause = effect.timeout if node.store_silent else STORE_SECONDS
                self.at(self.now + pause, self._answer_store, node, effect)
            case effects.WatchFeed():
                self.store_calls += 1
                self.watches.append((node, effect))
                self._serve_watches()
                self.at(self.now + effect.wait, self._end_watch, node, effect)
            case effects.StartAttempt():
                self._start(node, effect)
            case effects.DeliverAnswer():
                node.responses[effect.call] = ("answer", effect.attempt)
            case effects.Refuse():
                node.responses[effect.call] = ("refused", effect.refusal)
            case effects.ProbeTarget():
                node.probes += 1
                self.at(self.now + MESSAGE_SECONDS, self._probe, node, effect)
            case effects.CloseProbeConnections():
                node.ended_probes.update(effect.targets)
            case effects.LogEvent():
                node.notes.append((self.now, effect))

    def _deliver(self, sender, peer, message):
        node = self.nodes.get(peer)
        if node is None or node.partitioned or sender.partitioned:
            return
        self.post(node, events.PeerMessageReceived(sender.name, message))

    def _answer_store(self, node, effect):
        answer = storage.NoAnswer()
        if not node.store_silent:
            answer = self.store.answer(effect.body, self.now)
        self.post(node, events.StoreAnswered(effect.request, answer))

    def _read(self, node, effect):
        if node.store_silent or self.store_seconds > effect.timeout:
            answer = feed_models.Unavailable("no answer")
        elif effect.topic is feed_models.Topic.ROUTES:
            answer = feed_models.Snapshot(
                self.revision,
                self._stored_table(),
                evacuated=tuple(sorted(self.evacuated)),
            )
        else:
            items = tuple(self.items.values())
            answer = feed_models.Snapshot(self.revision, targets=items)
        self.post(node, events.FeedAnswered(effect.request, answer))

    def _stored_table(self):
        """Return the routes, with their position in the store."""
        if self.table is None:
            return None
        written_at = positions.revision_of(self.table.revision) or 1
        latest = positions.revision_of(self.revision)
        revision = positions.position_of(
            positions.era_of(self.revision), min(written_at, latest)
        )
        return dataclasses.replace(self.table, revision=revision)

    def evacuate(self, domain, *, evacuated=True):
        """Write or delete the evacuation of a failure domain."""
        self.revision += 1
        (self.evacuated.add if evacuated else self.evacuated.discard)(domain)
        change = evacuation_models.Change(domain, self.revision, evacuated)
        self.changes.append((self.revision, "routes", change))
        self._serve_watches()

    def change(self, *items, table=None):
        """Write registrations, or routes, to the store."""
        for written in items:
            self.revision += 1
            item = dataclasses.replace(written, revision=self.revision)
            if isinstance(item, directory_models.Removal):
                self.items.pop(item.id, None)
            else:
                self.items[item.id] = item
            self.changes.append((self.revision, "targets", item))
        if table is not None:
            self.revision += 1
            self.table = dataclasses.replace(table, revision=self.revision)
            self.changes.append((self.revision, "routes", self.table))
        self._serve_watches()

    def write_unreadable(self):
        """Write routes that can't be read to the store."""
        self.revision += 1
        self.table = None
        self.changes.append((self.revision, "routes", UNREADABLE))
        self._serve_watches()

    def _serve_watches(self):
        for node, effect in list(self.watches):
            if node.watch_stalled or node.store_silent:
                continue
            topic = effect.topic.value
            changed = [
                item
                for revision, kind, item in self.changes
                if revision > effect.after and kind == topic
            ]
            if not changed:
                continue
            self.watches.remove((node, effect))
            answer = feed_models.Changes(self.revision, targets=tuple(changed))
            if topic == "routes":
                tables = [
                    one
                    for one in changed
                    if isinstance(one, route_models.RouteTable)
                ]
                answer = feed_models.Changes(
                    self.revision,
                    tables[-1] if tables else None,
                    evacuations=tuple(
                        one
                        for one in changed
                        if isinstance(one, evacuation_models.Change)
                    ),
                    is_unreadable=UNREADABLE in changed,
                )
            event = events.FeedAnswered(effect.request, answer)
            self.at(self.now + self.store_seconds, self.post, node, event)

    def _end_watch(self, node, effect):
        """End a watch that brought no change within its time."""
        if (node, effect) not in self.watches:
            return
        self.watches.remove((node, effect))
        answer = feed_models.Changes(self.revision)
        if node.watch_stalled or node.store_silent:
            answer = feed_models.Unavailable("no answer")
        event = events.FeedAnswered(effect.request, answer)
        self.at(self.now + self.store_seconds, self.post, node, event)

    def _probe(self, node, effect):
        load = events.TargetLoad(0, 0, 2)
        if effect.target in self.silent_targets:
            load = None
        event = events.TargetProbed(effect.service, effect.target, load)
        self.post(node, event)

    def _start(self, node, effect):
        self.sends[effect.target].append((self.now, node.name, effect))
        end = events.AttemptAnswered(effect.attempt, 200)
        seconds = self.run_seconds
        if self.script is not None:
            seconds, end = self.script(effect)
        if end is not None:
            self.at(self.now + seconds, self.post, node, end)

    def request(self, name=None, **changes):
        """Send a request to an entry; return its call number."""
        node = self.nodes[name or next(iter(self.nodes))]
        call = next(self.calls)
        values = {
            "call": call,
            "caller": "desk",
            "method": "GET",
            "path": "/vin/1",
            "host": "recall.example",
            "timeout": 1.0,
            "request_id": f"r{call}",
        }
        self.post(node, events.RequestArrived(**{**values, **changes}))
        return call

    def response(self, call):
        """Return the final response to a call, or None."""
        for node in self.nodes.values():
            if call in node.responses:
                return node.responses[call]
        return None


def failed(attempt, kind, *, sent=True):
    """Return the event of a failed attempt."""
    return events.AttemptFailed(attempt, kind, any_byte_sent=sent)


RESET = outcome_models.FailureKind.RESET
CONNECT = outcome_models.FailureKind.CONNECT


def create_fleet(domains=("boston",) * 3, targets=3, seed=1):
    """Create a fleet that has run until all entries know all targets."""
    fleet = RoutedFleet(domains, seed)
    for index in range(targets):
        name = f"t{index}"
        fleet.items[name] = create_target(name)
    fleet.start()
    fleet.run_for(8.0)
    return fleet
