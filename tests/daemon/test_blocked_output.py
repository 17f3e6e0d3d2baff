"""An entry whose log nobody takes goes on answering, as a real process."""

import http.client
import json
import pathlib
import subprocess
import sys
import time

import curio
import pytest

from soak import callers
from soak import faults
from soak import scene as scenes

REQUESTS = 1500
# A route's word must come within half a second of its timeout; with idle
# targets that answer in 20 ms it takes nothing near that.
ANSWER_SECONDS = 1.0


@pytest.fixture
def slowest(tmp_path, monkeypatch):
    """Return the slowest of many answers of an entry with such an output."""

    def run(spoil):
        def start_entry(self, one):
            path = self.directory / "entry.json"
            path.write_text(json.dumps(one.settings))
            command = [sys.executable, "-m", "agateshelf.daemon.main"]
            one.popen = subprocess.Popen(
                [*command, "--settings", str(path)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            spoil(one.popen)

        monkeypatch.setattr(scenes.Scene, "start_entry", start_entry)
        return curio.run(ask_all, tmp_path)

    return run


async def ask_all(directory):
    plan = faults.Plan(1, 1, 4, 0.0, ())
    scene = await scenes.create_scene(plan, directory, pathlib.Path())
    try:
        front = scene.entries[0].front
        return await curio.run_in_thread(ask_many, front)
    finally:
        await scene.stop()


def ask_many(address):
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    longest = 0.0
    for number in range(REQUESTS):
        began = time.monotonic()
        headers = {"Host": callers.HOST, "X-Request-Id": f"r{number}"}
        conn.request("GET", f"/vin/{number}", headers=headers)
        answer = conn.getresponse()
        answer.read()
        assert answer.status == 200
        longest = max(longest, time.monotonic() - began)
    return longest


def test_answers_go_on_though_nobody_reads_the_log(slowest):
    assert slowest(lambda _: None) < ANSWER_SECONDS


def test_answers_go_on_though_the_reader_of_the_log_is_gone(slowest):
    assert slowest(lambda popen: popen.stdout.close()) < ANSWER_SECONDS
