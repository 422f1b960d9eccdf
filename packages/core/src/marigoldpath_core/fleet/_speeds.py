"""Learns how long tasks take and how fast workers are.

The logarithm of the ratio of a task's measured duration to its estimate is modelled as
the sum of an error of the estimate for the task's image, one for its step, and the
negative log speeds of the worker's kind and of the worker itself. Each of these is an
estimate with a variance, and a measurement is split between them by their variances.
"""

import math
from collections.abc import Hashable

from ._estimate import Estimate
from ._run import Run
from ._settings import FleetSettings
from ._work import Step
from ._worker import Worker

MAX_IMAGES = 256
MAX_KINDS = 16
# Estimates of callers are off by up to 0.5 of themselves for urgent tasks and 0.9 for
# others, which is a standard deviation of about 0.5 in the logarithm.
INITIAL_IMAGE_VARIANCE = 0.5**2
INITIAL_KIND_VARIANCE = 0.4**2
# With these, the mean of a kind decays over about 50 tasks and that of an image over
# about 10.
MIN_IMAGE_VARIANCE = 0.1**2
MIN_KIND_VARIANCE = 0.03**2
MIN_WORKER_VARIANCE = 0.05**2
MIN_STEP_VARIANCE = 0.05**2
# The variance of the time of equal tasks on equal workers.
NOISE_VARIANCE = 0.15**2
# An error of more than this number of standard deviations counts as that number, so
# that a run that was suspended or reported late does not change an estimate much.
MAX_DEVIATIONS = 2.5
# Smaller differences between kinds, and between workers of one kind, are noise. They
# must not change placement, nor must a difference of less than two standard deviations.
MIN_KIND_DIFFERENCE = math.log(1.15)
MIN_WORKER_DIFFERENCE = math.log(1.3)
SIGNIFICANT_DEVIATIONS = 2.0
MAX_SPEED = 4.0
# The largest factor by which a duration may differ from its estimate.
MAX_TIME_FACTOR = 10.0


