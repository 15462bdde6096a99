# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which starts, lease renewals and stops an agent carries out."""

import threading

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams_test
from portwharf.scheduler import guard
from portwharf.side import agent
from portwharf.side import reports
from portwharf.testing import agent_harness


def test_granted_start_runs_and_is_reported(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.conn.take(messages.Reports)
    bench.start()
    case.assertEqual(bench.worker.calls, [('start', 'w.0', 1)])
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(message.reports[0].state, agent_harness.RUNNING)


def test_exclusive_start_needs_a_grant(case):
    bench = agent_harness.AgentHarness()
    bench.start()
    case.assertEqual(bench.worker.calls, [])
    case.assertEqual(bench.list_refused(), [agent.REFUSED_GRANT])
    bench.start('s.0', exclusive=False)
    case.assertEqual(bench.worker.calls, [('start', 's.0', 1)])


def test_start_on_a_worker_of_another_kind_is_refused(case):
    """A worker had begun again without the label that a lost task requires."""
    bench = agent_harness.AgentHarness()
    bench.worker.listing.pool = 'desk'
    bench.worker.listing.labels = ['a', 'rack-1']
    bench.grant()
    bench.step(1.0)
    bench.start('w.0', label='b', pool='desk')
    bench.start('w.1', label='a', pool='other')
    case.assertEqual(bench.list_refused(), [agent.REFUSED_KIND] * 2)
    case.assertEqual(bench.worker.calls, [])
    bench.start('w.2', label='a', pool='desk')
    case.assertEqual(bench.worker.calls, [('start', 'w.2', 1)])


def test_new_kind_of_a_worker_is_reported_before_its_lost_attempts(case):
    """Else the owner chooses the worker again for what it cannot run."""
    bench = agent_harness.AgentHarness()
    bench.worker.listing.labels = ['b']
    bench.grant()
    bench.start()
    bench.conn.sent.clear()
    bench.worker.listing.labels = ['a']
    bench.worker.listing.attempts = []
    bench.step(agent._POLL_SECONDS)
    kinds = [
        type(message)
        for message in bench.conn.sent
        if isinstance(message, messages.Reports)
        or getattr(message, 'labels', None) == ['a']
    ]
    case.assertEqual(kinds[:2], [messages.Heartbeat, messages.Reports])


def test_command_of_a_former_owner_is_refused(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start(epoch=2)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_EPOCH])
    case.assertEqual(bench.worker.calls, [])


def test_running_attempt_is_not_refused_to_a_former_owner(case):
    """The report may reach the next owner, which would start the next one."""
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.start(epoch=2)
    case.assertEqual(bench.list_refused(), [])


def test_command_of_an_ended_connection_is_dropped(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    former = bench.conn
    bench.conn = bench.connect()
    bench.start(conn=former)
    case.assertEqual(bench.worker.calls, [])


def test_vm_is_never_given_more_than_it_holds(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    for number in range(5):
        bench.start(f'w.{number}')
    case.assertEqual(len(bench.worker.calls), 4)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])


def test_older_attempt_is_refused(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start(attempt=2)
    bench.start(attempt=1)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_ATTEMPT])


def test_next_attempt_is_refused_while_one_runs(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start(attempt=1)
    bench.start(attempt=2)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_ATTEMPT])


