# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A random walk of a side's client beside a runner that is born again.

Heartbeats come late, answers are lost, connections break, and each life has
the id of the one before it. Whatever comes: no end is acknowledged that was
not logged, none that is listed is passed over, and no lease is longer than
was meant.
"""

import random
from unittest import mock

import result

from portwharf.core import data
from portwharf.platform import beats
from portwharf.platform import http_client
from portwharf.platform import line
from portwharf.platform import runner
from portwharf.testing import platform_runner
from portwharf import workers

SEEDS = 200
STEPS = 120
LEASE_MS = 4000
# What may pass between the list that a lease is reckoned by and its order.
SLACK_MS = 1000
STEP_MS = 50


class Broken(AssertionError):
    """Something that must always hold did not."""


class Runner(platform_runner.RunnerStandIn):
    """A runner that is called by hand, and notes what may go."""

    def __init__(self):
        self.now_ms = 0
        self.noted = set()
        self.loses = 0
        # What it says of its birth, if not the truth.
        self.told_ms = None
        super().__init__()

    def begin_life(self, instance):
        self.now_ms = 0
        super().begin_life(instance)

    def read_ms(self):
        return self.now_ms

    def answer(self, path, body, meant):
        """Carry out a call; returns its ``http_client.Reply``."""
        until = body.get('untilMs', 0)
        if (
            meant == self.instance
            and until > self.now_ms + LEASE_MS + SLACK_MS
        ):
            raise Broken(f'a lease until {until} at {self.now_ms}')
        verb = path.removeprefix('/portwharf/')
        before = {(row[1], row[2]) for row in self.ended}
        status, value = self._obey(verb, body, meant)
        self.noted |= before - {(row[1], row[2]) for row in self.ended}
        if 'born' in value:
            value['born'] = self.told_ms or self.born_ms
        return http_client.Reply(status, {**value, 'clockMs': self.now_ms})


class Connection:
    """A connection to the life that was there when it was opened."""

    def __init__(self, standin):
        self._standin = standin
        self._born_ms = None

    @property
    def is_open(self):
        """Whether its life is still there."""
        return self._born_ms == self._standin.born_ms

    def open(self, seconds):
        """Connect to whichever life is there."""
        self._born_ms = self._standin.born_ms
        return result.Ok(None)

    def close(self):
        """End it."""
        self._born_ms = None

    def call(self, method, path, seconds, body, headers):
        """Have a call carried out, unless the life is another one."""
        if not self.is_open:
            return result.Err(http_client.NoReply('reset', sent=True))
        meant = headers.get('Portwharf-Target-Instance', '')
        standin = self._standin
        reply = standin.answer(path, body, meant or standin.instance)
        if standin.loses:
            standin.loses -= 1
            self.close()
            return result.Err(http_client.NoReply('lost', sent=True))
        return result.Ok(reply)


class Walk:
    """One walk, by its seed."""

    def __init__(self, seed, told_ms=None):
        self.random = random.Random(seed)
        self.standin = Runner()
        self.standin.told_ms = told_ms
        self.client = runner.RunnerWorker(self.standin, lambda: 7, 6000)
        self.beats = []
        self.listing = workers.Listing()
        self.logged = set()
        self.tasks = 0

    def run(self):
        """Walk; raises :class:`Broken`."""
        self.hear()
        for _ in range(STEPS):
            self.standin.now_ms += STEP_MS
            self.random.choice(ACTIONS)(self)
            strange = self.standin.noted - self.logged
            if strange:
                raise Broken(f'acknowledged and never logged: {strange}')

    def hear(self):
        """A heartbeat comes."""
        standin = self.standin
        body = standin.make_beat(born=standin.told_ms or standin.born_ms)
        self.beats.append(body)
        self.client.record_heartbeat(beats.parse_life('i-1', body))

    def hear_late(self):
        """A heartbeat comes once more, maybe of a life that is over."""
        body = self.random.choice(self.beats)
        self.client.record_heartbeat(beats.parse_life('i-1', body))

    def look(self):
        """Read the list, and log what it shows to have ended.

        :returns: whether there was one
        """
        asked = self.client.read_listing()
        if asked.is_err():
            return False
        self.listing = asked.ok_value
        seen = {
            (one.task, one.attempt)
            for one in self.listing.attempts
            if one.state != data.RunState.RUNNING
        }
        there = {(row[1], row[2]) for row in self.standin.ended}
        if there - seen - self.logged:
            raise Broken(f'passed over: {there - seen - self.logged}')
        self.logged |= seen
        return True

    def start(self):
        """Begin an attempt, by what the last list says."""
        self.tasks += 1
        start = workers.Start(f'5c0e7a21d94b36f8.0.0.{self.tasks}', 1)
        start.lease_until_ms = self.listing.now_ms + LEASE_MS
        start.life = self.listing.life
        self.client.start(start)

    def look_past(self):
        """Look for another reason; starts go by the list before."""
        self.client.read_listing()

    def renew(self):
        """Look, and renew the leases by it."""
        if self.look():
            self.client.renew(self.listing.now_ms + LEASE_MS)

    def finish(self):
        """A run comes to its end."""
        if self.standin.running:
            self.standin.end_run(
                self.random.choice(list(self.standin.running))
            )

    def forget(self):
        """What was logged may go."""
        for task, attempt in self.logged:
            self.client.forget(task, attempt)

    def bear(self):
        """The runner begins again, under its id."""
        self.standin.begin_life('i-1')

    def lose(self):
        """The next answers are lost."""
        self.standin.loses = self.random.randint(1, 2)


ACTIONS = (
    *(Walk.start, Walk.start, Walk.start, Walk.finish, Walk.finish),
    *(Walk.look, Walk.look, Walk.renew, Walk.forget, Walk.forget),
    *(Walk.hear, Walk.hear_late, Walk.bear, Walk.lose, Walk.look_past),
)


def walk_all(told_ms=None):
    """Walk for each seed; returns what broke first, or None.

    :param told_ms: the birth that each life tells, if not its own
    """
    with mock.patch.object(line.http_client, 'Connection', Connection):
        for seed in range(SEEDS):
            try:
                Walk(seed, told_ms).run()
            except Broken as exc:
                return seed, str(exc)
    return None


def test_walks_beside_a_runner_that_is_born_again(case):
    case.assertIsNone(walk_all())


def test_lives_told_by_their_ids_alone_are_found(case):
    seed, reason = walk_all(told_ms=1)
    case.assertEqual(seed, 0, reason)


def test_starts_by_the_list_of_another_life_are_found(case):
    def check(self, life):
        return self._lives.check_start() or self._reach(self._order_conn).err()

    with mock.patch.object(runner.RunnerWorker, '_check_start', check):
        case.assertIsNotNone(walk_all())
