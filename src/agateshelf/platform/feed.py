"""Reads and watches the routes and registrations in the platform's store."""

import dataclasses

import curio
import logbook

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import positions
from agateshelf.core.directory import models as directory_models
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import models as feed_models
from agateshelf.core.routes import models as route_models
from agateshelf.daemon import fetching
from agateshelf.daemon import posting
from agateshelf.platform import client as platform_client
from agateshelf.platform import const
from agateshelf.platform import documents
from agateshelf.platform import eras
from agateshelf.platform import items

_log = logbook.Logger("feed")

_GONE = 410
# Unreadable values that are remembered as logged.
_MAX_UNREADABLE = 64
# Time beyond the requested wait after which a watch counts as unanswered.
_WATCH_MARGIN_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class FeedClient:
    """Carries out the core's reads and watches, each in a task of its own.

    Attributes:
        client: Client of the store.
        watches: Tasks of the pending watches.
        unreadable: Revision that was last logged as unreadable, by key.
        decoded: The routes that were last decoded, as stored and as decoded.
    """

    client: platform_client.Client
    watches: set[curio.Task] = dataclasses.field(default_factory=set)
    unreadable: dict[str, int] = dataclasses.field(default_factory=dict)
    decoded: tuple[list[items.Item], route_models.RouteTable | None] | None = (
        None
    )

    async def read(self, effect: effects.ReadFeed, post: posting.Post) -> None:
        """Start to read a topic; `FeedAnswered` is posted at the end."""
        await curio.spawn(self._read, effect, post, daemon=True)

    async def _read(self, effect: effects.ReadFeed, post: posting.Post) -> None:
        try:
            answer = await self._read_topic(effect)
        except Exception as exc:
            answer = _report_unexpected(effect, exc)
        await post(events.FeedAnswered(effect.request, answer))

    async def _read_topic(
        self, effect: effects.ReadFeed
    ) -> feed_models.FeedAnswer:
        match effect.topic:
            case feed_models.Topic.ROUTES:
                return await self._read_routes(effect)
            case feed_models.Topic.TARGETS:
                return await self._read_targets(effect)

    async def _read_routes(
        self, effect: effects.ReadFeed
    ) -> feed_models.FeedAnswer:
        """Read the routes and the evacuations, in one request."""
        page = await self.client.read_range(
            const.PREFIX_ROUTES, effect.timeout, stale=effect.stale
        )
        if isinstance(page, fetching.NoResponse):
            return feed_models.Unavailable(page.reason)
        if all(item.key != const.KEY_ROUTES for item in page.items):
            return feed_models.Unavailable("no routes have been written yet")
        eras.locate(page.items, page.era)
        return feed_models.Snapshot(
            positions.position_of(page.era, page.current_rev),
            self._decode_routes(page.items),
            evacuated=tuple(
                change.failure_domain
                for change in self._decode_evacuations(page.items)
                if change.evacuated
            ),
        )

    def _decode_routes(
        self, stored: list[items.Item]
    ) -> route_models.RouteTable | None:
        """Decode the routes; log once what can't be read of a revision.

        A reader reads them every second, mostly unchanged.
        """
        found = [item for item in stored if item.key == const.KEY_ROUTES]
        if found and self.decoded is not None and self.decoded[0] == found:
            return self.decoded[1]
        decoded = documents.decode_configuration(found)
        if decoded.problem:
            self._warn_once(const.KEY_ROUTES, decoded.revision, decoded.problem)
        if found:
            self.decoded = (found, decoded.table)
        return decoded.table

    def _warn_once(self, key: str, revision: int, problem: str) -> None:
        """Log what is wrong with a value, unless that was logged before."""
        if self.unreadable.get(key) == revision:
            return
        if len(self.unreadable) >= _MAX_UNREADABLE:
            self.unreadable.clear()
        self.unreadable[key] = revision
        _log.warning("Key {!r}: {}.", key, problem)

    def _decode_evacuations(
        self, stored: list[items.Item]
    ) -> tuple[evacuation_models.Change, ...]:
        """Decode evacuations; log each unreadable one once."""
        for item in documents.find_unreadable_evacuations(stored):
            self._warn_once(item.key, item.revision, "unreadable value")
        return documents.decode_evacuations(stored)

    async def _read_targets(
        self, effect: effects.ReadFeed
    ) -> feed_models.FeedAnswer:
        page = await self.client.read_range(
            const.PREFIX_TARGETS, effect.timeout, stale=effect.stale
        )
        if isinstance(page, fetching.NoResponse):
            return feed_models.Unavailable(page.reason)
        eras.locate(page.items, page.era)
        return feed_models.Snapshot(
            positions.position_of(page.era, page.current_rev),
            targets=self._decode_targets(page.items),
        )

    def _decode_targets(
        self, stored: list[items.Item]
    ) -> tuple[directory_models.Item, ...]:
        """Decode registrations; log each unreadable one once."""
        decoded = documents.decode_targets(stored)
        for item, target in zip(stored, decoded, strict=True):
            is_absent = isinstance(target, directory_models.Removal)
            if is_absent and not item.tombstone:
                self._warn_once(
                    item.key, item.revision, "names no target to use"
                )
        return decoded

    async def watch(
        self, effect: effects.WatchFeed, post: posting.Post
    ) -> None:
        """Start to watch a topic; `FeedAnswered` is posted at the end."""
        task = await curio.spawn(self._watch, effect, post, daemon=True)
        self.watches.add(task)

    async def _watch(
        self, effect: effects.WatchFeed, post: posting.Post
    ) -> None:
        try:
            answer = await self._read_changes(effect)
        except Exception as exc:
            answer = _report_unexpected(effect, exc)
        finally:
            self.watches.discard(await curio.current_task())
        await post(events.FeedAnswered(effect.request, answer))

    async def _read_changes(
        self, effect: effects.WatchFeed
    ) -> feed_models.FeedAnswer:
        answer = await self.client.watch(
            _PREFIXES[effect.topic],
            positions.revision_of(effect.after),
            effect.wait,
            effect.wait + _WATCH_MARGIN_SECONDS,
        )
        if platform_client.has_status(answer, _GONE):
            return feed_models.HistoryGone()
        body = platform_client.decode_located(answer, items.Events)
        if isinstance(body, fetching.NoResponse):
            return feed_models.Unavailable(body.reason)
        if positions.era_of(body.current_rev) != positions.era_of(effect.after):
            # The store may have given out the revisions up to `after` again.
            return feed_models.HistoryGone()
        match effect.topic:
            case feed_models.Topic.ROUTES:
                table = self._decode_routes(body.events)
                written_at = max(
                    (
                        item.revision
                        for item in body.events
                        if item.key == const.KEY_ROUTES
                    ),
                    default=0,
                )
                read_at = 0 if table is None else table.revision
                return feed_models.Changes(
                    body.current_rev,
                    table,
                    evacuations=self._decode_evacuations(body.events),
                    is_unreadable=read_at < written_at,
                )
            case feed_models.Topic.TARGETS:
                targets = self._decode_targets(body.events)
                return feed_models.Changes(body.current_rev, targets=targets)

    async def stop(self) -> None:
        """Cancel the pending watches."""
        for task in list(self.watches):
            await task.cancel(blocking=False)


def _report_unexpected(
    effect: effects.ReadFeed | effects.WatchFeed, exc: Exception
) -> feed_models.Unavailable:
    """Log an unexpected error of a request, which the core then retries."""
    _log.exception("Unexpected error on {}.", effect.topic.value)
    return feed_models.Unavailable(f"unexpected {type(exc).__name__}")


_PREFIXES = {
    feed_models.Topic.ROUTES: const.PREFIX_ROUTES,
    feed_models.Topic.TARGETS: const.PREFIX_TARGETS,
}
