"""Tests of claims on reducers in virtual time, judged by the target ledger."""

import pytest

from agateshelf.core.claims import const
from agateshelf.core.configuration import models
from bench import bookings_world
from bench import fakestore

CLEAN = bookings_world.Violations(0, 0, 0, 0)


def outcomes(booking):
    return [copy.result for copy in booking.requests]


def two_entries(world):
    first, second = world.entries.values()
    return first, second


def test_a_booking_runs_once_and_its_duplicate_gets_the_recorded_answer():
    world = bookings_world.World(1, seed=1)
    booking = world.book("k")
    world.run(1.0)
    world.send(booking)
    world.run(2.0)
    assert outcomes(booking) == ["ok", "ok"]
    assert len(world.ledger) == 1


def test_a_duplicate_gets_the_same_answer_at_a_replacement_entry():
    world = bookings_world.World(2, seed=1)
    first, second = two_entries(world)
    booking = world.book("k", first)
    world.run(1.0)
    world.replace(first)
    world.run(5.0)
    world.send(booking, second)
    world.send(booking, world.entries["e2"])
    world.run(10.0)
    assert outcomes(booking) == ["ok", "ok", "ok"]
    assert len(world.ledger) == 1


def test_both_copies_in_flight_at_two_entries_run_once():
    for seed in range(20):
        world = bookings_world.World(2, seed=seed)
        first, second = two_entries(world)
        booking = world.book("k", first)
        world.send(booking, second)
        world.run(1.0)
        assert sorted(outcomes(booking)) == ["ok", "unknown"]
        assert len(world.ledger) == 1


def test_the_same_key_with_another_request_is_refused():
    world = bookings_world.World(1, seed=1)
    (entry,) = world.entries.values()
    world.book("k")
    world.run(1.0)
    copy = bookings_world.BookingRequest(
        99, bookings_world.Booking("k"), world.now
    )
    entry.requests[99] = copy
    entry.post(
        bookings_world.events.RequestArrived(
            99, "dealer", "POST", "/bookings/2", "k"
        )
    )
    world.run(2.0)
    assert (copy.result, copy.reason) == ("not-run-final", "key-reused")


def test_keys_of_two_callers_do_not_collide():
    world = bookings_world.World(1, seed=1)
    (entry,) = world.entries.values()
    world.book("k")
    copy = bookings_world.BookingRequest(
        99, bookings_world.Booking("k"), world.now
    )
    entry.requests[99] = copy
    entry.post(
        bookings_world.events.RequestArrived(
            99, "other", "POST", "/bookings/1", "k"
        )
    )
    world.run(1.0)
    assert copy.result == "ok"
    assert len(world.ledger) == 2


def test_a_lost_store_answer_is_read_back_before_anything_runs():
    world = bookings_world.World(1, seed=1)
    world.unanswered_writes = 1
    booking = world.book("k")
    world.run(1.0)
    assert outcomes(booking) == ["ok"]
    assert len(world.ledger) == 1
    assert world.counts["claims.store_failures"] == 1


def test_a_claim_refused_by_targets_is_released():
    world = bookings_world.World(
        1, seed=1, faults=bookings_world.Faults(refused=1.0)
    )
    booking = world.book("k")
    world.run(1.0)
    world.faults.refused = 0.0
    world.send(booking)
    world.run(2.0)
    assert outcomes(booking)[1] == "ok"
    assert bookings_world.count_violations(world) == CLEAN


def test_a_cut_answer_stays_unknown_and_never_runs_again():
    world = bookings_world.World(
        1, seed=1, faults=bookings_world.Faults(truncated_answers=1.0)
    )
    booking = world.book("k")
    world.run(1.0)
    world.faults.truncated_answers = 0.0
    world.send(booking)
    world.run(2.0)
    assert outcomes(booking) == ["unknown", "unknown-final"]
    assert len(world.ledger) == 1


