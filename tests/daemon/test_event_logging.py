"""Tests of the event log: it is bounded and never blocks."""

import json
import os
import time

import pytest

from agateshelf.core import effects
from agateshelf.daemon import clock
from agateshelf.daemon import event_logging

STARTED = effects.LogEvent("attempt.started", "r1", (("target", "t1"),))
REFUSED = effects.LogEvent("call.refused", "r2", (("reason", "overload"),))


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def log(pipe):
    return event_logging.EventLog("e1", pipe[1], refilled_at=clock.now())


def read_lines(pipe):
    return [
        json.loads(line)
        for line in os.read(pipe[0], 1 << 20).split(b"\n")
        if line
    ]


def test_an_event_is_one_line_with_its_request_id(log, pipe):
    log.write(STARTED)
    (line,) = read_lines(pipe)
    assert line["event"] == "attempt.started"
    assert line["request"] == "r1"
    assert line["node"] == "e1"
    assert line["target"] == "t1"


def test_writing_does_not_block_when_the_reader_has_stopped(log):
    began = time.monotonic()
    for _ in range(20_000):
        log.tokens = event_logging.BURST_LINES
        log.write(REFUSED)
    assert time.monotonic() - began < 5.0
    assert log.dropped > 0
    assert len(log.remainder) < 4096


def test_lines_are_whole_when_the_reader_continues(log, pipe):
    for _ in range(3000):
        log.tokens = event_logging.BURST_LINES
        log.write(REFUSED)
    read = os.read(pipe[0], 1 << 20)
    log.write(REFUSED)
    read += os.read(pipe[0], 1 << 20)
    for line in read.split(b"\n")[:-1]:
        assert json.loads(line)["event"] in ("call.refused", "log.left_out")


def test_volume_is_bounded_and_dropped_lines_are_reported(log, pipe):
    for _ in range(5000):
        log.write(REFUSED)
        log.tokens = min(log.tokens, event_logging.BURST_LINES)
    assert log.dropped > 3000
    os.read(pipe[0], 1 << 20)
    log.tokens = event_logging.BURST_LINES
    log.reported_at = clock.now() - 60.0
    log.write(REFUSED)
    written = read_lines(pipe)
    assert written[0]["event"] == "log.left_out"
    assert written[0]["lines"] > 3000


def test_routine_events_leave_the_reserve_to_others(log, pipe):
    log.tokens = event_logging.RESERVED_LINES
    log.reported_at = clock.now()
    log.write(STARTED)
    log.write(REFUSED)
    assert [line["event"] for line in read_lines(pipe)] == ["call.refused"]
