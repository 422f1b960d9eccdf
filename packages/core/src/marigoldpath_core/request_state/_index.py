"""An index of a zone's requests by key and of their tasks by worker."""

from collections import deque
from collections.abc import Iterator

from marigoldpath_core.requests import RequestKey, parse_task_id

from ._state import RequestPhase, RequestState, TaskState


class RequestIndex:
    """Index requests by key and tasks by worker; remove requests after their retention.

    A request in the journal is retained longer. Its caller could fetch the outcome much
    later, or submit it again, and a request that is not repeatable must not run again.
    """

    def __init__(self, retention_ms: int, recorded_retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._recorded_retention_ms = recorded_retention_ms
        self._requests: dict[RequestKey, RequestState] = {}
        self._tasks_by_worker: dict[str, dict[str, tuple[RequestState, TaskState]]] = {}
        self._ended: deque[tuple[int, RequestKey]] = deque()
        self._ended_recorded: deque[tuple[int, RequestKey]] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[RequestState]:
        return iter(self._requests.values())

    def get(self, key: RequestKey) -> RequestState | None:
        """Return the state of a request, if it is known."""
        return self._requests.get(key)

    def add(self, state: RequestState) -> None:
        """Index a request by its key."""
        self._requests[state.request.key] = state

    def remove(self, key: RequestKey) -> None:
        """Remove a request, so that its key can be submitted again."""
        self._requests.pop(key, None)

    def find_task(self, task: str) -> tuple[RequestState, TaskState] | None:
        """Return a task of a current attempt by its id, with its request."""
        try:
            key, _, _ = parse_task_id(task)
        except ValueError:
            return None
        state = self._requests.get(key)
        if state is None or task not in state.tasks:
            return None
        return state, state.tasks[task]

    def add_task(self, state: RequestState, task: TaskState) -> None:
        """Add a task to its request and to its worker."""
        state.tasks[task.task] = task
        self._tasks_by_worker.setdefault(task.worker, {})[task.task] = (state, task)

    def remove_task(self, state: RequestState, task: TaskState) -> None:
        """Remove a task from its request and from its worker."""
        state.tasks.pop(task.task, None)
        self._tasks_by_worker.get(task.worker, {}).pop(task.task, None)

    def tasks_on(self, worker: str) -> list[tuple[RequestState, TaskState]]:
        """Return the tasks that are placed on a worker."""
        return list(self._tasks_by_worker.get(worker, {}).values())

    def workers_with_tasks(self) -> list[str]:
        """Return the workers on which tasks are placed."""
        return [worker for worker, tasks in self._tasks_by_worker.items() if tasks]

    def mark_ended(self, state: RequestState, now_ms: int) -> None:
        """Mark a request as ended and begin its retention period."""
        state.phase = RequestPhase.ENDED
        state.ended_at_ms = now_ms
        queue = self._ended_recorded if state.is_recorded else self._ended
        queue.append((now_ms, state.request.key))

    def remove_expired(self, now_ms: int) -> None:
        """Remove the requests whose retention period is over."""
        self._remove_expired(self._ended, now_ms - self._retention_ms)
        self._remove_expired(self._ended_recorded, now_ms - self._recorded_retention_ms)

    def _remove_expired(
        self, queue: deque[tuple[int, RequestKey]], before_ms: int
    ) -> None:
        while queue and queue[0][0] < before_ms:
            ended_at_ms, key = queue.popleft()
            state = self._requests.get(key)
            if state is not None and state.ended_at_ms == ended_at_ms:
                del self._requests[key]
