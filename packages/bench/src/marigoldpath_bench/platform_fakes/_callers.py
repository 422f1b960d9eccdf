"""Encode the requests of the platform's callers and decode the replies."""

from typing import Any

from marigoldpath_core.jobs import JobSpec, JobState, StepSpec


def job_body(spec: JobSpec) -> dict[str, Any]:
    """Return the body of the request that submits a job."""
    body: dict[str, Any] = {
        "spec": spec.payload,
        "steps": [_encode_step(step) for step in spec.steps],
    }
    if spec.occurrences:
        body["times"] = spec.occurrences
        body["start-at-ms"] = spec.start_ms
        body["interval-ms"] = spec.interval_ms
    return body


def parse_job_state(body: dict[str, Any]) -> JobState:
    """Return the state in the reply to a job query; raise ValueError if unknown."""
    return JobState(body["state"])


def _encode_step(step: StepSpec) -> dict[str, Any]:
    data = {
        "count": step.width,
        "cpu": step.need.cpu_millis,
        "mem-mb": step.need.memory_mb,
        "estimate-ms": step.estimate_ms,
        "after": list(step.after),
        "gang": step.gang,
        "checkpointable": step.checkpointable,
        "long-running": step.long_running,
        "required-label": step.required_label,
    }
    return {name: value for name, value in data.items() if value}
