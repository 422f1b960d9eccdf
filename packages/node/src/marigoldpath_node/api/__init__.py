"""Routes of callers, operators and peers."""

from . import _configuration, _operators, _peers, _requests  # noqa: F401  (fill the registry)
from ._api import Api
from ._context import ApiContext
from ._registry import Access, RouteCall, route

__all__ = ["Access", "Api", "ApiContext", "RouteCall", "route"]
