"""Handlers of effects that write log lines and deliver outcomes."""

from marigoldpath_core.messages import Log, OutcomeRefusedByOrigin, SendOutcome

from ._context import EffectContext
from ._registry import handles

LEVELS = frozenset({"debug", "info", "warning", "error", "critical"})


@handles(Log, limit=0)
async def log(context: EffectContext, effect: Log) -> None:
    """Write a log line that gives the reason for a decision."""
    level = effect.level if effect.level in LEVELS else "info"
    fields = {name: value for name, value in effect.fields.items() if name != "event"}
    getattr(context.telemetry.log, level)(effect.event, **fields)


# Outcomes for an unresponsive entry host are queued without delaying those for others.
@handles(SendOutcome, limit=1_000, target=lambda effect: effect.origin.host)
async def send_outcome(context: EffectContext, effect: SendOutcome) -> None:
    """Deliver an outcome to its origin."""
    if not await context.outcomes.deliver(effect):
        await context.feed(OutcomeRefusedByOrigin(effect.origin))
