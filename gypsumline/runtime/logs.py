"""JSON-lines logs, with a bounded volume of decision lines."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.msgspec import MsgspecFormatter

from gypsumline.core.effects import Decision
from gypsumline.runtime import metrics
from gypsumline.runtime.clock import boot_time

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(member_id: str, level: str) -> None:
    """Sends all logs to standard error as JSON lines."""
    formatter = MsgspecFormatter(
        _FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"member": member_id},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn.access", "uvicorn.error", "transitions"):
        logging.getLogger(name).setLevel(logging.WARNING)


class DecisionLog:
    """Writes one line for each decision, up to a limit per second.

    Lines over the limit are dropped and counted; the count is written with the
    first line of a later second.
    """

    def __init__(self, lines_per_second: int) -> None:
        self._limit = lines_per_second
        self._logger = logging.getLogger("gypsumline.decision")
        self._second = 0
        self._written = 0
        self._dropped = 0

    def write(self, decision: Decision) -> None:
        """Writes a decision, or counts it as dropped."""
        self._start_second(int(boot_time()))
        if self._written >= self._limit:
            self._dropped += 1
            metrics.DECISION_LINES_DROPPED.inc()
            return
        self._written += 1
        self._logger.info(decision.event, extra=decision.fields)

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._written = 0
        if self._dropped:
            fields = {"dropped": self._dropped}
            self._logger.warning("decision lines dropped", extra=fields)
            self._dropped = 0
