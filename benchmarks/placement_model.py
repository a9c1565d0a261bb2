"""Comparison of placement policies in a simulated cluster.

`python -m benchmarks.placement_model --seed 1` prints the tables. The ideal
is defined in `benchmarks/ideal.py`: a lower bound that no schedule can beat,
and a clairvoyant reference, which is a feasible schedule that knows all run
times and has no overhead. Ratios are relative to the clairvoyant reference.

All times are seconds of virtual time. The cluster has 10 executors of 8 slots
each, whose speeds are spread over a range of 1:4.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import statistics
from concurrent.futures import ProcessPoolExecutor

from benchmarks.cluster_records import ClusterSettings
from benchmarks.ideal import Ideal, compute_ideal, percentile
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

# Suffix of a policy with agents that delay results as the real agents do: while
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
# Time after the last arrival within which all admitted jobs end.
DRAIN_SECONDS = 61.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Zones and one-way delays in seconds of one installation."""

    name: str
    zones: int
    zone_delay: float
    client_delay: float


EKFRASI = Site("ekfrasi", 3, 0.001, 0.001)
HALLORAN = Site("halloran", 4, 0.0015, 0.003)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRun:
    """Result of one policy at one load; ratios are relative to the ideal.

    Attributes:
      excess_ratio: Excess of the p99 over the ideal, divided by the excess of
        power of two choices on the same stream; 0 if not compared.
      wasted_per_pair: Share of the messages beyond one start and one answer
        per pair of job and agent.
      wasted_per_start: Share of the messages beyond one start and one answer
        per `StartTasks` message of which a task ran.
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
      goodput: Work of jobs completed in time, as a share of the capacity.
      refused: Number of jobs refused on arrival.
      late: Number of admitted jobs that missed their deadline.
      refusal_p99: p99 of the time until a refused client has its answer, in
        seconds.
    """

    offered: float
    goodput: float
    jobs: int
    refused: int
    late: int
    refusal_p99: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailingRun:
    """Jobs lost to an executor that starts to fail all tasks.

    Attributes:
      lost_first: Number of jobs lost in the first 5 s of the failure.
      lost_later: Share of the jobs that arrived after these 5 s and were lost.
    """

    jobs: int
    lost_first: int
    lost_later: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRun:
    """Result of excluding and readmitting a zone under constant backlog.

    Attributes:
      worst_second: Least work done in one second by the remaining slots, as a
        share of their capacity.
      mean: Mean of this share over all seconds of the change.
      returned_after: Seconds from the return of the zone until its slots did
        97% of their capacity.
      wasted_per_start: Share of the messages; see `LoadRun`.
      late_starts: Tasks started in the zone after all agents had the record
        that excludes it.
    """

    policy: str
    worst_second: float
    mean: float
    returned_after: float
    wasted_per_start: float
    late_starts: int


@dataclasses.dataclass(frozen=True, slots=True)
class BurstRun:
    """Effect of a burst of one client on the other clients.

    Attributes:
      others_p99_alone: p99 response time of the other clients without the
        burst, in seconds.
      others_p99: p99 response time of the other clients with the burst.
      others_refused: Number of refused jobs of the other clients.
      burst_complete: Share of the jobs of the burst that were completed.
    """

    others_p99_alone: float
    others_p99: float
    others_refused: int
    burst_complete: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelReport:
    """Results of all runs with one seed."""

    seed: int
    loads: tuple[LoadRun, ...]
    overload: tuple[OverloadRun, ...]
    failing: FailingRun
    zones: tuple[ZoneRun, ...]
    burst: BurstRun


def cluster_settings(
    policy: str = "earliest_finish", site: Site = EKFRASI
) -> ClusterSettings:
    """Returns the settings of a site; baselines get unbounded queues."""
    slots = SlotSettings()
    delays_results = policy.endswith(DELAY_SUFFIX)
    return ClusterSettings(
        placement=PlacementSettings(policy=policy.removesuffix(DELAY_SUFFIX)),
        zones=site.zones,
        zone_delay=site.zone_delay,
        client_delay=site.client_delay,
        bounded_queue=policy.startswith("earliest_finish"),
        results_delay=slots.results_delay if delays_results else 0.0,
        results_join_age=slots.results_join_age if delays_results else 0.0,
    )


def run_policy(
    policy: str,
    jobs: list[StreamJob],
    seed: int,
    site: Site = EKFRASI,
) -> VirtualCluster:
    """Runs a stream of jobs to its end and returns the cluster."""
    executors = make_executors(EXECUTORS, site.zones)
    cluster = VirtualCluster(cluster_settings(policy, site), executors, seed)
    cluster.submit(jobs)
    cluster.run(jobs[-1].arrives_at + DRAIN_SECONDS)
    return cluster


