"""An unexpected error in the handling of one event.

Guards against a process that lives on without its timers or its peers, or goes
down whole, since one event could not be handled.
"""

import curio
import pytest
from tests.daemon import conftest

from agateshelf.core import events
from agateshelf.core import reducer
from agateshelf.core import timers

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def fail_on(monkeypatch):
    """Return a function that makes the handling of some events fail."""

    def fail(is_bad):
        dispatch = reducer._dispatch

        def failing(state, now, event):
            if is_bad(event):
                raise RuntimeError("unexpected")
            return dispatch(state, now, event)

        monkeypatch.setattr(reducer, "_dispatch", failing)

    return fail


async def answer_ok(_request, _sock):
    return conftest.http_response()


def test_other_events_are_handled_after_an_error(serve, fail_on):
    fail_on(lambda event: isinstance(event, events.PauseCheckDue))

    async def test(rig):
        now = await curio.clock()
        for _ in range(3):
            event = events.PauseCheckDue()
            timers.schedule(rig.driver.state.timers, now + 0.1, event)
        await rig.driver.post(events.PauseCheckDue())
        await curio.sleep(0.5)
        caller = await rig.caller()
        got = await caller.request(GET)
        assert got.status == 200
        assert not [
            event
            for at, _, event in rig.driver.state.timers.heap
            if at < await curio.clock() - 0.1
        ]

    serve(answer_ok, test)


def test_the_call_whose_handling_failed_is_told_so(serve, fail_on):
    fail_on(
        lambda event: (
            isinstance(event, events.RequestArrived) and event.path == "/bad"
        )
    )

    async def test(rig):
        caller = await rig.caller()
        bad = await caller.request(GET.replace(b"/a", b"/bad"))
        assert bad.status == 502
        other = await rig.caller()
        assert (await other.request(GET)).status == 200

    serve(answer_ok, test)


def test_timers_that_are_due_with_a_failing_one_are_not_lost():
    heap = timers.Timers()
    for number in range(3):
        timers.schedule(heap, 1.0, events.DeadlinePassed(number))
    due = timers.pop_due(heap, 1.0)
    assert next(due) == events.DeadlinePassed(0)
    due.close()
    assert list(timers.pop_due(heap, 1.0)) == [
        events.DeadlinePassed(1),
        events.DeadlinePassed(2),
    ]


def test_a_timer_that_schedules_itself_at_once_comes_with_the_next_call():
    heap = timers.Timers()
    timers.schedule(heap, 1.0, events.Tick())
    for event in timers.pop_due(heap, 1.0):
        timers.schedule(heap, 1.0, event)
    assert len(heap.heap) == 1
