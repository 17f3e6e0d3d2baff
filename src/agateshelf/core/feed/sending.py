"""Creates requests for what other entries know of the store, and sends them."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.feed import messages
from agateshelf.core.peers import models as peer_models
from agateshelf.core.routes import matching


def routes_version(state: core_state.State) -> int:
    """Return the version of the routes in force; 0 if there are none."""
    return matching.stamp(state.routes.table)[0]


def routes_at(state: core_state.State) -> int:
    """Return the position at which they were written; 0 if it isn't known."""
    return matching.stamp(state.routes.table)[1]


def create_request(
    state: core_state.State, token: int = 0, *, whole_routes: bool = False
) -> messages.FeedRequest:
    """Return a request for what this entry doesn't have yet.

    Args:
        state: State of the entry.
        token: Token of a request for proof; 0 if none is wanted.
        whole_routes: Whether newer routes are needed as a whole.
    """
    return messages.FeedRequest(
        routes_version(state),
        state.directory.revision,
        state.evacuation.current.position,
        token,
        routes_at(state),
        takes_changes=True,
        whole_routes=whole_routes or state.routes.table is None,
    )


def send(
    entries: list[str], message: peer_models.PeerMessage
) -> list[effects.Effect]:
    """Return the effect that sends a message; none without recipients."""
    if not entries:
        return []
    return [effects.SendToPeers(tuple(entries), message)]
