"""Logs and counts invalid inputs, each distinct one once."""

from __future__ import annotations

import collections
import logging
from collections.abc import Hashable

from gypsumline.runtime import metrics

# Distinct inputs that are remembered; the least recently seen is dropped.
REMEMBERED_INPUTS = 1024
_DETAIL_CHARACTERS = 200


class RejectionLog:
    """Logs and counts an invalid input at its first reading only.

    Args:
      source: Label of the metric.
      event: Message of the log line.
      logger: Logger of the reader.
      level: Level of the log line.
    """

    def __init__(
        self,
        source: str,
        event: str,
        logger: logging.Logger,
        level: int = logging.WARNING,
    ) -> None:
        self._counter = metrics.REJECTED_INPUTS.labels(source)
        self._event = event
        self._logger = logger
        self._level = level
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def record(self, identity: Hashable, detail: str, **fields: object) -> None:
        """Logs and counts an input unless it is known.

        Args:
          identity: Equal for readings of the same input.
          detail: What is invalid.
          **fields: Further fields of the log line.
        """
        key = hash(identity)
        is_known = key in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if is_known:
            return
        if len(self._seen) > REMEMBERED_INPUTS:
            self._seen.popitem(last=False)
        self._counter.inc()
        extra = {**fields, "detail": detail[:_DETAIL_CHARACTERS]}
        self._logger.log(self._level, self._event, extra=extra)
