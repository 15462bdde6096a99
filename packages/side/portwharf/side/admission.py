# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What the side lets through to its runner, and in which order.

As many requests run as the runner has slots; a bounded number waits, the
nearest deadline first, and behind them those of callers that have more than
their share under way. One that can't be begun before its deadline, or that
finds the queue full of more pressing ones, is answered "not run" at once,
which is true because the runner has not seen it.
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
    """One request on its way to the runner.

    :param excess: its caller has more than its share under way
    :param deadline: on our monotonic clock, in seconds
    :param may_run: asked just before the runner gets it
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
    """What became of a request at this endpoint."""

    outcome: int = data.Outcome.NOT_RUN
    reason: str = ''
    payload: bytes = b''
    retry_after_ms: int = 0


class Admission:
    """The queue before one runner; a context manager that drains it."""

    def __init__(self, runner, slots, queue, clock):
        """Take the runner, its slots and how many may wait."""
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
        self._run_seconds = 0.0
        # Count and seconds at the runner of each service since they were
        # last taken.
        self._spent = {}
        self._taken = clock.read_monotonic()
        self._threads = [
            threading.Thread(target=self._work, name='runner', daemon=True)
            for _ in range(slots)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        """Finish what runs and waits, then end."""
        self.drain()
        with self._changed:
            self._ended = True
            self._changed.notify_all()
        for thread in self._threads:
            thread.join()

    @property
    def in_flight(self):
        """Requests that run or wait here."""
        return self._running + len(self._heap)

    @property
    def slots(self):
        """How many requests run at a time."""
        return self._slots

    def drain(self):
        """Take nothing new from now on; finish what is here."""
        with self._changed:
            self._draining = True
            self._changed.notify_all()

    def offer(self, job):
        """Take a request, or answer at once that it did not run."""
        with self._changed:
            refused, reason = self._insert(job)
            self._changed.notify()
        if refused is not None:
            refused.finish(self._refuse(reason))

    def take_measures(self):
        """Return what was measured since the last call."""
        now = self._clock.read_monotonic()
        with self._changed:
            spent, self._spent = self._spent, {}
            since, self._taken = self._taken, now
        length = max(0.001, now - since)
        return [
            messages.ServiceMeasure(
                service,
                count,
                int(1e6 * seconds / count),
                round(seconds / length / self._slots, 4),
                int(500 * length),
            )
            for service, (count, seconds) in spent.items()
        ]

    def wait_until_idle(self, timeout):
        """Wait until nothing runs or waits.

        :returns: whether that came about in time
        """
        with self._changed:
            return self._changed.wait_for(lambda: self.in_flight == 0, timeout)

    def _insert(self, job):
        """Queue a request; return the one that is refused, and why."""
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

    def _note_spent(self, service, spent):
        with self._changed:
            self._run_seconds += (spent - self._run_seconds) / 16
            count, seconds = self._spent.get(service, (0, 0.0))
            self._spent[service] = (count + 1, seconds + spent)

    def _refuse(self, reason):
        wait = 0
        if reason == REASON_QUEUE:
            turns = (self._limit + self._slots) / self._slots
            wait = int(1000 * turns * self._run_seconds / 2)
        return Verdict(reason=reason, retry_after_ms=wait)

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
        """Give a request to the runner, if it still makes sense."""
        began = self._clock.read_monotonic()
        left = job.deadline - began
        if job.withdrawn:
            return Verdict(reason=REASON_WITHDRAWN)
        if left <= 0:
            return Verdict(reason=REASON_DEADLINE)
        if job.may_run is not None and not job.may_run():
            return Verdict(reason=REASON_CHANGED)
        answer = self._runner.run(job.request, job.service, job.payload, left)
        spent = self._clock.read_monotonic() - began
        self._note_spent(job.service, spent)
        if not answer.ran:
            return Verdict(reason=answer.reason)
        if not answer.whole:
            return Verdict(data.Outcome.UNKNOWN, answer.reason)
        if answer.failed:
            return Verdict(data.Outcome.FAILED, answer.reason, answer.payload)
        return Verdict(data.Outcome.ANSWERED, '', answer.payload)
