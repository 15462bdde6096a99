# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A side reports correctly while its worker does not respond.

Failure: the lease of a standing task expired on a VM whose side had just
restarted, and the task was not started again although there was capacity
elsewhere. The side sent heartbeats and got grants, but could not read its
worker's listing, so it never reported what runs there; and because it was
heard, the owner did not give the task up either. The log of such a side ended
with ``worker does not answer`` and ``following owner`` (the former is now
``worker not responding``). The tests below reproduce it with a worker that
stays silent.
"""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.testing import agent_harness
from portwharf import workers

LIMITS = agent_harness.LIMITS
# By then every lease granted by the side's previous process has expired.
LEASES_EXPIRED_SECONDS = LIMITS.replace_after_grant + 1.0


def silence_worker(bench):
    """Have the worker stop responding."""
    lost = result.Err('silent')
    bench.worker.read_listing = lambda: lost
    bench.worker.renew = lambda until_ms: lost
    bench.worker.stop = lambda task, attempt, checkpoint: lost


def wait(bench, seconds):
    """Let time pass in small steps."""
    for _ in range(int(seconds / 0.5)):
        bench.step(0.5)


class RestartedBench(agent_harness.AgentHarness):
    """A side that has just started beside a silent worker."""

    def connect(self):
        if 'read_listing' not in vars(self.worker):
            silence_worker(self)
        return super().connect()


def take_full_reports(conn):
    """Return the full reports that were sent since the last call."""
    return [m for m in conn.take(messages.Reports) if m.whole]


def test_restarted_side_reports_no_attempts_once_leases_expire(case):
    bench = RestartedBench()
    wait(bench, LIMITS.replace_after_grant - 0.5)
    case.assertEqual(take_full_reports(bench.conn), [])
    wait(bench, 1.5)
    (message,) = take_full_reports(bench.conn)
    case.assertEqual(message.reports, [])


def test_start_after_all_leases_expired_is_refused(case):
    bench = RestartedBench()
    wait(bench, LEASES_EXPIRED_SECONDS)
    bench.grant()
    bench.start()
    case.assertEqual(len(bench.list_refused()), 1)
    bench.start('w.1', resources=data.Resources())
    case.assertEqual(len(bench.list_refused()), 1)
    case.assertEqual(bench.worker.calls, [])


def test_next_owner_gets_the_report_again(case):
    """The report that an attempt is gone may be lost with a connection."""
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.step(0.5)
    silence_worker(bench)
    wait(bench, LEASES_EXPIRED_SECONDS + 1.0)
    bench.conn = bench.connect()
    (message,) = take_full_reports(bench.conn)
    case.assertEqual(message.reports, [])


def test_stop_before_the_first_listing_does_not_report_a_task_as_gone(case):
    """A previous side process may have started it, and it may still run.

    The owner would start it a second time at once.
    """
    bench = RestartedBench()
    bench.conn.take(messages.Reports)
    stop = messages.StopTask(3, 'w.0', 1, True)
    bench.agent.command(bench.conn, stop)
    bench.step()
    case.assertEqual(agent_harness.list_gone(bench), [])


def test_start_before_the_first_listing_is_not_refused(case):
    """It may be the duplicate of a command that was carried out before."""
    bench = RestartedBench()
    bench.grant()
    bench.start()
    case.assertEqual(bench.list_refused(), [])
    case.assertEqual(bench.worker.calls, [])


def test_unanswered_start_is_gone_with_its_lease(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    lost = result.Err('lost')
    agent_harness.lose_answers(bench, lost, lost)
    silence_worker(bench)
    bench.start()
    wait(bench, LIMITS.guard + LIMITS.lease - 1.0)
    case.assertEqual(agent_harness.list_gone(bench), [])
    wait(bench, 2.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])


def test_start_that_was_never_answered_is_gone_with_its_worker(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    lost = result.Err('lost')
    agent_harness.lose_answers(bench, lost, lost)
    silence_worker(bench)
    absent = workers.Listing(absent=True)
    bench.worker.read_listing = lambda: result.Ok(absent)
    bench.start()
    bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])
