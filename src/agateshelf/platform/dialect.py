"""Headers of the platform and the formats of its load reports and limits."""

import re

from agateshelf.core import events
from agateshelf.daemon import dialect
from agateshelf.platform import const

_NUMBER = rb" *([0-9]{1,9}(?:\.[0-9]{1,9})?) *"
_LIMIT = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_LOAD = re.compile(rb",".join([_NUMBER] * 3) + rb"(?:," + _NUMBER + rb")?")


def parse_load(value: bytes) -> events.TargetLoad | None:
    """Parse a load report like `3,0,8,130`; return None if it is not valid.

    The numbers are the requests running, the requests queued, the slots and,
    optionally, the current duration of work in percent of the usual one.
    """
    match = _LOAD.fullmatch(value)
    if match is None:
        return None
    running, queued, slots, slowness_percent = match.groups()
    slowness = 1.0
    if slowness_percent is not None:
        slowness = float(slowness_percent) / const.BASELINE_SLOWNESS_PERCENT
    return events.TargetLoad(
        in_flight=int(float(running)),
        queued=int(float(queued)),
        slots=int(float(slots)),
        slowness=slowness,
    )


def parse_limit(value: bytes) -> float | None:
    """Parse a limit like `1.5` requests a second; None if it is not valid."""
    if _LIMIT.fullmatch(value) is None:
        return None
    return float(value)


DIALECT = dialect.Dialect(
    timeout_ms=b"x-deadline-ms",
    request_id=b"x-request-id",
    expected_target=b"x-target-instance",
    not_run=b"x-not-executed",
    signature=b"x-response-signature",
    target=b"x-instance-id",
    load=b"x-server-load",
    parse_load=parse_load,
    limit=b"server-limit",
    parse_limit=parse_limit,
    adds_proxy_headers=False,
    allows_close_delimited=True,
    fractional_retry_after=True,
)
