"""Tests of several entries, with real processes: peers and configuration."""

import concurrent.futures
import json
import time

import zmq

from agateshelf_standins import system

WAIT_SECONDS = 15.0


class Cluster:
    """A store and entries that are peers."""

    def __init__(self, local_system):
        self.local_system = local_system
        self.store = local_system.start_stand_in("store", "--port", "0")
        public, secret = zmq.curve_keypair()
        self.keys = {
            "public_key": public.decode(),
            "secret_key": secret.decode(),
        }
        self.addresses = {}

    def start(self, name):
        """Start an entry whose seeds are the entries started before."""
        port = system.free_port()
        seeds = [
            {"entry": entry, "address": address}
            for entry, address in self.addresses.items()
        ]
        self.addresses[name] = f"127.0.0.1:{port}"
        peers = {"listen": {"port": port}, "seeds": seeds, **self.keys}
        return self.local_system.start_entry(
            {
                "entry": name,
                "failure_domain": "boston",
                "callers": {"port": system.free_port()},
                "administration": {"port": system.free_port()},
                "platform": {"store": self.store.address},
                "peers": peers,
            }
        )


def read_status(entry):
    _, body = system.request(entry.admin, "GET", "/status")
    return json.loads(body)


def wait_for_version(entry, version):
    end = time.monotonic() + WAIT_SECONDS
    while read_status(entry)["version"] < version:
        assert time.monotonic() < end
        time.sleep(0.05)


def test_entry_started_during_a_store_outage_gets_configuration_from_peers(
    local_system,
):
    cluster = Cluster(local_system)
    system.put_configuration(cluster.store.address, {"services": {}})
    for name in ("entry-0", "entry-1"):
        wait_for_version(cluster.start(name), 1)
    system.set_options(cluster.store, outage=True)
    late = cluster.start("entry-2")
    wait_for_version(late, 1)
    assert system.request(late.admin, "GET", "/ready")[0] == 200


def send_patch(entry, version, operations):
    headers = {
        "Content-Type": "application/json-patch+json",
        "If-Match": str(version),
    }
    body = json.dumps(operations).encode()
    status, text = system.request(
        entry.admin, "PATCH", "/config", body, headers
    )
    return status, json.loads(text)


def service_patch(name):
    value = {"team": "harborline", "prefix": f"/{name}/"}
    return [{"op": "add", "path": f"/services/{name}", "value": value}]


def test_patch_reaches_all_entries_and_one_of_several_concurrent_ones_wins(
    local_system,
):
    cluster = Cluster(local_system)
    entries = [cluster.start(f"entry-{n}") for n in range(3)]
    assert send_patch(entries[0], 0, service_patch("one"))[0] == 200
    for entry in entries:
        wait_for_version(entry, 1)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        racing = [
            pool.submit(send_patch, entry, 1, service_patch(f"two-{n}"))
            for n, entry in enumerate(entries)
        ]
        statuses = sorted(future.result()[0] for future in racing)
    assert statuses == [200, 412, 412]
    for entry in entries:
        wait_for_version(entry, 2)


def restore_head(store, value):
    """Overwrite the head with an old one, as a restored backup would."""
    _, revision = system.read_key(store.address, "config/head")
    system.write_key(store.address, "config/head", value, revision)


def test_configuration_is_republished_after_the_store_was_restored(
    local_system,
):
    cluster = Cluster(local_system)
    entry = cluster.start("entry-0")
    assert send_patch(entry, 0, service_patch("one"))[0] == 200
    old, _ = system.read_key(cluster.store.address, "config/head")
    assert send_patch(entry, 1, service_patch("two"))[0] == 200
    restore_head(cluster.store, old)
    status, answer = send_patch(entry, 2, service_patch("three"))
    assert (status, answer["result"]) == (409, "refused")
    status, _ = system.request(entry.admin, "POST", "/config/republish", b"")
    assert status == 200
    assert send_patch(entry, 2, service_patch("three"))[0] == 200


def test_entry_without_store_and_peers_is_not_ready(local_system):
    cluster = Cluster(local_system)
    system.set_options(cluster.store, outage=True)
    alone = cluster.start("entry-0")
    assert system.request(alone.admin, "GET", "/ready")[0] == 503
