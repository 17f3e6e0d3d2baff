"""Tests of the feed's client against a scripted store."""

import base64
import json
import urllib.parse

import curio
import h11
import logbook
import pytest
from tests.platform import test_documents as samples

from agateshelf.core import effects
from agateshelf.core import positions
from agateshelf.core.evacuation import models as evacuation_models
from agateshelf.core.feed import models
from agateshelf.platform import client as platform_client
from agateshelf.platform import documents
from agateshelf.platform import feed
from agateshelf.platform import items

ROUTES = models.Topic.ROUTES
TARGETS = models.Topic.TARGETS


def stored(key, value, revision):
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {
        "key": key,
        "value": text,
        "revision": revision,
        "created_rev": revision,
        "lease": 0,
    }


# Returned by a script to close the connection without an answer.
CLOSE = "cut"


class ScriptedStore:
    """Answers each request with the return value of a script.

    A script returns a status, a body and headers, `CLOSE` to close the
    connection or None not to answer.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.address = ""

    async def start(self):
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        await curio.spawn(self._accept, sock, daemon=True)

    async def _accept(self, sock):
        while True:
            conn, _ = await sock.accept()
            await curio.spawn(self._serve, conn, daemon=True)

    async def _serve(self, sock):
        protocol = h11.Connection(h11.SERVER)
        async with sock:
            while not isinstance(event := protocol.next_event(), h11.Request):
                if event is not h11.NEED_DATA:
                    return
                protocol.receive_data(await sock.recv(65536))
            path, _, query_string = event.target.decode().partition("?")
            query = dict(urllib.parse.parse_qsl(query_string))
            self.requests.append((path, query))
            answer = self.script(path, query)
            if answer is None:
                await curio.sleep(60)
                return
            if answer == CLOSE:
                return
            status, body = answer[:2]
            headers = b"".join(b"%b: %b\r\n" % pair for pair in answer[2:])
            data = (
                body if isinstance(body, bytes) else json.dumps(body).encode()
            )
            head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n"
            await sock.sendall(head % (status, headers, len(data)) + data)


def run_effect(script, effect):
    """Return the answer that the client posts for an effect, and the store."""
    posted = []

    async def post(event):
        posted.append(event)

    async def run():
        store = ScriptedStore(script)
        await store.start()
        client = feed.FeedClient(platform_client.Client(store.address))
        if isinstance(effect, effects.ReadFeed):
            await client.read(effect, post)
        else:
            await client.watch(effect, post)
        async with curio.timeout_after(5):
            while not posted:
                await curio.sleep(0.01)
        return store

    store = curio.run(run)
    (event,) = posted
    assert event.request == effect.request
    return event.answer, store


def routes_page(*others):
    routes = stored("op/config", samples.CONFIGURATION, 5)
    return {"items": [routes, *others], "has_more": False, "current_rev": 9}


def test_routes_and_evacuations_are_read_in_one_request():
    evacuations = [
        stored("op/evacuate/east", {}, 6),
        {**stored("op/evacuate/north", {}, 7), "value": "not base64"},
    ]
    answer, store = run_effect(
        lambda _path, _query: (200, routes_page(*evacuations)),
        effects.ReadFeed(1, ROUTES, True, 1.0),
    )
    assert answer.revision == 9
    assert answer.table.version == 7
    # One that can't be read is kept: nothing is sent rather than too much.
    assert answer.evacuated == ("east", "north")
    query = {"prefix": "op/", "serializable": "1"}
    assert store.requests == [("/kv-range", query)]


def test_an_unreadable_configuration_is_logged_once_for_each_revision():
    # A reader reads it every second, for as long as nobody mends it.
    client = feed.FeedClient(platform_client.Client(""))
    bad = {**samples.CONFIGURATION, "tenants": [{"api_keys": ["secret-key"]}]}
    with logbook.TestHandler() as log:
        for revision in (5, 5, 6, 6):
            item = samples.item(bad, "op/config", revision)
            client._decode_routes([item])
        client._decode_routes([samples.item(b"{", "op/config", 7)])
    tenants, _, whole = (record.message for record in log.records)
    assert tenants == "Key 'op/config': 1 unreadable tenants left out: 0."
    assert whole == "Key 'op/config': unreadable as a whole."


def test_a_registration_that_names_no_target_is_logged_once_for_each_revision():
    client = feed.FeedClient(platform_client.Client(""))
    gone = items.Item("servers/i-2", 4, tombstone=True)
    with logbook.TestHandler() as log:
        for revision in (5, 5, 6):
            odd = samples.item({"service": 3}, "servers/i-1", revision)
            client._decode_targets([odd, gone])
    assert [record.message for record in log.records] == [
        "Key 'servers/i-1': names no target to use."
    ] * 2


def test_routes_are_decoded_anew_only_if_they_changed():
    # Of two writes in one revision the position differs by the era.
    client = feed.FeedClient(platform_client.Client(""))
    first = samples.item(samples.CONFIGURATION, "op/config", 5)
    table = client._decode_routes([first])
    other = samples.item({}, "op/evacuate/east", 6)
    again = samples.item(samples.CONFIGURATION, "op/config", 5)
    assert client._decode_routes([again, other]) is table
    assert client._decode_routes([other]) is None
    for changes, revision in (({"version": 9}, 5), ({}, 7)):
        value = {**samples.CONFIGURATION, **changes}
        item = samples.item(value, "op/config", revision)
        found = client._decode_routes([item])
        assert found.revision == revision
        assert found.version == value["version"]
    assert client._decode_routes([samples.item(b"{", "op/config", 7)]) is None


def test_requested_and_withdrawn_evacuations_are_watched():
    changed = [
        stored("op/evacuate/east", {}, 31),
        {"key": "op/evacuate/west", "revision": 32, "tombstone": True},
        stored("op/evacuate/", {}, 33),
    ]
    answer, _ = run_effect(
        lambda _path, _query: (200, {"events": changed, "current_rev": 33}),
        effects.WatchFeed(1, ROUTES, 30, 5.0),
    )
    assert answer.table is None
    assert answer.evacuations == (
        evacuation_models.Change("east", 31, evacuated=True),
        evacuation_models.Change("west", 32, evacuated=False),
    )


def test_all_pages_of_registrations_are_read():
    def script(_path, query):
        first = "after" not in query
        name = "servers/a" if first else "servers/b"
        items = [stored(name, samples.TARGET, 3)]
        rev = 20 if first else 25
        return 200, {"items": items, "has_more": first, "current_rev": rev}

    answer, store = run_effect(script, effects.ReadFeed(1, TARGETS, False, 1.0))
    assert [target.id for target in answer.targets] == ["a", "b"]
    # Changes made between the pages must be watched from the first page on.
    assert answer.revision == 20
    assert store.requests[1][1]["after"] == "servers/a"


@pytest.mark.parametrize("size", [10, 5_000_000])
@pytest.mark.parametrize("is_repeated", [False, True])
def test_a_store_that_never_ends_its_pages_is_unavailable(is_repeated, size):
    """Guards against incident LOST: the pages filled an entry's memory."""

    def script(_path, query):
        number = 0 if is_repeated else int(query.get("after", "servers/0")[8:])
        item = {"key": f"servers/{number + 1}", "revision": 3}
        item["value"] = "x" * size
        return 200, {"items": [item], "has_more": True, "current_rev": 20}

    answer, store = run_effect(script, effects.ReadFeed(1, TARGETS, False, 1.0))
    assert isinstance(answer, models.Unavailable)
    assert len(store.requests) * size <= 24 << 20


