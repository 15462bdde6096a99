# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A side beside a worker that does not answer, leaves, or begins anew."""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import agent
from portwharf.testing import agent_bench
from portwharf import workers


def test_start_without_an_answer_is_sent_again(case):
    bench = agent_bench.Bench()
    bench.grant()
    agent_bench.lose_answers(bench, result.Err('timed out'))
    bench.start()
    case.assertEqual(bench.worker.listing.attempts[0].task, 'w.0')
    case.assertEqual(agent_bench.list_gone(bench), [])


def test_start_that_is_never_answered_is_stopped_before_it_is_gone(case):
    bench = agent_bench.Bench()
    bench.grant()
    agent_bench.lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.start()
    bench.step(0.5)
    stops = [call for call in bench.worker.calls if call[0] == 'stop']
    case.assertEqual(stops, [('stop', 'w.0', 1)])
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])


def test_start_is_not_called_gone_while_its_stop_is_unanswered(case):
    bench = agent_bench.Bench()
    bench.grant()
    agent_bench.lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.worker.stop = lambda *_: result.Err('lost')
    bench.start()
    bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [])
    case.assertEqual(bench.list_refused(), [])


def test_refusal_after_a_lost_answer_is_not_believed(case):
    bench = agent_bench.Bench()
    bench.grant()
    refused = result.Ok(workers.REFUSED_ROOM)
    agent_bench.lose_answers(bench, result.Err('lost'), refused)
    bench.start()
    case.assertEqual(bench.list_refused(), [])


def test_attempt_of_a_former_life_of_the_worker_is_gone(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    bench.worker.listing.attempts.clear()
    bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])
    bench.start()
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])
    starts = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(len(starts), 1)


def test_silent_worker_offers_nothing(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(4):
        bench.step(0.5)
    beat = bench.conn.take(messages.Heartbeat)[-1]
    case.assertEqual(beat.capacity, data.Resources())


def test_attempts_of_a_silent_worker_are_gone_once_all_leases_lapsed(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.start()
    bench.step(0.5)
    bench.conn.take(messages.Reports)
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(16):
        bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [])
    for _ in range(8):
        bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])


def test_absent_worker_runs_nothing(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    absent = workers.Listing(absent=True)
    bench.worker.read_listing = lambda: result.Ok(absent)
    bench.step(0.5)
    case.assertEqual(agent_bench.list_gone(bench), [('w.0', 1)])


def test_leaving_worker_takes_no_starts(case):
    bench = agent_bench.Bench()
    bench.grant()
    listing = workers.Listing(1, data.Resources(4000, 4000), draining=True)
    bench.worker.read_listing = lambda: result.Ok(listing)
    bench.step(1.5)
    bench.grant()
    bench.conn.take(messages.Reports)
    bench.start()
    case.assertEqual(bench.list_refused(), [agent.REFUSED_LEAVING])
    beat = bench.conn.take(messages.Heartbeat)[-1]
    case.assertTrue(beat.draining)


def test_stop_is_sent_until_it_shows(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.start()
    stop = messages.StopTask(3, 'w.0', 1, True)
    bench.agent.command(bench.conn, stop)
    for _ in range(4):
        bench.step(0.5)
    stops = [call for call in bench.worker.calls if call[0] == 'stop']
    case.assertGreater(len(stops), 1)


def test_start_that_waited_past_its_grant_does_not_begin_under_the_next(case):
    """Grants overtake commands, which wait for the agent's thread.

    While that waits for its worker the VM is silent, although signs of life
    keep the connection open. The owner runs the task again elsewhere, and
    answers the next heartbeat with a grant: it must not have the command
    from before obeyed.
    """
    bench = agent_bench.Bench()
    bench.grant()
    bench.start('w.8')
    bench.start('w.9')
    bench.worker.calls = []
    answer = bench.worker.stop
    waits = [agent_bench.LIMITS.replace_after_grant + 1.0]

    def stop(task, attempt, checkpoint):
        if waits:
            bench.clock.advance(waits.pop())
        return answer(task, attempt, checkpoint)

    bench.worker.stop = stop
    for task in ('w.8', 'w.9'):
        bench.agent.command(bench.conn, messages.StopTask(3, task, 1, False))
    late = messages.StartTask(
        3, 'w.5', 1, resources=agent_bench.SIZE, exclusive=True
    )
    bench.agent.command(bench.conn, late)
    bench.conn.take(messages.Heartbeat)
    bench.agent.step()
    case.assertEqual(len(bench.conn.take(messages.Heartbeat)), 1)
    # Its answer comes while the agent is at the command after.
    bench.grant()
    bench.step()
    begun = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(begun, [])


def test_unanswered_stops_for_want_of_a_grant_cost_one_call_a_look(case):
    """Each costs the time that an answer is waited for.

    The heartbeat that would bring the next grant waits as long.
    """
    bench = agent_bench.Bench()
    bench.grant()
    for number in range(4):
        bench.start(f'w.{number}')
    calls = []

    def stop(task, attempt, checkpoint):
        calls.append(task)
        return result.Err('lost')

    bench.worker.stop = stop
    bench.clock.advance(agent_bench.LIMITS.guard + 1.0)
    bench.agent.step()
    case.assertEqual(len(calls), 1)


def test_start_without_an_answer_takes_its_room(case):
    """It may run, or later: what comes next must not go over the room."""
    bench = agent_bench.Bench()
    bench.grant()
    lost = bench.worker.start
    bench.worker.listing.capacity = agent_bench.SIZE
    bench.worker.stop = lambda *order: result.Err('silent')
    bench.worker.start = lambda start: result.Err('silent')
    bench.step(1)
    bench.grant()
    bench.start('w.0')
    bench.worker.start = lost
    bench.start('w.1')
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])


def test_changed_room_is_told_at_once(case):
    bench = agent_bench.Bench()
    bench.grant()
    bench.step(1)
    bench.conn.take(messages.Heartbeat)
    bench.worker.listing.capacity = agent_bench.SIZE
    bench.step(0.5)
    beats = bench.conn.take(messages.Heartbeat)
    case.assertEqual([beat.capacity for beat in beats], [agent_bench.SIZE])
