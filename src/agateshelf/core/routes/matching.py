"""Matches requests to routes, and adopts new route tables."""

from agateshelf.core.routes import models


def adopt(routes: models.RoutesState, table: models.RouteTable) -> bool:
    """Replace the route table if the given one is newer; return whether so."""
    if routes.table is not None and table.version <= routes.table.version:
        return False
    by_host: dict[str, list[models.Route]] = {}
    for route in table.routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for found in by_host.values():
        found.sort(key=lambda route: len(route.prefix), reverse=True)
    routes.table = table
    routes.by_host = {host: tuple(found) for host, found in by_host.items()}
    names = {route.name for route in table.routes}
    routes.credits = {
        name: credit for name, credit in routes.credits.items() if name in names
    }
    routes.longest_timeouts = {
        name: seconds
        for name, seconds in routes.longest_timeouts.items()
        if name in names
    }
    return True


def find_route(
    routes: models.RoutesState, host: str, path: str
) -> models.Route | None:
    """Return the route whose host matches, with the longest matching prefix.

    The query is not part of the match. Return None if no route matches.
    """
    bare = path.partition("?")[0]
    for route in routes.by_host.get(normalize_host(host), ()):
        if bare.startswith(route.prefix):
            return route
    return None


def normalize_host(host: str) -> str:
    """Return a host in lower case without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
