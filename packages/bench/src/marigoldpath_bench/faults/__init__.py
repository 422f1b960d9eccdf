"""Faults that the fakes of the platform and the workers inject on request."""

from ._injector import (
    FaultAction,
    FaultInjector,
    FaultPlan,
    fault_modes,
    parse_fault_plan,
)

__all__ = [
    "FaultAction",
    "FaultInjector",
    "FaultPlan",
    "fault_modes",
    "parse_fault_plan",
]
