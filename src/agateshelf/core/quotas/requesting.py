"""The asking side of quotas: has a call counted before it gets a target.

Tolerates counters that crash, freeze or are partitioned away: an entry waits
for an answer only briefly, then asks the next counter, and finally decides by
itself within a small share.
"""

from agateshelf.core import effects
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.forwarding import models as forwarding_models
from agateshelf.core.quotas import const
from agateshelf.core.quotas import counting
from agateshelf.core.quotas import expiry
from agateshelf.core.quotas import messages
from agateshelf.core.quotas import models
from agateshelf.core.quotas import rates
from agateshelf.core.quotas import shards
from agateshelf.core.routes import models as route_models
from agateshelf.core.target_notices import models as notice_models
from agateshelf.core.target_notices import pacing

Effects = list[effects.Effect]


def ask(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> Effects | None:
    """Ask whether a call is within its workspace's quota.

    The answer arrives as a `QuotaSettled` event.

    Returns:
        None if the call's workspace has no quota.
    """
    quotas = state.quotas
    workspace = rates.find(state, call.workspace or "")
    if workspace is None:
        return None
    question = models.Question(_next_number(state), call.number, workspace)
    quotas.questions[question.number] = question
    return _ask_next(state, now, question)


def is_outdated(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> bool:
    """Return whether a call has to be counted again before its first send."""
    if call.attempt_count or rates.find(state, call.workspace or "") is None:
        return False
    return now - call.counted_at > const.GRANT_SECONDS


def report(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> Effects:
    """Have a retry or a hedge counted, which is not asked for."""
    return [] if call.relayed_for else report_send(state, now, call)


def report_send(
    state: core_state.State, now: float, call: forwarding_models.Call
) -> Effects:
    """Have a send counted that nobody has asked for."""
    workspace = rates.find(state, call.workspace or "")
    if workspace is None:
        return []
    shard = shards.shard_of(workspace.name)
    counter = shards.select_counter(state, now, shard, set())
    if counter is None:
        return []
    if counter == state.identity.entry:
        return counting.count_send(state, now, workspace)
    message = messages.QuotaRequest(
        _next_number(state),
        shard,
        workspace.name,
        workspace.rate,
        workspace.burst,
        is_report=True,
        version=rates.version_for(state, workspace.name),
    )
    return [effects.SendToPeers((counter,), message)]


def _next_number(state: core_state.State) -> int:
    """Return a number that no earlier process of this entry used lately."""
    quotas = state.quotas
    if not quotas.last_number:
        quotas.last_number = (quotas.process & 0xFFFFF) << 32
    quotas.last_number += 1
    return quotas.last_number


def _ask_next(
    state: core_state.State, now: float, question: models.Question
) -> Effects:
    """Ask the next counter; decide here if there is no further one.

    A call that has ended meanwhile is forgotten.
    """
    if question.call not in state.forwarding.calls:
        del state.quotas.questions[question.number]
        return []
    workspace = question.workspace
    shard = shards.shard_of(workspace.name)
    while True:
        counter = shards.select_counter(state, now, shard, question.tried)
        if counter is None:
            break
        question.tried.add(counter)
        left = len(const.REPLY_TIMEOUTS_SECONDS) - question.timer_generation
        if counter != state.identity.entry:
            if not left:
                continue
            question.counter = counter
            return _send(state, now, question, is_last=left == 1)
        question.counter = counter
        decision, emitted = counting.decide(
            state, now, workspace, is_last=left <= 1
        )
        if decision is not None:
            return [*emitted, *_settle(state, now, question, decision)]
    question.counter = ""
    decision = _decide_alone(state, now, workspace)
    return [
        effects.Count("quota.fallback"),
        *_settle(state, now, question, decision),
    ]


def _send(
    state: core_state.State,
    now: float,
    question: models.Question,
    *,
    is_last: bool,
) -> Effects:
    timeout = const.REPLY_TIMEOUTS_SECONDS[question.timer_generation]
    question.timer_generation += 1
    due = models.QuotaReplyDue(question.number, question.timer_generation)
    timers.schedule(state.timers, now + timeout, due)
    workspace = question.workspace
    message = messages.QuotaRequest(
        question.number,
        shards.shard_of(workspace.name),
        workspace.name,
        workspace.rate,
        workspace.burst,
        is_last=is_last,
        version=rates.version_for(state, workspace.name),
    )
    return [effects.SendToPeers((question.counter,), message)]


def _decide_alone(
    state: core_state.State, now: float, workspace: route_models.Workspace
) -> models.Decision:
    """Decide within the share of an entry that no counter answers.

    Few entries have a token at first: one at each would exceed small quotas.
    """
    paces = state.quotas.fallback
    entries = shards.fallback_entries(state, now)
    rate = workspace.rate * const.FALLBACK_SHARE / entries
    allowance = notice_models.Allowance(rate, 1.0)
    pace = paces.get(workspace.name)
    if pace is None:
        pace = pacing.create_pace(now, allowance)
        if state.rng.random() < const.FALLBACK_START / entries:
            pace.tokens = 1.0
        paces[workspace.name] = pace
    pacing.set_rate(pace, now, allowance)
    if not pacing.may_send(pace, now):
        return models.Decision(False, const.FALLBACK_RETRY_AFTER_SECONDS)
    pacing.take(pace, now)
    return models.Decision(True)


def on_due(
    state: core_state.State, now: float, event: models.QuotaReplyDue
) -> Effects:
    """Skip a silent counter for a while, and ask the next one (timer)."""
    quotas = state.quotas
    question = quotas.questions.get(event.number)
    if question is None or question.timer_generation != event.timer_generation:
        return []
    counter = question.counter
    silence = quotas.silences.get(counter)
    if silence is None or silence.until <= now:
        last = 0.0 if silence is None else silence.seconds
        seconds = min(
            max(const.SILENCE_SECONDS, 2 * last), const.MAX_SILENCE_SECONDS
        )
        quotas.silences[counter] = models.Silence(now + seconds, seconds)
    emitted = _log(
        state,
        now,
        "quota.counter_silent",
        counter,
        (("counter", counter), ("workspace", question.workspace.name)),
    )
    return [*emitted, *_ask_next(state, now, question)]


def note_heard(state: core_state.State, now: float, peer: str) -> None:
    """Forget the silences of lost entries when one of them is heard again.

    A partition may have ended, and the others answer before they are known to
    be live. Each that doesn't costs a call a timeout, so this is done rarely.
    """
    quotas = state.quotas
    lost = state.membership.lost_at
    if peer not in lost or now - quotas.lost_heard_at < const.SILENCE_SECONDS:
        return
    quotas.lost_heard_at = now
    for entry in lost:
        quotas.silences.pop(entry, None)


def on_decided(
    state: core_state.State,
    now: float,
    peer: str,
    message: messages.QuotaDecided,
) -> Effects:
    """Settle a question, or ask the next counter if this one declined.

    A grant that comes too late was taken from the quota for nothing, and is
    given back; a repeated one was used.
    """
    quotas = state.quotas
    question = quotas.questions.get(message.number)
    if question is None or question.counter != peer:
        settled = quotas.settled.get(message.number)
        is_used = settled is not None and settled.name == peer
        if is_used or not message.granted:
            return []
        returned = messages.QuotaReturned(message.number)
        return [effects.SendToPeers((peer,), returned)]
    quotas.silences.pop(peer, None)
    if message.declined:
        until = now + const.DECLINED_SECONDS
        quotas.silences[peer] = models.Silence(until)
        return _ask_next(state, now, question)
    decision = models.Decision(message.granted, message.retry_after)
    return _settle(state, now, question, decision)


def _settle(
    state: core_state.State,
    now: float,
    question: models.Question,
    decision: models.Decision,
) -> Effects:
    quotas = state.quotas
    del quotas.questions[question.number]
    if question.call not in state.forwarding.calls:
        if not decision.granted:
            return []
        returned = messages.QuotaReturned(question.number)
        return [effects.SendToPeers((question.counter,), returned)]
    quotas.settled[question.number] = models.Remembered(now, question.counter)
    if len(quotas.settled) > const.MAX_REMEMBERED:
        del quotas.settled[next(iter(quotas.settled))]
    settled = models.QuotaSettled(
        question.call,
        decision.granted,
        0.0 if decision.granted else _retry_after(state, decision),
    )
    state.pending_events.append(settled)
    if decision.granted:
        expiry.note_grant(state, now, question)
        return [effects.Count("quota.granted")]
    name = question.workspace.name
    details = (("workspace", name), ("counter", question.counter))
    return [
        effects.Count("quota.refused"),
        *_log(state, now, "quota.exceeded", name, details),
    ]


def _retry_after(state: core_state.State, decision: models.Decision) -> float:
    jitter = 1.0 + const.RETRY_AFTER_JITTER * state.rng.random()
    seconds = decision.retry_after * jitter
    return min(
        max(seconds, const.MIN_RETRY_AFTER_SECONDS),
        const.MAX_RETRY_AFTER_SECONDS,
    )


def _log(
    state: core_state.State,
    now: float,
    event: str,
    name: str,
    details: tuple[tuple[str, str], ...],
) -> Effects:
    """Log an event, once in a while for each name."""
    logged_at = state.quotas.logged_at
    key = (event, name)
    if now - logged_at.get(key, -const.LOG_INTERVAL_SECONDS) < (
        const.LOG_INTERVAL_SECONDS
    ):
        return []
    logged_at.pop(key, None)
    if len(logged_at) >= const.MAX_LOGGED:
        oldest = next(iter(logged_at))
        if now - logged_at[oldest] < const.LOG_INTERVAL_SECONDS:
            return []
        del logged_at[oldest]
    logged_at[key] = now
    return [effects.LogEvent(event, details=details)]
