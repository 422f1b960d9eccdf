"""Errors of the workers' client."""


class WorkerError(Exception):
    """A worker did not answer as asked."""


class WorkerUnreachableError(WorkerError):
    """Nothing was sent: there was no connection to the worker."""


class WorkerReplyError(WorkerError):
    """The reply was lost or is not one that the workers' protocol defines."""
