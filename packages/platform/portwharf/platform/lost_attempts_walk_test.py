# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A random walk of a side and its runner, with orders that arrive late.

Failure: a task was started again after one of its runs had succeeded.

The owner starts the next attempt as soon as one is reported as gone or
refused. Invariants: from then on that attempt neither begins nor runs, and no
list has it as done under a lease that has lasted since its end. No success is
acknowledged before the owner was told of it.

The walk steps the side's agent and its client of the runner. Replies are
lost, orders arrive up to 12 s late, the runner is silent for longer than its
leases, owners reconnect and repeat commands, grants lapse, the side and the
runner restart, and more attempts end than the runner lists at once.
"""

import collections
import random
from unittest import mock

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import ended_attempts
from portwharf.platform import heartbeats
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.platform import runner_lists
from portwharf.scheduler import guard
from portwharf.side import agent
from portwharf.side import unconfirmed
from portwharf.testing import agent_harness
from portwharf.testing import late_runner

SEEDS = 60
STEPS = 400
# Tasks that the owner places on the VM at once.
MAX_PLACED = 8
MAX_SILENCE_SECONDS = 18.0
MAX_HOLD_MS = 12_000
BURST_ROWS = 520
STEP_SECONDS = 0.3
LOST_STATES = (data.RunState.GONE, data.RunState.REFUSED)


class Walk:
    """One walk, determined by its seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = clock.ManualClock()
        self.fake = late_runner.LateRunner(self.clock, self.random)
        self.has_bursts = seed % 5 == 0
        # The current attempt of each task that is placed on this VM, and the
        # attempts of the others.
        self.placed = {}
        self.waiting = {}
        # The (task, attempt) whose success the owner was told of.
        self.succeeded = set()
        self.tasks = 0
        self.token = 6
        self.epoch = 3
        self.is_granting = True
        self.missing_due = False
        self.instances = 1
        self.conn = None
        self.restart_side()

    def run(self):
        """Run all steps.

        :raises late_runner.InvariantError: an invariant was violated
        """
        self.deliver_heartbeat()
        for _ in range(STEPS):
            self.clock.advance(self.random.uniform(0, STEP_SECONDS))
            self.fake.update()
            self.random.choice(ACTIONS)(self)
            if self.is_granting:
                now = self.clock.read_monotonic()
                self.guard.accept_grant(self.epoch, now, True)
            for _ in range(self.random.randint(1, 3)):
                self.agent.step()
            self.fake.update()
            self.fake.check()
            unseen = self.fake.dropped - self.succeeded
            if unseen:
                raise late_runner.InvariantError(
                    f'acknowledged unseen: {unseen}'
                )

    def restart_side(self):
        """Restart the side's process, which gets a higher fencing token."""
        self.token += 1
        token = self.token
        self.client = runner.RunnerWorker(
            self.fake, lambda: token, MAX_HOLD_MS
        )
        self.guard = guard.GrantGuard(self.clock, agent_harness.LIMITS)
        self.guard.learn_epoch(self.epoch)
        self.agent = agent.Agent(
            self.client,
            self.guard,
            agent_harness.LIMITS,
            self.clock,
            lambda: None,
        )
        self.client.on_attempt_end(self.agent._poll_soon)
        self.connect()
        self.deliver_heartbeat()

    def connect(self):
        """Connect an owner.

        It has processed all reports of the last connection, or lost them.
        """
        if self.random.random() < 0.5:
            self.process_reports()
        if self.random.random() < 0.5:
            self.epoch += 1
        self.guard.accept_owner(self.epoch, 'vm-9')
        self.conn = agent_harness.FakeConn()
        self.missing_due = False
        self.agent.take_owner(self.conn)

    def reconnect(self):
        """Connect an owner that repeats commands at once."""
        self.connect()
        self.agent.step()
        self.process_reports()

    def deliver_heartbeat(self):
        """Deliver a heartbeat of the runner."""
        if self.fake.is_down:
            return
        body = self.fake.make_heartbeat()
        life = heartbeats.parse_life(self.fake.instance, body)
        self.client.record_heartbeat(life)

    def place(self, copies=1):
        """Place an attempt.

        :param copies: how often its start is sent
        """
        if len(self.placed) >= MAX_PLACED:
            return
        task = f'5c0e7a21d94b36f8.0.0.{self.tasks}'
        self.tasks += 1
        attempt = 1
        if self.waiting and self.random.random() < 0.5:
            task = self.random.choice(sorted(self.waiting))
            attempt = self.waiting.pop(task) + self.random.randint(1, 2)
        self.placed[task] = attempt
        for _ in range(copies):
            self.send_start(task)

    def place_unanswered(self):
        """Place an attempt whose starts are lost or late, and repeat it."""
        self.fake.unanswered_starts = 2
        self.place(copies=2)
        for _ in range(2):
            self.agent.step()
        self.process_reports()

    def send_start(self, task):
        """Send the start of a placed attempt."""
        start = messages.StartTask(
            self.epoch,
            task,
            self.placed[task],
            exclusive=True,
            resources=data.Resources(1000, 100),
        )
        self.agent.command(self.conn, start)

    def send_stop(self, task):
        """Send a stop of a placed attempt."""
        stop = messages.StopTask(self.epoch, task, self.placed[task])
        self.agent.command(self.conn, stop)

    def stop(self):
        """Stop a placed attempt."""
        if self.placed:
            self.send_stop(self.random.choice(sorted(self.placed)))

    def process_reports(self):
        """Let the owner process the reports that it has received."""
        if self.conn is None:
            return
        forget = []
        for message in self.conn.take(messages.Reports):
            if message.whole:
                self.command_missing(message)
            for report in message.reports:
                if report.state == data.RunState.RUNNING:
                    self.process_running(report)
                    continue
                name = (report.task, report.attempt)
                forget.append(messages.TaskRef(*name))
                if report.state == data.RunState.SUCCEEDED:
                    self.succeeded.add(name)
                if self.placed.get(report.task) != report.attempt:
                    continue
                del self.placed[report.task]
                if report.state != data.RunState.SUCCEEDED:
                    self.waiting[report.task] = report.attempt
                if report.state in LOST_STATES:
                    self.fake.lost[name] = report.reason
        if forget:
            self.agent.command(self.conn, messages.ForgetTasks(forget))

    def process_running(self, report):
        """Stop a running attempt that the owner has given up."""
        if self.placed.get(report.task) != report.attempt:
            stop = messages.StopTask(self.epoch, report.task, report.attempt)
            self.agent.command(self.conn, stop)

    def command_missing(self, message):
        """Repeat the commands for what a full report lacks."""
        known = {(one.task, one.attempt) for one in message.reports}
        for task, attempt in self.placed.items():
            if (task, attempt) in known:
                continue
            send = self.random.choice((self.send_start, self.send_stop))
            send(task)

    def wait_for_ends(self):
        """Make the request of the client's thread that waits for ends."""
        ends = self.client._ends
        life = self.client._incarnations.current.id
        answer = self.client._hold(self.client._wait_conn, life)
        if answer.is_ok() and ends.record_latest(answer.ok_value['ended']):
            self.agent._poll_soon()

    def end_run(self):
        """End a running attempt."""
        self.fake.end_some_run()

    def fall_silent(self):
        """Let the runner be silent, possibly for longer than all leases."""
        seconds = self.random.uniform(0, MAX_SILENCE_SECONDS)
        until = self.clock.read_monotonic() + seconds
        self.fake.silent_until = max(self.fake.silent_until, until)

    def change_faults(self):
        """Change how many orders are lost or late."""
        self.fake.fault_rate = self.random.choice((0.0, 0.1, 0.3, 0.6))

    def change_grants(self):
        """Let the owner stop or resume granting."""
        self.is_granting = self.random.random() < 0.7

    def restart_runner(self):
        """Restart the runner, with the same instance id or the next one."""
        if self.random.random() < 0.5:
            self.instances += 1
        self.fake.is_down = self.random.random() < 0.5
        self.fake.restart(f'i-{self.instances}')

    def bring_up_runner(self):
        """Let a runner that is down answer again."""
        self.fake.is_down = False
        self.deliver_heartbeat()

    def end_many(self):
        """End more attempts than the runner lists at once."""
        if not self.has_bursts or self.fake.is_down or self.fake.ended:
            return
        for _ in range(BURST_ROWS):
            task = f'other.{self.tasks}'
            self.fake.running[task] = 1
            self.fake.end_run(task)
            self.tasks += 1

    def idle(self):
        """Let some time pass."""
        self.clock.advance(self.random.uniform(0, 2))


