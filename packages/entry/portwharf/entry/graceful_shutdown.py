# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Graceful shutdown of an entry.

An entry that is asked to stop goes on answering until no calls arrive, since
callers reach it until the load balancer sees that it is not ready. Calls that
arrive late must be answered before the process is killed, so their time
limits shrink as the end approaches.
"""

import contextlib
import threading

# Time without calls after which the balancer is taken to have stopped sending
# any.
QUIET_SECONDS = 0.5
# Least time limit of a call; an owner that is up answers within it.
MIN_CALL_SECONDS = 0.1
_POLL_SECONDS = 0.1


class GracefulShutdown:
    """Tracks an entry's shutdown and its calls in progress.

    The shutdown ends in time even if the owner, the store or the callers are
    slow or do not answer.
    """

    def __init__(self, clock, unready_seconds, answer_seconds):
        """Create a tracker; times count from the request to stop.

        :param unready_seconds: until the balancer has surely seen that this
            entry is not ready
        :param answer_seconds: until all calls must have been answered
        """
        self._clock = clock
        self._unready_seconds = unready_seconds
        self._answer_seconds = answer_seconds
        self._changed = threading.Condition()
        self._active_calls = 0
        self._last_call = 0.0
        self._requested_at = None

    @property
    def is_requested(self):
        """Whether a stop was requested."""
        return self._requested_at is not None

    def request_stop(self):
        """Request the stop; safe in a signal handler."""
        if self._requested_at is None:
            self._requested_at = self._clock.read_monotonic()

    @contextlib.contextmanager
    def track_call(self):
        """Context manager that counts a call in progress."""
        with self._changed:
            self._active_calls += 1
            self._last_call = self._clock.read_monotonic()
        try:
            yield
        finally:
            with self._changed:
                self._active_calls -= 1
                self._changed.notify_all()

    def limit_seconds(self, seconds):
        """Return the time limit of a call, in seconds.

        :param seconds: the limit while no stop was requested
        """
        if self._requested_at is None:
            return seconds
        return max(MIN_CALL_SECONDS, min(seconds, self.measure_time_left()))

    def measure_time_left(self):
        """Return the time until all calls must have been answered, in seconds.

        Only after a stop was requested; not below 0.
        """
        due = self._requested_at + self._answer_seconds
        return max(0.0, due - self._clock.read_monotonic())

    def is_done(self):
        """Whether the entry may exit now; only after a stop was requested."""
        if not self.measure_time_left():
            return True
        now = self._clock.read_monotonic()
        unready = now >= self._requested_at + self._unready_seconds
        quiet = now >= self._last_call + QUIET_SECONDS
        return self._active_calls == 0 and unready and quiet

    def wait_until_done(self):
        """Wait until the entry may exit.

        :returns: how many calls are in progress
        """
        with self._changed:
            while not self.is_done():
                self._changed.wait(_POLL_SECONDS)
            return self._active_calls
