# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A small stand-in of a runner of the users' platform, by its protocol.

Runs under a lease, fencing tokens, ends that are listed until they are
acknowledged, lives, and starts that are left unanswered. A new life may have
the id of the one before it: then only the time of its start tells them apart.
"""

import itertools
import json
import threading
import time

from portwharf.core import settings
from portwharf.testing import fixtures
from portwharf.testing import platform_store
from portwharf.testing import relay

# When its first life began; each later one 1 ms after the one before.
FIRST_BORN_MS = 1_790_000_000_000


def serve_runner(case):
    """Return a stand-in whose connections break with its lives.

    :returns: the :class:`RunnerStandIn`, and the Endpoint that it is at
    """
    standin = RunnerStandIn()
    port = fixtures.serve(case, standin, threads=6)
    way = case.enterContext(relay.Relay('127.0.0.1', 0, port))
    standin.break_connections = way.cut
    return standin, settings.Endpoint('127.0.0.1', way.port)


class RunnerStandIn:
    """The WSGI application of one runner."""

    def __init__(self, instance='i-1'):
        self._lock = threading.Condition()
        self._births = itertools.count(FIRST_BORN_MS)
        # What ends the connections to a life that is over.
        self.break_connections = lambda: None
        self.begin_life(instance)
        # The next starts are carried out, and then answered with 500.
        self.lose_answers = 0
        # The next calls are refused, as by a runner that is not well.
        self.unhealthy = 0
        self.orders = []
        # What starts have to bring, '' for nothing.
        self.ticket = ''

    def begin_life(self, instance):
        """Begin anew, as after a crash, under another id or the same."""
        with self._lock:
            self.instance = instance
            self.born_ms = next(self._births)
            self.seq = 0
            self.running = {}
            self.ended = []
            self.fence = 0
            self._over = {}
            self._numbers = 0
            self._until_ms = 0
        self.break_connections()

    def end_run(self, task, how='done', saved=''):
        """Have a run come to its end."""
        with self._lock:
            run = self.running.pop(task)
            self._note_end(task, run, how, saved)

    def read_ms(self):
        """Return the runner's clock."""
        return int(time.monotonic() * 1000)

    def make_beat(self, **fields):
        """Return the next heartbeat, with some fields otherwise."""
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
        body = json.loads(environ['wsgi.input'].read(size))
        verb = environ['PATH_INFO'].removeprefix('/portwharf/')
        meant = environ.get('HTTP_PORTWHARF_TARGET_INSTANCE', self.instance)
        with self._lock:
            self.orders.append((verb, dict(body)))
            status, value = self._obey(verb, body, meant)
        value['clockMs'] = self.read_ms()
        return platform_store.answer(start_response, status, value)

    def carry_out(self, verb, body):
        """Carry out an order late; returns the status of its answer."""
        with self._lock:
            status, _ = self._obey(verb, body, self.instance)
        return status

    def _obey(self, verb, body, meant):
        if meant != self.instance:
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
        return calls[verb](body)

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
            self._note_end(task, run, 'stopped', 'kept')
        return 200, {}

    def _hold(self, body):
        acked = body.get('ackedUpto', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended and body.get('waitMs'):
            self._lock.wait(body['waitMs'] / 1000)
        rows = [[task, run, '', 5, 7] for task, run in self.running.items()]
        value = {'running': rows, 'ended': list(self.ended)}
        return 200, {**value, 'born': self.born_ms}

    def _pace(self, body):
        return 200, {}

    def _note_end(self, task, run, how, saved):
        self._numbers += 1
        self._over[task] = max(run, self._over.get(task, 0))
        self.ended.append([self._numbers, task, run, how, saved])
        self._lock.notify_all()
