# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A worker that leaves stops unanswered does not hold up the side.

Each such stop costs the time that an answer is waited for. A side that sent
them for a dozen attempts before its next heartbeat lost its grant by it,
and with that stopped what was sound.
"""

import result

from portwharf.side import doubts
from portwharf.testing import agent_bench
from portwharf import workers

TASKS = [f'w.{number}' for number in range(8)]


class DeafWorker:
    """Answers no stop; notes which were sent."""

    def __init__(self):
        self.stopped = []

    def stop(self, task, attempt, checkpoint):
        """Note a stop."""
        self.stopped.append(task)
        return result.Err('timed out')

    def take(self):
        """Return the tasks of the stops since the last time."""
        stopped, self.stopped = self.stopped, []
        return stopped


def test_unanswered_stops_of_doubtful_starts_are_few_at_a_time(case):
    made, worker = doubts.Doubts(), DeafWorker()
    for task in TASKS:
        made.add_start(task, 1, agent_bench.SIZE)
    seen = set()
    for _ in TASKS:
        made.settle_starts(worker, workers.Listing())
        sent = worker.take()
        case.assertEqual(len(sent), 1)
        seen.update(sent)
    case.assertEqual(seen, set(TASKS))


def test_unanswered_stops_are_few_at_a_time_and_none_is_left_out(case):
    made, worker = doubts.Doubts(), DeafWorker()
    bench = agent_bench.Bench()
    bench.grant()
    listing = bench.worker.listing
    for task in TASKS:
        start = workers.Start(task, 1, resources=agent_bench.SIZE)
        bench.worker.start(start)
        made.add_stop(task, 1, True)
    seen = set()
    for number in range(2 * len(TASKS)):
        now = number * doubts.STOP_RETRY_SECONDS
        made.resend_stops(worker, listing, now)
        sent = worker.take()
        case.assertEqual(len(sent), 1)
        seen.update(sent)
    case.assertEqual(seen, set(TASKS))
