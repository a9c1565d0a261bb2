"""Finds errors in the logs of processes under test."""

from __future__ import annotations

import pathlib

# Level names as the JSON log lines contain them, and what Python writes for an
# error that reached no handler.
_MARKERS = (b'"level":"ERROR"', b'"level":"CRITICAL"', b"Traceback (most")
_LINE_LIMIT = 400


def find_errors(path: pathlib.Path, offset: int = 0) -> list[str]:
    """Returns the lines of a log that report an error, shortened.

    Args:
      path: The log; one that does not exist has no errors.
      offset: Number of bytes that belong to an earlier run.
    """
    if not path.exists():
        return []
    with path.open("rb") as log:
        log.seek(offset)
        return [
            line.decode(errors="replace").rstrip()[:_LINE_LIMIT]
            for line in log
            if any(marker in line for marker in _MARKERS)
        ]


def log_size(path: pathlib.Path) -> int:
    """Returns the size of a log in bytes; 0 if it does not exist."""
    return path.stat().st_size if path.exists() else 0
