"""The client of the platform's store, for all who ask it anything."""

import dataclasses
from typing import Any
from typing import TypeGuard
from typing import TypeVar
import urllib.parse

import msgspec
from returns import result

from agateshelf.daemon import fetching
from agateshelf.platform import const
from agateshelf.platform import items

_OK = 200

BodyT = TypeVar("BodyT")


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Asks the store, each time on a connection of its own.

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
            timeout: Seconds after which it counts as unanswered.
            stale: Whether the answer may be some seconds old.
        """
        query = _query_of(stale, key=key)
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
        """Read the keys under a prefix, page by page.

        Args:
            prefix: The prefix.
            timeout: Seconds after which a page counts as unanswered.
            after: Key after which to begin.
            limit: Number of items after which no further page is read.
            stale: Whether the answers may be some seconds old.

        Returns:
            All items as one page. Its revision is the first page's: pages are
            no snapshot, so what changed meanwhile is to be watched from there.
        """
        found: list[items.Item] = []
        revision = 0
        while True:
            query = _query_of(stale, prefix=prefix, after=after)
            answer = await self._get(const.PATH_RANGE, query, timeout)
            page = decode(answer, items.Page)
            if isinstance(page, fetching.NoResponse):
                return page
            revision = revision or page.current_rev
            found.extend(page.items)
            more = page.has_more and bool(page.items)
            if not more or (limit is not None and len(found) >= limit):
                return items.Page(found, more, revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait: float, timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        """Wait for changes under a prefix.

        Args:
            prefix: The prefix.
            after: Revision after which changes count.
            wait: Seconds that the store waits for one at most.
            timeout: Seconds after which it counts as unanswered.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait * const.MILLISECONDS)),
        }
        return await self._get(const.PATH_WATCH, query, timeout)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        return await self._fetch(fetching.Request("GET", target), timeout)

    async def post(
        self, path: str, body: Any, timeout: float
    ) -> fetching.Response | fetching.NoResponse:
        """Change something; without an answer, it may have happened."""
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


def _query_of(stale: bool, **query: str) -> dict[str, str]:
    given = {name: value for name, value in query.items() if value}
    if stale:
        given["serializable"] = "1"
    return given


def has_status(
    answer: fetching.Response | fetching.NoResponse, status: int
) -> TypeGuard[fetching.Response]:
    """Return whether there is an answer, and with this status."""
    return isinstance(answer, fetching.Response) and answer.status == status


def decode(
    answer: fetching.Response | fetching.NoResponse, body: type[BodyT]
) -> BodyT | fetching.NoResponse:
    """Return the body of a good answer.

    Returns:
        The body; `NoResponse` with the reason if the answer is not good.
    """
    if isinstance(answer, fetching.NoResponse):
        return answer
    if answer.status != _OK:
        return fetching.NoResponse(f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=body)
    except (msgspec.MsgspecError, UnicodeError) as exc:
        return fetching.NoResponse(f"unreadable answer: {exc}")
