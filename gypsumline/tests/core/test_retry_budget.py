"""Tests of the retry budget."""

from gypsumline.core.retry_budget import RetryBudget


def test_retries_stay_below_the_ratio_when_everything_fails():
    """Guards against retries that multiply the load during an outage."""
    budget = RetryBudget(ratio=0.1, capacity=10.0)
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += budget.try_spend()
    assert 100 <= retries <= 110


def test_tokens_never_exceed_the_capacity():
    """Guards against a burst of retries after many successful requests."""
    budget = RetryBudget(ratio=0.1, capacity=2.0)
    for _ in range(1000):
        budget.record_request()
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