def complete_responses(cluster: VirtualCluster) -> list[float]:
    """Returns the response times of the completed jobs, in seconds."""
    records = cluster.records.values()
    return [r.response for r in records if r.outcome == "complete"]


def run_loads(
    site: Site,
    load: float,
    policies: tuple[str, ...],
    seed: int,
    seconds: float,
) -> list[LoadRun]:
    """Runs several policies on one stream of jobs."""
    executors = make_executors(EXECUTORS, site.zones)
    jobs = JobStream(seed).poisson(load * capacity(executors), seconds)
    ideal = compute_ideal(jobs, executors)
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
        wasted_per_pair=_wasted_share(cluster, cluster.messages.pairs),
        wasted_per_start=_wasted_share(cluster, cluster.messages.starts),
    )


def _wasted_share(cluster: VirtualCluster, useful: int) -> float:
    total = max(1, cluster.messages.total)
    return max(0.0, 1.0 - 2.0 * useful / total)


def run_overload(
    offered: float, seed: int, seconds: float, timeout: float = 10.0
) -> OverloadRun:
    """Measures the goodput at a multiple of the capacity."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    jobs = JobStream(seed).poisson(offered * total, seconds, timeout)
    cluster = run_policy("earliest_finish", jobs, seed)
    # The start, where there is no backlog yet, and the end do not count.
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
    """Measures the jobs lost to an executor that fails all tasks."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    jobs = JobStream(seed).poisson(load * capacity(executors), seconds)
    cluster = VirtualCluster(cluster_settings(), executors, seed)
    agent = cluster.agents[executors[seed % EXECUTORS].name]
    cluster.schedule_at(start, agent.set_failing, True)
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
    """Measures the work done while a zone is excluded from 20 s to 35 s."""
    excluded_at, returned_at = 20.0, 35.0
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    jobs = JobStream(seed).poisson(1.5 * total, seconds, timeout=20.0)
    cluster = VirtualCluster(cluster_settings(policy), executors, seed)
    zone = executors[seed % EXECUTORS].zone
    cluster.schedule_at(excluded_at, cluster.set_excluded_zones, (zone,))
    cluster.schedule_at(returned_at, cluster.set_excluded_zones, ())
    known_at = excluded_at + cluster.settings.record_delay
    cluster.submit(jobs)
    cluster.run(seconds + DRAIN_SECONDS)
    remaining = [e for e in executors if e.zone != zone]
    shares = [
        _work_share(cluster, remaining, second)
        for second in range(int(excluded_at), int(returned_at) + 10)
    ]
    returning = [e for e in executors if e.zone == zone]
    recovered_second = int(returned_at)
    while (
        recovered_second < seconds
        and _work_share(cluster, returning, recovered_second) < 0.97
    ):
        recovered_second += 1
    return ZoneRun(
        policy=policy,
        worst_second=min(shares),
        mean=statistics.fmean(shares),
        returned_after=recovered_second - returned_at,
        wasted_per_start=_wasted_share(cluster, cluster.messages.starts),
        late_starts=sum(
            known_at <= when < returned_at for when in cluster.starts_in(zone)
        ),
    )


def _work_share(
    cluster: VirtualCluster, executors: list[Executor], second: int
) -> float:
    zones = {executor.zone for executor in executors}
    done = sum(cluster.work_done.get((zone, second), 0.0) for zone in zones)
    return done / capacity(executors)


def run_burst(seed: int, seconds: float = 40.0) -> BurstRun:
    """Measures the effect of a burst of one client on the others."""
    executors = make_executors(EXECUTORS, EKFRASI.zones)
    total = capacity(executors)
    stream = JobStream(seed)
    jobs = stream.poisson(0.5 * total, seconds)
    burst = [
        stream.make(10.0 + 0.001 * number, 60.0, client="burst", tasks=20)
        for number in range(400)
    ]
    alone = run_policy("earliest_finish", jobs, seed)
    all_jobs = sorted(jobs + burst, key=lambda job: job.arrives_at)
    cluster = run_policy("earliest_finish", all_jobs, seed)
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
    """Runs all simulations; takes about a minute in a few processes.

    Args:
      seed: Seed of the streams and of all random choices.
      seconds: Duration of the streams at each load, in virtual seconds.
      processes: Number of processes that share the runs.
    """
    with ProcessPoolExecutor(max_workers=processes) as pool:
        loads = [
            pool.submit(run_loads, EKFRASI, load, POLICIES, seed, seconds)
            for load in LOADS
        ]
        compared = (
            "earliest_finish",
            "earliest_finish" + DELAY_SUFFIX,
            "power_of_two",
        )
        loads.append(
            pool.submit(run_loads, HALLORAN, 0.8, compared, seed, seconds)
        )
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
    """Runs the simulations and prints tables or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    report = run_all(options.seed, options.seconds, options.processes)
    if options.json:
        print(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        print_report(report)


if __name__ == "__main__":
    main()
