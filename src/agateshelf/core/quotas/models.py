"""State and timers of quotas."""

import collections
import dataclasses
import math

from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import models as notice_models


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReplyDue:
    """The counter should have answered by now (timer).

    Attributes:
        number: Number of the question.
        timer_generation: Number of the entry asked, counted for the question.
    """

    number: int
    timer_generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTickDue:
    """Silent replicas are to be looked for, or counts to be sent (timer)."""


QuotaTimer = QuotaReplyDue | QuotaTickDue


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettled:
    """It is decided whether a call is within its quota (internal).

    Attributes:
        call: Number of the call.
        granted: Whether it is.
        retry_after: Seconds after which it may come back if it isn't.
    """

    call: int
    granted: bool
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A counter's decision.

    Attributes:
        granted: Whether the request is within the quota.
        retry_after: Seconds until there is a token again.
    """

    granted: bool
    retry_after: float = 0.0


@dataclasses.dataclass(slots=True)
class Question:
    """A question to a counter that has no answer yet.

    Attributes:
        number: Its number.
        call: Number of the call.
        workspace: The call's workspace.
        counter: The entry that was asked last.
        tried: Entries that were asked.
        timer_generation: Number of the entry asked.
    """

    number: int
    call: int
    workspace: route_models.Workspace
    counter: str = ""
    tried: set[str] = dataclasses.field(default_factory=set)
    timer_generation: int = 0


@dataclasses.dataclass(slots=True)
class Silence:
    """An entry that is not asked for a while.

    Attributes:
        until: Time until which it is skipped, in seconds.
        seconds: For how long it is skipped; 0 if it did answer.
    """

    until: float
    seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Tally:
    """What this process granted to a workspace.

    Attributes:
        total: Cumulative number.
        sent: The number that replicas were last sent.
        marks: The number at the latest beats, the oldest first.
    """

    total: int
    sent: int
    marks: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class BucketAllowance:
    """What a workspace's bucket grants.

    Attributes:
        rate: Tokens a second.
        burst: Largest number of tokens.
        excess: Largest number of tokens beyond the burst, which a full bucket
            has no room for.
    """

    rate: float
    burst: float
    excess: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket of a workspace at a replica.

    Attributes:
        allowance: What it grants.
        updated_at: Time up to which tokens were added, in seconds.
        tokens: Requests within the quota that may be sent now; negative while
            it is in debt.
        excess: Requests beyond the quota that may be sent now.
        next_return_at: Time at which the next refused caller may come back,
            after those refused before it.
    """

    allowance: BucketAllowance
    updated_at: float
    tokens: float = 0.0
    excess: float = 0.0
    next_return_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Shard:
    """What this entry knows of a shard's grants.

    Attributes:
        in_contact: Whether it is a replica and hears another one.
        yields: Whether it leaves the shard to a preferred replica that others
            hear and it doesn't.
        is_side: Whether it counts for a smaller side of a partition.
        merges_until: Time until which it counts within the share of a side
            after a partition, in seconds.
        known_since: Time since which it knows of all grants, in seconds.
        buckets: Token buckets of the workspaces; one that is missing was not
            used since `known_since`, or is full.
    """

    in_contact: bool = False
    yields: bool = False
    is_side: bool = False
    merges_until: float = -math.inf
    known_since: float = math.inf
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Replica:
    """What another entry sent of its grants.

    Attributes:
        process: Number of its process.
        heard_at: When it last sent counts, in seconds.
        returned_at: When it was last heard again after a partition, in seconds.
        granted: Cumulative number by workspace.
        hears: Other replicas that it heard lately.
    """

    process: int
    heard_at: float
    returned_at: float = -math.inf
    granted: dict[str, int] = dataclasses.field(default_factory=dict)
    hears: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Poll:
    """Pings to the witnesses, to see whether most are reached.

    Attributes:
        number: Its number; 0 if none was sent.
        sent_at: When it was sent, in seconds.
        answered: Entries that answered.
        polled_by: Entries that these were polled by, by entry.
        is_judged: Whether the answers were judged.
    """

    number: int = 0
    sent_at: float = -math.inf
    answered: set[str] = dataclasses.field(default_factory=set)
    polled_by: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    is_judged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reach:
    """What the latest poll that was judged says.

    Attributes:
        until: Time until which it is valid, in seconds.
        reached: Number of witnesses that are reached.
        witnesses: Number of all witnesses.
        is_told: Whether these said who else polls them.
        others: Entries that poll witnesses which are reached.
    """

    until: float = -math.inf
    reached: int = 0
    witnesses: int = 0
    is_told: bool = False
    others: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Remembered:
    """A decided request, kept to recognise repeated messages.

    Attributes:
        at: When it was decided, in seconds.
        name: Workspace that it was granted for, or counter that granted it.
    """

    at: float
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """A grant for a call that may wait for a target.

    Attributes:
        at: When it was granted, in seconds.
        call: Number of the call.
        number: Number of the question.
        counter: Entry that granted it.
        workspace: Name of the workspace.
    """

    at: float
    call: int
    number: int
    counter: str
    workspace: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewerQuota:
    """A quota of which another entry told, with a newer route table.

    Attributes:
        version: Version of that table.
        workspace: The workspace with that quota, without keys.
    """

    version: int
    workspace: route_models.Workspace


