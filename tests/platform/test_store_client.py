"""Tests of the client of the platform's store against its stand-in."""

import curio
import pytest
from tests.standins import test_standins

from agateshelf.core import effects
from agateshelf.core import events
from agateshelf.core import storage
from agateshelf.daemon import fetching
from agateshelf.platform import client
from agateshelf.platform import store


@pytest.fixture
def port():
    with test_standins.start_stand_in("store", "--latency-ms", "0") as (
        _,
        port,
    ):
        yield port


@pytest.fixture
def execute(port):
    """Return a function that executes a request and returns its answer."""
    store_client = store.StoreClient(client.Client(f"127.0.0.1:{port}"))

    def run(body, timeout=2.0):
        return curio.run(store_client.execute, body, timeout)

    return run


def test_key_is_written_read_and_deleted(execute):
    assert execute(storage.Read("a")) == storage.NotFound()
    assert execute(storage.CompareAndSwap("a", 0, b"1")) == storage.Swapped(1)
    assert execute(storage.Read("a")) == storage.Found(
        storage.KeyValue("a", 1, b"1")
    )
    assert execute(storage.CompareAndSwap("a", 0, b"2")) == storage.Conflict(1)
    assert execute(storage.CompareAndSwap("b", 7, b"2")) == storage.Conflict(0)
    assert execute(storage.Delete("a", 1)) == storage.Swapped(2)
    assert execute(storage.Read("a")) == storage.NotFound()


def test_range_is_read_page_by_page(execute):
    for number in range(520):
        execute(storage.CompareAndSwap(f"p/{number:03d}", 0, b""))
    whole = execute(storage.Range("p/"))
    assert len(whole.key_values) == 520
    assert not whole.more
    part = execute(storage.Range("p/", after="p/009", limit=10))
    assert part.key_values[0].key == "p/010"
    assert part.more


def test_range_may_be_read_from_an_old_copy(execute):
    execute(storage.CompareAndSwap("p/1", 0, b"1"))
    page = execute(storage.Range("p/", stale=True))
    assert [item.key for item in page.key_values] == ["p/1"]


def test_watch_returns_changed_keys(execute):
    execute(storage.CompareAndSwap("a/1", 0, b"1"))
    execute(storage.CompareAndSwap("b", 0, b"1"))
    assert execute(storage.Watch("a/", 0, 1.0)) == storage.Changes(2, ("a/1",))
    assert execute(storage.Watch("a/", 2, 0.05)) == storage.Changes(2, ())


def test_keys_expire_with_their_lease(execute):
    lease = execute(storage.GrantLease(0.2)).lease
    assert execute(storage.RenewLease(lease)) == storage.LeaseGranted(lease)
    assert execute(
        storage.CompareAndSwap("a", 0, b"1", lease)
    ) == storage.Swapped(1)
    assert execute(storage.Watch("a", 1, 2.0), 3.0).keys == ("a",)
    assert execute(storage.Read("a")) == storage.NotFound()
    assert execute(storage.RenewLease(lease)) == storage.NotFound()
    assert (
        execute(storage.CompareAndSwap("a", 0, b"1", lease))
        == storage.NotFound()
    )


def test_refused_write_has_no_effect_and_unanswered_may(execute, port):
    test_standins.set_options(port, outage=True)
    assert execute(storage.CompareAndSwap("a", 0, b"1")) == storage.Rejected()
    test_standins.set_options(port, outage=False, lose_answers=1)
    assert execute(storage.CompareAndSwap("a", 0, b"1")) == storage.NoAnswer()
    assert execute(storage.Read("a")).key_value.value == b"1"
    test_standins.set_options(port, silent=True)
    assert execute(storage.Read("a"), 0.2) == storage.NoAnswer()


def test_watch_of_lost_history_is_refused(execute, port):
    execute(storage.CompareAndSwap("a", 0, b"1"))
    test_standins.set_options(port, forgotten=1)
    assert execute(storage.Watch("a", 0, 1.0)) == storage.Rejected()


def test_keys_of_the_platform_are_not_written(execute):
    assert (
        execute(storage.CompareAndSwap("op/config", 0, b"1"))
        == storage.Rejected()
    )


def test_a_conflict_that_is_nested_too_deeply_wrote_nothing():
    body = b'{"a":' + b"[" * 5000 + b"]" * 5000 + b"}"
    answer = fetching.Response(412, (), body)
    assert store._to_conflict(answer, "a") == storage.Rejected()


def test_an_unexpected_error_of_a_request_is_no_answer(monkeypatch):
    # Without an answer the core would wait for it for ever.
    async def fail(*_arguments, **_options):
        raise ZeroDivisionError

    posted = []

    async def post(event):
        posted.append(event)

    async def run():
        store_client = store.StoreClient(client.Client("127.0.0.1:9"))
        await store_client.send(
            effects.SendStoreRequest(7, storage.Read("a"), 1.0), post
        )
        await curio.sleep(0.1)

    monkeypatch.setattr(client.Client, "read_key", fail)
    curio.run(run)
    assert posted == [events.StoreAnswered(7, storage.NoAnswer())]
