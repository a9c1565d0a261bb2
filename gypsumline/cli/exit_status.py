"""Exit statuses of the command line."""

from __future__ import annotations

import enum

_BAD_REQUEST_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
_REFUSAL_STATUSES = frozenset({409, 429})


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    JOB_FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNKNOWN = 4
    NOT_REACHABLE = 5


_STATUS_BY_OUTCOME = {
    "complete": ExitStatus.OK,
    "running": ExitStatus.OK,
    "failed_ran": ExitStatus.JOB_FAILED,
    "failed_not_run": ExitStatus.REFUSED,
}


def status_of_outcome(outcome: str) -> ExitStatus:
    """Returns the exit status for the outcome of a job."""
    return _STATUS_BY_OUTCOME.get(outcome, ExitStatus.UNKNOWN)


def status_of_problem(http_status: int) -> ExitStatus:
    """Returns the exit status for a problem response of an entry."""
    if http_status in _BAD_REQUEST_STATUSES:
        return ExitStatus.BAD_INPUT
    if http_status in _REFUSAL_STATUSES:
        return ExitStatus.REFUSED
    return ExitStatus.UNKNOWN
