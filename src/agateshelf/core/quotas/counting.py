"""The counter's side of quotas: token buckets of workspaces.

Each bucket follows all grants that this entry made or heard of. A workspace
without a bucket gets one as of the time since which the shard is known, nearly
empty: what was granted before is unknown.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core.quotas import announcing
from agateshelf.core.quotas import buckets
from agateshelf.core.quotas import const
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import rates
from agateshelf.core.quotas import returns
from agateshelf.core.quotas import shards
from agateshelf.core.quotas import tallies
from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.target_notices import pacing

Effects = list[effects.Effect]


def decide(
    state: core_state.State,
    now: float,
    workspace: route_models.Workspace,
    *,
    is_last: bool,
) -> tuple[models.Decision | None, Effects]:
    """Decide whether a request of a workspace is within its quota.

    Args:
        state: State of the entry.
        now: Current time of the loop, in seconds.
        workspace: The workspace, with its quota.
        is_last: Whether no further entry is asked.

    Returns:
        The decision, and effects that tell the replicas of it. The decision is
        None if this entry can't tell, as it hears no other replica, or has
        heard one only for a short time, so that another entry may know more.
    """
    workspace = rates.find(state, workspace.name) or workspace
    number = shards.shard_of(workspace.name)
    shard = shards.get_shard(state, now, number)
    if not shard.in_contact:
        return _decide_alone(state, now, number, workspace)
    if shard.yields:
        return None, []
    is_young = now - shard.known_since < const.YOUNG_SECONDS
    if shards.has_first_rates(state, shard.known_since):
        # No replica knows of earlier grants, as there was nothing to count.
        is_young = False
    others = tallies.other_replicas(state, now, number)
    has_others = any(shards.hears(state, now, entry) for entry in others)
    if is_young and has_others and not is_last:
        return None, []
    bucket = bucket_of(state, now, shard, workspace)
    if not buckets.take(bucket, now):
        if now < shard.merges_until and has_others and not is_last:
            # The other side may have tokens.
            return None, []
        return models.Decision(False, returns.reserve(bucket, now)), []
    return models.Decision(True), tallies.add(state, now, workspace)


def _decide_alone(
    state: core_state.State,
    now: float,
    shard: int,
    workspace: route_models.Workspace,
) -> tuple[models.Decision | None, Effects]:
    """Grant a little as a replica that hears no other one.

    The others may count in full on the other side of a partition.
    """
    if state.identity.entry not in shards.replicas(state, now, shard):
        return None, []
    rate = workspace.rate * const.LONE_SHARE + const.LONE_RATE
    rate = min(rate, workspace.rate)
    allowance = notice_models.Allowance(rate, const.LONE_BURST)
    pace = state.quotas.lone.get(workspace.name)
    if pace is None:
        pace = pacing.create_pace(now, allowance)
        state.quotas.lone[workspace.name] = pace
    pacing.set_rate(pace, now, allowance)
    if not pacing.may_send(pace, now):
        return None, []
    pacing.take(pace, now)
    return models.Decision(True), tallies.add(state, now, workspace)


def bucket_of(
    state: core_state.State,
    now: float,
    shard: models.Shard,
    workspace: route_models.Workspace,
) -> models.Bucket:
    """Return a workspace's bucket, with its quota and tokens as of now."""
    share = shards.share_of(state, now, shards.shard_of(workspace.name))
    rate = workspace.rate * share
    burst = max(max(workspace.burst, 1.0) * share, 1.0)
    excess = const.BURST_MARGIN * share
    allowance = models.BucketAllowance(rate, burst, excess)
    bucket = shard.buckets.get(workspace.name)
    if bucket is None:
        window = const.WINDOW_SECONDS * rate + burst
        tokens = const.START_TOKENS
        if shards.has_first_rates(state, shard.known_since):
            tokens = const.FIRST_START_TOKENS
        start = (tokens + const.START_SHARE * window) * share
        created_at = min(shard.known_since, now)
        bucket = buckets.create(created_at, allowance, start)
        shard.buckets[workspace.name] = bucket
    buckets.set_allowance(bucket, now, allowance)
    return bucket


