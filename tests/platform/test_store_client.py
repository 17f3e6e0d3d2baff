"""The client of the platform's store, against the stand-in of the store."""

import curio
import pytest
from tests.standins import test_standins

from agateshelf.core import storage
from agateshelf.platform import client
from agateshelf.platform import store


@pytest.fixture
def port():
    with test_standins.started("store", "--latency-ms", "0") as (_, port):
        yield port


@pytest.fixture
def ask(port):
    """Return what the client answers to a request of the core."""
    asker = store.StoreClient(client.Client(f"127.0.0.1:{port}"))

    def run(body, timeout=2.0):
        return curio.run(asker.execute, body, timeout)

    return run


def test_a_key_is_written_read_and_deleted(ask):
    assert ask(storage.Read("a")) == storage.NotFound()
    assert ask(storage.CompareAndSwap("a", 0, b"1")) == storage.Swapped(1)
    assert ask(storage.Read("a")) == storage.Found(
        storage.KeyValue("a", 1, b"1")
    )
    assert ask(storage.CompareAndSwap("a", 0, b"2")) == storage.Conflict(1)
    assert ask(storage.CompareAndSwap("b", 7, b"2")) == storage.Conflict(0)
    assert ask(storage.Delete("a", 1)) == storage.Swapped(2)
    assert ask(storage.Read("a")) == storage.NotFound()


def test_a_range_is_read_page_by_page(ask):
    for number in range(520):
        ask(storage.CompareAndSwap(f"p/{number:03d}", 0, b""))
    whole = ask(storage.Range("p/"))
    assert len(whole.key_values) == 520
    assert not whole.more
    part = ask(storage.Range("p/", after="p/009", limit=10))
    assert part.key_values[0].key == "p/010"
    assert part.more


def test_a_watch_tells_what_changed(ask):
    ask(storage.CompareAndSwap("a/1", 0, b"1"))
    ask(storage.CompareAndSwap("b", 0, b"1"))
    assert ask(storage.Watch("a/", 0, 1.0)) == storage.Changes(2, ("a/1",))
    assert ask(storage.Watch("a/", 2, 0.05)) == storage.Changes(2, ())


def test_keys_go_with_their_lease(ask):
    lease = ask(storage.GrantLease(0.2)).lease
    assert ask(storage.RenewLease(lease)) == storage.LeaseGranted(lease)
    assert ask(storage.CompareAndSwap("a", 0, b"1", lease)) == storage.Swapped(
        1
    )
    assert ask(storage.Watch("a", 1, 2.0), 3.0).keys == ("a",)
    assert ask(storage.Read("a")) == storage.NotFound()
    assert ask(storage.RenewLease(lease)) == storage.NotFound()
    assert (
        ask(storage.CompareAndSwap("a", 0, b"1", lease)) == storage.NotFound()
    )


def test_a_refusal_did_nothing_and_silence_may_have(ask, port):
    test_standins.control(port, outage=True)
    assert ask(storage.CompareAndSwap("a", 0, b"1")) == storage.Overloaded()
    test_standins.control(port, outage=False, lose_answers=1)
    assert ask(storage.CompareAndSwap("a", 0, b"1")) == storage.NoAnswer()
    assert ask(storage.Read("a")).key_value.value == b"1"
    test_standins.control(port, silent=True)
    assert ask(storage.Read("a"), 0.2) == storage.NoAnswer()


def test_history_that_is_gone_is_read_anew(ask, port):
    ask(storage.CompareAndSwap("a", 0, b"1"))
    test_standins.control(port, forgotten=1)
    assert ask(storage.Watch("a", 0, 1.0)) == storage.Overloaded()


def test_the_platforms_own_keys_are_not_written(ask):
    assert (
        ask(storage.CompareAndSwap("op/config", 0, b"1"))
        == storage.Overloaded()
    )
