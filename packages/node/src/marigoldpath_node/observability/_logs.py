"""The logger: structlog that writes one JSON object per line."""

import json
import logging
from typing import Any

import structlog

from marigoldpath_core.settings import ObservabilitySettings

from ._lines import MAX_LINE_BYTES, LineWriter

# Leaves space in MAX_LINE_BYTES for the other fields and for JSON escapes.
MAX_VALUE_LENGTH = 1_000


class _LineLogger:
    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line)

    debug = info = warning = error = critical = exception = msg


class _StructlogHandler(logging.Handler):
    """Forwards the log records of libraries, such as curio's for a crashed task."""

    def __init__(self, log: Any) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name, "exc_info": record.exc_info}
        if record.levelno < logging.ERROR:
            # curio logs a warning if a timeout expires just as the result arrives.
            self._log.debug(record.getMessage(), **fields)
        else:
            self._log.error(record.getMessage(), **fields)


def route_library_logs(log: Any) -> None:
    """Forward the log records of libraries to the logger, which does not block."""
    logging.getLogger().handlers = [_StructlogHandler(log)]


def create_logger(settings: ObservabilitySettings, writer: LineWriter) -> Any:
    """Return a logger for events at or above the log level of the settings."""
    level = logging.getLevelNamesMapping().get(settings.log_level.upper(), logging.INFO)
    return structlog.wrap_logger(
        _LineLogger(writer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _truncate_values,
            structlog.processors.JSONRenderer(),
            _replace_long_line,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        cache_logger_on_first_use=True,
    )


def _truncate_values(_logger: Any, _name: str, fields: Any) -> Any:
    for name, value in fields.items():
        if isinstance(value, str) and len(value) > MAX_VALUE_LENGTH:
            fields[name] = value[:MAX_VALUE_LENGTH] + "..."
    return fields


def _replace_long_line(_logger: Any, _name: str, line: Any) -> str:
    if len(line) < MAX_LINE_BYTES:
        return line
    return json.dumps({"event": "log_line_too_long", "start": line[:MAX_VALUE_LENGTH]})
