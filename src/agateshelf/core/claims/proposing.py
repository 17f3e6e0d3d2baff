"""Sending of proposed records to the owner of their shard."""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.claims import messages
from agateshelf.core.claims import models
from agateshelf.core.claims import shards


def propose(
    state: core_state.State,
    now: float,
    record: models.Record,
    delivery: models.Delivery,
    owner: str,
) -> list[effects.Effect]:
    """Propose a record to an owner, which may be this entry itself."""
    delivery.owner = owner
    delivery.sent_at = now
    delivery.attempts += 1
    if owner == state.identity.entry:
        delivery.is_local = True
        return shards.submit(state, now, record, peer=None)
    message = messages.RecordsProposed((record,))
    return [effects.SendToPeers((owner,), message)]
