"""Follows the configuration in the platform's store."""

import curio
import logbook

from agateshelf import exceptions
from agateshelf.daemon import driver as daemon_driver
from agateshelf.daemon.platform import http
from agateshelf.documents import check
from agateshelf.documents import configuration

HEAD_KEY = "config/head"

_POLL_SECONDS = 1.0
_TIMEOUT_SECONDS = 5.0
_STATUS_OK = 200

_log = logbook.Logger("configuration")


async def follow(driver: daemon_driver.Driver, address: str) -> None:
    """Read the configuration again and again; never returns."""
    while True:
        await _read_once(driver, address)
        await curio.sleep(_POLL_SECONDS)


async def _read_once(driver: daemon_driver.Driver, address: str) -> None:
    request = http.PlatformRequest("GET", f"/v1/kv/{HEAD_KEY}")
    try:
        answer = await http.fetch(address, request, _TIMEOUT_SECONDS)
    except http.PlatformError as exc:
        _log.warning("Store gave no answer: {}.", exc)
        return
    if answer.status != _STATUS_OK:
        return
    try:
        document = check.check_json(
            configuration.ConfigurationDocument, answer.body
        )
    except exceptions.DocumentError as exc:
        _log.error("Stored configuration is not valid: {}.", exc)
        return
    await driver.adopt(document)
