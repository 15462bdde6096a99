# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The side starts, keeps and stops only what it may."""

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.side import agent
from portwharf.side import reports
from portwharf import workers

LIMITS = limits.Limits(heartbeat=1, guard=6, lease=4)
SIZE = data.Resources(1000, 1000)
RUNNING = data.RunState.RUNNING


class FakeWorker(workers.Worker):
    """Notes what it is told; tasks run until they are stopped."""

    def __init__(self, now):
        self._clock = now
        self.listing = workers.Listing(0, data.Resources(4000, 4000))
        self.calls = []
        self.renewed = 0

    def read_listing(self):
        now_ms = int(self._clock.read_monotonic() * 1000)
        listing = workers.Listing(now_ms, self.listing.capacity)
        listing.attempts = list(self.listing.attempts)
        return result.Ok(listing)

    def start(self, start):
        self.calls.append(('start', start.task, start.attempt))
        self.listing.attempts.append(reports.make_attempt(start))
        return result.Ok('')

    def stop(self, task, attempt, checkpoint):
        self.calls.append(('stop', task, attempt))
        return result.Ok(None)

    def throttle(self, task, attempt, percent):
        self.calls.append(('throttle', task, percent))
        return result.Ok(None)

    def renew(self, until_ms):
        self.renewed = until_ms
        return result.Ok(None)

    def forget(self, task, attempt):
        self.calls.append(('forget', task, attempt))
        self.listing.attempts = [
            a for a in self.listing.attempts if a.task != task
        ]
        return result.Ok(None)


class FakeConn:
    """The owner's end of a connection: keeps what it is sent."""

    def __init__(self):
        self.sent = []

    def try_send(self, message):
        """Keep a message."""
        self.sent.append(message)
        return True

    def close(self):
        """There is nothing to close."""

    def take(self, cls):
        """Return the messages of a class sent since the last time."""
        found = [m for m in self.sent if isinstance(m, cls)]
        self.sent = [m for m in self.sent if not isinstance(m, cls)]
        return found


