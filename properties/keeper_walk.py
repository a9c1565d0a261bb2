"""Random walks of the model of the locks: faults, changes of the list, jobs.

python -m properties.keeper_walk --seed 1 --walks 100 --members 9
"""

import argparse
import collections
import heapq
import itertools
import random
import sys

from properties.keeper_model import (
    KEEPERS,
    RUN_TIME,
    ZONES,
    Keeper,
    KeeperList,
    Link,
    Owner,
    Rule,
)

KEYS = ("a", "b", "c")
WALK_SECONDS = 40.0


class Model:
    """Time, streams, the store's row and the check of the invariant.

    Attributes:
      now: Time, which no process can read.
      row: Row of the store.
      violations: Descriptions of runs of two owners of one key.
      counts: Numbers of events, which show what a walk has covered.
    """

    def __init__(self, seed, rule=None, members=9, owners=2):
        self.rng = random.Random(seed)
        self.rule = rule or Rule()
        self.now = 0.0
        self.violations = []
        self.counts = collections.Counter()
        self._events = []
        self._sequence = itertools.count()
        self._links = collections.defaultdict(Link)
        self._ranks = collections.defaultdict(self.rng.random)
        self._chosen = {}
        self._runs = collections.defaultdict(dict)  # key -> owner -> end
        self._store_cuts = {}  # agent -> end of its cut from the store
        self.first_size = members
        spares = min(members, 12)
        names = [f"agent-{n}" for n in range(members + spares)]
        self.zones = {name: n % ZONES for n, name in enumerate(names)}
        self.row = KeeperList(1, tuple(names[:members]))
        self.owners, self.agents = {}, {}
        for name in names:
            self.agents[name] = Keeper(self, name)
            self.agents[name].learn(self.row)
            # The fleet has been up for longer than the model.
            self.agents[name].started_at -= 10.0
        for number in range(owners):
            self.owners[f"owner-{number}"] = Owner(self, f"owner-{number}")

    # Keepers of a key.

    def rank(self, key, name):
        return self._ranks[key, name]

    def ranked(self, key, names):
        return sorted(names, key=lambda n: self._ranks[key, n], reverse=True)

    def keepers(self, key, members):
        """Returns the best member of each zone, filled with the next ranks."""
        if (key, members) not in self._chosen:
            ranked = self.ranked(key, members)
            best = {}
            for name in ranked:
                best.setdefault(self.zones[name], name)
            others = [n for n in ranked if n not in best.values()]
            self._chosen[key, members] = [*best.values(), *others][:KEEPERS]
        return self._chosen[key, members]

    # Time and streams.

    def at(self, delay, process, action, *arguments):
        """Schedules an action of a process unless it is killed before."""
        event = (None, 0, process, process.life, action, arguments)
        self._push(self.now + delay, event)

    def send(self, sender, receiver, method, *arguments):
        link = self.link(sender, receiver)
        delay = self.rng.uniform(0.001, 0.02)
        if self.rng.random() < 0.002:
            delay = self.rng.uniform(0.1, 3.0)
        arrival = max(
            self.now + delay,
            link.cut_until.get(sender.name, 0.0) + self.rng.uniform(0, 0.05),
            link.last_arrival.get(sender.name, 0.0),
        )
        link.last_arrival[sender.name] = arrival
        action = getattr(receiver, method)
        if method in ("on_ping", "on_reply"):
            arguments = (sender, *arguments)
        event = (link, link.number, receiver, receiver.life, action, arguments)
        self._push(arrival, event)

    def link(self, one, other):
        return self._links[frozenset((one.name, other.name))]

    def reset(self, link):
        """Replaces a stream; its messages are lost or late."""
        link.number += 1
        link.last_arrival = {}
        link.cut_until = {}
        link.earlier_read_at = self.now + self.rng.choice((0.0, 0.1, 0.5, 3.0))
        if self.rng.random() < 0.5:
            link.first_kept = link.number

    def run_until(self, end):
        while self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            link, number, process, life, action, arguments = event
            if not process.alive or process.life != life:
                continue
            if link is not None and number < link.first_kept:
                continue
            ready_at = process.reads_at(link)
            if link is not None and number < link.number:
                ready_at = max(ready_at, link.earlier_read_at)
            if self.now < ready_at:
                self._push(ready_at, event)
            else:
                action(*arguments)
        self.now = end

    def _push(self, when, event):
        heapq.heappush(self._events, (when, next(self._sequence), event))

    # The store.

    def change_list(self, expected, members, previous):
        """Replaces the row unless it has changed."""
        if self.row != expected or not members:
            return
        self.counts["changes"] += 1
        version = expected.version + 1
        self.row = KeeperList(version, tuple(members), tuple(previous))
        for agent in self.agents.values():
            self.inform(agent)

    def inform(self, agent):
        """Lets an agent read the present row from the store."""
        cut = self._store_cuts.get(agent.name, 0.0) - self.now
        delay = max(cut, 0.0) + self.rng.uniform(0.001, 0.1)
        self.at(delay, agent, agent.learn, self.row)

    def cut_from_store(self, name, seconds):
        end = max(self._store_cuts.get(name, 0.0), self.now + seconds)
        self._store_cuts[name] = end

    def restart(self, process):
        if process.alive:
            return
        process.start()
        if isinstance(process, Keeper):
            self.inform(process)

    # The invariant.

    def record_runs(self, owner, key):
        """Notes that an owner keeps runs, which may outlast its contact."""
        me = (owner.name, owner.life)
        for other, end in self._runs[key].items():
            if other != me and end > self.now:
                self.violations.append(
                    f"{self.now:.3f} {key}: {me} under {owner.list}, runs of "
                    f"{other} until {end:.3f}"
                )
        if me not in self._runs[key]:
            self.counts["jobs"] += 1
            if owner.list is not None and owner.list.version > 1:
                state = "in" if owner.is_in_transition else "after"
                self.counts[f"jobs {state} a transition"] += 1
        self._runs[key][me] = self.now + RUN_TIME

    def end_runs(self, owner, key):
        self._runs[key].pop((owner.name, owner.life), None)


