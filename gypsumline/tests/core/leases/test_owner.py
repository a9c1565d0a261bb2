"""Tests of admission, placement and completion of leased jobs."""

import pytest

from gypsumline.core.leases.effects import JobEnded, JobOutcome
from gypsumline.core.leases.job import JobStep
from gypsumline.core.leases.messages import (
    ClaimRuns,
    ContactPing,
    ContactPong,
    RunEnd,
    StartRuns,
    StopRuns,
    ZonesOut,
)
from gypsumline.core.leases.resources import Resources
from gypsumline.tests.core.leases.builders import (
    KEY,
    LEASE,
    agent,
    cores,
    done,
    handle_ping,
    join,
    load,
    owner,
    queue,
    reports,
    request,
    sends,
)

TASK = f"{KEY}.0.0.0"


def outcomes(effects):
    return [
        (effect.key, effect.outcome)
        for effect in effects
        if isinstance(effect, JobEnded)
    ]


def placed(effects):
    """Returns (agent, task, attempt) of all ordered runs."""
    return [
        (to, order.task, order.attempt)
        for to, message in sends(effects, StartRuns)
        for order in message.orders
    ]


def test_job_is_answered_when_all_its_tasks_are_done():
    """Guards against a partial answer."""
    leased = owner()
    join(leased, agent())
    assert len(placed(leased.submit(request(count=2), 0.0))) == 2
    first = leased.on_reports(agent(), reports(done(TASK)), 0.2)
    assert outcomes(first) == []
    second = leased.on_reports(agent(), reports(done(f"{KEY}.0.0.1")), 0.2)
    assert outcomes(second) == [(KEY, JobOutcome.COMPLETED)]


def test_failed_run_is_repeated_until_the_attempts_are_used():
    """Guards against failing a job for one failed run, or retrying forever."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    failed = reports((TASK, 1, RunEnd.FAILED, 0.1))
    effects = leased.on_reports(agent(), failed, 0.1)
    assert placed(effects) == [("agent-1", TASK, 2)]
    failed = reports((TASK, 2, RunEnd.FAILED, 0.1))
    effects = leased.on_reports(agent(), failed, 0.2)
    assert outcomes(effects) == [(KEY, JobOutcome.FAILED)]


def test_run_that_was_lost_does_not_count_as_an_attempt():
    """Guards against failing a job because its executors were lost."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    for attempt in range(1, 6):
        lost = reports(
            (TASK, attempt, RunEnd.LOST, 0.0), now_load=load(seen=attempt)
        )
        effects = leased.on_reports(agent(), lost, 0.1)
        assert placed(effects) == [("agent-1", TASK, attempt + 1)]


def test_repeated_submission_attaches_to_the_open_job():
    """Guards against two runs of a task for a caller that resubmits."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    assert leased.submit(request(), 0.1) == []


def test_new_job_of_an_abandoned_key_waits_for_the_end_of_its_run():
    """Guards against two runs of a task after a caller reconnects."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    effects = leased.abandon(KEY, 0.1)
    assert [to for to, _ in sends(effects, StopRuns)] == ["agent-1"]
    assert placed(leased.submit(request(), 0.2)) == []
    stopped = reports((TASK, 1, RunEnd.STOPPED, 0.1))
    effects = leased.on_reports(agent(), stopped, 0.3)
    assert [task for _, task, _ in placed(effects)] == [TASK]


def test_task_of_a_lost_agent_waits_until_its_run_must_have_ended():
    """Guards against a second run while the lease may be valid."""
    leased = owner()
    join(leased, agent())
    join(leased, agent(2), free=0)
    leased.submit(request(), 0.0)
    leased.on_disconnected(agent(), 0.1)
    soon = LEASE.rerun_wait - 0.01
    join(leased, agent(2), now=soon, executor="x-2")
    assert placed(leased.tick(soon)) == []
    late = LEASE.rerun_wait + 0.01
    assert [name for name, _, _ in placed(leased.tick(late))] == ["agent-2"]


def test_run_presumed_lost_is_stopped_on_its_stream():
    """Guards against a start that is delivered after a network partition.

    The agent deferred the start until it was in contact with the owner, which
    had placed the task elsewhere meanwhile (`properties.lease_walk`, seed 20).
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    effects = leased.tick(LEASE.rerun_wait + 0.01)
    ((to, message),) = sends(effects, StopRuns)
    assert (to, message.tasks, message.attempts) == ("agent-1", (TASK,), (1,))


def test_restarted_agent_does_not_shorten_the_rerun_wait():
    """Guards against dropping the last contact of the earlier incarnation."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    pong = handle_ping(
        leased, agent(), ContactPing(stamp=2.0, load=load()), 2.0
    )
    assert sends(pong, ContactPong)
    join(leased, agent(incarnation=2), now=2.1, executor="x-2")
    assert placed(leased.tick(2.0 + LEASE.rerun_wait - 0.1)) == []


