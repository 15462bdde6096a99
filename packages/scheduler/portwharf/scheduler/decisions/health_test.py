# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Bad workers and bad jobs are told apart."""

from portwharf.scheduler.decisions import health

VM = 'vm-1'


def fail(made, workloads, now=0.0):
    """Have attempts of workloads fail; returns the last outcome."""
    outcomes = [made.note_failure(VM, name, now) for name in workloads]
    return outcomes[-1]


def test_one_bad_job_does_not_condemn_a_worker(case):
    made = health.Health()
    case.assertFalse(fail(made, ['a'] * 50))
    case.assertFalse(made.is_quarantined(VM, 0.0))


def test_worker_that_fails_everything_is_left_alone(case):
    made = health.Health()
    case.assertTrue(fail(made, ['a', 'a', 'b', 'b']))
    case.assertTrue(made.is_quarantined(VM, 1.0))
    case.assertFalse(made.is_quarantined('vm-2', 1.0))


def test_one_job_counts_twice_at_the_most(case):
    made = health.Health()
    for step in ('a.0', 'a.1', 'a.2'):
        case.assertFalse(made.note_failure(VM, step, 0.0, 'a'))
    case.assertFalse(made.note_failure(VM, 'b.0', 0.0, 'b'))
    case.assertTrue(made.note_failure(VM, 'b.0', 0.0, 'b'))


def test_probe_that_comes_to_no_end_is_followed_by_another(case):
    made = health.Health()
    fail(made, ['a', 'a', 'b', 'b'])
    end = health.MIN_QUARANTINE_SECONDS
    case.assertFalse(made.is_probing(VM, end))
    made.note_placed(VM, end)
    case.assertTrue(made.is_probing(VM, end + 1))
    later = end + health.PROBE_TIMEOUT_SECONDS
    case.assertFalse(made.is_probing(VM, later))
    case.assertTrue(made.is_probed(VM, later))


def test_success_between_clears_it(case):
    made = health.Health()
    fail(made, ['a', 'b', 'c'])
    made.note_success(VM)
    case.assertFalse(fail(made, ['a', 'b', 'c']))


def test_probe_that_fails_makes_it_longer(case):
    made = health.Health()
    fail(made, ['a', 'a', 'b', 'b'])
    end = health.MIN_QUARANTINE_SECONDS
    case.assertFalse(made.is_quarantined(VM, end))
    case.assertTrue(made.is_probed(VM, end))
    case.assertTrue(fail(made, ['c'], end))
    later = end + 2 * health.MIN_QUARANTINE_SECONDS
    case.assertTrue(made.is_quarantined(VM, later - 0.1))
    case.assertFalse(made.is_quarantined(VM, later))


def test_probe_that_succeeds_releases_it(case):
    made = health.Health()
    fail(made, ['a', 'a', 'b', 'b'])
    made.note_success(VM)
    case.assertFalse(made.is_quarantined(VM, 0.0))
    case.assertFalse(made.is_probed(VM, 100.0))


def test_workload_keeps_away_from_where_it_failed(case):
    made = health.Health()
    made.note_refusal(VM, 'a', 0.0)
    case.assertEqual(made.list_avoided('a', 1.0), {VM})
    case.assertEqual(made.list_avoided('b', 1.0), set())
    case.assertEqual(made.list_avoided('a', health.MIN_AVOID_SECONDS), set())
    made.note_refusal(VM, 'a', 10.0)
    case.assertEqual(made.list_avoided('a', 13.9), {VM})


def test_tasks_that_end_together_keep_a_workload_away_once(case):
    """Six tasks that were refused at once made it more than a minute.

    That is longer than what lasts may wait while there is room for it.
    """
    made = health.Health()
    for _ in range(6):
        made.note_refusal(VM, 'a', 0.0)
    case.assertEqual(made.list_avoided('a', health.MIN_AVOID_SECONDS), set())


def test_old_failures_of_a_lasting_workload_are_forgotten(case):
    """It may fail now and then for as long as it lasts."""
    made = health.Health()
    now = 0.0
    for _ in range(9):
        made.note_failure(VM, 'a', now)
        now += 2 * health.MAX_AVOID_SECONDS
    made.note_failure(VM, 'a', now)
    later = now + health.MIN_AVOID_SECONDS
    case.assertEqual(made.list_avoided('a', later), set())
