"""Heads of answers that the grammar of HTTP rules out (RFC 9110, RFC 9112)."""

SIGNED = b"X-Request-Id: r1\r\nX-Response-Signature: s\r\n"
BODY = b"ok"

# Status lines without a status of three digits from 100 to 599, with a version
# of another protocol, or with control bytes.
STATUS_LINES = (
    *(b"HTTP/1.1 %03d X" % status for status in (0, 1, 9, 10, 20, 99)),
    *(b"HTTP/1.1 %d X" % status for status in (600, 601, 700, 888, 999)),
    b"HTTP/1.1 600",
    b"HTTP/1.1 2 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 +20 X",
    b"HTTP/1.1 -20 X",
    b"HTTP/1.1 2.0 X",
    b"HTTP/1.1 2 0 X",
    b"HTTP/1.1 0x2 X",
    b"HTTP/1.1 20O X",
    b"HTTP/1.1 abc X",
    b"HTTP/1.1 \xb2\xb0\xb0 X",
    b"HTTP/1.1  200 X",
    b"HTTP/1.1\t200 X",
    b"HTTP/1.1 200\tX",
    b"HTTP/1.1  X",
    b"HTTP/1.1",
    b" HTTP/1.1 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/0.9 200 X",
    b"HTTP/1.10 200 X",
    b"HTTP/1 200 X",
    b"http/1.1 200 X",
    b"HTTPS/1.1 200 X",
    b"ICY 200 X",
    *(b"HTTP/1.1 200 X%cY" % byte for byte in (0, 1, 8, 11, 12, 27, 31, 127)),
    b"HTTP/1.1 200 X\rY",
)
# Statuses that are passed on, or are skipped before a final one.
STATUSES = (200, 201, 204, 299, 304, 399, 400, 418, 499, 500, 599)

_CONTROLS = (*range(0x20), 0x7F)
# Bytes that end a token, but the colon, which ends the name.
_DELIMITERS = b' "(),/;<=>?@[\\]{}\x80\xff'
_NOT_IN_NAMES = (*_CONTROLS, *_DELIMITERS)
_TAB = 9

# Field lines whose name is not a token.
NAME_LINES = (
    *(b"%cX-A: 1" % byte for byte in _NOT_IN_NAMES),
    *(b"X%cA: 1" % byte for byte in _NOT_IN_NAMES),
    *(b"X-A%c: 1" % byte for byte in _NOT_IN_NAMES),
    b": 1",
    b"X-A",
    # Lines that are framing if they are read, or hide it if they are not.
    b" Content-Length: 1",
    b"\tContent-Length: 1",
    b" Transfer-Encoding: chunked",
    b"\tTransfer-Encoding: chunked",
    b"Transfer-Encoding : chunked",
    b"Content-Length\t: 1",
    b"Content-Length\x0b: 1",
    b" X-Request-Id: r0",
    b"  ",
    b"\t",
)
# Field lines whose value has a control byte other than a tab.
VALUE_LINES = tuple(
    line
    for byte in _CONTROLS
    if byte != _TAB
    for line in (b"X-A: %c1" % byte, b"X-A: 1%c2" % byte, b"X-A: 1%c" % byte)
)
# Field lines that look unusual and are none of these.
PROPER_LINES = (
    b"X-A:",
    b"X-A:1",
    b"X-A: \t1\t \t",
    b"X-A: a\tb",
    b"X-A: \xe4\xff",
    b'X-A: ()<>@,;:\\"/[]?={}',
    b"!#$%&'*+-.^_`|~09: 1",
)


def with_status_line(line, body=BODY):
    """Return an answer with a status line."""
    return line + b"\r\n" + SIGNED + _framed(body)


def with_field_line(line, body=BODY, status=200):
    """Return an answer with a field line between its others."""
    start = b"HTTP/1.1 %d X\r\n" % status + SIGNED
    return start + line + b"\r\n" + _framed(body)


def _framed(body):
    return b"Content-Length: %d\r\n\r\n" % len(body) + body