def test_store_outage_refuses_at_once_and_never_says_not_run():
    world = bookings_world.World(2, seed=1)
    world.store_unavailable = True
    first = world.book("k")
    world.run(3.0)
    second = world.book("l")
    world.run(5.0)
    assert outcomes(first) == ["unknown"]
    assert outcomes(second) == ["unknown"]
    copy = second.requests[0]
    assert copy.reason == "claims-unavailable"
    assert copy.answered_at - copy.sent_at < 1.6
    assert not world.ledger


def test_store_outage_with_run_unclaimed_runs():
    service = bookings_world.create_service(
        store_outage_policy=models.StoreOutagePolicy.RUN_UNCLAIMED
    )
    world = bookings_world.World(1, seed=1, service=service)
    world.store_unavailable = True
    booking = world.book("k")
    world.run(3.0)
    assert outcomes(booking) == ["ok"]


def test_bookings_go_on_after_an_outage():
    world = bookings_world.World(2, seed=1)
    world.store_unavailable = True
    booking = world.book("k")
    world.run(3.0)
    world.store_unavailable = False
    world.run(5.0)
    world.send(booking)
    world.run(7.0)
    assert outcomes(booking) == ["unknown", "ok"]


@pytest.mark.parametrize("pause", [1.0, 5.0, 200.0])
def test_an_owner_resumed_after_a_pause_runs_nothing_twice(pause):
    for seed in range(5):
        world = bookings_world.World(2, seed=seed)
        first, second = two_entries(world)
        bookings = [world.book(f"k{n}", first) for n in range(20)]
        world.run(0.004)
        world.pause(first, pause)
        for booking in bookings:
            world.send(booking, second)
        world.run(pause + 10.0)
        for booking in bookings:
            world.send(booking)
        world.run(pause + 20.0)
        assert bookings_world.count_violations(world) == CLEAN


def test_a_dead_owner_does_not_delay_claims():
    world = bookings_world.World(3, seed=1)
    world.run(0.1)
    dead = world.entries["e0"]
    dead.alive = False
    bookings = [
        world.book(f"k{n}", world.entries[f"e{1 + n % 2}"]) for n in range(40)
    ]
    world.run(3.0)
    assert {outcome for b in bookings for outcome in outcomes(b)} == {"ok"}
    assert max(waited for _, waited in world.claim_seconds) < 1.0


def test_replaced_entries_recover_all_claims_from_the_log():
    world = bookings_world.World(2, seed=3)
    bookings = []
    for n in range(2000):
        world.call_at(
            n * 0.01, lambda n=n: bookings.append(world.book(f"k{n}"))
        )
    world.run(25.0)
    world.replace(world.entries["e0"])
    world.replace(world.entries["e1"])
    world.run(30.0)
    for n, booking in enumerate(bookings):
        world.call_at(
            30.0 + n * 0.005, lambda booking=booking: world.send(booking)
        )
    world.run(60.0)
    assert len(world.ledger) == 2000
    assert {b.requests[1].result for b in bookings} == {"ok"}


def test_claims_expire_after_their_lifetime():
    world = bookings_world.World(1, seed=1)
    booking = world.book("k")
    world.run(200.0)
    world.send(booking)
    world.run(201.0)
    assert len(world.ledger) == 2


@pytest.fixture
def small_heads(monkeypatch):
    """Lower the size limit of heads, so that most records are in segments."""
    monkeypatch.setattr(const, "MAX_HEAD_BYTES", 400)


def keep_busy(world, entry, until):
    """Send other bookings to an entry, so that heads are sealed."""
    while world.now < until:
        for _ in range(10):
            world.book(f"other-{world.rng.random()}", entry)
        world.run(world.now + 1.0)


@pytest.mark.usefixtures("small_heads")
def test_a_new_entry_reads_claims_from_segments():
    world = bookings_world.World(2, seed=3)
    bookings = [world.book(f"k{n}") for n in range(60)]
    world.run(10.0)
    keep_busy(world, world.entries["e0"], 40.0)
    world.replace(world.entries["e0"])
    world.replace(world.entries["e1"])
    world.run(45.0)
    for booking in bookings:
        world.send(booking)
    world.run(50.0)
    assert {b.requests[1].result for b in bookings} == {"ok"}
    assert bookings_world.count_violations(world) == CLEAN


