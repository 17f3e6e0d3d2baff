"""Reports on the state of this entry."""

from agateshelf.core.routing import diagnostics
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon import status as daemon_status
from agateshelf.daemon.administration import models


def status(driver: daemon_driver.Driver) -> models.Status:
    """Return the state of this entry and its counters."""
    state = driver.state
    return models.Status(
        entry=state.identity.entry,
        failure_domain=state.identity.failure_domain,
        ready=daemon_status.is_ready(driver),
        version=state.cfg.version,
        calls_in_flight=len(state.calls.calls),
        counts=driver.metrics.counts,
    )


def targets(driver: daemon_driver.Driver) -> list[diagnostics.TargetStatus]:
    """Return the state of all targets as known to this entry."""
    return list(diagnostics.target_statuses(driver.state.routing))
