"""JSON-lines logging and the rate-limited decision log."""

from __future__ import annotations

import logging
import logging.handlers
import math
import sys
import time
from collections.abc import Iterator
from typing import TextIO

from pythonjsonlogger.msgspec import MsgspecFormatter

from gypsumline.core.effects import Decision, DecisionKind
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time

_BUFFERED_LINES = 1000
# A reader of the output may see no more than this of one write.
_WRITE_BYTES = 8192
_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class BatchingHandler(logging.handlers.MemoryHandler):
    """Buffers log records and writes them in batches.

    This keeps formatting and writing out of the request path. A record of level
    WARNING or above flushes the buffer at once. A killed process loses the
    lines since the last flush.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(_BUFFERED_LINES, flushLevel=logging.WARNING)
        self._stream = stream

    def flush(self) -> None:
        """Writes all buffered lines with few calls."""
        self.acquire()
        try:
            if not self.buffer:
                return
            lines = [self.format(record) + "\n" for record in self.buffer]
            self.buffer.clear()
            for batch in _batches(lines):
                self._stream.write(batch)
                self._stream.flush()
        finally:
            self.release()


def _batches(lines: list[str]) -> Iterator[str]:
    """Yields joined lines; a batch above the limit is a single line."""
    batch: list[str] = []
    size = 0
    for line in lines:
        line_size = len(line.encode())
        if batch and size + line_size > _WRITE_BYTES:
            yield "".join(batch)
            batch, size = [], 0
        batch.append(line)
        size += line_size
    yield "".join(batch)


def flush_logs() -> None:
    """Flushes all log handlers; daemons call this periodically."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def configure_logs(
    member_id: str, level: str, stream: TextIO | None = None
) -> None:
    """Configures logging to write JSON lines to a stream, with times in UTC.

    Args:
      member_id: Member id of this process, added to each line.
      level: Lowest level that is written.
      stream: Output stream; standard error if None.
    """
    formatter = MsgspecFormatter(
        _FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"member": member_id},
    )
    formatter.converter = time.gmtime
    handler = BatchingHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn.access", "uvicorn.error", "transitions"):
        logging.getLogger(name).setLevel(logging.WARNING)


def rounded_seconds(value: float) -> float | None:
    """Rounds seconds to milliseconds for a log line; None if not finite."""
    return round(value, 3) if math.isfinite(value) else None


class DecisionLog:
    """Logs decisions, up to a limit of lines per second.

    Lines over the limit are dropped and counted. The count is logged before the
    first line of a later second. Each kind has a limit of its own, so that
    lines on steps do not displace those on outcomes.

    Args:
      lines_per_second: Maximum number of lines per second and kind.
    """

    def __init__(self, lines_per_second: int) -> None:
        self._limit = lines_per_second
        self._logger = logging.getLogger("gypsumline.decision")
        self._second = 0
        self._written = dict.fromkeys(DecisionKind, 0)
        self._dropped = 0

    def write(self, decision: Decision) -> None:
        """Logs a decision, or counts it as dropped."""
        self._start_second(int(boot_time()))
        if self._written[decision.kind] >= self._limit:
            self._dropped += 1
            metrics.DECISION_LINES_DROPPED.inc()
            return
        self._written[decision.kind] += 1
        self._logger.info(decision.event, extra=decision.fields)

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._written = dict.fromkeys(DecisionKind, 0)
        if self._dropped:
            fields = {"dropped": self._dropped}
            self._logger.warning("decision lines dropped", extra=fields)
            self._dropped = 0
