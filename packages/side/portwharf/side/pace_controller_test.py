# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Shares are sent to the worker, and descriptions of tasks as well."""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import pace_controller
from portwharf.testing import agent_harness
from portwharf import workers

SIZE = data.Resources(500, 400)


class RecordingWorker:
    """A worker that records throttle commands; a test sets its answer."""

    def __init__(self):
        self.answer = result.Ok(None)
        self.commands = []
        self.recalled = []

    def throttle(self, task, attempt, percent):
        """Record a throttle command."""
        self.commands.append((task, percent))
        return self.answer

    def restore_start(self, start):
        """Record a start by a previous side process."""
        self.recalled.append(start)


def make_controller(count=3):
    """Return a controller that knows a serving and some filling tasks."""
    worker = RecordingWorker()
    controller = pace_controller.PaceController(worker)
    held = [messages.HeldTask('s.0', 1, program='desk', target_ms=20)]
    for number in range(count):
        one = messages.HeldTask(f'f.{number}', 1, resources=SIZE)
        one.fill_milli = 500
        held.append(one)
    controller.record_held(messages.HeldTasks(held))
    return controller, worker


def make_listing(tail_ms=30, count=3):
    """Return a listing of the tasks that the controller knows."""
    running = data.RunState.RUNNING
    attempts = [workers.Attempt('s.0', 1, running, tail_ms=tail_ms)]
    for number in range(count):
        attempts.append(workers.Attempt(f'f.{number}', 1, running))
    return workers.Listing(0, data.Resources(4000, 4000), attempts)


def test_worker_recalls_attempts_started_by_a_previous_side(case):
    _, worker = make_controller()
    sizes = {one.task: one.resources for one in worker.recalled}
    case.assertEqual(sizes['f.0'], SIZE)
    case.assertEqual(len(sizes), 4)


def test_first_failed_command_ends_the_round(case):
    controller, worker = make_controller()
    worker.answer = result.Err('timed out')
    controller.apply_plan(make_listing(), 0.0)
    case.assertEqual(len(worker.commands), 1)


def test_all_commands_are_resent_after_a_failed_one(case):
    controller, worker = make_controller()
    worker.answer = result.Err('timed out')
    controller.apply_plan(make_listing(), 0.0)
    worker.answer = result.Ok(None)
    worker.commands.clear()
    controller.apply_plan(make_listing(), 0.4)
    case.assertEqual(
        {task for task, _ in worker.commands}, {'f.0', 'f.1', 'f.2'}
    )


def test_owners_command_does_not_override_the_pacer(case):
    controller, worker = make_controller(1)
    controller.apply_plan(make_listing(30, 1), 0.0)
    controller.throttle(messages.ThrottleTask(1, 'f.0', 1, 100))
    worker.commands.clear()
    controller.apply_plan(make_listing(30, 1), 0.4)
    ((task, percent),) = worker.commands
    case.assertEqual(task, 'f.0')
    case.assertLess(percent, 100)


def test_heartbeat_follows_held_tasks_at_once(case):
    bench = agent_harness.AgentHarness()
    bench.conn.take(messages.Heartbeat)
    held = messages.HeldTask('s.0', 1, program='desk', target_ms=20)
    bench.worker.listing.attempts = [
        workers.Attempt('s.0', 1, data.RunState.RUNNING, tail_ms=10)
    ]
    bench.agent.command(bench.conn, messages.HeldTasks([held]))
    bench.step()
    (heartbeat,) = bench.conn.take(messages.Heartbeat)
    case.assertEqual([one.serving for one in heartbeat.headrooms], ['desk'])


def test_new_owner_gets_known_interference_once(case):
    bench = agent_harness.AgentHarness()
    press = messages.Press('desk', 'plan', 8.0, 0.5)
    bench.agent.command(bench.conn, messages.PressUpdate([press]))
    bench.step()
    bench.conn = bench.connect()
    bench.step(2.0)
    heartbeats = bench.conn.take(messages.Heartbeat)
    case.assertEqual(
        [heartbeat.known for heartbeat in heartbeats], [[press], []]
    )
