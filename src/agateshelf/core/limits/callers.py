"""Which share of a service a caller takes from.

Where a service lists callers, all others take from one share together, named
`default` if the operators set it: a caller gains nothing by changing names.
Where none is listed, each caller is a share of weight 1.
"""

from typing import Final

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models

_DEFAULT_WEIGHT: Final = 1.0


def adopt_configuration(
    limits: models.LimitsState, cfg: configuration_models.Configuration
) -> None:
    """Follow the callers of a new configuration."""
    limits.standings = {
        service.name: _standings_of(service)
        for service in cfg.services.values()
    }


def _standings_of(
    service: configuration_models.Service,
) -> dict[str, models.Standing]:
    standings = {
        share.caller: models.Standing(share.caller, share.weight, share.rate)
        for share in service.callers
    }
    if standings and const.SHARE_OF_OTHERS not in standings:
        others = const.SHARE_OF_OTHERS
        standings[others] = models.Standing(others, _DEFAULT_WEIGHT, None)
    return standings


def standing_of(
    limits: models.LimitsState, service: str, caller: str
) -> models.Standing:
    """Return what a caller's calls to a service take from."""
    standings = limits.standings.get(service)
    if not standings:
        return models.Standing(caller, _DEFAULT_WEIGHT, None)
    known = standings.get(caller)
    return known or standings[const.SHARE_OF_OTHERS]
