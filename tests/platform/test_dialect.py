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
    assert dialect.parse_limit(value) == limit


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
    assert dialect.parse_limit(value) is None


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
    assert (event.limit, event.invalid_limit) == (rate, invalid)
    # The caller gets the header as the target sent it.
    assert len(event.headers) == len(limits)
