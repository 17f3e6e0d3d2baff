"""Tests that docs/OUTCOMES.md has the same verdicts as the code."""

import pathlib

import pytest

from agateshelf.core.outcomes import models
from agateshelf.core.outcomes import verdicts

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "OUTCOMES.md"
WORDS = {
    models.Verdict.DID_NOT_RUN: "did not run",
    models.Verdict.MAY_HAVE_RUN: "may have run",
}


@pytest.mark.parametrize("kind", models.FailureKind)
def test_page_shows_the_verdicts_of_the_code(kind):
    unsent, sent = (
        WORDS[verdicts.verdict_of_failure(kind, any_byte_sent=sent)]
        for sent in (False, True)
    )
    row = f"| {kind.value} | {unsent} | {sent} |"
    assert row in PAGE.read_text().splitlines()


@pytest.mark.parametrize("kind", models.FailureKind)
def test_what_may_have_left_may_have_run(kind):
    verdict = verdicts.verdict_of_failure(kind, any_byte_sent=True)
    assert verdict is models.Verdict.MAY_HAVE_RUN
