"""End-to-end test with real processes: caller, entry, target, store."""

import json

from tests.daemon import small_system

from agateshelf_standins import system


def test_lookup_reaches_the_target_and_stop_is_graceful(local_system):
    entry = small_system.start(local_system).entry
    status, body = system.request(entry.process.address, "GET", "/recall/1")
    assert status == 200
    assert json.loads(body)["target"] == "t0"
    assert entry.process.stop() == 0