def test_changes_are_watched():
    events = [
        stored("servers/a", samples.TARGET, 31),
        {"key": "servers/b", "revision": 32, "tombstone": True},
    ]
    answer, store = run_effect(
        lambda _path, _query: (200, {"events": events, "current_rev": 32}),
        effects.WatchFeed(1, TARGETS, 30, 5.0),
    )
    assert answer.revision == 32
    assert [target.id for target in answer.targets] == ["a", "b"]
    query = {"prefix": "servers/", "after": "30", "wait_ms": "5000"}
    assert store.requests == [("/kv-watch", query)]


def test_lost_history_is_reported():
    answer, _ = run_effect(
        lambda _path, _query: (410, {}), effects.WatchFeed(1, TARGETS, 3, 5.0)
    )
    assert answer == models.HistoryGone()


def test_closed_connection_is_reported_as_unavailable():
    answer, _ = run_effect(
        lambda _path, _query: CLOSE, effects.WatchFeed(1, TARGETS, 3, 5.0)
    )
    assert isinstance(answer, models.Unavailable)
    assert answer.reason


@pytest.mark.parametrize(
    "script",
    [
        lambda _path, _query: (503, {}),
        lambda _path, _query: (429, {}),
        lambda _path, _query: (404, {}),
        lambda _path, _query: (200, b"not json"),
        lambda _path, _query: (200, {"items": 3}),
        lambda _path, _query: (200, b'{"a":' + samples.NESTED + b"}"),
        lambda _path, _query: None,
    ],
)
def test_failed_read_is_reported_with_a_reason(script):
    answer, _ = run_effect(script, effects.ReadFeed(1, ROUTES, False, 0.3))
    assert isinstance(answer, models.Unavailable)
    assert answer.reason


