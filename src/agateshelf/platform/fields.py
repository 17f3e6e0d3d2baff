"""Types of the fields that several documents of the platform have."""

import ipaddress
from typing import Annotated
from typing import Final

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}\Z")]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0)]
# Entries send these numbers to each other, and MessagePack has 64 bits for one.
MAX_INTEGER = 2**62
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Prefix = Annotated[str, msgspec.Meta(pattern="^/(.*/)?$")]

_MAX_PORT: Final = 65535


def is_endpoint(address: str) -> bool:
    """Return whether an address is an IPv4 address of one host and a port.

    A resolver would take a short form like `1.1` for a host that nobody named.
    """
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
        is_port = 0 < int(port) <= _MAX_PORT
    except ValueError:
        return False
    return is_port and not (
        ip.is_unspecified or ip.is_multicast or ip.is_reserved
    )
