"""Tests of the budget of retries."""

import unittest

from marigoldpath_node.cell._retry_budget import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    """Guards against retries that multiply the load of an outage."""

    def test_the_saved_retries_are_used_up(self):
        budget = RetryBudget(0.5, 2.0)
        self.assertEqual([budget.take_retry() for _ in range(3)], [True, True, False])

    def test_requests_earn_retries_in_proportion(self):
        budget = RetryBudget(0.5, 2.0)
        while budget.take_retry():
            pass
        taken = 0
        for _ in range(100):
            budget.record_request()
            taken += budget.take_retry()
        self.assertEqual(taken, 50)

    def test_the_saved_retries_are_bounded(self):
        budget = RetryBudget(0.5, 2.0)
        for _ in range(100):
            budget.record_request()
        self.assertEqual(sum(budget.take_retry() for _ in range(10)), 2)
