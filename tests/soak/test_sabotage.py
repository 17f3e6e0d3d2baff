"""Tests that the edits of `script/sabotage.py` match the sources.

An edit is a piece of source as text, which a change of that source outdates.
"""

import pytest
from script import sabotage

EDITS = [
    (fault.promise, edit)
    for fault in sabotage.SABOTAGES
    for edit in fault.edits
]


@pytest.mark.parametrize(("promise", "edit"), EDITS)
def test_the_text_that_an_edit_replaces_is_in_the_source(promise, edit):
    assert edit.old in (sabotage.ROOT / "src" / edit.file).read_text(), promise
