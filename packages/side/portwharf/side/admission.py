# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The request queue in front of a side's runner.

At most as many requests run as the runner has slots. A bounded number of
others waits in order of deadline; requests of callers that exceed their fair
share wait behind all others. A request that cannot start before its deadline,
or that is displaced from a full queue, is answered "not run" at once. That
answer is always correct, because the runner has not received the request.
"""

import dataclasses
import heapq
import itertools
import threading

from portwharf.core import data
from portwharf.peers import messages

REASON_LEAVING = 'endpoint-is-leaving'
REASON_QUEUE = 'queue-is-full'
REASON_DEADLINE = 'deadline-before-a-slot-was-free'
REASON_WITHDRAWN = 'withdrawn-by-the-caller'
REASON_SERVICE = 'service-does-not-run-here'
REASON_CHANGED = 'home-changed-while-it-waited'


@dataclasses.dataclass(slots=True)
class Job:
    """A request that waits for the runner or runs there.

    :param excess: whether its caller exceeds its fair share
    :param deadline: on the side's monotonic clock, in seconds
    :param may_run: called just before the request goes to the runner; a false
        result cancels it
    :param finish: called once with a :class:`Verdict`
    """

    request: str = ''
    service: str = ''
    excess: bool = False
    deadline: float = 0.0
    payload: bytes = b''
    may_run: object = None
    finish: object = None
    withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class Verdict:
    """The outcome of a request at this endpoint."""

    outcome: int = data.Outcome.NOT_RUN
    reason: str = ''
    payload: bytes = b''
    retry_after_ms: int = 0


class Admission:
    """The request queue of one runner; a context manager that drains it."""

    def __init__(self, runner, slots, queue, clock):
        """Initialise the queue.

        :param runner: an ``endpoints.Runner``
        :param slots: how many requests run at a time
        :param queue: how many requests may wait
        """
        self._runner = runner
        self._slots = slots
        self._limit = queue
        self._clock = clock
        self._changed = threading.Condition()
        self._heap = []
        self._numbers = itertools.count()
        self._running = 0
        self._draining = False
        self._ended = False
        self._mean_run_seconds = 0.0
        # Request count and seconds at the runner by service, since the last
        # call of ``take_measures``.
        self._load = {}
        self._measured_at = clock.read_monotonic()
        self._threads = [
            threading.Thread(target=self._work, name='runner', daemon=True)
            for _ in range(slots)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        """Finish all running and waiting requests, then stop the threads."""
        self.drain()
        with self._changed:
            self._ended = True
            self._changed.notify_all()
        for thread in self._threads:
            thread.join()

    @property
    def in_flight(self):
        """The number of running and waiting requests."""
        return self._running + len(self._heap)

    @property
    def slots(self):
        """The number of requests that may run at a time."""
        return self._slots

    def drain(self):
        """Reject new requests from now on; finish the admitted ones."""
        with self._changed:
            self._draining = True
            self._changed.notify_all()

    def offer(self, job):
        """Queue a request, or answer at once that it did not run."""
        with self._changed:
            rejected, reason = self._insert(job)
            self._changed.notify()
        if rejected is not None:
            rejected.finish(self._refuse(reason))

    def take_measures(self):
        """Return the load of each service since the last call.

        :returns: list of ``messages.ServiceMeasure``
        """
        now = self._clock.read_monotonic()
        with self._changed:
            spent, self._load = self._load, {}
            measured_at, self._measured_at = self._measured_at, now
        interval_seconds = max(0.001, now - measured_at)
        return [
            messages.ServiceMeasure(
                service,
                count,
                int(1e6 * seconds / count),
                round(seconds / interval_seconds / self._slots, 4),
                int(500 * interval_seconds),
            )
            for service, (count, seconds) in spent.items()
        ]

    def wait_until_idle(self, timeout):
        """Wait until no request runs or waits.

        :returns: whether that happened within ``timeout`` seconds
        """
        with self._changed:
            return self._changed.wait_for(lambda: self.in_flight == 0, timeout)

    def _insert(self, job):
        """Queue a request.

        :returns: the rejected request, which may be another one, and the
            reason; or None and ''
        """
        if self._draining:
            return job, REASON_LEAVING
        row = (job.excess, job.deadline, next(self._numbers), job)
        heapq.heappush(self._heap, row)
        if len(self._heap) + self._running <= self._slots + self._limit:
            return None, ''
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        return last[-1], REASON_QUEUE

    def _record_run_time(self, service, spent):
        with self._changed:
            self._mean_run_seconds += (spent - self._mean_run_seconds) / 16
            count, seconds = self._load.get(service, (0, 0.0))
            self._load[service] = (count + 1, seconds + spent)

    def _refuse(self, reason):
        retry_after_ms = 0
        if reason == REASON_QUEUE:
            rounds = (self._limit + self._slots) / self._slots
            retry_after_ms = int(1000 * rounds * self._mean_run_seconds / 2)
        return Verdict(reason=reason, retry_after_ms=retry_after_ms)

    def _work(self):
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._heap or self._ended)
                if not self._heap:
                    return
                job = heapq.heappop(self._heap)[-1]
                self._running += 1
            try:
                job.finish(self._run(job))
            finally:
                with self._changed:
                    self._running -= 1
                    self._changed.notify_all()

    def _run(self, job):
        """Run a request unless it was withdrawn, expired or may not run."""
        began = self._clock.read_monotonic()
        remaining = job.deadline - began
        if job.withdrawn:
            return Verdict(reason=REASON_WITHDRAWN)
        if remaining <= 0:
            return Verdict(reason=REASON_DEADLINE)
        if job.may_run is not None and not job.may_run():
            return Verdict(reason=REASON_CHANGED)
        answer = self._runner.run(
            job.request, job.service, job.payload, remaining
        )
        spent = self._clock.read_monotonic() - began
        self._record_run_time(job.service, spent)
        if not answer.ran:
            return Verdict(reason=answer.reason)
        if not answer.whole:
            return Verdict(data.Outcome.UNKNOWN, answer.reason)
        if answer.failed:
            return Verdict(data.Outcome.FAILED, answer.reason, answer.payload)
        return Verdict(data.Outcome.ANSWERED, '', answer.payload)
