"""The logger: structlog with one JSON object a line."""

import json
import logging
from typing import Any

import structlog

from marigoldpath_core.settings import ObservabilitySettings

from ._lines import MAX_LINE, LineWriter

# Leaves room for the other fields and for JSON escapes within MAX_LINE.
MAX_VALUE = 1_000


class _LineLogger:
    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line)

    debug = info = warning = error = critical = exception = msg


class _StructlogHandler(logging.Handler):
    """Passes on what libraries log, as curio does for a task that crashed."""

    def __init__(self, log: Any) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name, "exc_info": record.exc_info}
        if record.levelno < logging.ERROR:
            # curio warns of each timeout that comes as late as the result.
            self._log.debug(record.getMessage(), **fields)
        else:
            self._log.error(record.getMessage(), **fields)


def route_library_logs(log: Any) -> None:
    """Send the log records of libraries through the logger, which does not block."""
    logging.getLogger().handlers = [_StructlogHandler(log)]


def create_logger(settings: ObservabilitySettings, writer: LineWriter) -> Any:
    """Return a logger that writes lines of at least the level in the settings."""
    level = logging.getLevelNamesMapping().get(settings.log_level.upper(), logging.INFO)
    return structlog.wrap_logger(
        _LineLogger(writer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _shorten,
            structlog.processors.JSONRenderer(),
            _fit,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        cache_logger_on_first_use=True,
    )


def _shorten(_logger: Any, _name: str, fields: Any) -> Any:
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_VALUE:
            fields[name] = value[:MAX_VALUE] + "..."
    return fields


def _fit(_logger: Any, _name: str, line: Any) -> str:
    if len(line) < MAX_LINE:
        return line
    return json.dumps({"event": "log_line_too_long", "start": line[:MAX_VALUE]})
