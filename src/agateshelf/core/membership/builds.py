"""Which builds the other entries are of, during a rolling upgrade.

An entry of an earlier build drops what it doesn't know without a word, and so
does one that is lost. An entry's own record in a ping or its answer tells one
from the other: that of an earlier build has no format. Only that is believed,
as an earlier build also strips the records of others that it passes on. An
entry of which nothing is known is taken for one of this build.
"""

from agateshelf import const as product_const
from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.membership import const
from agateshelf.core.membership import messages
from agateshelf.core.membership import models
from agateshelf.core.membership import view


def note(state: core_state.State, sender: models.Member) -> None:
    """Note what an entry says of itself in a ping or its answer."""
    if sender.entry != state.identity.entry:
        _note(state, sender.entry, sender.incarnation, sender.format)


def note_quotas(state: core_state.State, entry: str) -> None:
    """Note that an entry sent a message of quotas, whatever its record says."""
    member = state.membership.members.get(entry)
    if member is not None:
        _note(state, entry, member.incarnation, const.FIRST_FORMAT)


def _note(
    state: core_state.State, entry: str, incarnation: int, spoken: int
) -> None:
    membership = state.membership
    known = membership.formats.get(entry)
    if known is not None and known.incarnation == incarnation:
        if known.format >= spoken:
            return
    elif known is not None and known.incarnation > incarnation:
        return
    membership.formats[entry] = models.KnownFormat(incarnation, spoken)
    is_earlier = spoken < const.FIRST_FORMAT
    if is_earlier == (entry in membership.earlier):
        return
    (membership.earlier.add if is_earlier else membership.earlier.discard)(
        entry
    )
    membership.format_changes += 1


def forget(state: core_state.State, entry: str) -> None:
    """Forget the format of an entry that has been gone for long."""
    state.membership.formats.pop(entry, None)
    if entry in state.membership.earlier:
        state.membership.earlier.discard(entry)
        state.membership.format_changes += 1


def is_earlier(state: core_state.State, entry: str) -> bool:
    """Return whether an entry is known to be of a build without a format.

    Such a build counts no quotas and proves no routes.
    """
    return entry in state.membership.earlier and _is_known(state, entry)


def _is_known(state: core_state.State, entry: str) -> bool:
    """Return whether the format of an entry's present process is known."""
    known = state.membership.formats.get(entry)
    member = state.membership.members.get(entry)
    if known is None or member is None:
        return False
    return known.incarnation == member.incarnation


def survey(state: core_state.State) -> list[effects.Effect]:
    """Ask some of the entries for their build whose records say none.

    While all entries are of this build, there are none of these.
    """
    membership = state.membership
    if membership.own_record is None:
        return []
    members = membership.members
    unknown = [
        entry
        for entry in view.live_entries(state)
        if entry != state.identity.entry
        and members[entry].format < const.FIRST_FORMAT
        and not _is_known(state, entry)
    ]
    if not unknown:
        return []
    count = min(const.ASKED_FOR_BUILD, len(unknown))
    asked = tuple(state.rng.sample(unknown, count))
    # No ping of failure detection or of a majority has this number.
    ping = messages.Ping(0, state.version, membership.own_record)
    return [effects.SendToPeers(asked, ping)]


def merge_missing(state: core_state.State, record: models.Member) -> None:
    """Complete a record that came through an entry of an earlier build."""
    known = state.membership.members.get(record.entry)
    if known is None or known.format >= record.format:
        return
    if (known.incarnation, known.status) == (record.incarnation, record.status):
        state.membership.members[record.entry] = record


def running(state: core_state.State) -> dict[tuple[str, int], int]:
    """Return how many live entries run each build, by its name and format."""
    found: dict[tuple[str, int], int] = {}
    for entry in view.live_entries(state):
        member = state.membership.members.get(entry)
        key = ("", 0) if member is None else (member.build, member.format)
        if entry == state.identity.entry:
            key = (product_const.BUILD, const.MESSAGE_FORMAT)
        found[key] = found.get(key, 0) + 1
    return found
