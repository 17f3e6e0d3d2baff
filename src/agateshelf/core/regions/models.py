"""State of home regions."""

import dataclasses

# Service, and regions in which its targets may serve a request.
Scope = tuple[str, tuple[str, ...]]


@dataclasses.dataclass(slots=True)
class RegionCache:
    """How many targets each pool has in some regions, as far as asked for.

    Attributes:
        regions: Region of each failure domain that it was computed from.
        evacuated: Failure domains that get nothing, left out of `pools`.
        pools: Number of the targets in allowed regions, by pool, without pools
            that have none.
        places: Service and failure domain of each target.
    """

    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    pools: dict[Scope, dict[str, int]] = dataclasses.field(default_factory=dict)
    places: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