def count_send(
    state: core_state.State, now: float, workspace: route_models.Workspace
) -> Effects:
    """Count a send that nobody asked for, a retry or a hedge."""
    workspace = rates.find(state, workspace.name) or workspace
    shard = shards.get_shard(state, now, shards.shard_of(workspace.name))
    if not shard.in_contact:
        return []
    deduct(bucket_of(state, now, shard, workspace), now, 1)
    return tallies.add(state, now, workspace)


def deduct(bucket: models.Bucket, now: float, amount: int) -> None:
    """Take tokens for requests that were granted elsewhere."""
    allowance = bucket.allowance
    most_debt = max(allowance.burst, const.MAX_DEBT_SECONDS * allowance.rate)
    buckets.deduct(bucket, now, amount, most_debt)


def on_request(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.QuotaRequest,
) -> Effects:
    """Answer another entry's question, or count the send that it reports."""
    key = (peer, message.number)
    if key in state.quotas.granted:
        return [] if message.is_report else _answer(peer, message.number)
    had_rate = rates.find(state, message.workspace) is not None
    workspace = rates.learn(state, message)
    if workspace is not None and not had_rate and message.version:
        told = announcing.announce(state, now, message.version, [workspace])
        return [*told, *_on_question(state, now, peer, message, workspace)]
    return _on_question(state, now, peer, message, workspace)


def _on_question(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.QuotaRequest,
    workspace: route_models.Workspace | None,
) -> Effects:
    key = (peer, message.number)
    if workspace is None:
        _remember(state, now, key, "")
        return [] if message.is_report else _answer(peer, message.number)
    if message.is_report:
        _remember(state, now, key, workspace.name)
        return count_send(state, now, workspace)
    decision, emitted = decide(state, now, workspace, is_last=message.is_last)
    if decision is None:
        declined = messages.QuotaDecided(message.number, False, declined=True)
        return [effects.SendToPeers((peer,), declined)]
    if decision.granted:
        _remember(state, now, key, workspace.name)
        return [*_answer(peer, message.number), *emitted]
    refused = messages.QuotaDecided(message.number, False, decision.retry_after)
    return [effects.SendToPeers((peer,), refused)]


def _answer(peer: str, number: int) -> Effects:
    granted = messages.QuotaDecided(number, True)
    return [effects.SendToPeers((peer,), granted)]


def _remember(
    state: core_state.State, now: float, key: tuple[str, int], workspace: str
) -> None:
    granted = state.quotas.granted
    granted[key] = models.Remembered(now, workspace)
    if len(granted) > const.MAX_REMEMBERED:
        del granted[next(iter(granted))]


def on_returned(
    state: core_state.State, now: float, peer: str, number: int
) -> Effects:
    """Take back a grant that another entry did not use, once."""
    remembered = state.quotas.granted.get((peer, number))
    if remembered is None or not remembered.name:
        return []
    # The request stays known, so that a repeated message is not counted.
    state.quotas.granted[(peer, number)] = models.Remembered(remembered.at, "")
    give_back(state, now, remembered.name)
    return [effects.Count("quota.returned")]


def give_back(state: core_state.State, now: float, workspace: str) -> None:
    """Put the token of an unused grant back."""
    shard = shards.get_shard(state, now, shards.shard_of(workspace))
    bucket = shard.buckets.get(workspace)
    if bucket is None:
        return
    buckets.give_back(bucket, now)
    tallies.remove(state, workspace)


def forget_full(state: core_state.State, now: float) -> None:
    """Drop the buckets that are full, and those of workspaces without a rate.

    A missing bucket of a shard that has been known for long is a full one, so
    memory is bounded by the workspaces that are in use.
    """
    lone = state.quotas.lone
    for name in [n for n, pace in lone.items() if pacing.is_full(pace, now)]:
        del lone[name]
    for shard in state.quotas.shards.values():
        for name, bucket in list(shard.buckets.items()):
            if buckets.is_full(bucket, now) and _is_full_anew(
                bucket, now, shard
            ):
                del shard.buckets[name]


def _is_full_anew(
    bucket: models.Bucket, now: float, shard: models.Shard
) -> bool:
    """Return whether a new bucket would be full as well."""
    allowance = bucket.allowance
    age = now - shard.known_since
    return age * allowance.rate >= allowance.burst + allowance.excess
