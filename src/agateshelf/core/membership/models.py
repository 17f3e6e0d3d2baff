"""What an entry believes of the other entries."""

import dataclasses
import enum

from agateshelf.core.membership import const


class Status(enum.IntEnum):
    """State of an entry; at the same incarnation the higher one counts."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """An entry that may be spoken to, from the settings."""

    entry: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One entry as it is told of.

    Attributes:
        entry: Identifier of the entry.
        incarnation: Number that only the entry itself raises.
        status: State at that incarnation.
        address: Where other entries reach it.
        failure_domain: Where it runs.
        capacity: How much it bears; 1 is a usual core.
    """

    entry: str
    incarnation: int
    status: Status
    address: str
    failure_domain: str
    capacity: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDue:
    """Another round of heartbeats is due (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDue:
    """A heartbeat should have been answered by now (timer).

    Attributes:
        number: Number of the heartbeat.
        direct: Whether the detour over other entries is still to be tried.
    """

    number: int
    direct: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionDue:
    """An entry under suspicion had time to speak up (timer)."""

    entry: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RosterDue:
    """All records are to be compared with another entry's (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetDue:
    """An entry that is gone need not be remembered any more (timer)."""

    entry: str
    incarnation: int


MembershipTimer = RoundDue | AnswerDue | SuspicionDue | ForgetDue | RosterDue


@dataclasses.dataclass(slots=True)
class MembershipState:
    """Everything known of entries.

    Attributes:
        active: Whether the entry has started; before, nothing is sent.
        has_peers: Whether it speaks to other entries at all.
        me: This entry's own record, raised to refute wrong beliefs.
        members: The other entries by identifier, gone ones included.
        live: Live entries in order, with oneself; None to compute anew.
        domains: Failure domain of each live entry.
        neighbours: Entries that get heartbeats; None to compute anew.
        probe_order: Neighbours still to be probed in this turn.
        updates: Times that each record is still to be passed on, by entry.
        waiting: Entry that each unanswered heartbeat went to, by number.
        detours: Who asked for a heartbeat, by its number.
        missed: Heartbeats in a row that each entry left unanswered.
        roster_after: Entry up to which the present comparison of all records
            has come; None if there is none.
        roster_news: Whether it brought any news.
        roster_pause: Seconds until the next one.
        contacts: Entries of the settings that may not be known yet.
        last_number: Number of the latest heartbeat.
        rounds: Number of rounds so far.
    """

    active: bool = False
    has_peers: bool = False
    me: Member | None = None
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    live: tuple[str, ...] | None = None
    domains: dict[str, str] = dataclasses.field(default_factory=dict)
    neighbours: tuple[str, ...] | None = None
    probe_order: list[str] = dataclasses.field(default_factory=list)
    updates: dict[str, int] = dataclasses.field(default_factory=dict)
    waiting: dict[int, str] = dataclasses.field(default_factory=dict)
    detours: dict[int, "Detour"] = dataclasses.field(default_factory=dict)
    missed: dict[str, int] = dataclasses.field(default_factory=dict)
    roster_after: str | None = None
    roster_news: bool = False
    roster_pause: float = const.ROSTER_FIRST_SECONDS
    contacts: dict[str, str] = dataclasses.field(default_factory=dict)
    last_number: int = 0
    rounds: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Detour:
    """A heartbeat sent on another entry's behalf.

    Attributes:
        peer: The entry that asked.
        number: The number it asked under.
    """

    peer: str
    number: int
