"""The driver: passes events to the reducer and carries out its effects.

The reducer does no input or output, so that tests and benchmarks can run it
without sockets; this module connects it to them.
"""

from collections import abc
import dataclasses
import importlib
from typing import TYPE_CHECKING
from typing import Any

import curio
import logbook

from agateshelf import exceptions
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import state as core_state
from agateshelf.core import timers
from agateshelf.core.outcomes import const as outcome_const
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import clock
from agateshelf.daemon import event_logging
from agateshelf.daemon import feeds
from agateshelf.daemon import loop_lag
from agateshelf.daemon import messages
from agateshelf.daemon import metrics
from agateshelf.daemon import operations as daemon_operations
from agateshelf.daemon import stores
from agateshelf.daemon.callers import exchanges as caller_exchanges
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import attempts
from agateshelf.daemon.targets import checking
from agateshelf.daemon.targets import client
from agateshelf.daemon.targets import probing

# Imported for types only, since these modules are large and not always needed:
# tracing is off by default, and an entry that follows routes reads no documents
# of services. The library of the transport takes a tenth of the time until an
# entry answers, and an entry that follows routes answers without it.
if TYPE_CHECKING:
    from agateshelf.core.configuration import models as configuration_models
    from agateshelf.daemon import tracing
    from agateshelf.daemon.peers import transport
    from agateshelf.documents import configuration

_log = logbook.Logger("driver")

_RETRY_AFTER_ERROR_SECONDS = 0.5
# More than an entry sends in the tenths of a second before it has a transport.
_MAX_PEER_EFFECTS = 256


def _documents() -> Any:
    """Import the module of the service documents on first use."""
    return importlib.import_module("agateshelf.documents.configuration")


AdoptLimitsCallback = abc.Callable[[route_models.Limits], None]


def _internal_error() -> outcome_models.Refusal:
    """Return the refusal of a call whose handling failed unexpectedly."""
    return outcome_models.Refusal(
        outcome_const.STATUS_BAD_GATEWAY,
        outcome_models.Outcome.UNKNOWN,
        outcome_const.REASON_INTERNAL_ERROR,
        "This entry failed while it handled the request.",
        _RETRY_AFTER_ERROR_SECONDS,
    )


