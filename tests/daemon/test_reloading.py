"""Tests of settings that are reloaded while the daemon runs."""

import json

from agateshelf.daemon import main as daemon_main
from agateshelf.daemon import reloading
from agateshelf.daemon.callers import memory
from agateshelf.documents import settings

SETTINGS = {
    "entry": "entry-0",
    "failure_domain": "boston",
    "callers": {"port": 0},
    "platform": {"store": "127.0.0.1:9"},
    "peers": {"listen": {"port": 7000}, "seeds": ["10.0.0.1:7000"]},
    "routes": {"repeat_slack": 10},
}


def create_reloader(path, changes=None):
    path.write_text(json.dumps({**SETTINGS, **(changes or {})}))
    cfg = settings.read_settings(path)
    driver = daemon_main.create_driver(cfg, 1, memory.Budget(1 << 20))
    return reloading.Reloader(path, driver)


def test_changed_seeds_and_bounds_are_applied(tmp_path, virtual_run):
    path = tmp_path / "settings.json"
    reloader = create_reloader(path)
    changed = {
        **SETTINGS,
        "peers": {"listen": {"port": 7000}, "seeds": ["10.0.0.2:7000"]},
        "routes": {
            "repeat_slack": 70,
            "drain_ms": 2500,
            "target_heartbeat_ms": 1000,
        },
    }
    path.write_text(json.dumps(changed))
    virtual_run(reloader.reload, "test")
    state = reloader.driver.state
    assert state.dispatch.bounds.retry_slack == 70
    assert state.drain_seconds == 2.5
    assert state.target_heartbeat_seconds == 1.0
    assert "10.0.0.2:7000" in state.membership.seed_addresses


def test_invalid_settings_change_nothing_and_are_logged(tmp_path, virtual_run):
    path = tmp_path / "settings.json"
    reloader = create_reloader(path)
    path.write_text('{"entry": 3}')
    virtual_run(reloader.reload, "test")
    assert reloader.driver.state.dispatch.bounds.retry_slack == 10
    assert reloader.driver.metrics.counts["notes.settings.refused"] == 1
