"""Evacuated failure domains, as the store and peers tell them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An evacuation that was requested or taken back.

    Attributes:
        failure_domain: The failure domain.
        position: Position in the store's history at which it changed.
        evacuated: Whether it is to be evacuated from then on.
    """

    failure_domain: str
    position: int
    evacuated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuated failure domains.

    Attributes:
        position: Position in the store's history as of which they are known;
            the higher one replaces the lower.
        failure_domains: The failure domains.
    """

    position: int = 0
    failure_domains: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class EvacuationState:
    """What this entry knows of evacuations.

    Attributes:
        current: What the store is known to say.
        held: Failure domains that a restored store no longer names, with the
            time until which they stay evacuated.
        since: Failure domains that get nothing, with the time since which this
            entry knows that.
        active: The same failure domains, replaced by each change.
        told_at: When owners were last told of them, whose grants disregarded
            them.
    """

    current: Evacuations = dataclasses.field(default_factory=Evacuations)
    held: dict[str, float] = dataclasses.field(default_factory=dict)
    since: dict[str, float] = dataclasses.field(default_factory=dict)
    active: frozenset[str] = frozenset()
    told_at: dict[str, float] = dataclasses.field(default_factory=dict)
