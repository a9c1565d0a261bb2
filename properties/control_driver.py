"""Actions on a simulated control world, for walks and hypothesis tests."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

from gypsumline.core.configuration import Configuration
from gypsumline.core.effects import ConfigurationChange
from gypsumline.core.identity import Role
from properties.control_oracle import Oracle, OracleError, ProposedChange
from properties.control_world import Process, World

ZONES = ("glyfada", "marousi", "piraeus")
START_SECONDS = 4.0
# After all faults end, heartbeats, removals and joins take a few seconds each.
_RECOVERY_SECONDS = 25.0
_IN_FORCE_SECONDS = 4.0


Action = Callable[["ControlDriver", Random], None]


class ControlDriver:
    """A simulated world of entries and agents, checked by the oracle.

    Args:
      seed: Seed of the world.
      entries: Number of entries.
      agents: Number of agents.
    """

    def __init__(self, seed: int, entries: int = 3, agents: int = 3) -> None:
        self.world = World(seed)
        self.oracle = Oracle(self.world, seed)
        self._leaving: set[str] = set()
        self._ids = itertools.count(1)
        self._entry_numbers = itertools.count(entries)
        for number in range(entries):
            self._start("entry", number, Role.ENTRY)
        for number in range(agents):
            self._start("agent", number, Role.AGENT)
        self.world.run(START_SECONDS)

    def _start(self, name: str, number: int, role: Role) -> None:
        zone = ZONES[number % len(ZONES)]
        self.world.start(f"{name}-{number}", zone, role)

    @property
    def members(self) -> list[str]:
        """Ids of the running processes."""
        return sorted(self.world.processes)

    @property
    def entries(self) -> list[str]:
        """Ids of the running entries."""
        return [m for m in self.members if m.startswith("entry")]

    @property
    def staying_entries(self) -> list[str]:
        """Ids of the running entries that have not started to leave."""
        return [e for e in self.entries if e not in self._leaving]

    def process(self, member_id: str) -> Process:
        """Returns a running process."""
        return self.world.processes[member_id]

    def run(self, seconds: float) -> None:
        """Advances time, then checks the outcomes and the table's history."""
        self.world.run(seconds)
        self.oracle.check_outcomes()
        self.oracle.check_history()

    def propose(self, entry: str, versions_behind: int = 0) -> int:
        """Proposes a change at an entry.

        Args:
          entry: Id of the entry.
          versions_behind: How far the change's base version is behind.

        Returns:
          The request id.
        """
        request_id = next(self._ids)
        process = self.process(entry)
        machine = process.machine
        token = f"token-{request_id}"
        change = ConfigurationChange(
            base_version=max(
                0, machine.record.configuration_version - versions_behind
            ),
            text=token,
            configuration=Configuration(upstreams_out=(token,)),
            author="ada",
            note=token,
            write_token=token,
        )
        self.oracle.proposed.append(ProposedChange(request_id, token, process))
        self.world.call(
            process,
            lambda now, wall: machine.propose(request_id, change, now, wall),
        )
        return request_id

    def cut(self, one: str, other: str, both_ways: bool) -> None:
        """Drops messages from one process to another, or in both directions."""
        self.world.cuts.add((one, other))
        if both_ways:
            self.world.cuts.add((other, one))

    def cut_zone(self, zone: str) -> None:
        """Drops all messages between a zone and the other zones."""
        inside = {m for m in self.members if self._zone(m) == zone}
        for one in inside:
            for other in set(self.members) - inside:
                self.cut(one, other, both_ways=True)

    def _zone(self, member: str) -> str:
        return self.process(member).member.availability_zone

    def split(self, side: set[str]) -> None:
        """Partitions some processes from the others and from the table."""
        for one in side:
            for other in set(self.members) - side:
                self.cut(one, other, both_ways=True)
        self.world.faults.unreachable |= side

    def restart_zone(self, zone: str) -> None:
        """Restarts all processes of a zone at once."""
        for member in self.members:
            if self._zone(member) == zone:
                self.world.restart(member)

    def add_entry(self) -> None:
        """Starts an additional entry."""
        self._start("entry", next(self._entry_numbers), Role.ENTRY)

    def leave(self, entry: str, drain_seconds: float) -> None:
        """Starts a planned leave; the entry departs `drain_seconds` later."""
        process = self.process(entry)
        machine = process.machine
        self._leaving.add(entry)
        self.world.call(process, machine.leave)
        self.world.schedule(
            drain_seconds, lambda: self.world.call(process, machine.depart)
        )

    def heal_network(self) -> None:
        """Ends partitions and slow links."""
        self.world.cuts.clear()
        self.world.slow_links.clear()

    def toggle_noise(self) -> None:
        """Toggles delayed, reordered and duplicated messages."""
        self.world.is_noisy = not self.world.is_noisy

    def heal(self) -> None:
        """Ends all faults."""
        self.heal_network()
        self.world.is_noisy = False
        self.world.faults.clear()
        for member in self.members:
            if self.process(member).is_paused:
                self.world.resume(member)

    def check_recovery(self) -> None:
        """Ends all faults and raises if the system does not recover."""
        self.heal()
        self.run(_RECOVERY_SECONDS)
        for proposed in self.oracle.proposed:
            # A restarted process reports no outcome of earlier proposals.
            is_pending = proposed.request_id not in self.world.outcomes
            if is_pending and self.world.is_alive(proposed.process):
                raise OracleError(f"change {proposed.token} has no outcome")
        request_id = self.propose(self.staying_entries[0])
        self.run(_IN_FORCE_SECONDS)
        outcome = self.world.outcomes.get(request_id)
        if outcome is None or outcome.kind != "accepted":
            raise OracleError(f"change after the faults ended in {outcome}")
        self._check_agreement()

    def _check_agreement(self) -> None:
        row = self.world.row
        for member in self.members:
            process = self.process(member)
            now = process.clock(self.world.time)
            if process.machine.record != row:
                raise OracleError(f"{member} does not hold the table's record")
            if not process.machine.is_fresh(now):
                raise OracleError(f"{member} has no fresh evidence")


