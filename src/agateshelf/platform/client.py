"""HTTP client of the platform's key-value store."""

import dataclasses
from typing import Any
from typing import TypeGuard
from typing import TypeVar
import urllib.parse

import msgspec
from returns import result

from agateshelf import decoding
from agateshelf.core import positions
from agateshelf.daemon import fetching
from agateshelf.platform import const
from agateshelf.platform import eras
from agateshelf.platform import items

_OK = 200
# Bounds of a range, over ten times what 4,300 registrations take, so that pages
# without end don't fill the memory.
_MAX_RANGE_PAGES = 256
_MAX_RANGE_BYTES = 16 << 20

BodyT = TypeVar("BodyT")
LocatedT = TypeVar("LocatedT", items.ItemResponse, items.Events)


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Sends requests to the store, each on a new connection.

    Attributes:
        address: `HOST:PORT` of the store.
    """

    address: str

    async def read_key(
        self, key: str, timeout: float, *, stale: bool = False
    ) -> fetching.Response | fetching.NoResponse:
        """Read one key.

        Args:
            key: The key.
            timeout: Seconds after which the request counts as unanswered.
            stale: Whether the answer may be some seconds old.
        """
        query = _build_query(stale, key=key)
        return await self._get(const.PATH_KEY, query, timeout)

    async def read_range(
        self,
        prefix: str,
        timeout: float,
        *,
        after: str = "",
        limit: int | None = None,
        stale: bool = False,
    ) -> items.Page | fetching.NoResponse:
        """Read all keys under a prefix, page by page.

        Args:
            prefix: The prefix.
            timeout: Seconds after which the request for a page counts as
                unanswered.
            after: Key after which to start.
            limit: Number of items after which no further page is read; None
                for no limit.
            stale: Whether the answers may be some seconds old.

        Returns:
            All items as one page, with the revision of the first page. Pages
            are not a consistent snapshot, so changes made between them must be
            watched from that revision. Pages of different eras, or without end,
            are none.
        """
        all_items: list[items.Item] = []
        size = 0
        revision = 0
        era: int | None = None
        for _ in range(_MAX_RANGE_PAGES):
            query = _build_query(stale, prefix=prefix, after=after)
            answer = await self._get(const.PATH_RANGE, query, timeout)
            page = decode(answer, items.Page)
            if isinstance(page, fetching.NoResponse):
                return page
            size += _size_of(answer)
            if size > _MAX_RANGE_BYTES:
                break
            page_era = _era_of(answer)
            if isinstance(page_era, fetching.NoResponse):
                return page_era
            if era not in (None, page_era):
                return fetching.NoResponse("the store was restored meanwhile")
            era = page_era
            revision = revision or page.current_rev
            all_items.extend(page.items)
            more = page.has_more and bool(page.items)
            if not more or (limit is not None and len(all_items) >= limit):
                return items.Page(all_items, more, revision, era)
            after = page.items[-1].key
        return fetching.NoResponse("too many items")

    async def watch(
        self, prefix: str, after: int, wait: float, timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        """Wait for changes under a prefix (long polling).

        Args:
            prefix: The prefix.
            after: Revision after which changes are returned.
            wait: Maximum time that the store waits for a change, in seconds.
            timeout: Seconds after which the request counts as unanswered.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait * const.MILLISECONDS_PER_SECOND)),
        }
        return await self._get(const.PATH_WATCH, query, timeout)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        path_with_query = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        return await self._fetch(
            fetching.Request("GET", path_with_query), timeout
        )

    async def post(
        self, path: str, body: Any, timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        """Send a change; without an answer, it may have taken effect."""
        headers: tuple[tuple[str, str], ...] = ()
        data = b""
        if body is not None:
            headers = (("content-type", "application/json"),)
            data = msgspec.json.encode(body)
        request = fetching.Request("POST", path, headers, data)
        return await self._fetch(request, timeout)

    async def _fetch(
        self, request: fetching.Request, timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        fetched = await fetching.fetch(
            self.address, request, timeout, keepalive=True
        )
        if isinstance(fetched, result.Success):
            answer: fetching.Response = fetched.unwrap()
            return answer
        return fetched.failure()


def _build_query(stale: bool, **query: str) -> dict[str, str]:
    parameters = {name: value for name, value in query.items() if value}
    if stale:
        parameters["serializable"] = "1"
    return parameters


def _size_of(answer: fetching.Response | fetching.NoResponse) -> int:
    return len(answer.body) if isinstance(answer, fetching.Response) else 0


def _era_of(
    answer: fetching.Response | fetching.NoResponse,
) -> int | fetching.NoResponse:
    if isinstance(answer, fetching.NoResponse):
        return answer
    era = eras.era_of(answer)
    return fetching.NoResponse("invalid era") if era is None else era


def decode_located(
    answer: fetching.Response | fetching.NoResponse, body: type[LocatedT]
) -> LocatedT | fetching.NoResponse:
    """Decode the body of a successful answer, with positions for revisions."""
    decoded = decode(answer, body)
    if isinstance(decoded, fetching.NoResponse):
        return decoded
    era = _era_of(answer)
    if isinstance(era, fetching.NoResponse):
        return era
    located: list[items.Item]
    if isinstance(decoded, items.ItemResponse):
        located = [decoded]
        decoded.current_rev = decoded.current_rev or decoded.revision
    else:
        located = decoded.events
    eras.locate(located, era)
    decoded.current_rev = positions.position_of(era, decoded.current_rev)
    return decoded


def has_status(
    answer: fetching.Response | fetching.NoResponse, status: int
) -> TypeGuard[fetching.Response]:
    """Return whether an answer was received and has a status."""
    return isinstance(answer, fetching.Response) and answer.status == status


def decode(
    answer: fetching.Response | fetching.NoResponse, body: type[BodyT]
) -> BodyT | fetching.NoResponse:
    """Decode the body of a successful answer.

    Returns:
        The body; `NoResponse` with the reason if there is no answer, its status
        is not 200 or its body is not valid.
    """
    if isinstance(answer, fetching.NoResponse):
        return answer
    if answer.status != _OK:
        return fetching.NoResponse(f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=body)
    except decoding.ERRORS as exc:
        return fetching.NoResponse(f"invalid body: {exc}")
