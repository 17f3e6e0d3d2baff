"""Simulates targets that leave or ask for a pause, and what they still get."""

import collections

from tests.core import routed_fleet

from agateshelf.core import events
from agateshelf.core.dispatch import owners

RUN_SECONDS = 0.1
SETTLE_SECONDS = 1.0


class ClosingFleet(routed_fleet.RoutedFleet):
    """A fleet whose targets leave or pause while they stay registered.

    Attributes:
        leaving: Targets that say in all answers that they are leaving.
        pauses: Targets that turn requests away, with the seconds they ask for.
        told: When each process of an entry passed on that a target is leaving,
            by entry and target.
        asked: Pauses that targets asked entries for, as the entry's name, the
            target, and the times of the answer and of the pause's end.
        messages: Messages between entries, by type.
    """

    def __init__(self, entries=4, targets=4, seed=1, **options):
        domains = ("boston", "hartford", "portland", "providence")
        super().__init__([domains[n % 4] for n in range(entries)], seed)
        self.leaving = set()
        self.pauses = {}
        self.told = {}
        self.asked = []
        self.sent_at = {}
        self.ended_at = {}
        self.messages = collections.Counter()
        self.options = {"slots": 4, **options}
        route = routed_fleet.create_route(max_attempts=3)
        self.table = routed_fleet.create_table(1, route)
        for index in range(targets):
            self.items[f"t{index}"] = self.target(index)
        self.start()
        self.run_for(8.0)

    def target(self, index, **changes):
        address = f"10.9.0.{index}:80"
        options = {**self.options, **changes}
        return routed_fleet.create_target(
            f"t{index}", address=address, **options
        )

    def _start(self, node, effect):
        target = effect.target
        self.sends[target].append((self.now, node.name, effect))
        pause = self.pauses.get(target)
        if pause is not None:
            end = events.AttemptAnswered(
                effect.attempt, 503, not_run=True, pause=pause
            )
            arrived = self.now + routed_fleet.MESSAGE_SECONDS
            self.at(arrived, self._answer, node, target, end)
            return
        leaving = target in self.leaving
        end = events.AttemptAnswered(effect.attempt, 200, draining=leaving)
        self.at(self.now + RUN_SECONDS, self._answer, node, target, end)

    def _answer(self, node, target, end):
        if not node.alive:
            return
        if end.draining:
            self.told.setdefault((node.name, target), self.now)
        if end.pause:
            until = self.now + end.pause
            self.asked.append((node.name, target, self.now, until))
        self.post(node, end)

    def apply(self, node, effect):
        name = type(effect).__name__
        if name == "SendToPeers":
            kind = type(effect.message).__name__
            self.messages[kind] += len(effect.peers)
        if name in ("DeliverAnswer", "Refuse"):
            self.ended_at[effect.call] = self.now
        super().apply(node, effect)

    def restart(self, name):
        self.told = {k: at for k, at in self.told.items() if k[0] != name}
        self.asked = [ask for ask in self.asked if ask[0] != name]
        super().restart(name)

    def load(self, seconds, per_second=40, names=None, **changes):
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

    def owner(self):
        node = next(node for node in self.nodes.values() if node.alive)
        return owners.owner_ranking(node.state, "status")[0]

    def sends_since(self, target, at):
        return [sent for sent in self.sends[target] if sent[0] > at]

    def sends_after_told(self, seconds=0.0):
        """Return sends of entries that had passed on that a target leaves."""
        return [
            (target, name, at)
            for target, sends in self.sends.items()
            for at, name, _ in sends
            if at > self.told.get((name, target), at) + seconds
        ]

    def sends_in_pauses(self):
        """Return the sends of entries to targets that had asked for a pause."""
        return [
            (target, name, at)
            for name, target, begin, end in self.asked
            for at, sender, _ in self.sends[target]
            if sender == name and begin < at <= end
        ]

    def outcomes(self, since=0.0):
        """Return how many calls were answered and refused, by reason."""
        found = collections.Counter()
        for call, at in self.sent_at.items():
            response = self.response(call)
            if at < since:
                continue
            if response is None:
                found["none"] += 1
            elif response[0] == "answer":
                found["answer"] += 1
            else:
                found[response[1].reason] += 1
        return found
