# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The time that attempts lose to throttling is logged."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import share_limits
from portwharf.side import slowdowns
from portwharf import workers

TASK = ('a.0.0.1', 2)
LOGGER = 'portwharf.side.slowdowns'


def make_attempt(state=data.RunState.RUNNING):
    """Return an attempt as a worker lists it."""
    return workers.Attempt(*TASK, state, kind=data.Kind.BATCH)


def get_limit(name):
    """Return the only limit of these tests."""
    return share_limits.LEAST_SHARE


def run_at_shares(log, *rows, limit=get_limit):
    """Run an attempt at CPU shares, given as (time, percent)."""
    for now, percent in rows:
        paced = [messages.PacedTask(*TASK, percent, 0)]
        log.update([make_attempt()], paced, limit, now)


def read_losses(logged):
    """Return (ran_ms, paced_ms) of each log line."""
    return [(one.ran_ms, one.paced_ms) for one in logged.records]


def test_loss_is_logged_at_the_end(case):
    log = slowdowns.SlowdownLog()
    with case.assertLogs(LOGGER) as logged:
        run_at_shares(log, (0, 50), (1, 0), (2, 100))
        done = make_attempt(data.RunState.SUCCEEDED)
        log.update([done], [], get_limit, 4)
    case.assertEqual(read_losses(logged), [(4000, 1500)])


def test_running_attempt_is_logged_repeatedly(case):
    log = slowdowns.SlowdownLog()
    with case.assertLogs(LOGGER) as logged:
        run_at_shares(log, *((second, 0) for second in range(10)))
    case.assertEqual(read_losses(logged), [(4000, 4000), (8000, 8000)])


def test_unthrottled_attempt_is_not_logged(case):
    log = slowdowns.SlowdownLog()
    with case.assertNoLogs(LOGGER):
        log.update([make_attempt()], [], get_limit, 0)
        log.update([make_attempt()], [], get_limit, 3)
        log.update([], [], get_limit, 4)


def test_loss_is_told_by_what_limits_the_share(case):
    log = slowdowns.SlowdownLog()
    with case.assertLogs(LOGGER) as logged:
        run_at_shares(log, (0, 50), (1, 0))
        run_at_shares(
            log, (2, 75), limit=lambda _: share_limits.KNOWN_ESTIMATE
        )
        log.update([], [], get_limit, 4)
    (record,) = logged.records
    case.assertEqual(record.paced_ms, 2000)
    case.assertEqual(
        record.paced_by,
        {share_limits.LEAST_SHARE: 1500, share_limits.KNOWN_ESTIMATE: 500},
    )
