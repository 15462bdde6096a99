# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Shares reach the worker, and what is told of tasks reaches it too."""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import pace_controller
from portwharf.testing import agent_bench
from portwharf import workers

SIZE = data.Resources(500, 400)


class SlowWorker:
    """A worker whose answers to orders a test sets."""

    def __init__(self):
        self.answer = result.Ok(None)
        self.orders = []
        self.recalled = []

    def throttle(self, task, attempt, percent):
        """Note an order."""
        self.orders.append((task, percent))
        return self.answer

    def recall(self, start):
        """Note a start of a former side."""
        self.recalled.append(start)


def make_controller(count=3):
    """Return a keeper that knows a server and tasks that fill."""
    worker = SlowWorker()
    controller = pace_controller.PaceController(worker)
    held = [messages.HeldTask('s.0', 1, program='desk', target_ms=20)]
    for number in range(count):
        one = messages.HeldTask(f'f.{number}', 1, resources=SIZE)
        one.fill_milli = 500
        held.append(one)
    controller.record_held(messages.HeldTasks(held))
    return controller, worker


def make_listing(tail_ms=30, count=3):
    """Return a listing of what such a keeper knows."""
    running = data.RunState.RUNNING
    attempts = [workers.Attempt('s.0', 1, running, tail_ms=tail_ms)]
    for number in range(count):
        attempts.append(workers.Attempt(f'f.{number}', 1, running))
    return workers.Listing(0, data.Resources(4000, 4000), attempts)


def test_worker_is_told_the_sizes_of_what_a_former_side_began(case):
    _, worker = make_controller()
    sizes = {one.task: one.resources for one in worker.recalled}
    case.assertEqual(sizes['f.0'], SIZE)
    case.assertEqual(len(sizes), 4)


def test_first_order_that_is_lost_ends_the_round(case):
    controller, worker = make_controller()
    worker.answer = result.Err('timed out')
    controller.apply_plan(make_listing(), 0.0)
    case.assertEqual(len(worker.orders), 1)


def test_all_orders_are_given_again_after_a_lost_one(case):
    controller, worker = make_controller()
    worker.answer = result.Err('timed out')
    controller.apply_plan(make_listing(), 0.0)
    worker.answer = result.Ok(None)
    worker.orders.clear()
    controller.apply_plan(make_listing(), 0.4)
    case.assertEqual(
        {task for task, _ in worker.orders}, {'f.0', 'f.1', 'f.2'}
    )


def test_owners_order_does_not_undo_the_share_of_what_fills(case):
    controller, worker = make_controller(1)
    controller.apply_plan(make_listing(30, 1), 0.0)
    controller.throttle(messages.ThrottleTask(1, 'f.0', 1, 100))
    worker.orders.clear()
    controller.apply_plan(make_listing(30, 1), 0.4)
    ((task, percent),) = worker.orders
    case.assertEqual(task, 'f.0')
    case.assertLess(percent, 100)


def test_side_beats_at_once_when_it_is_told_what_runs(case):
    bench = agent_bench.Bench()
    bench.conn.take(messages.Heartbeat)
    held = messages.HeldTask('s.0', 1, program='desk', target_ms=20)
    bench.worker.listing.attempts = [
        workers.Attempt('s.0', 1, data.RunState.RUNNING, tail_ms=10)
    ]
    bench.agent.command(bench.conn, messages.HeldTasks([held]))
    bench.step()
    (beat,) = bench.conn.take(messages.Heartbeat)
    case.assertEqual([one.serving for one in beat.headrooms], ['desk'])


def test_new_owner_is_told_what_is_known_of_pairs_once(case):
    bench = agent_bench.Bench()
    press = messages.Press('desk', 'plan', 8.0, 0.5)
    bench.agent.command(bench.conn, messages.PressUpdate([press]))
    bench.step()
    bench.conn = bench.connect()
    bench.step(2.0)
    beats = bench.conn.take(messages.Heartbeat)
    case.assertEqual([beat.known for beat in beats], [[press], []])
