"""The platform's headers."""

import re

from agateshelf.core import events
from agateshelf.daemon import dialect
from agateshelf.platform import const

_FIGURE = rb" *([0-9]{1,9}(?:\.[0-9]{1,9})?) *"
_LOAD = re.compile(rb",".join([_FIGURE] * 3) + rb"(?:," + _FIGURE + rb")?")


def parse_load(value: bytes) -> events.TargetLoad | None:
    """Return the load in a value like `3,0,8,130`; None if it is none.

    The figures are requests running, requests waiting, slots, and how long
    work takes there at this moment, in hundredths of the usual.
    """
    match = _LOAD.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, speed = match.groups()
    slowness = 1.0
    if speed is not None:
        slowness = float(speed) / const.USUAL_SPEED_FIGURE
    return events.TargetLoad(
        in_flight=int(float(running)),
        queued=int(float(waiting)),
        slots=int(float(slots)),
        slowness=slowness,
    )


DIALECT = dialect.Dialect(
    timeout_ms=b"x-deadline-ms",
    request_id=b"x-request-id",
    expected_target=b"x-target-instance",
    not_run=b"x-not-executed",
    signature=b"x-response-signature",
    target=b"x-instance-id",
    load=b"x-server-load",
    parse_load=parse_load,
    adds_proxy_headers=False,
    allows_close_delimited=True,
    fractional_retry_after=True,
)
