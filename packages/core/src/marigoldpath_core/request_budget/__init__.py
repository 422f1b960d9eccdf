"""The bytes that connections hold, and which connections to close at a limit."""

from ._budget import Account, BudgetLimits, Phase, RequestBudget
from ._closures import CloseReason, ClosureLog

__all__ = [
    "Account",
    "BudgetLimits",
    "CloseReason",
    "ClosureLog",
    "Phase",
    "RequestBudget",
]
