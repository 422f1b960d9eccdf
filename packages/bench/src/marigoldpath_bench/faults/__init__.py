"""Faults that the stand-ins show on request."""

from ._injector import FaultAction, FaultInjector, FaultPlan, fault_modes, parse_plan

__all__ = ["FaultAction", "FaultInjector", "FaultPlan", "fault_modes", "parse_plan"]
