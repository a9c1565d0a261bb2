"""Recovery of an earlier owner's tasks from the journals of the agents."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterable

from gypsumline.core.effects import Effect, Send
from gypsumline.core.identity import Member
from gypsumline.core.messages import (
    JournalEntry,
    JournalQuery,
    JournalReport,
    TaskResults,
)
from gypsumline.core.slots.journal import TaskState
from gypsumline.core.submissions.owner_settings import OwnerSettings
from gypsumline.core.submissions.ownership import OwnershipTerm
from gypsumline.core.submissions.submission_key import key_time
from gypsumline.core.task import TaskResult, TaskStatus

_PRUNE_INTERVAL_SECONDS = 5.0  # between scans for expired keys

# A higher rank is a more advanced state of a task.
_STATE_RANKS = {
    TaskState.WITHDRAWN.value: 0,
    TaskState.QUEUED.value: 1,
    TaskState.STARTED.value: 2,
    TaskState.FINISHED.value: 3,
}


class Completeness(enum.Enum):
    """Whether the journals hold every task start of a key.

    Pending means that some journal has not been read; incomplete means that
    some journal does not reach back to the time of the key.
    """

    PENDING = enum.auto()
    COMPLETE = enum.auto()
    INCOMPLETE = enum.auto()


@dataclasses.dataclass(slots=True)
class RecoveredTask:
    """One task of an earlier owner, merged from the journals of all agents.

    Attributes:
      agent: The agent with the most advanced state of the task.
      entry: The journal entry of that agent.
      newest_attempt: Highest attempt in any journal.
      may_have_run: Whether any agent has started an attempt.
    """

    agent: Member
    entry: JournalEntry
    newest_attempt: int
    may_have_run: bool


@dataclasses.dataclass(slots=True)
class _AgentJournal:
    """State of the query of one agent's journal.

    Attributes:
      member: The agent's newest incarnation.
      revision: Record revision of the last complete report, 0 for none.
      complete_since: UTC seconds from which on the journal misses no entry.
      queried_revision: Record revision of the last query, 0 for none.
      parts_received: Parts received of the report in progress.
    """

    member: Member
    revision: int = 0
    complete_since: float = 0.0
    queried_revision: int = 0
    parts_received: int = 0


class JournalRecovery:
    """Queries the journal of each registered agent once per change of owners.

    An agent answers only once it holds the revision of the query or a newer
    one. From then on it starts no task of the earlier owner, so its report
    stays valid.
    """

    def __init__(self, local_member: Member, settings: OwnerSettings) -> None:
        self._local_member = local_member
        self._settings = settings
        self._revision = 0
        self._queried_term = -1  # first revision of the last queried term
        self._journals: dict[str, _AgentJournal] = {}
        self._tasks_by_key: dict[str, dict[int, RecoveredTask]] = {}
        self._result_bytes = 0
        self._pruned_at = 0.0

    @property
    def result_bytes(self) -> int:
        """Bytes of all recovered results."""
        return self._result_bytes

    def set_revision(self, revision: int) -> None:
        """Records the revision that this entry holds."""
        self._revision = max(self._revision, revision)

    def on_agent_connected(self, agent: Member) -> None:
        """Queries the agent again.

        Parts of a report on an earlier connection may be lost.
        """
        self._queried_term = -1
        journal = self._journals.get(agent.member_id)
        if journal is None:
            self._journals[agent.member_id] = _AgentJournal(agent)
            return
        journal.member = agent
        journal.queried_revision = 0

    def query_agents(
        self, term: OwnershipTerm, connected: Iterable[str], now: float
    ) -> list[Effect]:
        """Returns the journal queries that are due in a term."""
        if now < term.ready_at or self._queried_term == term.first_revision:
            return []
        self._queried_term = term.first_revision
        effects: list[Effect] = []
        revision = term.record.revision
        for agent_id in connected:
            journal = self._journals.get(agent_id)
            if journal is None or agent_id not in term.agents:
                continue
            is_read = journal.revision >= term.first_revision
            if is_read or journal.queried_revision >= term.first_revision:
                continue
            journal.queried_revision = revision
            journal.parts_received = 0
            query = JournalQuery(revision=revision)
            effects.append(Send(to=agent_id, message=query))
        return effects

    def on_report(
        self,
        agent: Member,
        report: JournalReport,
        is_known: Callable[[str], bool],
    ) -> bool:
        """Handles one part of a journal report.

        Args:
          agent: The agent that sent it.
          report: The part.
          is_known: Returns whether this owner runs or has answered a key. The
            tasks of such keys are not recovered.

        Returns:
          Whether this part completes the report.
        """
        journal = self._journals.get(agent.member_id)
        if journal is None or journal.member.incarnation != agent.incarnation:
            return False
        if report.owner_incarnation != self._local_member.incarnation:
            return False
        for entry in report.entries:
            if not is_known(entry.key):
                self._add(agent, entry)
        if report.part != journal.parts_received:
            return False
        journal.parts_received += 1
        if not report.last:
            return False
        journal.parts_received = 0
        journal.revision = max(journal.revision, report.revision)
        journal.complete_since = report.complete_since
        return True

    def on_results(self, agent: Member, message: TaskResults) -> None:
        """Records results of tasks that an earlier owner started."""
        tasks = self._tasks_by_key.get(message.key)
        if tasks is None:
            return
        for result in message.results:
            task = tasks.get(result.index)
            if task is None or result.status is TaskStatus.REFUSED:
                continue
            if task.agent.member_id == agent.member_id:
                self._add(agent, _finished_entry(task.entry, result))

    def completeness(self, term: OwnershipTerm, key: str) -> Completeness:
        """Returns whether the journals of a term hold every start of a key.

        Args:
          term: The term in which this entry became the key's owner.
          key: The key.

        Returns:
          `COMPLETE` if the journals of all agents of the term were read and
          reach back to the time of the key.
        """
        since = key_time(key) - self._settings.key_margin
        complete = True
        for agent_id in term.agents:
            if not self._has_read(term, agent_id):
                return Completeness.PENDING
            journal = self._journals[agent_id]
            complete = complete and journal.complete_since < since
        return Completeness.COMPLETE if complete else Completeness.INCOMPLETE

    def unread_agents(self, term: OwnershipTerm) -> list[str]:
        """Returns the ids of agents whose journals have not been read."""
        return [a for a in sorted(term.agents) if not self._has_read(term, a)]

    def tasks_of(self, key: str) -> dict[int, RecoveredTask]:
        """Returns the recovered tasks of a key by index."""
        return self._tasks_by_key.get(key, {})

    def remove(self, key: str) -> None:
        """Removes the tasks of a key, such as one whose job was recovered."""
        for task in self._tasks_by_key.pop(key, {}).values():
            self._result_bytes -= _entry_result_bytes(task.entry)

    def prune(self, now: float, wall: float) -> None:
        """Removes keys that are too old to be submitted again."""
        if now - self._pruned_at < _PRUNE_INTERVAL_SECONDS:
            return
        self._pruned_at = now
        oldest = wall - self._settings.resubmission_horizon
        oldest -= self._settings.clock_skew
        for key in [
            key for key in self._tasks_by_key if key_time(key) < oldest
        ]:
            self.remove(key)

    def _has_read(self, term: OwnershipTerm, agent_id: str) -> bool:
        """Whether an agent's report covers the keys that this entry owns.

        An agent reports the keys that this entry owns according to the agent's
        record. A newer record than that of this entry may name another owner,
        so the report is not used until this entry holds that record, too.
        """
        journal = self._journals.get(agent_id)
        if journal is None:
            return False
        return term.first_revision <= journal.revision <= self._revision

    def _add(self, agent: Member, entry: JournalEntry) -> None:
        """Merges a journal entry into the recovered tasks.

        A result that would exceed `kept_bytes` is dropped; its task then counts
        as finished with a lost result.
        """
        if (
            self._result_bytes + _entry_result_bytes(entry)
            > self._settings.kept_bytes
        ):
            entry = dataclasses.replace(entry, result=None)
        tasks = self._tasks_by_key.setdefault(entry.key, {})
        known = tasks.get(entry.index)
        if known is None:
            has_run = _has_run(entry)
            task = RecoveredTask(agent, entry, entry.attempt, has_run)
            tasks[entry.index] = task
            self._result_bytes += _entry_result_bytes(entry)
            return
        known.may_have_run = known.may_have_run or _has_run(entry)
        known.newest_attempt = max(known.newest_attempt, entry.attempt)
        if _rank(entry) > _rank(known.entry):
            self._result_bytes += _entry_result_bytes(
                entry
            ) - _entry_result_bytes(known.entry)
            known.agent = agent
            known.entry = entry


def _has_run(entry: JournalEntry) -> bool:
    states = (TaskState.STARTED.value, TaskState.FINISHED.value)
    return entry.ran or entry.state in states


def _rank(entry: JournalEntry) -> tuple[int, bool, int]:
    succeeded = (
        entry.result is not None and entry.result.status is TaskStatus.SUCCEEDED
    )
    return _STATE_RANKS.get(entry.state, 0), succeeded, entry.attempt


def _entry_result_bytes(entry: JournalEntry) -> int:
    return 0 if entry.result is None else len(entry.result.value)


def _finished_entry(entry: JournalEntry, result: TaskResult) -> JournalEntry:
    return dataclasses.replace(
        entry,
        state=TaskState.FINISHED.value,
        attempt=result.attempt,
        result=result,
    )
