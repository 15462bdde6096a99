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

import threading
from unittest import mock

import result

from portwharf.core import data
from portwharf.platform import beats
from portwharf.platform import http_client
from portwharf.platform import runner
from portwharf.testing import platform_runner
from portwharf import workers

FIRST = '5c0e7a21d94b36f8.0.0.1'
SECOND = '5c0e7a21d94b36f8.0.0.2'
SIZE = data.Resources(8000, 1000)
MAX_HOLD_MS = 6000


class Runner:
    """A runner whose connections break as it crashes, and its side."""

    def __init__(self, case):
        self.standin, place = platform_runner.serve_runner(case)
        self.client = runner.RunnerWorker(place, lambda: 7, MAX_HOLD_MS)
        self.hear()
        # Of which life the side has the last list.
        self.life = None
        self.look()

    def hear(self, **fields):
        """Have the side hear the runner's next heartbeat."""
        self.hear_late(self.standin.make_beat(**fields))

    def hear_late(self, body, instance='i-1'):
        """Have the side hear a heartbeat that was made before."""
        self.client.record_heartbeat(beats.parse_life(instance, body))

    def look(self):
        """Return what the side takes the runner to show."""
        listing = self.client.read_listing().ok_value
        self.life = listing.life
        return listing

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
        message.life = self.life
        return self.client.start(message).ok_value

    def run_to_its_end(self, task):
        """Have an attempt begun, ended, logged and acknowledged."""
        self.start(task)
        self.standin.end_run(task)
        self.look()
        self.client.forget(task, 1)
        self.look()

    def begin_anew(self):
        """Crash, and begin again under the same id."""
        self.standin.begin_life('i-1')


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


def test_no_number_of_a_former_life_reaches_the_next_one(case):
    """Not even in the first order that it gets, before it was heard."""
    one = Runner(case)
    one.run_to_its_end(FIRST)
    one.begin_anew()
    one.standin.orders.clear()
    one.look()
    numbers = {order['ackedUpto'] for _, order in one.standin.orders}
    case.assertEqual(numbers, {0})


def test_end_in_a_life_under_a_former_id_is_told_at_once(case):
    one = Runner(case)
    one.run_to_its_end(FIRST)
    one.begin_anew()
    one.hear()
    one.look()
    told = threading.Event()
    one.client.follow(told.set)
    case.enterContext(one.client)
    one.start(SECOND)
    told.clear()
    one.standin.end_run(SECOND)
    case.assertTrue(told.wait(10))


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


def test_late_heartbeat_of_a_former_life_with_the_same_id_is_dropped(case):
    one = Runner(case)
    late = one.standin.make_beat(state='draining', seq=99)
    one.begin_anew()
    one.hear()
    one.look()
    one.hear_late(late)
    listing = one.look()
    case.assertFalse(listing.draining)
    case.assertEqual(one.start(SECOND), '')


def test_lives_under_one_id_are_told_apart(case):
    one = Runner(case)
    former = one.look().life
    one.begin_anew()
    one.hear()
    case.assertNotEqual(one.look().life, former)
    case.assertEqual(one.look().life, one.look().life)


def test_nothing_begins_on_a_reborn_runner_before_it_was_heard(case):
    one = Runner(case)
    one.begin_anew()
    one.look()
    case.assertEqual(one.start(FIRST), workers.REFUSED_UNHEARD)
    one.hear()
    one.look()
    case.assertEqual(one.start(FIRST), '')


def test_orders_for_a_former_life_do_not_reach_the_next(case):
    """A time on the former life's clock is far ahead on the next one's.

    The lease would run for as long as a runner gives any, longer than an
    owner waits before it places the task elsewhere.
    """
    one = Runner(case)
    one.begin_anew()
    one.standin.orders.clear()
    case.assertNotEqual(one.start(FIRST), '')
    case.assertTrue(one.client.renew(10**9).is_err())
    case.assertEqual(one.standin.running, {})
    told = [order for _, order in one.standin.orders if 'untilMs' in order]
    case.assertEqual(told, [])


def test_late_order_of_a_former_life_is_refused_by_the_next(case):
    """Both have the id that it names, and the next one has seen no token."""
    one = Runner(case)
    one.start(FIRST)
    late = one.standin.orders[-1]
    one.begin_anew()
    one.look()
    case.assertEqual(one.standin.carry_out(*late), 409)
    case.assertEqual(one.standin.running, {})


def test_lease_of_a_former_life_is_not_shown_in_the_next(case):
    one = Runner(case)
    one.client.renew(one.standin.read_ms() + 10**6)
    one.begin_anew()
    one.hear()
    one.look()
    one.start(FIRST)
    (attempt,) = one.look().attempts
    longest = one.standin.read_ms() + MAX_HOLD_MS
    case.assertLessEqual(attempt.lease_until_ms, longest)


def test_runner_that_keeps_its_connections_over_a_birth_is_not_misread(case):
    """No list of the next life is taken for one of the former."""
    one = Runner(case)
    one.run_to_its_end(FIRST)
    former = one.look().life
    one.standin.break_connections = lambda: None
    one.begin_anew()
    case.assertTrue(one.client.read_listing().is_err())
    one.hear()
    case.assertNotEqual(one.look().life, former)
    case.assertEqual(one.start(SECOND), '')


def test_several_births_between_two_looks_are_one_life_that_is_there(case):
    one = Runner(case)
    one.run_to_its_end(FIRST)
    for _ in range(3):
        one.begin_anew()
        one.hear()
    case.assertEqual(one.look().life.born_ms, one.standin.born_ms)
    one.start(SECOND)
    one.standin.end_run(SECOND)
    case.assertEqual(one.list_states(), {SECOND: 'succeeded'})


def test_nothing_is_ordered_by_the_list_of_a_former_life(case):
    """The next life is known, and its first list was lost."""
    one = Runner(case)
    one.begin_anew()
    one.hear()
    lost = result.Err(http_client.NoReply('lost'))
    with mock.patch.object(one.client, '_hold', lambda *_, **__: lost):
        case.assertTrue(one.client.read_listing().is_err())
    case.assertEqual(one.start(FIRST), workers.REFUSED_UNHEARD)
    case.assertTrue(one.client.renew(10**9).is_err())
    one.look()
    case.assertEqual(one.start(FIRST), '')