class Speeds:
    """The learned durations of images and speeds of workers of one leader."""

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        # The image that was measured last is at the end.
        self._images: dict[Hashable, Estimate] = {}
        self._kinds: dict[str, Estimate] = {}
        # The mean of the log speeds of all kinds. Speeds are relative to it, because
        # the durations determine the speeds only up to a common factor.
        self._mean_kind = 0.0
        # The speeds of the kinds that differ from the mean.
        self._kind_speeds: dict[str, float] = {}
        # The speeds, relative to their kinds, of the workers that differ from them.
        self._worker_speeds: dict[str, float] = {}

    @property
    def differ(self) -> bool:
        """Whether workers are known to differ in speed."""
        return bool(self._kind_speeds or self._worker_speeds)

    @property
    def remote_factor(self) -> float:
        """How many times as long a task takes outside the rack of its data."""
        return max(1.0, self._settings.remote_factor)

    def speed(self, worker: Worker) -> float:
        """Return the speed of a worker relative to the mean."""
        kind_speed = self._kind_speeds.get(worker.entry.kind, 1.0)
        return _limit(
            kind_speed * self._worker_speeds.get(worker.worker_id, 1.0), MAX_SPEED
        )

    def work_ms(self, step: Step) -> float:
        """Return the expected duration of a task on a worker of speed 1."""
        error = step.time_error.value
        image = self._images.get(_image_key(step))
        if image is not None:
            error += image.value - self._mean_kind
        return step.spec.estimate_ms * _limit(math.exp(error), MAX_TIME_FACTOR)

    def expected_ms(self, step: Step, worker: Worker) -> float:
        """Return the expected duration of a task of the step on the worker."""
        return (
            self.work_ms(step) * self.distance_factor(step, worker) / self.speed(worker)
        )

    def chain_ms(self, step: Step) -> float:
        """Return the expected duration of the longest chain of steps after this one."""
        job = step.job
        lengths = {step.number: 0.0}
        for number in range(step.number + 1, len(job.spec.steps)):
            before = [
                lengths[each]
                for each in job.spec.steps[number].after
                if each in lengths
            ]
            if before:
                other = job.steps[step.occurrence, number]
                lengths[number] = max(before) + self.work_ms(other)
        return max(lengths.values())

    def error_factor(self, step: Step) -> float:
        """Return by which factor a duration is likely to exceed the expected one."""
        image = self._images.get(_image_key(step))
        variance = image.variance if image is not None else INITIAL_IMAGE_VARIANCE
        return math.exp(math.sqrt(variance + step.time_error.variance + NOISE_VARIANCE))

    def distance_factor(self, step: Step, worker: Worker) -> float:
        """Return `remote_factor` if the worker is not in the rack of the data, or 1."""
        data_rack = step.spec.data_rack
        return self.remote_factor if data_rack and worker.entry.rack != data_rack else 1

    def record_done(self, worker: Worker, run: Run) -> None:
        """Learn from a run that is done, unless its work or its time is not known.

        The report of the end on the worker's clock counts, so neither the lag of this
        process nor the delay of its messages changes the result.
        """
        step = run.task.step
        spec = step.spec
        began_ms = run.began_clock_ms
        if not self._settings.learn_speeds or began_ms is None:
            return
        measured_ms = worker.clock_ms - began_ms
        # The members of a gang end together, with the slowest one. A filler gets the
        # processor time that others leave.
        is_comparable = not (spec.long_running or spec.fills or spec.gang)
        if not is_comparable or measured_ms <= 0 or not spec.estimate_ms:
            return
        near_ms = measured_ms / self.distance_factor(step, worker)
        self._record(step, worker, math.log(near_ms / spec.estimate_ms))

    def forget_worker(self, worker: Worker) -> None:
        """Forget the correction of a worker that has restarted or is removed."""
        worker.reset_log_speed()
        self._worker_speeds.pop(worker.worker_id, None)

    def _record(self, step: Step, worker: Worker, measured: float) -> None:
        """Split the error of the expected logarithm between what it consists of."""
        image_key = _image_key(step)
        new = Estimate(self._mean_kind, INITIAL_IMAGE_VARIANCE)
        image = self._images.pop(image_key, new)
        kind_name = worker.entry.kind
        new = Estimate(self._mean_kind, INITIAL_KIND_VARIANCE)
        kind = self._kinds.get(kind_name, new)
        expected = image.value + step.time_error.value
        expected -= kind.value + worker.log_speed.value
        parts = (image, step.time_error, kind, worker.log_speed)
        variance = sum(each.variance for each in parts) + NOISE_VARIANCE
        error = _clip(measured - expected, MAX_DEVIATIONS * math.sqrt(variance))
        self._images[image_key] = image.update(error, variance, MIN_IMAGE_VARIANCE)
        if len(self._images) > MAX_IMAGES:
            del self._images[next(iter(self._images))]
        step.time_error = step.time_error.update(error, variance, MIN_STEP_VARIANCE)
        worker.log_speed = worker.log_speed.update(
            -error, variance, MIN_WORKER_VARIANCE
        )
        if kind_name in self._kinds or len(self._kinds) < MAX_KINDS:
            self._kinds[kind_name] = kind.update(-error, variance, MIN_KIND_VARIANCE)
            self._update_kind_speeds()
        self._update_worker_speed(worker)

    def _update_kind_speeds(self) -> None:
        values = [each.value for each in self._kinds.values()]
        self._mean_kind = sum(values) / len(values)
        self._kind_speeds = {
            name: _limit(math.exp(each.value - self._mean_kind), MAX_SPEED)
            for name, each in self._kinds.items()
            if _is_significant(
                each.value - self._mean_kind, each.variance, MIN_KIND_DIFFERENCE
            )
        }

    def _update_worker_speed(self, worker: Worker) -> None:
        value, variance = worker.log_speed
        if _is_significant(value, variance, MIN_WORKER_DIFFERENCE):
            speed = _limit(math.exp(value), MAX_SPEED)
            self._worker_speeds[worker.worker_id] = speed
        else:
            self._worker_speeds.pop(worker.worker_id, None)


def _image_key(step: Step) -> Hashable:
    return step.spec.image or (step.job.queue.name, step.number)


def _is_significant(difference: float, variance: float, minimum: float) -> bool:
    least = max(minimum, SIGNIFICANT_DEVIATIONS * math.sqrt(variance))
    return abs(difference) > least


def _clip(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


def _limit(factor: float, largest: float) -> float:
    return max(1 / largest, min(largest, factor))
