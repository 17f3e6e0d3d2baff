"""Messages of quotas."""

import msgspec

from agateshelf.core.peers import models as peer_models


class QuotaRequest(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Asks the counter of a shard for a request of a workspace.

    Attributes:
        number: Number of the question, unique at the sender.
        shard: Shard of the workspace.
        workspace: Name of the workspace.
        rate: Its rate as the sender knows it, for a counter that has not read
            of the workspace yet.
        burst: Its burst as the sender knows it.
        is_last: Whether the sender asks no further entry.
        is_report: Whether it only reports a send, which gets no answer.
        version: Version of the route table that rate and burst are from; 0 from
            earlier builds.
    """

    number: int
    shard: int
    workspace: str
    rate: float = 0.0
    burst: float = 0.0
    is_last: bool = False
    is_report: bool = False
    version: int = 0


class QuotaDecided(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """Answers a `QuotaRequest`.

    Attributes:
        number: Number of the question.
        granted: Whether the request is within the quota.
        retry_after: Seconds until there is a token again.
        declined: Whether the entry can't tell, so that the next one is asked.
    """

    number: int
    granted: bool
    retry_after: float = 0.0
    declined: bool = False


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """The quota of a workspace.

    Attributes:
        workspace: Name of the workspace.
        rate: Its rate, in requests per second.
        burst: Its burst, in requests.
    """

    workspace: str
    rate: float
    burst: float


class NewQuotas(peer_models.PeerMessage, frozen=True):
    """Tells of workspaces that have a rate, and had none before.

    Attributes:
        version: Version of the route table that the quotas are from.
        quotas: The quotas.
    """

    version: int
    quotas: tuple[Quota, ...] = ()


class QuotaReturned(peer_models.PeerMessage, frozen=True):
    """Gives back a grant that came too late to be used.

    Attributes:
        number: Number of the question.
    """

    number: int


class QuotaPoll(peer_models.PeerMessage, frozen=True):
    """Asks a witness who else polls it, as a replica is silent.

    Attributes:
        number: Number of the poll.
    """

    number: int


class QuotaPolled(peer_models.PeerMessage, frozen=True):
    """Answers a `QuotaPoll`.

    Attributes:
        number: Number of the poll.
        polled_by: The entries that polled the sender lately.
    """

    number: int
    polled_by: tuple[str, ...] = ()


class Count(msgspec.Struct, frozen=True, array_like=True):
    """What a process granted to a workspace.

    Attributes:
        workspace: Name of the workspace.
        granted: Cumulative number of requests that it granted.
        before: That number some beats ago, for receivers that have missed
            earlier messages or were not replicas.
    """

    workspace: str
    granted: int
    before: int


class QuotaCounts(peer_models.PeerMessage, frozen=True, omit_defaults=True):
    """What an entry granted lately; also says that it is there.

    Attributes:
        process: Number of the sender's process; grows with each start.
        counts: Workspaces to which it granted requests lately.
        hears: Other replicas of its shards that it heard lately; None between
            beats, when it doesn't say.
    """

    process: int
    counts: tuple[Count, ...] = ()
    hears: tuple[str, ...] | None = None
