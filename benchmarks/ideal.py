"""What an omniscient schedule with no overhead could reach.

Two figures stand for the ideal; neither is an optimum of the stream, which
would be intractable.

- Lower bound: each job alone on all slots, with preemption and no delay. By
  Horvath, Lam and Sethi (1977) its response is at least the largest of
  (work of the k longest tasks) / (speed of the k fastest slots) over all k up
  to the number of slots, and (all work) / (all speed). No schedule is faster
  for any job, so no percentile of the responses is lower.
- Clairvoyant reference: schedules that know the true work of each task and
  all arrivals up to now, with no delays and no messages. Several are run, and
  each percentile is taken from the one that is best at that percentile:
  work-conserving list schedules (the first job in the order gives its longest
  task to the fastest free slot) in the order arrival + weight x own time, and
  earliest-finish schedules, in the order of arrival and in the order arrival +
  weight x own time that is left, which know when each slot becomes free and may
  leave a slow slot idle.
  They are real schedules, so the optimum is between the lower bound and the
  reference. "Ideal" without an addition means this reference.
"""

from __future__ import annotations

import bisect
import dataclasses
import heapq

import numpy

from benchmarks.job_stream import Executor, StreamJob

ORDER_WEIGHTS = (0.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)
# Tasks that the reserving schedule looks at in one event.
RESERVED_TASKS = 400


def percentile(values: list[float], part: float) -> float:
    """Returns the value that a part of all values does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    position = min(len(ordered) - 1, int(part * len(ordered)))
    return ordered[position]


@dataclasses.dataclass(frozen=True, slots=True)
class Ideal:
    """Percentiles of response; seconds.

    Attributes:
      p50: Clairvoyant reference.
      p99: Clairvoyant reference.
      mean: Clairvoyant reference.
      bound_p50: Lower bound.
      bound_p99: Lower bound.
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
    """Returns the shortest possible response of a job on idle slots."""
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
    """Returns the responses of a clairvoyant work-conserving schedule."""
    total = sum(speeds)
    free = list(range(len(speeds)))
    running: list[tuple[float, int, int]] = []
    queue: list[tuple[float, int]] = []
    left = [sorted(job.works) for job in jobs]
    finish = [0.0] * len(jobs)
    arrivals = [job.arrives_at for job in jobs]
    upcoming = 0
    while upcoming < len(jobs) or running:
        next_end = running[0][0] if running else float("inf")
        next_arrival = (
            arrivals[upcoming] if upcoming < len(jobs) else float("inf")
        )
        now = min(next_end, next_arrival)
        if next_arrival <= next_end:
            own = sum(left[upcoming]) / total
            heapq.heappush(queue, (now + weight * own, upcoming))
            upcoming += 1
        else:
            _, slot, number = heapq.heappop(running)
            bisect.insort(free, slot)
            finish[number] = now
        while free and queue:
            number = queue[0][1]
            if not left[number]:
                heapq.heappop(queue)
                continue
            slot = free.pop(0)
            end = now + left[number].pop() / speeds[slot]
            heapq.heappush(running, (end, slot, number))
    return [end - job.arrives_at for end, job in zip(finish, jobs, strict=True)]


def earliest_finish_schedule(
    jobs: list[StreamJob], speeds: list[float]
) -> list[float]:
    """Returns the responses when each task goes where it finishes first."""
    available = [0.0] * len(speeds)
    inverse = [1.0 / speed for speed in speeds]
    responses: list[float] = []
    slots = range(len(speeds))
    for job in jobs:
        now = job.arrives_at
        last = now
        available = [max(now, when) for when in available]
        for work in sorted(job.works, reverse=True):
            ends = [available[s] + work * inverse[s] for s in slots]
            end = min(ends)
            available[ends.index(end)] = end
            last = max(last, end)
        responses.append(last - now)
    return responses


def reserving_schedule(
    jobs: list[StreamJob], speeds: list[float], weight: float
) -> list[float]:
    """Returns the responses when tasks may wait for a slot that is faster.

    At each event the tasks are gone through in order; each takes the slot
    where it ends first, or reserves that slot if it is still busy.
    """
    total = sum(speeds)
    inverse = 1.0 / numpy.array(speeds)
    ends_at = numpy.zeros(len(speeds))
    running: list[tuple[float, int]] = []
    queue: list[tuple[float, int]] = []
    left = [sorted(job.works) for job in jobs]
    last = [0.0] * len(jobs)
    upcoming = 0
    while upcoming < len(jobs) or running:
        next_end = running[0][0] if running else float("inf")
        if upcoming < len(jobs) and jobs[upcoming].arrives_at <= next_end:
            now = jobs[upcoming].arrives_at
            own = sum(left[upcoming]) / total
            bisect.insort(queue, (now + weight * own, upcoming))
            upcoming += 1
        else:
            now = heapq.heappop(running)[0]
        _reserve(queue, left, ends_at, inverse, now, running, last)
        queue = sorted(
            (
                jobs[number].arrives_at + weight * sum(left[number]) / total,
                number,
            )
            for _, number in queue
            if left[number]
        )
    return [end - job.arrives_at for end, job in zip(last, jobs, strict=True)]


def _reserve(
    queue: list[tuple[float, int]],
    left: list[list[float]],
    ends_at: numpy.ndarray,
    inverse: numpy.ndarray,
    now: float,
    running: list[tuple[float, int]],
    last: list[float],
) -> None:
    available = numpy.maximum(ends_at, now)
    free = int((ends_at <= now).sum())
    looked = 0
    for _, number in queue:
        works = left[number]
        for position in range(len(works) - 1, -1, -1):
            if not free or looked > RESERVED_TASKS:
                return
            looked += 1
            ends = available + works[position] * inverse
            slot = int(ends.argmin())
            end = float(ends[slot])
            if available[slot] <= now:
                free -= 1
                del works[position]
                ends_at[slot] = end
                heapq.heappush(running, (end, number))
                last[number] = max(last[number], end)
            available[slot] = end


def ideal_of(
    jobs: list[StreamJob], executors: list[Executor], skip: int = 0
) -> Ideal:
    """Returns the figures of the ideal for a stream.

    Args:
      jobs: The stream, in the order of arrival.
      executors: Executors that it runs on.
      skip: Jobs at the start that are not counted.
    """
    speeds = slot_speeds(executors)
    runs = [list_schedule(jobs, speeds, weight) for weight in ORDER_WEIGHTS]
    runs.extend(
        reserving_schedule(jobs, speeds, weight) for weight in ORDER_WEIGHTS
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
