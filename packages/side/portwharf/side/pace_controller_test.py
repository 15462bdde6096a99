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


class DelayingWorker(RecordingWorker):
    """Leaves one throttle command unanswered and carries it out late.

    :ivar shares: the share in force by task, in percent
    """

    def __init__(self, percent, delay_seconds):
        """Set up the worker.

        :param percent: the first command to this share is delayed
        :param delay_seconds: until it is carried out
        """
        super().__init__()
        self.shares = {}
        self.now = 0.0
        self._percent = percent
        self._delay_seconds = delay_seconds
        self._delayed = None

    def throttle(self, task, attempt, percent):
        """Record a command; carry it out unless it is the delayed one."""
        super().throttle(task, attempt, percent)
        if self._delayed is None and percent == self._percent:
            due_at = self.now + self._delay_seconds
            self._delayed = (due_at, task, percent)
            return result.Err('timed out')
        self.shares[task] = percent
        return result.Ok(None)

    def advance(self, now):
        """Carry out the delayed command if it is due."""
        self.now = now
        if self._delayed and now >= self._delayed[0]:
            _, task, percent = self._delayed
            self.shares[task] = percent
            self._delayed = ()


def make_controller(count=3, worker=None):
    """Return a controller that knows a serving and some filling tasks."""
    worker = worker or RecordingWorker()
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


def test_command_that_always_fails_does_not_block_the_others(case):
    """Each round ends with its first failure, and began with the same task."""
    controller, worker = make_controller()
    throttle = worker.throttle

    def fail_two(task, attempt, percent):
        throttle(task, attempt, percent)
        return result.Ok(None) if task == 'f.2' else result.Err('HTTP 400')

    worker.throttle = fail_two
    for number in range(5):
        controller.apply_plan(make_listing(), 0.4 * number)
    case.assertIn(('f.2', 0), worker.commands)


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


def simulate_delayed_command(percent, tails):
    """Poll every 0.4 s while a command is carried out three seconds late.

    :param percent: the first command to this share is delayed
    :param tails: the tail latency at each poll, in ms
    :returns: the shares in force at the end, by task
    """
    worker = DelayingWorker(percent, 3.0)
    controller, _ = make_controller(1, worker)
    for number, tail_ms in enumerate(tails):
        now = 0.4 * number
        worker.advance(now)
        controller.apply_plan(make_listing(tail_ms, 1), now)
    return worker.shares


def test_suspension_holds_after_a_late_release(case):
    """An unanswered command may be carried out after newer ones.

    The target is missed, met, and missed again; the release in between is
    carried out after the filling task has been suspended.
    """
    tails = [30] * 3 + [5] * 6 + [30] * 15
    case.assertEqual(simulate_delayed_command(100, tails), {'f.0': 0})


def test_release_holds_after_a_late_throttle(case):
    tails = [30] * 3 + [5] * 20
    case.assertEqual(simulate_delayed_command(3, tails), {'f.0': 100})


def test_commands_are_not_repeated_while_all_are_answered(case):
    controller, worker = make_controller()
    for number in range(40):
        controller.apply_plan(make_listing(30), 0.4 * number)
    count = len(worker.commands)
    for number in range(40, 60):
        controller.apply_plan(make_listing(30), 0.4 * number)
    case.assertEqual(len(worker.commands), count)


def test_owners_unanswered_command_is_sent_again(case):
    """The owner learns of no answer and never repeats the command.

    A release that got lost left a task throttled until it ended.
    """
    controller, worker = make_controller(1)
    worker.answer = result.Err('timed out')
    controller.throttle(messages.ThrottleTask(1, 'b.0', 1, 100))
    worker.answer = result.Ok(None)
    worker.commands.clear()
    listing = make_listing(10, 1)
    batch = workers.Attempt('b.0', 1, data.RunState.RUNNING)
    listing.attempts.append(batch)
    for number in range(3):
        controller.apply_plan(listing, 0.4 * number)
    case.assertEqual(
        [command for command in worker.commands if command[0] == 'b.0'],
        [('b.0', 100)],
    )


def test_throttled_tasks_are_reported_while_the_worker_is_silent(case):
    """An owner takes a task that is not reported for one at full pace."""
    controller, worker = make_controller()
    for number in range(5):
        controller.apply_plan(make_listing(), 0.4 * number)
    worker.answer = result.Err('timed out')
    controller.apply_plan(make_listing(), 2.4)
    paced = {one.task: one.percent for one in controller.pacer.list_paced()}
    case.assertEqual(paced, {'f.0': 0, 'f.1': 0, 'f.2': 0})


def test_commands_that_failed_take_turns(case):
    """One that always fails must not keep another from a second try."""
    controller, worker = make_controller()
    throttle, refused = worker.throttle, ['f.0', 'f.1']

    def fail(task, attempt, percent):
        throttle(task, attempt, percent)
        return result.Err('HTTP 400') if task in refused else result.Ok(None)

    worker.throttle = fail
    for number in range(4):
        controller.apply_plan(make_listing(), 0.4 * number)
    refused.remove('f.1')
    worker.commands.clear()
    for number in range(4, 7):
        controller.apply_plan(make_listing(), 0.4 * number)
    case.assertIn(('f.1', 0), worker.commands)


def test_owners_repeated_command_does_not_override_the_pacer(case):
    """The pacer would count its own share as in force until it changes."""
    controller, worker = make_controller(1)
    for number in range(40):
        controller.apply_plan(make_listing(30, 1), 0.4 * number)
    worker.answer = result.Err('timed out')
    controller.throttle(messages.ThrottleTask(1, 'f.0', 1, 100))
    worker.answer = result.Ok(None)
    controller.apply_plan(make_listing(30, 1), 16.0)
    case.assertEqual(worker.commands[-1], ('f.0', 0))


def test_owners_release_holds_after_a_late_throttle(case):
    """An owner's unanswered command may be carried out after a newer one."""
    worker = DelayingWorker(20, 3.0)
    controller, _ = make_controller(0, worker)
    listing = make_listing(10, 0)
    batch = workers.Attempt('b.0', 1, data.RunState.RUNNING)
    listing.attempts.append(batch)
    for number in range(20):
        now = 0.4 * number
        worker.advance(now)
        if number == 1:
            controller.throttle(messages.ThrottleTask(1, 'b.0', 1, 20))
        if number == 4:
            controller.throttle(messages.ThrottleTask(1, 'b.0', 1, 100))
        controller.apply_plan(listing, now)
    case.assertEqual(worker.shares, {'b.0': 100})
