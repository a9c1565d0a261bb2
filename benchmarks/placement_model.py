"""Placement policies compared in virtual time.

`python -m benchmarks.placement_model --seed 1` prints the tables. The ideal
is defined in `benchmarks/ideal.py`: a lower bound that no schedule can beat,
and a clairvoyant reference, which is a real schedule that knows all run times
and has no overhead. Ratios are taken to the clairvoyant reference.

All times are seconds of virtual time; the cluster has 10 executors of 8 slots
whose speeds are spread over 1:4.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import statistics
from concurrent.futures import ProcessPoolExecutor

from benchmarks.cluster_records import ClusterSettings
from benchmarks.ideal import Ideal, ideal_of, percentile
from benchmarks.job_stream import (
    Executor,
    JobStream,
    StreamJob,
    capacity,
    make_executors,
)
from benchmarks.virtual_cluster import VirtualCluster
from gypsumline.core.placement.settings import PlacementSettings
from gypsumline.core.slots.slot_settings import SlotSettings

# Suffix of a policy for agents that hold results as the product's do, while
# they have further tasks of the job and its owner has no backlog.
DELAY_SUFFIX = "+hold"
POLICIES = (
    "earliest_finish",
    "earliest_finish" + DELAY_SUFFIX,
    "power_of_two",
    "least_loaded",
    "round_robin",
    "random",
)
LOADS = (0.3, 0.6, 0.8, 0.95)
EXECUTORS = 10
# Time after the last arrival in which all admitted jobs end.
DRAIN_SECONDS = 61.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Zones and delays of one installation."""

    name: str
    zones: int
    zone_delay: float
    client_delay: float


EKFRASI = Site("ekfrasi", 3, 0.001, 0.001)
HALLORAN = Site("halloran", 4, 0.0015, 0.003)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRun:
    """One policy at one load; the ratios are to the ideal.

    Attributes:
      excess_ratio: Excess of the p99 over the ideal as a part of the excess
        that power of two choices has on the same stream; 0 if not compared.
      wasted_per_pair: Part of the messages beyond one start and one answer
        per job and agent.
      wasted_per_start: Part of the messages beyond one start and one answer
        per `StartTasks` of which a task ran.
    """

    site: str
    policy: str
    load: float
    jobs: int
    complete: int
    p50: float
    p99: float
    mean: float
    ideal: Ideal
    p50_ratio: float
    p99_ratio: float
    excess_ratio: float
    wasted_per_pair: float
    wasted_per_start: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadRun:
    """Goodput at a multiple of the capacity.

    Attributes:
      offered: Offered work as a multiple of the capacity.
      goodput: Work of jobs complete in time, as a part of the capacity.
      refused: Jobs refused at once.
      late: Admitted jobs that missed their deadline.
      refusal_p99: p99 time until a refused client had its answer, in seconds.
    """

    offered: float
    goodput: float
    jobs: int
    refused: int
    late: int
    refusal_p99: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailingRun:
    """One executor fails everything from a moment on.

    Attributes:
      lost_first: Jobs lost in the first 5 s.
      lost_later: Part of the jobs lost that arrived later than that.
    """

    jobs: int
    lost_first: int
    lost_later: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRun:
    """A zone leaves and returns while there is always work.

    Attributes:
      worst_second: Least work done in one second by the slots that remained,
        as a part of what they could do.
      mean: The same over all seconds of the change.
      returned_after: Seconds from the return until the zone's slots did 97%.
      wasted_per_start: Part of the messages; see `LoadRun`.
      late_starts: Tasks started in the zone after all agents knew.
    """

    policy: str
    worst_second: float
    mean: float
    returned_after: float
    wasted_per_start: float
    late_starts: int


