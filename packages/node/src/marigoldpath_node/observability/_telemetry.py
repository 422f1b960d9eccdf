"""The logger, the span writer and the metrics of one daemon."""

import sys
from typing import Any

from marigoldpath_core.settings import DaemonSettings

from ._lines import LineWriter
from ._logs import create_logger
from ._metrics import Metrics
from ._spans import SpanWriter


class Telemetry:
    """Holds the logger, the span writer and the metrics of the daemon."""

    def __init__(self, settings: DaemonSettings, descriptor: int | None = None) -> None:
        if descriptor is None:
            descriptor = sys.stderr.fileno()
        self._lines = LineWriter(descriptor)
        self._log = create_logger(settings.observability, self._lines).bind(
            host=settings.host, zone=settings.availability_zone
        )
        self._spans = SpanWriter(settings.observability, settings.host)
        self._metrics = Metrics(settings.observability, settings.host)

    @property
    def log(self) -> Any:
        """The logger, bound to the fields `host` and `zone`."""
        return self._log

    @property
    def spans(self) -> SpanWriter:
        """The span writer."""
        return self._spans

    @property
    def metrics(self) -> Metrics:
        """The metrics."""
        return self._metrics

    def status(self) -> dict[str, int]:
        """Return the numbers of records dropped because a receiver was not ready."""
        return {
            "dropped_log_lines": self._lines.dropped,
            "dropped_spans": self._spans.dropped,
            "dropped_metrics": self._metrics.dropped,
        }