def test_start_twice_runs_once(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.start()
    case.assertEqual(bench.worker.calls, [('start', 'w.0', 1)])
    case.assertEqual(bench.list_refused(), [])


def test_leases_end_after_the_grant(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    until = (
        bench.clock.read_monotonic()
        + agent_harness.LIMITS.guard
        + agent_harness.LIMITS.lease
    )
    bench.start()
    bench.step(1.0)
    case.assertLessEqual(bench.worker.renewed, until * 1000)
    case.assertGreater(bench.worker.renewed, until * 1000 - 10)


def test_exclusive_tasks_are_stopped_without_a_grant(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.start('s.0', exclusive=False)
    renewed = bench.worker.renewed
    bench.step(agent_harness.LIMITS.guard)
    bench.step(1.0)
    case.assertEqual(bench.worker.calls[2:], [('stop', 'w.0', 1)])
    case.assertEqual(bench.worker.renewed, renewed)


def test_new_owner_gets_a_full_report(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.conn = bench.connect()
    (message,) = bench.conn.take(messages.Reports)
    case.assertTrue(message.whole)
    case.assertEqual(message.reports[0].task, 'w.0')


def test_restarted_side_finds_what_its_worker_runs(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    again = agent_harness.AgentHarness()
    again.worker.listing = bench.worker.listing
    again.conn = again.connect()
    (message,) = again.conn.take(messages.Reports)[-1:]
    case.assertEqual(message.reports[0].task, 'w.0')
    again.grant()
    again.start(attempt=2)
    case.assertEqual(again.list_refused(), [agent.REFUSED_ATTEMPT])


def test_restarted_side_reports_nothing_before_it_knows_the_epoch(case):
    bench = agent_harness.AgentHarness()
    fresh = guard.GrantGuard(bench.clock, agent_harness.LIMITS)
    bench.agent._guard = fresh
    conn = agent_harness.FakeConn()
    fresh.accept_owner(3, 'vm-9')
    bench.agent.take_owner(conn)
    bench.step(1.0)
    case.assertEqual(conn.take(messages.Reports), [])
    heartbeats = conn.take(messages.Heartbeat)
    case.assertEqual({heartbeat.epoch for heartbeat in heartbeats}, {0})
    fresh.learn_epoch(3)
    bench.step(1.0)
    case.assertTrue(conn.take(messages.Reports)[0].whole)
    case.assertEqual(conn.take(messages.Heartbeat)[-1].epoch, 3)


def test_result_too_large_for_the_log_is_a_failure(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    attempt = bench.worker.listing.attempts[0]
    attempt.state = data.RunState.SUCCEEDED
    attempt.result = bytes(reports.MAX_RESULT_BYTES + 1)
    bench.step(1.0)
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(message.reports[0].state, data.RunState.FAILED)
    case.assertEqual(message.reports[0].reason, reports.REASON_RESULT)


def test_forgotten_attempt_is_removed_from_the_worker(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    forget = messages.ForgetTasks([messages.TaskRef('w.0', 1)])
    bench.agent.command(bench.conn, forget)
    bench.step()
    case.assertEqual(bench.worker.calls[-1], ('forget', 'w.0', 1))


def test_stop_of_an_unknown_attempt_is_answered(case):
    bench = agent_harness.AgentHarness()
    bench.conn.take(messages.Reports)
    bench.agent.command(bench.conn, messages.StopTask(3, 'w.7', 1))
    bench.step()
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(message.reports[0].state, data.RunState.GONE)


def test_running_services_are_announced(case):
    bench = agent_harness.AgentHarness()
    bench.start(
        's.0', exclusive=False, kind=data.Kind.SERVICE, workload='lens/fit'
    )
    case.assertEqual(bench.services, [frozenset({'lens/fit'})])


def test_heartbeat_returns_the_owners_time(case):
    bench = agent_harness.AgentHarness()
    bench.conn.take(messages.Heartbeat)
    bench.agent.take_grant(messages.Grant(1, 777, 3, True))
    bench.step()
    (heartbeat,) = bench.conn.take(messages.Heartbeat)
    case.assertEqual((heartbeat.owner_ms, heartbeat.epoch), (777, 3))
    case.assertEqual(heartbeat.capacity, data.Resources(4000, 4000))


def test_invalid_grant_is_retried_with_backoff(case):
    bench = agent_harness.AgentHarness()
    bench.agent.take_grant(messages.Grant(1, 777, 3, False))
    bench.step()
    bench.conn.take(messages.Heartbeat)
    counts = []
    for _ in range(20):
        bench.agent.take_grant(messages.Grant(1, 778, 3, False))
        bench.step(0.05)
        counts.append(len(bench.conn.take(messages.Heartbeat)))
    # The delay doubles up to the poll interval: 0.04, 0.08, 0.16, 0.32, 0.4 s.
    case.assertEqual(sum(counts), 4)
    case.assertEqual(counts[0], 1)


def test_valid_grant_causes_no_early_heartbeat(case):
    bench = agent_harness.AgentHarness()
    bench.agent.take_grant(messages.Grant(1, 777, 3, True))
    bench.step()
    bench.conn.take(messages.Heartbeat)
    for _ in range(9):
        bench.agent.take_grant(messages.Grant(1, 778, 3, True))
        bench.step(0.1)
    case.assertEqual(bench.conn.take(messages.Heartbeat), [])


def test_owner_that_does_not_read_does_not_hold_up_the_agent(case):
    bench = agent_harness.AgentHarness()
    conn, _ = streams_test.make_slow_pair(case)
    bench.agent.take_owner(conn)

    done = threading.Event()

    def send_heartbeats():
        for _ in range(400):
            bench.step(1.0)
        done.set()

    threading.Thread(target=send_heartbeats, daemon=True).start()
    case.assertTrue(done.wait(8))


def test_stop_does_not_wait_for_starts_without_an_answer(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    bench.start()
    del bench.worker.calls[:]
    agent_harness.lose_answers(bench, *[result.Err('no answer')] * 8)
    for number in range(1, 4):
        start = messages.StartTask(3, f'w.{number}', 1)
        bench.agent.command(bench.conn, start)
    bench.agent.command(bench.conn, messages.StopTask(3, 'w.0', 1))
    bench.agent.step()
    case.assertEqual(bench.worker.calls, [('stop', 'w.0', 1)])


def test_waiting_stops_are_sent_before_the_worker_is_polled_again(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    tasks = [f'w.{number}' for number in range(4)]
    for task in tasks:
        bench.start(task)
    read_listing = bench.worker.read_listing

    def record_poll():
        bench.worker.calls.append(('poll',))
        return read_listing()

    bench.worker.read_listing = record_poll
    del bench.worker.calls[:]
    for task in tasks:
        bench.agent.command(bench.conn, messages.StopTask(3, task, 1))
    for _ in tasks:
        bench.agent.step()
    stops = [('stop', task, 1) for task in tasks]
    case.assertEqual(bench.worker.calls, [*stops, ('poll',)])


def test_start_that_its_stop_has_overtaken_is_refused(case):
    bench = agent_harness.AgentHarness()
    bench.grant()
    start = messages.StartTask(3, 'w.0', 1, resources=agent_harness.SIZE)
    bench.agent.command(bench.conn, start)
    bench.agent.command(bench.conn, messages.StopTask(3, 'w.0', 1))
    bench.step()
    case.assertEqual(bench.worker.calls, [])
    case.assertEqual(bench.list_refused(), [agent.REFUSED_ATTEMPT])
