"""Decisions of an owner on waiting requests, and what they follow from."""

import dataclasses

from agateshelf.core.dispatch import models


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision to send a request to a target.

    Attributes:
        request: The granted request.
        target: Identifier of its target.
    """

    request: models.Request
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a request.

    Attributes:
        request: The refused request.
        reason: Reason for the refusal.
        retry_after: Seconds after which the caller should try again.
        waiting: Number of requests still waiting.
        usable: Number of targets that may currently get requests.
        limited: Number of these that named a limit, if their limits left no
            room for the request.
        paused: Number of targets that want no requests now, if no other target
            has room for the request.
        cold: Number of usable targets that are cold, if most are and these left
            no room for the request.
    """

    request: models.Request
    reason: models.Refusal
    retry_after: float
    waiting: int = 0
    usable: int = 0
    limited: int = 0
    paused: int = 0
    cold: int = 0


Decision = Grant | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request arrived; the others suited no free slot before."""

    request: models.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Freed:
    """A slot of a target became free; the other free slots suited no request.

    Attributes:
        target: The target, if it is still one of the service.
    """

    target: models.TargetState | None


Cause = Arrived | Freed
