# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Harness for the side's agent: manual clock, fake worker, fake owner."""

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
    """Records the calls it receives; its tasks never finish by themselves."""

    def __init__(self, worker_clock):
        self._clock = worker_clock
        self.listing = workers.Listing(0, data.Resources(4000, 4000))
        self.calls = []
        self.renewed = 0

    def read_listing(self):
        now_ms = int(self._clock.read_monotonic() * 1000)
        listing = workers.Listing(now_ms, self.listing.capacity)
        listing.attempts = list(self.listing.attempts)
        listing.pool = self.listing.pool
        listing.labels = self.listing.labels
        return result.Ok(listing)

    def start(self, start):
        self.calls.append(('start', start.task, start.attempt))
        self.listing.attempts.append(reports.make_attempt(start))
        return result.Ok('')

    def revoke_expired_starts(self):
        self.calls.append(('revoke',))
        return self.read_listing()

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
    """The agent's connection to the owner: records what the agent sends."""

    def __init__(self):
        self.sent = []

    def try_post(self, message):
        """Record a message; always succeeds."""
        self.sent.append(message)
        return True

    def close(self):
        """Do nothing; there is no socket."""

    def take(self, cls):
        """Remove and return the recorded messages of a class."""
        found = [m for m in self.sent if isinstance(m, cls)]
        self.sent = [m for m in self.sent if not isinstance(m, cls)]
        return found


class AgentHarness:
    """An agent under an owner of epoch 3; the test advances its clock."""

    def __init__(self, worker=None):
        """Create the agent and connect it to an owner.

        :param worker: None for a :class:`FakeWorker`
        """
        self.clock = clock.ManualClock()
        self.guard = guard.GrantGuard(self.clock, LIMITS)
        self.guard.learn_epoch(3)
        self.worker = worker or FakeWorker(self.clock)
        self.services = []
        self.agent = agent.Agent(
            self.worker, self.guard, LIMITS, self.clock, self._note
        )
        self.conn = self.connect()

    def connect(self):
        """Connect the agent to the owner anew; returns the connection."""
        self.guard.accept_owner(3, 'vm-9')
        conn = FakeConn()
        self.agent.take_owner(conn)
        self.step()
        return conn

    def grant(self):
        """Give the side a grant that is valid from now."""
        self.guard.accept_grant(3, self.clock.read_monotonic(), True)

    def step(self, seconds=0.0):
        """Advance the clock, then let the agent do everything that is due."""
        self.clock.advance(seconds)
        for _ in range(5):
            self.agent.step()

    def start(self, task='w.0', attempt=1, conn=None, **fields):
        """Send a start command and let the agent execute it."""
        message = messages.StartTask(3, task, attempt, resources=SIZE)
        message.exclusive = True
        for name, value in fields.items():
            setattr(message, name, value)
        self.agent.command(conn or self.conn, message)
        self.step()

    def list_refused(self):
        """Take all reports sent so far; returns the reasons of refusals."""
        return [
            report.reason
            for message in self.conn.take(messages.Reports)
            for report in message.reports
            if report.state == data.RunState.REFUSED
        ]

    def _note(self):
        self.services.append(self.agent.services)


def lose_answers(bench, *answers):
    """Make the worker's next starts return these answers and start nothing."""
    queued = list(answers)
    start_task = bench.worker.start

    def start(message):
        bench.worker.calls.append(('start', message.task, message.attempt))
        return queued.pop(0) if queued else start_task(message)

    bench.worker.start = start


def list_gone(bench):
    """Take all reports sent so far; returns the attempts that are gone."""
    return [
        (report.task, report.attempt)
        for message in bench.conn.take(messages.Reports)
        for report in message.reports
        if report.state == data.RunState.GONE
    ]
