"""Decides which jobs a caller may cancel."""

from typing import NamedTuple

from marigoldpath_core.jobs import AcceptedJob


class Caller(NamedTuple):
    """Who sent a call, and over the route of which queue.

    `workspace` is that of the call's API key. It is empty for a call without a valid
    key, which only a public route accepts.
    """

    workspace: str
    queue: str


def may_cancel(job: AcceptedJob, caller: Caller) -> bool:
    """Return whether a caller may cancel a job.

    A job of a workspace is cancelled by the workspace's own callers. A call without a
    key may cancel it only over the public route that the job was submitted to:
    otherwise anyone could cancel the jobs of all queues over any public route.
    """
    if not job.workspace:
        return True
    if caller.workspace:
        return caller.workspace == job.workspace
    return caller.queue == job.queue.name
