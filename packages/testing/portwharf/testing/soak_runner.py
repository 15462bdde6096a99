# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A runner for the soak: its tasks take time, save, fail and lapse.

What a task does is written in its job's text, as JSON: for each step how
long it runs, what it takes and how often it fails. The runner keeps a record
of what ran when, which the checks read, and it guards its capacity.
"""

import dataclasses
import json
import logging
import threading
import time

import urllib3

from portwharf.testing import platform_runner
from portwharf.testing import soak_pressure

LOG = logging.getLogger(__name__)

CPU_MILLI = 4000
MEMORY_MB = 8000
BEAT_SECONDS = 0.5
_TICK_SECONDS = 0.02
# A heartbeat of a life that is over comes as late as this.
_LATE_BEAT_SECONDS = 1.7
# An order without an answer is held for longer than a side waits.
_HELD_SECONDS = 0.6
# A task that crashes its runner does so this soon after its start.
_CRASH_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Span:
    """One run, by the runner's own record.

    :param ended: None while it runs
    :param acked: when its end was acknowledged, or None
    """

    task: str = ''
    run: int = 0
    spec: str = ''
    saved: str = ''
    life: str = ''
    began: float = 0.0
    ended: float = None
    how: str = ''
    acked: float = None


@dataclasses.dataclass(slots=True)
class Work:
    """What a task does, by its job's text.

    :param crashes: the first task of the step crashes its runner
    """

    ms: int = 0
    cpu: int = 0
    memory: int = 0
    fails: int = 0
    lasts: bool = False
    saves: bool = False
    serves: bool = False
    fills: bool = False
    crashes: bool = False


def read_work(spec, task):
    """Return the :class:`Work` of a task named ID.TIME.STEP.NUMBER."""
    step = int(task.split('.')[2])
    return Work(**json.loads(spec)['steps'][step])


def _find(span):
    """Return the :class:`Work` of a run."""
    return read_work(span.spec, span.task)


class SoakRunner(platform_runner.RunnerStandIn):
    """One runner; a context manager that sends heartbeats."""

    def __init__(self, name, address, control, speed):
        """Take its name, where it listens, and its side's control URL.

        :param speed: of its clock, against true time
        """
        self._name = name
        self._address = address
        self._control = control
        self._speed = speed
        self._lives = 0
        self.record = []
        self.numbered = {}
        self.silent = False
        self.draining = False
        # The shares that running tasks were told to work at, by name.
        self._paces = {}
        # Share of starts that get no answer and are carried out late.
        self.late_starts = 0
        self._late = []
        self._lapsed = 0.0
        # What it can hold now.
        self.cpu_milli = CPU_MILLI
        self._ending = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        super().__init__(f'{name}-0')

    def __enter__(self):
        for work in (self._tick_on, self._beat_on):
            threading.Thread(target=work, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self._ending.set()

    def crash(self):
        """Lose all that runs, and begin a new life.

        Every second one has the id of the life before it.
        """
        with self._lock:
            for span in self._list_open():
                self._close(span, 'crashed')
            self._lives += 1
            self._late = []
            self.numbered = {}
        self.begin_life(f'{self._name}-{self._lives // 2}')

    def read_ms(self):
        """Return the runner's own clock."""
        return int(time.monotonic() * 1000 * self._speed)

    def __call__(self, environ, start_response):
        while self.silent and not self._ending.is_set():
            time.sleep(_TICK_SECONDS)
        with self._lock:
            self._note_lapse()
        return super().__call__(environ, start_response)

    def _start(self, body):
        if self.late_starts > 0:
            self.late_starts -= 1
            self._late.append((time.monotonic() + 2.5, self.instance, body))
            self._lock.wait(_HELD_SECONDS)
            return 500, {}
        return self._begin(body)

    def _begin(self, body):
        task, run = body['task'], body['run']
        work = read_work(body['spec'], task)
        if self.running.get(task) != run and not self._has_room(work):
            return 409, {'reason': 'room'}
        known = self.running.get(task)
        status, value = super()._start(body)
        if status == 200 and known != run:
            self.record.append(
                Span(
                    task,
                    run,
                    body['spec'],
                    body.get('saved', ''),
                    f'{self.instance}@{self.born_ms}',
                    time.monotonic(),
                )
            )
            self._paces[task] = soak_pressure.FULL
            if work.crashes and task.endswith('.0'):
                self._crash_soon(task, run)
        return status, value

    def _crash_soon(self, task, run):
        """Crash under a run, unless it has ended by then."""

        def crash():
            with self._lock:
                runs = self._find_open(task, run) is not None
            if runs:
                self.crash()

        timer = threading.Timer(_CRASH_SECONDS, crash)
        timer.daemon = True
        timer.start()

    def list_fills(self):
        """Return the shares, in percent, that filling tasks work at."""
        with self._lock:
            return self._list_fills()

    def list_servers(self):
        """Return the names of the tasks that serve."""
        with self._lock:
            return [s.task for s in self._list_open() if _find(s).serves]

    def _list_fills(self):
        fills = [s.task for s in self._list_open() if _find(s).fills]
        return [self._paces[task] for task in fills]

    def _pace(self, body):
        if self.running.get(body['task']) == body['run']:
            self._paces[body['task']] = body['percent']
        return 200, {}

    def _hold(self, body):
        now = time.monotonic()
        for number, span in self.numbered.items():
            reached = number <= body.get('ackedUpto', 0)
            # With the lease gone in between, the side was given up, and
            # what it acknowledges may have been run again since.
            if reached and span.acked is None and span.ended > self._lapsed:
                span.acked = now
        status, value = super()._hold(body)
        if status == 200:
            self._write_figures(value['running'])
        return status, value

    def _write_figures(self, rows):
        """Put tails and processors into a listing's rows, as they are."""
        tail = soak_pressure.find_tail(self._list_fills())
        for row in rows:
            span = self._find_open(row[0], row[1])
            work = _find(span) if span is not None else Work()
            if work.serves:
                row[4] = tail
            elif work.fills:
                row[4] = soak_pressure.find_use(self._paces[span.task])

    def _has_room(self, work):
        used = [_find(span) for span in self._list_open()]
        cpu = sum(one.cpu for one in used) + work.cpu
        memory = sum(one.memory for one in used) + work.memory
        return cpu <= self.cpu_milli and memory <= MEMORY_MB

    def _list_open(self):
        return [span for span in self.record if span.ended is None]

    def _find_open(self, task, run):
        for span in reversed(self.record):
            if (span.task, span.run, span.ended) == (task, run, None):
                return span
        return None

    def _close(self, span, how):
        span.ended = time.monotonic()
        span.how = how

    def _note_end(self, task, run, how, saved):
        span = self._find_open(task, run)
        if span is not None:
            work = read_work(span.spec, task)
            kept = work.saves and how in ('stopped', 'lapsed')
            saved = f'{task}|{self._count_done(span)}' if kept else ''
            self._close(span, how)
        super()._note_end(task, run, how, saved)
        if span is not None:
            self.numbered[self._numbers] = span

    def _count_done(self, span):
        """Return the ms of work that a run has done, with what it resumed."""
        before = int(span.saved.rpartition('|')[2] or 0)
        return before + int((time.monotonic() - span.began) * 1000)

    def _tick_on(self):
        while not self._ending.wait(_TICK_SECONDS):
            with self._lock:
                self._carry_out_late()
                if self._note_lapse():
                    for task in list(self.running):
                        self._end_run(task, 'lapsed')
                for span in self._list_open():
                    self._end_if_done(span)

    def _note_lapse(self):
        """Tell whether the lease is over, and remember when it was."""
        if self.read_ms() < self._until_ms:
            return False
        self._lapsed = time.monotonic()
        return True

    def _carry_out_late(self):
        now = time.monotonic()
        due = [row for row in self._late if row[0] <= now]
        self._late = [row for row in self._late if row[0] > now]
        for _, life, body in due:
            if life == self.instance and body['fence'] >= self.fence:
                self._begin(body)

    def _end_if_done(self, span):
        work = read_work(span.spec, span.task)
        if work.lasts or self._count_done(span) < work.ms:
            return
        how = 'failed' if span.run <= work.fails else 'done'
        self._end_run(span.task, how)

    def _end_run(self, task, how):
        run = self.running.pop(task, None)
        if run is not None:
            self._note_end(task, run, how, '')

    def _beat_on(self):
        last = None
        late = []
        while not self._ending.wait(BEAT_SECONDS):
            now = time.monotonic()
            while late and late[0][0] <= now:
                self._send(*late.pop(0)[1:])
            if self.silent:
                continue
            former, last = last, (self.instance, self._make_beat())
            if former is not None and former[1]['born'] != last[1]['born']:
                late.append((now + _LATE_BEAT_SECONDS, *former))
            self._send(*last)

    def _make_beat(self):
        room = {'cpu': self.cpu_milli, 'memMb': MEMORY_MB, 'gpu': 0}
        with self._lock:
            return self.make_beat(
                service='soak-pool',
                address=self._address,
                zone='zone-1',
                version='v1',
                slots=8,
                state='draining' if self.draining else 'ready',
                coldLeftMs=0,
                capacity=room,
                labels=['a', 'r1'],
                clockMs=self.read_ms(),
            )

    def _send(self, instance, body):
        url = f'{self._control}/portwharf/instances/{instance}/heartbeat'
        try:
            self._http.request('POST', url, json=body)
        except urllib3.exceptions.HTTPError as exc:
            # The side is down or paused; the next beat tells as much.
            LOG.debug('no answer to a heartbeat: %s', exc)
