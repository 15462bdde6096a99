# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The writing calls that an owner has taken and not answered yet.

No thread waits for a call. The thread that completes it answers it: the
deciding thread once its events are logged or it is refused, or the one here
once it has waited for too long.
"""

import dataclasses
import threading

import result

from portwharf.core import data
from portwharf.scheduler import metrics

CALL_TIMEOUT_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class _PendingCall:
    """How to answer a call.

    :param received_at: when it came, on the owner's monotonic clock
    :param due: by when it is answered, on that clock
    :param job: the id of the job that it submits, or ''
    :param is_cancellation: it is carried out however late
    """

    respond: object = None
    received_at: float = 0.0
    due: float = 0.0
    job: str = ''
    is_cancellation: bool = False


class PendingCalls:
    """Answers each pending call once; a context manager."""

    def __init__(self, clock):
        self._clock = clock
        # By future. The oldest call is the first and is due first.
        self._calls = {}
        self._changed = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name='pending-calls', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        """Refuse all calls that have not been begun.

        The others are not answered, as they may be in the log: an entry asks
        the next owner.
        """
        with self._changed:
            self._closed = True
            self._changed.notify()
            futures = list(self._calls)
        self._thread.join()
        for fut in futures:
            fut.cancel()

    def add(
        self, fut, respond, received_at=None, job='', is_cancellation=False
    ):
        """Have a call answered when its future is done or it times out.

        :param fut: the ``concurrent.futures.Future`` of the call, whose result
            is the answer or a ``data.Problem``
        :param respond: called once, with Ok(answer) or Err(Problem), from any
            thread; must not block
        :param received_at: when the call came, by the owner's monotonic
            clock; None for now
        :param job: the id of the job that it submits, or ''
        :param is_cancellation: whether a pass may begin it after its time
            limit
        """
        now = self._clock.read_monotonic()
        if received_at is None:
            received_at = now
        with self._changed:
            self._calls[fut] = _PendingCall(
                respond,
                received_at,
                now + CALL_TIMEOUT_SECONDS,
                job,
                is_cancellation,
            )
            closed = self._closed
            self._changed.notify()
        fut.add_done_callback(self._complete)
        if closed:
            fut.cancel()

    def has_submission(self, job):
        """Tell whether a call that submits this job is pending."""
        with self._changed:
            return any(call.job == job for call in self._calls.values())

    def expire(self):
        """Answer the calls that have waited for too long.

        One that was not begun is refused and never carried out, unless it is
        a cancellation. The outcome of the others is unknown.

        :returns: seconds until the next call is due, or None
        """
        while True:
            now = self._clock.read_monotonic()
            with self._changed:
                fut = next(iter(self._calls), None)
                if fut is None:
                    return None
                call = self._calls[fut]
            if call.due > now:
                return call.due - now
            if call.is_cancellation or not fut.cancel():
                self._respond(fut, result.Err(make_unknown_problem()))

    def _complete(self, fut):
        if fut.cancelled():
            answer = make_stalled_problem()
        else:
            answer = fut.result()
        if isinstance(answer, data.Problem):
            self._respond(fut, result.Err(answer))
        else:
            self._respond(fut, result.Ok(answer))

    def _respond(self, fut, answer):
        """Answer a call unless it has been answered."""
        with self._changed:
            pending = self._calls.pop(fut, None)
        if pending is not None:
            took = self._clock.read_monotonic() - pending.received_at
            metrics.CALL_SECONDS.observe(took)
            pending.respond(answer)

    def _run(self):
        while not self._closed:
            wait_seconds = self.expire()
            with self._changed:
                if not self._closed and (wait_seconds or not self._calls):
                    self._changed.wait(wait_seconds)


def make_stalled_problem():
    return data.Problem(
        'not-accepted',
        text="the platform's store does not answer; nothing was changed",
        remedy='send the same call again in some seconds',
    )


def make_expired_problem():
    return data.Problem(
        'not-accepted',
        text='the owner did not get to the call in time; nothing was changed',
        remedy='send the same call again in some seconds',
    )


def make_busy_problem():
    return data.Problem(
        'not-accepted',
        text='the owner is too busy for calls now; nothing was changed',
        remedy='send the same call again in some seconds',
    )


def make_unknown_problem():
    return data.Problem(
        'outcome-unknown',
        text='the store has not confirmed the change; it may be in force',
        remedy='send the same call with the same key again',
    )
