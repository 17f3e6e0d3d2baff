"""Store requests of a shard's appender: rate limit, backoff and failures."""

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import state as core_state
from agateshelf.core import storage
from agateshelf.core import timers
from agateshelf.core.claims import const
from agateshelf.core.claims import models
from agateshelf.core.claims import owners


def send(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    body: storage.StoreRequest,
) -> effects.SendStoreRequest:
    """Send a request to the store on behalf of a shard."""
    number = core_state.next_store_request(state)
    state.claims.store_requests[number] = models.PendingStoreRequest(
        shard.number, now
    )
    return effects.SendStoreRequest(number, body, const.STORE_TIMEOUT_SECONDS)


def record_failure(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    answer: storage.StoreAnswer,
) -> None:
    """Count a failure and back off, except after a first lost reply.

    A write may have taken effect, so the head is read again at once. The cap of
    the exponent keeps the power finite.
    """
    shard.consecutive_failures += 1
    if shard.consecutive_failures == 1 and isinstance(answer, storage.NoAnswer):
        return
    backoff = min(
        const.STORE_BACKOFF_SECONDS
        * 2.0 ** min(shard.consecutive_failures, 10),
        const.MAX_STORE_BACKOFF_SECONDS,
    )
    shard.retry_at = now + backoff * state.rng.uniform(0.5, 1.0)


def record_success(
    state: core_state.State, now: float, shard: models.Shard
) -> None:
    """Reset the failure count and the backoff."""
    state.claims.store_answered_at = now
    shard.consecutive_failures = 0
    shard.retry_at = 0.0


def is_store_unavailable(shard: models.Shard, now: float) -> bool:
    """Return whether the store counts as unavailable.

    It does during the backoff after several consecutive failures.
    """
    return (
        shard.consecutive_failures >= const.FAILURES_UNTIL_UNAVAILABLE
        and now < shard.retry_at
    )


def take_token(
    state: core_state.State, now: float, shard: models.Shard
) -> bool:
    """Take one token for a write, or schedule the shard for when there is one.

    An entry that doesn't own the shard has a lower rate.
    """
    rate = const.NON_OWNER_WRITES_PER_SECOND
    if owners.current_owner(state, now, shard.number) == state.identity.entry:
        rate = const.SHARD_WRITES_PER_SECOND
    gained = (now - shard.refilled_at) * rate
    shard.tokens = min(const.SHARD_WRITE_BURST, shard.tokens + gained)
    shard.refilled_at = now
    if shard.tokens >= 1.0:
        shard.tokens -= 1.0
        return True
    schedule_wake_up(
        state, shard, now + (1.0 - shard.tokens) / rate + _TIMER_SLACK_SECONDS
    )
    return False


_TIMER_SLACK_SECONDS = 1e-6


def schedule_wake_up(
    state: core_state.State, shard: models.Shard, at: float
) -> None:
    """Schedule the shard's next step, unless an earlier one is scheduled."""
    if shard.wake_up_at is not None and shard.wake_up_at <= at:
        return
    shard.wake_up_at = at
    timers.schedule(state.timers, at, events.ClaimShardDue(shard.number))
