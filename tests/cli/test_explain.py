"""Tests of `agateshelf explain` on recorded logs of four entries."""

import pathlib

from click import testing
import pytest

from agateshelf.cli import main

LOGS = pathlib.Path(__file__).parent / "logs"


def explain(request_id):
    files = [str(path) for path in sorted(LOGS.glob("*.log"))]
    return testing.CliRunner().invoke(
        main.main, ["explain", request_id, *files]
    )


@pytest.mark.parametrize("request_id", ["refused-1", "unknown-1", "late-1"])
def test_a_failed_request_is_told_in_order(request_id, snapshot):
    result = explain(request_id)
    assert result.exit_code == 0
    assert result.output == snapshot


def test_unknown_request_is_reported():
    result = explain("nobody")
    assert result.exit_code == 2
    assert "no log line mentions request nobody" in result.output
