# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What the side lets through to its runner, and in which order.

As many requests run as the runner has slots; a bounded number waits, the
nearest deadline first. One that can't be begun before its deadline, or that
finds the queue full of more pressing ones, is answered "not run" at once,
which is true because the runner has not seen it.
"""

import dataclasses
import heapq
import itertools
import threading

from portwharf.core import data

REASON_LEAVING = 'endpoint-is-leaving'
REASON_QUEUE = 'queue-is-full'
REASON_DEADLINE = 'deadline-before-a-slot-was-free'
REASON_WITHDRAWN = 'withdrawn-by-the-caller'
REASON_SERVICE = 'service-does-not-run-here'
REASON_REPEATED = 'not-repeatable-and-seen-before'
# Not-repeatable requests that are remembered, the latest ones.
MEMORY_SIZE = 10_000
# Answers of theirs that are kept whole; of larger ones the id alone.
MAX_KEPT_BYTES = 4096


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way to the runner.

    :param deadline: on our monotonic clock, in seconds
    :param finish: called once with a :class:`Verdict`
    """

    request: str = ''
    service: str = ''
    repeatable: bool = False
    deadline: float = 0.0
    payload: bytes = b''
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
        self._seen = {}
        self._run_seconds = 0.0
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
            refused.finish(self._refuse(refused, reason))

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
        if not job.repeatable and not self._remember(job.request):
            return job, REASON_REPEATED
        row = (job.deadline, next(self._numbers), job)
        heapq.heappush(self._heap, row)
        if len(self._heap) + self._running <= self._slots + self._limit:
            return None, ''
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        return last[2], REASON_QUEUE

    def _remember(self, request):
        """Note a request that must not run twice.

        :returns: False if it was noted before
        """
        if request in self._seen:
            return False
        self._seen[request] = None
        if len(self._seen) > MEMORY_SIZE:
            del self._seen[next(iter(self._seen))]
        return True

    def _refuse(self, job, reason):
        if reason == REASON_REPEATED:
            # The first sending may have run: this is no "not run".
            unknown = Verdict(data.Outcome.UNKNOWN, reason)
            return self._seen.get(job.request) or unknown
        if not job.repeatable:
            self._forget(job)
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
                job = heapq.heappop(self._heap)[2]
                self._running += 1
            try:
                verdict = self._run(job)
                self._keep(job, verdict)
                job.finish(verdict)
            finally:
                with self._changed:
                    self._running -= 1
                    self._changed.notify_all()

    def _run(self, job):
        """Give a request to the runner, if it still makes sense."""
        began = self._clock.read_monotonic()
        left = job.deadline - began
        if job.withdrawn:
            return self._forgive(job, REASON_WITHDRAWN)
        if left <= 0:
            return self._forgive(job, REASON_DEADLINE)
        answer = self._runner.run(job.request, job.service, job.payload, left)
        spent = self._clock.read_monotonic() - began
        self._run_seconds += (spent - self._run_seconds) / 16
        if not answer.ran:
            return self._forgive(job, answer.reason)
        if not answer.whole:
            return Verdict(data.Outcome.UNKNOWN, answer.reason)
        if answer.failed:
            return Verdict(data.Outcome.FAILED, answer.reason, answer.payload)
        return Verdict(data.Outcome.ANSWERED, '', answer.payload)

    def _forgive(self, job, reason):
        """Answer "not run", and forget that the request was here."""
        self._forget(job)
        return Verdict(reason=reason)

    def _forget(self, job):
        with self._changed:
            self._seen.pop(job.request, None)

    def _keep(self, job, verdict):
        """Keep a not-repeatable request's answer for its next sending."""
        if job.repeatable or verdict.outcome == data.Outcome.NOT_RUN:
            return
        if len(verdict.payload) > MAX_KEPT_BYTES:
            return
        with self._changed:
            if job.request in self._seen:
                self._seen[job.request] = verdict
