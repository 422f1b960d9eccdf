"""Finds the images whose tasks fail on every worker, whatever its state."""

# An image that failed on this number of workers, and was done on none since, fails
# because of itself. A few broken workers are quarantined before it gets that far.
MIN_WORKERS = 3
MAX_IMAGES = 256


class FailingImages:
    """The workers on which tasks of each image failed since one was last done.

    The image that failed last is at the end.
    """

    def __init__(self) -> None:
        self._workers: dict[str, set[str]] = {}

    def record_failure(self, image: str, worker_id: str) -> bool:
        """Record a failure; return whether it shows that the image fails everywhere."""
        if not image:
            return False
        was_failing = self.includes(image)
        workers = self._workers.pop(image, set())
        if len(workers) < MIN_WORKERS:
            workers.add(worker_id)
        self._workers[image] = workers
        if len(self._workers) > MAX_IMAGES:
            del self._workers[next(iter(self._workers))]
        return self.includes(image) and not was_failing

    def record_done(self, image: str) -> None:
        """Record that a task of the image was done."""
        self._workers.pop(image, None)

    def includes(self, image: str) -> bool:
        """Return whether tasks of the image fail on every worker."""
        return len(self._workers.get(image, ())) >= MIN_WORKERS
