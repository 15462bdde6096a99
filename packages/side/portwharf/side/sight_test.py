# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A side that cannot look at its worker says so, and says nothing untrue.

What users saw: a lasting task's lease lapsed on a VM whose side had just
started again, and nothing ran it any more, with room elsewhere. Its side
sent heartbeats and got grants, but could not look at its worker, so that it
never told the owner what runs there; and as it was heard the owner did not
give the task up either. The log of such a side shows ``worker does not
answer`` and ``following owner`` and nothing after them; the tests below
bring it about with a worker that stays silent.
"""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.testing import agent_bench
from portwharf import workers

LIMITS = agent_bench.LIMITS
# Every lease that a former life of the side gave has run out after it.
LAPSED = LIMITS.replace_after_grant + 1.0


def silence(bench):
    """Have a worker leave everything unanswered."""
    lost = result.Err('silent')
    bench.worker.read_listing = lambda: lost
    bench.worker.renew = lambda until_ms: lost
    bench.worker.stop = lambda task, attempt, checkpoint: lost


def wait(bench, seconds):
    """Let time go by in small steps."""
    for _ in range(int(seconds / 0.5)):
        bench.step(0.5)


class Restarted(agent_bench.Bench):
    """A side that has just started beside a silent worker."""

    def connect(self):
        if 'read_listing' not in vars(self.worker):
            silence(self)
        return super().connect()


def take_whole(conn):
    """Return the whole reports that were sent since last time."""
    return [m for m in conn.take(messages.Reports) if m.whole]


def test_restarted_side_says_that_it_knows_of_nothing(case):
    bench = Restarted()
    wait(bench, LIMITS.replace_after_grant - 0.5)
    case.assertEqual(take_whole(bench.conn), [])
    wait(bench, 1.5)
    (message,) = take_whole(bench.conn)
    case.assertEqual(message.reports, [])


def test_what_is_then_told_to_begin_is_refused(case):
    bench = Restarted()
    wait(bench, LAPSED)
    bench.grant()
    bench.start()
    case.assertEqual(len(bench.list_refused()), 1)
    bench.start('w.1', resources=data.Resources())
    case.assertEqual(len(bench.list_refused()), 1)
    case.assertEqual(bench.worker.calls, [])


def test_next_owner_hears_what_the_former_one_was_told(case):
    """The news that an attempt is gone may be lost with a connection."""
    bench = agent_bench.Bench()
    bench.grant()
    bench.start()
    bench.step(0.5)
    silence(bench)
    wait(bench, LAPSED + 1.0)
    bench.conn = bench.connect()
    (message,) = take_whole(bench.conn)
    case.assertEqual(message.reports, [])


def test_stop_before_the_first_look_does_not_make_a_task_gone(case):
    """The former life of the side may have begun it, and it may run.

    The owner would run it a second time at once.
    """
    bench = Restarted()
    bench.conn.take(messages.Reports)
    stop = messages.StopTask(3, 'w.0', 1, True)
    bench.agent.command(bench.conn, stop)
    bench.step()
    case.assertEqual(agent_bench.list_gone(bench), [])


def test_start_before_the_first_look_is_not_refused(case):
    """It may be the second copy of one that was obeyed before."""
    bench = Restarted()
    bench.grant()
    bench.start()
    case.assertEqual(bench.list_refused(), [])
    case.assertEqual(bench.worker.calls, [])


def test_start_that_was_never_answered_is_gone_with_its_lease(case):
    bench = agent_bench.Bench()
    bench.grant()
    lost = result.Err('lost')
    agent_bench.lose_answers(bench, lost, lost)
    silence(bench)
    bench.start()
    wait(bench, LIMITS.guard + LIMITS.lease - 1.0)
    case.assertEqual(agent_bench.list_gone(bench), [])
    wait(bench, 2.5)
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])


def test_start_that_was_never_answered_is_gone_with_its_worker(case):
    bench = agent_bench.Bench()
    bench.grant()
    lost = result.Err('lost')
    agent_bench.lose_answers(bench, lost, lost)
    silence(bench)
    absent = workers.Listing(absent=True)
    bench.worker.read_listing = lambda: result.Ok(absent)
    bench.start()
    bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])