def _propose(driver: ControlDriver, rng: Random) -> None:
    for entry in rng.sample(driver.entries, min(2, len(driver.entries))):
        driver.propose(entry, versions_behind=rng.choice((0, 0, 0, 1)))


def _cut(driver: ControlDriver, rng: Random) -> None:
    one, other = rng.sample(driver.members, 2)
    driver.cut(one, other, both_ways=rng.random() < 0.5)


def _slow_link(driver: ControlDriver, rng: Random) -> None:
    one, other = rng.sample(driver.members, 2)
    driver.world.slow_links[one, other] = rng.uniform(0.5, 4)


def _split(driver: ControlDriver, rng: Random) -> None:
    # Each side keeps at least one entry; a side without one writes nothing.
    first, *others = rng.sample(driver.entries, len(driver.entries))
    agents = [m for m in driver.members if m not in driver.entries]
    side = {first} | {m for m in agents if rng.random() < 0.6}
    driver.split(side | {m for m in others[1:] if rng.random() < 0.5})


def _set_table_faults(**faults: object) -> Action:
    def act(driver: ControlDriver, rng: Random) -> None:
        for name, value in faults.items():
            setattr(driver.world.faults, name, value)

    return act


def _add_entry(driver: ControlDriver, rng: Random) -> None:
    if len(driver.entries) < 5:
        driver.add_entry()


def _leave(driver: ControlDriver, rng: Random) -> None:
    if len(driver.staying_entries) > 2:
        driver.leave(rng.choice(driver.staying_entries), rng.uniform(0.5, 3))


ACTIONS: dict[str, Action] = {
    "propose": _propose,
    "pause": lambda d, rng: d.world.pause(rng.choice(d.members)),
    "resume": lambda d, rng: d.world.resume(rng.choice(d.members)),
    "restart": lambda d, rng: d.world.restart(rng.choice(d.members)),
    "restart_zone": lambda d, rng: d.restart_zone(rng.choice(ZONES)),
    "cut": _cut,
    "slow_link": _slow_link,
    "cut_zone": lambda d, rng: d.cut_zone(rng.choice(ZONES)),
    "split": _split,
    "heal_network": lambda d, rng: d.heal_network(),
    "table_down": _set_table_faults(is_down=True),
    "table_slow": _set_table_faults(is_slow=True),
    "lose_answers": _set_table_faults(lost_answers=0.5),
    "table_up": lambda d, rng: d.world.faults.clear(),
    "noise": lambda d, rng: d.toggle_noise(),
    "add_entry": _add_entry,
    "leave": _leave,
}
_WEIGHTS = {"propose": 8, "pause": 2, "resume": 3, "table_up": 3, "split": 3}
_WEIGHTED = [name for name in ACTIONS for _ in range(_WEIGHTS.get(name, 1))]


def random_action(driver: ControlDriver, rng: Random) -> str:
    """Performs one random action and returns its name."""
    name = rng.choice(_WEIGHTED)
    ACTIONS[name](driver, rng)
    return name
