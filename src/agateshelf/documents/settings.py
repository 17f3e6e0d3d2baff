"""Settings of one entry: who it is, where it listens, whom it talks to.

They are checked by msgspec and not by pydantic, as the larger documents are:
an entry that follows the platform's routes reads no other document, and
pydantic would be a sixth of its memory.
"""

import ipaddress
import pathlib
from typing import Annotated

import msgspec

from agateshelf import exceptions
from agateshelf.documents import records

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


class Listen(records.Record, frozen=True, kw_only=True):
    """Where to listen: a host and a port, or both as an address."""

    host: str = "127.0.0.1"
    port: Port = _NO_PORT
    address: Address | None = None

    def __post_init__(self) -> None:
        """Take host and port out of an address."""
        if self.address is not None:
            host, _, port = self.address.rpartition(":")
            msgspec.structs.force_setattr(self, "host", host.strip("[]"))
            msgspec.structs.force_setattr(self, "port", int(port))
        if self.port == _NO_PORT:
            raise ValueError("a port or an address is needed")


class Tls(records.Record, frozen=True, kw_only=True):
    """Files of a certificate chain and its key, in PEM."""

    certificate: str
    key: str


class SecureListen(Listen, frozen=True, kw_only=True):
    """Where to listen, with TLS if it names a certificate."""

    tls: Tls | None = None


class AdministrationListen(SecureListen, frozen=True, kw_only=True):
    """Where to listen for administration, and the operators' own tokens.

    Attributes:
        token_sha256: SHA-256 digests, in hexadecimal, of tokens that may do
            everything whatever the configuration says.
    """

    token_sha256: tuple[Digest, ...] = ()

    def __post_init__(self) -> None:
        """Refuse to be open to the network without a token."""
        super().__post_init__()
        if not self.token_sha256 and not _is_loopback(self.host):
            raise ValueError("beyond loopback, token_sha256 must name a token")


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class Platform(records.Record, frozen=True, kw_only=True):
    """Where the platform is reached.

    Attributes:
        store: `HOST:PORT` of its key-value store.
    """

    store: Address


class Capacity(records.Record, frozen=True, kw_only=True):
    """What the machine of this entry bears, by which jobs are shared out.

    Attributes:
        core_share: Share of a core that it has.
        core_speed: How many times as fast as a usual core it is.
        link_megabits: Megabits a second of its link.
    """

    core_share: Positive = 1.0
    core_speed: Positive = 1.0
    link_megabits: Positive = 1000.0


class Seed(records.Record, frozen=True, kw_only=True):
    """Another entry to speak to first."""

    entry: EntryName
    address: Address


class Peers(records.Record, frozen=True, kw_only=True):
    """How this entry speaks to the others.

    Attributes:
        listen: Where the others reach this entry.
        advertised: Where they reach it instead, behind a translation.
        public_key: The system's public key; without one, messages are
            neither encrypted nor authenticated.
        secret_key: The system's secret key.
        seeds: Entries to speak to first; with an address alone, the entry's
            identifier is that address.
    """

    listen: Listen
    advertised: Address | None = None
    public_key: CurveKey | None = None
    secret_key: CurveKey | None = None
    seeds: tuple[Seed | Address, ...] = ()

    def __post_init__(self) -> None:
        """Refuse half a key pair."""
        if (self.public_key is None) != (self.secret_key is None):
            raise ValueError("public_key and secret_key go together")


class Limits(records.Record, frozen=True, kw_only=True):
    """What one caller connection and one request may take."""

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


class Routes(records.Record, frozen=True, kw_only=True):
    """Bounds for an entry that follows the platform's routes.

    Attributes:
        repeat_share: Further sends as a share of a service's requests.
        repeat_slack: Further sends beyond that share, over all entries.
        repeat_seconds: Window that both are counted in.
        probes_per_second: Probes that a target may get from all entries.
        grace_seconds: Time from the signal to stop until the process is
            killed.
    """

    repeat_share: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    repeat_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    repeat_seconds: Seconds = 10.0
    probes_per_second: Annotated[float, msgspec.Meta(ge=0)] = 40.0
    grace_seconds: Seconds = 6.0


class Logs(records.Record, frozen=True, kw_only=True):
    """How to log."""

    level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"
    json_lines: bool = False


class Traces(records.Record, frozen=True, kw_only=True):
    """Where spans go and for which share of calls that come without one."""

    collector: Address
    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01


class Settings(records.Record, frozen=True, kw_only=True):
    """All settings of an entry."""

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
    statsd: Address | None = None
    traces: Traces | None = None

    def __post_init__(self) -> None:
        """Refuse settings of neither kind of entry."""
        if self.routes is None and self.administration is None:
            raise ValueError("administration is needed without routes")


def read_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises:
        DocumentError: The file can't be read or breaks a rule.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        reason = exc.strerror or "unreadable"
        raise exceptions.DocumentError("", f"{path.name}: {reason}") from None
    return records.read_json(Settings, text)
