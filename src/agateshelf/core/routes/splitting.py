"""Splits the requests of a route among its services by weight.

Smooth weighted round robin keeps each share within one request of its weight
over any number of requests; independent random draws would deviate by the
square root of that number. Each entry starts at a random phase, so that many
entries with few requests each don't favour the first share.
"""

import random

from agateshelf.core.routes import models


def pick_service(
    routes: models.RoutesState, route: models.Route, rng: random.Random
) -> str:
    """Return the service that gets the next request of a route."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    credit = routes.credits.get(route.name)
    if credit is None or len(credit) != len(shares):
        credit = [rng.random() * total for _ in shares]
        routes.credits[route.name] = credit
    for index, share in enumerate(shares):
        credit[index] += share.weight
    best = max(range(len(shares)), key=credit.__getitem__)
    credit[best] -= total
    return shares[best].service
