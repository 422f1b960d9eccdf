"""Effects on the daemon's own surroundings: log lines and outcomes."""

from marigoldpath_core.messages import Log, OutcomeRefusedByOrigin, SendOutcome

from ._context import EffectContext
from ._registry import performs

LEVELS = frozenset({"debug", "info", "warning", "error", "critical"})


@performs(Log, limit=0)
async def log(context: EffectContext, effect: Log) -> None:
    """Write a log line with the reason for a decision."""
    level = effect.level if effect.level in LEVELS else "info"
    fields = {name: value for name, value in effect.fields.items() if name != "event"}
    getattr(context.telemetry.log, level)(effect.event, **fields)


# Outcomes to one entry host wait while it does not answer; those to others go on.
@performs(SendOutcome, limit=1_000, target=lambda effect: effect.origin.host)
async def send_outcome(context: EffectContext, effect: SendOutcome) -> None:
    """Bring an outcome to its origin."""
    if not await context.outcomes.deliver(effect):
        await context.feed(OutcomeRefusedByOrigin(effect.origin))