@dataclasses.dataclass(slots=True)
class Driver:
    """Runs one reducer and carries out its effects.

    Attributes:
        state: State of the reducer.
        exchanges: Calls whose callers wait for the final response.
        targets: Client of the targets.
        metrics: Counters and timings.
        store: Client of the platform's store, if it is used.
        feed: Client of the platform's feed of routes and targets; None for an
            entry that serves services.
        prober: Probes targets for their load.
        event_log: Structured log of decisions, if one is kept.
        adopt_limits: Applies limits to callers.
        operations: Operators' requests that await their results.
        peers: Transport to the other entries; None if there are none.
        awaits_peers: Whether the transport will be attached later.
        peer_effects: Effects that are carried out once it is.
        traces: Spans of calls and attempts; None if tracing is off.
        document: The valid document with the highest configuration version
            read, for the administration API.
        ready: Whether readiness checks may succeed; False once a stop has
            begun.
        suspensions: Detects suspensions of the machine.
        lag: Times the event loop, if requests are refused by that.
        may_exit: Set once the core has no call and no claim pending.
        rescheduled: Set when a timer becomes due before `next_tick_at`.
        next_tick_at: Loop time until which the timer task sleeps; None if no
            timer is set.
    """

    state: core_state.State
    exchanges: caller_exchanges.Exchanges
    targets: client.TargetClient
    metrics: metrics.Metrics
    store: stores.StoreClient | None = None
    feed: feeds.FeedClient | None = None
    prober: probing.Prober | None = None
    event_log: event_logging.EventLog | None = None
    adopt_limits: AdoptLimitsCallback | None = None
    operations: daemon_operations.Operations = dataclasses.field(
        default_factory=daemon_operations.Operations
    )
    peers: "transport.Transport | None" = None
    awaits_peers: bool = False
    peer_effects: list[effects.SendToPeers | effects.AddPeer] = (
        dataclasses.field(default_factory=list)
    )
    traces: "tracing.Traces | None" = None
    document: "configuration.ConfigurationDocument | None" = None
    ready: bool = True
    suspensions: clock.Suspensions = dataclasses.field(
        default_factory=clock.Suspensions
    )
    lag: loop_lag.LagSelector | None = None
    may_exit: curio.Event = dataclasses.field(default_factory=curio.Event)
    rescheduled: curio.Event = dataclasses.field(default_factory=curio.Event)
    next_tick_at: float | None = None

    async def adopt(
        self, document: "configuration.ConfigurationDocument"
    ) -> None:
        """Post a valid configuration; the reducer ignores a lower version."""
        if self.document is None or document.version > self.document.version:
            self.document = document
        core_form = _documents().to_core(document)
        await self.post(events.ConfigurationRead(core_form))

    async def post(self, event: events.Event) -> None:
        """Reduce an event and carry out the resulting effects.

        An unexpected error ends the handling of this event alone: the task that
        posts it may be one that all others depend on.
        """
        now = clock.now()
        try:
            await self._note_suspension(now)
            if self.lag is not None and self.lag.unreported:
                delayed = events.LoopDelayed(self.lag.take())
                for effect in reducer.reduce(self.state, now, delayed):
                    await self._perform(effect)
            for effect in reducer.reduce(self.state, now, event):
                await self._perform(effect)
        except Exception:
            _log.exception("Unexpected error on a {}.", type(event).__name__)
            self.metrics.count("events.failed")
            if isinstance(event, events.RequestArrived):
                await self.exchanges.refuse(event.call, _internal_error())
        await self._wake_timers()

    async def _note_suspension(self, now: float) -> None:
        """Age proofs by the time for which the machine was suspended."""
        if self.state.revocation_seconds is None:
            return
        seconds = self.suspensions.take(now)
        if seconds <= 0:
            return
        suspended = events.Suspended(seconds)
        for effect in reducer.reduce(self.state, now, suspended):
            await self._perform(effect)

    async def _wake_timers(self) -> None:
        at = timers.next_at(self.state.timers)
        if at is None:
            return
        if self.next_tick_at is None or at < self.next_tick_at:
            await self.rescheduled.set()

    async def _perform(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                await self._start_attempt(effect)
            case effects.CancelAttempt():
                self.targets.cancel(effect.attempt)
            case effects.AbortUnsentAttempts():
                self.targets.abort_unsent(effect.target)
            case effects.CheckTarget():
                await curio.spawn(
                    checking.check,
                    effect,
                    self.post,
                    self.targets.source,
                    daemon=True,
                )
            case effects.DeliverAnswer():
                await self._deliver_answer(effect)
            case effects.Replay():
                answer = answers.replayed(effect.answer)
                await self.exchanges.deliver(effect.call, answer)
            case effects.Refuse():
                await self.exchanges.refuse(effect.call, effect.refusal)
            case effects.Count():
                self.metrics.count(effect.name, effect.amount)
            case effects.SetGauge():
                self.metrics.gauge(effect.name, effect.value)
            case effects.BecomeUnready():
                self.ready = False
            case effects.Exit():
                await self.may_exit.set()
            case effects.SendStoreRequest() if self.store is not None:
                await self.store.send(effect, self.post)
            case effects.SendToPeers() | effects.AddPeer():
                self._perform_peer_effect(effect)
            case effects.DisconnectPeer():
                if self.peers is not None:
                    self.peers.disconnect_peer(effect.peer)
            case effects.CheckConfiguration():
                await self._validate(effect)
            case effects.LogWarning():
                _log.warning(effect.text)
            case effects.LogEvent():
                self.log_event(effect)
            case _:
                await self._perform_optional(effect)

    def log_event(self, effect: effects.LogEvent) -> None:
        """Log one decision and count it."""
        self.metrics.count(f"notes.{effect.event}")
        if self.event_log is not None:
            self.event_log.write(effect)

    async def _perform_optional(self, effect: effects.Effect) -> None:
        """Carry out effects of feed, probes and operators' requests."""
        match effect:
            case effects.ProbeTarget() if self.prober is not None:
                await self.prober.probe(effect, self.post)
            case effects.CloseProbeConnections() if self.prober is not None:
                await self.prober.close_connections(effect.targets)
            case effects.ReadFeed() if self.feed is not None:
                await self.feed.read(effect, self.post)
            case effects.WatchFeed() if self.feed is not None:
                await self.feed.watch(effect, self.post)
            case effects.StopFeed() if self.feed is not None:
                await self.feed.stop()
            case effects.AdoptLimits() if self.adopt_limits is not None:
                self.adopt_limits(effect.limits)
            case (
                effects.AnswerPatch()
                | effects.AnswerHistory()
                | effects.AnswerSurvey()
            ):
                await self.operations.resolve(effect)

    def _perform_peer_effect(
        self, effect: effects.SendToPeers | effects.AddPeer
    ) -> None:
        if self.awaits_peers and len(self.peer_effects) < _MAX_PEER_EFFECTS:
            self.peer_effects.append(effect)
            return
        if self.peers is None:
            self.metrics.count("peers.unsent")
            return
        match effect:
            case effects.SendToPeers():
                self.peers.send(effect.peers, effect.message)
            case effects.AddPeer():
                self.peers.add_peer(effect.peer, effect.address)

    def attach_peers(self, peers: "transport.Transport") -> None:
        """Use a transport, and carry out what was to be sent before."""
        self.peers = peers
        self.awaits_peers = False
        for effect in self.peer_effects:
            self._perform_peer_effect(effect)
        self.peer_effects.clear()

    async def _validate(self, effect: effects.CheckConfiguration) -> None:
        try:
            document = _documents().read_parts(effect.version, effect.parts)
        except exceptions.DocumentError as exc:
            invalid = events.ConfigurationInvalid(effect.version, str(exc))
            await self.post(invalid)
            return
        await self.adopt(document)

    async def _start_attempt(self, effect: effects.StartAttempt) -> None:
        exchange = self.exchanges.open.get(effect.call)
        if exchange is None:
            return
        running = self.targets.register(effect, exchange.request)
        if self.traces is not None and exchange.span is not None:
            running.span = self.traces.begin_attempt(exchange.span, effect)
        if not exchange.offer(running):
            await self.targets.start(running, self.end_attempt)

    async def end_attempt(
        self, running: attempts.RunningAttempt, end: client.AttemptEnd
    ) -> None:
        """Report the end of an attempt to metrics and traces, and post it."""
        self.metrics.timing(
            "attempts.seconds", clock.now() - running.started_at
        )
        match end:
            case events.AttemptAnswered():
                self.metrics.count("attempts.answered")
            case events.AttemptFailed():
                self.metrics.count(f"attempts.failed.{end.kind.value}")
        if running.kept_connection:
            self.metrics.count("connections.reused")
        elif running.opening is not None:
            self.metrics.count(f"connections.opened.{running.opening.value}")
        if self.traces is not None and running.span is not None:
            service = self.find_service(running.request)
            self.traces.end_attempt(running.span, service, end)
        await self.post(end)

    def end_call_span(
        self, exchange: caller_exchanges.Exchange, status: int, outcome: str
    ) -> None:
        """End the span of a call with the status and outcome sent."""
        if self.traces is not None and exchange.span is not None:
            self.traces.end_call(exchange.span, status, outcome)

    def find_service(
        self, request: messages.Request
    ) -> "configuration_models.Service | None":
        """Return the service of a request, or None if none matches.

        An entry that follows routes has no services.
        """
        if self.state.feed.enabled:
            return None
        path = request.path.decode("latin-1")
        models = importlib.import_module("agateshelf.core.configuration.models")
        service: configuration_models.Service | None = models.find_service(
            self.state.cfg, path
        )
        return service

    async def _deliver_answer(self, effect: effects.DeliverAnswer) -> None:
        answer = self.targets.take_answer(effect.attempt)
        if answer is None:
            return
        if not await self.exchanges.deliver(effect.call, answer):
            await self.targets.drop(answer)

    async def run_timers(self) -> None:
        """Post a `Tick` whenever the earliest timer is due; never returns."""
        while True:
            await self._sleep_until_due()
            await self.post(events.Tick())

    async def _sleep_until_due(self) -> None:
        while True:
            self.rescheduled.clear()
            self.next_tick_at = timers.next_at(self.state.timers)
            if self.next_tick_at is None:
                await self.rescheduled.wait()
                continue
            now = clock.now()
            if self.next_tick_at <= now:
                return
            async with curio.ignore_after(self.next_tick_at - now):
                await self.rescheduled.wait()
