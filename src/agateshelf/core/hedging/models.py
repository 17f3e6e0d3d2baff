"""After how long a call is hedged."""

import dataclasses

from agateshelf.core.hedging import const


@dataclasses.dataclass(slots=True)
class HedgingState:
    """Delays by service name, in seconds."""

    delays: dict[str, float] = dataclasses.field(default_factory=dict)


def delay_of(hedging: HedgingState, service: str) -> float:
    """Return the delay of a service."""
    return hedging.delays.get(service, const.FIRST_DELAY_SECONDS)


def learn(hedging: HedgingState, service: str, seconds: float) -> None:
    """Move the delay a step toward the quantile of the attempts' times.

    An attempt that is cancelled for another's answer took at least its age.
    """
    delay = delay_of(hedging, service)
    if seconds > delay:
        delay *= 1 + const.DELAY_STEP * const.DELAY_QUANTILE
    else:
        delay *= 1 - const.DELAY_STEP * (1 - const.DELAY_QUANTILE)
    hedging.delays[service] = max(delay, const.LEAST_DELAY_SECONDS)
