"""Checks heads of answers against the grammar of HTTP (RFC 9110, RFC 9112).

h11 reads more than the grammar allows: statuses from 600 to 999, versions of
other protocols, and control bytes in the reason phrase.
"""

import re

import h11

STATUS_LINE = (
    rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t \x21-\x7e\x80-\xff]*)?(?:\r?\n)"
)
_STATUS_LINE = re.compile(STATUS_LINE)
# The end of a head, as h11 finds it.
_END = re.compile(rb"\n\r?\n")


def check(data: bytes) -> None:
    """Check the head that begins some received bytes, once it is complete.

    Raises:
        h11.RemoteProtocolError: The head is malformed.
    """
    if not _END.search(data):
        return
    if not _STATUS_LINE.match(data):
        raise h11.RemoteProtocolError("malformed status line")
