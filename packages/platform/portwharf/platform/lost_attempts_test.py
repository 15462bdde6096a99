# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""No attempt that a side has reported as lost runs, or has run to its end.

The owner starts the next attempt at once. These are cases that
``lost_attempts_walk_test`` has found, step by step.
"""

import random
from unittest import mock

from portwharf.core import clock
from portwharf.peers import messages
from portwharf.platform import heartbeats
from portwharf.platform import lost_attempts_walk_test as walk
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.testing import agent_harness

TASK = '5c0e7a21d94b36f8.0.0.1'
OTHER = '5c0e7a21d94b36f8.0.0.2'
LIMITS = agent_harness.LIMITS


class Side(agent_harness.AgentHarness):
    """A side whose runner has a manual clock."""

    def __init__(self, case):
        self.fake = walk.Runner(clock.ManualClock(), random.Random(0))
        case.enterContext(
            mock.patch.object(
                runner_connection.http_client, 'Connection', walk.Connection
            )
        )
        client = runner.RunnerWorker(self.fake, lambda: 7, walk.MAX_HOLD_MS)
        super().__init__(client)
        self.fake.clock = self.clock
        self.deliver_heartbeat()
        self.grant()
        self.step(1)

    def deliver_heartbeat(self):
        """Deliver the runner's next heartbeat to the client."""
        body = self.fake.make_heartbeat()
        self.worker.record_heartbeat(heartbeats.parse_life('i-1', body))

    def be_silent(self, seconds):
        """Let the runner answer nothing for a time, under grants."""
        until = self.clock.read_monotonic() + seconds
        self.fake.silent_until = until
        while self.clock.read_monotonic() < until:
            self.grant()
            self.step(0.5)

    def start_unanswered(self, task):
        """Start an attempt by an order that stays under way; returns it."""
        kept = []
        send = self.fake.send

        def keep(path, body, target, born_ms):
            if not path.endswith('/run-start'):
                return send(path, body, target, born_ms)
            kept.append(body)
            return walk.lose_reply()

        with mock.patch.object(self.fake, 'send', keep):
            self.agent.command(self.conn, self.make_start(task))
            self.agent._execute(self.agent._pop_command(0.0))
        return kept[0]

    def make_start(self, task, attempt=1):
        """Return an owner's command to start an attempt."""
        return messages.StartTask(
            3, task, attempt, exclusive=True, resources=agent_harness.SIZE
        )


def test_start_that_arrives_after_all_leases_is_not_carried_out(case):
    side = Side(case)
    body = side.start_unanswered(TASK)
    side.be_silent(LIMITS.replace_after_grant + 2)
    case.assertEqual(agent_harness.list_gone(side), [(TASK, 1)])
    side.step(1)
    side.grant()
    side.start(OTHER)
    side.fake.carry_out('run-start', body)
    case.assertEqual(side.fake.running, {OTHER: 1})