class Bench:
    """An agent that is stepped by hand, under an owner of epoch 3."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.guard = guard.Guard(self.clock, LIMITS)
        self.guard.learn_epoch(3)
        self.worker = FakeWorker(self.clock)
        self.services = []
        self.agent = agent.Agent(
            self.worker, self.guard, LIMITS, self.clock, self._note
        )
        self.conn = self.connect()

    def connect(self):
        """Give the agent a new connection to an owner."""
        self.guard.accept_owner(3, 'vm-9')
        conn = FakeConn()
        self.agent.take_owner(conn)
        self.step()
        return conn

    def grant(self):
        """Give the side a valid grant, as of now."""
        self.guard.accept_grant(3, self.clock.read_monotonic(), True)

    def step(self, seconds=0.0):
        """Let time go by, then let the agent do all that is due."""
        self.clock.advance(seconds)
        for _ in range(5):
            self.agent.step()

    def start(self, task='w.0', attempt=1, conn=None, **fields):
        """Send a start and let the agent carry it out."""
        message = messages.StartTask(3, task, attempt, resources=SIZE)
        message.exclusive = True
        for name, value in fields.items():
            setattr(message, name, value)
        self.agent.command(conn or self.conn, message)
        self.step()

    def list_refused(self):
        """Return the reasons of the refusals reported since last time."""
        return [
            report.reason
            for message in self.conn.take(messages.Reports)
            for report in message.reports
            if report.state == data.RunState.REFUSED
        ]

    def _note(self):
        self.services.append(self.agent.services)


def test_granted_start_runs_and_is_reported(case):
    bench = Bench()
    bench.grant()
    bench.conn.take(messages.Reports)
    bench.start()
    case.assertEqual(bench.worker.calls, [('start', 'w.0', 1)])
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(message.reports[0].state, RUNNING)


def test_exclusive_start_needs_a_grant(case):
    bench = Bench()
    bench.start()
    case.assertEqual(bench.worker.calls, [])
    case.assertEqual(bench.list_refused(), [agent.REFUSED_GRANT])
    bench.start('s.0', exclusive=False)
    case.assertEqual(bench.worker.calls, [('start', 's.0', 1)])


def test_command_of_a_former_owner_is_refused(case):
    bench = Bench()
    bench.grant()
    bench.start(epoch=2)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_EPOCH])
    case.assertEqual(bench.worker.calls, [])


def test_command_of_an_ended_connection_is_dropped(case):
    bench = Bench()
    bench.grant()
    former = bench.conn
    bench.conn = bench.connect()
    bench.start(conn=former)
    case.assertEqual(bench.worker.calls, [])


def test_vm_is_never_given_more_than_it_holds(case):
    bench = Bench()
    bench.grant()
    for number in range(5):
        bench.start(f'w.{number}')
    case.assertEqual(len(bench.worker.calls), 4)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])


def test_older_attempt_is_refused(case):
    bench = Bench()
    bench.grant()
    bench.start(attempt=2)
    bench.start(attempt=1)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_ATTEMPT])


def test_next_attempt_is_refused_while_one_runs(case):
    bench = Bench()
    bench.grant()
    bench.start(attempt=1)
    bench.start(attempt=2)
    case.assertEqual(bench.list_refused(), [agent.REFUSED_ATTEMPT])


def test_start_twice_runs_once(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.start()
    case.assertEqual(bench.worker.calls, [('start', 'w.0', 1)])
    case.assertEqual(bench.list_refused(), [])


def test_leases_end_a_while_after_the_grant(case):
    bench = Bench()
    bench.grant()
    until = bench.clock.read_monotonic() + LIMITS.guard + LIMITS.lease
    bench.start()
    bench.step(1.0)
    case.assertLessEqual(bench.worker.renewed, until * 1000)
    case.assertGreater(bench.worker.renewed, until * 1000 - 10)


def test_without_a_grant_exclusive_tasks_are_saved_and_stopped(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.start('s.0', exclusive=False)
    renewed = bench.worker.renewed
    bench.step(LIMITS.guard)
    bench.step(1.0)
    case.assertEqual(bench.worker.calls[2:], [('stop', 'w.0', 1)])
    case.assertEqual(bench.worker.renewed, renewed)


def test_new_owner_hears_of_everything(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.conn = bench.connect()
    (message,) = bench.conn.take(messages.Reports)
    case.assertTrue(message.whole)
    case.assertEqual(message.reports[0].task, 'w.0')


def test_restarted_side_finds_what_its_worker_runs(case):
    bench = Bench()
    bench.grant()
    bench.start()
    again = Bench()
    again.worker.listing = bench.worker.listing
    again.conn = again.connect()
    (message,) = again.conn.take(messages.Reports)[-1:]
    case.assertEqual(message.reports[0].task, 'w.0')
    again.grant()
    again.start(attempt=2)
    case.assertEqual(again.list_refused(), [agent.REFUSED_ATTEMPT])


def test_restarted_side_tells_nothing_before_it_has_learnt(case):
    bench = Bench()
    fresh = guard.Guard(bench.clock, LIMITS)
    bench.agent._guard = fresh
    conn = FakeConn()
    fresh.accept_owner(3, 'vm-9')
    bench.agent.take_owner(conn)
    bench.step(1.0)
    case.assertEqual(conn.take(messages.Reports), [])
    beats = conn.take(messages.Heartbeat)
    case.assertEqual({beat.epoch for beat in beats}, {0})
    fresh.learn_epoch(3)
    bench.step(1.0)
    case.assertTrue(conn.take(messages.Reports)[0].whole)
    case.assertEqual(conn.take(messages.Heartbeat)[-1].epoch, 3)


def test_result_too_large_for_the_log_is_a_failure(case):
    bench = Bench()
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


def test_forgotten_ending_leaves_the_worker(case):
    bench = Bench()
    bench.grant()
    bench.start()
    forget = messages.ForgetTasks([messages.TaskRef('w.0', 1)])
    bench.agent.command(bench.conn, forget)
    bench.step()
    case.assertEqual(bench.worker.calls[-1], ('forget', 'w.0', 1))


def test_stop_of_an_unknown_attempt_is_answered(case):
    bench = Bench()
    bench.conn.take(messages.Reports)
    bench.agent.command(bench.conn, messages.StopTask(3, 'w.7', 1))
    bench.step()
    (message,) = bench.conn.take(messages.Reports)
    case.assertEqual(message.reports[0].state, data.RunState.GONE)


def test_services_that_run_are_made_known(case):
    bench = Bench()
    bench.start(
        's.0', exclusive=False, kind=data.Kind.SERVICE, workload='lens/fit'
    )
    case.assertEqual(bench.services, [frozenset({'lens/fit'})])


def test_heartbeat_carries_the_owners_time_back(case):
    bench = Bench()
    bench.conn.take(messages.Heartbeat)
    bench.agent.take_grant(messages.Grant(1, 777, 3, True))
    bench.step()
    (beat,) = bench.conn.take(messages.Heartbeat)
    case.assertEqual((beat.owner_ms, beat.epoch), (777, 3))
    case.assertEqual(beat.capacity, data.Resources(4000, 4000))


def lose_answers(bench, *answers):
    """Have the worker's next starts give these instead of starting."""
    given = list(answers)
    really = bench.worker.start

    def start(message):
        bench.worker.calls.append(('start', message.task, message.attempt))
        return given.pop(0) if given else really(message)

    bench.worker.start = start


def list_gone(bench):
    """Return the attempts reported as gone since last time."""
    return [
        (report.task, report.attempt)
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.state == data.RunState.GONE
    ]


