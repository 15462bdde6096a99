# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Injectable clocks, so that tests control the time.

Timeouts and leases use the monotonic clock only. Wall-clock time is used
for display, for ids and for the ages of resubmitted requests.
"""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def read_monotonic(self):
        """Return the time in seconds on a clock that never goes back."""

    @abc.abstractmethod
    def read_unix_ms(self):
        """Return the wall-clock time in milliseconds since 1970 (UTC)."""


class SystemClock(Clock):
    """The system clock, including time spent in suspension.

    Leases and grants expire for other processes while this machine is
    suspended. ``CLOCK_MONOTONIC`` stops during suspension, so a process
    that used it would resume with expired grants that it considers valid.
    """

    def read_monotonic(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_unix_ms(self):
        return time.time_ns() // 1_000_000


class SuspensionMonitor:
    """Measures how long the machine was suspended, for the logs."""

    def __init__(self):
        self._seconds = _read_suspended_seconds()

    def take_suspended_seconds(self):
        """Return the seconds of suspension since the previous call."""
        before, self._seconds = self._seconds, _read_suspended_seconds()
        return self._seconds - before


def _read_suspended_seconds():
    """Return the seconds that the machine was suspended since boot."""
    monotonic = time.clock_gettime(time.CLOCK_MONOTONIC)
    return time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic


class ManualClock(Clock):
    """A clock that moves only when :meth:`advance` is called, for tests."""

    def __init__(self, start=1000.0):
        self._now = start

    def read_monotonic(self):
        return self._now

    def read_unix_ms(self):
        return int(self._now * 1000)

    def advance(self, seconds):
        """Move the clock forward by a number of seconds."""
        self._now += seconds
