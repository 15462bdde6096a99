# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A simulated runner for the soak test.

The spec of a job is JSON that defines, for each step, how long its tasks run,
which resources they need, whether they write checkpoints and how often they
fail. The runner enforces leases and its capacity, and records every run for
the checks.
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
HEARTBEAT_INTERVAL_SECONDS = 0.5
_TICK_INTERVAL_SECONDS = 0.02
# Delay of a heartbeat that arrives after the end of its incarnation.
_LATE_HEARTBEAT_SECONDS = 1.7
# Time after which a late start is answered by 500; a side waits for less.
_UNANSWERED_SECONDS = 0.6
_LATE_START_SECONDS = 2.5
# Delay of a start that is ignored, longer than its lease.
_IGNORED_START_SECONDS = 12.0
# Time from the start of a crasher to the crash of its runner.
_CRASH_DELAY_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Span:
    """One run of a task, as recorded by the runner.

    :param run: number of the attempt
    :param saved: the checkpoint that it resumed from, or ''
    :param life: the life of the runner that it ran in
    :param ended: None while it runs
    :param how: ``done``, ``failed``, ``stopped``, ``lapsed`` or ``crashed``
    :param acked: when its end was acknowledged, or None
    :param ignored_until: until when the runner ignored stops as it ran, or 0
    :param late_seconds: how late its start was carried out
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
    ignored_until: float = 0.0
    late_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class Work:
    """What the tasks of a step do, by the job's spec.

    :param fails: number of attempts that fail before one succeeds
    :param lasts: tasks run until they are stopped
    :param saves: tasks write a checkpoint when they are stopped
    :param serves: tasks are servers with a tail latency
    :param fills: tasks are filling tasks, which slow servers
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


def split_task_name(task):
    """Split a task named ID.TIME.STEP.NUMBER into job id, step, number."""
    job_id, _, step, number = task.split('.')
    return job_id, int(step), int(number)


def read_work(spec, task):
    """Return the :class:`Work` of a task."""
    _, step, _ = split_task_name(task)
    return Work(**json.loads(spec)['steps'][step])


def _is_crasher(work, task):
    """Return whether a task crashes the runners that start it."""
    return work.crashes and task.endswith('.0')


def _read_span_work(span):
    """Return the :class:`Work` of a run."""
    return read_work(span.spec, span.task)


