"""HTTP routes for callers, operators and peer entry hosts."""

from . import (  # noqa: F401  (imported to register their routes)
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