def test_attempt_number_is_raised_after_one_that_was_too_low():
    """Guards against a task that every executor rejects as an old attempt."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    old = reports((TASK, 1, RunEnd.OLD_ATTEMPT, 0.0))
    ((_, _, attempt),) = placed(leased.on_reports(agent(), old, 0.1))
    assert attempt > 2


def test_claims_list_the_runs_on_each_new_stream():
    """Guards against losing reports with a broken stream."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.on_disconnected(agent(), 0.1)
    effects = leased.on_connected(agent(), 0.1)
    ((_, claims),) = sends(effects, ClaimRuns)
    assert claims.tasks == (TASK,)


def test_stop_that_a_broken_stream_lost_is_sent_again():
    """Guards against a run that continues after its job has ended.

    The stop was lost with the stream, and the agent kept the run because the
    owner's claims listed it (`properties.lease_walk`, seed 5063).
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    assert sends(leased.abandon(KEY, 0.1), StopRuns)
    leased.on_disconnected(agent(), 0.1)
    ((_, message),) = sends(leased.on_connected(agent(), 0.2), StopRuns)
    assert message.tasks == (TASK,)


def test_later_step_starts_after_the_earlier_one():
    """Guards against a task that starts before its dependencies."""
    leased = owner()
    join(leased, agent())
    step = JobStep(count=1, resources=cores(1), run_time=0.1)
    later = JobStep(count=1, resources=cores(1), run_time=0.1, after=(0,))
    effects = leased.submit(request(steps=(step, later)), 0.0)
    assert [task for _, task, _ in placed(effects)] == [TASK]
    effects = leased.on_reports(agent(), reports(done(TASK)), 0.1)
    assert [task for _, task, _ in placed(effects)] == [f"{KEY}.0.1.0"]


def test_label_and_per_executor_limit_restrict_placement():
    """Guards against placement on executors that are not allowed."""
    leased = owner()
    join(leased, agent(1), labels=("a",))
    join(leased, agent(2), labels=("b",), executor="x-2")
    step = JobStep(
        count=3,
        resources=cores(1),
        run_time=0.1,
        required_label="b",
        max_per_executor=2,
    )
    effects = leased.submit(request(steps=(step,)), 0.0)
    assert [name for name, _, _ in placed(effects)] == ["agent-2", "agent-2"]


def test_nothing_goes_to_a_zone_that_is_out():
    """Guards against starts in a zone that operators excluded."""
    leased = owner()
    join(leased, agent())
    leased.set_zones_out(ZonesOut(version=1, zones=("north",)), 0.0)
    assert placed(leased.submit(request(), 0.0)) == []


def test_job_without_any_executor_goes_elsewhere_at_once():
    """Guards against a caller that waits although no executor is reachable.

    Another entry may serve the job, so the refusal is not final.
    """
    effects = owner().submit(request(), 0.0)
    assert outcomes(effects) == [(KEY, JobOutcome.ELSEWHERE)]


def test_open_jobs_of_an_isolated_entry_go_elsewhere():
    """Guards against keeping jobs of an isolated entry until callers time out.

    The entry cannot run them, and the agents stop the runs that it has.
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.tick(1.1)
    assert outcomes(leased.tick(1.5)) == []
    assert outcomes(leased.tick(1.7)) == [(KEY, JobOutcome.ELSEWHERE)]


def test_owner_that_was_paused_keeps_its_open_jobs():
    """Guards against jobs given up on a view that is older than the pause.

    The agents could be reached all the time; their messages are read next.
    """
    leased = owner()
    join(leased, agent())
    leased.tick(0.0)
    leased.submit(request(), 0.0)
    assert outcomes(leased.tick(3.0)) == []
    handle_ping(leased, agent(), ContactPing(stamp=3.0, load=load(seen=1)), 3.0)
    assert outcomes(leased.tick(3.1)) == []
    assert KEY in leased.jobs


def test_job_behind_a_long_backlog_is_refused_at_once():
    """Guards against jobs that wait until their answer is useless."""
    leased = owner()
    join(leased, agent())
    effects = []
    for number in range(40):
        effects += leased.submit(request(f"{number:016x}", count=8), 0.0)
    refused = [outcome for _, outcome in outcomes(effects)]
    assert refused
    assert set(refused) == {JobOutcome.NOT_RUN}


