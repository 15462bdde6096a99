# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A runner that begins again under its id is another runner.

What users saw: two tasks of a short job were run again, one of them 44 ms
after its first run had come to its end and that end had been taken note of.

The order of events: workers crashed and began again within a second, under
the ids that they had had. One had ended thirty attempts before, which were
all acknowledged. Its next life numbered its ends from one. The side took the
life for the former one, as it had the same id: it passed over the ends whose
numbers it had acknowledged before, and its next look told the worker, by the
former number, that they could go. The attempts were then missing from the
listing, were told to be gone, and were begun elsewhere.

The evidence: the side logged the crash and no new life after it, and 2 s
later "attempt is gone, not listed any more" for what users saw end as done;
no worker had crashed at that time. With ``sight`` lines for births, the
number acknowledged before the birth was above those of the lost ends.

The cause: numbers of ends, heartbeats, leases and listings were told apart
by the id of a life alone, which is not its own.
"""

from portwharf.core import data
from portwharf.core import settings
from portwharf.platform import beats
from portwharf.platform import runner
from portwharf.testing import fixtures
from portwharf.testing import platform_runner
from portwharf.testing import relay
from portwharf import workers

FIRST = '5c0e7a21d94b36f8.0.0.1'
SECOND = '5c0e7a21d94b36f8.0.0.2'
SIZE = data.Resources(8000, 1000)
MAX_HOLD_MS = 6000


class Runner:
    """A runner whose connections break as it crashes, and its side."""

    def __init__(self, case):
        self.standin = platform_runner.RunnerStandIn()
        port = fixtures.serve(case, self.standin, threads=6)
        self._relay = relay.Relay('127.0.0.1', 0, port)
        case.enterContext(self._relay)
        self.place = settings.Endpoint('127.0.0.1', self._relay.port)
        self.client = self.open()
        self.hear()
        self.look()

    def open(self):
        """Return a side's client of the runner."""
        return runner.RunnerWorker(self.place, lambda: 7, MAX_HOLD_MS)

    def hear(self, **fields):
        """Have the side hear the runner's next heartbeat."""
        self.hear_late(self.standin.make_beat(**fields))

    def hear_late(self, body, instance='i-1'):
        """Have the side hear a heartbeat that was made before."""
        self.client.take_life(beats.read_life(instance, body))

    def look(self):
        """Return what the side takes the runner to show."""
        return self.client.read_listing().ok_value

    def list_states(self):
        """Return the states that the side sees, by task."""
        return {one.task: one.state for one in self.look().attempts}

    def start(self, task, attempt=1):
        """Have the side begin an attempt; returns '' or why it was not."""
        until = self.standin.read_ms() + 4000
        message = workers.Start(
            task, attempt, argument=b'spec', resources=SIZE
        )
        message.lease_until_ms = until
        return self.client.start(message).ok_value

    def run_to_its_end(self, task):
        """Have an attempt begun, ended, logged and acknowledged."""
        self.start(task)
        self.standin.end_run(task)
        self.look()
        self.client.forget(task, 1)
        self.look()

    def begin_anew(self, instance='i-1'):
        """Crash, and begin again at the same address."""
        self.standin.begin_life(instance)
        self._relay.cut()


def test_end_is_kept_though_its_number_was_acknowledged_in_a_former_life(case):
    one = Runner(case)
    one.run_to_its_end(FIRST)
    one.begin_anew()
    one.hear()
    one.look()
    one.start(SECOND)
    one.standin.end_run(SECOND)
    case.assertEqual(one.list_states(), {SECOND: 'succeeded'})
    one.look()
    case.assertEqual(len(one.standin.ended), 1)


def test_what_a_reborn_runner_says_of_itself_is_heard(case):
    """Its heartbeats are numbered anew, and it may be another kind."""
    one = Runner(case)
    for _ in range(20):
        one.hear(state='draining')
    one.begin_anew()
    one.hear(capacity={'cpu': 500, 'memMb': 100, 'gpu': 0})
    listing = one.look()
    case.assertFalse(listing.draining)
    case.assertEqual(listing.capacity, data.Resources(500, 100))
