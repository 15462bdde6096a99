# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A random walk of a runner's client while the runner restarts.

Heartbeats come late, responses are lost, connections break, and each
incarnation has the instance id of the incarnation before it. Invariants: no
ended attempt is acknowledged before it is logged, no listed one is ignored,
and no lease is longer than intended.
"""

import random
from unittest import mock

import result

from portwharf.core import data
from portwharf.platform import heartbeats
from portwharf.platform import http_client
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.testing import platform_runner
from portwharf import workers

SEEDS = 200
STEPS = 120
LEASE_MS = 4000
# Longest time from the listing that a lease is based on to its order.
SLACK_MS = 1000
STEP_MS = 50


class InvariantError(AssertionError):
    """An invariant was violated."""


class Runner(platform_runner.FakePlatformRunner):
    """A runner with a manual clock that records what is acknowledged."""

    def __init__(self):
        self.now_ms = 0
        self.acknowledged = set()
        self.lost_replies = 0
        # The birth time that it reports, None for the true one.
        self.reported_born_ms = None
        super().__init__()

    def restart(self, instance):
        self.now_ms = 0
        super().restart(instance)

    def read_ms(self):
        return self.now_ms

    def answer(self, path, body, meant):
        """Carry out a request; returns its ``http_client.Reply``."""
        until = body.get('untilMs', 0)
        if (
            meant == self.instance
            and until > self.now_ms + LEASE_MS + SLACK_MS
        ):
            raise InvariantError(f'a lease until {until} at {self.now_ms}')
        verb = path.removeprefix('/portwharf/')
        before = {(row[1], row[2]) for row in self.ended}
        status, value = self._execute(verb, body, meant)
        self.acknowledged |= before - {(row[1], row[2]) for row in self.ended}
        if 'born' in value:
            value['born'] = self.reported_born_ms or self.born_ms
        return http_client.Reply(status, {**value, 'clockMs': self.now_ms})


class Connection:
    """A connection to the incarnation that ran when it was opened."""

    def __init__(self, fake):
        self._fake = fake
        self._born_ms = None

    @property
    def is_open(self):
        """Whether its incarnation still runs."""
        return self._born_ms == self._fake.born_ms

    def open(self, seconds):
        """Connect to the current incarnation."""
        self._born_ms = self._fake.born_ms
        return result.Ok(None)

    def close(self):
        """Close the connection."""
        self._born_ms = None

    def call(self, method, path, seconds, body, headers):
        """Send a request, unless its incarnation has ended."""
        if not self.is_open:
            return result.Err(http_client.NoReply('reset', sent=True))
        meant = headers.get('Portwharf-Target-Instance', '')
        fake = self._fake
        reply = fake.answer(path, body, meant or fake.instance)
        if fake.lost_replies:
            fake.lost_replies -= 1
            self.close()
            return result.Err(http_client.NoReply('lost', sent=True))
        return result.Ok(reply)


class Walk:
    """One walk, determined by its seed."""

    def __init__(self, seed, reported_born_ms=None):
        self.random = random.Random(seed)
        self.fake = Runner()
        self.fake.reported_born_ms = reported_born_ms
        self.client = runner.RunnerWorker(self.fake, lambda: 7, 6000)
        self.heartbeats = []
        self.listing = workers.Listing()
        self.logged = set()
        self.tasks = 0

    def run(self):
        """Run all steps.

        :raises InvariantError: an invariant was violated
        """
        self.deliver_heartbeat()
        for _ in range(STEPS):
            self.fake.now_ms += STEP_MS
            self.random.choice(ACTIONS)(self)
            unlogged = self.fake.acknowledged - self.logged
            if unlogged:
                raise InvariantError(
                    f'acknowledged and never logged: {unlogged}'
                )

    def deliver_heartbeat(self):
        """Deliver a heartbeat."""
        fake = self.fake
        body = fake.make_heartbeat(born=fake.reported_born_ms or fake.born_ms)
        self.heartbeats.append(body)
        self.client.record_heartbeat(heartbeats.parse_life('i-1', body))

    def deliver_late_heartbeat(self):
        """Deliver a heartbeat again, possibly of a former incarnation."""
        body = self.random.choice(self.heartbeats)
        self.client.record_heartbeat(heartbeats.parse_life('i-1', body))

    def read_listing(self):
        """Read the listing, and log the ended attempts in it.

        :returns: whether there was a listing
        """
        answer = self.client.read_listing()
        if answer.is_err():
            return False
        self.listing = answer.ok_value
        ended = {
            (one.task, one.attempt)
            for one in self.listing.attempts
            if one.state != data.RunState.RUNNING
        }
        listed = {(row[1], row[2]) for row in self.fake.ended}
        if listed - ended - self.logged:
            raise InvariantError(
                f'passed over: {listed - ended - self.logged}'
            )
        self.logged |= ended
        return True

    def start(self):
        """Start an attempt, based on the last listing."""
        self.tasks += 1
        start = workers.Start(f'5c0e7a21d94b36f8.0.0.{self.tasks}', 1)
        start.lease_until_ms = self.listing.now_ms + LEASE_MS
        start.life = self.listing.life
        self.client.start(start)

    def read_unused_listing(self):
        """Read a listing that later starts are not based on."""
        self.client.read_listing()

    def renew(self):
        """Read the listing, and renew the leases based on it."""
        if self.read_listing():
            self.client.renew(self.listing.now_ms + LEASE_MS)

    def end_attempt(self):
        """End a running attempt."""
        if self.fake.running:
            self.fake.end_run(self.random.choice(list(self.fake.running)))

    def forget(self):
        """Mark all logged attempts to be dropped."""
        for task, attempt in self.logged:
            self.client.forget(task, attempt)

    def restart(self):
        """Restart the runner under its instance id."""
        self.fake.restart('i-1')

    def lose_replies(self):
        """Lose the next responses."""
        self.fake.lost_replies = self.random.randint(1, 2)


ACTIONS = (
    *(Walk.start, Walk.start, Walk.start, Walk.end_attempt, Walk.end_attempt),
    *(
        Walk.read_listing,
        Walk.read_listing,
        Walk.renew,
        Walk.forget,
        Walk.forget,
    ),
    *(
        Walk.deliver_heartbeat,
        Walk.deliver_late_heartbeat,
        Walk.restart,
        Walk.lose_replies,
        Walk.read_unused_listing,
    ),
)


def walk_all(reported_born_ms=None):
    """Walk for each seed; returns the first violation, or None.

    :param reported_born_ms: the birth time that all incarnations report, None
        for the true one of each
    """
    with mock.patch.object(
        runner_connection.http_client, 'Connection', Connection
    ):
        for seed in range(SEEDS):
            try:
                Walk(seed, reported_born_ms).run()
            except InvariantError as exc:
                return seed, str(exc)
    return None


def test_walks_with_restarts_keep_the_invariants(case):
    case.assertIsNone(walk_all())


def test_walks_find_incarnations_distinguished_by_their_ids_only(case):
    seed, reason = walk_all(reported_born_ms=1)
    case.assertEqual(seed, 0, reason)


def test_walks_find_starts_based_on_the_listing_of_another_incarnation(case):
    def check(self, life):
        return (
            self._incarnations.check_start()
            or self._reach(self._order_conn).err()
        )

    with mock.patch.object(runner.RunnerWorker, '_check_start', check):
        case.assertIsNotNone(walk_all())
