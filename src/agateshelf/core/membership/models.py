"""Membership records, timers and state."""

import dataclasses
import enum
import math

from agateshelf.core.membership import const


class Status(enum.IntEnum):
    """Status of an entry; at the same incarnation the higher one wins."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """An entry to contact at the start, from the settings.

    Attributes:
        entry: Identifier of the entry.
        address: `HOST:PORT` at which other entries reach it.
    """

    entry: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The membership record of an entry, as it is gossiped.

    Attributes:
        entry: Identifier of the entry.
        incarnation: Number that only the entry itself raises; it grows with
            each start, and to refute a suspicion.
        status: Status at that incarnation.
        address: `HOST:PORT` at which other entries reach it.
        failure_domain: Failure domain that it runs in.
        capacity: Processing capacity in units of a typical core.
        relay: `HOST:PORT` at which it relays requests of other entries; empty
            if it doesn't.
        build: Name of its build; empty if it is not known.
        format: Format of the messages that it speaks; 0 for an earlier build,
            or if the record came through an entry of an earlier build.
    """

    entry: str
    incarnation: int
    status: Status
    address: str
    failure_domain: str
    capacity: float = 1.0
    relay: str = ""
    build: str = ""
    format: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRoundDue:
    """The next round of probes is due (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class AckDue:
    """A ping should have been answered by now (timer).

    Attributes:
        number: Number of the ping.
        direct: Whether only the direct ping was sent so far, so that indirect
            ones are still to be tried.
    """

    number: int
    direct: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionDue:
    """The time to refute a suspicion is over (timer)."""

    entry: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SyncDue:
    """The next state sync with another entry is due (timer)."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalDue:
    """The retention time of an entry that is gone is over (timer)."""

    entry: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class LiveEntriesDue:
    """Live entries that changed must be announced by now (timer)."""


MembershipTimer = (
    ProbeRoundDue
    | AckDue
    | SuspicionDue
    | RemovalDue
    | SyncDue
    | LiveEntriesDue
)


@dataclasses.dataclass(slots=True)
class MembershipState:
    """Membership as this entry knows it.

    Attributes:
        active: Whether the entry has started; before, nothing is sent.
        has_peers: Whether it exchanges messages with other entries at all.
        own_record: This entry's own record; None without peers.
        members: Records of the other entries by identifier, gone ones included.
        live: Identifiers of the live entries in order, this one included; None
            when they must be computed again.
        unannounced: Whether the live entries changed by a page of a state sync
            whose further pages are still to come.
        failure_domains: Failure domain of each live entry.
        neighbours: Entries that this one probes; None when they must be
            computed again.
        probe_order: Neighbours still to be probed in the current cycle.
        remaining_transmissions: How often each record is still to be gossiped,
            by entry.
        pending_pings: Entry that each unanswered ping went to, by number.
        relayed_pings: Origin of each ping sent on behalf of another entry, by
            its number.
        missed_probes: Consecutive missed probes, by entry.
        sync_cursor: Identifier of the last record received in the state sync
            under way; empty before the first page, None if there is no sync.
        sync_found_changes: Whether any sync since the last timer brought a
            change.
        sync_interval: Interval until the next state sync, in seconds.
        seed_addresses: Addresses of the seeds, by entry.
        reconnect_order: Entries that are gone or unknown and are still to be
            pinged in the current cycle.
        lost_at: When entries went without having left, in seconds, by entry.
        last_gone_at: When an entry was last found to be gone, in seconds.
        last_ping_number: Number of the latest ping.
        probe_rounds: Number of probe rounds so far.
        formats: What other entries said themselves of their messages, by entry.
        earlier: Entries in `formats` below `const.FIRST_FORMAT`.
        format_changes: Number of changes of `earlier`.
    """

    active: bool = False
    has_peers: bool = False
    own_record: Member | None = None
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    live: tuple[str, ...] | None = None
    unannounced: bool = False
    failure_domains: dict[str, str] = dataclasses.field(default_factory=dict)
    neighbours: tuple[str, ...] | None = None
    probe_order: list[str] = dataclasses.field(default_factory=list)
    remaining_transmissions: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    pending_pings: dict[int, str] = dataclasses.field(default_factory=dict)
    relayed_pings: dict[int, "RelayedPing"] = dataclasses.field(
        default_factory=dict
    )
    missed_probes: dict[str, int] = dataclasses.field(default_factory=dict)
    sync_cursor: str | None = None
    sync_found_changes: bool = False
    sync_interval: float = const.INITIAL_SYNC_INTERVAL_SECONDS
    seed_addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    reconnect_order: list[str] = dataclasses.field(default_factory=list)
    lost_at: dict[str, float] = dataclasses.field(default_factory=dict)
    last_gone_at: float = -math.inf
    last_ping_number: int = 0
    probe_rounds: int = 0
    formats: dict[str, "KnownFormat"] = dataclasses.field(default_factory=dict)
    earlier: set[str] = dataclasses.field(default_factory=set)
    format_changes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFormat:
    """The format of an entry's messages, as it said itself.

    Attributes:
        incarnation: Its incarnation at that time; a later one may be of another
            build.
        format: The format.
    """

    incarnation: int
    format: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPing:
    """The origin of a ping that was sent on another entry's behalf.

    Attributes:
        peer: The entry that asked for it.
        number: Number of that entry's own ping.
    """

    peer: str
    number: int
