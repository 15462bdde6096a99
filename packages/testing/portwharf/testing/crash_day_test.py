# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Days of ordinary crashes on which sound jobs were once given up.

Each was found by ``make bench-crashes`` while it was looked for how many
crashes are enough. What had them given up: two crashes alone (racks, zones,
all, with tasks placed ahead of the wave), a second's calm before a trial (a
series 1.3 s apart), two seconds' (series 2.1 to 2.4 s apart).
"""

from portwharf.scheduler import faults_test
from portwharf.scheduler import suspects
from portwharf.testing import crash_day

ONCE_FALSE = (
    ('rack', 20),
    ('zone', 2),
    ('all', 8),
    ('series', 11),
    ('series', 25),
    ('series', 49),
    ('series', 103),
    ('series', 128),
    ('crasher-in-series', 28),
    ('crasher-in-series', 154),
)


def test_no_sound_job_is_given_up_for_ordinary_crashes(case):
    for kind, seed in ONCE_FALSE:
        with case.subTest(kind=kind, seed=seed):
            case.assertEqual(crash_day.Day(seed, kind).play().false, 0)


def test_crashers_are_given_up_within_what_users_allow(case):
    for kind in ('crasher', 'two-crashers', 'unanswered'):
        with case.subTest(kind=kind):
            tally = crash_day.Day(1, kind).play()
            case.assertEqual(tally.caught, tally.crashers)
            case.assertLessEqual(tally.most, suspects.MOST)


def test_far_less_goes_with_a_crashers_workers_than_without(case):
    judged = crash_day.Day(1, 'crasher').play()
    before = crash_day.Day(1, 'crasher', judged=False).play()
    case.assertLess(judged.killed, before.killed / 2)


def test_waves_taken_for_calm(case):
    """Two crashes alone, whatever else crashes, are not enough."""
    faults_test.check(
        case,
        test_no_sound_job_is_given_up_for_ordinary_crashes,
        suspects.CrashTimes,
        'is_calm',
        lambda self, since, names=(): True,
    )
