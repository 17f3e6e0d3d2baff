"""Requests of many callers that ran beside what ended their targets.

Guards against refusing an innocent request to all callers for as long as one
that crashes targets: an entry lets it show that it crashes nothing.
"""

import pytest
from tests.core import crash_fleet

from agateshelf.core.poison import const

Ending = crash_fleet.Ending
BACK_SECONDS = const.TRIAL_PAUSE_SECONDS + 2.0
ENDINGS = [Ending.REFUSED, Ending.REBORN, Ending.TAKEN_OVER]


class PopularRequests:
    """Requests for some paths that many callers send, and their answers."""

    def __init__(self, fleet, paths, per_second):
        self.fleet = fleet
        self.sent = {}
        self.paths = paths
        self.pause = 1.0 / per_second

    def send_for(self, seconds):
        """Schedule requests for the paths in turn, at entries in turn."""
        names = list(self.fleet.nodes)
        for number in range(int(seconds / self.pause)):
            self.fleet.at(
                self.fleet.now + number * self.pause,
                self._send,
                names[number % len(names)],
                f"/vin/popular-{number % self.paths}",
                f"100.64.1.{number % 97}",
            )

    def _send(self, name, path, caller):
        call = self.fleet.request(name, path=path, caller=caller)
        self.sent[call] = self.fleet.now

    def refused_since(self, since):
        """Return how many sent since a time were refused, and of how many."""
        calls = [call for call, at in self.sent.items() if at >= since]
        answers = [self.fleet.response(call) for call in calls]
        refused = [
            kind for kind, _ in filter(None, answers) if kind != "answer"
        ]
        return len(refused), len(calls)


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_popular_request_is_served_again_after_many_targets_end_at_once(
    ending,
):
    fleet = crash_fleet.CrashFleet(ending)
    popular = PopularRequests(fleet, paths=1, per_second=60)
    popular.send_for(20.0)
    fleet.run_for(3.0)
    for address in list(fleet.processes)[:6]:
        fleet.end_target(address)
    ended_at = fleet.now
    fleet.run_for(18.0)
    refused, sent = popular.refused_since(ended_at + BACK_SECONDS)
    assert sent > 100
    assert refused == 0


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("crashes_per_second", [0.5, 2, 10])
def test_popular_requests_beside_a_crashing_one_are_served(
    crashes_per_second, ending
):
    fleet = crash_fleet.CrashFleet(ending)
    popular = PopularRequests(fleet, paths=40, per_second=80)
    popular.send_for(30.0)
    started_at = fleet.now
    fleet.repeat_marked(30.0, pause=1.0 / crashes_per_second, callers=97)
    assert len(fleet.late_sends) <= crash_fleet.MAX_LATE_SENDS
    refused, sent = popular.refused_since(started_at + BACK_SECONDS)
    assert sent > 1000
    assert refused <= 0.02 * sent


@pytest.mark.parametrize("ending", list(Ending))
def test_trials_of_a_crashing_request_become_rare(ending):
    fleet = crash_fleet.CrashFleet(ending)
    fleet.repeat_marked(8.0, callers=97)
    before = len(fleet.marked_sends)
    fleet.repeat_marked(120.0, callers=97)
    assert len(fleet.marked_sends) - before <= 2


def test_one_entry_tries_a_request_for_all():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED, ("boston",) * 13)
    fleet.withhold_marked()
    fleet.run_for(const.TRIAL_PAUSE_SECONDS)
    for name in fleet.nodes:
        fleet.send_marked(name)
    fleet.run_for(2.0)
    assert len(fleet.marked_sends) == 1


def test_an_entry_that_has_just_started_tries_nothing():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    fleet.withhold_marked()
    fleet.run_for(const.TRIAL_PAUSE_SECONDS)
    for name in fleet.nodes:
        fleet.kill(name)
        fleet.restart(name)
    fleet.withhold_marked()
    for name in fleet.nodes:
        fleet.send_marked(name)
    assert not fleet.marked_sends


def test_a_refusal_names_the_time_of_the_next_trial():
    fleet = crash_fleet.CrashFleet(Ending.REFUSED)
    fleet.withhold_marked()
    fleet.run_for(1.0)
    kind, refusal = fleet.response(fleet.send_marked(next(iter(fleet.nodes))))
    assert kind == "refused"
    left = const.TRIAL_PAUSE_SECONDS - 1.0
    assert left <= refusal.retry_after <= left + 1.0
