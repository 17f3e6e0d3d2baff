"""Answers of the administration API."""

import msgspec


class Status(msgspec.Struct):
    """What an entry says of itself."""

    entry: str
    failure_domain: str
    ready: bool
    version: int
    calls_in_flight: int
    counts: dict[str, int]


class TargetStatus(msgspec.Struct):
    """What an entry believes of a target."""

    service: str
    target: str
    address: str
    failure_domain: str
    in_flight: int
    draining: bool


class Fault(msgspec.Struct):
    """Why a request was not carried out."""

    error: str
