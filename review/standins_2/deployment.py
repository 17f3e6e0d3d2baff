"""Starts entries with the deploy file's command, template and environment."""

import asyncio
import json
import os
import pathlib
import random
import re
import socket
import subprocess
import tomllib
from typing import Any

from standins_2 import store

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PORTS = {"front": 8381, "ready": 8388, "control": 8382}
_INTERNAL_PORTS = (7200, 7215)
_READY_SECONDS = 20.0
_POLL_SECONDS = 0.05
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+|\.)(\|json)?\}\}")


class CannotRunError(Exception):
    """The case can't run on this machine."""


def _look_up(fields: Any, name: str) -> Any:
    if name == ".":
        return fields
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render(template: str, fields: Any) -> str:
    """Fill in a template of the settings as the platform does."""

    def section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = _look_up(fields, name)
        if kind == "^":
            return "" if value else render(inner, fields)
        if not value:
            return ""
        if not isinstance(value, list):
            return render(inner, value)
        rendered = []
        for position, one in enumerate(value):
            comma = "" if position == len(value) - 1 else ","
            rendered.append(render(inner.replace("{{,}}", comma), one))
        return "".join(rendered)

    def value(match: re.Match[str]) -> str:
        found = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return _VALUE.sub(value, _SECTION.sub(section, template))


def draw_network() -> str:
    """Return the first three numbers of a free range of loopback addresses."""
    for _ in range(100):
        network = f"127.{random.randint(32, 250)}.{random.randint(1, 250)}"
        try:
            for port in (*_PORTS.values(), *_INTERNAL_PORTS, 9464):
                with socket.socket() as sock:
                    sock.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise CannotRunError("no free loopback addresses")


class Entry:
    """One process of the role, on an address of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        network: str,
        number: int,
        zones: tuple[str, ...],
        platform: store.Store,
        **changes: Any,
    ) -> None:
        """Write the settings of an entry that isn't started yet.

        Args:
            folder: Folder for settings and log.
            network: First three numbers of the addresses.
            number: Number of the entry, from 1.
            zones: Zones, to which entries belong in turn.
            platform: The store.
            **changes: Settings beside those of the template.
        """
        self.zone = zones[(number - 1) % len(zones)]
        self.name = f"edge-{self.zone}-{number}"
        self.host = f"{network}.{number}"
        self.front = (self.host, _PORTS["front"])
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._command = role["run"].split()
        seeds = [f"{network}.{one}:{_PORTS['control']}" for one in (1, 2, 3)]
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listen": {k: f"{self.host}:{v}" for k, v in _PORTS.items()},
            "internal_ports": list(_INTERNAL_PORTS),
            "seeds": seeds,
            "heartbeat": 1500,
            "zones": dict.fromkeys(zones, "region"),
            "platform": {"address": platform.address},
            "limits": {"cpu_share": 0.86, "cores": 1, "link_mbps": 1000.0},
            "bounds": {
                "drain": 2000,
                "grace": 6,
                "retry_budget_ratio": 0.2,
                "budget_window": 10,
                "budget_slack": 60,
                "probes_per_s": 60,
            },
        }
        template = (_ROOT / role["template"]).read_text()
        self._settings = folder / f"{self.name}.json"
        settings = {**json.loads(render(template, fields)), **changes}
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the environment that the platform gives."""
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(_ROOT / "target/deps")
        env["AGATESHELF_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=_ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until the entry says that it is ready.

        Raises:
            CannotRunError: It doesn't.
        """
        for _ in range(round(_READY_SECONDS / _POLL_SECONDS)):
            try:
                reader, writer = await asyncio.open_connection(
                    self.host, _PORTS["ready"]
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(_POLL_SECONDS)
        raise CannotRunError(f"{self.name} is not ready")

    def memory_mb(self) -> float:
        """Return the memory that the process holds; 0 if it has ended."""
        if self._process is None or self._process.poll() is not None:
            return 0.0
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def stop(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
