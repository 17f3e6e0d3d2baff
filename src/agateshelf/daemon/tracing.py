"""Traces: a span for each call and each attempt, exported as OTLP over HTTP.

Spans are those of the OpenTelemetry SDK. Its exporters are not used, since they
start threads and their HTTP clients block. Instead, a processor puts ended
spans into a bounded queue, and a task of the event loop sends them in small
batches.
"""

import collections
import dataclasses

import curio
from opentelemetry import propagate
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common import trace_encoder
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import sampling

from agateshelf import const
from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core.configuration import models as configuration_models
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.core.outcomes import verdicts
from agateshelf.daemon import fetching
from agateshelf.daemon import messages
from agateshelf.daemon import metrics
from agateshelf.documents import settings

MAX_QUEUED_SPANS = 4096
MAX_EXPORT_SPANS = 64
EXPORT_SECONDS = 0.5

_EXPORT_PATH = "/v1/traces"
_EXPORT_TIMEOUT_SECONDS = 5.0
_STATUS_OK = 200
_TRACEPARENT = const.HEADER_TRACEPARENT.encode()
_TRACESTATE = b"tracestate"
_PROTOBUF = ("content-type", "application/x-protobuf")


class QueueProcessor(sdk_trace.SpanProcessor):
    """Queues ended spans for the export, up to `MAX_QUEUED_SPANS`."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self.queue: collections.deque[sdk_trace.ReadableSpan] = (
            collections.deque()
        )
        self._metrics = counters

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Queue an ended span, or drop and count it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED_SPANS:
            self._metrics.count("traces.dropped")
            return
        self.queue.append(span)


@dataclasses.dataclass(slots=True)
class Traces:
    """Starts, ends and exports spans.

    Attributes:
        tracer: Creates the spans.
        processor: Queue of ended spans.
        collector: `HOST:PORT` of the collector, which accepts OTLP over HTTP.
        metrics: Counts dropped spans.
    """

    tracer: trace.Tracer
    processor: QueueProcessor
    collector: str
    metrics: metrics.Metrics

    def begin_call(
        self,
        request: messages.Request,
        service: configuration_models.Service | None,
    ) -> trace.Span:
        """Start the span of a call as a child of the caller's span, if any."""
        carrier = {
            name.decode(): value.decode("latin-1")
            for name, value in request.headers
            if name in (_TRACEPARENT, _TRACESTATE)
        }
        span = self.tracer.start_span(
            request.method.decode("ascii"),
            context=propagate.extract(carrier),
            kind=trace.SpanKind.SERVER,
        )
        if span.is_recording():
            path = request.path.partition(b"?")[0].decode("latin-1")
            span.set_attribute("url.path", path)
            span.set_attribute("service", service.name if service else "")
        return span

    def begin_attempt(
        self, call: trace.Span, effect: effects.StartAttempt
    ) -> trace.Span:
        """Start the span of an attempt as a child of its call's span."""
        span = self.tracer.start_span(
            "attempt",
            context=trace.set_span_in_context(call),
            kind=trace.SpanKind.CLIENT,
        )
        span.set_attribute("target", effect.target)
        span.set_attribute("server.address", effect.address)
        return span

    def end_attempt(
        self,
        span: trace.Span,
        service: configuration_models.Service | None,
        end: events.AttemptAnswered | events.AttemptFailed,
    ) -> None:
        """End the span of an attempt with its verdict."""
        if not span.is_recording():
            return
        match end:
            case events.AttemptAnswered():
                verdict = outcome_models.Verdict.RAN
                if service is not None:
                    verdict = verdicts.verdict_of_answer(
                        service, end.status, end.headers
                    )
                span.set_attribute("http.response.status_code", end.status)
            case events.AttemptFailed():
                verdict = verdicts.verdict_of_failure(
                    end.kind, any_byte_sent=end.any_byte_sent
                )
                span.set_attribute("error.type", end.kind.value)
                span.set_status(trace.StatusCode.ERROR)
        span.set_attribute("verdict", verdict.name.lower())
        span.end()

    def end_call(self, span: trace.Span, status: int, outcome: str) -> None:
        """End the span of a call with the status and outcome sent."""
        if not span.is_recording():
            return
        span.set_attribute("http.response.status_code", status)
        span.set_attribute("outcome", outcome)
        span.end()

    async def run(self) -> None:
        """Export queued spans periodically; never returns."""
        while True:
            while self.processor.queue:
                await self._export()
            await curio.sleep(EXPORT_SECONDS)

    async def _export(self) -> None:
        queue = self.processor.queue
        count = min(MAX_EXPORT_SPANS, len(queue))
        spans = [queue.popleft() for _ in range(count)]
        body = trace_encoder.encode_spans(spans).SerializeToString()
        request = fetching.Request("POST", _EXPORT_PATH, (_PROTOBUF,), body)
        response = await fetching.fetch(
            self.collector, request, _EXPORT_TIMEOUT_SECONDS
        )
        accepted = response.map(_is_accepted).value_or(default_value=False)
        if not accepted:
            self.metrics.count("traces.dropped", count)


def _is_accepted(response: fetching.Response) -> bool:
    return response.status == _STATUS_OK


def create_traces(
    cfg: settings.Traces | None, entry: str, counters: metrics.Metrics
) -> Traces | None:
    """Create the traces, or return None if tracing is off."""
    if cfg is None:
        return None
    processor = QueueProcessor(counters)
    provider = sdk_trace.TracerProvider(
        sampler=sampling.ParentBased(sampling.TraceIdRatioBased(cfg.ratio)),
        resource=resources.Resource(
            {"service.name": const.PRODUCT, "service.instance.id": entry}
        ),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(processor)
    tracer = provider.get_tracer(const.PRODUCT)
    return Traces(tracer, processor, cfg.collector, counters)
