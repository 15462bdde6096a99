# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An attempt that worked at a share has lines that say for how long."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import slowdowns
from portwharf import workers

TASK = ('a.0.0.1', 2)
LOGGER = 'portwharf.side.slowdowns'


def make_attempt(state=data.RunState.RUNNING):
    """Return an attempt as a worker lists it."""
    return workers.Attempt(*TASK, state, kind=data.Kind.BATCH)


def play(log, *rows):
    """Have an attempt work at shares, as (time, percent)."""
    for now, percent in rows:
        paced = [messages.PacedTask(*TASK, percent, 0)]
        log.update([make_attempt()], paced, now)


def read(watched):
    """Return (ran_ms, paced_ms) of each line."""
    return [(one.ran_ms, one.paced_ms) for one in watched.records]


def test_end_tells_what_was_lost(case):
    log = slowdowns.SlowdownLog()
    with case.assertLogs(LOGGER) as watched:
        play(log, (0, 50), (1, 0), (2, 100))
        done = make_attempt(data.RunState.SUCCEEDED)
        log.update([done], [], 4)
    case.assertEqual(read(watched), [(4000, 1500)])


def test_one_that_goes_on_is_told_of_now_and_then(case):
    log = slowdowns.SlowdownLog()
    with case.assertLogs(LOGGER) as watched:
        play(log, *((second, 0) for second in range(10)))
    case.assertEqual(read(watched), [(4000, 4000), (8000, 8000)])


def test_work_at_full_pace_is_not_told(case):
    log = slowdowns.SlowdownLog()
    with case.assertNoLogs(LOGGER):
        log.update([make_attempt()], [], 0)
        log.update([make_attempt()], [], 3)
        log.update([], [], 4)
