"""Tests of withheld requests in the platform's store, in virtual time.

Guards against entries that are all lost at once and forget a
request that crashes its targets.
"""

import math

import msgspec
import pytest
from tests.core import crash_fleet

from agateshelf.core import events
from agateshelf.core import storage
from agateshelf.core.poison import const
from agateshelf.core.poison import messages
from agateshelf.core.poison import persistence
from bench import fakestore

DOMAINS = ("boston", "hartford", "portland", "providence")
STABLE_SECONDS = 3.0


def create_fleet(entries=4, seed=1):
    domains = [DOMAINS[number % len(DOMAINS)] for number in range(entries)]
    return crash_fleet.CrashFleet(
        crash_fleet.Ending.REFUSED, domains, seed=seed
    )


def withhold(fleet):
    fleet.send_marked(next(iter(fleet.nodes)))
    fleet.run_for(1.0)


def stored_keys(fleet):
    page = fleet.store.answer(storage.Range(const.KEY_PREFIX), fleet.now)
    return [item.key for item in page.key_values]


def lose_all(fleet, down_seconds=0.5):
    for name in fleet.nodes:
        fleet.kill(name)
    fleet.run_for(down_seconds)
    for name in fleet.nodes:
        fleet.restart(name)


def withholding(fleet):
    return sum(fleet.withholds_marked(node) for node in fleet.nodes.values())


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("entries", [1, 4, 13])
def test_all_entries_hold_it_again_before_their_sends_count(entries, seed):
    fleet = create_fleet(entries, seed)
    withhold(fleet)
    lose_all(fleet)
    fleet.run_for(STABLE_SECONDS)
    assert withholding(fleet) == entries


def test_a_request_is_stored_once_however_many_readers_there_are():
    fleet = create_fleet(13)
    before = len(fleet.store_requests)
    withhold(fleet)
    assert len(stored_keys(fleet)) == 1
    # A lease and a write for each of four readers.
    fleet.run_for(30.0)
    assert len(fleet.store_requests) - before <= 2 * len(DOMAINS)


def test_entries_lost_many_times_keep_to_the_time_limit():
    fleet = create_fleet()
    withhold(fleet)
    for _ in range(8):
        fleet.run_for(const.CRASH_TTL_SECONDS / 10)
        lose_all(fleet)
    fleet.run_for(STABLE_SECONDS)
    assert withholding(fleet) == 4
    fleet.run_for(const.CRASH_TTL_SECONDS / 5)
    assert withholding(fleet) == 0
    assert stored_keys(fleet) == []


def test_a_request_is_stored_once_the_store_is_back():
    fleet = create_fleet()
    for node in fleet.nodes.values():
        node.store_silent = True
    withhold(fleet)
    fleet.run_for(20.0)
    assert stored_keys(fleet) == []
    for node in fleet.nodes.values():
        node.store_silent = False
    fleet.run_for(const.MAX_STORE_RETRY_SECONDS + 4.0)
    assert len(stored_keys(fleet)) == 1


def test_entries_that_start_while_the_store_is_away_read_it_later():
    fleet = create_fleet()
    withhold(fleet)
    for node in fleet.nodes.values():
        node.store_silent = True
    lose_all(fleet)
    fleet.run_for(10.0)
    assert withholding(fleet) == 0
    for node in fleet.nodes.values():
        node.store_silent = False
    fleet.run_for(const.MAX_STORE_RETRY_SECONDS + 4.0)
    assert withholding(fleet) == 4


def test_a_request_is_stored_again_once_the_store_was_restored():
    fleet = create_fleet()
    withhold(fleet)
    # The copy has neither the request nor the lease.
    fleet.store = fakestore.FakeStore()
    for node in fleet.nodes.values():
        fleet.post(node, events.StoreRestored())
    fleet.run_for(2.0)
    assert len(stored_keys(fleet)) == 1


def test_a_request_that_crashes_targets_once_more_is_stored_once_more():
    fleet = create_fleet()
    withhold(fleet)
    fleet.run_for(const.CRASH_TTL_SECONDS + 5.0)
    assert stored_keys(fleet) == []
    withhold(fleet)
    assert len(stored_keys(fleet)) == 1


# Nested too deeply for the decoder, and a time that is not a number.
NESTED = b"\x82\xa5until\x01\xa7unknown" + b"\x91" * 5000 + b"\x90"
NOT_A_NUMBER = persistence.StoredRequest(
    math.nan, (messages.CrashReport(b"0" * 16, "t0", 1, "", 1, 9.0),)
)


@pytest.mark.parametrize(
    "value", [b"?", NESTED, msgspec.msgpack.encode(NOT_A_NUMBER)]
)
def test_an_invalid_stored_request_does_not_hide_the_others(value):
    fleet = create_fleet()
    fleet.store.answer(
        storage.CompareAndSwap(const.KEY_PREFIX + "00", 0, value), fleet.now
    )
    withhold(fleet)
    lose_all(fleet)
    fleet.run_for(STABLE_SECONDS)
    assert withholding(fleet) == 4


def test_a_request_with_one_crash_is_not_stored():
    fleet = crash_fleet.CrashFleet(crash_fleet.Ending.REFUSED, targets=1)
    fleet.send_marked(next(iter(fleet.nodes)))
    fleet.run_for(2.0)
    assert len(fleet.crashes) == 1
    assert stored_keys(fleet) == []


class LaggingStore:
    """A store whose copies, which stale reads get, hold nothing yet."""

    def __init__(self, store):
        self.store = store

    def answer(self, request, now):
        if isinstance(request, storage.Range) and request.stale:
            return storage.RangePage(1, (), more=False)
        return self.store.answer(request, now)


def test_a_copy_that_lags_hides_nothing_for_long():
    # All entries start again before the store's copies hold the request.
    fleet = create_fleet()
    withhold(fleet)
    fleet.store = LaggingStore(fleet.store)
    lose_all(fleet)
    fleet.run_for(0.1)
    assert withholding(fleet) == 4


def test_a_lone_entry_sends_nothing_before_its_first_read():
    fleet = create_fleet(entries=1)
    (node,) = fleet.nodes.values()
    node.store_silent = True
    lose_all(fleet)
    node.state.routes.table = fleet.table
    call = fleet.request()
    assert fleet.response(call)[1].reason == "not-ready"
    # The read fails, and no other entry could know more.
    fleet.run_for(const.STORE_TIMEOUT_SECONDS + 0.1)
    call = fleet.request()
    response = fleet.response(call)
    assert response is None or response[1].reason != "not-ready"
