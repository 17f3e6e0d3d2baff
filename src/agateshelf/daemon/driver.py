"""The driver: feeds the reducer and carries its effects out."""

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
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import clock
from agateshelf.daemon import feeds
from agateshelf.daemon import messages
from agateshelf.daemon import metrics
from agateshelf.daemon import notes
from agateshelf.daemon import operations
from agateshelf.daemon import stores
from agateshelf.daemon.callers import exchanges as caller_exchanges
from agateshelf.daemon.peers import transport
from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import attempts
from agateshelf.daemon.targets import checking
from agateshelf.daemon.targets import client
from agateshelf.daemon.targets import probing

# Tracing is off by default, and what it imports is large; so are the documents
# of services, which an entry that follows routes never reads.
if TYPE_CHECKING:
    from agateshelf.core.configuration import models as configuration_models
    from agateshelf.daemon import tracing
    from agateshelf.documents import configuration

_log = logbook.Logger("driver")


def _documents() -> Any:
    """Return the module of the services' documents, loaded when needed."""
    return importlib.import_module("agateshelf.documents.configuration")


AdoptLimits = abc.Callable[[route_models.Limits], None]


@dataclasses.dataclass(slots=True)
class Driver:
    """One reducer with all that carries its effects out.

    Attributes:
        state: State of the reducer.
        exchanges: Callers' exchanges that wait for their final word.
        targets: Client towards the targets.
        metrics: Counters that go to the metrics service.
        store: Client towards the platform's store.
        feed: Client towards what the platform says of routes and targets.
        prober: Probes targets.
        note_log: Structured log of decisions.
        adopt_limits: Puts limits on callers in force.
        operators: Operators' questions that wait for an answer.
        peers: Transport to the other entries; None without any.
        traces: Spans of calls and attempts; None if calls are not traced.
        document: The checked document of the newest configuration read, for
            the administration API.
        ready: Whether readiness checks are answered with "ready".
        exited: Set once nothing is owed to anyone.
        earlier: Set when a timer became due sooner than the last one known.
    """

    state: core_state.State
    exchanges: caller_exchanges.Exchanges
    targets: client.TargetClient
    metrics: metrics.Metrics
    store: stores.StoreClient | None = None
    feed: feeds.FeedClient | None = None
    prober: probing.Prober | None = None
    note_log: notes.NoteLog | None = None
    adopt_limits: AdoptLimits | None = None
    operators: operations.Operations = dataclasses.field(
        default_factory=operations.Operations
    )
    peers: transport.Transport | None = None
    traces: "tracing.Traces | None" = None
    document: "configuration.ConfigurationDocument | None" = None
    ready: bool = True
    exited: curio.Event = dataclasses.field(default_factory=curio.Event)
    earlier: curio.Event = dataclasses.field(default_factory=curio.Event)
    wakes_at: float | None = None

    async def adopt(
        self, document: "configuration.ConfigurationDocument"
    ) -> None:
        """Post a checked configuration; a lower version changes nothing."""
        if self.document is None or document.version > self.document.version:
            self.document = document
        core_form = _documents().to_core(document)
        await self.post(events.ConfigurationRead(core_form))

    async def post(self, event: events.Event) -> None:
        """Reduce an event and carry out what follows from it."""
        now = clock.now()
        for effect in reducer.reduce(self.state, now, event):
            await self._perform(effect)
        await self._wake_timers()

    async def _wake_timers(self) -> None:
        at = timers.next_at(self.state.timers)
        if at is None:
            return
        if self.wakes_at is None or at < self.wakes_at:
            await self.earlier.set()

    async def _perform(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                await self._start(effect)
            case effects.CancelAttempt():
                self.targets.cancel(effect.attempt)
            case effects.CheckTarget():
                await curio.spawn(
                    checking.check, effect, self.post, daemon=True
                )
            case effects.DeliverAnswer():
                await self._deliver(effect)
            case effects.Replay():
                answer = answers.replayed(effect.answer)
                await self.exchanges.deliver(effect.call, answer)
            case effects.Refuse():
                await self.exchanges.refuse(effect.call, effect.refusal)
            case effects.Count():
                self.metrics.count(effect.name, effect.amount)
            case effects.BecomeUnready():
                self.ready = False
            case effects.Exit():
                await self.exited.set()
            case effects.SendStoreRequest() if self.store is not None:
                await self.store.send(effect, self.post)
            case effects.SendToPeers() | effects.AddPeer():
                self._speak(effect)
            case effects.DisconnectPeer():
                if self.peers is not None:
                    self.peers.disconnect_peer(effect.peer)
            case effects.CheckConfiguration():
                await self._check(effect)
            case effects.LogWarning():
                _log.warning(effect.sentence)
            case effects.LogEvent():
                self.note(effect)
            case _:
                await self._perform_fed(effect)

    def note(self, note: effects.LogEvent) -> None:
        """Log one decision and count it."""
        self.metrics.count(f"notes.{note.event}")
        if self.note_log is not None:
            self.note_log.write(note)

    async def _perform_fed(self, effect: effects.Effect) -> None:
        """Carry out what only an entry with a feed, or operators, have."""
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
                await self.operators.answer(effect)

    def _speak(self, effect: effects.SendToPeers | effects.AddPeer) -> None:
        if self.peers is None:
            self.metrics.count("peers.unsent")
            return
        match effect:
            case effects.SendToPeers():
                self.peers.send(effect.peers, effect.message)
            case effects.AddPeer():
                self.peers.add_peer(effect.peer, effect.address)

    async def _check(self, effect: effects.CheckConfiguration) -> None:
        try:
            document = _documents().read_parts(effect.version, effect.parts)
        except exceptions.DocumentError as exc:
            invalid = events.ConfigurationInvalid(effect.version, str(exc))
            await self.post(invalid)
            return
        await self.adopt(document)

    async def _start(self, effect: effects.StartAttempt) -> None:
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
        """Post the end of an attempt, and report it."""
        self.metrics.timing(
            "attempts.seconds", clock.now() - running.started_at
        )
        match end:
            case events.AttemptAnswered():
                self.metrics.count("attempts.answered")
            case events.AttemptFailed():
                self.metrics.count(f"attempts.failed.{end.kind.value}")
        if self.traces is not None and running.span is not None:
            service = self.service_of(running.request)
            self.traces.end_attempt(running.span, service, end)
        await self.post(end)

    def end_call_span(
        self, exchange: caller_exchanges.Exchange, status: int, outcome: str
    ) -> None:
        """End the span of a call with what its caller was told."""
        if self.traces is not None and exchange.span is not None:
            self.traces.end_call(exchange.span, status, outcome)

    def service_of(
        self, request: messages.Request
    ) -> "configuration_models.Service | None":
        """Return the service that a request belongs to, if any are served."""
        if self.state.feed.enabled:
            return None
        path = request.path.decode("latin-1")
        models = importlib.import_module("agateshelf.core.configuration.models")
        found: configuration_models.Service | None = models.find_service(
            self.state.cfg, path
        )
        return found

    async def _deliver(self, effect: effects.DeliverAnswer) -> None:
        answer = self.targets.take_answer(effect.attempt)
        if answer is None:
            return
        if not await self.exchanges.deliver(effect.call, answer):
            await self.targets.drop(answer)

    async def run_timers(self) -> None:
        """Post a tick whenever the earliest timer is due; never returns."""
        while True:
            await self._sleep_until_due()
            await self.post(events.Tick())

    async def _sleep_until_due(self) -> None:
        while True:
            self.earlier.clear()
            self.wakes_at = timers.next_at(self.state.timers)
            if self.wakes_at is None:
                await self.earlier.wait()
                continue
            now = clock.now()
            if self.wakes_at <= now:
                return
            async with curio.ignore_after(self.wakes_at - now):
                await self.earlier.wait()
