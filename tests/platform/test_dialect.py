"""Tests of the limits that targets name in the platform's headers."""

import pytest

from agateshelf.daemon.targets import answers
from agateshelf.daemon.targets import load
from agateshelf.platform import dialect


@pytest.mark.parametrize(
    ("value", "limit"),
    [(b"1.5", 1.5), (b"0", 0.0), (b"3", 3.0), (b"0.25", 0.25)],
)
def test_limit_is_parsed(value, limit):
    assert dialect.parse_decimal(value) == limit


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"abc",
        b"-1",
        b"nan",
        b"inf",
        b"1e400",
        b"1,5",
        b".5",
        b"1.",
        b"9" * 10,
    ],
)
def test_invalid_limit_is_none(value):
    assert dialect.parse_decimal(value) is None


def answer_with(*limits):
    headers = tuple((b"server-limit", limit) for limit in limits)
    return answers.Answer(200, b"OK", headers, b"", None, 1)


@pytest.mark.parametrize(
    ("limits", "rate", "invalid"),
    [
        ((), None, ""),
        ((b"2",), 2.0, ""),
        ((b"",), None, "(empty)"),
        ((b"abc",), None, "abc"),
        ((b"1", b"2"), None, "1, 2"),
    ],
)
def test_an_answer_names_one_valid_limit_or_none(limits, rate, invalid):
    event = load.event_of(answer_with(*limits), dialect.DIALECT)
    told = (("limit", invalid),) if invalid else ()
    assert (event.limit, event.invalid_notices) == (rate, told)
    # The caller gets the header as the target sent it.
    assert len(event.headers) == len(limits)


def answer_of(status, *headers):
    return answers.Answer(status, b"X", tuple(headers), b"", None, 1)


@pytest.mark.parametrize(
    ("values", "leaving", "invalid"),
    [
        ((), False, ()),
        ((b"1",), True, ()),
        ((b"0",), False, (("leaving", "0"),)),
        ((b"yes",), False, (("leaving", "yes"),)),
        ((b"1", b"1"), False, (("leaving", "1, 1"),)),
    ],
)
def test_a_target_says_that_it_is_leaving(values, leaving, invalid):
    headers = [(b"server-leaving", value) for value in values]
    event = load.event_of(answer_of(200, *headers), dialect.DIALECT)
    assert (event.draining, event.invalid_notices) == (leaving, invalid)


@pytest.mark.parametrize(
    ("status", "value", "pause", "invalid"),
    [
        (503, b"3", 3.0, ()),
        (503, b"0.25", 0.25, ()),
        (503, b"-1", 0.0, (("pause", "-1"),)),
        (503, b"nan", 0.0, (("pause", "nan"),)),
        (503, b"1e9", 0.0, (("pause", "1e9"),)),
        (503, b"Fri, 04 Dec 2026 10:00:00 GMT", 0.0, None),
        (200, b"3", 0.0, ()),
        (429, b"3", 0.0, ()),
    ],
)
def test_a_target_asks_for_a_pause(status, value, pause, invalid):
    answer = answer_of(status, (b"retry-after", value))
    event = load.event_of(answer, dialect.DIALECT)
    assert event.pause == pause
    if invalid is not None:
        assert event.invalid_notices == invalid
