"""Response times that a schedule with full knowledge could reach.

The ideal is described by two figures. Neither is the optimum of the stream,
which is intractable to compute.

- Lower bound: each job alone on all slots, with preemption and no delay. By
  Horvath, Lam and Sethi (1977) its response time is at least the largest of
  (work of the k longest tasks) / (speed of the k fastest slots) over all k up
  to the number of slots, and (all work) / (all speed). No schedule is faster
  for any job, so no percentile of the response times is lower.
- Clairvoyant reference: schedules that know the actual work of each task and
  all arrivals so far, without delays and messages. Several are simulated, and
  each percentile is the best that any of them reaches:
  work-conserving list schedules, where the first job in the order puts its
  longest task on the fastest free slot, ordered by arrival + weight x own time;
  and earliest-finish schedules, which know when each slot becomes free and may
  leave a slow slot idle, ordered by arrival and by arrival + weight x remaining
  own time. The own time of a job is its work divided by the speed of all slots.
  These schedules are feasible, so the optimum lies between the lower bound and
  the reference. "Ideal" alone means this reference.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq

import numpy

from benchmarks.job_stream import Executor, StreamJob

OWN_TIME_WEIGHTS = (0.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)
# Most tasks that the reserving schedule examines in one event.
EXAMINED_TASKS_MAX = 400


def percentile(values: list[float], fraction: float) -> float:
    """Returns a percentile of the values, or 0 if there are none.

    Args:
      values: Values in any order.
      fraction: Percentile as a fraction, such as 0.99.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    position = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[position]


@dataclasses.dataclass(frozen=True, slots=True)
class Ideal:
    """Response times of the ideal, in seconds.

    Attributes:
      p50: Median of the clairvoyant reference.
      p99: 99th percentile of the clairvoyant reference.
      mean: Mean of the clairvoyant reference.
      bound_p50: Median of the lower bounds.
      bound_p99: 99th percentile of the lower bounds.
    """

    p50: float
    p99: float
    mean: float
    bound_p50: float
    bound_p99: float


def slot_speeds(executors: list[Executor]) -> list[float]:
    """Returns the speed of each slot, fastest first."""
    speeds = [e.speed for e in executors for _ in range(e.slots)]
    return sorted(speeds, reverse=True)


def lower_bound(job: StreamJob, speeds: list[float]) -> float:
    """Returns the shortest possible response time of a job on idle slots."""
    best = sum(job.works) / sum(speeds)
    work = speed = 0.0
    longest = sorted(job.works, reverse=True)
    for task_work, slot_speed in zip(longest, speeds, strict=False):
        work += task_work
        speed += slot_speed
        best = max(best, work / speed)
    return best


def list_schedule(
    jobs: list[StreamJob], speeds: list[float], weight: float
) -> list[float]:
    """Returns the response times of a clairvoyant list schedule.

    It is work-conserving; jobs are ordered by arrival + weight x own time.
    """
    total = sum(speeds)
    free = list(range(len(speeds)))
    running: list[tuple[float, int, int]] = []
    queue: list[tuple[float, int]] = []
    remaining_works = [sorted(job.works) for job in jobs]
    finish_times = [0.0] * len(jobs)
    arrivals = [job.arrives_at for job in jobs]
    upcoming = 0
    while upcoming < len(jobs) or running:
        next_end = running[0][0] if running else float("inf")
        next_arrival = (
            arrivals[upcoming] if upcoming < len(jobs) else float("inf")
        )
        now = min(next_end, next_arrival)
        if next_arrival <= next_end:
            own_time = sum(remaining_works[upcoming]) / total
            heapq.heappush(queue, (now + weight * own_time, upcoming))
            upcoming += 1
        else:
            _, slot, number = heapq.heappop(running)
            bisect.insort(free, slot)
            finish_times[number] = now
        while free and queue:
            number = queue[0][1]
            if not remaining_works[number]:
                heapq.heappop(queue)
                continue
            slot = free.pop(0)
            end = now + remaining_works[number].pop() / speeds[slot]
            heapq.heappush(running, (end, slot, number))
    return [
        end - job.arrives_at
        for end, job in zip(finish_times, jobs, strict=True)
    ]


