"""All requests of a zone by identity, and their tasks by worker."""

from collections import deque
from collections.abc import Iterator

from marigoldpath_core.requests import RequestKey, parse_task_id

from ._state import RequestPhase, RequestState, TaskState


class Ledger:
    """Finds requests and tasks, and forgets ended requests after a while.

    A recorded request is remembered longer: its caller may come back much later for
    the answer, and one that is not repeatable must not run again.
    """

    def __init__(self, retention_ms: int, record_retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._record_retention_ms = record_retention_ms
        self._requests: dict[RequestKey, RequestState] = {}
        self._on_worker: dict[str, dict[str, tuple[RequestState, TaskState]]] = {}
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
        """Take a request in."""
        self._requests[state.request.key] = state

    def forget(self, key: RequestKey) -> None:
        """Drop a request that was refused, so that it can be submitted again."""
        self._requests.pop(key, None)

    def find_task(self, task: str) -> tuple[RequestState, TaskState] | None:
        """Return the request and the task of its present attempt with this id."""
        try:
            key, _, _ = parse_task_id(task)
        except ValueError:
            return None
        state = self._requests.get(key)
        if state is None or task not in state.tasks:
            return None
        return state, state.tasks[task]

    def attach(self, state: RequestState, task: TaskState) -> None:
        """Put a task on its worker."""
        state.tasks[task.task] = task
        self._on_worker.setdefault(task.worker, {})[task.task] = (state, task)

    def detach(self, state: RequestState, task: TaskState) -> None:
        """Take a task off its worker and out of its request."""
        state.tasks.pop(task.task, None)
        self._on_worker.get(task.worker, {}).pop(task.task, None)

    def tasks_on(self, worker: str) -> list[tuple[RequestState, TaskState]]:
        """Return the tasks that are placed on a worker."""
        return list(self._on_worker.get(worker, {}).values())

    def workers_with_tasks(self) -> list[str]:
        """Return the workers on which tasks are placed."""
        return [worker for worker, tasks in self._on_worker.items() if tasks]

    def ended(self, state: RequestState, now_ms: int) -> None:
        """Note the end of a request and begin its retention."""
        state.phase = RequestPhase.ENDED
        state.ended_at_ms = now_ms
        queue = self._ended_recorded if state.is_recorded else self._ended
        queue.append((now_ms, state.request.key))

    def expire(self, now_ms: int) -> None:
        """Forget the requests whose retention is over."""
        self._expire(self._ended, now_ms - self._retention_ms)
        self._expire(self._ended_recorded, now_ms - self._record_retention_ms)

    def _expire(self, queue: deque[tuple[int, RequestKey]], before_ms: int) -> None:
        while queue and queue[0][0] < before_ms:
            ended_at_ms, key = queue.popleft()
            state = self._requests.get(key)
            if state is not None and state.ended_at_ms == ended_at_ms:
                del self._requests[key]
