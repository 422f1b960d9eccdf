"""What callers of the platform send, and how they read the answers."""

from typing import Any

from marigoldpath_core.jobs import JobSpec, JobState, StepSpec


def job_body(spec: JobSpec) -> dict[str, Any]:
    """Return the body with which a job is handed in."""
    return {"spec": spec.payload, "steps": [_step(step) for step in spec.steps]}


def parse_job_state(body: dict[str, Any]) -> JobState:
    """Return the state in the answer to a question for a job; raises ValueError."""
    return JobState(body["state"])


def _step(step: StepSpec) -> dict[str, Any]:
    data = {
        "count": step.width,
        "cpu": step.need.cpu_millis,
        "mem-mb": step.need.memory_mb,
        "estimate-ms": step.estimate_ms,
        "after": list(step.after),
        "gang": step.gang,
        "checkpointable": step.checkpointable,
    }
    return {name: value for name, value in data.items() if value}
