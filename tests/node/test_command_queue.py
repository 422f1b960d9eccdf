"""Tests of the queue of commands to workers."""

import unittest
from functools import partial

import curio

from marigoldpath_node.cell._command_queue import CommandQueue

MAX_IN_FLIGHT = 3


class CommandQueueTests(unittest.TestCase):
    """Guards against a task of the loop for each command that waits."""

    def setUp(self):
        self.spawned = 0
        self.in_flight = 0
        self.most_in_flight = 0
        self.sent = []

    async def spawn(self, function, *arguments):
        self.spawned += 1
        await curio.spawn(function, *arguments, daemon=True)

    async def send(self, number):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await curio.sleep(0)
        self.in_flight -= 1
        self.sent.append(number)

    def run_queue(self, action):
        async def run():
            queue = CommandQueue(self.spawn, lambda _worker_id: MAX_IN_FLIGHT)
            await action(queue)
            while self.in_flight or queue._queues:
                await curio.sleep(0)
            return queue

        return curio.run(run)

    def test_many_commands_need_few_tasks(self):
        async def action(queue):
            for number in range(1_000):
                await queue.add("a", partial(self.send, number))

        self.run_queue(action)
        self.assertEqual(self.spawned, MAX_IN_FLIGHT)
        self.assertEqual(self.most_in_flight, MAX_IN_FLIGHT)
        self.assertEqual(self.sent, list(range(1_000)))

    def test_workers_do_not_wait_for_each_other(self):
        """Guards against a silent worker that delays the commands to others."""
        blocked = curio.Event()

        async def action(queue):
            for _ in range(10):
                await queue.add("silent", blocked.wait)
            await queue.add("a", partial(self.send, 1))
            for _ in range(5):
                await curio.sleep(0)
            self.assertEqual(self.sent, [1])
            await blocked.set()

        self.run_queue(action)

    def test_an_equal_command_that_waits_is_not_added_again(self):
        """Guards against repeated stops that queue up for a slow worker."""
        blocked = curio.Event()

        async def action(queue):
            for _ in range(MAX_IN_FLIGHT):
                await queue.add("a", blocked.wait)
            for _ in range(5):
                await queue.add("a", partial(self.send, 1), "stop")
            await blocked.set()

        self.run_queue(action)
        self.assertEqual(self.sent, [1])

    def test_a_command_may_be_sent_again_later(self):
        """Guards against a repeated stop that is taken for one that waits."""

        async def action(queue):
            for _ in range(3):
                await queue.add("a", partial(self.send, 1), "stop")
                while self.in_flight or queue._queues:
                    await curio.sleep(0)

        self.run_queue(action)
        self.assertEqual(self.sent, [1, 1, 1])

    def test_the_queue_keeps_nothing_of_a_worker_without_commands(self):
        async def action(queue):
            await queue.add("a", partial(self.send, 1))

        queue = self.run_queue(action)
        self.assertEqual((queue._queues, queue._senders), ({}, {}))


if __name__ == "__main__":
    unittest.main()
