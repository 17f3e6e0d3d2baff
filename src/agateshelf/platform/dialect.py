"""Headers of the platform, and the formats of what targets report in them."""

import re

from agateshelf.core import events
from agateshelf.daemon import dialect
from agateshelf.platform import const

_NUMBER = rb" *([0-9]{1,9}(?:\.[0-9]{1,9})?) *"
_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_LEAVING = b"1"
_BEARER = re.compile(rb"(?i:bearer) +([\x21-\x7e]{1,256})")
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


def parse_decimal(value: bytes) -> float | None:
    """Parse a decimal like `1.5`; return None if it is not valid."""
    if _DECIMAL.fullmatch(value) is None:
        return None
    return float(value)


def parse_leaving(value: bytes) -> bool | None:
    """Parse the sign of a target that is leaving; None if it is not valid."""
    return True if value == _LEAVING else None


def parse_bearer_key(value: bytes) -> bytes | None:
    """Return the key of `Bearer KEY`; None if it is not valid."""
    match = _BEARER.fullmatch(value)
    return None if match is None else match.group(1)


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
    parse_limit=parse_decimal,
    leaving=b"server-leaving",
    parse_leaving=parse_leaving,
    pause=b"retry-after",
    parse_pause=parse_decimal,
    cold=b"x-warmup-ms",
    parse_cold=parse_decimal,
    key=b"authorization",
    parse_key=parse_bearer_key,
    workspace=b"x-tenant-id",
    adds_proxy_headers=False,
    allows_close_delimited=True,
    fractional_retry_after=True,
)