def test_caller_time_limit_ends_a_job():
    """Guards against work for a caller that no longer waits."""
    leased = owner()
    join(leased, agent())
    leased.submit(request(timeout=1.0), 0.0)
    handle_ping(leased, agent(), ContactPing(stamp=1.0, load=load()), 1.0)
    effects = leased.tick(1.0)
    assert outcomes(effects) == [(KEY, JobOutcome.EXPIRED)]
    assert sends(effects, StopRuns)


def test_stalled_run_is_moved():
    """Guards against a job that waits for a hanging executor."""
    leased = owner()
    join(leased, agent(1))
    leased.submit(request(), 0.0)
    join(leased, agent(2), now=0.8, executor="x-2")
    handle_ping(leased, agent(1), ContactPing(stamp=0.9, load=load()), 0.9)
    effects = leased.tick(0.95)
    assert sends(effects, StopRuns)
    stopped = reports((TASK, 1, RunEnd.STOPPED, 1.0))
    effects = leased.on_reports(agent(1), stopped, 1.0)
    assert [name for name, _, _ in placed(effects)] == ["agent-2"]


def test_stalled_run_returns_to_the_only_agent():
    """Guards against a task that no agent is allowed to run.

    The agent where a run stalled was excluded even if it was the only one, so
    the job waited until its caller left (soak, seed 34).
    """
    leased = owner()
    join(leased, agent(1))
    leased.submit(request(), 0.0)
    handle_ping(leased, agent(1), ContactPing(stamp=0.9, load=load()), 0.9)
    assert sends(leased.tick(0.95), StopRuns)
    stopped = reports((TASK, 1, RunEnd.STOPPED, 1.0), now_load=load(seen=1))
    effects = leased.on_reports(agent(1), stopped, 1.0)
    assert placed(effects) == [("agent-1", TASK, 2)]


def eject_executor(leased, now):
    """Fails all runs at the executor of agent 1 until it is ejected."""
    for number in range(100, 110):
        effects = leased.submit(request(f"{number:016x}"), now)
        for name, task, attempt in placed(effects):
            end = RunEnd.FAILED if name == "agent-1" else RunEnd.DONE
            seen = load(seen=99, executor=f"x-{name[-1]}")
            item = (task, attempt, end, 0.2)
            member = agent(int(name[-1]))
            again = leased.on_reports(member, reports(item, now_load=seen), now)
            for other, retried, run in placed(again):
                item = (retried, run, RunEnd.DONE, 0.2)
                seen = load(seen=99, executor=f"x-{other[-1]}")
                done_there = reports(item, now_load=seen)
                leased.on_reports(agent(int(other[-1])), done_there, now)


def test_ejected_executor_is_probed_and_recovers():
    """Load pattern: an executor fails all runs for seconds, then recovers.

    Guards against an ejected executor that never gets a run again (soak, seeds
    16, 30 and 34).
    """
    leased = owner()
    for number in (1, 2, 3):
        join(leased, agent(number), executor=f"x-{number}")
    eject_executor(leased, 0.1)
    for number in (2, 3):
        ping = ContactPing(stamp=0.5, load=load(0, executor=f"x-{number}"))
        handle_ping(leased, agent(number), ping, 0.5)
    handle_ping(leased, agent(1), ContactPing(stamp=0.5, load=load()), 0.5)
    assert placed(leased.submit(request(count=3), 0.5)) == []
    ping = ContactPing(stamp=3.0, load=load())
    (probe,) = placed(handle_ping(leased, agent(1), ping, 3.0))
    seen = load(seen=99)
    item = (probe[1], probe[2], RunEnd.DONE, 0.2)
    ramped = leased.on_reports(agent(1), reports(item, now_load=seen), 3.2)
    assert [name for name, _, _ in placed(ramped)] == ["agent-1"]


def test_more_urgent_queue_goes_first():
    """Guards against urgent jobs queued behind less urgent ones."""
    leased = owner()
    join(leased, agent(), free=0)
    low, high = queue("low", priority=2), queue("high", priority=0)
    leased.submit(request("0" * 15 + "1", rules=low), 0.0)
    leased.submit(request("0" * 15 + "2", rules=high), 0.1)
    effects = leased.on_reports(agent(), reports(now_load=load(free=2000)), 0.2)
    assert [task[15] for _, task, _ in placed(effects)] == ["2"]


