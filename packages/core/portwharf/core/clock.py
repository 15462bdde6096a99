# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Clocks as values, so that tests decide what time it is.

Limits and leases are measured on the monotonic clock only. Wall time is
for people, for ids and for the ages of resubmitted requests.
"""

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""

    @abc.abstractmethod
    def read_unix_ms(self):
        """Return milliseconds since 1970 (UTC)."""


class SystemClock(Clock):
    """The clock of the machine."""

    def read_monotonic(self):
        return time.monotonic()

    def read_unix_ms(self):
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that stands still until it is moved; for tests."""

    def __init__(self, start=1000.0):
        self._now = start

    def read_monotonic(self):
        return self._now

    def read_unix_ms(self):
        return int(self._now * 1000)

    def advance(self, seconds):
        """Move the clock forward."""
        self._now += seconds
