# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Unanswered stops of an unresponsive worker do not block the agent.

Each unanswered stop costs a full time-out. A side that sent stops for a dozen
attempts before its next heartbeat lost its grant, and then stopped healthy
tasks.
"""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import agent
from portwharf.side import reports
from portwharf.side import unconfirmed
from portwharf.testing import agent_harness
from portwharf import workers

TASKS = [f'w.{number}' for number in range(8)]


class UnresponsiveWorker:
    """Records stops and answers none of them."""

    def __init__(self):
        self.stopped = []

    def stop(self, task, attempt, checkpoint):
        """Record a stop."""
        self.stopped.append(task)
        return result.Err('timed out')

    def take(self):
        """Return the tasks that were stopped since the last call."""
        stopped, self.stopped = self.stopped, []
        return stopped


def test_unconfirmed_starts_are_stopped_one_at_a_time(case):
    orders, worker = unconfirmed.UnconfirmedCommands(), UnresponsiveWorker()
    for task in TASKS:
        orders.add_start(task, 1, agent_harness.SIZE)
    seen = set()
    for _ in TASKS:
        orders.settle_starts(worker, workers.Listing())
        sent = worker.take()
        case.assertEqual(len(sent), 1)
        seen.update(sent)
    case.assertEqual(seen, set(TASKS))


def test_unanswered_stops_are_resent_one_at_a_time(case):
    orders, worker = unconfirmed.UnconfirmedCommands(), UnresponsiveWorker()
    bench = agent_harness.AgentHarness()
    bench.grant()
    listing = bench.worker.listing
    for task in TASKS:
        start = workers.Start(task, 1, resources=agent_harness.SIZE)
        bench.worker.start(start)
        orders.add_stop(task, 1, True)
    seen = set()
    for number in range(2 * len(TASKS)):
        now = number * unconfirmed.STOP_RETRY_SECONDS
        orders.resend_stops(worker, listing, now)
        sent = worker.take()
        case.assertEqual(len(sent), 1)
        seen.update(sent)
    case.assertEqual(seen, set(TASKS))


def test_stop_without_effect_is_logged(case):
    orders, worker = unconfirmed.UnconfirmedCommands(), UnresponsiveWorker()
    start = workers.Start('w.0', 1, resources=agent_harness.SIZE)
    listing = workers.Listing(attempts=[reports.make_attempt(start)])
    orders.add_stop('w.0', 1, False)
    with case.assertLogs('portwharf.side.unconfirmed') as watched:
        orders.resend_stops(worker, listing, 0.0)
        worker.stop = lambda *order: result.Ok(None)
        orders.resend_stops(worker, listing, unconfirmed.STOP_RETRY_SECONDS)
    logged = [(one.getMessage(), one.task) for one in watched.records]
    case.assertEqual(
        logged,
        [
            ('stop not answered by the worker', 'w.0'),
            ('stop sent again', 'w.0'),
        ],
    )


def list_gone_after(seconds):
    """Return what is told as gone of a start that nobody answers.

    :param seconds: time after the end of its lease, or before it if negative
    """
    bench = agent_harness.AgentHarness()
    no_answer = result.Err('timed out')
    agent_harness.lose_answers(bench, no_answer, no_answer)
    bench.worker.stop = lambda *_: no_answer
    bench.grant()
    bench.start()
    limits = agent_harness.LIMITS
    for _ in range(int(limits.guard + limits.lease) + seconds):
        bench.grant()
        bench.step(1.0)
    return agent_harness.list_gone(bench)


def test_start_is_given_up_once_its_lease_has_expired(case):
    """The worker answers listings, but neither the start nor its stops.

    Nothing else ends the wait: the VM is heard, and its worker is not silent.
    """
    case.assertEqual(list_gone_after(2), [('w.0', 1)])


def test_start_is_not_given_up_before_its_lease_has_expired(case):
    case.assertEqual(list_gone_after(-1), [])


def revoke_start(listing, revoked):
    """Revoke a start with a lease until 1000 ms.

    :param listing: the listing by which the lease may have expired
    :param revoked: the worker's answer to the revocation
    :returns: the attempts that will never run
    """
    orders, worker = unconfirmed.UnconfirmedCommands(), UnresponsiveWorker()
    orders.add_start('w.0', 1, agent_harness.SIZE, 1000)
    worker.revoke_expired_starts = lambda: revoked
    return orders.revoke_expired_starts(worker, listing)


def test_start_within_its_lease_is_not_revoked(case):
    answer = result.Ok(workers.Listing(1000))
    case.assertEqual(revoke_start(workers.Listing(1000), answer), [])
    case.assertEqual(revoke_start(workers.Listing(1001), answer), [('w.0', 1)])


def test_start_that_runs_after_all_is_not_given_up(case):
    """It was carried out just before the revocation."""
    start = workers.Start('w.0', 1, resources=agent_harness.SIZE)
    listed = workers.Listing(1002, attempts=[reports.make_attempt(start)])
    gone = revoke_start(workers.Listing(1001), result.Ok(listed))
    case.assertEqual(gone, [])


def test_unanswered_revocation_gives_no_start_up(case):
    gone = revoke_start(workers.Listing(1001), result.Err('timed out'))
    case.assertEqual(gone, [])


def test_start_sent_to_a_former_incarnation_is_revoked(case):
    """The clock of the next incarnation says nothing about its lease."""
    listing = workers.Listing(0, life=data.IncarnationId('i-2', 1))
    gone = revoke_start(listing, result.Ok(listing))
    case.assertEqual(gone, [('w.0', 1)])


def abandon_start(listing, abandoned):
    """Abandon a start on a worker that is absent.

    :param abandoned: the worker's answer
    :returns: the attempts that will never run
    """
    orders, worker = unconfirmed.UnconfirmedCommands(), UnresponsiveWorker()
    orders.add_start('w.0', 1, agent_harness.SIZE, 1000)
    worker.abandon_starts = lambda: abandoned
    return orders.settle_starts(worker, listing)


def test_start_to_an_absent_worker_is_given_up_only_if_it_is_abandoned(case):
    """A start that is still under way would be carried out by the next one."""
    absent = workers.Listing(absent=True)
    case.assertEqual(abandon_start(absent, result.Err('no token')), [])
    case.assertEqual(abandon_start(absent, result.Ok(None)), [('w.0', 1)])


def send_late_start(bench):
    """Send a start without an answer that is carried out before its stop.

    The stop is answered, but has not taken effect yet.
    """
    lost = result.Err('lost')
    agent_harness.lose_answers(bench, lost, lost)
    start = workers.Start('w.0', 1, resources=agent_harness.SIZE)
    attempt = reports.make_attempt(start)

    def stop(task, number, checkpoint):
        bench.worker.listing.attempts = [attempt]
        return result.Ok(None)

    bench.worker.stop = stop
    bench.grant()
    command = messages.StartTask(3, 'w.0', 1, resources=agent_harness.SIZE)
    bench.agent.command(bench.conn, command)
    bench.agent._execute(bench.agent._pop_command(0.0))


def test_late_start_is_not_gone_when_its_command_is_repeated(case):
    bench = agent_harness.AgentHarness()
    send_late_start(bench)
    bench.step()
    bench.start()
    case.assertEqual(agent_harness.list_gone(bench), [])


def test_late_start_is_not_gone_when_it_is_stopped(case):
    bench = agent_harness.AgentHarness()
    send_late_start(bench)
    bench.step()
    bench.agent.command(bench.conn, messages.StopTask(3, 'w.0', 1))
    bench.step()
    case.assertEqual(agent_harness.list_gone(bench), [])


def test_late_start_is_not_missing_from_a_full_report(case):
    """It was found after the listing that the report began with."""
    bench = agent_harness.AgentHarness()
    send_late_start(bench)
    bench.conn = bench.connect()
    (message,) = bench.conn.take(messages.Reports)
    case.assertTrue(message.whole)
    case.assertEqual([one.task for one in message.reports], ['w.0'])


def test_late_start_counts_as_used_capacity(case):
    bench = agent_harness.AgentHarness()
    send_late_start(bench)
    bench.step()
    bench.start('w.1', resources=data.Resources(4000, 1000))
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])
