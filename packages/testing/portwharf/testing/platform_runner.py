# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fake of a runner of the users' platform, speaking its protocol.

It runs tasks under a lease, checks fencing tokens, and lists ended runs until
they are acknowledged. It can be restarted, under another instance id or the
same: then only the start time tells the two incarnations apart. The answers to
starts can be lost.
"""

import itertools
import json
import threading
import time
from unittest import mock

from portwharf.core import settings
from portwharf.platform import http_client
from portwharf.platform import runner
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf.testing import relay

# Start time of the first incarnation; each later one starts 1 ms after the
# last.
FIRST_BORN_MS = 1_790_000_000_000
# Longest pause of a test's process that its calls outlast.
PAUSE_SECONDS = 10
# Most ended runs in one answer; the others follow once these are acknowledged.
MAX_LISTED_ENDS = 500


def serve_runner(case):
    """Serve a fake runner; a restart breaks the connections to it.

    :returns: the :class:`FakePlatformRunner` and its ``settings.Endpoint``
    """
    fake = FakePlatformRunner()
    port = fixtures.serve(case, fake, threads=6)
    proxy = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    fake.break_connections = proxy.cut
    return fake, settings.Endpoint('127.0.0.1', proxy.port)


class PatientConnection(http_client.Connection):
    """A connection whose calls outlast a pause of the test's process."""

    def open(self, seconds):
        """Connect, with a longer timeout."""
        return super().open(seconds + PAUSE_SECONDS)

    def call(self, method, path, seconds, body, headers):
        """Send a request, with a longer timeout."""
        seconds += PAUSE_SECONDS
        return super().call(method, path, seconds, body, headers)


def open_client(place, read_token, max_hold_ms=6000):
    """Return a ``runner.RunnerWorker`` that no pause makes give up a call.

    :param place: the runner's ``settings.Endpoint``
    """
    with mock.patch.object(http_client, 'Connection', PatientConnection):
        return runner.RunnerWorker(place, read_token, max_hold_ms)


class FakePlatformRunner:
    """A runner, as a WSGI application.

    :ivar break_connections: function that closes all connections to it
    :ivar lose_answers: number of starts that take effect, then get a 500
    :ivar unhealthy: number of calls that are answered with 503
    :ivar orders: name and body of each order received
    :ivar ticket: ticket that a start must carry, '' for none
    :ivar instance: instance id of the current incarnation
    :ivar born_ms: start time of the current incarnation, Unix milliseconds
    :ivar running: map of task to run number
    :ivar ended: rows of ended runs that are not acknowledged yet
    :ivar fence: highest fencing token received
    :ivar odd_running: rows that are listed besides those of running tasks
    :ivar odd_ended: rows that are listed besides those of ended runs
    """

    def __init__(self, instance='i-1'):
        self._lock = threading.Condition()
        self._start_times_ms = itertools.count(FIRST_BORN_MS)
        self.break_connections = lambda: None
        self.restart(instance)
        self.lose_answers = 0
        self.unhealthy = 0
        self.orders = []
        self.ticket = ''
        self.odd_running = []
        self.odd_ended = []
        # Number of requests accepted whose answer may wait for an end.
        self._wait_count = 0

    def restart(self, instance):
        """Restart without any runs, as after a crash.

        :param instance: new instance id, which may be the old one
        """
        with self._lock:
            self.instance = instance
            self.born_ms = next(self._start_times_ms)
            self.seq = 0
            self.running = {}
            self.ended = []
            self.fence = 0
            # Highest run number that has ended or been stopped, by task.
            self._over = {}
            # Number of the latest row of ``ended``.
            self._numbers = 0
            self._until_ms = 0
        self.break_connections()

    def end_run(self, task, how='done', saved=''):
        """End a running task."""
        with self._lock:
            run = self.running.pop(task)
            self._record_end(task, run, how, saved)

    def wait_for_hold(self, seconds=10):
        """Wait for the next request whose answer may wait for an end.

        :returns: whether one was accepted in time
        """
        with self._lock:
            before = self._wait_count
            return self._lock.wait_for(
                lambda: self._wait_count > before, seconds
            )

    def read_ms(self):
        """Return the runner's monotonic clock, in milliseconds."""
        return int(time.monotonic() * 1000)

    def make_heartbeat(self, **fields):
        """Return the next heartbeat; fields override its values."""
        self.seq += 1
        return {
            'service': 'pool',
            'zone': 'zone',
            'state': 'ready',
            'capacity': {'cpu': 8000, 'memMb': 1000, 'gpu': 0},
            'labels': ['a'],
            'seq': self.seq,
            'born': self.born_ms,
            **fields,
        }

    def __call__(self, environ, start_response):
        size = int(environ.get('CONTENT_LENGTH') or 0)
        payload = environ['wsgi.input'].read(size)
        if len(payload) < size:
            # The connection was cut; nobody reads the answer.
            return platform_store.answer(start_response, 400, {})
        body = json.loads(payload)
        order = environ['PATH_INFO'].removeprefix('/portwharf/')
        target_instance = environ.get(
            'HTTP_PORTWHARF_TARGET_INSTANCE', self.instance
        )
        with self._lock:
            self.orders.append((order, dict(body)))
            status, value = self._execute(order, body, target_instance)
        value['clockMs'] = self.read_ms()
        return platform_store.answer(start_response, status, value)

    def carry_out(self, order, body):
        """Execute an order directly, as one that arrives late.

        :returns: the status of its answer
        """
        with self._lock:
            status, _ = self._execute(order, body, self.instance)
        return status

    def _execute(self, order, body, target_instance):
        if target_instance != self.instance:
            return 421, {}
        if self.unhealthy:
            self.unhealthy -= 1
            return 503, {}
        if body['fence'] < self.fence:
            return 409, {'reason': 'fence'}
        self.fence = body['fence']
        self._until_ms = max(self._until_ms, body.get('untilMs', 0))
        calls = {
            'run-start': self._start,
            'run-stop': self._stop,
            'hold': self._hold,
            'pace': self._pace,
        }
        return calls[order](body)

    def _start(self, body):
        task, run = body['task'], body['run']
        if self.running.get(task) == run:
            return 200, {}
        if run <= self._over.get(task, 0):
            return 409, {'reason': 'old'}
        if body.get('ticket', '') != self.ticket:
            return 409, {'reason': 'ticket'}
        if body['untilMs'] <= self.read_ms():
            return 409, {'reason': 'late'}
        self.running[task] = run
        if self.lose_answers:
            self.lose_answers -= 1
            return 500, {}
        return 200, {}

    def _stop(self, body):
        task, run = body['task'], body['run']
        self._over[task] = max(run, self._over.get(task, 0))
        if self.running.get(task) == run:
            del self.running[task]
            self._record_end(task, run, 'stopped', 'kept')
        return 200, {}

    def _hold(self, body):
        acked = body.get('ackedUpto', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if body.get('waitMs'):
            self._wait_count += 1
            self._lock.notify_all()
            self._lock.wait_for(lambda: self.ended, body['waitMs'] / 1000)
        rows = [[task, run, '', 5, 7] for task, run in self.running.items()]
        value = {
            'running': rows + self.odd_running,
            'ended': self.ended[:MAX_LISTED_ENDS] + self.odd_ended,
        }
        return 200, {**value, 'born': self.born_ms}

    def _pace(self, body):
        return 200, {}

    def _record_end(self, task, run, how, saved):
        self._numbers += 1
        self._over[task] = max(run, self._over.get(task, 0))
        self.ended.append([self._numbers, task, run, how, saved])
        self._lock.notify_all()
