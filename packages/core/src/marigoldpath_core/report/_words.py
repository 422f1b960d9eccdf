"""Words for planners in place of codes and units."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry

from ._day import Refusal

CAUSES = {
    "capacity": "no worker had room",
    "quota": "the team had reached its quota",
    "ceiling": "the kind had reached its ceiling",
    "unproven": "workers with room had to show first that their tasks run",
    "floor": "the free room was kept for other kinds",
    "priority": "more urgent work went first",
    "gang": "not all tasks of the job fitted at once",
    "leader_change": "another entry host took over the zone",
    "platform": "the platform's store did not answer",
    "lease": "the earlier run had to end first",
}
HOST_CAUSES = {
    "failing": "it failed the tasks that it was given",
    "unreachable": "it did not answer",
    "leaving": "the platform is replacing it",
    "drained": "an operator drained it",
}
UNITS = {
    "cpu_millis": ("processor cores", 1_000),
    "memory_mb": ("GB of memory", 1_000),
    "accelerators": ("accelerators", 1),
    "slots": ("slots", 1),
    "connections": ("connections", 1),
}
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS

# An adviser returns an empty text when the record does not hold the figures it needs.
Adviser = Callable[[Refusal], str]
ADVICE: Registry[str, Adviser] = Registry("advice on a refusal")
advises = ADVICE.register


def advice(refusal: Refusal) -> str:
    """Return what to change so that the refused work fits."""
    text = ADVICE.get(refusal.code)(refusal) if refusal.code in ADVICE else ""
    if text:
        return text
    return refusal.message or f"Ask the operators about the code {refusal.code}."


def cause_text(cause: str) -> str:
    """Return a cause of waiting in words."""
    return CAUSES.get(cause, cause.replace("_", " "))


def host_cause_text(cause: str) -> str:
    """Return the cause for taking out a host in words."""
    return HOST_CAUSES.get(cause, cause.replace("_", " "))


def amount(field: str, value: int) -> str:
    """Return a value of a dimension with its unit."""
    unit, divisor = UNITS.get(field, (field.replace("_", " "), 1))
    return f"{value / divisor:g} {unit}".rstrip()


def duration(ms: float) -> str:
    """Return a time in the unit that reads best."""
    if ms < 1_000:
        return f"{ms:.0f} ms"
    if ms < MINUTE_MS:
        return f"{ms / 1_000:.1f} s"
    if ms < HOUR_MS:
        return f"{ms / MINUTE_MS:.0f} min"
    return f"{ms / HOUR_MS:.1f} h"


def counted(number: int, word: str) -> str:
    """Return a number with its noun."""
    return f"{number:,} {word}" if number == 1 else f"{number:,} {word}s"


@advises("too_large")
@advises("never_fits")
def _too_large(refusal: Refusal) -> str:
    if not refusal.needed:
        return ""
    if refusal.field == "tasks":
        return (
            f"The zone holds {counted(refusal.limit, 'task')} of this size at once. "
            f"Ask for at most as many instead of {refusal.needed:,}, or for smaller "
            f"tasks."
        )
    return (
        f"No worker is that large. Ask for at most "
        f"{amount(refusal.field, refusal.limit)} a task instead of "
        f"{amount(refusal.field, refusal.needed)}, or split the task."
    )


@advises("over_quota")
def _over_quota(refusal: Refusal) -> str:
    if not refusal.needed:
        return f"Raise the quota of team {refusal.team} in the sheet, or ask for less."
    return (
        f"Raise the quota of team {refusal.team} in the sheet from "
        f"{amount(refusal.field, refusal.limit)} to at least "
        f"{amount(refusal.field, refusal.needed)}, or ask for less."
    )


@advises("queue_full")
def _queue_full(refusal: Refusal) -> str:
    return (
        f"Raise the queue limit of {refusal.kind} in the sheet"
        f"{f' above {refusal.limit:,}' if refusal.limit else ''}, or send the work "
        f"over a longer time."
    )


@advises("deadline_passed")
@advises("too_late")
def _deadline(refusal: Refusal) -> str:
    return (
        f"The work could not start in time. Give {refusal.kind} a longer deadline, a "
        f"larger weight or a floor in the sheet."
    )


@advises("id_conflict")
def _id_conflict(refusal: Refusal) -> str:
    return "Give each piece of work an id of its own: these ids were used before."


@advises("unknown_kind")
def _unknown_kind(refusal: Refusal) -> str:
    return f"Add a kind row for {refusal.kind} to the sheet, or correct the name."


@advises("too_many_failures")
def _failures(refusal: Refusal) -> str:
    return f"The work of {refusal.kind} fails wherever it starts: correct the work."


@advises("draining")
@advises("leader_changed")
@advises("zone_recovering")
def _passing(refusal: Refusal) -> str:
    return "An entry host was being replaced. Nothing was run: send the work again."


@advises("platform_unavailable")
def _platform(refusal: Refusal) -> str:
    return "The platform's store was down. Nothing was run: send the work again."
