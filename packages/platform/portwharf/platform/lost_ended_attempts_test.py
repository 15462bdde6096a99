# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A step whose tasks are done is not begun again and again.

What users saw: a job of two steps stood still until the end of the day, with
most of the room free. All tasks of its first step had ended as done, as far
as their workers had been told, and the second step never began.

The order of events: in a wave 28 of 81 workers crashed and began again within
half a second, under their ids, some for the third time. Each had acknowledged
dozens of ends before. The job came at that moment. Thirty tasks of its first
step were told to be gone just as they ended, up to seven times each, and most
of what was begun again went to such workers as well, until their numbers had
passed those of the former life.

The evidence: "attempt is gone, not listed any more" 90 times for the one step,
from 3 to 37 s after the last worker had begun; each as the attempt came to its
end, attempt 4 of the last task at 101.5 s and attempt 5 at 108.8 s. The cause
is that of ``rebirth_test``; what it costs a job is here.
"""

from unittest import mock

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import rebirth_test
from portwharf.testing import agent_bench
from portwharf import workers

TASK = '5c0e7a21d94b36f8.0.0.9'
OTHER = '5c0e7a21d94b36f8.0.0.8'


def open_side(case, ends):
    """Return a side that has acknowledged so many ends, and its runner."""
    one = rebirth_test.Runner(case)
    bench = agent_bench.Bench(one.client)
    bench.grant()
    bench.step(1)
    for number in range(ends):
        task = f'5c0e7a21d94b36f8.0.0.{number}'
        run(bench, one, task, 1)
        ref = messages.TaskRef(task, 1)
        bench.agent.command(bench.conn, messages.ForgetTasks([ref]))
        bench.step(1)
    return bench, one


def run(bench, one, task, attempt):
    """Run an attempt to its end; returns the ends that the owner is told."""
    bench.grant()
    bench.start(task, attempt)
    one.standin.end_run(task)
    bench.conn.take(messages.Reports)
    bench.step(1)
    return [
        report.state
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.task == task and report.state != data.RunState.RUNNING
    ]


def test_task_on_a_reborn_runner_is_done_when_it_is_done(case):
    bench, one = open_side(case, ends=4)
    one.begin_anew()
    one.hear()
    bench.step(1)
    told = run(bench, one, TASK, 1)
    case.assertEqual(told, [data.RunState.SUCCEEDED])


def test_nothing_begins_by_a_list_that_was_looked_past(case):
    """A start without an answer is followed up by a look of its own.

    It may find the next life, while the agent still goes by the list before:
    a start then has a time on the former life's clock.
    """
    bench, one = open_side(case, ends=0)
    stop = one.client.stop

    def stop_and_be_born(*args):
        answer = stop(*args)
        one.begin_anew()
        one.hear()
        return answer

    lost = mock.patch.object(one.client, 'start', lambda _: result.Err('lost'))
    birth = mock.patch.object(one.client, 'stop', stop_and_be_born)
    with lost, birth:
        bench.agent.command(bench.conn, make_start(TASK))
        bench.agent.step()
    bench.agent.command(bench.conn, make_start(OTHER))
    bench.agent.step()
    case.assertEqual(one.standin.running, {})
    case.assertIn(workers.REFUSED_UNHEARD, bench.list_refused())


def make_start(task):
    """Return an owner's order to begin a task."""
    return messages.StartTask(
        3, task, 1, exclusive=True, resources=agent_bench.SIZE
    )
