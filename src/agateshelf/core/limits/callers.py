"""Maps callers to their share of a service.

If a service lists callers, all unlisted ones use one common share, configured
under the name `default`, so that a caller gains nothing by changing its name.
If a service lists none, each caller has a share of its own with weight 1.
"""

from typing import Final

from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.limits import const
from agateshelf.core.limits import models

_DEFAULT_WEIGHT: Final = 1.0


def adopt_configuration(
    limits: models.LimitsState, cfg: configuration_models.Configuration
) -> None:
    """Apply the callers of a new configuration."""
    limits.standings = {
        service.name: _standings_of(service)
        for service in cfg.services.values()
    }


def _standings_of(
    service: configuration_models.Service,
) -> dict[str, models.Standing]:
    shares = {
        share.caller: models.Standing(share.caller, share.weight, share.rate)
        for share in service.callers
    }
    if shares and const.SHARE_OF_OTHERS not in shares:
        default = const.SHARE_OF_OTHERS
        shares[default] = models.Standing(default, _DEFAULT_WEIGHT, None)
    return shares


def standing_of(
    limits: models.LimitsState, service: str, caller: str
) -> models.Standing:
    """Return the share that a caller's calls to a service count against."""
    shares = limits.standings.get(service)
    if not shares:
        return models.Standing(caller, _DEFAULT_WEIGHT, None)
    own = shares.get(caller)
    return own or shares[const.SHARE_OF_OTHERS]