def era(number):
    return (b"Store-Era", number)


def test_revisions_of_a_later_era_are_later_positions():
    answer, _ = run_effect(
        lambda _path, _query: (200, routes_page(), era(b"3")),
        effects.ReadFeed(1, ROUTES, False, 1.0),
    )
    assert answer.revision == positions.position_of(3, 9)
    assert answer.revision > positions.position_of(2, 10**6)


def test_registrations_are_located_in_the_era_of_their_answer():
    page = {
        "items": [stored("servers/a", samples.TARGET, 3)],
        "has_more": False,
        "current_rev": 20,
    }
    answer, _ = run_effect(
        lambda _path, _query: (200, page, era(b"2")),
        effects.ReadFeed(1, TARGETS, False, 1.0),
    )
    assert answer.targets[0].revision == positions.position_of(2, 3)
    assert answer.revision == positions.position_of(2, 20)


def test_a_watch_from_an_earlier_era_has_lost_its_history():
    # The store may have given out the revisions up to 30 again meanwhile.
    changes = {"events": [], "current_rev": 32}
    answer, store = run_effect(
        lambda _path, _query: (200, changes, era(b"2")),
        effects.WatchFeed(1, TARGETS, positions.position_of(1, 30), 5.0),
    )
    assert answer == models.HistoryGone()
    assert store.requests[0][1]["after"] == "30"


def test_pages_of_different_eras_are_no_answer():
    eras = iter((b"1", b"2"))

    def script(_path, query):
        first = "after" not in query
        page = {
            "items": [stored("servers/a", samples.TARGET, 3)],
            "has_more": first,
            "current_rev": 20,
        }
        return 200, page, era(next(eras))

    answer, _ = run_effect(script, effects.ReadFeed(1, TARGETS, False, 1.0))
    assert isinstance(answer, models.Unavailable)


@pytest.mark.parametrize("value", [b"", b"-1", b"x", b"1.5", b"9" * 19])
def test_an_invalid_era_is_no_answer(value):
    changes = {"events": [], "current_rev": 32}
    answer, _ = run_effect(
        lambda _path, _query: (200, changes, era(value)),
        effects.WatchFeed(1, TARGETS, 30, 5.0),
    )
    assert isinstance(answer, models.Unavailable)


@pytest.mark.parametrize(
    "effect",
    [
        effects.ReadFeed(1, TARGETS, False, 1.0),
        effects.WatchFeed(1, TARGETS, 30, 5.0),
    ],
)
def test_an_unexpected_error_of_a_request_is_an_answer(effect, monkeypatch):
    # Without an answer the feed waits for ever, while its reader goes on to
    # announce that it is current.
    def fail(_items):
        raise ZeroDivisionError

    monkeypatch.setattr(documents, "decode_targets", fail)
    page = {"items": [], "events": [], "has_more": False, "current_rev": 32}
    with logbook.TestHandler() as log:
        answer, _ = run_effect(lambda _path, _query: (200, page), effect)
    assert isinstance(answer, models.Unavailable)
    assert "ZeroDivisionError" in answer.reason
    assert log.has_errors
