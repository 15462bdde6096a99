# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A runner on a manual clock whose orders may be lost or arrive late.

It is told which attempts the owner has given up as lost, and raises
:class:`InvariantError` if one of them begins, runs, or is listed as done under
a lease that has lasted since its end.
"""

import result

from portwharf.platform import http_client
from portwharf.testing import platform_runner

MAX_DELAY_SECONDS = 12.0
MAX_OVERTAKING = 8
# Ended attempts that the runner lists at once.
PAGE_ROWS = 500
# Longest time that a call takes.
CALL_SECONDS = 0.1
STOP_SECONDS = 1.0


class InvariantError(AssertionError):
    """An invariant was violated."""


class LateRunner(platform_runner.FakePlatformRunner):
    """A runner on a manual clock whose orders may arrive late.

    :ivar lost: the reason of each (task, attempt) that the owner has given
        up as gone or refused
    :ivar dropped: the (task, attempt) whose success was acknowledged
    :ivar silent_until: end of its silence, on the manual clock
    :ivar fault_rate: probability that an order is lost or late
    :ivar unanswered_starts: how many of the next starts are lost or late
    """

    def __init__(self, manual_clock, rng):
        self.clock = manual_clock
        self.random = rng
        self.lost = {}
        self.dropped = set()
        self.silent_until = 0.0
        self.fault_rate = 0.0
        self.unanswered_starts = 0
        self.is_down = False
        # Orders under way: when they arrive, the birth time of the
        # incarnation that they are sent to, and the order.
        self._under_way = []
        # The same, but how many later orders overtake each of them.
        self._overtaken = []
        # Numbers of the ended attempts whose lease has lapsed since.
        self._lapsed_numbers = set()
        # When running attempts that were told to stop do so, by task.
        self._stopping = {}
        # The slowest clock that a runner may have.
        self._rate = rng.choice((1.0, 0.98))
        super().__init__()

    def restart(self, instance):
        self._boot_at = self.clock.read_monotonic()
        self._lapsed_numbers = set()
        self._stopping = {}
        super().restart(instance)

    def read_ms(self):
        elapsed = self.clock.read_monotonic() - self._boot_at
        return int(elapsed * 1000 * self._rate)

    def send(self, path, body, target, born_ms):
        """Carry out an order now, later or never.

        :returns: Ok(http_client.Reply), or Err(http_client.NoReply)
        """
        order = (path.removeprefix('/portwharf/'), body, target)
        self._carry_out_overtaken()
        now = self.clock.read_monotonic()
        if now < self.silent_until:
            self._delay(self.silent_until, born_ms, order)
            return make_lost_reply()
        if self.unanswered_starts and order[0] == 'run-start':
            self.unanswered_starts -= 1
            self._delay(now, born_ms, order)
            return make_lost_reply()
        if self.random.random() >= self.fault_rate:
            return result.Ok(self._answer(*order))
        fault = self.random.choice(('late', 'reply lost', 'unhealthy', 'lost'))
        if fault == 'late':
            self._delay(now, born_ms, order)
        elif fault == 'reply lost':
            self._answer(*order)
        elif fault == 'unhealthy':
            return result.Ok(http_client.Reply(503, {}))
        return make_lost_reply()

    def update(self):
        """Carry out the orders that have arrived, and end expired leases."""
        now = self.clock.read_monotonic()
        due = sorted(
            (row for row in self._under_way if row[0] <= now),
            key=lambda row: row[0],
        )
        self._under_way = [row for row in self._under_way if row[0] > now]
        self._end_lease()
        for task in [t for t, at in self._stopping.items() if at <= now]:
            del self._stopping[task]
            if task in self.running:
                self.end_run(task, 'stopped')
        for _, born_ms, order in due:
            self._arrive(born_ms, order)

    def end_some_run(self):
        """End a running attempt as done."""
        if self.running:
            self.end_run(self.random.choice(sorted(self.running)))

    def check(self):
        """Check that no lost attempt runs.

        :raises InvariantError: one does
        """
        for name in self.running.items():
            if name in self.lost:
                self._fail(name, 'runs')

    def _delay(self, since, born_ms, order):
        kind = self.random.choice(('time', 'overtaken', 'lost'))
        if kind == 'time':
            arrives_at = since + self.random.uniform(0, MAX_DELAY_SECONDS)
            self._under_way.append((arrives_at, born_ms, order))
        elif kind == 'overtaken':
            count = self.random.randint(1, MAX_OVERTAKING)
            self._overtaken.append([count, born_ms, order])

    def _carry_out_overtaken(self):
        if self.clock.read_monotonic() < self.silent_until:
            return
        for row in list(self._overtaken):
            row[0] -= 1
            if row[0] == 0:
                self._overtaken.remove(row)
                self._arrive(*row[1:])

    def _arrive(self, born_ms, order):
        if born_ms == self.born_ms and not self.is_down:
            self._answer(*order)

    def _answer(self, verb, body, target):
        with self._lock:
            status, value = self._execute(verb, body, target)
        if 'born' in value:
            value['born'] = self.born_ms
        return http_client.Reply(status, {**value, 'clockMs': self.read_ms()})

    def _end_lease(self):
        if self.read_ms() < self._until_ms:
            return
        for task in list(self.running):
            self.end_run(task, 'lapsed')
        self._lapsed_numbers.update(row[0] for row in self.ended)

    def _start(self, body):
        name = (body['task'], body['run'])
        has_begun = self.running.get(name[0]) == name[1]
        if self._until_ms <= self.read_ms():
            return 409, {'reason': 'late'}
        # The lease may have been renewed since the start was sent.
        status, value = super()._start({**body, 'untilMs': self._until_ms})
        if status == 200 and not has_begun and name in self.lost:
            self._fail(name, 'begins')
        return status, value

    def _stop(self, body):
        task, run = body['task'], body['run']
        if self.running.get(task) != run:
            return super()._stop(body)
        self._over[task] = max(run, self._over.get(task, 0))
        takes = self.random.uniform(0, STOP_SECONDS)
        self._stopping.setdefault(task, self.clock.read_monotonic() + takes)
        return 200, {}

    def _hold(self, body):
        before = {(row[1], row[2]) for row in self.ended if row[3] == 'done'}
        status, value = super()._hold(body)
        self.dropped |= before - {(row[1], row[2]) for row in self.ended}
        value['ended'] = value['ended'][:PAGE_ROWS]
        for number, task, run, how, _ in value['ended']:
            is_leased = number not in self._lapsed_numbers
            if how == 'done' and is_leased and (task, run) in self.lost:
                self._fail((task, run), 'is done')
        return status, value

    def _fail(self, name, text):
        raise InvariantError(f'{name} {text}, but: {self.lost[name]}')


class Connection:
    """A connection to the incarnation that ran when it was opened."""

    def __init__(self, fake):
        self._fake = fake
        self._born_ms = None

    @property
    def is_open(self):
        """Whether its incarnation still runs."""
        return self._born_ms == self._fake.born_ms and not self._fake.is_down

    def open(self, seconds):
        """Connect to the current incarnation."""
        if self._fake.is_down:
            return result.Err(http_client.NoReply('refused', refused=True))
        self._born_ms = self._fake.born_ms
        return result.Ok(None)

    def close(self):
        """Close the connection."""
        self._born_ms = None

    def call(self, method, path, seconds, body, headers):
        """Send a request, unless its incarnation has ended."""
        if not self.is_open:
            return result.Err(http_client.NoReply('reset', sent=True))
        fake = self._fake
        fake.clock.advance(fake.random.uniform(0, CALL_SECONDS))
        fake.update()
        target = headers.get('Portwharf-Target-Instance') or fake.instance
        answer = fake.send(path, body, target, self._born_ms)
        if answer.is_err():
            self.close()
            fake.clock.advance(seconds)
            fake.update()
        return answer


def make_lost_reply():
    """Return what a client gets that waits in vain for a reply."""
    return result.Err(http_client.NoReply('timed out', sent=True))
