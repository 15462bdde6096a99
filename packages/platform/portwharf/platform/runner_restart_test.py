# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A runner that restarts under its former instance id is a new incarnation.

Failure: two tasks of a short job were run twice, one of them 44 ms after its
first attempt had succeeded and its end had been recorded.

Sequence: workers crashed and restarted within a second with the same instance
ids. One of them had listed thirty ended attempts before, all of which were
acknowledged. Its next incarnation numbered its ended attempts from one. As the
id was the same, the side took it for the former incarnation. It ignored ended
attempts whose numbers it had acknowledged before, and its next request
acknowledged the former number, so that the worker dropped them. The attempts
were missing from the next listing, were reported as gone, and were started
elsewhere.

Evidence: the side logged the crash and no new incarnation after it. 2 s later
it logged "attempt is gone, not listed any more" for attempts that users saw
succeed, while no worker had crashed at that time. With ``sight`` log lines for
births, the number acknowledged before the birth was higher than the numbers of
the lost attempts.

Cause: end numbers, heartbeats, leases and listings were assigned to
incarnations by the instance id alone, which is not unique.
"""

import threading
from unittest import mock

import result

from portwharf.core import data
from portwharf.platform import heartbeats
from portwharf.platform import http_client
from portwharf.testing import platform_runner
from portwharf import workers

FIRST = '5c0e7a21d94b36f8.0.0.1'
SECOND = '5c0e7a21d94b36f8.0.0.2'
SIZE = data.Resources(8000, 1000)
MAX_HOLD_MS = 6000


class Runner:
    """A runner whose connections break when it crashes, and its client."""

    def __init__(self, case):
        self.fake, place = platform_runner.serve_runner(case)
        self.client = platform_runner.open_client(
            place, lambda: 7, MAX_HOLD_MS
        )
        self.deliver_heartbeat()
        # The incarnation that sent the latest listing.
        self.life = None
        self.read_listing()

    def deliver_heartbeat(self, **fields):
        """Deliver the runner's next heartbeat to the client."""
        self.deliver_late_heartbeat(self.fake.make_heartbeat(**fields))

    def deliver_late_heartbeat(self, body, instance='i-1'):
        """Deliver a heartbeat that was created earlier."""
        self.client.record_heartbeat(heartbeats.parse_life(instance, body))

    def read_listing(self):
        """Read and return the runner's listing."""
        listing = self.client.read_listing().ok_value
        self.life = listing.life
        return listing

    def list_states(self):
        """Return the listed states by task."""
        return {
            attempt.task: attempt.state
            for attempt in self.read_listing().attempts
        }

    def start(self, task, attempt=1):
        """Start an attempt; returns '' or the reason of a refusal."""
        until = self.fake.read_ms() + 4000
        message = workers.Start(
            task, attempt, argument=b'spec', resources=SIZE
        )
        message.lease_until_ms = until
        message.life = self.life
        return self.client.start(message).ok_value

    def run_and_acknowledge(self, task):
        """Start an attempt, end it, mark it as logged, and acknowledge it."""
        self.start(task)
        self.fake.end_run(task)
        self.read_listing()
        self.client.forget(task, 1)
        self.read_listing()

    def restart(self):
        """Crash, and restart under the same instance id."""
        self.fake.restart('i-1')


def test_end_is_kept_if_a_former_incarnation_had_its_number_acknowledged(case):
    side = Runner(case)
    side.run_and_acknowledge(FIRST)
    side.restart()
    side.deliver_heartbeat()
    side.read_listing()
    side.start(SECOND)
    side.fake.end_run(SECOND)
    case.assertEqual(side.list_states(), {SECOND: 'succeeded'})
    side.read_listing()
    case.assertEqual(len(side.fake.ended), 1)


def test_no_end_number_of_a_former_incarnation_reaches_the_next(case):
    """Not even in the first request, before any heartbeat."""
    side = Runner(case)
    side.run_and_acknowledge(FIRST)
    side.restart()
    side.fake.orders.clear()
    side.read_listing()
    numbers = {order['ackedUpto'] for _, order in side.fake.orders}
    case.assertEqual(numbers, {0})


def test_end_under_a_reused_id_is_reported_at_once(case):
    """It came before the next request that waits for an end."""
    side = Runner(case)
    side.run_and_acknowledge(FIRST)
    side.restart()
    side.deliver_heartbeat()
    side.read_listing()
    notified = threading.Event()
    side.client.on_attempt_end(notified.set)
    side.start(SECOND)
    side.fake.end_run(SECOND)
    case.assertFalse(notified.is_set())
    case.enterContext(side.client)
    case.assertTrue(notified.wait(10))


