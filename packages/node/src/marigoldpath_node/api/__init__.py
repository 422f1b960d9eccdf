"""Routes of callers, operators and peers."""

from . import (  # noqa: F401  (fill the registry)
    _configuration,
    _operators,
    _peers,
    _report,
    _requests,
)
from ._api import Api
from ._context import ApiContext
from ._registry import Access, RouteCall, route

__all__ = ["Access", "Api", "ApiContext", "RouteCall", "route"]
