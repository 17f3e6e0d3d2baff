"""Helpers that act as operators of a fleet in virtual time."""

import dataclasses

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import storage
from agateshelf.core.configuration import content
from agateshelf_standins import keyvalue
from bench import fakestore
from bench import fleet as fleets


@dataclasses.dataclass(slots=True)
class LaggingStore(fakestore.FakeStore):
    """A store that can answer reads from an earlier snapshot.

    Attributes:
        past: Snapshot that reads are answered from, or None for the current
            state.
    """

    past: keyvalue.KeyValueStore | None = None

    def answer(self, req, now):
        if self.past is None or not isinstance(req, storage.Read):
            return fakestore.FakeStore.answer(self, req, now)
        fresh, self.backend = self.backend, self.past
        answer = fakestore.FakeStore.answer(self, req, now)
        self.backend = fresh
        return answer


@dataclasses.dataclass
class Operators:
    """Submits patches and queries to the entries of a fleet.

    Attributes:
        fleet: The fleet.
        last: Number of the last operation.
    """

    fleet: fleets.Fleet
    last: int = 0

    def submit(self, entry, base, *, patch_id=None, value=None):
        """Submit a patch and return its operation number."""
        self.last += 1
        patch_id = patch_id or f"patch-{self.last}"
        part = content.Part("services/a", (value or patch_id).encode())
        node = self.fleet.nodes[entry]
        known = node.state.cfg.version == base
        event = events.PatchRequested(
            operation=self.last,
            patch_id=patch_id,
            base_version=base,
            parts=(part,) if known else None,
            author="ann",
            reason="because",
            at=1.0,
        )
        self.fleet.post(node, event)
        return self.last

    def query(self, entry, kind, *values):
        """Post an event to an entry and return the answer."""
        self.last += 1
        self.fleet.post(self.fleet.nodes[entry], kind(self.last, *values))
        self.fleet.run_for(12.0)
        return self.fleet.answers[self.last]

    def lookup(self, entry, patch_id):
        """Return the outcome of a patch according to an entry."""
        return self.query(entry, events.PatchLookupRequested, patch_id).result

    def result(self, operation):
        """Return the result of a patch, or None if not answered yet."""
        answer = self.fleet.answers.get(operation)
        return answer.result if answer else None

    def accept(self, entry, base):
        """Submit a patch, wait until it is active, and return its result."""
        operation = self.submit(entry, base)
        self.fleet.run_for(8.0)
        assert isinstance(self.fleet.answers[operation], effects.AnswerPatch)
        return self.result(operation)


def versions(fleet):
    """Return the set of active versions of all running entries."""
    return {n.state.cfg.version for n in fleet.nodes.values() if n.alive}
