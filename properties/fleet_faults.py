"""Faults that let entries see different parts of a fleet of agents.

With three agents any two pairs of them have one in common, so walks with few
agents cannot tell whether two entries depend on the same ones.
"""

from __future__ import annotations

import itertools

from properties.lease_world import ZONES, LeaseWorld

# Durations of cuts between an entry and a zone, in seconds.
CUT_SECONDS = (0.8, 1.5, 5.0)
# Delays added to each message from one agent to one entry, in seconds.
ADDED_DELAYS = (0.15, 0.4, 1.0)
SLOW_STREAM_SECONDS = 2.0
AGENT_PAUSE_SECONDS = (0.1, 0.2, 0.5)
ENTRY_PAUSE_SECONDS = (1.4, 1.8, 2.5)
# Times until an entry hears that a caller has left, in seconds. The longest
# exceeds the timeout of any caller.
LATE_END_SECONDS = (1.4, 2.0, 60.0)
# Times until the first copy of a late submission arrives, in seconds.
LATE_SUBMISSION_SECONDS = (1.31, 1.4, 1.6, 2.5)
# An entry reads all that came during a pause before it answers pings, which
# takes it `CLOSE_DELAY`.
MAX_READ_TURNS = 4
READ_TURN_SECONDS = 0.0002


class FleetWorld(LeaseWorld):
    """Adds slow streams, and entries that read their streams in any order.

    Attributes:
      added_delays: Seconds added to each message, and until when, by sender and
        receiver.
      read_turns: Turns of the event loop, by entry, in which it reads some of
        what came during its pause, in any order.
    """

    def __init__(self, *arguments, **options):
        self.added_delays = {}
        self.read_turns = {}
        super().__init__(*arguments, **options)

    def draw_delay(self, sender, receiver):
        """Returns the delay of a message in seconds."""
        delay = super().draw_delay(sender, receiver)
        added, until = self.added_delays.get((sender, receiver), (0.0, 0.0))
        return delay + added if self.now < until else delay

    def _run_deferred(self, node):
        turns = self.read_turns.get(node.member.member_id, 0)
        if not turns or not node.alive or self.now < node.paused_until:
            super()._run_deferred(node)
            return
        self.read_turns[node.member.member_id] = turns - 1
        turn, node.deferred = self._draw_turn(node)
        for action, arguments in turn:
            action(*arguments)
        if node.deferred:
            self.at(READ_TURN_SECONDS, self._run_deferred, node)

    def _draw_turn(self, node):
        """Returns what an entry reads in one turn, and the rest.

        Each stream is read in order, and ends of connections last.
        """
        share = self.rng.choice((0.2, 0.5, 0.8))
        sources = {}
        rest = []
        for item in node.deferred:
            if item[0] == self._abandon:
                rest.append(item)
            else:
                sources.setdefault(self._source(item), []).append(item)
        read = [name for name in sources if self.rng.random() < share]
        rest = [
            *itertools.chain(*(sources[n] for n in sources if n not in read)),
            *rest,
        ]
        self.rng.shuffle(read)
        return list(itertools.chain(*(sources[n] for n in read))), rest

    def _source(self, item):
        """Returns the stream or connection that an event comes from."""
        action, arguments = item
        if action == self._deliver:
            return arguments[3].member_id
        if action in (self._connected, self._disconnected):
            return arguments[1].member_id
        if action == self._submit:
            return arguments[1].key
        return ""


def cut_zone(world, rng):
    """Cuts an entry off from all agents of a zone, both ways or one way."""
    entry = rng.choice(list(world.entries))
    zone = rng.choice(ZONES)
    until = world.now + rng.choice(CUT_SECONDS)
    ways = rng.choice(((True, True), (True, False), (False, True)))
    for name, node in world.agents.items():
        if node.member.availability_zone != zone:
            continue
        pairs = ((name, entry), (entry, name))
        for pair in itertools.compress(pairs, ways):
            world.partitions[pair] = max(world.partitions.get(pair, 0.0), until)


def slow_stream(world, rng):
    """Delays all messages of one agent to one entry."""
    pair = (rng.choice(list(world.agents)), rng.choice(list(world.entries)))
    until = world.now + SLOW_STREAM_SECONDS
    world.added_delays[pair] = (rng.choice(ADDED_DELAYS), until)


def pause_agents(world, rng):
    """Pauses up to half of the agents while callers leave and return."""
    agents = list(world.agents.values())
    count = rng.choice((1, max(1, len(agents) // 2)))
    for node in rng.sample(agents, count):
        until = world.now + rng.choice(AGENT_PAUSE_SECONDS)
        node.paused_until = max(node.paused_until, until)
    world.submit_new()
    _leave_unheard(world, rng, rng.choice(list(world.entries.values())))


def reset_half(world, rng):
    """Breaks half of the streams of an entry."""
    entry = rng.choice(list(world.entries))
    agents = list(world.agents)
    for agent in rng.sample(agents, (len(agents) + 1) // 2):
        world.reset((agent, entry))


def pause_reading(world, rng):
    """Pauses an entry that then reads its streams in any order.

    Submissions come between them, some of callers that have left.
    """
    node = rng.choice(list(world.entries.values()))
    until = world.now + rng.choice(ENTRY_PAUSE_SECONDS)
    node.paused_until = max(node.paused_until, until)
    world.read_turns[node.member.member_id] = rng.randint(1, MAX_READ_TURNS)
    _leave_unheard(world, rng, node)
    for _ in range(rng.randint(1, 3)):
        world.submit_late(rng.choice(LATE_SUBMISSION_SECONDS))


def _leave_unheard(world, rng, node):
    """Lets callers leave an entry that hears of it late or never."""
    for _ in range(3):
        if node.alive and node.callers:
            key = rng.choice(sorted(node.callers))
            world.leave(node, key, rng.choice(LATE_END_SECONDS))


FAULTS = {
    "cuts": cut_zone,
    "slow-streams": slow_stream,
    "paused-agents": pause_agents,
    "resets": reset_half,
    "partial-reads": pause_reading,
}
