"""The instance list's stand-in, a process of its own."""

import dataclasses
import json
import time
from typing import Any

import click
import curio

from agateshelf_standins import http
from agateshelf_standins import options as options_lib

_PAST = 1000
_TEXTS = ("id", "service", "address", "failure_domain")
_ROLES = ("target", "entry")
_STATES = ("live", "leaving")


@dataclasses.dataclass
class InstancesOptions:
    """What the control address changes."""

    lag_ms: float = 0
    outage: bool = False


class Instances:
    """The list and its past, for answers that lag."""

    def __init__(self, options: InstancesOptions, first: list[Any]) -> None:
        self.options = options
        self._past: list[tuple[float, list[Any]]] = [(0.0, first)]

    async def handle(self, request: http.Request) -> http.Answer:
        """Answers one request."""
        route = (request.method, request.path)
        if route == ("GET", "/v1/instances"):
            if self.options.outage:
                return http.error_answer(503, "out of service")
            return http.json_answer({"instances": self._shown()})
        if route == ("PUT", "/control/instances"):
            try:
                fresh = parse(request.body)
            except ValueError as error:
                return http.error_answer(400, str(error))
            self._past.append((time.monotonic(), fresh))
            del self._past[:-_PAST]
            return http.json_answer({"instances": fresh})
        if request.path == "/control":
            return options_lib.control(self.options, request)
        return http.error_answer(404, f"no {request.method} {request.path}")

    def _shown(self) -> list[Any]:
        by = time.monotonic() - self.options.lag_ms / 1000
        old = [instances for since, instances in self._past if since <= by]
        return old[-1] if old else self._past[0][1]


def parse(text: bytes) -> list[Any]:
    """Reads a list in the form of the protocol's answer.

    Raises:
        ValueError: The text is not such a list.
    """
    document = json.loads(text)
    if not isinstance(document, dict) or set(document) != {"instances"}:
        raise ValueError('expected {"instances": [...]}')
    instances: Any = document["instances"]
    if not isinstance(instances, list):
        raise ValueError("/instances: expected a list")
    for at, instance in enumerate(instances):
        _check(f"/instances/{at}", instance)
    return list(instances)


def _check(path: str, instance: Any) -> None:
    names = {*_TEXTS, "role", "state"}
    if not isinstance(instance, dict) or set(instance) != names:
        raise ValueError(f"{path}: expected an object of {sorted(names)}")
    for name in _TEXTS:
        if not isinstance(instance[name], str):
            raise ValueError(f"{path}/{name}: expected a string")
    if instance["role"] not in _ROLES:
        raise ValueError(f"{path}/role: expected one of {_ROLES}")
    if instance["state"] not in _STATES:
        raise ValueError(f"{path}/state: expected one of {_STATES}")


@click.command()
@click.option("--port", default=0, help="0 picks a free port.")
@click.option("--lag-ms", type=click.FloatRange(0), default=0.0)
@click.option("--outage", is_flag=True)
@click.option("--file", type=click.File("rb"), help="The list to begin with.")
def main(port: int, lag_ms: float, outage: bool, file: Any) -> None:
    """Answers the platform's instance list."""
    try:
        first = parse(file.read()) if file is not None else []
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--file") from error
    instances = Instances(InstancesOptions(lag_ms, outage), first)
    curio.run(http.serve_until_terminated, instances.handle, port)


if __name__ == "__main__":
    main()