ACTIONS = tuple(
    collections.Counter(
        {
            Walk.place: 8,
            Walk.place_unanswered: 2,
            Walk.process_reports: 8,
            Walk.end_run: 5,
            Walk.wait_for_ends: 4,
            Walk.deliver_heartbeat: 3,
            Walk.bring_up_runner: 3,
            Walk.idle: 3,
            Walk.change_faults: 2,
            Walk.connect: 1,
            Walk.reconnect: 3,
            Walk.stop: 2,
            Walk.change_grants: 1,
            Walk.fall_silent: 1,
            Walk.restart_side: 1,
            Walk.restart_runner: 1,
            Walk.end_many: 1,
        }
    ).elements()
)


def walk_all(seeds=range(SEEDS)):
    """Walk for each seed; returns the first violation, or None."""
    with mock.patch.object(
        runner_connection.http_client, 'Connection', late_runner.Connection
    ):
        for seed in seeds:
            try:
                Walk(seed).run()
            except late_runner.InvariantError as exc:
                return seed, str(exc)
    return None


def test_no_attempt_runs_after_it_was_reported_as_lost(case):
    case.assertIsNone(walk_all())


def test_walks_find_starts_that_are_carried_out_after_all_leases(case):
    with mock.patch.object(
        runner.RunnerWorker, 'abandon_starts', lambda self: result.Ok(None)
    ):
        case.assertIsNotNone(walk_all())


def test_walks_find_late_starts_that_the_agent_does_not_know(case):
    create = unconfirmed.UnconfirmedCommands
    with mock.patch.object(
        unconfirmed, 'UnconfirmedCommands', lambda on_listing: create()
    ):
        case.assertIsNotNone(walk_all())


def test_walks_find_ended_attempts_that_a_listing_lacks(case):
    with mock.patch.object(
        runner_lists, 'MAX_ENDED_ROWS', 10 * late_runner.PAGE_ROWS
    ):
        case.assertIsNotNone(walk_all())


class HastyEnds(ended_attempts.EndedAttempts):
    """Acknowledges ended attempts that were forgotten before any listing."""

    def add_rows(self, rows):
        super().add_rows(rows)
        self._advance_ack()

    def forget(self, task, attempt):
        self._logged.add((task, attempt))
        self._advance_ack()


def test_walks_find_successes_that_are_acknowledged_unseen(case):
    with mock.patch.object(ended_attempts, 'EndedAttempts', HastyEnds):
        case.assertIsNotNone(walk_all())