def test_job_behind_one_that_has_waited_too_long_is_refused_at_once():
    """Load pattern: a burst over several owners.

    Guards against estimating the wait from this owner's backlog alone: jobs of
    other owners use the capacity as well, which shows in the time that jobs
    have waited here.
    """
    leased = owner()
    join(leased, agent(), free=0, owners=2)
    small = JobStep(count=1, resources=Resources(processor=500), run_time=1.0)
    urgent = request(
        "0" * 15 + "1", rules=queue("urgent", priority=0), steps=(small,)
    )
    assert outcomes(leased.submit(urgent, 0.0)) == []
    later = queue("later", priority=1)
    first = request("0" * 15 + "2", rules=later)
    assert outcomes(leased.submit(first, 0.1)) == []
    effects = leased.submit(request("0" * 15 + "3", rules=later), 0.3)
    assert outcomes(effects) == [("0" * 15 + "3", JobOutcome.NOT_RUN)]


def test_job_that_fits_now_is_not_refused_for_one_that_waits():
    """Load pattern: a job waits for one label while other executors are free.

    Guards against refusing a job that fits, as seen on the scale-1 day of the
    Halloran site.
    """
    leased = owner()
    join(leased, agent(), labels=("a",))
    step = JobStep(
        count=1, resources=cores(2), run_time=1.0, required_label="b"
    )
    urgent = request(
        "0" * 15 + "1", rules=queue("urgent", priority=0), steps=(step,)
    )
    assert outcomes(leased.submit(urgent, 0.0)) == []
    later = request("0" * 15 + "2", rules=queue("later", priority=1))
    assert placed(leased.submit(later, 0.5))


def test_owner_without_runs_counts_on_its_equal_share():
    """Load pattern: the other owners fill all executors.

    Guards against refusing every job as soon as one job waits.
    """
    leased = owner()
    join(leased, agent(), free=0, owners=2)
    for number in range(2):
        effects = leased.submit(request(f"{number:016x}", size=1), 0.0)
        assert outcomes(effects) == []


@pytest.mark.parametrize(
    "end",
    [
        RunEnd.NO_ROOM,
        RunEnd.NO_CONTACT,
        RunEnd.REFUSED,
    ],
)
def test_job_whose_runs_never_started_is_refused_in_time(end):
    """Load pattern: several owners order the last free capacity at once.

    Guards against treating the refused jobs as started and keeping them until
    their callers time out.
    """
    leased = owner()
    join(leased, agent())
    leased.tick(0.0)
    leased.submit(request(), 0.0)
    refused = reports((TASK, 1, end, 0.0), now_load=load(free=0))
    assert outcomes(leased.on_reports(agent(), refused, 0.01)) == []
    ended = []
    for step in range(20):
        now = 0.1 * (step + 1)
        ping = ContactPing(stamp=now, load=load(free=0, seen=1))
        ended += handle_ping(leased, agent(), ping, now) + leased.tick(now)
    assert outcomes(ended) == [(KEY, JobOutcome.NOT_RUN)]


@pytest.mark.parametrize(
    "end",
    [RunEnd.STOPPED, RunEnd.LOST, RunEnd.OLD_ATTEMPT, RunEnd.NOT_TAKEN],
)
def test_job_that_may_have_started_is_never_answered_not_run(end):
    """Guards against a false NOT_RUN, after which a caller runs the job again.

    An executor answers OLD_ATTEMPT only if an earlier owner ordered a run of
    the same task there, and NOT_TAKEN also while such a run is active.
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(timeout=2.0), 0.0)
    ended = reports((TASK, 1, end, 0.0), now_load=load(free=0))
    effects = leased.on_reports(agent(), ended, 0.01)
    for step in range(30):
        now = 0.1 * (step + 1)
        ping = ContactPing(stamp=now, load=load(free=0, seen=1))
        effects += handle_ping(leased, agent(), ping, now) + leased.tick(now)
    assert outcomes(effects) == [(KEY, JobOutcome.EXPIRED)]


def test_resubmitted_job_uses_higher_attempt_numbers():
    """Guards against a delayed report of an earlier run that ends a new one.

    The caller left and resubmitted to the same entry; the report of the stop of
    the first run is in flight when the second run is ordered.
    """
    leased = owner()
    join(leased, agent())
    leased.submit(request(), 0.0)
    leased.abandon(KEY, 0.1)
    leased.tick(LEASE.rerun_wait + 0.1)
    now = LEASE.rerun_wait + 0.2
    handle_ping(leased, agent(), ContactPing(stamp=now, load=load(seen=1)), now)
    assert placed(leased.submit(request(), now)) == [("agent-1", TASK, 2)]
    stopped = reports((TASK, 1, RunEnd.STOPPED, 0.0))
    assert placed(leased.on_reports(agent(), stopped, now)) == []
    ended = leased.on_reports(agent(), reports(done(TASK, 2)), now)
    assert outcomes(ended) == [(KEY, JobOutcome.COMPLETED)]
