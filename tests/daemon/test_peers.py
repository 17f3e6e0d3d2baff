"""Several entries as processes: peers, configuration and the store away."""

import concurrent.futures
import json
import time

import zmq

from agateshelf_standins import system

WAIT_SECONDS = 15.0


class Cluster:
    """A store, entries that speak to each other."""

    def __init__(self, running):
        self.running = running
        self.store = running.start_stand_in("store", "--port", "0")
        public, secret = zmq.curve_keypair()
        self.keys = {
            "public_key": public.decode(),
            "secret_key": secret.decode(),
        }
        self.addresses = {}

    def start(self, name):
        """Start an entry; its seeds are the entries started before."""
        port = system.free_port()
        seeds = [
            {"entry": entry, "address": address}
            for entry, address in self.addresses.items()
        ]
        self.addresses[name] = f"127.0.0.1:{port}"
        peers = {"listen": {"port": port}, "seeds": seeds, **self.keys}
        return self.running.start_entry(
            {
                "entry": name,
                "failure_domain": "boston",
                "callers": {"port": system.free_port()},
                "administration": {"port": system.free_port()},
                "platform": {"store": self.store.address},
                "peers": peers,
            }
        )


def status(entry):
    _, body = system.request(entry.admin, "GET", "/status")
    return json.loads(body)


def wait_for_version(entry, version):
    end = time.monotonic() + WAIT_SECONDS
    while status(entry)["version"] < version:
        assert time.monotonic() < end
        time.sleep(0.05)


def test_an_entry_that_starts_while_the_store_is_down_asks_its_peers(running):
    cluster = Cluster(running)
    system.put_configuration(cluster.store.address, {"services": {}})
    for name in ("entry-0", "entry-1"):
        wait_for_version(cluster.start(name), 1)
    system.control(cluster.store, outage=True)
    late = cluster.start("entry-2")
    wait_for_version(late, 1)
    assert system.request(late.admin, "GET", "/ready")[0] == 200


def patch(entry, version, operations):
    headers = {
        "Content-Type": "application/json-patch+json",
        "If-Match": str(version),
    }
    body = json.dumps(operations).encode()
    reply, text = system.request(entry.admin, "PATCH", "/config", body, headers)
    return reply, json.loads(text)


def add_service(name):
    value = {"team": "harborline", "prefix": f"/{name}/"}
    return [{"op": "add", "path": f"/services/{name}", "value": value}]


def test_patches_at_any_entry_reach_all_and_one_of_two_wins(running):
    cluster = Cluster(running)
    entries = [cluster.start(f"entry-{n}") for n in range(3)]
    assert patch(entries[0], 0, add_service("one"))[0] == 200
    for entry in entries:
        wait_for_version(entry, 1)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        racing = [
            pool.submit(patch, entry, 1, add_service(f"two-{n}"))
            for n, entry in enumerate(entries)
        ]
        told = sorted(future.result()[0] for future in racing)
    assert told == [200, 412, 412]
    for entry in entries:
        wait_for_version(entry, 2)


def put_head(store, value):
    """Put an old head back, as a restored backup would."""
    _, revision = system.read_key(store.address, "config/head")
    system.write_key(store.address, "config/head", value, revision)


def test_a_store_that_went_back_is_republished(running):
    cluster = Cluster(running)
    entry = cluster.start("entry-0")
    assert patch(entry, 0, add_service("one"))[0] == 200
    old, _ = system.read_key(cluster.store.address, "config/head")
    assert patch(entry, 1, add_service("two"))[0] == 200
    put_head(cluster.store, old)
    reply, told = patch(entry, 2, add_service("three"))
    assert (reply, told["result"]) == (409, "refused")
    reply, _ = system.request(entry.admin, "POST", "/config/republish", b"")
    assert reply == 200
    assert patch(entry, 2, add_service("three"))[0] == 200


def test_an_entry_that_finds_nobody_says_that_it_is_not_ready(running):
    cluster = Cluster(running)
    system.control(cluster.store, outage=True)
    alone = cluster.start("entry-0")
    assert system.request(alone.admin, "GET", "/ready")[0] == 503
