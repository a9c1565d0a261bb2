"""Owners and slot tables over an in-memory network with faults.

The control record is changed by the test itself; a process holds the newest
record as of its last evidence. `EVIDENCE_TTL_SECONDS` and the waits are those
of the design.
"""

from __future__ import annotations

import collections
import dataclasses
import random

from gypsumline.core.control.record import OwnerEpoch
from gypsumline.core.effects import Answer, Send, StartTask
from gypsumline.core.identity import Member, Role
from gypsumline.core.messages import CancelJob, Submit, SubmitReply
from gypsumline.core.slots.slot_settings import Announcement
from gypsumline.core.task import Reason, TaskResult
from gypsumline.core.task import TaskStatus as Status
from gypsumline.tests.core.builders import (
    WALL,
    key_at,
    make_record,
    make_submit,
)
from properties.submission_nodes import (
    EVIDENCE_TTL_SECONDS,
    AgentNode,
    EntryNode,
    Link,
)
from properties.submission_oracle import SubmissionOracle

FENCE_SECONDS = EVIDENCE_TTL_SECONDS * 1.01
JOIN_DELAY_SECONDS = 3.0
ZONES = ("a", "b", "c")


class World:
    """All processes, the network, the callers and the oracle."""

    def __init__(self, seed=0, entries=3, agents=4):
        self.rng = random.Random(seed)
        # Whether the walk reaches the bounds on jobs and journal entries.
        self.small_limits = self.rng.random() < 0.2
        self.oracle = SubmissionOracle()
        self.now = 1000.0
        self.serial = 0
        self.nodes = {}
        self.links = []
        self.submissions = {}  # request -> (key, digest, body)
        self.bodies = {}  # key -> list of (key, digest, body)
        self.accepted_records = []  # (time, record, ready_at of its owners)
        self.local_requests = set()  # requests whose entry is their owner
        for number in range(entries):
            self._add(EntryNode, f"e{number}", Role.ENTRY, number)
        for number in range(agents):
            self._add(AgentNode, f"g{number}", Role.AGENT, number)
        self._accept_first_record()
        for node in list(self.nodes.values()):
            self.refresh_evidence(node)
        self.connect_all()
        self.advance(8.0)

    # -- processes and the record

    def entries(self):
        return [n for n in self.nodes.values() if isinstance(n, EntryNode)]

    def agents(self):
        return [n for n in self.nodes.values() if isinstance(n, AgentNode)]

    def _add(self, kind, member_id, role, number):
        incarnation = int((WALL + self.now) * 1e9) + self.serial
        self.serial += 1
        member = Member(
            member_id=member_id,
            incarnation=incarnation,
            role=role,
            availability_zone=ZONES[number % len(ZONES)],
        )
        node = kind(member, self.rng.uniform(-0.2, 0.2), self.small_limits)
        self.nodes[member_id] = node
        if kind is AgentNode:
            node.table.announce(
                Announcement(upstream_id=member_id, service="s", slots=2),
                self.now,
            )
        return node

    def _accept_first_record(self):
        owners = tuple(node.member for node in self.entries())
        record = make_record(
            entries=owners,
            agents=[node.member.member_id for node in self.agents()],
            epochs=(OwnerEpoch(begins_at_wall=0.0, owners=owners),),
        )
        self.accepted_records.append(
            (self.now, record, self.now + FENCE_SECONDS)
        )

    @property
    def record(self):
        return self.accepted_records[-1][1]

    def accept_record(self, moves_owners, **changes):
        record = dataclasses.replace(
            self.record, revision=self.record.revision + 1, **changes
        )
        ready = (
            self.now + FENCE_SECONDS
            if moves_owners
            else self.accepted_records[-1][2]
        )
        self.accepted_records.append((self.now, record, ready))

    def refresh_evidence(self, node, lag=0.0):
        """Gives a process evidence that was requested `lag` seconds ago."""
        asked = self.now - lag
        if not node.is_running or asked < node.evidence_at:
            return
        known = [item for item in self.accepted_records if item[0] <= asked]
        if not known:
            return
        _, record, ready = known[-1]
        node.evidence_at = asked
        if node.record is not None and record.revision <= node.record.revision:
            return
        node.record = record
        if isinstance(node, AgentNode):
            self.apply_effects(node, node.table.set_record(record, self.now))
            return
        wall = node.wall(self.now)
        self.apply_effects(
            node, node.owner.set_record(record, ready, self.now, wall)
        )
        if node.member not in record.entries and self._was_owner(node):
            self.restart(node)

    def _was_owner(self, node):
        return any(
            node.member in item[1].entries for item in self.accepted_records
        )

    def remove_entry(self, node):
        rest = tuple(e for e in self.record.entries if e != node.member)
        if rest and len(rest) < len(self.record.entries):
            self.accept_record(True, entries=rest)

    def join_entry(self, node):
        if node.alive and not self._was_owner(node):
            owners = (*self.record.entries, node.member)
            owners = tuple(
                e
                for e in owners
                if e.member_id != node.member.member_id or e == node.member
            )
            epochs = self._epochs_with(owners)
            self.accept_record(True, entries=owners, epochs=epochs)

    def leave_entry(self, node):
        rest = tuple(e for e in self.record.entries if e != node.member)
        if node.is_running and rest and node.member in self.record.entries:
            self.accept_record(False, epochs=self._epochs_with(rest))
            wall = node.wall(self.now)
            self.apply_effects(node, node.owner.leave(self.now, wall))

    def _epochs_with(self, owners):
        begins = WALL + self.now + JOIN_DELAY_SECONDS
        epoch = OwnerEpoch(begins_at_wall=begins, owners=owners)
        return (*self.record.epochs, epoch)

    def leave_agent(self, agent):
        if agent.is_running:
            self.apply_effects(agent, agent.table.leave(self.now))

    def restart_drained(self):
        """Ends the planned stop of processes that have nothing left."""
        for entry in self.entries():
            if entry.is_running and entry.owner.is_drained():
                self.remove_entry(entry)
        for agent in self.agents():
            leaving = agent.table.upstream_state().leaving
            if agent.is_running and leaving and agent.table.is_drained():
                self.restart(agent)

    def restart(self, old):
        """Replaces a process by an empty one with a higher incarnation."""
        member_id = old.member.member_id
        old.alive = False
        for link in list(self.links):
            if member_id in link.ends:
                link.queues[member_id][1].clear()
                if link.alive:
                    self.disconnect(link)
                link.queues[member_id][1].clear()
        number = ZONES.index(old.member.availability_zone)
        self._add(type(old), member_id, old.member.role, number)
        if isinstance(old, EntryNode):
            for request in list(self.submissions):
                if request[0] == old.member:
                    del self.submissions[request]
        self.refresh_evidence(self.nodes[member_id])
        self.connect_all()

    def set_zone(self, zone, out):
        zones = set(self.record.configuration.availability_zones_out)
        zones = zones | {zone} if out else zones - {zone}
        configuration = dataclasses.replace(
            self.record.configuration,
            availability_zones_out=tuple(sorted(zones)),
        )
        self.accept_record(False, configuration=configuration)
        if out:
            self.oracle.zone_out_since.setdefault(zone, self.now)
        else:
            self.oracle.zone_out_since.pop(zone, None)

    # -- network

    def find_link(self, one, other):
        for link in self.links:
            if link.alive and {one, other} == set(link.ends):
                return link
        return None

    def connect_all(self):
        ids = list(self.nodes)
        for one in self.entries():
            for other_id in ids:
                self.connect(one.member.member_id, other_id)

    def connect(self, entry_id, other_id):
        entry, other = self.nodes[entry_id], self.nodes[other_id]
        if entry_id == other_id or self.find_link(entry_id, other_id):
            return
        if not (entry.alive and other.alive):
            return
        link = Link((entry_id, other_id))
        self.links.append(link)
        for sender, receiver in ((entry, other), (other, entry)):
            queue = collections.deque()
            link.queues[receiver.member.member_id] = (sender.member, queue)
            if isinstance(receiver, EntryNode) and isinstance(
                sender, AgentNode
            ):
                queue.append("connected")

    def disconnect(self, link):
        """Cuts a connection; what is under way may still arrive, late."""
        link.alive = False
        for receiver_id, (sender, queue) in link.queues.items():
            while queue and self.rng.random() < 0.4:
                queue.pop()
            receiver = self.nodes[receiver_id]
            if isinstance(receiver, EntryNode) and sender.role is Role.AGENT:
                queue.append("disconnected")

    def deliverable(self):
        """Returns (link, receiver id) pairs that may deliver now."""
        self.links = [
            link
            for link in self.links
            if link.alive or any(queue for _, queue in link.queues.values())
        ]
        return [
            (link, receiver_id)
            for link in self.links
            for receiver_id, (_, queue) in link.queues.items()
            if queue
            and receiver_id not in link.blocked
            and not self.nodes[receiver_id].paused
        ]

    def duplicate(self, link, receiver_id):
        """A copy of a message arrives at any later time."""
        sender, queue = link.queues[receiver_id]
        if isinstance(queue[0], str):
            return
        copy = Link(link.ends, alive=False)
        if self.rng.random() < 0.7:
            copy.blocked.add(receiver_id)
        copy.queues[receiver_id] = (sender, collections.deque([queue[0]]))
        copy.queues[sender.member_id] = (
            self.nodes[receiver_id].member,
            collections.deque(),
        )
        self.links.append(copy)

    def deliver(self, link, receiver_id):
        sender, queue = link.queues[receiver_id]
        item = queue.popleft()
        node = self.nodes[receiver_id]
        if not node.is_running:
            return
        if isinstance(node, AgentNode):
            fresh = node.is_fresh(self.now)
            args = (sender, item, fresh, self.now, node.wall(self.now))
            self.apply_effects(node, node.table.on_message(*args))
        else:
            self.apply_effects(node, self._receive(node, sender, item))

    def _receive(self, node, sender, item):
        now, wall = self.now, node.wall(self.now)
        fresh = node.is_fresh(now)
        if item == "connected":
            effects = node.owner.on_agent_connected(sender, now, wall)
            return effects + self._observe(node, sender)
        if item == "disconnected":
            return node.owner.on_agent_disconnected(sender, now, wall)
        if isinstance(item, Submit | CancelJob):
            return self._handle_request(node, sender.member_id, item)
        if isinstance(item, SubmitReply):
            request = (node.member, item.request_id)
            if (
                request not in self.oracle.answer_counts
            ):  # as an entry's shell does
                self._report_answer(request, item.answer)
            return []
        return node.owner.on_message(sender, item, now, wall, fresh)

    def _observe(self, entry, sender):
        agent = self.nodes[sender.member_id]
        if agent.member != sender or not agent.is_running:
            return []
        state = agent.table.upstream_state()
        wall = entry.wall(self.now)
        return entry.owner.on_agent(sender, state, self.now, wall)

    # -- effects and callers

    def apply_effects(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(node, effect.to, effect.message)
            elif isinstance(effect, StartTask):
                node.pending_starts.append(effect)
            elif isinstance(effect, Answer):
                self._answer(node, effect)

    def send(self, node, to, message):
        link = self.find_link(node.member.member_id, to)
        if link is not None:
            link.queues[to][1].append(message)

    def _answer(self, node, effect):
        if effect.origin == "":
            self._report_answer((node.member, effect.request_id), effect.answer)
            return
        reply = SubmitReply(
            request_id=effect.request_id, answer=effect.answer, revision=0
        )
        self.send(node, effect.origin, reply)

    def _report_answer(self, request, answer):
        submission = self.submissions.get(request)
        if submission is not None:
            self.oracle.on_answer(request, submission, answer, self.now)

    def new_submission(self, tasks, repeatable, timeout, skew):
        self.serial += 1
        key = key_at(WALL + self.now + skew, self.serial)
        body = make_submit(
            key, tasks, repeatable=repeatable, timeout=timeout
        ).body
        submission = (key, b"body0", body)
        self.bodies[key] = [submission]
        return submission

    def submit(self, entry, submission):
        """A caller hands a submission to an entry, which forwards it."""
        key, digest, body = submission
        message = Submit(request_id=0, key=key, digest=digest, body=body)
        self._forward(entry, submission, message)

    def cancel(self, entry, submission):
        key, _, body = submission
        message = CancelJob(request_id=0, key=key)
        self._forward(entry, (key, None, body), message)

    def _forward(self, entry, submission, message):
        if not entry.is_running or entry.record is None:
            return
        owner = entry.record.owner_of(submission[0])
        if owner is None:
            return
        self.serial += 1
        self.submissions[entry.member, self.serial] = submission
        message = dataclasses.replace(message, request_id=self.serial)
        if owner.member_id == entry.member.member_id:
            self.local_requests.add((entry.member, self.serial))
            self.apply_effects(entry, self._handle_request(entry, "", message))
        else:
            self.send(entry, owner.member_id, message)

    def _handle_request(self, node, origin, message):
        is_submit = isinstance(message, Submit)
        take = node.owner.submit if is_submit else node.owner.cancel
        now = self.now
        return take(origin, message, node.is_fresh(now), now, node.wall(now))

    # -- executor and time

    def execute(self, agent, position):
        """The shell passes the gate once more and writes the request."""
        if not agent.is_running or not agent.pending_starts:
            return
        effect = agent.pending_starts.pop(position % len(agent.pending_starts))
        index = effect.task.index
        fresh = agent.is_fresh(self.now)
        reason = agent.table.may_start(effect.key, index, fresh, self.now)
        if reason is not Reason.NONE:
            self.apply_effects(agent, agent.table.tick(fresh, self.now))
            return
        submission = self._find_started_submission(agent, effect.key)
        zone = agent.member.availability_zone
        attempt = agent.table.journal.find(effect.key, index).attempt
        value = self.oracle.on_start(submission, index, attempt, zone, self.now)
        agent.running.append((effect.key, index, attempt, value))

    def _find_started_submission(self, agent, key):
        digest = agent.table.journal.find_key(key).digest
        for submission in self.bodies[key]:
            if submission[1] == digest:
                return submission
        raise AssertionError(f"no body {digest!r} under {key}")

    def finish(self, agent, position, status):
        if not agent.is_running or not agent.running:
            return
        key, index, attempt, value = agent.running.pop(
            position % len(agent.running)
        )
        result = TaskResult(
            index=index,
            status=status,
            value=value if status is Status.SUCCEEDED else b"null",
            reason=Reason.EXECUTOR_LOST
            if status is Status.UNKNOWN
            else Reason.NONE,
            attempt=attempt,
        )
        self.apply_effects(
            agent, agent.table.on_finished(key, result, self.now)
        )

    def advance(self, seconds):
        """Lets time pass; running processes tick and get evidence."""
        self.now += seconds
        for node in list(self.nodes.values()):
            if not node.is_running:
                continue
            if not node.isolated and self.rng.random() < 0.8:
                self.refresh_evidence(
                    node, lag=self.rng.choice((0.0, 0.3, 1.2))
                )
        for node in list(self.nodes.values()):
            if not node.is_running:
                continue
            fresh = node.is_fresh(self.now)
            if isinstance(node, AgentNode):
                self.apply_effects(node, node.table.tick(fresh, self.now))
                continue
            wall = node.wall(self.now)
            self.apply_effects(node, node.owner.tick(self.now, wall, fresh))
            for agent in self.agents():
                link = self.find_link(
                    node.member.member_id, agent.member.member_id
                )
                if link is not None and not link.blocked:
                    self.apply_effects(node, self._observe(node, agent.member))
