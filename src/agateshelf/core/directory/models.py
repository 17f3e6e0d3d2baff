"""Registrations of targets, as read from the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A target as it registered itself.

    Attributes:
        id: Identifier of the target.
        service: Service it belongs to.
        address: `HOST:PORT`.
        failure_domain: Failure domain it runs in.
        slots: Number of requests it processes concurrently.
        draining: Whether it accepts no new requests.
        warmup: Seconds of warm-up left when it was written; negative if that
            is not valid.
        born: Start of its process in Unix milliseconds, if registered. A later
            one under the same identifier shows a restart, which ended the
            target's earlier requests.
        revision: Position in the store's history at which it was written.
        sequence: Number of the heartbeat that wrote it.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warmup: float
    born: int | None
    revision: int
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A target whose registration was removed or can't be parsed.

    Attributes:
        id: Identifier of the target.
        revision: Position in the store's history of the removal.
        sequence: Number of the target's last heartbeat; 0 if that is not known.
    """

    id: str
    revision: int
    sequence: int = 0


Item = Registration | Removal


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedTarget:
    """A target that was removed, with its last registration.

    Attributes:
        revision: Position of the removal.
        born: `Registration.born`.
        sequence: `Registration.sequence`.
    """

    revision: int
    born: int | None = None
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """The latest heartbeat of a target that said nothing new.

    Attributes:
        revision: Position at which it was written.
        sequence: Its number.
    """

    revision: int
    sequence: int


@dataclasses.dataclass(slots=True)
class DirectoryState:
    """All registrations known to this entry.

    Attributes:
        targets: Registrations by target identifier.
        services: Identifiers of the targets of each service, as keys: the order
            of a set would differ between processes.
        removed: Removed targets by identifier, the latest removal last.
        revision: Position up to which the directory is complete.
        removals_since: Position after which all removals are known here.
        renewals: Latest heartbeats by target, of those that were read here.
        cold_until: Time until which registrations say that targets are cold.
        digest: Digest of what the registrations say, independent of order.
            Entries with the same one need not send each other registrations.
    """

    targets: dict[str, Registration] = dataclasses.field(default_factory=dict)
    services: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )
    removed: dict[str, RemovedTarget] = dataclasses.field(default_factory=dict)
    revision: int = 0
    removals_since: int = 0
    renewals: dict[str, Renewal] = dataclasses.field(default_factory=dict)
    cold_until: dict[str, float] = dataclasses.field(default_factory=dict)
    digest: int = 0
