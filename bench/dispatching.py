"""Dispatch under load in virtual time: a desk before noisy targets.

The targets follow the sheets of both users: each works on some requests at
once, slows down when its slots are taken, and shares its machine with others,
so that its speed is redrawn several times a second. Only what a desk would
hear reaches it: probes now and then, and the ends of requests.
"""

import dataclasses
import math
import random

from agateshelf.core.directory import models as directory_models
from agateshelf.core.dispatch import estimates
from agateshelf.core.dispatch import hedging
from agateshelf.core.dispatch import models
from agateshelf.core.dispatch import retry_budget
from agateshelf.core.dispatch import scheduling
from agateshelf.core.dispatch import target_health

STEP_SECONDS = 0.002
PROBE_SECONDS = 0.1
NOISE_SECONDS = 0.3
NOISE_SHARE = 0.25
SLOW_SPEED = 0.25
CROWDING = 1.7
WORK_SIGMA = 0.3
CROSSING_STEPS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its route.
        rate: Requests a second.
        work: Mean seconds on an idle usual target.
        aim: Seconds within which an answer is of full use.
        deadline: Seconds after which nobody waits.
        priority: Rank; 0 goes first.
        worth: Worth of an answer in time; a late one has a tenth.
    """

    name: str
    rate: float
    work: float
    aim: float
    deadline: float
    priority: int = 2
    worth: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """A service under load.

    Attributes:
        targets: Number of targets.
        slots: Requests that each works on at once.
        kinds: Kinds of request.
        seconds: Length.
        burst: Factor on all rates in the middle third.
    """

    targets: int
    slots: int
    kinds: tuple[Kind, ...]
    seconds: float = 30.0
    burst: float = 1.6


@dataclasses.dataclass(slots=True)
class Machine:
    """A target as it really is.

    Attributes:
        phase: When its speed is redrawn.
        speed: Its speed now.
        left: Work left of what it runs, by turn.
    """

    phase: float
    speed: float = 1.0
    left: dict[models.RequestKey, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    owed: float = 0.0

    @property
    def credit(self) -> float:
        """Share of the worth that was served."""
        return self.worth / max(self.owed, 1e-9)

    @property
    def served(self) -> float:
        """Share of the requests that were served at all."""
        return (self.in_aim + self.late) / max(self.asked, 1)


class World:
    """One run of a scene."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene = scene
        self.rng = random.Random(seed)
        self.desk = models.Dispatcher("service")
        self.reported = False
        self.machines: dict[str, Machine] = {}
        self.tallies = {kind.name: Tally() for kind in scene.kinds}
        self.kind_of: dict[models.RequestKey, Kind] = {}
        self.works: dict[models.RequestKey, float] = {}
        self.bounds = models.Bounds()
        self.repeats = 0
        self.number = 0
        for index in range(scene.targets):
            name = f"t{index}"
            registration = directory_models.Registration(
                name,
                "service",
                f"10.0.0.{index}:1",
                "a",
                scene.slots,
                draining=False,
                warmup=0.0,
                born=None,
                revision=1,
            )
            self.desk.targets[name] = models.TargetState(registration)
            phase = self.rng.random() * NOISE_SECONDS
            self.machines[name] = Machine(phase)

    def run(self) -> dict[str, Tally]:
        """Play the scene; return what became of each kind."""
        steps = int(self.scene.seconds / STEP_SECONDS)
        arrivals = self._arrivals()
        for step in range(steps + int(3.0 / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._redraw(now)
            self._work(now)
            while arrivals and arrivals[0][0] <= now:
                self.arrive(now, arrivals.pop(0)[1])
            if step % int(PROBE_SECONDS / STEP_SECONDS) == 0:
                self._probe(now)
            self._decide(now)
        return self.tallies

    def _arrivals(self) -> list[tuple[float, Kind]]:
        found = []
        third = self.scene.seconds / 3
        for kind in self.scene.kinds:
            now = 0.0
            while now < self.scene.seconds:
                rate = kind.rate
                if third < now < 2 * third:
                    rate *= self.scene.burst
                now += self.rng.expovariate(rate)
                found.append((now, kind))
        return sorted(found, key=lambda pair: pair[0])

    def _redraw(self, now: float) -> None:
        for machine in self.machines.values():
            position = (now + machine.phase) % NOISE_SECONDS
            if position < STEP_SECONDS:
                slow = self.rng.random() < NOISE_SHARE
                machine.speed = SLOW_SPEED if slow else 1.0

    def _work(self, now: float) -> None:
        for name, machine in self.machines.items():
            rate = machine.speed
            if len(machine.left) > 0.8 * self.scene.slots:
                rate /= CROWDING
            for key in list(machine.left):
                machine.left[key] -= STEP_SECONDS * rate
                turn = self.desk.granted.get(key)
                if turn is None:
                    del machine.left[key]
                elif now >= turn.deadline:
                    self._end(now, name, turn, served=False)
                elif machine.left[key] <= 0:
                    self._end(now, name, turn, served=True)

    def _end(
        self, now: float, name: str, turn: models.Request, *, served: bool
    ) -> None:
        kind = self.kind_of[_first_key(turn.key)]
        tally = self.tallies[kind.name]
        for key in (turn.key, hedging.hedge_key(turn.key)):
            self._take_off(key)
        target = self.desk.targets[name]
        estimates.record_speed(target, now, self.machines[name].speed)
        if not served:
            tally.failed += 1
            return
        estimates.record_run(self.desk, turn, now - turn.granted_at)
        target_health.record_ending(target, now, models.Ending.ANSWERED)
        if now <= turn.soft_deadline:
            tally.in_aim += 1
            tally.worth += kind.worth
        else:
            tally.late += 1
            tally.worth += 0.1 * kind.worth

    def _take_off(self, key: models.RequestKey) -> None:
        turn = self.desk.granted.get(key)
        if turn is not None:
            self.machines[turn.target or ""].left.pop(key, None)
            scheduling.release(self.desk, turn)

    def arrive(self, now: float, kind: Kind) -> None:
        """Have a request of a kind wait at the desk."""
        self.number += 1
        key = ("entry", self.number)
        self.kind_of[key] = kind
        tally = self.tallies[kind.name]
        tally.asked += 1
        tally.owed += kind.worth
        retry_budget.record_request(self.desk.retry_window, self.bounds, now)
        mu = math.log(kind.work) - WORK_SIGMA**2 / 2
        self.works[key] = self.rng.lognormvariate(mu, WORK_SIGMA)
        work = self.desk.work_estimates.setdefault(kind.name, 0.4 * kind.aim)
        self.desk.waiting[key] = models.Request(
            key=key,
            route=kind.name,
            priority=kind.priority,
            idempotent=True,
            work=work,
            arrived_at=now,
            soft_deadline=now + kind.aim,
            deadline=now + kind.deadline,
            tried=frozenset(),
            failure_domain="a",
        )

    def _probe(self, now: float) -> None:
        self.reported = True
        for name, target in self.desk.targets.items():
            machine = self.machines[name]
            hedging.update_progress(self.desk, target, now)
            target_health.record_report(
                target, now, len(machine.left), machine.speed
            )

    def _decide(self, now: float) -> None:
        decisions = scheduling.decide(self.desk, now, self.rng)
        if self.reported:
            self.reported = False
            turns = list(self.desk.granted.values())
            decisions.extend(
                hedging.hedge(
                    self.desk, turns, now, lambda: self._may_repeat(now)
                )
            )
        for decision in decisions:
            key = _first_key(decision.request.key)
            if isinstance(decision, scheduling.Refuse):
                self.tallies[self.kind_of[key].name].refused += 1
                continue
            left = self.machines[decision.target].left
            left[decision.request.key] = self.works[key]

    def _may_repeat(self, now: float) -> bool:
        slack = retry_budget.owner_slack(self.bounds)
        if not retry_budget.may_retry(
            self.desk.retry_window, self.bounds, now, slack
        ):
            return False
        retry_budget.record_retry(self.desk.retry_window, now)
        self.repeats += 1
        return True


def _first_key(key: models.RequestKey) -> models.RequestKey:
    entry, number = key
    return entry, abs(number)


LOOKUPS = Kind("lookups", 40.0, 0.12, 0.3, 1.0)
FEEDS = (
    Kind("digests", 13.0, 0.3, 0.8, 1.2),
    Kind("bulletins", 7.5, 0.48, 1.2, 2.0),
)
SCENES = {
    "lookups": Scene(8, 2, (LOOKUPS,)),
    "feeds": Scene(12, 2, FEEDS),
    "grades": Scene(9, 3, (Kind("grades", 46.0, 0.16, 0.4, 1.5),)),
}


def measure(scene: Scene, seeds: range) -> dict[str, Tally]:
    """Return the tallies of some runs together."""
    total: dict[str, Tally] = {}
    for seed in seeds:
        for name, tally in World(scene, seed).run().items():
            kept = total.setdefault(name, Tally())
            for field in dataclasses.fields(Tally):
                value = getattr(kept, field.name) + getattr(tally, field.name)
                setattr(kept, field.name, value)
    return total


def main() -> None:
    """Print what becomes of the requests of each scene."""
    for name, scene in SCENES.items():
        for kind, tally in measure(scene, range(3)).items():
            print(
                f"{name:8} {kind:10} asked {tally.asked:5} "
                f"in aim {tally.in_aim / tally.asked:.3f} "
                f"late {tally.late / tally.asked:.3f} "
                f"refused {tally.refused / tally.asked:.3f} "
                f"failed {tally.failed / tally.asked:.3f} "
                f"credit {tally.credit:.3f} served {tally.served:.3f}"
            )


if __name__ == "__main__":
    main()
