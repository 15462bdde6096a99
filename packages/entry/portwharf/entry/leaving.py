# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An entry's planned stop: how long calls may take, and when it is over.

An entry that was asked to stop goes on answering until nobody sends it
anything, as callers come to it until the balancer has seen that it is not
ready. What comes late must be answered before the process is killed, so
that calls are given less time as the end draws near.
"""

import contextlib
import threading

# No call came for so long: the balancer sends none any more.
QUIET_SECONDS = 0.5
# What the last calls may still take: an owner that is there answers in it.
LEAST_SECONDS = 0.1
_LOOK_SECONDS = 0.1


class Leaving:
    """Whether an entry was asked to stop, and the calls that it carries out.

    It answers the stop of an entry whose owner, store or callers are slow
    to answer, or silent, at that time.
    """

    def __init__(self, clock, away_seconds, answer_seconds):
        """Take a clock, and the stop's times.

        :param away_seconds: after the asking, the balancer has seen by then
            that this entry takes no more
        :param answer_seconds: after the asking, all calls have to be
            answered by then
        """
        self._clock = clock
        self._away_seconds = away_seconds
        self._answer_seconds = answer_seconds
        self._changed = threading.Condition()
        self._running = 0
        self._last = 0.0
        self._asked = None

    @property
    def is_asked(self):
        """Whether the stop was asked for."""
        return self._asked is not None

    def ask(self):
        """Ask for the stop; safe in a signal handler."""
        if self._asked is None:
            self._asked = self._clock.read_monotonic()

    @contextlib.contextmanager
    def carry_out(self):
        """Count a call as one that is carried out, while in its block."""
        with self._changed:
            self._running += 1
            self._last = self._clock.read_monotonic()
        try:
            yield
        finally:
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def limit(self, seconds):
        """Return for how long a call may be tried, of what it would be.

        :param seconds: the same without a stop
        """
        asked = self._asked
        if asked is None:
            return seconds
        due = asked + self._answer_seconds
        left = due - self._clock.read_monotonic()
        return max(LEAST_SECONDS, min(seconds, left))

    def is_over(self):
        """Whether the entry may end now, once the stop was asked for."""
        now = self._clock.read_monotonic()
        if now >= self._asked + self._answer_seconds:
            return True
        away = now >= self._asked + self._away_seconds
        quiet = now >= self._last + QUIET_SECONDS
        return self._running == 0 and away and quiet

    def wait_until_over(self):
        """Wait until the entry may end."""
        with self._changed:
            while not self.is_over():
                self._changed.wait(_LOOK_SECONDS)
