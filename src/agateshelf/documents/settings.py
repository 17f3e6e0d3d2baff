"""Schema of an entry's settings file.

The settings are validated by msgspec instead of pydantic, which validates the
configuration: an entry that follows the platform's routes reads no other
document, and pydantic would make up a sixth of its memory.
"""

import ipaddress
import pathlib
from typing import Annotated

import msgspec

from agateshelf import exceptions
from agateshelf.documents import structs

_ADDRESS = r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$"
_NO_PORT = -1

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Port = Annotated[int, msgspec.Meta(ge=_NO_PORT, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Share = Annotated[float, msgspec.Meta(ge=0, le=10)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
EntryName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9\-]{0,62}$")]
CurveKey = Annotated[str, msgspec.Meta(min_length=40, max_length=40)]
Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Listen(structs.StrictStruct, frozen=True, kw_only=True):
    """Address to listen on: a host and a port, or both as an address."""

    host: str = "127.0.0.1"
    port: Port = _NO_PORT
    address: Address | None = None

    def __post_init__(self) -> None:
        """Derive host and port from the address, if one is given."""
        if self.address is not None:
            host, _, port = self.address.rpartition(":")
            msgspec.structs.force_setattr(self, "host", host.strip("[]"))
            msgspec.structs.force_setattr(self, "port", int(port))
        if self.port == _NO_PORT:
            raise ValueError("a port or an address is required")


class Tls(structs.StrictStruct, frozen=True, kw_only=True):
    """TLS certificate of a listener.

    Attributes:
        certificate: PEM file of the certificate chain.
        key: PEM file of the private key.
    """

    certificate: str
    key: str


class SecureListen(Listen, frozen=True, kw_only=True):
    """Address to listen on, with TLS if a certificate is given."""

    tls: Tls | None = None


class AdministrationListen(SecureListen, frozen=True, kw_only=True):
    """Address of the administration API, and administrator tokens.

    Attributes:
        token_sha256: SHA-256 digests, in hexadecimal, of tokens with all
            rights, independent of the configuration.
    """

    token_sha256: tuple[Digest, ...] = ()

    def __post_init__(self) -> None:
        """Reject an address other than loopback without a token."""
        super().__post_init__()
        if not self.token_sha256 and not _is_loopback(self.host):
            raise ValueError(
                "token_sha256 is required to listen beyond loopback"
            )


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class Platform(structs.StrictStruct, frozen=True, kw_only=True):
    """Addresses of the platform's services.

    Attributes:
        store: `HOST:PORT` of the key-value store.
    """

    store: Address


class Capacity(structs.StrictStruct, frozen=True, kw_only=True):
    """Capacity of this entry's machine, by which work is assigned to entries.

    Attributes:
        core_share: Share of a processor core that the entry may use.
        core_speed: Speed of the core relative to a typical core.
        link_megabits: Network bandwidth in megabits per second.
    """

    core_share: Positive = 1.0
    core_speed: Positive = 1.0
    link_megabits: Positive = 1000.0


class Seed(structs.StrictStruct, frozen=True, kw_only=True):
    """Another entry to contact at startup.

    Attributes:
        entry: Identifier of the entry.
        address: `HOST:PORT` that it listens on for peers.
    """

    entry: EntryName
    address: Address


class Peers(structs.StrictStruct, frozen=True, kw_only=True):
    """Communication with other entries.

    Attributes:
        listen: Address to listen on for peers.
        advertised: `HOST:PORT` announced to peers, if it differs because of
            address translation.
        relay: Address to listen on for requests that other entries relay
            through this one, as they don't reach a target themselves; without
            one, this entry relays none.
        public_key: CURVE public key shared by all entries; without one,
            messages are neither encrypted nor authenticated.
        secret_key: CURVE secret key shared by all entries.
        seeds: Entries to contact at startup; for an address alone, the
            identifier of the entry is that address.
    """

    listen: Listen
    advertised: Address | None = None
    relay: Listen | None = None
    public_key: CurveKey | None = None
    secret_key: CurveKey | None = None
    seeds: tuple[Seed | Address, ...] = ()

    def __post_init__(self) -> None:
        """Reject an incomplete key pair."""
        if (self.public_key is None) != (self.secret_key is None):
            raise ValueError("public_key and secret_key must be set together")


class Limits(structs.StrictStruct, frozen=True, kw_only=True):
    """Limits of connections, requests and shutdown.

    Attributes:
        header_bytes: Maximum size of a request head.
        request_body_bytes: Maximum size of a request body.
        held_answer_bytes: Maximum size of an answer that is buffered whole; a
            larger one is streamed.
        held_total_bytes: Maximum size of all buffered requests and answers.
        connections: Maximum number of caller connections.
        idle_seconds: Idle timeout of a connection.
        request_seconds: Time in which a request must arrive completely.
        kept_target_connections: Maximum number of idle connections kept open
            to each target.
        unready_seconds: Time between the end of readiness and the close of
            the listener after a stop signal.
        stop_seconds: Maximum duration of a graceful stop.
        last_words_seconds: Time to send refusals to the remaining callers
            after a graceful stop has failed.
    """

    header_bytes: Bytes = 16384
    request_body_bytes: Bytes = 1 << 20
    held_answer_bytes: Bytes = 1 << 20
    held_total_bytes: Bytes = 64 << 20
    connections: Annotated[int, msgspec.Meta(ge=1, le=100000)] = 1000
    idle_seconds: Seconds = 60.0
    request_seconds: Seconds = 30.0
    kept_target_connections: Annotated[int, msgspec.Meta(ge=0)] = 16
    unready_seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 2.0
    stop_seconds: Seconds = 30.0
    last_words_seconds: Seconds = 2.0


class Routes(structs.StrictStruct, frozen=True, kw_only=True):
    """Limits of an entry that follows the platform's routes.

    Attributes:
        repeat_share: Retries and hedges, as a share of a service's requests.
        repeat_slack: Number of retries and hedges allowed beyond that share,
            over all entries.
        repeat_seconds: Window in which both are counted, in seconds.
        probes_per_second: Limit of probes per target from all entries.
        grace_seconds: Time from the stop signal until the platform kills the
            process, in seconds.
        regions: Region of each failure domain.
        revocation_ms: Time after which a withdrawn key must no longer be
            accepted by any entry, in milliseconds; without it, a key is
            accepted for as long as it is in the routes in force.
        drain_ms: Time after which a target that drains, or whose registration
            was removed, must get no more requests, in milliseconds.
        target_heartbeat_ms: Interval at which targets renew their
            registrations, in milliseconds.
    """

    repeat_share: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    repeat_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    repeat_seconds: Seconds = 10.0
    probes_per_second: Annotated[float, msgspec.Meta(ge=0)] = 40.0
    grace_seconds: Seconds = 6.0
    regions: dict[str, str] = {}
    revocation_ms: Annotated[float, msgspec.Meta(ge=1000)] | None = None
    drain_ms: Annotated[float, msgspec.Meta(ge=500, le=3600000)] = 2000.0
    target_heartbeat_ms: Annotated[float, msgspec.Meta(ge=100, le=3600000)] = (
        1500.0
    )


class Logs(structs.StrictStruct, frozen=True, kw_only=True):
    """Logging.

    Attributes:
        level: Minimum level of log lines.
        json_lines: Whether each line is a JSON object.
    """

    level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"
    json_lines: bool = False


class Traces(structs.StrictStruct, frozen=True, kw_only=True):
    """Export of trace spans.

    Attributes:
        collector: `HOST:PORT` of an OTLP collector over HTTP.
        ratio: Share of calls without a trace context that are sampled.
    """

    collector: Address
    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01


class Settings(structs.StrictStruct, frozen=True, kw_only=True):
    """All settings of an entry.

    Attributes:
        target_source: Local IP address that connections to targets are opened
            from, on an instance with several; empty for any.
    """

    entry: EntryName
    failure_domain: Annotated[str, msgspec.Meta(min_length=1)]
    callers: SecureListen
    administration: AdministrationListen | None = None
    readiness: Listen | None = None
    metrics: Listen | None = None
    platform: Platform
    peers: Peers | None = None
    routes: Routes | None = None
    capacity: Capacity = Capacity()
    limits: Limits = Limits()
    logs: Logs = Logs()
    target_source: str = ""
    statsd: Address | None = None
    traces: Traces | None = None

    def __post_init__(self) -> None:
        """Reject settings without both routes and administration."""
        if self.routes is None and self.administration is None:
            raise ValueError("administration is required without routes")


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises:
        DocumentError: The file can't be read or is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        reason = exc.strerror or "unreadable"
        raise exceptions.DocumentError("", f"{path.name}: {reason}") from None
    return structs.read_json(Settings, text)
