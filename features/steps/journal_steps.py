"""Steps that order the messages between the leaders' journals and a fake table."""

from behave import given, then, when
from tests.core.test_journal_table import MemoryTable, make_request, without_logs

from marigoldpath_core.journal import Accepted, Intent, Journal
from marigoldpath_core.messages import ReadRow, ReadRows, RowReadFailed
from marigoldpath_core.requests import task_id
from marigoldpath_core.settings import JournalSettings

SETTINGS = JournalSettings(interval_ms=10, max_entries=5, slots=4, snapshot_after=3)


class Leader:
    """A leader's journal with its clock, pending write and confirmed entries."""

    def __init__(self, name: str, now_ms: int) -> None:
        self.journal = Journal(SETTINGS, "zadar", name)
        self.now_ms = now_ms
        self.pending_write = None
        self.intent_ticket = 0
        self.confirmed: set[int] = set()

    def handle(self, event) -> list:
        self.now_ms += 10
        effects = without_logs(self.journal.handle(event, self.now_ms))
        self.confirmed |= set(self.journal.confirmed())
        return effects

    def append(self, entry) -> int:
        self.now_ms += 10
        return self.journal.append(entry, self.now_ms)


def new_leader(context, name: str, epoch: int) -> Leader:
    leader = Leader(name, 1_000 * epoch)
    context.leaders[name] = leader
    context.store.open(leader.journal, epoch, leader.now_ms)
    return leader


@given('the leader "{name}" of epoch {epoch:d} with an accepted request "{request}"')
def accepted_request(context, name, epoch, request):
    context.store, context.leaders = MemoryTable(), {}
    leader = new_leader(context, name, epoch)
    leader.append(Accepted(make_request(request), leader.now_ms))
    context.store.flush(leader.journal, leader.now_ms)


@when('the leader "{name}" of epoch {epoch:d} opens the journal')
def open_journal(context, name, epoch):
    new_leader(context, name, epoch)


@when('"{name}" writes the intent to start "{request}"')
def write_intent(context, name, request):
    leader = context.leader = context.leaders[name]
    recovered = leader.journal.recovered.get(make_request(request).key)
    assert recovered is not None and not recovered.intents, recovered
    task = task_id(recovered.key, 1)
    leader.intent_ticket = leader.append(Intent((task,), f"w-{name}"))
    effects = leader.journal.tick(leader.now_ms + 10)
    leader.pending_write = effects[0] if effects else leader.pending_write


@when("the table writes the row and replies")
def write_and_reply(context):
    leader = context.leader
    context.effects = leader.handle(context.store.perform(leader.pending_write))


@when("the table writes the row and its reply is lost")
def write_and_lose_reply(context):
    context.store.perform(context.leader.pending_write)
    context.reads = context.leader.handle(
        context.store.drop_reply(context.leader.pending_write)
    )


@when("the write does not reach the table and no reply arrives")
def lose_write(context):
    context.reads = context.leader.handle(
        context.store.drop_reply(context.leader.pending_write)
    )


@when('"{name}" reads the row back')
def read_back(context, name):
    leader = context.leaders[name]
    assert context.reads == [ReadRow(leader.pending_write.key)], context.reads
    context.store.run(leader.journal, context.reads, leader.now_ms)
    leader.confirmed |= set(leader.journal.confirmed())


@when("reads from the table fail")
def fail_reads(context):
    leader = context.leader
    assert leader.handle(RowReadFailed(leader.pending_write.key)) == []


@when('the request "{request}" is refused before its journal entry is sent')
def refuse_request(context, request):
    leader = context.leader
    ticket = leader.append(Accepted(make_request(request), leader.now_ms))
    assert leader.journal.withdraw(ticket)


@when("the table replies again")
def restore_replies(context):
    leader = context.leader
    for _ in range(3):
        leader.now_ms += 1_000
        context.store.flush(leader.journal, leader.now_ms)
    leader.confirmed |= set(leader.journal.confirmed())


@when('the delayed write of "{name}" reaches the table')
def delayed_write(context, name):
    leader = context.leaders[name]
    context.store.run(leader.journal, [leader.pending_write], leader.now_ms)
    leader.confirmed |= set(leader.journal.confirmed())


@when('"{name}" fills the ring buffer twice')
def fill_ring_buffer(context, name):
    leader = context.leaders[name]
    for number in range(2 * SETTINGS.slots):
        leader.append(Accepted(make_request(f"{name}-{number}"), leader.now_ms))
        context.store.flush(leader.journal, leader.now_ms)
        if leader.journal.needs_snapshot:
            effects = leader.journal.snapshot(leader.now_ms)
            context.store.run(leader.journal, effects, leader.now_ms + 10)


@when('the leaders "{one}" of epoch 2 and "{two}" of epoch 3 read the rows')
def read_rows_concurrently(context, one, two):
    rows = context.store.perform(ReadRows("journal/zadar/"))
    for name, epoch in ((one, 2), (two, 3)):
        leader = context.leaders[name] = Leader(name, 1_000 * epoch)
        leader.journal.open(epoch, leader.now_ms)
        (leader.pending_write,) = leader.handle(rows)


@when('"{one}" writes the first row of its epoch and then "{two}" writes its own')
def begin_epochs(context, one, two):
    for name in (one, two):
        leader = context.leaders[name]
        context.store.run(leader.journal, [leader.pending_write], leader.now_ms)
        leader.now_ms += 10
        context.store.flush(leader.journal, leader.now_ms)


@then('"{name}" may start "{request}"')
def may_start(context, name, request):
    leader = context.leaders[name]
    assert leader.intent_ticket in leader.confirmed, leader.confirmed


@then('"{name}" may not start "{request}"')
def may_not_start(context, name, request):
    leader = context.leaders[name]
    if leader.intent_ticket:
        assert leader.intent_ticket not in leader.confirmed
    else:
        recovered = leader.journal.recovered.get(make_request(request).key)
        assert leader.journal.ready and recovered.intents, recovered


@then('"{name}" recovers the intent to start "{request}" on worker "{worker}"')
def recovers_intent(context, name, request, worker):
    recovered_requests = context.leaders[name].journal.recovered
    recovered = recovered_requests.get(make_request(request).key)
    assert [intent.worker for intent in recovered.intents] == [worker], recovered


@then('the journal of "{name}" is fenced')
def is_fenced(context, name):
    assert context.leaders[name].journal.fenced


@then('the journal of "{name}" is ready')
def is_ready(context, name):
    assert context.leaders[name].journal.ready


@then('the journal of "{name}" is unavailable')
def is_unavailable(context, name):
    assert not context.leaders[name].journal.available


@then('"{name}" cannot report "{request}" as not run')
def cannot_report_not_run(context, name, request):
    leader = context.leaders[name]
    assert not leader.journal.withdraw(leader.intent_ticket)


@then('"{name}" can report "{request}" as not run')
def can_report_not_run(context, name, request):
    leader = context.leaders[name]
    assert leader.intent_ticket in leader.journal.unconfirmed.not_written


@then('the table contains {count:d} intent to start "{request}"')
@then('the table contains {count:d} intents to start "{request}"')
def contains_intents(context, count, request):
    task = task_id(make_request(request).key, 1)
    entries = [entry for row in context.store.log for entry in row["entries"]]
    found = [entry for entry in entries if task in entry["fields"].get("tasks", ())]
    assert len(found) == count, found


@then('the table contains no entry of "{request}"')
def contains_no_entry(context, request):
    assert f"'{request}'" not in str(context.store.log)
