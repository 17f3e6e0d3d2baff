"""Checks whether a team may make a change of the configuration.

The complete configurations before and after the change are compared, so that
the result does not depend on the operations of the patch.
"""

from agateshelf import exceptions
from agateshelf.documents import configuration


class ForbiddenError(exceptions.AgateshelfError):
    """A change affects something that the team does not own."""


def check_change(
    team: str,
    before: configuration.ConfigurationDocument,
    after: configuration.ConfigurationDocument,
) -> None:
    """Check that a change affects only services of the team.

    Raises:
        ForbiddenError: The change affects another team's services, claims a
            prefix below one of theirs, changes teams, or exceeds the team's
            limit on the probe rate.
    """
    if before.teams != after.teams:
        raise ForbiddenError("/teams: only administrators may change teams")
    for name in sorted(before.services.keys() | after.services.keys()):
        _check_service(team, name, before, after)
    _check_probe_rate(team, after)


def _check_service(
    team: str,
    name: str,
    before: configuration.ConfigurationDocument,
    after: configuration.ConfigurationDocument,
) -> None:
    old = before.services.get(name)
    new = after.services.get(name)
    if old == new:
        return
    path = f"/services/{name}"
    if old is not None and old.team != team:
        raise ForbiddenError(f"{path}: belongs to team {old.team}")
    if new is None:
        return
    if new.team != team:
        raise ForbiddenError(f"{path}/team: must remain {team}")
    _check_prefix(path, new, after)


def _check_prefix(
    path: str,
    new: configuration.ServiceDocument,
    after: configuration.ConfigurationDocument,
) -> None:
    for other in after.services.values():
        if other.team == new.team:
            continue
        if new.prefix.startswith(other.prefix):
            raise ForbiddenError(
                f"{path}/prefix: {other.prefix} belongs to team {other.team}"
            )


def _check_probe_rate(
    team: str, after: configuration.ConfigurationDocument
) -> None:
    owner = after.teams.get(team)
    if owner is None or owner.probe_rate is None:
        return
    rate = sum(
        service.probe_rate
        for service in after.services.values()
        if service.team == team
    )
    if rate > owner.probe_rate:
        raise ForbiddenError(
            f"/services: the probe rates of team {team} add up to {rate:g} "
            f"per second, which exceeds its limit of {owner.probe_rate:g}"
        )
