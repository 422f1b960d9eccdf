"""API keys and quotas of workspaces, and what their callers may do and submit."""

from ._access import Caller, may_cancel
from ._keys import ApiKeyIndex
from ._oversize import QuotaRefusal, refuse_if_oversize
from ._quota_history import QuotaHistory

__all__ = [
    "ApiKeyIndex",
    "Caller",
    "QuotaHistory",
    "QuotaRefusal",
    "may_cancel",
    "refuse_if_oversize",
]
