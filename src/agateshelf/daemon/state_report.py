"""Reports what restricts the requests of an entry, for operators.

The report names no key and no caller. Workspaces are named only by the entries
that count them, and only those that used their quota lately, so its size is
bounded.
"""

import msgspec

from agateshelf import const
from agateshelf.core import state as core_state
from agateshelf.core.feed import proof
from agateshelf.core.membership import builds
from agateshelf.core.membership import view
from agateshelf.core.overload import delays
from agateshelf.core.target_notices import records
from agateshelf.core.target_notices import warmups

MAX_WORKSPACES = 1000


class EvacuatedDomain(msgspec.Struct, frozen=True):
    """A failure domain whose targets get nothing.

    Attributes:
        failure_domain: The failure domain.
        seconds: Time since which this entry knows.
    """

    failure_domain: str
    seconds: float


class RestrictedTargets(msgspec.Struct, frozen=True):
    """How many targets are restricted, by what; some by several things.

    Attributes:
        leaving: Targets that are leaving.
        paused: Targets that want no requests for now.
        limited: Targets that name a limit of requests a second.
        cold: Targets that get only the rate of their warm-up.
    """

    leaving: int
    paused: int
    limited: int
    cold: int


class KeyProof(msgspec.Struct, frozen=True):
    """Whether this entry may serve requests with keys.

    Attributes:
        permits: Whether it may.
        seconds: Age of its proof; None if it has none or needs none.
    """

    permits: bool
    seconds: float | None


class CountedWorkspace(msgspec.Struct, frozen=True):
    """A workspace whose requests this entry counts or has counted lately.

    Attributes:
        name: The workspace.
        rate: Requests a second that its quota allows.
        tokens: Requests that it may send now.
    """

    name: str
    rate: float
    tokens: float


class RunningBuild(msgspec.Struct, frozen=True):
    """A build, as this entry knows of it.

    Attributes:
        build: Its name; empty for builds that don't say it, and for entries
            known by an entry of such a build alone.
        format: Format of the messages that it speaks; 0 for these.
        entries: Live entries that run it.
    """

    build: str
    format: int
    entries: int


class RoundTrip(msgspec.Struct, frozen=True):
    """What a round trip to another failure domain costs, as measured.

    Attributes:
        failure_domain: The failure domain.
        ms: Milliseconds that it takes longer than one within this entry's own.
    """

    failure_domain: str
    ms: float


class OwnDelay(msgspec.Struct, frozen=True):
    """How late this entry handles what it receives.

    Attributes:
        ms: Milliseconds; 0 if it isn't late.
        overloaded_seconds: Time since which it is in overload; None if it
            isn't.
    """

    ms: float
    overloaded_seconds: float | None


class LateOwner(msgspec.Struct, frozen=True):
    """An owner that said that it is late.

    Attributes:
        entry: The owner.
        ms: Milliseconds by which it said to be late.
        seconds: Time for which it isn't asked yet.
    """

    entry: str
    ms: float
    seconds: float


class StateReport(msgspec.Struct, frozen=True):
    """What restricts the requests of an entry.

    Attributes:
        entry: Identifier of the entry.
        routes_version: Version of the routes in force; 0 without any.
        entries: Entries believed to be live.
        build: Build of this entry.
        builds: Builds of the live entries, this one included.
        is_reader: Whether it reads the store for its failure domain.
        evacuated: Evacuated failure domains.
        targets: Restricted targets.
        key_proof: Whether it may serve keys; None without workspaces.
        workspaces: Workspaces counted here.
        round_trips: Measured round trips to other failure domains.
        delay: How late this entry is.
        late_owners: Owners that it doesn't ask for now, as they are late.
    """

    entry: str
    routes_version: int
    entries: int
    build: str
    builds: tuple[RunningBuild, ...]
    is_reader: bool
    evacuated: tuple[EvacuatedDomain, ...]
    targets: RestrictedTargets
    key_proof: KeyProof | None
    workspaces: tuple[CountedWorkspace, ...]
    round_trips: tuple[RoundTrip, ...]
    delay: OwnDelay
    late_owners: tuple[LateOwner, ...]


def report_of(state: core_state.State, now: float) -> StateReport:
    """Return the report of an entry.

    Args:
        state: State of the entry.
        now: Current time of the loop, in seconds.
    """
    table = state.routes.table
    return StateReport(
        entry=state.identity.entry,
        routes_version=0 if table is None else table.version,
        entries=len(view.live_entries(state)),
        build=const.BUILD,
        builds=tuple(
            RunningBuild(build, spoken, entries)
            for (build, spoken), entries in sorted(
                builds.running(state).items()
            )
        ),
        is_reader=state.feed.is_reader,
        evacuated=tuple(
            EvacuatedDomain(domain, round(now - since, 3))
            for domain, since in sorted(state.evacuation.since.items())
        ),
        targets=_restricted_targets(state, now),
        key_proof=_key_proof(state, now),
        workspaces=_counted_workspaces(state),
        round_trips=tuple(
            RoundTrip(domain, round(1000 * seconds, 1))
            for domain, seconds in sorted(
                state.overload.round_trips.crossing.items()
            )
        ),
        delay=_own_delay(state, now),
        late_owners=tuple(
            LateOwner(
                entry,
                round(1000 * relief.late, 1),
                round(relief.until - now, 3),
            )
            for entry, relief in sorted(state.overload.reliefs.items())
            if relief.until > now
        ),
    )


def _own_delay(state: core_state.State, now: float) -> OwnDelay:
    since = state.overload.own.since
    return OwnDelay(
        round(1000 * delays.seconds(state, now), 1),
        None if since is None else round(now - since, 3),
    )


def _restricted_targets(
    state: core_state.State, now: float
) -> RestrictedTargets:
    known = state.target_notices.records
    return RestrictedTargets(
        leaving=sum(record.leaving for record in known.values()),
        paused=sum(records.is_paused(state, now, target) for target in known),
        limited=sum(record.rate is not None for record in known.values()),
        cold=sum(
            warmups.active_rate(state, now, target) is not None
            for target in known
        ),
    )


def _key_proof(state: core_state.State, now: float) -> KeyProof | None:
    table = state.routes.table
    if table is None or table.workspaces is None:
        return None
    age = now - state.feed.proven_at
    needs_proof = state.revocation_seconds is not None
    is_proven = needs_proof and age != float("inf")
    return KeyProof(
        proof.permits(state, now), round(age, 3) if is_proven else None
    )


def _counted_workspaces(
    state: core_state.State,
) -> tuple[CountedWorkspace, ...]:
    limited = state.quotas.limited
    counted = [
        CountedWorkspace(name, limited[name].rate, round(bucket.tokens, 1))
        for shard in state.quotas.shards.values()
        for name, bucket in shard.buckets.items()
        if name in limited
    ]
    counted.sort(key=lambda workspace: workspace.tokens)
    return tuple(counted[:MAX_WORKSPACES])