def earliest_finish_schedule(
    jobs: list[StreamJob], speeds: list[float]
) -> list[float]:
    """Returns the response times of an earliest-finish schedule.

    Jobs are placed in the order of arrival, each task on the slot where it
    finishes first.
    """
    available = [0.0] * len(speeds)
    inverse = [1.0 / speed for speed in speeds]
    responses: list[float] = []
    slots = range(len(speeds))
    for job in jobs:
        now = job.arrives_at
        last_end = now
        available = [max(now, when) for when in available]
        for work in sorted(job.works, reverse=True):
            ends = [available[s] + work * inverse[s] for s in slots]
            end = min(ends)
            available[ends.index(end)] = end
            last_end = max(last_end, end)
        responses.append(last_end - now)
    return responses


def reserving_schedule(
    jobs: list[StreamJob], speeds: list[float], weight: float
) -> list[float]:
    """Returns the response times when tasks may wait for a faster slot.

    At each event the waiting tasks are examined in order. Each takes the slot
    where it finishes first, or reserves that slot if it is still busy.
    """
    total = sum(speeds)
    inverse = 1.0 / numpy.array(speeds)
    ends_at = numpy.zeros(len(speeds))
    running: list[tuple[float, int]] = []
    queue: list[tuple[float, int]] = []
    remaining_works = [sorted(job.works) for job in jobs]
    finish_times = [0.0] * len(jobs)
    upcoming = 0
    while upcoming < len(jobs) or running:
        next_end = running[0][0] if running else float("inf")
        if upcoming < len(jobs) and jobs[upcoming].arrives_at <= next_end:
            now = jobs[upcoming].arrives_at
            own_time = sum(remaining_works[upcoming]) / total
            bisect.insort(queue, (now + weight * own_time, upcoming))
            upcoming += 1
        else:
            now = heapq.heappop(running)[0]
        _reserve(
            queue, remaining_works, ends_at, inverse, now, running, finish_times
        )
        queue = sorted(
            (
                jobs[number].arrives_at
                + weight * sum(remaining_works[number]) / total,
                number,
            )
            for _, number in queue
            if remaining_works[number]
        )
    return [
        end - job.arrives_at
        for end, job in zip(finish_times, jobs, strict=True)
    ]


def _reserve(
    queue: list[tuple[float, int]],
    remaining_works: list[list[float]],
    ends_at: numpy.ndarray,
    inverse: numpy.ndarray,
    now: float,
    running: list[tuple[float, int]],
    finish_times: list[float],
) -> None:
    available = numpy.maximum(ends_at, now)
    free = int((ends_at <= now).sum())
    examined = 0
    for _, number in queue:
        works = remaining_works[number]
        for position in range(len(works) - 1, -1, -1):
            if not free or examined > EXAMINED_TASKS_MAX:
                return
            examined += 1
            ends = available + works[position] * inverse
            slot = int(ends.argmin())
            end = float(ends[slot])
            if available[slot] <= now:
                free -= 1
                del works[position]
                ends_at[slot] = end
                heapq.heappush(running, (end, number))
                finish_times[number] = max(finish_times[number], end)
            available[slot] = end


def compute_ideal(
    jobs: list[StreamJob], executors: list[Executor], skip: int = 0
) -> Ideal:
    """Computes the figures of the ideal for a stream.

    Args:
      jobs: The stream, in the order of arrival.
      executors: Executors that the stream runs on.
      skip: Number of jobs at the start that are not counted.
    """
    speeds = slot_speeds(executors)
    runs = [list_schedule(jobs, speeds, weight) for weight in OWN_TIME_WEIGHTS]
    runs.extend(
        reserving_schedule(jobs, speeds, weight) for weight in OWN_TIME_WEIGHTS
    )
    runs.append(earliest_finish_schedule(jobs, speeds))
    counted = [run[skip:] for run in runs]
    bounds = [lower_bound(job, speeds) for job in jobs[skip:]]
    return Ideal(
        p50=min(percentile(run, 0.5) for run in counted),
        p99=min(percentile(run, 0.99) for run in counted),
        mean=min(sum(run) / max(1, len(run)) for run in counted),
        bound_p50=percentile(bounds, 0.5),
        bound_p99=percentile(bounds, 0.99),
    )