class Faults:
    """Draws the jobs, faults and changes of a walk."""

    def __init__(self, model, actions=()):
        self.model, self.rng = model, model.rng
        weights = {
            self.pause_owner: 2,
            self.restart_owner: 1,
            self.pause_agents: 2,
            self.restart_agents: 1,
            self.reset_streams: 2,
            self.cut: 2,
            self.split: 2,
            self.change_list: 5,
            self.repeat_jobs: 2,
        }
        # Walks differ in their faults, so that some leave time for others.
        self.weights = {
            action: weight * self.rng.choice((0, 1, 1, 3))
            for action, weight in weights.items()
        }
        self.weights[self.change_list] += 1
        if actions:
            self.weights = {getattr(self, name): 1 for name in actions}
        self.quiet_until = 0.0
        self.interval = self.rng.choice((0.3, 0.6, 1.2, 2.0))

    def step(self):
        rng = self.rng
        owner = rng.choice(list(self.model.owners.values()))
        for _ in range(3):
            key = rng.choice(KEYS)
            other = rng.choice(list(self.model.owners.values()))
            if other.alive:
                other.submit(key, rng.choice((0.5, 2.0, 6.0)))
        if self.model.now < self.quiet_until:
            return
        actions, weights = zip(*self.weights.items(), strict=True)
        rng.choices(actions, weights)[0](owner)

    def subset(self):
        """Returns some agents: a few, a zone, half or most of them."""
        agents = list(self.model.agents.values())
        zone = self.rng.randrange(ZONES)
        share = self.rng.choice((0.1, 0.3, 0.5, 0.8))
        if self.rng.random() < 0.3:
            return [a for a in agents if self.model.zones[a.name] == zone]
        return [a for a in agents if self.rng.random() < share]

    def pause_owner(self, owner):
        if owner.alive:
            for key in list(owner.jobs):
                owner.check(key)
            owner.pause(self.rng.choice((0.1, 0.5, 1.3, 2.5, 6.0)))

    def restart_owner(self, owner):
        self._restart(owner, self.rng.choice((0.01, 0.5, 3.0)))

    def pause_agents(self, _):
        seconds = self.rng.choice((0.1, 0.5, 2.0, 6.0))
        for agent in self.subset():
            agent.pause(seconds)

    def restart_agents(self, _):
        seconds = self.rng.choice((0.01, 0.5, 3.0, 20.0))
        for agent in self.subset():
            self._restart(agent, seconds)

    def _restart(self, process, seconds):
        if not process.alive:
            return
        if isinstance(process, Owner) and process.paused_until < self.model.now:
            for key in list(process.jobs):
                process.check(key)
        process.kill()
        for owner in self.model.owners.values():
            for agent in self.model.agents.values():
                if process in (owner, agent):
                    self.model.reset(self.model.link(owner, agent))
        self.model.at(seconds, ALWAYS, self.model.restart, process)

    def reset_streams(self, owner):
        for agent in self.subset():
            self.model.reset(self.model.link(owner, agent))

    def cut(self, owner):
        """Holds up messages between an owner and some agents."""
        seconds = self.rng.choice((0.2, 1.0, 3.0))
        directions = self.rng.choice(((1, 1), (1, 0), (0, 1)))
        is_reset = self.rng.random() < 0.5
        for agent in self.subset():
            if is_reset:
                self.model.reset(self.model.link(owner, agent))
            self.cut_link(owner, agent, seconds, directions)

    def cut_link(self, owner, agent, seconds, directions=(1, 1)):
        link, end = self.model.link(owner, agent), self.model.now + seconds
        for process, is_cut in zip((owner, agent), directions, strict=True):
            if is_cut:
                earlier = link.cut_until.get(process.name, 0.0)
                link.cut_until[process.name] = max(end, earlier)

    def split(self, owner):
        """Lets the owners see two parts of the agents, and changes the list.

        One part may also be cut off from the store.
        """
        model = self.model
        part = {a.name for a in self.subset()}
        if self.rng.random() < 0.5:
            # A quorum of the keepers of a key, if the others are a majority.
            keepers = model.keepers(self.rng.choice(KEYS), model.row.members)
            part = {
                *keepers[:2],
                *self.rng.sample(sorted(part), len(part) // 3),
            }
        seconds = self.rng.choice((1.0, 4.0, 12.0, 25.0))
        is_part_cut_from_store = self.rng.random() < 0.7
        for agent in model.agents.values():
            if agent.name in part and is_part_cut_from_store:
                model.cut_from_store(agent.name, seconds)
            for other in model.owners.values():
                model.link(other, agent).cut_until = {}
                if (other is owner) != (agent.name in part):
                    self.cut_link(other, agent, seconds)
        others = [o for o in model.owners.values() if o is not owner]
        if self.rng.random() < 0.7:
            self.quiet_until = model.now + seconds
            for _ in range(self.rng.choice((1, 1, 2))):
                other = self.rng.choice(others)
                delay = self.rng.uniform(0.0, 4.0)
                model.at(delay, ALWAYS, self.change_list, other)

    def change_list(self, owner):
        """Writes a list with any members, as far as the rule allows it."""
        model = self.model
        if not owner.alive or owner.paused_until > model.now:
            return
        limit = owner.clock - 3.0
        heard = [n for n, at in owner.heard.items() if at >= limit]
        if not owner.may_change_list():
            return
        usual = model.first_size
        size = min(self.rng.choice((usual, usual, 1, 2)), len(heard))
        drawn = self.rng.sample(heard, size)
        share = self.rng.choice((0.5, 0.9))
        kept = [m for m in owner.list.members if self.rng.random() < share]
        members = self.rng.choice((heard, drawn, [*kept, *drawn]))
        previous = owner.list.members
        arguments = (owner.list, dict.fromkeys(members), previous)
        delay = self.rng.choice((0.001, 0.1, 3.0))
        model.at(delay, ALWAYS, model.change_list, *arguments)

    def repeat_jobs(self, owner):
        """Ends jobs and submits them again on new streams to the agents."""
        if not owner.alive or owner.paused_until > self.model.now:
            return
        for key in list(owner.jobs):
            owner.jobs[key].wanted_until = owner.clock
            while key in owner.jobs:
                owner.check(key)
        for agent in self.model.agents.values():
            self.model.reset(self.model.link(owner, agent))
        for key in KEYS:
            owner.submit(key, 6.0)


class _Always:
    """Stands for the surroundings in the queue of events."""

    alive, life = True, 0

    def reads_at(self, _):
        return float("-inf")


ALWAYS = _Always()


def walk(seed, rule=None, members=9, actions=(), seconds=WALK_SECONDS):
    """Runs one walk up to its first violation.

    Args:
      seed: Seed of all draws, and of the number of owners.
      rule: Rule of the locks.
      members: Members of the first list.
      actions: Names of the only faults; none means all of them.
      seconds: Length of the walk.
    """
    model = Model(seed, rule, members, owners=2 + seed % 3)
    faults = Faults(model, actions)
    model.run_until(3.0)
    while model.now < seconds and not model.violations:
        model.run_until(model.now + faults.interval * model.rng.uniform(0, 2))
        faults.step()
    return model


def lose_majority(store_delay, seed=1, cuts_informed=False):
    """Replaces a list whose majority is lost to one owner, not to the other.

    Args:
      store_delay: Time from the new list until the old one's majority reads it.
      seed: Seed of the delays and clocks.
      cuts_informed: Whether two keepers never read it, and the members that do
        are cut off from the owner when they do.

    Returns:
      The model after both owners have had time to run the same job.
    """
    model = Model(seed, Rule(replaces_lost_lists=True), members=9, owners=2)
    first, second = model.owners.values()
    faults = Faults(model)
    model.run_until(3.0)
    row = model.row
    lost = list(dict.fromkeys([*model.keepers("a", row.members), *row.members]))
    for agent in model.agents.values():
        is_lost = agent.name in lost[:5]
        faults.cut_link(second if is_lost else first, agent, 100.0)
    model.run_until(25.0)
    for number, name in enumerate(lost[:5]):
        is_informed = number > 1 or not cuts_informed
        model.cut_from_store(name, store_delay if is_informed else 100.0)
        if is_informed and cuts_informed:
            cut = (first, model.agents[name], 100.0)
            model.at(store_delay, ALWAYS, faults.cut_link, *cut)
    members = [n for n in model.agents if n not in lost[:5]]
    if second.has_lost_list():
        model.change_list(second.list, members, ())
    while model.now < 50.0:
        for owner in (first, second):
            owner.submit("a", 1.0)
        model.run_until(model.now + 0.5)
    return model


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--walks", type=int, default=100)
    parser.add_argument("--members", type=int, default=9)
    options = parser.parse_args()
    counts = collections.Counter()
    for seed in range(options.seed, options.seed + options.walks):
        model = walk(seed, members=options.members)
        counts += model.counts
        if model.violations:
            sys.exit(f"seed {seed}: {model.violations}")
    sys.stdout.write(
        f"{options.walks} walks with {options.members} members, 0 violations, "
        f"{dict(sorted(counts.items()))}\n"
    )


if __name__ == "__main__":
    main()