@dataclasses.dataclass(slots=True)
class Rankings:
    """Cached rankings of the entries for each shard.

    Attributes:
        live: The live entries that they were computed for.
        lost: The entries lost lately that they were computed for.
        format_changes: `MembershipState.format_changes` at that time.
        counting: The live entries that count quotas, as far as is known.
        counters: Live entries in order of preference as counter, by shard.
        replicas: Entries that know a shard's counts, by shard.
        witnesses: Entries that are asked while a replica is silent.
    """

    live: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    format_changes: int = 0
    counting: tuple[str, ...] = ()
    counters: dict[int, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    replicas: dict[int, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    witnesses: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class QuotasState:
    """State of quotas, as an entry that asks and as a counter.

    Attributes:
        process: Number of this process.
        started_at: When it started, in seconds.
        table: The route table that `limited` was made from.
        limited: Workspaces that have a rate, by name.
        newer: Quotas of tables that this entry has yet to read, by workspace.
        first_rates_at: When the latest table with rates after one without was
            adopted, in seconds.
        is_ticking: Whether the timer of the counts runs.
        ticks: Number of times that it was due.
        rankings: Rankings of the entries for each shard.
        last_number: Number of the latest question.
        questions: Questions without an answer, by number.
        settled: Counters of the questions settled lately, by number.
        counted: Grants for calls of the last moments, in order of time.
        silences: Entries that are not asked for a while.
        lost_heard_at: When a lost entry was last noted to be heard again.
        fallback: Paces of the requests that this entry grants by itself.
        lone: Paces of what it grants as a replica that hears no other one.
        low_shares: Times until which a share of the quotas holds, and that
            share; the latest and largest last.
        low_side_shares: The same for shares that follow from polls.
        shards: What it knows of each shard.
        tallies: What it granted lately, by workspace.
        highest_total: Number that dropped tallies have reached; new ones start
            there, so that cumulative numbers never go back.
        replicas: What other entries sent of their grants.
        expected_since: Since when each replica of its shards is one.
        poll: The latest poll.
        reach: What the latest poll that was judged says.
        polled_at: When other entries last polled this one, by entry.
        majority_until: Time until which it reaches most witnesses, in seconds.
        nearly_all_until: Time until which it reaches nearly all, in seconds.
        granted: Requests granted to other entries lately, by entry and number.
        logged_at: When a log line was last written, by event and name.
    """

    process: int = 0
    started_at: float = 0.0
    table: route_models.RouteTable | None = None
    limited: dict[str, route_models.Workspace] = dataclasses.field(
        default_factory=dict
    )
    newer: dict[str, NewerQuota] = dataclasses.field(default_factory=dict)
    first_rates_at: float = -math.inf
    is_ticking: bool = False
    ticks: int = 0
    rankings: Rankings = dataclasses.field(default_factory=Rankings)
    last_number: int = 0
    questions: dict[int, Question] = dataclasses.field(default_factory=dict)
    settled: dict[int, Remembered] = dataclasses.field(default_factory=dict)
    counted: collections.deque[Counted] = dataclasses.field(
        default_factory=collections.deque
    )
    silences: dict[str, Silence] = dataclasses.field(default_factory=dict)
    lost_heard_at: float = -math.inf
    fallback: dict[str, notice_models.Pace] = dataclasses.field(
        default_factory=dict
    )
    lone: dict[str, notice_models.Pace] = dataclasses.field(
        default_factory=dict
    )
    low_shares: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    low_side_shares: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    shards: dict[int, Shard] = dataclasses.field(default_factory=dict)
    tallies: dict[str, Tally] = dataclasses.field(default_factory=dict)
    highest_total: int = 0
    replicas: dict[str, Replica] = dataclasses.field(default_factory=dict)
    expected_since: dict[str, float] = dataclasses.field(default_factory=dict)
    poll: Poll = dataclasses.field(default_factory=Poll)
    reach: Reach = Reach()
    polled_at: dict[str, float] = dataclasses.field(default_factory=dict)
    majority_until: float = -math.inf
    nearly_all_until: float = -math.inf
    granted: dict[tuple[str, int], Remembered] = dataclasses.field(
        default_factory=dict
    )
    logged_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
