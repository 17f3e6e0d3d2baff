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
    limits.shares = {
        service.name: _shares_of(service) for service in cfg.services.values()
    }


def _shares_of(
    service: configuration_models.Service,
) -> dict[str, models.EffectiveShare]:
    shares = {
        share.caller: models.EffectiveShare(
            share.caller, share.weight, share.rate
        )
        for share in service.callers
    }
    if shares and const.DEFAULT_SHARE not in shares:
        default = const.DEFAULT_SHARE
        shares[default] = models.EffectiveShare(default, _DEFAULT_WEIGHT, None)
    return shares


def share_of(
    limits: models.LimitsState, service: str, caller: str
) -> models.EffectiveShare:
    """Return the share that a caller's calls to a service count against."""
    shares = limits.shares.get(service)
    if not shares:
        return models.EffectiveShare(caller, _DEFAULT_WEIGHT, None)
    own = shares.get(caller)
    return own or shares[const.DEFAULT_SHARE]
