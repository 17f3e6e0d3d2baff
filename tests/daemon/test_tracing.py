"""Tests of the spans of calls and attempts, their headers and their export."""

import dataclasses

import curio
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
from tests.daemon.conftest import http_response

from agateshelf.core import events
from agateshelf.core.configuration import models
from agateshelf.daemon import metrics
from agateshelf.daemon import tracing
from agateshelf.daemon.targets import requests
from agateshelf.documents import settings

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
GET = (
    b"GET /a?x=1 HTTP/1.1\r\nHost: h\r\n"
    b"traceparent: 00-" + TRACE.encode() + b"-00f067aa0ba902b7-01\r\n\r\n"
)


def enable_tracing(rig, collector="127.0.0.1:9", ratio=1.0):
    cfg = settings.Traces(collector=collector, ratio=ratio)
    rig.driver.traces = tracing.create_traces(
        cfg, "entry-0", rig.driver.metrics
    )
    return rig.driver.traces


async def fail_once(request, _sock):
    if request.header(b"idempotency-key") or request.connection > 1:
        return http_response()
    return None


def test_retried_call_has_a_span_for_each_attempt(serve):
    async def test(rig):
        traces = enable_tracing(rig)
        caller = await rig.caller()
        assert (await caller.request(GET)).status == 200
        await curio.sleep(0.1)
        first, second, call = traces.processor.queue
        assert call.attributes["service"] == "bookings"
        assert call.attributes["url.path"] == "/a"
        assert call.attributes["outcome"] == "answered"
        assert call.parent.span_id == 0x00F067AA0BA902B7
        assert first.attributes["verdict"] == "may_have_run"
        assert second.attributes["verdict"] == "ran"
        for span in (first, second):
            assert span.parent.span_id == call.context.span_id
            assert f"{span.context.trace_id:032x}" == TRACE
        sent = [
            request.header(b"traceparent") for request in rig.target.requests
        ]
        assert sent == [
            [requests.traceparent(first)],
            [requests.traceparent(second)],
        ]

    serve(fail_once, _with_two_targets(test))


def _with_two_targets(test):
    async def run(rig):
        (service,) = rig.driver.state.cfg.services.values()
        (target,) = service.targets
        twin = dataclasses.replace(target, id="t1")
        changed = dataclasses.replace(service, targets=(target, twin))
        cfg = models.Configuration(2, {service.name: changed})
        await rig.driver.post(events.ConfigurationRead(cfg))
        await test(rig)

    return run


def test_traceparent_is_forwarded_without_tracing(serve):
    async def answer(_request, _sock):
        return http_response()

    async def test(rig):
        assert rig.driver.traces is None
        await (await rig.caller()).request(GET)
        (request,) = rig.target.requests
        assert request.header(b"traceparent")[0].startswith(
            b"00-" + TRACE.encode()
        )

    serve(answer, test)


def test_spans_are_exported_and_dropped_ones_counted(serve):
    async def answer(request, _sock):
        if request.target == b"/v1/traces":
            return http_response(b"")
        return http_response()

    async def test(rig):
        traces = enable_tracing(rig, rig.target.address)
        task = await curio.spawn(traces.run)
        await (await rig.caller()).request(GET)
        await curio.sleep(2)
        (export,) = [
            request
            for request in rig.target.requests
            if request.target == b"/v1/traces"
        ]
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(export.body)
        spans = message.resource_spans[0].scope_spans[0].spans
        assert sorted(span.name for span in spans) == ["GET", "attempt"]
        traces.collector = "127.0.0.1:1"
        await (await rig.caller()).request(GET)
        await curio.sleep(2)
        assert rig.driver.metrics.counts["traces.dropped"] == 2
        await task.cancel()

    serve(answer, test)


def test_span_queue_is_bounded(monkeypatch):
    monkeypatch.setattr(tracing, "MAX_QUEUED_SPANS", 2)
    counters = metrics.Metrics(None)
    processor = tracing.QueueProcessor(counters)
    for _ in range(3):
        processor.on_end(None)
    assert len(processor.queue) == 2
    assert counters.counts == {"traces.dropped": 1}


def test_sampling_ratio_of_zero_records_no_span(serve):
    async def answer(_request, _sock):
        return http_response()

    async def test(rig):
        traces = enable_tracing(rig, ratio=0.0)
        await (await rig.caller()).request(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await curio.sleep(0.1)
        assert not traces.processor.queue

    serve(answer, test)