@dataclasses.dataclass(frozen=True, slots=True)
class BurstRun:
    """One client sends a burst while the others go on.

    Attributes:
      others_p99_alone: p99 response of the others without the burst.
      others_p99: The same with the burst.
      others_refused: Jobs of the others that were refused.
      burst_complete: Part of the burst's jobs that were completed.
    """

    others_p99_alone: float
    others_p99: float
    others_refused: int
    burst_complete: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelReport:
    """All figures of one seed."""

    seed: int
    loads: tuple[LoadRun, ...]
    overload: tuple[OverloadRun, ...]
    failing: FailingRun
    zones: tuple[ZoneRun, ...]
    burst: BurstRun


def cluster_settings(
    policy: str = "earliest_finish", site: Site = EKFRASI
) -> ClusterSettings:
    """Returns the settings of a site; baselines get queues without bound."""
    slots = SlotSettings()
    holds = policy.endswith(DELAY_SUFFIX)
    return ClusterSettings(
        placement=PlacementSettings(policy=policy.removesuffix(DELAY_SUFFIX)),
        zones=site.zones,
        zone_delay=site.zone_delay,
        client_delay=site.client_delay,
        bounded_queue=policy.startswith("earliest_finish"),
        hold_results=slots.results_delay if holds else 0.0,
        join_age=slots.results_join_age if holds else 0.0,
    )


def run_policy(
    policy: str,
    jobs: list[StreamJob],
    seed: int,
    site: Site = EKFRASI,
) -> VirtualCluster:
    """Returns the cluster after a stream has been run to its end."""
    executors = make_executors(EXECUTORS, site.zones)
    cluster = VirtualCluster(cluster_settings(policy, site), executors, seed)
    cluster.submit(jobs)
    cluster.run(jobs[-1].arrives_at + DRAIN_SECONDS)
    return cluster


def complete_responses(cluster: VirtualCluster) -> list[float]:
    """Returns the responses of the jobs that were completed."""
    records = cluster.records.values()
    return [r.response for r in records if r.outcome == "complete"]


def run_loads(
    site: Site,
    load: float,
    policies: tuple[str, ...],
    seed: int,
    seconds: float,
) -> list[LoadRun]:
    """Returns the figures of several policies on one stream."""
    executors = make_executors(EXECUTORS, site.zones)
    jobs = JobStream(seed).poisson(load * capacity(executors), seconds)
    ideal = ideal_of(jobs, executors)
    clusters = {
        policy: run_policy(policy, jobs, seed, site) for policy in policies
    }
    excess = 0.0
    if "power_of_two" in clusters:
        responses = complete_responses(clusters["power_of_two"])
        excess = percentile(responses, 0.99) - ideal.p99
    return [
        _load_run(site, policy, load, cluster, ideal, excess)
        for policy, cluster in clusters.items()
    ]


def _load_run(
    site: Site,
    policy: str,
    load: float,
    cluster: VirtualCluster,
    ideal: Ideal,
    excess: float,
) -> LoadRun:
    responses = complete_responses(cluster)
    p50 = percentile(responses, 0.5)
    p99 = percentile(responses, 0.99)
    return LoadRun(
        site=site.name,
        policy=policy,
        load=load,
        jobs=len(cluster.records),
        complete=len(responses),
        p50=p50,
        p99=p99,
        mean=statistics.fmean(responses),
        ideal=ideal,
        p50_ratio=p50 / ideal.p50,
        p99_ratio=p99 / ideal.p99,
        excess_ratio=(p99 - ideal.p99) / excess if excess > 0 else 0.0,
        wasted_per_pair=_wasted(cluster, cluster.messages.pairs),
        wasted_per_start=_wasted(cluster, cluster.messages.starts),
    )


def _wasted(cluster: VirtualCluster, useful: int) -> float:
    total = max(1, cluster.messages.total)
    return max(0.0, 1.0 - 2.0 * useful / total)


