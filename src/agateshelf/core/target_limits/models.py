"""State and messages of the limits that targets name."""

import dataclasses
import enum

import msgspec


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a target said of its limit, as entries tell each other.

    Attributes:
        target: Identifier of the target.
        rate: Requests a second that it takes from all entries together; None if
            it named no limit.
        age: Seconds since it said so.
    """

    target: str
    rate: float | None
    age: float = 0.0


@dataclasses.dataclass(slots=True)
class Record:
    """What a target last said of its limit.

    Attributes:
        rate: Requests a second from all entries together; None if it no longer
            names a limit.
        heard_at: When it said so, in seconds.
        born: Start of the process that said so in Unix milliseconds, if known.
        told: Owners that were told of this rate.
    """

    rate: float | None
    heard_at: float
    born: int | None
    told: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Pace:
    """Token bucket of the requests that may be sent to a target.

    Attributes:
        rate: Tokens a second.
        updated_at: Time up to which tokens were added, in seconds.
        tokens: Requests that may be sent now.
    """

    rate: float
    updated_at: float
    tokens: float = 0.0


class Role(enum.Enum):
    """What an entry is to a service while it dispatches its requests."""

    OWNER = "owner"
    SUCCESSOR = "successor"
    OTHER = "other"


@dataclasses.dataclass(slots=True)
class TargetLimitsState:
    """The limits that this entry knows.

    Attributes:
        records: What targets said, by target; only of targets that named a
            limit at some time.
        own_paces: Paces of this entry's sends that no owner counted, by target.
        logged_at: When a limit was last logged, by target.
    """

    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    own_paces: dict[str, Pace] = dataclasses.field(default_factory=dict)
    logged_at: dict[str, float] = dataclasses.field(default_factory=dict)
