"""Checks the starts and answers of simulated runs against the guarantees."""

from __future__ import annotations

import dataclasses

from gypsumline.core.task import Outcome, TaskStatus

ZONE_OUT_BOUND_SECONDS = 2.05  # evidence_ttl with 2% for clock drift
FLOAT_TOLERANCE_SECONDS = 1e-6


@dataclasses.dataclass(slots=True)
class Start:
    """One start of a task and the value that the executor returns for it."""

    attempt: int
    started_at: float
    value: bytes = b""


class SubmissionOracle:
    """Records all starts and answers and the violations of the guarantees.

    Attributes:
      starts: Starts by (key, index).
      answer_counts: Number of answers by request.
      not_run: Time of the answer "not run" by (key, digest).
      zone_out_since: Time since which a zone is taken out of service.
      violations: Descriptions of violated guarantees.
      counts: Number of events by name.
    """

    def __init__(self):
        self.starts = {}
        self.answer_counts = {}
        self.not_run = {}
        self.zone_out_since = {}
        self.violations = []
        self.counts = {}

    def count(self, event):
        self.counts[event] = self.counts.get(event, 0) + 1

    def on_start(self, submission, index, attempt, zone, now):
        key, digest, body = submission
        self.count("start")
        starts = self.starts.setdefault((key, index), [])
        if starts and not body.repeatable:
            self._add_violation("second start", key, index, now)
        if any(start.attempt == attempt for start in starts):
            self._add_violation("second start of one attempt", key, index, now)
        if (key, digest) in self.not_run:
            self._add_violation("start after 'not run'", key, index, now)
        since = self.zone_out_since.get(zone)
        if (
            since is not None
            and now > since + ZONE_OUT_BOUND_SECONDS + FLOAT_TOLERANCE_SECONDS
        ):
            self._add_violation(
                "start in a zone taken out of service", key, index, now
            )
        start = Start(attempt, now)
        starts.append(start)
        start.value = f"{key}/{digest.hex()}/{index}/{len(starts)}".encode()
        return start.value

    def on_answer(self, request, submission, answer, now):
        key, digest, body = submission
        self.count(answer.outcome.value)
        self.answer_counts[request] = self.answer_counts.get(request, 0) + 1
        if self.answer_counts[request] > 1:
            self._add_violation("second answer", key, request, now)
        if digest is None:  # a cancellation names no body
            if answer.outcome is Outcome.FAILED_NOT_RUN:
                self._check_not_run(key, b"", now)
            return
        if answer.outcome is Outcome.COMPLETE:
            self._check_complete(key, digest, body, answer, now)
        elif answer.results:
            self._add_violation("partial answer", key, answer.outcome, now)
        if answer.outcome is Outcome.FAILED_NOT_RUN:
            self.not_run[key, digest] = now
            self._check_not_run(key, digest, now)

    def _check_complete(self, key, digest, body, answer, now):
        indexes = [result.index for result in answer.results]
        if indexes != list(range(len(body.tasks))):
            self._add_violation("partial answer", key, indexes, now)
        for result in answer.results:
            prefix = f"{key}/{digest.hex()}/{result.index}/".encode()
            starts = self.starts.get((key, result.index), [])
            if (
                result.status is not TaskStatus.SUCCEEDED
                or not result.value.startswith(prefix)
                or all(start.value != result.value for start in starts)
            ):
                self._add_violation("wrong result", key, result, now)

    def _check_not_run(self, key, digest, now):
        digest_part = f"/{digest.hex()}/".encode()
        for (started_key, index), starts in self.starts.items():
            if started_key == key and any(
                digest_part in start.value for start in starts
            ):
                self._add_violation("'not run' after a start", key, index, now)

    def _add_violation(self, kind, key, detail, now):
        self.violations.append(f"{now:.3f} {kind}: {key} {detail}")
