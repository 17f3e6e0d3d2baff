"""Begins and ends the calls of callers' requests."""

import dataclasses

import h11

from agateshelf.core import events
from agateshelf.core.outcomes import models as outcome_models
from agateshelf.daemon import clock
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import messages
from agateshelf.daemon.callers import arrivals
from agateshelf.daemon.callers import exchanges
from agateshelf.daemon.targets import answers


@dataclasses.dataclass(slots=True)
class BegunCall:
    """A call that has begun and whose response is not written yet.

    Attributes:
        call: Number of the call.
        exchange: Its request and, once known, its response.
        protocol: HTTP state for the request and its response.
        reserved: Bytes of the request reserved in the memory budget.
        started_at: Loop time at which the call began.
    """

    call: int
    exchange: exchanges.Exchange
    protocol: h11.Connection
    reserved: int
    started_at: float


def begin(
    driver: daemon_driver.Driver,
    request: messages.Request,
    protocol: h11.Connection,
    reserved: int = 0,
) -> BegunCall:
    """Register a request, which is not yet submitted to the reducer."""
    call, exchange = driver.exchanges.begin(request)
    if driver.traces is not None:
        service = driver.find_service(request)
        exchange.span = driver.traces.begin_call(request, service)
    return BegunCall(call, exchange, protocol, reserved, clock.now())


async def submit(
    driver: daemon_driver.Driver, begun: BegunCall, *, is_relay: bool = False
) -> None:
    """Pass the request of a call to the reducer."""
    lag = driver.lag
    arrived = arrivals.event_of(
        begun.call,
        begun.exchange.request,
        driver.targets.dialect,
        is_relayed=is_relay,
        waited=0.0 if lag is None else lag.waited(clock.now()),
    )
    await driver.post(arrived)


async def end(driver: daemon_driver.Driver, begun: BegunCall) -> None:
    """Report a call whose response was written, or won't be."""
    _report(driver, begun)
    await driver.exchanges.end()


async def cancel(driver: daemon_driver.Driver, begun: BegunCall) -> None:
    """End a call without a response; release what it holds."""
    response = begun.exchange.response
    begun.exchange.response = None
    try:
        if await driver.exchanges.abandon(begun.call):
            await driver.post(events.CallerDisconnected(begun.call))
        elif isinstance(response, answers.Answer):
            await driver.targets.drop(response)
            if response.source is not None:
                ended = events.StreamEnded(response.attempt, whole=False)
                await driver.post(ended)
    finally:
        await end(driver, begun)


def _report(driver: daemon_driver.Driver, begun: BegunCall) -> None:
    metrics = driver.metrics
    exchange = begun.exchange
    match exchange.response:
        case outcome_models.Refusal() as refusal:
            metrics.count(f"calls.refused.{refusal.reason}")
            status, outcome = refusal.status, refusal.outcome.value
        case answers.Answer() as answer:
            metrics.count("calls.answered")
            status, outcome = answer.status, "answered"
        case None:
            status, outcome = 0, "left"
    metrics.timing("calls.seconds", clock.now() - begun.started_at)
    if exchange.span is not None:
        driver.end_call_span(exchange, status, outcome)
