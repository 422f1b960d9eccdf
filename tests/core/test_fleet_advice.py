"""Guards questions to the advice service."""

import unittest

from marigoldpath_core.fleet import (
    RequestAdvice,
    StartResult,
    Tick,
)
from marigoldpath_core.jobs import AdvicePolicy
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    Cell,
    entry,
    job,
    step,
)


class AdviceTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        self.cell.hear_all()
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (self.question,) = self.ask()

    def ask(self):
        return [
            each for each in self.cell.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_a_task_starts_only_with_a_ticket_for_its_worker(self):
        self.assertEqual(sorted(self.question.workers), ["a", "b"])
        self.cell.advise(self.question, {"b": "ticket"})
        orders = self.cell.starts()
        self.assertEqual(
            [(o.worker_id, o.ticket) for o in orders], [("b", "ticket")] * 2
        )

    def test_a_ticket_is_renewed_only_for_approved_workers(self):
        self.cell.advise(self.question, {"b": "ticket"})
        orders = self.cell.starts()
        for order in orders:
            self.cell.answer(order, StartResult.NO_ROOM)
        self.cell.now_ms += 2_100
        self.cell.hear_all()
        (again,) = self.ask()
        self.assertEqual(again.workers, ("b",))

    def test_a_question_without_an_answer_is_asked_again(self):
        self.cell.advise(self.question, None)
        self.cell.now_ms += 200
        (again,) = self.ask()
        self.assertEqual(again.workers, self.question.workers)

    def test_a_ticket_is_of_no_use_for_the_next_life_of_a_worker(self):
        self.cell.advise(self.question, {"a": "ticket", "b": "ticket"})
        self.cell.report("a", incarnation=2_000, clock_ms=10)
        self.cell.report("b", incarnation=2_000, clock_ms=10)
        self.assertEqual(self.cell.starts(), [])


class NamedWorkersTests(unittest.TestCase):
    """Each worker named in a question makes the answer later."""

    def setUp(self):
        entries = [entry(f"w{number:02}", cpu=4_000) for number in range(50)]
        self.cell = Cell(*entries, entry("wide", cpu=8_000))
        self.cell.hear_all()

    def questions(self):
        return [
            each for each in self.cell.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_of_many_workers_those_with_the_most_room_are_named(self):
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (question,) = self.questions()
        self.assertEqual(len(question.workers), 30)
        self.assertIn("wide", question.workers)

    def test_a_wide_step_names_as_many_as_it_may_need(self):
        self.cell.accept(job(step(width=60), queue=ADVISED))
        (question,) = self.questions()
        self.assertGreater(len(question.workers), 30)

    def test_the_others_are_named_when_too_few_were_approved(self):
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (first,) = self.questions()
        self.cell.wait(1_000)
        self.cell.advise(first, {})
        (second,) = self.questions()
        self.assertEqual(set(first.workers) & set(second.workers), set())

    def test_a_worker_with_the_required_label_is_named(self):
        self.cell.accept(job(step(width=2, required_label="b"), queue=ADVISED))
        self.assertEqual(self.questions(), [])


class RenewalTests(unittest.TestCase):
    """A backlog that renews all its tickets leaves no host for other questions."""

    def setUp(self):
        slow = BACKGROUND._replace(advice=AdvicePolicy(500.0, 5.0, 2_000.0))
        self.cell = Cell(*(entry(f"w{index}", cpu=4_000) for index in range(4)))
        self.cell.hear_all()
        self.cell.handle(Tick(0, 40))
        for number in range(3):
            # Each has one more task than fits.
            large = job(step(width=5, cpu=3_400), queue=slow, job_id=f"{number:016x}")
            self.cell.accept(large)
        for question in self.questions():
            self.cell.advise(question, dict.fromkeys(question.workers, "t"))
        self.cell.dispatch()
        self.cell.wait(5_000)
        self.cell.hear_all()

    def questions(self):
        return [
            each for each in self.cell.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_one_step_alone_asks_for_the_room_of_a_worker(self):
        questions = self.questions()
        self.assertEqual(len(questions), 1)
        self.assertEqual(self.questions(), [])

    def test_no_more_room_is_asked_for_than_the_tasks_may_take(self):
        self.cell.scheduler._fleet.open_steps["0" * 16, 0, 0].tasks[1:] = []
        (first, *_) = self.questions()
        self.assertLessEqual(len(first.workers), 2)


class SlowAdviceTests(unittest.TestCase):
    def test_no_slow_question_is_asked_while_no_host_may_ask_it(self):
        """It would stand before the urgent questions of the leader."""
        slow = BACKGROUND._replace(advice=AdvicePolicy(500.0, 5.0, 2_500.0))
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(), queue=slow))
        self.assertEqual(cell.dispatch(), [])
        cell.handle(Tick(0, advice_hosts=1))
        self.assertEqual(len(cell.dispatch()), 1)

    def test_half_of_the_hosts_are_kept_free_for_quick_questions(self):
        """Urgent steps would wait for the slow questions of a long backlog."""
        slow = BACKGROUND._replace(advice=AdvicePolicy(400.0, 5.0, 2_000.0))
        cell = Cell(entry("a"))
        cell.hear_all()
        for number in range(5):
            cell.accept(job(step(), queue=slow, job_id=f"{number:016x}"))
        for hosts, most in ((1, 1), (6, 3), (20, 5)):
            with self.subTest(hosts=hosts):
                cell.handle(Tick(0, hosts))
                cell.dispatch()
                asking = sum(1 for each in cell.steps() if each.is_asking)
                self.assertEqual(asking, most)


if __name__ == "__main__":
    unittest.main()
