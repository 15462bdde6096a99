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
    """The clock of the machine.

    What was agreed with others runs out while this machine is suspended, so
    that its time counts: the steady clock stands still meanwhile, and a
    process that went by it would wake with grants that it takes for fresh.
    """

    def read_monotonic(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_unix_ms(self):
        return time.time_ns() // 1_000_000


class SuspensionWatch:
    """Tells for how long the machine was suspended, for the logs."""

    def __init__(self):
        self._behind = _measure_behind()

    def take_seconds(self):
        """Return for how long it was suspended since the last call."""
        before, self._behind = self._behind, _measure_behind()
        return self._behind - before


def _measure_behind():
    """Return by how many seconds the steady clock is behind."""
    steady = time.clock_gettime(time.CLOCK_MONOTONIC)
    return time.clock_gettime(time.CLOCK_BOOTTIME) - steady


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
