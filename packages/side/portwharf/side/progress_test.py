# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Time without progress is measured at the share that a task may use."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import pacing
from portwharf.side import progress
from portwharf.testing import agent_harness
from portwharf import workers

TASK = ('a.0.0.1', 2)
POLL_SECONDS = 0.5


def make_attempt(percent, **fields):
    """Return a running attempt as a worker lists it."""
    return workers.Attempt(
        *TASK, data.RunState.RUNNING, percent=percent, **fields
    )


def list_worked_ms(tracker):
    """Return the reported times without progress."""
    return [one.worked_ms for one in tracker.list_hung()]


def run(tracker, seconds, percent=20, share=100, start=0.0, **fields):
    """Let a tracker see an attempt at each poll; returns the end."""
    steps = int(seconds / POLL_SECONDS)
    for step in range(steps + 1):
        now = start + step * POLL_SECONDS
        attempt = make_attempt(percent, **fields)
        tracker.update([attempt], lambda _: share, now)
    return start + steps * POLL_SECONDS


def test_time_without_progress_is_reported(case):
    tracker = progress.ProgressTracker()
    run(tracker, 2.5)
    case.assertEqual(tracker.list_hung(), [])
    run(tracker, 8.0)
    case.assertEqual(tracker.list_hung(), [messages.HungTask(*TASK, 20, 8000)])


def test_task_at_the_least_share_is_expected_to_stand_almost_still(case):
    tracker = progress.ProgressTracker()
    end = run(tracker, 90.0, share=pacing.LEAST)
    case.assertEqual(tracker.list_hung(), [])
    run(tracker, 90.0, share=pacing.LEAST, start=end)
    (worked_ms,) = list_worked_ms(tracker)
    case.assertAlmostEqual(worked_ms, 180_000 * pacing.LEAST / 100, delta=2)


def test_suspended_task_and_one_of_unknown_share_are_not_counted(case):
    """Both are given as the share 0."""
    tracker = progress.ProgressTracker()
    run(tracker, 600.0, share=0)
    case.assertEqual(tracker.list_hung(), [])


def test_share_that_an_owner_has_set_counts(case):
    tracker = progress.ProgressTracker()
    tracker.record_throttle(messages.ThrottleTask(1, *TASK, 10))
    run(tracker, 20.0)
    case.assertEqual(tracker.list_hung(), [])


def test_slow_but_steady_progress_restarts_the_time(case):
    tracker = progress.ProgressTracker()
    end = 0.0
    for percent in range(20):
        end = run(tracker, 2.5, percent, start=end)
        case.assertEqual(tracker.list_hung(), [])


def test_standing_task_is_reported_only_while_it_is_not_at_work(case):
    tracker = progress.ProgressTracker()
    kind = data.Kind.STANDING
    end = run(tracker, 60.0, 100, kind=kind)
    case.assertEqual(tracker.list_hung(), [])
    run(tracker, 4.0, 80, start=end, kind=kind)
    case.assertEqual(list_worked_ms(tracker), [4000])


def test_time_in_which_the_worker_was_not_heard_does_not_count(case):
    tracker = progress.ProgressTracker()
    for now in (0.0, 30.0, 60.0):
        tracker.update([make_attempt(20)], lambda _: 100, now)
    case.assertEqual(tracker.list_hung(), [])


def test_restarted_side_counts_anew(case):
    harness = agent_harness.AgentHarness()
    harness.grant()
    harness.start()
    for _ in range(12):
        harness.step(0.5)
    (beat, *_) = harness.conn.take(messages.Heartbeat)[::-1]
    case.assertEqual([one.task for one in beat.hung], ['w.0'])
    restarted = agent_harness.AgentHarness(harness.worker)
    for _ in range(4):
        restarted.step(0.5)
    for beat in restarted.conn.take(messages.Heartbeat):
        case.assertEqual(beat.hung, [])


def test_time_without_progress_ends_with_the_attempt(case):
    tracker = progress.ProgressTracker()
    end = run(tracker, 8.0)
    tracker.update([], lambda _: 100, end)
    case.assertEqual(tracker.list_hung(), [])
