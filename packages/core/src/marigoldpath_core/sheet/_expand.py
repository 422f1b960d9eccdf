"""Converts the workloads of a sheet into requests."""

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.requests import Request, RequestKey

from ._model import RowType, Sheet, Workload

# The requests of a sheet get the maximum deadline that a request may have, because no
# caller waits for them.
REQUEST_DEADLINE_MS = 7 * 24 * 3600 * 1000


def request_ids(workload: Workload) -> list[str]:
    """Return the ids of the requests of a workload.

    The first request has the id of the workload and the others have numbered ids, so
    that a changed count does not affect the requests that are already running.
    """
    if workload.row_type is RowType.JOB:
        return [workload.id]
    more = [f"{workload.id}.{number}" for number in range(2, workload.tasks + 1)]
    return [workload.id, *more]


def to_configuration(sheet: Sheet, version: int) -> Configuration:
    """Return the configuration that a sheet describes, with the given version."""
    standing = [
        request for workload in sheet.workloads for request in _to_requests(workload)
    ]
    return Configuration(version, sheet.kinds, sheet.teams, tuple(standing))


def _to_requests(workload: Workload) -> list[Request]:
    return [
        Request(
            key=RequestKey(workload.team, workload.availability_zone, request_id),
            kind=workload.kind,
            size=workload.size,
            repeatable=workload.repeatable,
            wait=False,
            deadline_ms=REQUEST_DEADLINE_MS,
            tasks=workload.tasks if workload.row_type is RowType.JOB else 1,
            work=workload.work,
        )
        for request_id in request_ids(workload)
    ]
