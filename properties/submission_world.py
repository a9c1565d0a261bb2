"""Submission owners and slot tables over a simulated network with faults.

The test itself changes the control record. A process holds the record that was
the newest at the time of its last evidence. `EVIDENCE_TTL_SECONDS` and
`FENCE_SECONDS` equal the defaults of the control settings.
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
from gypsumline.core.task import Reason, TaskResult, TaskStatus
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
    """A simulated system: processes, network, callers and the oracle.

    A request is identified by (member of its entry, request id).

    Attributes:
      submissions: (key, digest, body) by request.
      bodies: All (key, digest, body) that were submitted, by key.
      accepted_records: (time of acceptance, record, its `ready_at`).
      local_requests: Requests whose entry owns their key.
    """

    def __init__(self, seed=0, entries=3, agents=4):
        self.rng = random.Random(seed)
        # Whether the walk reaches the bounds on jobs and journal entries.
        self.small_limits = self.rng.random() < 0.2
        self.oracle = SubmissionOracle()
        self.now = 1000.0
        self.serial = 0
        self.nodes = {}
        self.links = []
        self.submissions = {}
        self.bodies = {}
        self.accepted_records = []
        self.local_requests = set()
        for number in range(entries):
            self._add_node(EntryNode, f"e{number}", Role.ENTRY, number)
        for number in range(agents):
            self._add_node(AgentNode, f"g{number}", Role.AGENT, number)
        self._accept_first_record()
        for node in list(self.nodes.values()):
            self.refresh_evidence(node)
        self.connect_all()
        self.advance(8.0)

    # Processes and the control record.

    def entries(self):
        return [n for n in self.nodes.values() if isinstance(n, EntryNode)]

    def agents(self):
        return [n for n in self.nodes.values() if isinstance(n, AgentNode)]

    def _add_node(self, node_type, member_id, role, number):
        incarnation = int((WALL + self.now) * 1e9) + self.serial
        self.serial += 1
        member = Member(
            member_id=member_id,
            incarnation=incarnation,
            role=role,
            availability_zone=ZONES[number % len(ZONES)],
        )
        node = node_type(member, self.rng.uniform(-0.2, 0.2), self.small_limits)
        self.nodes[member_id] = node
        if node_type is AgentNode:
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
        ready_at = (
            self.now + FENCE_SECONDS
            if moves_owners
            else self.accepted_records[-1][2]
        )
        self.accepted_records.append((self.now, record, ready_at))

    def refresh_evidence(self, node, lag=0.0):
        """Gives a process evidence that was requested `lag` seconds ago."""
        requested_at = self.now - lag
        if not node.is_running or requested_at < node.evidence_at:
            return
        known = [
            accepted
            for accepted in self.accepted_records
            if accepted[0] <= requested_at
        ]
        if not known:
            return
        _, record, ready_at = known[-1]
        node.evidence_at = requested_at
        if node.record is not None and record.revision <= node.record.revision:
            return
        node.record = record
        if isinstance(node, AgentNode):
            self.apply_effects(node, node.table.set_record(record, self.now))
            return
        wall = node.wall(self.now)
        self.apply_effects(
            node, node.owner.set_record(record, ready_at, self.now, wall)
        )
        if node.member not in record.entries and self._was_owner(node):
            self.restart(node)

    def _was_owner(self, node):
        return any(
            node.member in accepted[1].entries
            for accepted in self.accepted_records
        )

    def remove_entry(self, node):
        others = tuple(e for e in self.record.entries if e != node.member)
        if others and len(others) < len(self.record.entries):
            self.accept_record(True, entries=others)

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
        others = tuple(e for e in self.record.entries if e != node.member)
        if node.is_running and others and node.member in self.record.entries:
            self.accept_record(False, epochs=self._epochs_with(others))
            wall = node.wall(self.now)
            self.apply_effects(node, node.owner.leave(self.now, wall))

    def _epochs_with(self, owners):
        begins_at = WALL + self.now + JOIN_DELAY_SECONDS
        epoch = OwnerEpoch(begins_at_wall=begins_at, owners=owners)
        return (*self.record.epochs, epoch)

    def leave_agent(self, agent):
        if agent.is_running:
            self.apply_effects(agent, agent.table.leave(self.now))

    def restart_drained(self):
        """Ends the planned stop of drained processes."""
        for entry in self.entries():
            if entry.is_running and entry.owner.is_drained():
                self.remove_entry(entry)
        for agent in self.agents():
            leaving = agent.table.upstream_state().leaving
            if agent.is_running and leaving and agent.table.is_drained():
                self.restart(agent)

    def restart(self, node):
        """Replaces a process by one without state and a higher incarnation."""
        member_id = node.member.member_id
        node.alive = False
        for link in list(self.links):
            if member_id in link.ends:
                link.queues[member_id][1].clear()
                if link.alive:
                    self.disconnect(link)
                link.queues[member_id][1].clear()
        number = ZONES.index(node.member.availability_zone)
        self._add_node(type(node), member_id, node.member.role, number)
        if isinstance(node, EntryNode):
            for request in list(self.submissions):
                if request[0] == node.member:
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

    # Network.

    def find_link(self, first_id, second_id):
        for link in self.links:
            if link.alive and {first_id, second_id} == set(link.ends):
                return link
        return None

    def connect_all(self):
        ids = list(self.nodes)
        for entry in self.entries():
            for other_id in ids:
                self.connect(entry.member.member_id, other_id)

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
        """Closes a connection; messages in flight are lost or arrive later."""
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
        """Copies the next message of a connection, to arrive at any time."""
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
            # An entry ignores replies to answered requests.
            if request not in self.oracle.answer_counts:
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

    # Effects and callers.

    def apply_effects(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self.send(node, effect.to, effect.message)
            elif isinstance(effect, StartTask):
                node.pending_starts.append(effect)
            elif isinstance(effect, Answer):
                self._send_answer(node, effect)

    def send(self, node, to, message):
        link = self.find_link(node.member.member_id, to)
        if link is not None:
            link.queues[to][1].append(message)

    def _send_answer(self, node, effect):
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

    def new_submission(self, tasks, repeatable, timeout, key_offset):
        self.serial += 1
        key = key_at(WALL + self.now + key_offset, self.serial)
        body = make_submit(
            key, tasks, repeatable=repeatable, timeout=timeout
        ).body
        submission = (key, b"body0", body)
        self.bodies[key] = [submission]
        return submission

    def submit(self, entry, submission):
        """Submits a job to an entry, which forwards it to the key's owner."""
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
        handle = node.owner.submit if is_submit else node.owner.cancel
        now = self.now
        return handle(origin, message, node.is_fresh(now), now, node.wall(now))

    # Executors and time.

    def execute(self, agent, position):
        """Checks again whether a pending start may start, and starts it."""
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
            value=value if status is TaskStatus.SUCCEEDED else b"null",
            reason=Reason.EXECUTOR_LOST
            if status is TaskStatus.UNKNOWN
            else Reason.NONE,
            attempt=attempt,
        )
        self.apply_effects(
            agent, agent.table.on_finished(key, result, self.now)
        )

    def advance(self, seconds):
        """Advances the time; running processes get evidence and tick."""
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
