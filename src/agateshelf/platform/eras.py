"""Decodes the era of the store, and turns its revisions into positions."""

from collections import abc
import re

from agateshelf.core import positions
from agateshelf.daemon import fetching
from agateshelf.platform import const
from agateshelf.platform import items

_ERA = re.compile(rb"[0-9]{1,18}")


def era_of(answer: fetching.Response) -> int | None:
    """Return the era in which the store answered; None if it is not valid.

    A store that names no era is in the first one, 0.
    """
    values = [
        value for name, value in answer.headers if name == const.HEADER_ERA
    ]
    if not values:
        return 0
    if len(values) > 1 or _ERA.fullmatch(values[0]) is None:
        return None
    return int(values[0])


def locate(stored: abc.Iterable[items.Item], era: int) -> None:
    """Replace the revisions of items by their positions."""
    for item in stored:
        item.revision = positions.position_of(era, item.revision)
