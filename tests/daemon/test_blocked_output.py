"""Tests of an entry, as a real process, whose standard output is not read.

An entry that blocked on a full pipe, or failed on a closed one, would stop
answering its callers.
"""

import http.client
import json
import pathlib
import subprocess
import sys
import time

import curio
import pytest

from soak import callers
from soak import cluster as cluster_lib
from soak import faults

REQUESTS = 1500
# A response must arrive within half a second after the route's timeout. With
# idle targets that respond in 20 ms, it takes far less than this limit.
MAX_RESPONSE_SECONDS = 1.0


@pytest.fixture
def measure_slowest(tmp_path, monkeypatch):
    """Return a function that measures the slowest response of an entry.

    Its argument is called with the entry's process, whose output is a pipe.
    """

    def run(prepare):
        def start_entry(self, one):
            path = self.directory / "entry.json"
            path.write_text(json.dumps(one.settings))
            command = [sys.executable, "-m", "agateshelf.daemon.main"]
            one.popen = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            prepare(one.popen)

        monkeypatch.setattr(cluster_lib.Cluster, "start_entry", start_entry)
        return curio.run(measure_entry, tmp_path)

    return run


async def measure_entry(directory):
    plan = faults.Plan(1, 1, 4, 0.0, ())
    cluster = await cluster_lib.create_cluster(plan, directory, pathlib.Path())
    try:
        front = cluster.entries[0].caller_address
        return await curio.run_in_thread(send_requests, front)
    finally:
        await cluster.stop()


def send_requests(address):
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    slowest = 0.0
    for number in range(REQUESTS):
        began = time.monotonic()
        headers = {"Host": callers.HOST, "X-Request-Id": f"r{number}"}
        conn.request("GET", f"/vin/{number}", headers=headers)
        response = conn.getresponse()
        response.read()
        assert response.status == 200
        slowest = max(slowest, time.monotonic() - began)
    return slowest


def test_entry_responds_while_its_log_is_not_read(measure_slowest):
    assert measure_slowest(lambda _: None) < MAX_RESPONSE_SECONDS


def test_entry_responds_after_the_pipe_of_its_log_is_closed(measure_slowest):
    assert (
        measure_slowest(lambda popen: popen.stdout.close())
        < MAX_RESPONSE_SECONDS
    )
