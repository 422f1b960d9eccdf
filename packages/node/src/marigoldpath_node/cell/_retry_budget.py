"""Bounds the retries of a host to a part of its requests."""


class RetryBudget:
    """Allows `ratio` retries for each request, and saves up at most `max_retries`.

    Without it, an outage would multiply the calls of all hosts by their retries just
    when the remaining hosts are busiest.
    """

    def __init__(self, ratio: float, max_retries: float) -> None:
        self._ratio = ratio
        self._max_retries = max_retries
        self._balance = max_retries

    def record_request(self) -> None:
        """Earn a part of a retry for a request."""
        self._balance = min(self._max_retries, self._balance + self._ratio)

    def take_retry(self) -> bool:
        """Use one retry and return whether the budget allows it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
