"""Several entries as processes: peers, configuration and the store away."""

import json
import time

import zmq

from agateshelf_standins import system

WAIT_SECONDS = 15.0


class Cluster:
    """A store, an instance list and entries that speak to each other."""

    def __init__(self, running):
        self.running = running
        self.store = running.start_stand_in("store", "--port", "0")
        self.instances = running.start_stand_in("instances", "--port", "0")
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
                "platform": {
                    "store": self.store.address,
                    "instances": self.instances.address,
                },
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


def test_an_entry_that_finds_nobody_says_that_it_is_not_ready(running):
    cluster = Cluster(running)
    system.control(cluster.store, outage=True)
    alone = cluster.start("entry-0")
    assert system.request(alone.admin, "GET", "/ready")[0] == 503
