"""Convert a deployment file to the settings files of its processes."""

from ._model import Deployment, EntryHostPlan, MixPart, Rack, load_deployment
from ._paths import DEPLOYMENTS_FOLDER, REPOSITORY_ROOT, find_deployment
from ._settings import (
    ProcessPlan,
    RunPlan,
    count_ports,
    daemon_settings,
    plan_run,
    write_run,
)

__all__ = [
    "DEPLOYMENTS_FOLDER",
    "REPOSITORY_ROOT",
    "Deployment",
    "EntryHostPlan",
    "MixPart",
    "ProcessPlan",
    "Rack",
    "RunPlan",
    "count_ports",
    "daemon_settings",
    "find_deployment",
    "load_deployment",
    "plan_run",
    "write_run",
]
