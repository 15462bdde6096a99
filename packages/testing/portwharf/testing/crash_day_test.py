# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Crash-loop detection on simulated days of ordinary crashes.

On each of the listed days ``make bench-crashes`` found that an earlier rule
gave up healthy jobs. Two crashes alone were enough for it (racks, zones, all
workers, with tasks placed ahead of the wave), or a trial began after one
second without a crash (crashes 1.3 s apart), or after two seconds (crashes
2.1 to 2.4 s apart), or that of a standing task began in a slow series and was
conclusive all the same (series 1063), or three crashes were enough for tasks
that had survived earlier starts.
"""

from portwharf.scheduler import faults_test
from portwharf.scheduler import suspects
from portwharf.testing import crash_day

DAYS_ONCE_WRONG = (
    ('rack', 20),
    ('zone', 2),
    ('all', 8),
    ('all', 109),
    ('all', 183),
    ('series', 11),
    ('series', 25),
    ('series', 49),
    ('series', 103),
    ('series', 128),
    ('series', 1063),
    ('restarts', 18),
    ('restarts', 51),
    ('crasher-in-series', 28),
    ('crasher-in-series', 100),
    ('crasher-in-series', 154),
)


def test_no_healthy_job_is_given_up_after_ordinary_crashes(case):
    for kind, seed in DAYS_ONCE_WRONG:
        with case.subTest(kind=kind, seed=seed):
            case.assertEqual(crash_day.Day(seed, kind).run().false, 0)


def test_crashers_are_given_up_within_the_allowed_crashes(case):
    for kind in ('crasher', 'two-crashers', 'unanswered'):
        with case.subTest(kind=kind):
            tally = crash_day.Day(1, kind).run()
            case.assertEqual(tally.caught, tally.crashers)
            case.assertLessEqual(tally.most, suspects.MAX_CRASHES)


def test_detection_reduces_tasks_lost_to_crashers(case):
    with_detection = crash_day.Day(1, 'crasher').run()
    before = crash_day.Day(1, 'crasher', with_detection=False).run()
    case.assertLess(with_detection.killed, before.killed / 2)


def test_ignored_crash_waves_are_detected(case):
    """Giving up after two crashes regardless of others is detected."""
    faults_test.check_fault_detected(
        case,
        test_no_healthy_job_is_given_up_after_ordinary_crashes,
        suspects.CrashHistory,
        'is_quiet',
        lambda self, since, names=(): True,
    )
