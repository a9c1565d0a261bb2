"""What the status page tells about jobs that crash executors."""

from __future__ import annotations

from gypsumline.core.leases.crash_response import CrashResponse
from gypsumline.runtime.clock import boot_time


def crash_status(crashes: CrashResponse) -> dict[str, object]:
    """Returns the queues under suspicion and the jobs given up; ages in s."""
    now = boot_time()
    return {
        "queues_under_suspicion": [
            {
                "service": queue.service,
                "queue": queue.queue,
                "since_s": round(now - queue.since, 3),
                "ends_in_s": round(queue.until - now, 3),
                "blame": round(queue.blame, 2),
            }
            for queue in crashes.suspected_queues(now)
        ],
        "jobs_given_up": [
            {
                "job": job.job,
                "service": job.service,
                "queue": job.queue,
                "since_s": round(now - job.since, 3),
                "crashes": job.crashes,
            }
            for job in crashes.given_up_jobs(now)
        ],
    }
