"""Pipelined lookups of the soak's callers, and their invariants."""

from collections import abc
import time

from soak import history as history_lib

# Share of a caller's sends that are several lookups at once, and how many.
LINE_SHARE = 0.15
LINE_LENGTHS = (2, 8)
# Share of these that are sent in two pieces.
SPLIT_SHARE = 0.4

IsFaultActive = abc.Callable[[history_lib.Call], bool]


def note_close(
    behind: abc.Iterable[history_lib.Call], last: history_lib.Call
) -> None:
    """Record that a connection was closed before some requests were answered.

    Args:
        behind: The requests.
        last: The one ahead of them.
    """
    for call in behind:
        call.ended_at = time.time()
        call.unread = last.status is not None


def find_violations(
    history: history_lib.History, is_excused: IsFaultActive
) -> list[str]:
    """Find pipelined requests answered out of order, twice or not at all.

    Requests behind a response that closes the connection count as unread. No
    entry may do that to requests that came in one piece, since it had read them
    all before it could answer the first; a kill or pause of it is an excuse.
    """
    violations = []
    for call in history.calls:
        if not call.line:
            continue
        if call.answered_as not in ("", call.id):
            violations.append(f"{call.id} got the answer of {call.answered_as}")
        if call.surplus:
            violations.append(f"{call.id} was followed by a further answer")
        if call.unread and call.sent_at_once and not is_excused(call):
            violations.append(f"{call.id} was read, but not answered")
    return violations
