"""Log output of the daemon: text or JSON lines on standard error."""

import logging
import sys

import logbook
import msgspec

from agateshelf.documents import settings

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "[{record.channel}] {record.message}"
)


def create_handler(cfg: settings.Logs) -> logbook.Handler:
    """Create the log handler that the settings select."""
    # curio logs a warning for each operation that completes just as its timeout
    # expires.
    logging.getLogger("curio").setLevel(logging.ERROR)
    handler = logbook.StreamHandler(sys.stderr, level=cfg.level)
    if cfg.json_lines:
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    return handler


def _json_line(record: logbook.LogRecord, _: logbook.Handler) -> str:
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "part": record.channel,
        "message": record.message,
    }
    return msgspec.json.encode(line).decode()
