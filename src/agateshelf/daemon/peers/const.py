"""Limits, time-outs and counter names of the transport between entries."""

from typing import Final

PROTOCOL_VERSION: Final = 1
OLDEST_PROTOCOL_VERSION: Final = 1

MAX_MESSAGE_BYTES: Final = 96 * 1024
# Size of each part of a message that is larger than that, and how many it may
# have: 2 MiB hold the routes of about 9,000 workspaces and fill half of the
# queue to an entry.
PART_BYTES: Final = 64 * 1024
MAX_PARTS: Final = 32
# An entry that starts gets the routes from two others at most: its reader, and
# an entry of another failure domain. Bounds the memory for parts to 8 MiB.
MAX_INCOMPLETE_MESSAGES: Final = 4
SEND_QUEUE_MESSAGES: Final = 64
RECEIVE_QUEUE_MESSAGES: Final = 1024
MAX_CONNECTIONS: Final = 256
MAX_SENDERS: Final = 8192
MAX_ADDRESSES: Final = 8192
# Entries that are not known as members yet and may want an answer.
MAX_SENDER_ADDRESSES: Final = 1024
RECEIVE_BATCH_MESSAGES: Final = 64
RECONNECT_MILLISECONDS: Final = 100
# An entry that restarts or was cut off must soon get what it missed.
RECONNECT_MAX_MILLISECONDS: Final = 1000
CONNECT_TIMEOUT_MILLISECONDS: Final = 1000
HANDSHAKE_MILLISECONDS: Final = 5000
# A connection with data unacknowledged for this long is closed and reopened.
UNACKNOWLEDGED_MILLISECONDS: Final = 2000
HEARTBEAT_MILLISECONDS: Final = 10000
HEARTBEAT_TIMEOUT_MILLISECONDS: Final = 30000

COUNT_GARBLED: Final = "peers.garbled"
COUNT_REPLAYED: Final = "peers.replayed"
COUNT_STRANGERS: Final = "peers.strangers"
COUNT_UNSENT: Final = "peers.unsent"
COUNT_SENT_BYTES: Final = "peers.sent_bytes"
COUNT_RECEIVED_BYTES: Final = "peers.received_bytes"