@pytest.mark.usefixtures("small_heads")
def test_a_claim_is_not_used_after_a_pause_that_outlasts_it():
    service = bookings_world.create_service(timeout=600.0)
    world = bookings_world.World(2, seed=5, service=service)
    world.caller_timeout = 600.0
    first, second = two_entries(world)
    booking = world.book("k", first)
    world.run(0.0052)
    world.pause(first, 300.0)
    keep_busy(world, second, 290.0)
    world.send(booking, second)
    world.run(310.0)
    assert outcomes(booking)[1] == "ok"
    assert bookings_world.count_violations(world) == CLEAN


@pytest.mark.usefixtures("small_heads")
def test_a_request_that_waited_through_a_pause_is_not_run():
    world = bookings_world.World(2, seed=5)
    first, second = two_entries(world)
    world.pause(first, 300.0)
    booking = world.book("k", first)
    world.send(booking, second)
    keep_busy(world, second, 290.0)
    world.run(310.0)
    assert outcomes(booking) == ["silence", "ok"]
    assert bookings_world.count_violations(world) == CLEAN


def test_an_attempt_cancelled_at_the_deadline_may_have_run():
    faults = bookings_world.Faults(unanswered=1.0)
    world = bookings_world.World(1, seed=1, faults=faults)
    booking = world.book("k")
    world.run(2.5)
    faults.unanswered = 0.0
    world.send(booking)
    world.run(5.0)
    assert outcomes(booking) == ["unknown", "unknown-final"]
    assert len(world.ledger) == 1


@pytest.mark.usefixtures("small_heads")
def test_segments_missing_from_a_stale_range_are_not_skipped():
    world = bookings_world.World(1, seed=5)
    world.stale_store = fakestore.FakeStore(world.store.backend.snapshot())
    bookings = [world.book(f"k{n}") for n in range(60)]
    world.run(10.0)
    keep_busy(world, world.entries["e0"], 20.0)
    world.replace(world.entries["e0"])
    for booking in bookings:
        world.send(booking)
    world.run(25.0)
    assert {b.requests[1].result for b in bookings} == {"unknown"}
    world.stale_store = None
    for booking in bookings:
        world.send(booking)
    world.run(30.0)
    assert bookings_world.count_violations(world) == CLEAN


def test_a_deadline_before_the_claim_is_not_reported_as_not_run():
    faults = bookings_world.Faults(truncated_answers=1.0)
    world = bookings_world.World(1, seed=1, faults=faults)
    booking = world.book("k")
    world.run(1.0)
    world.replace(world.entries["e0"])
    world.store_unavailable = True
    world.caller_timeout = 0.05
    world.send(booking)
    world.run(5.0)
    assert booking.requests[1].reason == "deadline-passed"
    assert bookings_world.count_violations(world) == CLEAN


def test_unconfirmed_completions_are_bounded_in_a_long_outage(monkeypatch):
    monkeypatch.setattr(const, "MAX_QUEUE_RECORDS", 10)
    service = bookings_world.create_service(
        store_outage_policy=models.StoreOutagePolicy.RUN_UNCLAIMED
    )
    world = bookings_world.World(1, seed=1, service=service)
    world.store_unavailable = True
    (entry,) = world.entries.values()
    for number in range(60):
        world.book(f"k{number}")
        world.run(world.now + 0.5)
    claims = entry.state.claims
    assert len(world.ledger) > 40
    assert len(claims.pending_completions) <= 10
    assert all(len(shard.queue) <= 10 for shard in claims.shards.values())


def test_replacing_all_fourteen_entries_under_load_runs_nothing_twice():
    world = bookings_world.World(14, seed=8)
    for number in range(2000):
        world.call_at(number * 0.005, lambda n=number: world.book(f"k{n}"))
    for number in range(14):
        world.call_at(
            0.3 + number * 0.6,
            lambda n=number: world.replace(world.entries[f"e{n}"]),
        )
    world.run(12.0)
    for booking in world.bookings:
        world.call_at(world.now, lambda booking=booking: world.send(booking))
    world.run(20.0)
    assert bookings_world.count_violations(world) == CLEAN
    assert len({run.key for run in world.ledger}) > 1900
