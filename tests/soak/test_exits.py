"""Entries that exit by themselves are reported with what they wrote last."""

import socket

import curio
import pytest

from agateshelf_standins import system
from soak import cluster as cluster_lib
from soak import faults
from soak import main


async def run_with_taken_port(directory):
    """Return what the soak records on an entry whose port is in use."""
    plan = faults.Plan(1, 1, 1, 0.0, ())
    cluster = await cluster_lib.create_cluster(
        plan, directory, main.ROOT / "src"
    )
    try:
        entry = cluster.entries[0]
        entry.popen.kill()
        entry.popen.wait()
        host, port = entry.caller_address.split(":")
        with socket.create_server((host, int(port))):
            cluster.start_entry(entry)
            with pytest.raises(system.StartError, match="status 1 before"):
                await cluster_lib.await_ready(entry)
        main._record_exits(cluster)
    finally:
        await cluster.stop()
    return cluster.history.exit_errors


def test_unexpected_exit_is_reported_with_its_reason(tmp_path):
    # Guards against an exit in CI whose reason is lost with its log.
    errors = curio.run(run_with_taken_port, tmp_path)
    assert len(errors) == 1
    assert "exited unexpectedly, with status 1: " in errors[0]
    assert "in use" in errors[0]
