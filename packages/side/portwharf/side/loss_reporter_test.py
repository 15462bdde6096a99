# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An agent whose worker does not respond, leaves or restarts."""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import agent
from portwharf.testing import agent_harness
from portwharf import workers


def test_start_without_an_answer_is_sent_again(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    agent_harness.lose_answers(bench, result.Err('timed out'))
    bench.start()
    case.assertEqual(bench.worker.listing.attempts[0].task, 'w.0')
    case.assertEqual(agent_harness.list_gone(bench), [])


def test_start_that_is_never_answered_is_stopped_before_it_is_gone(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    agent_harness.lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.start()
    bench.step(0.5)
    stops = [call for call in bench.worker.calls if call[0] == 'stop']
    case.assertEqual(stops, [('stop', 'w.0', 1)])
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])


def test_start_is_not_gone_while_its_stop_is_unanswered(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    agent_harness.lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.worker.stop = lambda *_: result.Err('lost')
    bench.start()
    bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [])
    case.assertEqual(bench.list_refused(), [])


def test_refusal_after_a_lost_answer_is_ignored(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    refused = result.Ok(workers.REFUSED_CAPACITY)
    agent_harness.lose_answers(bench, result.Err('lost'), refused)
    bench.start()
    case.assertEqual(bench.list_refused(), [])


def test_attempt_of_an_earlier_incarnation_is_gone(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    bench.worker.listing.attempts.clear()
    bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])
    bench.start()
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])
    starts = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(len(starts), 1)


def test_attempt_that_is_gone_is_not_started_beside_an_older_one(case):
    """The older one has ended and is listed until the owner has logged it."""
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.worker.listing.attempts[0].state = data.RunState.FAILED
    agent_harness.lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.start(attempt=2)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 2)])
    bench.start(attempt=2)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 2)])
    starts = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(starts, [('start', 'w.0', 1), *[('start', 'w.0', 2)] * 2])


def test_attempt_that_a_former_process_started_is_not_started_again(case):
    """Its end is reported while the owner repeats its start."""
    bench = agent_harness.AgentHarness()
    bench.grant()
    ended = workers.Attempt('w.0', 1, data.RunState.GONE, reason='lapsed')
    bench.worker.listing.attempts = [ended]
    bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])
    bench.worker.listing.attempts = []
    bench.step(0.5)
    bench.start()
    case.assertEqual(bench.worker.calls, [])
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])


def test_silent_worker_has_no_capacity(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(4):
        bench.step(0.5)
    heartbeat = bench.conn.take(messages.Heartbeat)[-1]
    case.assertEqual(heartbeat.capacity, data.Resources())


def test_attempts_of_a_silent_worker_are_gone_once_all_leases_lapsed(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.step(0.5)
    bench.conn.take(messages.Reports)
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(16):
        bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [])
    for _ in range(8):
        bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])


def test_absent_worker_runs_nothing(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    absent = workers.Listing(absent=True)
    bench.worker.read_listing = lambda: result.Ok(absent)
    bench.step(0.5)
    case.assertEqual(agent_harness.list_gone(bench), [('w.0', 1)])


def test_leaving_worker_takes_no_starts(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    listing = workers.Listing(1, data.Resources(4000, 4000), draining=True)
    bench.worker.read_listing = lambda: result.Ok(listing)
    bench.step(1.5)
    bench.grant()
    bench.conn.take(messages.Reports)
    bench.start()
    case.assertEqual(bench.list_refused(), [agent.REFUSED_LEAVING])
    heartbeat = bench.conn.take(messages.Heartbeat)[-1]
    case.assertTrue(heartbeat.draining)


def test_stop_is_resent_until_it_takes_effect(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    stop = messages.StopTask(3, 'w.0', 1, True)
    bench.agent.command(bench.conn, stop)
    for _ in range(4):
        bench.step(0.5)
    stops = [call for call in bench.worker.calls if call[0] == 'stop']
    case.assertGreater(len(stops), 1)


def test_start_queued_under_an_expired_grant_is_not_started(case):
    """A grant that overtakes a queued command does not cover it.

    Commands wait for the agent's thread. While the thread waits for the
    worker, the VM is silent to the owner, although its connection stays open.
    The owner starts the task elsewhere, and answers the next heartbeat with a
    grant, which must not cover the older command.
    """
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start('w.8')
    bench.start('w.9')
    bench.worker.calls = []
    answer = bench.worker.stop
    waits = [agent_harness.LIMITS.replace_after_grant + 1.0]

    def stop(task, attempt, checkpoint):
        if waits:
            bench.clock.advance(waits.pop())
        return answer(task, attempt, checkpoint)

    bench.worker.stop = stop
    for task in ('w.8', 'w.9'):
        bench.agent.command(bench.conn, messages.StopTask(3, task, 1, False))
    late = messages.StartTask(
        3, 'w.5', 1, resources=agent_harness.SIZE, exclusive=True
    )
    bench.agent.command(bench.conn, late)
    bench.conn.take(messages.Heartbeat)
    bench.agent.step()
    case.assertEqual(len(bench.conn.take(messages.Heartbeat)), 1)
    # The grant arrives before the agent reaches the queued command.
    bench.grant()
    bench.step()
    started = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(started, [])


def test_unanswered_stops_without_a_grant_cost_one_call_per_poll(case):
    """Each costs a full time-out, which delays the next heartbeat.

    A delayed heartbeat delays the grant that it would bring.
    """
    bench = agent_harness.AgentHarness()
    bench.grant()
    for number in range(4):
        bench.start(f'w.{number}')
    calls = []

    def stop(task, attempt, checkpoint):
        calls.append(task)
        return result.Err('lost')

    bench.worker.stop = stop
    bench.clock.advance(agent_harness.LIMITS.guard + 1.0)
    bench.agent.step()
    case.assertEqual(len(calls), 1)


def test_unconfirmed_start_counts_as_used_capacity(case):
    """The attempt may run, so its resources count as used."""
    bench = agent_harness.AgentHarness()
    bench.grant()
    lost = bench.worker.start
    bench.worker.listing.capacity = agent_harness.SIZE
    bench.worker.stop = lambda *order: result.Err('silent')
    bench.worker.start = lambda start: result.Err('silent')
    bench.step(1)
    bench.grant()
    bench.start('w.0')
    bench.worker.start = lost
    bench.start('w.1')
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])


def test_changed_capacity_is_reported_at_once(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.step(1)
    bench.conn.take(messages.Heartbeat)
    bench.worker.listing.capacity = agent_harness.SIZE
    bench.step(0.5)
    heartbeats = bench.conn.take(messages.Heartbeat)
    case.assertEqual(
        [heartbeat.capacity for heartbeat in heartbeats], [agent_harness.SIZE]
    )


def test_listed_attempt_that_was_reported_gone_is_logged_once(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    listed = list(bench.worker.listing.attempts)
    bench.worker.listing.attempts.clear()
    bench.step(0.5)
    bench.worker.listing.attempts = listed
    with case.assertLogs('portwharf.side.loss_reporter') as watched:
        bench.step(0.5)
        bench.step(0.5)
    logged = [(one.message, one.task, one.reason) for one in watched.records]
    text = 'attempt that was gone is listed'
    case.assertEqual(logged, [(text, 'w.0', 'not-listed-any-more')])
