"""Injects evacuations of failure domains, as the platform's operator does."""

from collections import abc
import time

import curio

from agateshelf_standins import system
from soak import cluster as cluster_lib
from soak import faults
from soak import history as history_lib

_PREFIX = "op/evacuate/"
_RETRY_SECONDS = 0.1


async def evacuate(
    cluster: cluster_lib.Cluster, fault: faults.EvacuateDomain
) -> None:
    """Evacuate a failure domain for some seconds."""
    domain = cluster_lib.DOMAINS[fault.domain]
    end = time.time() + fault.seconds
    if not await _write(cluster, domain, b"{}", lambda: time.time() < end):
        return
    begin = time.time()
    cluster.evacuated.add(domain)
    await curio.sleep(max(0.0, end - time.time()))
    cluster.evacuated.discard(domain)
    numbers = frozenset(
        target.number
        for target in cluster.targets
        if cluster_lib.domain_of(target.number) == domain
    )
    evacuation = history_lib.Evacuation(numbers, begin, time.time())
    cluster.history.evacuations.append(evacuation)
    await _write(cluster, domain, None, lambda: True)


async def repeat(cluster: cluster_lib.Cluster) -> None:
    """Write all evacuations again, which a restored store may have lost."""
    for domain in sorted(cluster.evacuated):
        await _write(cluster, domain, b"{}", lambda: True)


async def _write(
    cluster: cluster_lib.Cluster,
    domain: str,
    value: bytes | None,
    goes_on: abc.Callable[[], bool],
) -> bool:
    """Write the key of a domain until the store acknowledges it."""
    while goes_on():
        try:
            await curio.run_in_thread(
                system.write_key, cluster.store.address, _PREFIX + domain, value
            )
        except (OSError, ValueError):
            await curio.sleep(_RETRY_SECONDS)
        else:
            return True
    return False
