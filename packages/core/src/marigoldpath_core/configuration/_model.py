"""Data types of the configuration."""

from typing import NamedTuple

from marigoldpath_core.requests import Request, Size


class WorkKind(NamedTuple):
    """The policy for one kind of work.

    A lower `priority` is more urgent. `weight` sets the share of starts while kinds
    compete. `floor` is the part of the zone's capacity, 0 to 1, that the kind keeps
    while others flood; `ceiling` the part that it may hold at most. `queue_limit` is
    the number of waiting requests beyond which new ones are refused. `placement`
    names a registered placement policy. A `standing` kind runs until cancelled.
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
    """What the tasks of one team may hold at once in a zone."""

    team: str
    limit: Size
    weight: int = 1


class Configuration(NamedTuple):
    """One version of what operators want; a higher version replaces a lower one.

    `standing` are the requests that the sheet itself asks to have run.
    """

    version: int = 0
    kinds: tuple[WorkKind, ...] = ()
    quotas: tuple[TeamQuota, ...] = ()
    standing: tuple[Request, ...] = ()
