"""Client of the workers' HTTP API."""

from ._client import WorkerClient, WorkerEvents, worker_client
from ._errors import WorkerError, WorkerReplyError, WorkerUnreachableError
from ._http import HttpWorkerClient, create_worker_client

__all__ = [
    "HttpWorkerClient",
    "WorkerClient",
    "WorkerError",
    "WorkerEvents",
    "WorkerReplyError",
    "WorkerUnreachableError",
    "create_worker_client",
    "worker_client",
]
