"""Structured logs: bounded, and never blocking."""

import json
import os
import time

import pytest

from agateshelf.core import effects
from agateshelf.daemon import clock
from agateshelf.daemon import notes

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
    return notes.NoteLog("e1", pipe[1], refilled=clock.now())


def lines(pipe):
    return [
        json.loads(line)
        for line in os.read(pipe[0], 1 << 20).split(b"\n")
        if line
    ]


def test_a_note_is_one_line_with_the_id_of_its_request(log, pipe):
    log.write(STARTED)
    (line,) = lines(pipe)
    assert line["event"] == "attempt.started"
    assert line["request"] == "r1"
    assert line["node"] == "e1"
    assert line["target"] == "t1"


def test_a_reader_that_has_stopped_delays_nothing(log):
    began = time.monotonic()
    for _ in range(20_000):
        log.tokens = notes.BURST_LINES
        log.write(REFUSED)
    assert time.monotonic() - began < 5.0
    assert log.left_out > 0
    assert len(log.rest) < 4096


def test_no_line_is_torn_when_the_reader_comes_back(log, pipe):
    for _ in range(3000):
        log.tokens = notes.BURST_LINES
        log.write(REFUSED)
    read = os.read(pipe[0], 1 << 20)
    log.write(REFUSED)
    read += os.read(pipe[0], 1 << 20)
    for line in read.split(b"\n")[:-1]:
        assert json.loads(line)["event"] in ("call.refused", "log.left_out")


def test_the_volume_is_bounded_and_what_is_left_out_is_told(log, pipe):
    for _ in range(5000):
        log.write(REFUSED)
        log.tokens = min(log.tokens, notes.BURST_LINES)
    assert log.left_out > 3000
    os.read(pipe[0], 1 << 20)
    log.tokens = notes.BURST_LINES
    log.told_at = clock.now() - 60.0
    log.write(REFUSED)
    told = lines(pipe)
    assert told[0]["event"] == "log.left_out"
    assert told[0]["lines"] > 3000


def test_lines_of_trouble_go_before_lines_of_success(log, pipe):
    log.tokens = notes.RESERVED_LINES
    log.told_at = clock.now()
    log.write(STARTED)
    log.write(REFUSED)
    assert [line["event"] for line in lines(pipe)] == ["call.refused"]
