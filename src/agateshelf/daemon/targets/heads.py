"""Checks heads of answers against the grammar of HTTP (RFC 9110, RFC 9112).

h11 reads more than the grammar allows: statuses from 600 to 999, versions of
other protocols, and control bytes in the reason phrase and in values. It joins
a line that begins with a blank to the line before, where one that is framing is
lost, and takes line feeds among lines that end in CR LF for ends of lines.
"""

import re

import h11

_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
REASON = rb"(?: " + _TEXT + rb")?"
FIELD_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT
_STATUS_LINE = rb"HTTP/1\.[0-9] [1-5][0-9]{2}" + REASON
# A line may end in a bare line feed (RFC 9112, 2.2) if all others do as well.
_HEAD = re.compile(_STATUS_LINE + rb"(\r?\n)(?:" + FIELD_LINE + rb"\1)*\1")
# The end of a head, as h11 finds it.
_END = re.compile(rb"\n\r?\n")


def check(data: bytes) -> None:
    """Check the head that begins some received bytes, once it is complete.

    Raises:
        h11.RemoteProtocolError: The head is malformed.
    """
    if _END.search(data) and not _HEAD.match(data):
        raise h11.RemoteProtocolError("malformed head")
