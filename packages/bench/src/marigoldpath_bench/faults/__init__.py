"""Faults that the stand-ins show on request."""

from ._gate import FaultGate, FaultPlan, Treatment, fault_modes, parse_plan

__all__ = ["FaultGate", "FaultPlan", "Treatment", "fault_modes", "parse_plan"]
