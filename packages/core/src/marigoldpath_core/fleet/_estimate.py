"""A scalar estimate that is updated by measurements with noise."""

from typing import NamedTuple


class Estimate(NamedTuple):
    """A value and the variance of its error."""

    value: float
    variance: float

    def update(
        self, error: float, error_variance: float, min_variance: float
    ) -> "Estimate":
        """Return the estimate after a measurement.

        `error` is the measured sum of several values less the sum of their estimates,
        and `error_variance` its variance: the estimate gets the part of the error that
        corresponds to its own variance. A variance of at least `min_variance` makes the
        estimate a decayed mean, which follows changes.
        """
        gain = self.variance / error_variance
        variance = max(min_variance, self.variance * (1 - gain))
        return Estimate(self.value + gain * error, variance)
