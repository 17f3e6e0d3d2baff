"""State and messages of what targets say of themselves."""

import dataclasses
import enum
import math

import msgspec

from agateshelf.core.target_notices import const


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """What a target said of itself, as entries tell each other.

    Attributes:
        target: Identifier of the target.
        rate: Requests a second that it takes from all entries together; None if
            it names no limit.
        age: Seconds since it said so of its limit.
        leaving: Whether it said that it is leaving.
        pause: Seconds for which it still wants no requests.
        born: Start of the process that said so in Unix milliseconds, if known.
        cold: Seconds for which it is still cold.
        cold_age: Seconds since it said so in the answer to a probe; None if it
            didn't. Without it, a value of 0 for `cold` says nothing.
    """

    target: str
    rate: float | None = None
    age: float = 0.0
    leaving: bool = False
    pause: float = 0.0
    born: int | None = None
    cold: float = 0.0
    cold_age: float | None = None


@dataclasses.dataclass(slots=True)
class Record:
    """What one process of a target said of itself.

    Attributes:
        born: Start of the process in Unix milliseconds; 0 if unknown.
        rate: Requests a second from all entries together; None if it names no
            limit.
        heard_at: When it last said so of its limit, in seconds.
        leaving: Whether it is leaving; that is never taken back.
        paused_until: Time until which it wants no requests.
        cold_until: Time until which it is cold.
        cold_since: Time as of which that was last prolonged; only a later
            answer to a probe takes it back.
        cold_heard_at: Time of the latest answer to a probe that said whether it
            is cold.
        cold_by_registration: Whether `cold_until` follows from its
            registration, so that a later one can take it back.
        announced_until: `cold_until` as this entry, being the owner, last told
            all others.
        told: Processes of owners that were told of all this, by entry and
            incarnation.
    """

    born: int
    rate: float | None = None
    heard_at: float = -math.inf
    leaving: bool = False
    paused_until: float = -math.inf
    cold_until: float = -math.inf
    cold_since: float = -math.inf
    cold_heard_at: float = -math.inf
    cold_by_registration: bool = False
    announced_until: float = -math.inf
    told: set[tuple[str, int]] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Pace:
    """Token bucket of the requests that may be sent to a target.

    Attributes:
        rate: Tokens a second.
        updated_at: Time up to which tokens were added, in seconds.
        tokens: Requests that may be sent now.
        burst: Largest number of tokens.
        hold: Seconds for which a token may be saved, if the rate is below one a
            second.
    """

    rate: float
    updated_at: float
    tokens: float = 0.0
    burst: float = 1.0
    hold: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Parts of the targets' rates that an entry may use, 0 to 1.

    Attributes:
        named: Part of a named limit.
        cold: Part of a warm-up rate.
        hold: `Pace.hold` of the latter.
    """

    named: float
    cold: float
    hold: float = const.TOKEN_HOLD_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What an entry may send to a target.

    Attributes:
        rate: Requests a second.
        burst: Requests that may be sent at once.
        hold: `Pace.hold`.
        is_cold: Whether that is because the target is cold.
    """

    rate: float
    burst: float
    hold: float = math.inf
    is_cold: bool = False


class Obstacle(enum.Enum):
    """Why a granted request is not sent to its target."""

    LEAVING = "leaving"
    PAUSED = "paused"
    LIMITED = "limited"
    COLD = "cold"
    EVACUATED = "evacuated"
    OUT_OF_REGION = "out-of-region"


class Role(enum.Enum):
    """What an entry is to a service while it dispatches its requests."""

    OWNER = "owner"
    SUCCESSOR = "successor"
    OTHER = "other"


@dataclasses.dataclass(slots=True)
class NoticesState:
    """What this entry knows of what targets said of themselves.

    Attributes:
        records: What targets said, by target; only of targets that said
            anything but that they are well.
        changes: Number of changes of the records, for those who follow them.
        own_paces: Paces of this entry's sends that no owner counted, by target.
        logged_at: When a notice was last logged, by target and kind.
    """

    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    changes: int = 0
    own_paces: dict[str, Pace] = dataclasses.field(default_factory=dict)
    logged_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
