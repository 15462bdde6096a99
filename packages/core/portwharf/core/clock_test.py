# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The system clock and the suspension monitor count suspended time."""

import time
from unittest import mock

from portwharf.core import clock


def measure_suspension():
    """Return how far the system clock moves while only boot time does."""
    times = {time.CLOCK_MONOTONIC: 50.0, time.CLOCK_BOOTTIME: 60.0}
    with (
        mock.patch.object(time, 'monotonic', lambda: 50.0),
        mock.patch.object(time, 'clock_gettime', times.get),
    ):
        before = clock.SystemClock().read_monotonic()
        times[time.CLOCK_BOOTTIME] = 72.0
        return clock.SystemClock().read_monotonic() - before


def test_time_goes_on_while_the_machine_is_suspended(case):
    case.assertEqual(measure_suspension(), 12.0)


def test_suspensions_are_measured_once(case):
    times = {time.CLOCK_MONOTONIC: 50.0, time.CLOCK_BOOTTIME: 60.0}
    with mock.patch.object(time, 'clock_gettime', times.get):
        monitor = clock.SuspensionMonitor()
        case.assertEqual(monitor.take_suspended_seconds(), 0.0)
        times[time.CLOCK_BOOTTIME] = 72.0
        case.assertEqual(monitor.take_suspended_seconds(), 12.0)
        case.assertEqual(monitor.take_suspended_seconds(), 0.0)
        times[time.CLOCK_MONOTONIC] = 55.0
        times[time.CLOCK_BOOTTIME] = 77.0
        case.assertEqual(monitor.take_suspended_seconds(), 0.0)
