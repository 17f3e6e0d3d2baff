"""Simulates targets that name limits, and what each of them gets."""

import collections

from tests.core import routed_fleet

from agateshelf.core import events

RUN_SECONDS = 0.1
# Time in which all calls get their responses.
SETTLE_SECONDS = 1.0
# The platform's rule: later than STABLE_SECONDS after a target first named a
# limit, it gets in any WINDOW_SECONDS at most 1.5 times what that allows and 5
# requests more, over all entries that passed on such an answer for
# TOLD_SECONDS.
STABLE_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5


class LimitedFleet(routed_fleet.RoutedFleet):
    """A fleet whose targets name limits in their answers.

    Attributes:
        limits: Requests a second that targets name now, by target.
        named_at: When targets first named a limit.
        told: When each process of an entry passed on an answer with a limit, by
            entry and target.
        counted: Times of the sends that count, by target.
        arrivals: Times of all sends, by target.
        ended: Numbers of the calls that have a response, with its time.
        sides: Groups of entries that reach each other alone; empty for all.
    """

    def __init__(self, domains=("boston",) * 4, targets=4, seed=1, slots=4):
        super().__init__(domains, seed)
        self.limits = {}
        self.named_at = {}
        self.told = {}
        self.counted = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.sides = ()
        self.sent_at = {}
        self.ended_at = {}
        self.messages = collections.Counter()
        route = routed_fleet.create_route(max_attempts=3)
        self.table = routed_fleet.create_table(1, route)
        for index in range(targets):
            name = f"t{index}"
            self.items[name] = routed_fleet.create_target(
                name, address=f"10.9.0.{index}:80", slots=slots
            )
        self.start()
        self.run_for(8.0)

    def _start(self, node, effect):
        target = effect.target
        self.sends[target].append((self.now, node.name, effect))
        self.arrivals[target].append(self.now)
        self._count(node, target)
        limit = self.limits.get(target)
        end = events.AttemptAnswered(effect.attempt, 200, limit=limit)
        self.at(self.now + RUN_SECONDS, self._answer, node, target, end)

    def _count(self, node, target):
        named_at = self.named_at.get(target)
        told_at = self.told.get((node.name, target))
        if named_at is None or told_at is None or target not in self.limits:
            return
        if self.now < named_at + STABLE_SECONDS:
            return
        if self.now >= told_at + TOLD_SECONDS:
            self.counted[target].append(self.now)

    def _answer(self, node, target, end):
        if not node.alive:
            return
        if end.limit is not None:
            self.named_at.setdefault(target, self.now)
            self.told.setdefault((node.name, target), self.now)
        self.post(node, end)

    def apply(self, node, effect):
        name = type(effect).__name__
        if name == "SendToPeers":
            self.messages[type(effect.message).__name__] += len(effect.peers)
        if name in ("DeliverAnswer", "Refuse"):
            self.ended_at[effect.call] = self.now
        super().apply(node, effect)

    def _deliver(self, sender, peer, message):
        if any((sender.name in side) != (peer in side) for side in self.sides):
            return
        super()._deliver(sender, peer, message)

    def load(self, seconds, per_second, names=None, **changes):
        """Send requests to the entries in turn at a constant rate."""
        names = names or list(self.nodes)
        for number in range(int(seconds * per_second)):
            at = self.now + number / per_second
            self.at(at, self._send, names[number % len(names)], changes)
        self.run_for(seconds)
        self.run_for(SETTLE_SECONDS)

    def _send(self, name, changes):
        if self.nodes[name].alive:
            call = self.request(name, **changes)
            self.sent_at[call] = self.now

    def restart(self, name):
        self.told = {k: at for k, at in self.told.items() if k[0] != name}
        super().restart(name)

    def most_in_window(self, target, times=None):
        """Return the most counted sends to a target in any window."""
        times = self.counted[target] if times is None else times
        return max(
            (
                sum(at - WINDOW_SECONDS < other <= at for other in times)
                for at in times
            ),
            default=0,
        )

    def excesses(self):
        """Return the targets that got more than allowed, with how many."""
        return {
            target: most
            for target, limit in self.limits.items()
            if (most := self.most_in_window(target))
            > LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_EXTRA
        }

    def outcomes(self):
        """Return how many calls were answered and refused, by reason."""
        found = collections.Counter()
        for call in self.sent_at:
            response = self.response(call)
            if response is None:
                found["none"] += 1
            elif response[0] == "answer":
                found["answer"] += 1
            else:
                found[response[1].reason] += 1
        return found
