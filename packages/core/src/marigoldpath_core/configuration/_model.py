"""Data types of the configuration."""

from typing import NamedTuple

from marigoldpath_core.requests import Request, Size


class WorkKind(NamedTuple):
    """The policy for one kind of work.

    A lower `priority` is more urgent. `weight` sets the relative share of starts while
    kinds compete. `floor` is the fraction of the zone's capacity, 0 to 1, that is
    reserved for the kind, and `ceiling` the maximum fraction that may be allocated to
    it. `queue_limit` is the number of waiting requests beyond which new ones are
    refused. `placement` is the name of a registered placement policy. Requests of a
    `standing` kind run until they are cancelled.
    """

    name: str
    priority: int = 1
    weight: int = 1
    floor: float = 0.0
    ceiling: float = 1.0
    queue_limit: int = 1_000
    placement: str = "best_fit"
    standing: bool = False
    checkpoint: bool = False


class TeamQuota(NamedTuple):
    """The maximum capacity that may be allocated to a team in a zone."""

    team: str
    limit: Size
    weight: int = 1


class Configuration(NamedTuple):
    """One version of the configuration; a higher version replaces a lower one.

    `standing` contains the requests that are defined in the version's sheet, which is
    the text that an operator applied. Their kinds need not be `standing` kinds.
    """

    version: int = 0
    kinds: tuple[WorkKind, ...] = ()
    quotas: tuple[TeamQuota, ...] = ()
    standing: tuple[Request, ...] = ()
