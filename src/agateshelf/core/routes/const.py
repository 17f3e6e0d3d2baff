"""Format of route tables."""

from typing import Final

# Raised when a route table gets a field that changes which requests are served.
# A table of a lower format is not adopted from a peer.
TABLE_FORMAT: Final = 1

# Tables before the one in force that are kept, so that entries which have one
# of them can be told what has changed since. More than come into force between
# two heartbeats of a reader.
MAX_EARLIER_TABLES: Final = 8

# About the size of a route or workspace in a message, of a key's digest and of
# a name.
ITEM_BYTES: Final = 180
KEY_BYTES: Final = 66
NAME_BYTES: Final = 30