def run_overload(
    offered: float, seed: int, seconds: float, timeout: float = 10.0
) -> OverloadRun:
    """Returns the goodput at a multiple of the capacity."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    jobs = JobStream(seed).poisson(offered * total, seconds, timeout)
    cluster = run_policy("earliest_finish", jobs, seed)
    # The start, where nothing waits yet, and the end are not counted.
    first, last = timeout, seconds
    done = sum(
        sum(record.job.works)
        for record in cluster.records.values()
        if record.outcome == "complete" and first <= record.answered_at < last
    )
    refusals = [
        record.response
        for record in cluster.records.values()
        if record.outcome == "refused"
    ]
    outcomes = [record.outcome for record in cluster.records.values()]
    return OverloadRun(
        offered=offered,
        goodput=done / (total * (last - first)),
        jobs=len(jobs),
        refused=outcomes.count("refused"),
        late=outcomes.count("late"),
        refusal_p99=percentile(refusals, 0.99),
    )


def run_failing(
    seed: int, seconds: float, load: float = 0.6, start: float = 10.0
) -> FailingRun:
    """Returns the jobs lost to an executor that fails everything."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    jobs = JobStream(seed).poisson(load * capacity(executors), seconds)
    cluster = VirtualCluster(cluster_settings(), executors, seed)
    agent = cluster.agents[executors[seed % EXECUTORS].name]
    cluster.at(start, agent.set_failing, True)
    cluster.submit(jobs)
    cluster.run(seconds + DRAIN_SECONDS)
    records = cluster.records.values()
    lost = [r.answered_at for r in records if r.outcome == "failed"]
    later = [r for r in records if r.job.arrives_at >= start + 5.0]
    lost_later = sum(record.outcome == "failed" for record in later)
    return FailingRun(
        jobs=len(jobs),
        lost_first=sum(when < start + 5.0 for when in lost),
        lost_later=lost_later / len(later),
    )


def run_zone_change(
    seed: int, policy: str = "earliest_finish", seconds: float = 60.0
) -> ZoneRun:
    """Returns the work done while one zone is out from 20 s to 35 s."""
    out_at, back_at = 20.0, 35.0
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    jobs = JobStream(seed).poisson(1.5 * total, seconds, timeout=20.0)
    cluster = VirtualCluster(cluster_settings(policy), executors, seed)
    zone = executors[seed % EXECUTORS].zone
    cluster.at(out_at, cluster.set_out, (zone,))
    cluster.at(back_at, cluster.set_out, ())
    known = out_at + cluster.settings.record_delay
    cluster.submit(jobs)
    cluster.run(seconds + DRAIN_SECONDS)
    remaining = [e for e in executors if e.zone != zone]
    parts = [
        _work_part(cluster, remaining, second)
        for second in range(int(out_at), int(back_at) + 10)
    ]
    returning = [e for e in executors if e.zone == zone]
    after = int(back_at)
    while after < seconds and _work_part(cluster, returning, after) < 0.97:
        after += 1
    return ZoneRun(
        policy=policy,
        worst_second=min(parts),
        mean=statistics.fmean(parts),
        returned_after=after - back_at,
        wasted_per_start=_wasted(cluster, cluster.messages.starts),
        late_starts=sum(
            known <= when < back_at for when in cluster.starts_in(zone)
        ),
    )


def _work_part(
    cluster: VirtualCluster, executors: list[Executor], second: int
) -> float:
    zones = {executor.zone for executor in executors}
    done = sum(cluster.work_done.get((zone, second), 0.0) for zone in zones)
    return done / capacity(executors)