def test_start_without_an_answer_is_sent_again(case):
    bench = Bench()
    bench.grant()
    lose_answers(bench, result.Err('timed out'))
    bench.start()
    case.assertEqual(bench.worker.listing.attempts[0].task, 'w.0')
    case.assertEqual(list_gone(bench), [])


def test_start_that_is_never_answered_is_stopped_before_it_is_gone(case):
    bench = Bench()
    bench.grant()
    lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.start()
    bench.step(0.5)
    stops = [call for call in bench.worker.calls if call[0] == 'stop']
    case.assertEqual(stops, [('stop', 'w.0', 1)])
    case.assertEqual(list_gone(bench), [('w.0', 1)])


def test_start_is_not_called_gone_while_its_stop_is_unanswered(case):
    bench = Bench()
    bench.grant()
    lose_answers(bench, result.Err('lost'), result.Err('lost'))
    bench.worker.stop = lambda *_: result.Err('lost')
    bench.start()
    bench.step(0.5)
    case.assertEqual(list_gone(bench), [])
    case.assertEqual(bench.list_refused(), [])


def test_refusal_after_a_lost_answer_is_not_believed(case):
    bench = Bench()
    bench.grant()
    refused = result.Ok(workers.REFUSED_ROOM)
    lose_answers(bench, result.Err('lost'), refused)
    bench.start()
    case.assertEqual(bench.list_refused(), [])


def test_attempt_of_a_former_life_of_the_worker_is_gone(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    bench.worker.listing.attempts.clear()
    bench.step(0.5)
    case.assertEqual(list_gone(bench), [('w.0', 1)])
    bench.start()
    case.assertEqual(list_gone(bench), [('w.0', 1)])
    starts = [call for call in bench.worker.calls if call[0] == 'start']
    case.assertEqual(len(starts), 1)


def test_silent_worker_offers_nothing(case):
    bench = Bench()
    bench.grant()
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(4):
        bench.step(0.5)
    beat = bench.conn.take(messages.Heartbeat)[-1]
    case.assertEqual(beat.capacity, data.Resources())


def test_attempts_of_a_silent_worker_are_gone_once_all_leases_lapsed(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.step(0.5)
    bench.conn.take(messages.Reports)
    bench.worker.read_listing = lambda: result.Err('silent')
    for _ in range(16):
        bench.step(0.5)
    case.assertEqual(list_gone(bench), [])
    for _ in range(8):
        bench.step(0.5)
    case.assertEqual(list_gone(bench), [('w.0', 1)])


def test_absent_worker_runs_nothing(case):
    bench = Bench()
    bench.grant()
    bench.start()
    bench.conn.take(messages.Reports)
    absent = workers.Listing(absent=True)
    bench.worker.read_listing = lambda: result.Ok(absent)
    bench.step(0.5)
    case.assertEqual(list_gone(bench), [('w.0', 1)])


def test_leaving_worker_takes_no_starts(case):
    bench = Bench()
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
    bench = Bench()
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
    bench = Bench()
    bench.grant()
    bench.start('w.8')
    bench.start('w.9')
    bench.worker.calls = []
    answer = bench.worker.stop
    waits = [LIMITS.replace_after_grant + 1.0]

    def stop(task, attempt, checkpoint):
        if waits:
            bench.clock.advance(waits.pop())
        return answer(task, attempt, checkpoint)

    bench.worker.stop = stop
    for task in ('w.8', 'w.9'):
        bench.agent.command(bench.conn, messages.StopTask(3, task, 1, False))
    late = messages.StartTask(3, 'w.5', 1, resources=SIZE, exclusive=True)
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
    bench = Bench()
    bench.grant()
    for number in range(4):
        bench.start(f'w.{number}')
    calls = []

    def stop(task, attempt, checkpoint):
        calls.append(task)
        return result.Err('lost')

    bench.worker.stop = stop
    bench.clock.advance(LIMITS.guard + 1.0)
    bench.agent.step()
    case.assertEqual(len(calls), 1)


def test_start_without_an_answer_takes_its_room(case):
    """It may run, or later: what comes next must not go over the room."""
    bench = Bench()
    bench.grant()
    lost = bench.worker.start
    bench.worker.listing.capacity = SIZE
    bench.worker.stop = lambda *order: result.Err('silent')
    bench.worker.start = lambda start: result.Err('silent')
    bench.step(1)
    bench.grant()
    bench.start('w.0')
    bench.worker.start = lost
    bench.start('w.1')
    case.assertEqual(bench.list_refused(), [agent.REFUSED_CAPACITY])


def test_changed_room_is_told_at_once(case):
    bench = Bench()
    bench.grant()
    bench.step(1)
    bench.conn.take(messages.Heartbeat)
    bench.worker.listing.capacity = SIZE
    bench.step(0.5)
    beats = bench.conn.take(messages.Heartbeat)
    case.assertEqual([beat.capacity for beat in beats], [SIZE])
