"""The sabotages still fit the sources that they change."""

import pytest
from script import sabotage

EDITS = [
    (one.promise, edit) for one in sabotage.SABOTAGES for edit in one.edits
]


@pytest.mark.parametrize(("promise", "edit"), EDITS)
def test_a_sabotage_finds_what_it_replaces(promise, edit):
    assert edit.old in (sabotage.ROOT / "src" / edit.file).read_text(), promise
