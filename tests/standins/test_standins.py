"""Tests of the stand-ins against the protocol of docs/PLATFORM.md."""

import base64
from collections.abc import Iterator
import contextlib
import http.client
import json
import signal
import subprocess
import sys
import threading
import time

import pytest

from agateshelf_standins import keyvalue
from agateshelf_standins import system

REFUSAL = "Request-Outcome"


@contextlib.contextmanager
def start_stand_in(module: str, *arguments: str) -> Iterator[tuple]:
    command = [sys.executable, "-m", f"agateshelf_standins.{module}"]
    with subprocess.Popen(
        [*command, "--port", "0", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            line = process.stdout.readline()
            assert line.startswith("listening on ")
            yield process, int(line.rpartition(":")[2])
        finally:
            process.kill()


def request(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()


def set_options(port, **options):
    status, _, body = request(port, "POST", "/control", json.dumps(options))
    assert status == 200, body
    return json.loads(body)


def read_ledger(port):
    return json.loads(request(port, "GET", "/control/ledger")[2])


def request_in_background(port, path, headers=None):
    responses = []

    def run():
        responses.append(request(port, "GET", path, headers=headers))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread, responses


def wait_until(condition):
    end = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < end, "condition not met within 5 s"
        time.sleep(0.005)


def read_load(port):
    return json.loads(request(port, "GET", "/load")[2])


def test_compare_and_swap():
    store = keyvalue.KeyValueStore()
    assert store.put("a", b"1", if_version=0, now=0) == 1
    assert store.put("b", b"1", if_version=0, now=0) == 2
    with pytest.raises(keyvalue.VersionConflictError) as conflict:
        store.put("a", b"2", if_version=0, now=0)
    assert conflict.value.version == 1
    assert store.put("a", b"2", if_version=1, now=0) == 3
    assert store.get("a", now=0).value == b"2"
    with pytest.raises(keyvalue.VersionConflictError):
        store.delete("a", if_version=1, now=0)
    assert store.delete("a", if_version=3, now=0) == 4
    with pytest.raises(keyvalue.MissingKeyError):
        store.delete("a", if_version=3, now=0)
    too_large = bytes(keyvalue.MAX_VALUE_BYTES + 1)
    with pytest.raises(keyvalue.ValueTooLargeError):
        store.put("a", too_large, if_version=0, now=0)
    assert store.revision == 4


def test_range_pages_in_order():
    store = keyvalue.KeyValueStore()
    for key in ("p/c", "q", "p/a", "p/b", "o"):
        store.put(key, b"", if_version=0, now=0)
    first, has_more = store.range("p/", limit=2, now=0)
    assert [e.key for e in first] == ["p/a", "p/b"]
    assert has_more
    rest, has_more = store.range("p/", after="p/b", limit=2, now=0)
    assert [e.key for e in rest] == ["p/c"]
    assert not has_more


def test_lease_expires_and_its_keys_are_deleted():
    store = keyvalue.KeyValueStore()
    lease = store.grant(ttl_s=10, now=0)
    store.put("a", b"", if_version=0, lease=lease, now=0)
    store.put("b", b"", if_version=0, lease=lease, now=0)
    store.put("b", b"", if_version=2, now=0)
    store.renew(lease, now=9)
    assert store.get("a", now=18.9)
    assert store.get("a", now=19) is None
    assert store.get("b", now=19)
    assert store.changes("", after=3, now=19) == [("a", 4)]
    with pytest.raises(keyvalue.UnknownLeaseError):
        store.renew(lease, now=19)
    with pytest.raises(keyvalue.UnknownLeaseError):
        store.put("c", b"", if_version=0, lease=lease, now=19)


def write_key(port, key, value, revision, lease=0, headers=None):
    """Write a key, or delete it if `value` is None; return status and body."""
    encoded = base64.b64encode(value or b"").decode()
    body = {
        "precondition": [{"key": key, "revision": revision}],
        "writes": [{"key": key, "value": encoded, "lease": lease}],
        "deletes": [],
    }
    if value is None:
        body = {**body, "writes": [], "deletes": [key]}
    status, _, response_body = request(
        port, "POST", "/kv-txn", json.dumps(body), headers=headers
    )
    return status, json.loads(response_body)


def read_json(port, path):
    status, _, body = request(port, "GET", path)
    return status, json.loads(body)


def read_value(port, key, query=""):
    _, item = read_json(port, f"/kv-key?key={key}{query}")
    return base64.b64decode(item["value"])


def test_store_watch_and_lost_response():
    with start_stand_in("store", "--latency-ms", "0") as (_, port):
        watch = "/kv-watch?prefix=a&after=0&wait_ms=5000"
        thread, responses = request_in_background(port, watch)
        wait_until(
            lambda: b"watch" in request(port, "GET", "/control/calls")[2],
        )
        assert write_key(port, "b", b"x", 0) == (200, {"revision": 1})
        assert write_key(port, "a/1", b"x", 0) == (200, {"revision": 2})
        thread.join(5)
        item = {
            "key": "a/1",
            "value": "eA==",
            "revision": 2,
            "created_rev": 2,
            "lease": 0,
        }
        assert json.loads(responses[0][2]) == {
            "events": [item],
            "current_rev": 2,
        }
        status, response_body = write_key(port, "b", b"y", 0)
        assert status == 412
        assert [(i["key"], i["revision"]) for i in response_body["items"]] == [
            ("b", 1)
        ]
        assert request(port, "POST", "/kv-txn", b"{")[0] == 400
        set_options(port, lose_answers=1)
        with pytest.raises((http.client.HTTPException, OSError)):
            write_key(port, "c", b"z", 0)
        assert read_value(port, "c") == b"z"
        set_options(port, stale_reads=True)
        write_key(port, "c", b"new", 3)
        assert read_value(port, "c") == b"new"
        assert read_value(port, "c", "&serializable=1") == b"z"
        set_options(port, outage=True)
        assert request(port, "GET", "/kv-key?key=c")[0] == 503


def test_store_watch_reports_an_expired_lease():
    with start_stand_in("store", "--latency-ms", "0") as (_, port):
        body = request(port, "POST", "/kv-lease", b'{"ttl_time": 100}')[2]
        lease = json.loads(body)["lease"]
        assert write_key(port, "a", b"x", 0, lease)[0] == 200
        watch = "/kv-watch?prefix=a&after=1&wait_ms=4000"
        tombstone = {"key": "a", "revision": 2, "tombstone": True}
        assert read_json(port, watch)[1] == {
            "events": [tombstone],
            "current_rev": 2,
        }
        assert request(port, "POST", f"/kv-keep/{lease}")[0] == 404
        assert write_key(port, "a", b"x", 0, lease)[0] == 404
        idle_watch = "/kv-watch?prefix=a&after=2&wait_ms=30"
        assert read_json(port, idle_watch)[1]["events"] == []


def test_store_protects_the_platforms_keys_and_compacts_history():
    with start_stand_in("store", "--latency-ms", "0") as (_, port):
        writer = {"Platform-Writer": "1"}
        assert write_key(port, "op/config", b"x", 0)[0] == 403
        assert write_key(port, "op/config", b"x", 0, headers=writer)[0] == 200
        watch = "/kv-watch?prefix=op/&after=0&wait_ms=30"
        assert read_json(port, watch)[0] == 200
        set_options(port, forgotten=1)
        assert read_json(port, watch)[0] == 410
        set_options(port, silent=True)
        assert write_key(port, "op/config", None, 1, headers=writer)[0] == 200
        stalled = http.client.HTTPConnection("127.0.0.1", port, timeout=0.2)
        stalled.request("GET", "/kv-range?prefix=op/")
        with contextlib.closing(stalled), pytest.raises(TimeoutError):
            stalled.getresponse()
        set_options(port, silent=False)
        assert read_json(port, "/kv-range?prefix=op/")[1] == {
            "items": [],
            "has_more": False,
            "current_rev": 2,
        }


def test_target_rejects_and_drops_requests():
    refusal_mark = ["--refusal-mark", f"{REFUSAL}: not-run"]
    options = ["--slots", "1", "--queue", "1", "--service-ms", "400"]
    with start_stand_in("target", *options, *refusal_mark, "--id", "t1") as (
        _,
        port,
    ):
        first, responses = request_in_background(
            port, "/a", {"Idempotency-Key": "k1"}
        )
        wait_until(lambda: read_load(port)["in_flight"] == 1)
        # The deadline passes in the queue.
        status, headers, _ = request(
            port, "GET", "/b", headers={"Request-Timeout-Ms": "30"}
        )
        assert (status, headers[REFUSAL]) == (504, "not-run")
        # Waits in the queue until its caller disconnects; the next request
        # finds the queue full.
        queued = http.client.HTTPConnection("127.0.0.1", port)
        queued.request("GET", "/c")
        wait_until(lambda: read_load(port)["queued"] == 1)
        status, headers, _ = request(port, "GET", "/d")
        assert (status, headers[REFUSAL]) == (503, "not-run")
        assert headers["Target-Load"] == "in-flight=1, queued=1, slots=1"
        queued.close()
        wait_until(lambda: read_load(port)["queued"] == 0)
        first.join(5)
        assert json.loads(responses[0][2]) == {
            "target": "t1",
            "path": "/a",
            "run": 1,
            "key": "k1",
            "echo": 0,
        }
        # A request that has started finishes although its caller disconnects.
        abandoned = http.client.HTTPConnection("127.0.0.1", port)
        abandoned.request("GET", "/e")
        wait_until(lambda: read_load(port)["in_flight"] == 1)
        abandoned.close()
        wait_until(lambda: read_load(port)["in_flight"] == 0)
        runs = read_ledger(port)
        assert [run["path"] for run in runs] == ["/a", "/e"]
        assert all(run["finished"] for run in runs)


def test_target_drains_on_sigterm():
    options = ["--slots", "1", "--service-ms", "150"]
    with start_stand_in("target", *options) as (process, port):
        accepted = [request_in_background(port, f"/{n}") for n in range(3)]
        wait_until(lambda: read_load(port)["queued"] == 2)
        process.send_signal(signal.SIGTERM)
        for thread, _ in accepted:
            thread.join(5)
        assert [a[0][0] for _, a in accepted] == [200] * 3
        assert {a[0][1]["Target-State"] for _, a in accepted} == {"draining"}
        assert process.wait(5) == 0


def test_target_shapes_responses_as_requested_and_crashes():
    with start_stand_in("target", "--crash-mark", "bang") as (process, port):
        headers = {"Answer-Bytes": "200000", "Answer-Chunked": "1"}
        assert len(request(port, "GET", "/", headers=headers)[2]) == 200_000
        with pytest.raises(http.client.IncompleteRead):
            request(port, "GET", "/", headers={**headers, "Answer-Break": "10"})
        set_options(port, draining=True)
        assert request(port, "GET", "/health")[0] == 503
        for invalid in ({"nope": 1}, {"slots": True}, {"slots": -1}, []):
            body = json.dumps(invalid)
            assert request(port, "POST", "/control", body)[0] == 400
        with pytest.raises((http.client.HTTPException, OSError)):
            request(port, "GET", "/", headers={"Crash-Mark": "bang"})
        assert process.wait(5) == 1


def test_silent_target_stalls_open_connections():
    with start_stand_in("target") as (_, port):
        old_connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=0.3
        )
        old_connection.request("GET", "/")
        old_connection.getresponse().read()
        set_options(port, silent=True)
        old_connection.request("GET", "/")
        with pytest.raises(TimeoutError):
            old_connection.getresponse()
        assert request(port, "GET", "/")[0] == 200


def test_free_ports_are_unique():
    # Guards against ports drawn at random with replacement: two of 25 were the
    # same, and the rolling replacement failed with "Address already in use".
    ports = [system.free_port() for _ in range(300)]
    assert len(set(ports)) == 300
    assert max(ports) < 32_768


def test_processes_hand_out_different_ports():
    # Guards against a port that another run takes while the entry that listens
    # on it is down for a restart: the entry then exits with status 1.
    code = (
        "import secrets\n"
        "secrets.randbelow = lambda bound: 0\n"
        "from agateshelf_standins import system\n"
        "print([system.free_port() for _ in range(100)], flush=True)\n"
        "input()\n"
    )
    command = [sys.executable, "-c", code]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    with (
        subprocess.Popen(command, **pipes) as one,
        subprocess.Popen(command, **pipes) as other,
    ):
        taken = [set(json.loads(run.stdout.readline())) for run in (one, other)]
        for run in (one, other):
            run.communicate("\n")
    assert not taken[0] & taken[1]
