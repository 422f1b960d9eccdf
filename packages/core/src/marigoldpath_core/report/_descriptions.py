"""Texts for planners that replace codes and internal units."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry

from ._day import Refusal

WAIT_CAUSE_TEXTS = {
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
REMOVAL_CAUSE_TEXTS = {
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

# An advice builder returns an empty text if the record lacks the figures it needs.
AdviceBuilder = Callable[[Refusal], str]
REFUSAL_ADVICE: Registry[str, AdviceBuilder] = Registry("advice on a refusal")
advice_for = REFUSAL_ADVICE.register


def advice(refusal: Refusal) -> str:
    """Return a text that says what to change so that refused work is accepted."""
    text = (
        REFUSAL_ADVICE.get(refusal.code)(refusal)
        if refusal.code in REFUSAL_ADVICE
        else ""
    )
    if text:
        return text
    return refusal.message or f"Ask the operators about the code {refusal.code}."


def describe_wait_cause(cause: str) -> str:
    """Return the text for a cause of waiting."""
    return WAIT_CAUSE_TEXTS.get(cause, cause.replace("_", " "))


def describe_removal_cause(cause: str) -> str:
    """Return the text for the cause of a host's removal from service."""
    return REMOVAL_CAUSE_TEXTS.get(cause, cause.replace("_", " "))


def format_amount(field: str, value: int) -> str:
    """Return a text with the value of a request field and its unit."""
    unit, divisor = UNITS.get(field, (field.replace("_", " "), 1))
    return f"{value / divisor:g} {unit}".rstrip()


def format_duration(ms: float) -> str:
    """Return a text with a duration in ms, s, min or h, whichever suits its length."""
    if ms < 1_000:
        return f"{ms:.0f} ms"
    if ms < MINUTE_MS:
        return f"{ms / 1_000:.1f} s"
    if ms < HOUR_MS:
        return f"{ms / MINUTE_MS:.0f} min"
    return f"{ms / HOUR_MS:.1f} h"


def format_count(number: int, word: str) -> str:
    """Return a text with a number and a noun in the singular or plural."""
    return f"{number:,} {word}" if number == 1 else f"{number:,} {word}s"


@advice_for("too_large")
@advice_for("never_fits")
def _too_large(refusal: Refusal) -> str:
    if not refusal.needed:
        return ""
    if refusal.field == "tasks":
        return (
            f"The zone holds {format_count(refusal.limit, 'task')} of this size at "
            f"once. Ask for at most as many instead of {refusal.needed:,}, or for "
            f"smaller tasks."
        )
    return (
        f"No worker is that large. Ask for at most "
        f"{format_amount(refusal.field, refusal.limit)} a task instead of "
        f"{format_amount(refusal.field, refusal.needed)}, or split the task."
    )


@advice_for("over_quota")
def _over_quota(refusal: Refusal) -> str:
    if not refusal.needed:
        return f"Raise the quota of team {refusal.team} in the sheet, or ask for less."
    return (
        f"Raise the quota of team {refusal.team} in the sheet from "
        f"{format_amount(refusal.field, refusal.limit)} to at least "
        f"{format_amount(refusal.field, refusal.needed)}, or ask for less."
    )


@advice_for("queue_full")
def _queue_full(refusal: Refusal) -> str:
    return (
        f"Raise the queue limit of {refusal.kind} in the sheet"
        f"{f' above {refusal.limit:,}' if refusal.limit else ''}, or send the work "
        f"over a longer time."
    )


@advice_for("deadline_passed")
@advice_for("too_late")
def _deadline_passed(refusal: Refusal) -> str:
    return (
        f"The work could not start in time. Give {refusal.kind} a longer deadline, a "
        f"larger weight or a floor in the sheet."
    )


@advice_for("id_conflict")
def _id_conflict(refusal: Refusal) -> str:
    return "Give each piece of work an id of its own: these ids were used before."


@advice_for("unknown_kind")
def _unknown_kind(refusal: Refusal) -> str:
    return f"Add a kind row for {refusal.kind} to the sheet, or correct the name."


@advice_for("too_many_failures")
def _too_many_failures(refusal: Refusal) -> str:
    return f"The work of {refusal.kind} fails wherever it starts: correct the work."


@advice_for("draining")
@advice_for("leader_changed")
@advice_for("zone_recovering")
def _entry_host_replaced(refusal: Refusal) -> str:
    return "An entry host was being replaced. Nothing was run: send the work again."


@advice_for("platform_unavailable")
def _platform_unavailable(refusal: Refusal) -> str:
    return "The platform's store was down. Nothing was run: send the work again."
