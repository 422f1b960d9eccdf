"""Routes of callers, operators and peers."""

from ._api import Api
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from . import _operators, _peers, _requests  # noqa: F401, I001  (fill the registry)

__all__ = ["Access", "Api", "ApiContext", "RouteCall", "route"]
