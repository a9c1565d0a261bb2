"""Tests of the pages for operators."""

import json

from gypsumline.platform.crash_page import crash_status
from gypsumline.platform.operator_pages import OperatorPages
from gypsumline.runtime.bounded_labels import BoundedLabels
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.http_messages import HttpRequest
from gypsumline.tests.core.leases.builders import request
from gypsumline.tests.core.leases.test_containment import (
    CULPRIT,
    new_owner,
    report_culprit,
)


class FakeExchange:
    """Keeps the response."""

    def __init__(self, target):
        self.request = HttpRequest(method="GET", target=target, headers={})
        self.response = None

    def respond(self, response):
        self.response = response


def get(pages, target):
    exchange = FakeExchange(target)
    pages(exchange)
    return exchange.response


def test_status_page_names_queues_and_jobs():
    """Guards against a page that an operator cannot read."""
    now = boot_time()
    leased = new_owner()
    report_culprit(leased, now=now)
    leased.submit(request(CULPRIT), now)
    pages = OperatorPages()
    pages.status = lambda: crash_status(leased.crashes)
    body = json.loads(get(pages, "/v1/status?x=1").body)
    (queue,) = body["queues_under_suspicion"]
    assert (queue["service"], queue["queue"]) == ("ordering", "cards")
    assert 0.0 <= queue["since_s"] < 5.0
    (job,) = body["jobs_given_up"]
    assert (job["job"], job["crashes"]) == (CULPRIT, 2)


async def test_process_without_status_has_metrics_only():
    """Guards against an agent whose page raises."""
    pages = OperatorPages()
    assert get(pages, "/v1/status").status == 404
    assert b"gypsumline_queue_crashes_total" in get(pages, "/metrics").body


def test_labels_are_bounded():
    """Guards against one series for each name that comes from outside."""
    labels = BoundedLabels(2)
    assert labels("s", "a") == ("s", "a")
    assert labels("s", "b") == ("s", "b")
    assert labels("s", "c") == ("other", "other")
    assert labels("s", "a") == ("s", "a")
