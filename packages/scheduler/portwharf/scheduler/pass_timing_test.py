# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The log line of a slow pass."""

from portwharf.core import clock
from portwharf.scheduler import pass_timing

LOGGER = 'portwharf.scheduler.pass_timing'


def test_slow_pass_is_logged_with_its_parts(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    timer.start()
    for part, seconds in (('place', 0.25), ('send', 1.5), ('place', 0.5)):
        time.advance(seconds)
        timer.mark(part)
    with case.assertLogs(LOGGER) as watched:
        timer.finish(items=3, events=7)
    logged = watched.records[0]
    case.assertEqual(logged.parts_ms, {'place': 750, 'send': 1500})
    case.assertEqual((logged.took_ms, logged.items), (2250, 3))


def test_quick_pass_is_not_logged(case):
    time = clock.ManualClock()
    timer = pass_timing.PassTimer(time)
    timer.start()
    time.advance(0.25)
    timer.mark('place')
    with case.assertNoLogs(LOGGER):
        timer.finish(items=3, events=7)
