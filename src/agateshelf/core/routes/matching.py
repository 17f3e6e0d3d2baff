"""Finding the route of a request, and adopting new tables."""

from agateshelf.core.routes import models


def adopt(routes: models.RoutesState, table: models.RouteTable) -> bool:
    """Put a newer table in force; return whether it is newer."""
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
    routes.patience = {
        name: seconds
        for name, seconds in routes.patience.items()
        if name in names
    }
    return True


def find(
    routes: models.RoutesState, host: str, path: str
) -> models.Route | None:
    """Return the route with the longest prefix of a path, or None."""
    bare = path.partition("?")[0]
    for route in routes.by_host.get(host_name(host), ()):
        if bare.startswith(route.prefix):
            return route
    return None


def host_name(host: str) -> str:
    """Return a host in lower case and without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        return name.lower()
    return host.lower()
