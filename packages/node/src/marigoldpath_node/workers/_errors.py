"""Errors of worker clients."""


class WorkerError(Exception):
    """A request to a worker failed."""


class WorkerUnreachableError(WorkerError):
    """Nothing was sent, because there was no connection to the worker."""


class WorkerReplyError(WorkerError):
    """The reply was lost or does not conform to the workers' protocol."""
