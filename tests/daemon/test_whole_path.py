"""The whole path on real processes: caller, entry, target, store."""

import json

from agateshelf_standins import system


def start_small_system(running):
    store = running.start_stand_in("store", "--port", "0")
    instances = running.start_stand_in("instances", "--port", "0")
    target = running.start_stand_in("target", "--port", "0", "--id", "t0")
    document = {
        "services": {
            "recall-lookups": {
                "team": "harborline",
                "prefix": "/recall/",
                "targets": [
                    {
                        "id": "t0",
                        "address": target.address,
                        "failure_domain": "boston",
                    }
                ],
            }
        },
    }
    system.put_configuration(store.address, document)
    settings = {
        "entry": "entry-0",
        "failure_domain": "boston",
        "callers": {"port": system.free_port()},
        "administration": {"port": system.free_port()},
        "platform": {
            "store": store.address,
            "instances": instances.address,
        },
    }
    entry = running.start_entry(settings)
    system.wait_for(entry.admin, "/ready", entry.process.popen)
    return entry


def test_lookup_reaches_the_target_and_stop_is_graceful(running):
    entry = start_small_system(running)
    status, body = system.request(entry.process.address, "GET", "/recall/1")
    assert status == 200
    assert json.loads(body)["target"] == "t0"
    assert entry.process.stop() == 0
