"""Sending of proposed records to the owner of their shard."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.claims import appender
from agateshelf.core.claims import messages
from agateshelf.core.claims import models


def propose(
    state: core_state.State,
    now: float,
    record: models.Record,
    progress: models.ProposalProgress,
    owner: str,
) -> list[effects.Effect]:
    """Propose a record to an owner, which may be this entry itself."""
    progress.owner = owner
    progress.sent_at = now
    progress.proposal_count += 1
    if owner == state.identity.entry:
        progress.is_local = True
        return appender.submit(state, now, record, peer=None)
    message = messages.RecordsProposed((record,))
    return [effects.SendToPeers((owner,), message)]
