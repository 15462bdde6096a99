# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Fake worker that runs each task in a thread, under a lease.

It records when each attempt started and ended, on the machine's monotonic
clock, so that tests can check it. Usage is reported with a lag.
"""

import base64
import dataclasses
import threading
import time

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import web
from portwharf.testing import programs
from portwharf import workers

USAGE_LAG_SECONDS = 2.0
# Default duration of a step of a task; a task checks for a stop each step.
_STEP_SECONDS = 0.01
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Span:
    """When an attempt ran, in seconds of the monotonic clock.

    :param end: 0 while it runs
    :param lease: whether it ran under a lease
    """

    task: str = ''
    attempt: int = 0
    start: float = 0.0
    end: float = 0.0
    lease: bool = False
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class _Run:
    """An attempt and its thread.

    :ivar percent: share of full speed that it is throttled to
    :ivar stop: None, or ``stop`` or ``checkpoint`` once it has to end
    """

    def __init__(self, start, worker):
        self.start = start
        self.worker = worker
        self.attempt = workers.Attempt(
            start.task,
            start.attempt,
            data.RunState.RUNNING,
            kind=start.kind,
            workload=start.workload,
            lease_until_ms=start.lease_until_ms,
            resources=start.resources,
        )
        self.percent = 100
        self.stop = None
        self.span = Span(
            start.task,
            start.attempt,
            time.monotonic(),
            0.0,
            bool(start.lease_until_ms),
            start.resources.cpu_milli,
            start.resources.memory_mb,
            start.resources.accelerators,
        )
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        try:
            state, reason = self._compute()
        except ValueError as exc:
            state, reason = data.RunState.FAILED, str(exc)
        self.span.end = time.monotonic()
        self.attempt.reason = reason
        self.attempt.state = state

    def _compute(self):
        """Run the task's steps until the last one, or until it has to stop.

        The task's argument is ``STEPS SECONDS_PER_STEP``.

        :returns: the ``data.RunState`` that it ends in, and the reason
        :raises ValueError: the program fails
        """
        if self.start.program == 'fail':
            raise ValueError('the program failed, as it always does')
        runs_forever = self.start.kind != data.Kind.BATCH
        arguments = self.start.argument.decode().split()
        steps = int(arguments[0]) if arguments else 1
        step_seconds = (
            float(arguments[1]) if len(arguments) > 1 else _STEP_SECONDS
        )
        number, state = self._load_state()
        while runs_forever or number < steps:
            if self._should_stop():
                return self._stop_early(number, state)
            if not runs_forever:
                state = programs.make_step(state, number)
                number += 1
            self.worker.stopping.wait(step_seconds * 100 / self.percent)
        self.attempt.result = str(state).encode()
        return data.RunState.SUCCEEDED, ''

    def _load_state(self):
        """Return the step and the state to start from."""
        if self.start.checkpoint:
            number, state = self.start.checkpoint.split(':')
            return int(number), int(state)
        seed = int(self.start.task.rpartition('.')[2] or 0)
        return 0, seed

    def _should_stop(self):
        until = self.attempt.lease_until_ms
        lapsed = until and time.monotonic() * _MS_PER_SECOND >= until
        return lapsed or self.stop is not None or self.worker.closed

    def _stop_early(self, number, state):
        """Return the outcome of a task that ends before its last step."""
        if self.stop == 'checkpoint':
            self.attempt.checkpoint = f'{number}:{state}'
            return data.RunState.CHECKPOINTED, 'stopped'
        return data.RunState.GONE, 'stopped or lapsed'


class FakeWorkerService:
    """A worker, as a WSGI application.

    :ivar spans: the :class:`Span` of each attempt, by start
    :ivar closed: whether the worker is shut down and its tasks end
    :ivar fail_starts: whether every start is refused
    """

    def __init__(self, capacity):
        """Create a worker without tasks.

        :param capacity: ``data.Resources`` that it reports
        """
        self.capacity = capacity
        self.spans = []
        self.closed = False
        self.fail_starts = False
        self.stopping = threading.Event()
        self._runs = {}
        self._lock = threading.Lock()

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path == '/tasks' and environ['REQUEST_METHOD'] == 'GET':
            return web.send_json(start_response, 200, self._list())
        if path == '/record':
            rows = [codec.to_map(span) for span in list(self.spans)]
            return web.send_json(start_response, 200, {'spans': rows})
        body = web.read_json(environ)
        handler = {
            '/tasks': self._start,
            '/tasks/stop': self._stop,
            '/tasks/throttle': self._throttle,
            '/tasks/forget': self._forget,
            '/leases': self._renew,
            '/control': self._control,
        }.get(path)
        if handler is None:
            return web.send_json(start_response, 404, {})
        answer = handler(body)
        status = 409 if 'refused' in answer else 200
        return web.send_json(start_response, status, answer)

    def close(self):
        """End all tasks without checkpoints, as a VM failure does."""
        self.closed = True
        self.stopping.set()

    def _list(self):
        with self._lock:
            runs = list(self._runs.values())
        listing = workers.Listing(
            int(time.monotonic() * _MS_PER_SECOND), self.capacity
        )
        listing.attempts = [run.attempt for run in runs]
        value = codec.to_map(listing)
        for row, run in zip(value.get('attempts', []), runs, strict=True):
            task_result = row.get('result', b'')
            row['result'] = base64.b64encode(task_result).decode()
            row['used_cpu_milli'] = self._measure_cpu_milli(run)
            row['measured_ms'] = int(USAGE_LAG_SECONDS * _MS_PER_SECOND)
        return value

    def _measure_cpu_milli(self, run):
        """Return the CPU use at the time of the last measurement."""
        measured_at = time.monotonic() - USAGE_LAG_SECONDS
        if run.span.start > measured_at:
            return 0
        return run.start.resources.cpu_milli * run.percent // 100

    def _start(self, body):
        body['argument'] = base64.b64decode(body.get('argument', ''))
        start = codec.from_map(workers.Start, body)
        until = start.lease_until_ms
        if until and time.monotonic() * _MS_PER_SECOND >= until:
            return {'refused': 'lease-is-past'}
        if self.fail_starts:
            return {'refused': 'worker-fails-everything'}
        with self._lock:
            if (start.task, start.attempt) in self._runs:
                return {}
            run = _Run(start, self)
            self._runs[(start.task, start.attempt)] = run
            self.spans.append(run.span)
        run.thread.start()
        return {}

    def _find_run(self, body):
        return self._runs.get((body['task'], body['attempt']))

    def _stop(self, body):
        run = self._find_run(body)
        if run is not None and run.stop is None:
            run.stop = 'checkpoint' if body.get('checkpoint') else 'stop'
        return {}

    def _throttle(self, body):
        run = self._find_run(body)
        if run is not None:
            run.percent = max(1, min(100, body['percent']))
        return {}

    def _forget(self, body):
        with self._lock:
            run = self._find_run(body)
            if run is not None and run.span.end:
                del self._runs[(body['task'], body['attempt'])]
        return {}

    def _renew(self, body):
        with self._lock:
            runs = list(self._runs.values())
        for run in runs:
            until = run.attempt.lease_until_ms
            if until and not run.span.end:
                run.attempt.lease_until_ms = max(until, body['until_ms'])
        return {}

    def _control(self, body):
        """Set whether starts are refused; with ``fail``, lose all tasks."""
        self.fail_starts = bool(body.get('fail_starts', False))
        if body.get('fail'):
            with self._lock:
                runs = list(self._runs.values())
                self._runs = {}
            for run in runs:
                run.stop = 'stop'
        return {}
