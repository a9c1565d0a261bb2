"""Tests of what operators and callers learn of jobs that crash executors."""

from gypsumline.core.leases.crash_settings import CrashSettings
from gypsumline.core.leases.effects import JobEnded, QueueBlamed
from gypsumline.core.leases.messages import (
    CrashedRun,
    ExecutorCrash,
    RunReports,
)
from gypsumline.tests.core.leases.builders import (
    KEY,
    agent,
    join,
    load,
    owner,
    reports,
    request,
)
from gypsumline.tests.core.leases.test_containment import (
    AGENTS,
    CULPRIT,
    new_owner,
    report_culprit,
    used_agents,
)

# A run that is hardly blamed.
_LABEL_RUN = CrashedRun(
    task=f"{'a' * 16}.0.0.0",
    attempt=1,
    queue="labels",
    age=5.0,
    is_started=True,
)


def test_status_lists_queues_under_suspicion_and_since_when():
    """Guards against a confined queue that operators do not see."""
    leased = new_owner()
    report_culprit(leased, now=0.1)
    report_culprit(leased, f"{'b' * 16}.0.0.0", now=1.0, first=3)
    (found,) = leased.crashes.suspected_queues(2.0)
    assert (found.service, found.queue) == ("ordering", "cards")
    assert (found.since, found.until) == (0.1, 6.0)
    assert found.blame > 2.0
    leased.tick(6.1)
    assert leased.crashes.suspected_queues(6.1) == []


def test_status_lists_jobs_given_up_and_since_when():
    """Guards against a job that was given up and leaves no trace."""
    leased = new_owner()
    report_culprit(leased)
    for now in (1.0, 2.0):
        effects = leased.submit(request(CULPRIT), now)
        assert (
            QueueBlamed(service="ordering", queue="cards", is_given_up=True)
            in effects
        )
    (found,) = leased.crashes.given_up_jobs(3.0)
    assert (found.job, found.queue) == (CULPRIT, "cards")
    assert (found.since, found.crashes) == (1.0, 2)
    assert leased.crashes.given_up_jobs(4000.0) == []


def test_list_of_jobs_given_up_is_bounded():
    """Guards against a list that grows with a stream of culprits."""
    leased = owner(crashes=CrashSettings(max_given_up=3))
    for number in AGENTS:
        join(leased, agent(number), executor=f"x-{number}")
    for number in range(1, 7):
        key = f"{number:016x}"
        leased._crashes.on_given_up(_job(leased, key), float(number))
    kept = [job.job for job in leased.crashes.given_up_jobs(7.0)]
    assert kept == [f"{number:016x}" for number in (4, 5, 6)]


def _job(leased, key):
    leased.submit(request(key), 0.0)
    return leased.jobs[key]


def test_caller_is_told_when_the_executors_will_be_back():
    """Guards against callers that retry while the executors are away."""
    leased = new_owner()
    report_culprit(leased)
    confined = used_agents(leased, "cards", 30)
    numbers = [n for n in AGENTS if f"agent-{n}" in confined]
    # One executor crashes and is back after 3 s.
    away_and_back(leased, numbers[0], 1.0, 4.0)
    report_culprit(leased, f"{'d' * 16}.0.0.0", now=4.1, first=1)
    for number in numbers:
        crash_away(leased, number, 4.2)
    refresh(leased, set(AGENTS) - set(numbers), 5.1)
    effects = leased.submit(request(KEY), 5.2)
    (ended,) = [e for e in effects if isinstance(e, JobEnded)]
    assert ended.reason == "executors of a queue under suspicion are away"
    assert 1.9 <= ended.retry_after <= 2.1
    # Time passes, and none has come back: the shortest time applies.
    refresh(leased, set(AGENTS) - set(numbers), 7.9)
    effects = leased.submit(request("e" * 16), 8.0)
    (ended,) = [e for e in effects if isinstance(e, JobEnded)]
    assert ended.retry_after == 0.2


def refresh(leased, numbers, now):
    """Lets some agents report an unchanged load."""
    for number in numbers:
        same = load(executor=f"x-{number}", seen=100)
        leased.on_reports(agent(number), reports(now_load=same), now)


def crash_away(leased, number, now):
    """Reports a crash whose executor is away."""
    away = load(free=0, taking=False, executor=f"x-{number}", seen=100)
    record = ExecutorCrash(
        executor=f"x-{number}",
        started_at=int(1000 * now),
        seconds_ago=0.0,
        runs=(_LABEL_RUN,),
    )
    message = RunReports(reports=(), load=away, crashes=(record,))
    return leased.on_reports(agent(number), message, now)


def away_and_back(leased, number, crashed_at, back_at):
    crash_away(leased, number, crashed_at)
    back = load(executor=f"x-{number}b", seen=100)
    leased.on_reports(agent(number), reports(now_load=back), back_at)
