"""Positions in the history of the platform's store.

The store may come back from an older copy. Its revisions then go back and are
given out again, and its era rises. A position orders changes over all eras: by
era first, then by revision.
"""

from typing import Final

_REVISION_BITS: Final = 40
# Keeps positions within 63 bits. Eras are compared with recent ones only, so
# that the higher bits of an era don't matter.
_ERA_BITS: Final = 23


def position_of(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (era % (1 << _ERA_BITS)) << _REVISION_BITS | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> _REVISION_BITS


def revision_of(position: int) -> int:
    """Return the store's own revision of a position."""
    return position & ((1 << _REVISION_BITS) - 1)
