# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A step whose tasks have succeeded is not started again and again.

Failure: a job of two steps made no progress until the end of the day, although
most of the capacity was free. All tasks of its first step had succeeded on
their workers, and the second step never started.

Sequence: 28 of 81 workers crashed and restarted within half a second with the
same instance ids, some for the third time. Dozens of ended attempts had been
acknowledged to each before. The job was submitted at that moment. Thirty tasks
of its first step were reported as gone just as they ended, up to seven times
each. Most of their next attempts were placed on such workers again, until the
workers' end numbers had exceeded those of the former incarnation.

Evidence: "attempt is gone, not listed any more" was logged 90 times for this
step, from 3 to 37 s after the last worker had restarted, each time as the
attempt ended: attempt 4 of the last task at 101.5 s, attempt 5 at 108.8 s. The
cause is described in ``runner_restart_test``; this module tests the effect on
a job.
"""

from unittest import mock

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import runner_restart_test
from portwharf.testing import agent_harness
from portwharf import workers

TASK = '5c0e7a21d94b36f8.0.0.9'
OTHER = '5c0e7a21d94b36f8.0.0.8'


def open_side(case, ends):
    """Return a side that has acknowledged ended attempts, and its runner."""
    side = runner_restart_test.Runner(case)
    bench = agent_harness.AgentHarness(side.client)
    bench.grant()
    bench.step(1)
    for number in range(ends):
        task = f'5c0e7a21d94b36f8.0.0.{number}'
        run_attempt(bench, side, task, 1)
        ref = messages.TaskRef(task, 1)
        bench.agent.command(bench.conn, messages.ForgetTasks([ref]))
        bench.step(1)
    return bench, side


def run_attempt(bench, side, task, attempt):
    """Run an attempt; returns the final states reported to the owner."""
    bench.grant()
    bench.start(task, attempt)
    side.fake.end_run(task)
    bench.conn.take(messages.Reports)
    bench.step(1)
    return [
        report.state
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.task == task and report.state != data.RunState.RUNNING
    ]


def test_task_that_succeeds_on_a_restarted_runner_is_reported(case):
    bench, side = open_side(case, ends=4)
    side.restart()
    side.deliver_heartbeat()
    bench.step(1)
    reported = run_attempt(bench, side, TASK, 1)
    case.assertEqual(reported, [data.RunState.SUCCEEDED])


def test_no_start_is_based_on_an_outdated_listing(case):
    """The start would have a time on the former incarnation's clock."""
    bench, side = open_side(case, ends=0)
    bench.grant()
    side.restart()
    side.deliver_heartbeat()
    bench.agent.command(bench.conn, make_start(OTHER))
    bench.agent.step()
    case.assertEqual(side.fake.running, {})
    case.assertIn(workers.REFUSED_NO_HEARTBEAT, bench.list_refused())


def test_start_is_based_on_a_listing_read_after_an_unanswered_one(case):
    """The listing that settles the unanswered start is of the next life."""
    bench, side = open_side(case, ends=0)
    stop = side.client.stop

    def stop_and_restart(*args):
        answer = stop(*args)
        side.restart()
        side.deliver_heartbeat()
        return answer

    lost = mock.patch.object(
        side.client, 'start', lambda _: result.Err('lost')
    )
    restart_on_stop = mock.patch.object(side.client, 'stop', stop_and_restart)
    with lost, restart_on_stop:
        bench.agent.command(bench.conn, make_start(TASK))
        bench.agent.step()
    with mock.patch.object(side.client, 'start', wraps=side.client.start) as s:
        bench.agent.command(bench.conn, make_start(OTHER))
        bench.agent.step()
    (start,) = s.call_args.args
    case.assertEqual(start.life.born_ms, side.fake.born_ms)
    case.assertEqual(side.fake.running, {OTHER: 1})


def make_start(task):
    """Return an owner's order to start a task."""
    return messages.StartTask(
        3, task, 1, exclusive=True, resources=agent_harness.SIZE
    )