def run_burst(seed: int, seconds: float = 40.0) -> BurstRun:
    """Returns what a burst of one client does to the others."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    stream = JobStream(seed)
    jobs = stream.poisson(0.5 * total, seconds)
    burst = [
        stream.make(10.0 + 0.001 * number, 60.0, client="burst", tasks=20)
        for number in range(400)
    ]
    alone = run_policy("earliest_finish", jobs, seed)
    both = sorted(jobs + burst, key=lambda job: job.arrives_at)
    cluster = run_policy("earliest_finish", both, seed)
    records = list(cluster.records.values())
    others = [r for r in records if r.job.body.client != "burst"]
    complete = sum(
        record.outcome == "complete"
        for record in records
        if record.job.body.client == "burst"
    )
    return BurstRun(
        others_p99_alone=percentile(complete_responses(alone), 0.99),
        others_p99=percentile(
            [r.response for r in others if r.outcome == "complete"], 0.99
        ),
        others_refused=sum(r.outcome == "refused" for r in others),
        burst_complete=complete / len(burst),
    )


def run_all(
    seed: int, seconds: float = 120.0, processes: int = 3
) -> ModelReport:
    """Returns all figures; takes a few processes and about a minute.

    Args:
      seed: Seed of the streams and of all random choices.
      seconds: Virtual time of the streams at each load.
      processes: Processes that the runs are spread over.
    """
    with ProcessPoolExecutor(max_workers=processes) as pool:
        loads = [
            pool.submit(run_loads, EKFRASI, load, POLICIES, seed, seconds)
            for load in LOADS
        ]
        two = (
            "earliest_finish",
            "earliest_finish" + DELAY_SUFFIX,
            "power_of_two",
        )
        loads.append(pool.submit(run_loads, HALLORAN, 0.8, two, seed, seconds))
        overload = [
            pool.submit(run_overload, offered, seed, 60.0)
            for offered in (1.0, 2.0, 5.0)
        ]
        failing = pool.submit(run_failing, seed, 60.0)
        zones = [
            pool.submit(run_zone_change, seed, policy)
            for policy in ("earliest_finish", "earliest_finish" + DELAY_SUFFIX)
        ]
        burst = pool.submit(run_burst, seed)
        return ModelReport(
            seed=seed,
            loads=tuple(run for part in loads for run in part.result()),
            overload=tuple(part.result() for part in overload),
            failing=failing.result(),
            zones=tuple(part.result() for part in zones),
            burst=burst.result(),
        )


def print_report(report: ModelReport) -> None:
    """Prints the figures as tables."""
    print(
        "site      policy               load  jobs  done   p50    p99  "
        "ideal50 ideal99 bound99  x50   x99  excess  waste/pair waste/start"
    )
    for run in report.loads:
        print(
            f"{run.site:9} {run.policy:20} {run.load:4.0%} {run.jobs:5}"
            f" {run.complete / run.jobs:5.1%} {run.p50:6.3f} {run.p99:6.3f}"
            f" {run.ideal.p50:7.3f} {run.ideal.p99:7.3f}"
            f" {run.ideal.bound_p99:7.3f} {run.p50_ratio:4.2f}"
            f" {run.p99_ratio:5.2f} {run.excess_ratio:7.2f}"
            f" {run.wasted_per_pair:10.1%} {run.wasted_per_start:10.1%}"
        )
    for overload in report.overload:
        print(
            f"offered {overload.offered:.0f}x: goodput {overload.goodput:.1%} "
            f"of capacity, {overload.refused} of {overload.jobs} jobs refused, "
            f"{overload.late} late, refusal p99 "
            f"{overload.refusal_p99 * 1000:.1f} ms"
        )
    failing = report.failing
    print(
        f"failing executor: {failing.lost_first} jobs lost in the first 5 s, "
        f"{failing.lost_later:.2%} of those that arrived later"
    )
    for zone in report.zones:
        print(
            f"zone change, {zone.policy}: work of the remaining slots "
            f"{zone.worst_second:.1%} in the worst second, {zone.mean:.1%} on "
            f"average; returned zone at 97% after {zone.returned_after:.0f} s; "
            f"{zone.late_starts} late starts; wasted messages "
            f"{zone.wasted_per_start:.1%}"
        )
    burst = report.burst
    print(
        f"burst of one client: p99 of the others {burst.others_p99:.3f} s, "
        f"{burst.others_p99_alone:.3f} s without; {burst.others_refused} of "
        f"their jobs refused; {burst.burst_complete:.0%} of the burst complete"
    )


def main() -> None:
    """Runs the model and prints the tables, or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    report = run_all(given.seed, given.seconds, given.processes)
    if given.json:
        print(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        print_report(report)


if __name__ == "__main__":
    main()
