"""Turns the descriptions of a sheet into requests."""

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.requests import Request, RequestKey

from ._model import RowType, Sheet, Workload

# The longest deadline that a request may have: the sheet's work has no caller that
# waits for it.
DEADLINE_MS = 7 * 24 * 3600 * 1000


def request_ids(item: Workload) -> list[str]:
    """Return the ids of the requests of a description.

    The first keeps the description's id, so that a changed count leaves the
    requests that are already running as they are.
    """
    if item.sort is RowType.JOB:
        return [item.id]
    more = [f"{item.id}.{number}" for number in range(2, item.tasks + 1)]
    return [item.id, *more]


def to_configuration(sheet: Sheet, version: int) -> Configuration:
    """Return the configuration of a sheet as the given version."""
    standing = [request for item in sheet.workloads for request in _requests(item)]
    return Configuration(version, sheet.kinds, sheet.teams, tuple(standing))


def _requests(item: Workload) -> list[Request]:
    return [
        Request(
            key=RequestKey(item.team, item.availability_zone, request_id),
            kind=item.kind,
            size=item.size,
            repeatable=item.repeatable,
            wait=False,
            deadline_ms=DEADLINE_MS,
            tasks=item.tasks if item.sort is RowType.JOB else 1,
            work=item.work,
        )
        for request_id in request_ids(item)
    ]