def test_end_under_a_reused_id_answers_a_waiting_request(case):
    """A former end of the same number was reported as well."""
    side = Runner(case)
    notified = threading.Event()
    side.client.on_attempt_end(notified.set)
    case.enterContext(side.client)
    side.start(FIRST)
    side.fake.end_run(FIRST)
    case.assertTrue(notified.wait(10))
    side.read_listing()
    side.client.forget(FIRST, 1)
    side.read_listing()
    side.restart()
    side.deliver_heartbeat()
    side.read_listing()
    case.assertTrue(side.fake.wait_for_hold())
    side.start(SECOND)
    notified.clear()
    side.fake.end_run(SECOND)
    case.assertTrue(notified.wait(10))


def test_heartbeats_of_a_restarted_runner_are_accepted(case):
    """Its heartbeats are numbered from 1, and its capacity may differ."""
    side = Runner(case)
    for _ in range(20):
        side.deliver_heartbeat(state='draining')
    side.restart()
    side.deliver_heartbeat(capacity={'cpu': 500, 'memMb': 100, 'gpu': 0})
    listing = side.read_listing()
    case.assertFalse(listing.draining)
    case.assertEqual(listing.capacity, data.Resources(500, 100))


def test_late_heartbeat_of_a_former_incarnation_with_same_id_is_dropped(case):
    side = Runner(case)
    late = side.fake.make_heartbeat(state='draining', seq=99)
    side.restart()
    side.deliver_heartbeat()
    side.read_listing()
    side.deliver_late_heartbeat(late)
    listing = side.read_listing()
    case.assertFalse(listing.draining)
    case.assertEqual(side.start(SECOND), '')


def test_incarnations_under_one_id_are_told_apart(case):
    side = Runner(case)
    former = side.read_listing().life
    side.restart()
    side.deliver_heartbeat()
    case.assertNotEqual(side.read_listing().life, former)
    case.assertEqual(side.read_listing().life, side.read_listing().life)


def test_nothing_starts_on_a_restarted_runner_before_a_heartbeat(case):
    side = Runner(case)
    side.restart()
    side.read_listing()
    case.assertEqual(side.start(FIRST), workers.REFUSED_NO_HEARTBEAT)
    side.deliver_heartbeat()
    side.read_listing()
    case.assertEqual(side.start(FIRST), '')


def test_orders_do_not_reach_the_next_incarnation(case):
    """A time on the former incarnation's clock is far ahead on the next one's.

    The lease would be as long as the runner accepts, and outlast the time
    after which an owner places the task elsewhere.
    """
    side = Runner(case)
    side.restart()
    side.fake.orders.clear()
    case.assertNotEqual(side.start(FIRST), '')
    case.assertTrue(side.client.renew(10**9).is_err())
    case.assertEqual(side.fake.running, {})
    lease_orders = [
        order for _, order in side.fake.orders if 'untilMs' in order
    ]
    case.assertEqual(lease_orders, [])


def test_late_order_is_refused_by_the_next_incarnation(case):
    """Both have the instance id; the next incarnation has seen no token."""
    side = Runner(case)
    side.start(FIRST)
    late = side.fake.orders[-1]
    side.restart()
    side.read_listing()
    case.assertEqual(side.fake.carry_out(*late), 409)
    case.assertEqual(side.fake.running, {})


def test_lease_of_a_former_incarnation_is_not_shown_in_the_next(case):
    side = Runner(case)
    side.client.renew(side.fake.read_ms() + 10**6)
    side.restart()
    side.deliver_heartbeat()
    side.read_listing()
    side.start(FIRST)
    (attempt,) = side.read_listing().attempts
    longest = side.fake.read_ms() + MAX_HOLD_MS
    case.assertLessEqual(attempt.lease_until_ms, longest)


def test_restart_that_keeps_its_connections_is_noticed(case):
    """A listing of the next incarnation is not assigned to the former one."""
    side = Runner(case)
    side.run_and_acknowledge(FIRST)
    former = side.read_listing().life
    side.fake.break_connections = lambda: None
    side.restart()
    case.assertTrue(side.client.read_listing().is_err())
    side.deliver_heartbeat()
    case.assertNotEqual(side.read_listing().life, former)
    case.assertEqual(side.start(SECOND), '')


def test_only_the_last_of_several_restarts_between_listings_counts(case):
    side = Runner(case)
    side.run_and_acknowledge(FIRST)
    for _ in range(3):
        side.restart()
        side.deliver_heartbeat()
    case.assertEqual(side.read_listing().life.born_ms, side.fake.born_ms)
    side.start(SECOND)
    side.fake.end_run(SECOND)
    case.assertEqual(side.list_states(), {SECOND: 'succeeded'})


def test_no_order_is_based_on_the_listing_of_a_former_incarnation(case):
    """The next incarnation is known, and its first listing was lost."""
    side = Runner(case)
    side.restart()
    side.deliver_heartbeat()
    lost = result.Err(http_client.NoReply('lost'))
    with mock.patch.object(side.client, '_hold', lambda *_, **__: lost):
        case.assertTrue(side.client.read_listing().is_err())
    case.assertEqual(side.start(FIRST), workers.REFUSED_NO_HEARTBEAT)
    case.assertTrue(side.client.renew(10**9).is_err())
    side.read_listing()
    case.assertEqual(side.start(FIRST), '')
