"""Print every way of choosing beside the product, for docs/ROUTING.md."""

import multiprocessing

from bench import deployments
from bench import routing
from bench import routing_scenes
from bench import routing_ways

_SCENES = (routing_scenes.Scene.STEADY_70, routing_scenes.Scene.NOISY)
_PROCESSES = 3


def main() -> None:
    """Play all ways in two scenes of both deployments."""
    ways = [routing.OURS, *routing.WAYS, *routing_ways.WAYS]
    plan = [
        routing.Run(way, scene, deployment)
        for deployment in deployments.DEPLOYMENTS
        for scene in _SCENES
        for way in ways
    ]
    with multiprocessing.Pool(_PROCESSES) as pool:
        results = pool.map(routing.show, plan, chunksize=1)
    for one, shown in zip(plan, results, strict=True):
        print(
            f"{one.deployment.name:<11} {one.scene.value:<17} {one.way:<17}"
            f" {shown.p50 * 1000:7.1f} {shown.p99 * 1000:7.1f}"
            f" {shown.p999 * 1000:7.1f} ms {shown.probes:7.1f} probes/s"
            f" {shown.messages:6.2f} messages/call"
            f" {shown.kilobytes:7.1f} kB/s"
        )


if __name__ == "__main__":
    main()