class SoakRunner(platform_runner.FakePlatformRunner):
    """One runner; sends heartbeats while used as a context manager."""

    def __init__(self, name, address, control_url, speed):
        """Take the runner's name and address, and its side's control URL.

        :param speed: speed of its clock, relative to real time
        """
        self._name = name
        self._address = address
        self._control_url = control_url
        self._speed = speed
        self._life_count = 0
        self.record = []
        self.numbered_ends = {}
        self.silent = False
        self.draining = False
        # Pace of each running task, in percent.
        self._paces = {}
        # Number of next starts that get no answer and are carried out late.
        self.late_starts = 0
        self._delayed_starts = []
        # Until when starts and stops get no answer.
        self._ignores_until = 0.0
        # Until when nothing gets an answer, and, if the next start begins such
        # a time, its length and the delay of that start after it.
        self._hangs_until = 0.0
        self._next_hang = None
        self._lapsed_at = 0.0
        # Current capacity; the soak shrinks it for a while.
        self.cpu_milli = CPU_MILLI
        self._stop_event = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)
        super().__init__(f'{name}-0')

    def __enter__(self):
        for work in (self._run_ticks, self._send_heartbeats):
            threading.Thread(target=work, daemon=True).start()
        return self

    def __exit__(self, *exc_info):
        self._stop_event.set()

    def crash(self):
        """Lose all running tasks and begin a new incarnation.

        Every second incarnation has the same id as the one before it.
        """
        with self._lock:
            for span in self._list_running():
                self._end_span(span, 'crashed')
            self._life_count += 1
            self._delayed_starts = []
            self.numbered_ends = {}
        self.restart(f'{self._name}-{self._life_count // 2}')

    def lose(self):
        """Lose the machine for good, with the orders that are under way."""
        self.silent = True
        self._stop_event.set()
        self.crash()

    def ignore_orders(self, seconds):
        """Leave starts and stops unanswered; carry starts out very late."""
        with self._lock:
            self._ignores_until = time.monotonic() + seconds

    def hang_at_next_start(self, seconds, delay_seconds):
        """Answer nothing for a while, once the next start arrives.

        :param seconds: how long nothing is answered
        :param delay_seconds: time after that at which the start is carried out
        """
        with self._lock:
            self._next_hang = (seconds, delay_seconds)

    def cancel_next_hang(self):
        """Take back :meth:`hang_at_next_start` if no start has arrived."""
        with self._lock:
            self._next_hang = None

    @property
    def _is_silent(self):
        return self.silent or time.monotonic() < self._hangs_until

    def read_ms(self):
        """Return the time by the runner's own clock, in ms."""
        return int(time.monotonic() * 1000 * self._speed)

    def __call__(self, environ, start_response):
        while self._is_silent and not self._stop_event.is_set():
            time.sleep(_TICK_INTERVAL_SECONDS)
        return super().__call__(environ, start_response)

    def _execute(self, order, body, target_instance):
        if self._stop_event.is_set():
            return 503, {}
        # Before the order renews the lease.
        self._end_lapsed_runs()
        if order == 'run-start':
            delay_seconds = self._take_start_delay()
            if delay_seconds:
                return self._delay_start(body, target_instance, delay_seconds)
        return super()._execute(order, body, target_instance)

    def _take_start_delay(self):
        """Return how late a start that arrives now is carried out, or 0."""
        now = time.monotonic()
        if self._next_hang is not None:
            seconds, delay_seconds = self._next_hang
            self._next_hang = None
            self._hangs_until = now + seconds
            return seconds + delay_seconds
        if now < self._ignores_until:
            return _IGNORED_START_SECONDS
        if self.late_starts > 0:
            self.late_starts -= 1
            return _LATE_START_SECONDS
        return 0

    def _delay_start(self, body, target_instance, seconds):
        """Carry a start out after some seconds, without an answer."""
        due = time.monotonic() + seconds
        self._delayed_starts.append((due, seconds, target_instance, body))
        self._lock.wait(_UNANSWERED_SECONDS)
        return 500, {}

    def _stop(self, body):
        if time.monotonic() < self._ignores_until:
            self._lock.wait(_UNANSWERED_SECONDS)
            return 500, {}
        return super()._stop(body)

    def _start(self, body):
        task, run = body['task'], body['run']
        work = read_work(body['spec'], task)
        if self.running.get(task) != run and not self._has_capacity(work):
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
            if known is not None:
                # Two runs at once: the map of what runs has room for one. That
                # they overlap stays on record.
                self._record_end(task, known, 'stopped', '')
            self._paces[task] = soak_pressure.FULL_PACE_PERCENT
            if _is_crasher(work, task):
                self._schedule_crash(task, run)
        return status, value

    def _schedule_crash(self, task, run):
        """Crash shortly after a run's start, unless it was stopped before."""

        def crash():
            with self._lock:
                is_running = self._find_running(task, run) is not None
            if is_running:
                self.crash()

        timer = threading.Timer(_CRASH_DELAY_SECONDS, crash)
        timer.daemon = True
        timer.start()

    def list_fill_paces(self):
        """Return the paces of the running filling tasks, in percent."""
        with self._lock:
            return self._list_fill_paces()

    def list_servers(self):
        """Return the names of the running server tasks."""
        with self._lock:
            return [
                s.task
                for s in self._list_running()
                if _read_span_work(s).serves
            ]

    def _list_fill_paces(self):
        fills = [
            s.task for s in self._list_running() if _read_span_work(s).fills
        ]
        return [self._paces[task] for task in fills]

    def _pace(self, body):
        if self.running.get(body['task']) == body['run']:
            self._paces[body['task']] = body['percent']
        return 200, {}

    def _hold(self, body):
        now = time.monotonic()
        for number, span in self.numbered_ends.items():
            is_acked = number <= body.get('ackedUpto', 0)
            # An acknowledgement of a run that ended before the lease lapsed
            # doesn't count: the owner may have replaced the run since.
            if (
                is_acked
                and span.acked is None
                and span.ended > self._lapsed_at
            ):
                span.acked = now
        status, value = super()._hold(body)
        if status == 200:
            self._fill_measurements(value['running'])
        return status, value

    def _fill_measurements(self, rows):
        """Fill the tail latency or the processors used into listing rows."""
        tail_ms = soak_pressure.get_tail_ms(self._list_fill_paces())
        for row in rows:
            span = self._find_running(row[0], row[1])
            work = _read_span_work(span) if span is not None else Work()
            if work.lasts:
                row[3] = 100
            if work.serves:
                row[4] = tail_ms
            elif work.fills:
                row[4] = soak_pressure.get_cpu_milli(self._paces[span.task])

    def _has_capacity(self, work):
        running = [_read_span_work(span) for span in self._list_running()]
        cpu = sum(other.cpu for other in running) + work.cpu
        memory = sum(other.memory for other in running) + work.memory
        return cpu <= self.cpu_milli and memory <= MEMORY_MB

    def _list_running(self):
        return [span for span in self.record if span.ended is None]

    def _find_running(self, task, run):
        for span in reversed(self.record):
            if (span.task, span.run, span.ended) == (task, run, None):
                return span
        return None

    def _end_span(self, span, how):
        span.ended = time.monotonic()
        span.how = how
        if self._ignores_until > span.began:
            span.ignored_until = min(self._ignores_until, span.ended)

    def _record_end(self, task, run, how, saved):
        span = self._find_running(task, run)
        if span is not None:
            work = read_work(span.spec, task)
            has_checkpoint = work.saves and how in ('stopped', 'lapsed')
            saved = (
                f'{task}|{self._get_done_ms(span)}' if has_checkpoint else ''
            )
            self._end_span(span, how)
        super()._record_end(task, run, how, saved)
        if span is not None:
            self.numbered_ends[self._numbers] = span

    def _get_done_ms(self, span):
        """Return the work done by a run, resumed work included, in ms."""
        before = int(span.saved.rpartition('|')[2] or 0)
        return before + int((time.monotonic() - span.began) * 1000)

    def _run_ticks(self):
        while not self._stop_event.wait(_TICK_INTERVAL_SECONDS):
            with self._lock:
                self._run_tick()

    def _run_tick(self):
        self._end_lapsed_runs()
        self._run_delayed_starts()
        for span in self._list_running():
            self._end_if_done(span)

    def _end_lapsed_runs(self):
        """End all runs if the lease is over, and note when this was seen."""
        if self.read_ms() < self._until_ms:
            return
        self._lapsed_at = time.monotonic()
        for task in list(self.running):
            self._end_run(task, 'lapsed')

    def _run_delayed_starts(self):
        now = time.monotonic()
        due = [row for row in self._delayed_starts if row[0] <= now]
        self._delayed_starts = [
            row for row in self._delayed_starts if row[0] > now
        ]
        for _, seconds, instance, body in due:
            count = len(self.record)
            # Renewals since may have moved the lease on.
            until_ms = max(body['untilMs'], self._until_ms)
            super()._execute(
                'run-start', {**body, 'untilMs': until_ms}, instance
            )
            for span in self.record[count:]:
                span.late_seconds = seconds

    def _end_if_done(self, span):
        work = read_work(span.spec, span.task)
        if work.lasts or self._get_done_ms(span) < work.ms:
            return
        if _is_crasher(work, span.task):
            # The timer of its crash may be late.
            return
        how = 'failed' if span.run <= work.fails else 'done'
        self._end_run(span.task, how)

    def _end_run(self, task, how):
        run = self.running.pop(task, None)
        if run is not None:
            self._record_end(task, run, how, '')

    def _send_heartbeats(self):
        last = None
        delayed = []
        while not self._stop_event.wait(HEARTBEAT_INTERVAL_SECONDS):
            now = time.monotonic()
            while delayed and delayed[0][0] <= now:
                self._send_heartbeat(*delayed.pop(0)[1:])
            if self._is_silent:
                continue
            previous, last = last, (self.instance, self._make_heartbeat())
            if previous is not None and previous[1]['born'] != last[1]['born']:
                delayed.append((now + _LATE_HEARTBEAT_SECONDS, *previous))
            self._send_heartbeat(*last)

    def _make_heartbeat(self):
        capacity_map = {'cpu': self.cpu_milli, 'memMb': MEMORY_MB, 'gpu': 0}
        with self._lock:
            return self.make_heartbeat(
                service='soak-pool',
                address=self._address,
                zone='zone-1',
                version='v1',
                slots=8,
                state='draining' if self.draining else 'ready',
                coldLeftMs=0,
                capacity=capacity_map,
                labels=['a', 'r1'],
                clockMs=self.read_ms(),
            )

    def _send_heartbeat(self, instance, body):
        url = f'{self._control_url}/portwharf/instances/{instance}/heartbeat'
        try:
            self._http.request('POST', url, json=body)
        except urllib3.exceptions.HTTPError as exc:
            # The side is down or paused; the next heartbeat has the same data.
            LOG.debug('heartbeat not answered: %s', exc)
