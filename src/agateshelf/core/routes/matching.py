"""Matches requests to routes, and adopts new route tables."""

import dataclasses

from agateshelf.core import positions
from agateshelf.core.routes import changes
from agateshelf.core.routes import models


def adopt(routes: models.RoutesState, table: models.RouteTable) -> bool:
    """Replace the route table if the given one is newer; return whether so."""
    known = routes.table
    if known is not None:
        if not _is_newer(table, known):
            return False
        table = changes.share_items(table, known)
        routes.earlier.append(known)
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


def _is_newer(table: models.RouteTable, known: models.RouteTable) -> bool:
    """Return whether a table replaces a known one.

    Versions never go back. Of tables with the same version the one written last
    is in force, unless a restored store holds other routes under it, which may
    be those from before the known ones were written.
    """
    if table.version != known.version or table.revision <= known.revision:
        return table.version > known.version
    era = positions.era_of(known.revision)
    if not known.revision or positions.era_of(table.revision) == era:
        return True
    return dataclasses.replace(table, revision=known.revision) == known


def stamp(table: models.RouteTable | None) -> tuple[int, int]:
    """Return the version and position of a table, zeros for none."""
    return (0, 0) if table is None else (table.version, table.revision)


def find_earlier(
    routes: models.RoutesState, version: int, revision: int
) -> models.RouteTable | None:
    """Return the table of a version and position that was in force before.

    Return None if it isn't kept, or its position isn't known.
    """
    if not revision:
        return None
    for table in routes.earlier:
        if stamp(table) == (version, revision):
            return table
    return None


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
