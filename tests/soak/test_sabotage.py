"""Tests that the edits of `script/sabotage.py` match the sources.

An edit is a piece of source as text, which a change of that source outdates.
"""

import pytest
from script import sabotage

EDITS = [
    (mutation.invariant, edit)
    for mutation in sabotage.MUTATIONS
    for edit in mutation.edits
]


@pytest.mark.parametrize(("invariant", "edit"), EDITS)
def test_the_text_that_an_edit_replaces_is_in_the_source(invariant, edit):
    assert edit.old in (sabotage.ROOT / "src" / edit.file).read_text(), (
        invariant
    )
