"""Tells the owner which entries hold connections to which targets.

Answers the load of a large fleet on few targets each: hardly any two requests
of an entry would meet at the same target within the time for which that target
keeps an idle connection, so that nearly every request would open a new one.
Among targets that serve a request about equally well, the owner therefore
prefers one to which the entry has a connection. Entries name these with their
requests. For entries of earlier versions the owner remembers which targets have
lately answered them.
"""

from agateshelf.core.dispatch import const
from agateshelf.core.dispatch import models


def record_answer(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> None:
    """Note that a target has answered an entry, whose connection it keeps."""
    if request.target is None or request.connected is not None:
        return
    known = dispatcher.connected.setdefault(request.key[0], {})
    known.pop(request.target, None)
    known[request.target] = now
    if len(known) > const.MAX_CONNECTED:
        del known[next(iter(known))]


def connected_targets(
    dispatcher: models.Dispatcher, request: models.Request, now: float
) -> list[models.TargetState]:
    """Return the targets to which the requesting entry has a connection."""
    if request.connected is not None:
        return [
            dispatcher.targets[name]
            for name in request.connected[: const.MAX_CONNECTED]
            if name in dispatcher.targets
        ]
    known = dispatcher.connected.get(request.key[0])
    if not known:
        return []
    oldest = now - const.CONNECTED_SECONDS
    while known and next(iter(known.values())) < oldest:
        del known[next(iter(known))]
    return [
        dispatcher.targets[name] for name in known if name in dispatcher.targets
    ]
