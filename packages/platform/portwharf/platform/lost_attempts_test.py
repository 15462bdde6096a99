# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""No attempt that a side has reported as lost runs, or has run to its end.

The owner starts the next attempt at once. These are cases that
``lost_attempts_walk_test`` has found, step by step.
"""

import math
import random
from unittest import mock

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import heartbeats
from portwharf.platform import lost_attempts_walk_test
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.testing import agent_harness
from portwharf.testing import late_runner

TASK = '5c0e7a21d94b36f8.0.0.1'
OTHER = '5c0e7a21d94b36f8.0.0.2'
LIMITS = agent_harness.LIMITS


class Side(agent_harness.AgentHarness):
    """A side whose runner has a manual clock."""

    def __init__(self, case, fake=None, token=7):
        """Start the side.

        :param fake: the ``LateRunner`` of its former process, or None
        :param token: its fencing token
        """
        self.fake = fake or late_runner.LateRunner(
            clock.ManualClock(), random.Random(0)
        )
        case.enterContext(
            mock.patch.object(
                runner_connection.http_client,
                'Connection',
                late_runner.Connection,
            )
        )
        client = runner.RunnerWorker(
            self.fake, lambda: token, lost_attempts_walk_test.MAX_HOLD_MS
        )
        super().__init__(client)
        self.deliver_heartbeat()
        self.grant()
        self.step(1)

    def connect(self):
        now = self.fake.clock.read_monotonic()
        self.clock.advance(now - self.clock.read_monotonic())
        self.fake.clock = self.clock
        return super().connect()

    def deliver_heartbeat(self):
        """Deliver the runner's next heartbeat to the client."""
        body = self.fake.make_heartbeat()
        self.worker.record_heartbeat(heartbeats.parse_life('i-1', body))

    def be_silent(self, seconds):
        """Let the runner answer nothing for a time, under grants."""
        until = self.clock.read_monotonic() + seconds
        self.fake.silent_until = math.inf
        while self.clock.read_monotonic() < until:
            self.grant()
            self.step(0.5)
        self.fake.silent_until = 0.0

    def start_unanswered(self, task):
        """Start an attempt by an order that stays under way; returns it."""
        kept = []
        send = self.fake.send

        def keep(path, body, target, born_ms):
            if not path.endswith('/run-start'):
                return send(path, body, target, born_ms)
            kept.append(body)
            return late_runner.make_lost_reply()

        with mock.patch.object(self.fake, 'send', keep):
            self.agent.command(self.conn, self.make_start(task))
            self.agent._execute(self.agent._pop_command(0.0))
        return kept[0]

    def make_start(self, task, attempt=1):
        """Return an owner's command to start an attempt."""
        return messages.StartTask(
            3, task, attempt, exclusive=True, resources=agent_harness.SIZE
        )


def test_start_that_arrives_after_all_leases_is_not_carried_out(case):
    side = Side(case)
    body = side.start_unanswered(TASK)
    side.be_silent(LIMITS.replace_after_grant + 2)
    case.assertEqual(agent_harness.list_gone(side), [(TASK, 1)])
    side.step(1)
    side.grant()
    side.start(OTHER)
    side.fake.carry_out('run-start', body)
    case.assertEqual(side.fake.running, {OTHER: 1})


def open_side_with_full_page(case):
    """Return a side whose runner lists a full page of ended attempts."""
    side = Side(case)
    for number in range(late_runner.PAGE_ROWS):
        task = f'other.{number}'
        side.fake.running[task] = 1
        side.fake.end_run(task)
    return side


def acknowledge_page(side):
    """Let the owner forget the listed page of ended attempts."""
    refs = [messages.TaskRef(row[1], row[2]) for row in side.fake.ended]
    page = messages.ForgetTasks(refs[: late_runner.PAGE_ROWS])
    side.agent.command(side.conn, page)
    side.step()
    side.step(0.5)


def list_states(side, task):
    """Take all reports sent so far; returns the states of a task."""
    return [
        report.state
        for message in side.conn.take(messages.Reports)
        for report in message.reports
        if report.task == task
    ]


def test_success_behind_a_full_page_of_ended_attempts_is_not_gone(case):
    side = open_side_with_full_page(case)
    side.start(TASK)
    side.conn.take(messages.Reports)
    side.fake.end_run(TASK)
    side.step(0.5)
    case.assertEqual(list_states(side, TASK), [])
    acknowledge_page(side)
    case.assertEqual(list_states(side, TASK), [data.RunState.SUCCEEDED])


def test_late_success_behind_a_full_page_of_ended_attempts_is_not_gone(case):
    """Its start had no answer, and its stop found that it had ended."""
    side = open_side_with_full_page(case)
    body = side.start_unanswered(TASK)
    side.fake.carry_out('run-start', body)
    side.fake.end_run(TASK)
    side.step(0.5)
    case.assertEqual(list_states(side, TASK), [])
    acknowledge_page(side)
    case.assertEqual(list_states(side, TASK), [data.RunState.SUCCEEDED])


def open_restarted_side(case):
    """Return a restarted side; the page before its restart hides a success."""
    former = open_side_with_full_page(case)
    former.start(TASK)
    former.fake.end_run(TASK)
    return Side(case, former.fake, token=8)


def test_restarted_side_sends_no_full_report_of_a_full_page(case):
    side = open_restarted_side(case)
    sent = side.conn.take(messages.Reports)
    case.assertEqual({message.whole for message in sent}, {False})
    acknowledge_page(side)
    (message,) = side.conn.take(messages.Reports)
    case.assertTrue(message.whole)
    case.assertEqual([one.task for one in message.reports], [TASK])


def test_success_behind_a_full_page_is_not_gone_at_the_first_heartbeat(case):
    former = open_side_with_full_page(case)
    former.start(TASK)
    with mock.patch.object(Side, 'deliver_heartbeat', autospec=True):
        side = Side(case, former.fake, token=8)
    side.conn.take(messages.Reports)
    side.fake.end_run(TASK)
    side.deliver_heartbeat()
    side.step(0.5)
    case.assertEqual(list_states(side, TASK), [])
    acknowledge_page(side)
    case.assertEqual(list_states(side, TASK), [data.RunState.SUCCEEDED])


def test_repeated_start_of_a_success_behind_a_full_page_is_not_refused(case):
    side = open_restarted_side(case)
    side.grant()
    side.start(TASK)
    case.assertEqual(list_states(side, TASK), [])


def test_stop_of_a_success_behind_a_full_page_is_not_answered_by_gone(case):
    side = open_restarted_side(case)
    side.agent.command(side.conn, messages.StopTask(3, TASK, 1))
    side.step()
    case.assertEqual(list_states(side, TASK), [])


def test_success_that_was_gone_before_it_was_listed_is_reported(case):
    """The owner takes it, unless the next attempt has begun."""
    side = Side(case)
    side.start(TASK)
    side.fake.end_run(TASK)
    side.be_silent(LIMITS.replace_after_grant + 2)
    case.assertEqual(list_states(side, TASK)[-1], data.RunState.GONE)
    gone = messages.ForgetTasks([messages.TaskRef(TASK, 1)])
    side.agent.command(side.conn, gone)
    side.step()
    side.step(1)
    case.assertEqual(list_states(side, TASK), [data.RunState.SUCCEEDED])
    case.assertEqual(len(side.fake.ended), 1)
    side.agent.command(side.conn, gone)
    side.step()
    side.step(1)
    case.assertEqual(side.fake.ended, [])
