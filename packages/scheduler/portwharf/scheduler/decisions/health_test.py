# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Bad workers are distinguished from bad jobs."""

from portwharf.scheduler.decisions import health

VM = 'vm-1'


def record_failures(tracker, workloads, now=0.0):
    """Record failures of workloads and return the last result."""
    outcomes = [tracker.record_failure(VM, name, now) for name in workloads]
    return outcomes[-1]


def test_one_bad_job_does_not_quarantine_a_worker(case):
    tracker = health.WorkerHealthTracker()
    case.assertFalse(record_failures(tracker, ['a'] * 50))
    case.assertFalse(tracker.is_quarantined(VM, 0.0))


def test_worker_that_fails_several_workloads_is_quarantined(case):
    tracker = health.WorkerHealthTracker()
    case.assertTrue(record_failures(tracker, ['a', 'a', 'b', 'b']))
    case.assertTrue(tracker.is_quarantined(VM, 1.0))
    case.assertFalse(tracker.is_quarantined('vm-2', 1.0))


def test_failures_of_one_job_count_at_most_twice(case):
    tracker = health.WorkerHealthTracker()
    for step in ('a.0', 'a.1', 'a.2'):
        case.assertFalse(tracker.record_failure(VM, step, 0.0, 'a'))
    case.assertFalse(tracker.record_failure(VM, 'b.0', 0.0, 'b'))
    case.assertTrue(tracker.record_failure(VM, 'b.0', 0.0, 'b'))


def record_hung(tracker, tasks):
    """Record hung tasks, named by job and number; returns the last result."""
    outcomes = [
        tracker.record_hung(VM, task, task.split('.')[0], 0.0)
        for task in tasks
    ]
    return outcomes[-1]


def test_tasks_of_one_job_that_hang_do_not_quarantine_a_worker(case):
    tracker = health.WorkerHealthTracker()
    tasks = [f'a.{number}' for number in range(20)]
    case.assertFalse(record_hung(tracker, [*tasks, 'b.0', 'b.0', 'b.0']))


def test_worker_where_tasks_of_several_jobs_hang_is_quarantined(case):
    tracker = health.WorkerHealthTracker()
    case.assertFalse(record_hung(tracker, ['a.0', 'a.1', 'b.0']))
    case.assertTrue(record_hung(tracker, ['b.1']))
    later = health.MIN_QUARANTINE_SECONDS
    case.assertTrue(tracker.awaits_probe(VM, later))
    case.assertFalse(tracker.record_hung(VM, 'a.0', 'a', later))
    case.assertFalse(tracker.is_quarantined(VM, later))


def test_success_resets_hung_tasks(case):
    tracker = health.WorkerHealthTracker()
    record_hung(tracker, ['a.0', 'a.1', 'b.0'])
    tracker.record_success(VM)
    case.assertFalse(record_hung(tracker, ['b.1']))


def test_probe_without_result_is_followed_by_another(case):
    tracker = health.WorkerHealthTracker()
    record_failures(tracker, ['a', 'a', 'b', 'b'])
    end = health.MIN_QUARANTINE_SECONDS
    case.assertFalse(tracker.is_probing(VM, end))
    tracker.record_placement(VM, ('c.0', 1), end)
    case.assertTrue(tracker.is_probing(VM, end + 1))
    later = end + health.PROBE_TIMEOUT_SECONDS
    case.assertFalse(tracker.is_probing(VM, later))
    case.assertTrue(tracker.awaits_probe(VM, later))


def start_probe():
    """Quarantine a worker and start a standing task there as the probe.

    :returns: the tracker, and when the task was reported as running
    """
    tracker = health.WorkerHealthTracker()
    record_failures(tracker, ['a', 'a', 'b', 'b'])
    end = health.MIN_QUARANTINE_SECONDS
    tracker.record_placement(VM, ('c.0', 1), end)
    tracker.record_running(VM, ('c.0', 1), end + 0.1)
    return tracker, end + 0.1


def test_standing_probe_that_stays_at_work_ends_the_quarantine(case):
    tracker, since = start_probe()
    tracker.clear_working(since + health.MIN_WORK_SECONDS - 0.1)
    case.assertTrue(tracker.is_probing(VM, since + 0.1))
    tracker.clear_working(since + health.MIN_WORK_SECONDS)
    case.assertFalse(tracker.awaits_probe(VM, 100.0))


def test_standing_probe_that_ends_does_not_end_the_quarantine(case):
    tracker, since = start_probe()
    tracker.record_end(VM, ('c.0', 1))
    tracker.clear_working(since + health.MIN_WORK_SECONDS)
    case.assertTrue(tracker.awaits_probe(VM, 100.0))


def test_task_from_before_the_quarantine_does_not_end_it(case):
    """A side reports all that runs again on a new connection."""
    tracker, since = start_probe()
    tracker.record_end(VM, ('c.0', 1))
    tracker.record_running(VM, ('d.0', 1), since)
    tracker.clear_working(since + health.MIN_WORK_SECONDS)
    case.assertTrue(tracker.awaits_probe(VM, 100.0))


def test_standing_probe_does_not_clear_a_worker_where_tasks_hang(case):
    """A task that hangs there is listed as running too."""
    tracker = health.WorkerHealthTracker()
    record_hung(tracker, ['a.0', 'a.1', 'b.0', 'b.1'])
    end = health.MIN_QUARANTINE_SECONDS
    tracker.record_placement(VM, ('c.0', 1), end)
    tracker.record_running(VM, ('c.0', 1), end)
    tracker.clear_working(end + health.MIN_WORK_SECONDS)
    case.assertTrue(tracker.awaits_probe(VM, 100.0))


def test_success_resets_failures(case):
    tracker = health.WorkerHealthTracker()
    record_failures(tracker, ['a', 'b', 'c'])
    tracker.record_success(VM)
    case.assertFalse(record_failures(tracker, ['a', 'b', 'c']))


def test_failed_probe_doubles_the_quarantine(case):
    tracker = health.WorkerHealthTracker()
    record_failures(tracker, ['a', 'a', 'b', 'b'])
    end = health.MIN_QUARANTINE_SECONDS
    case.assertFalse(tracker.is_quarantined(VM, end))
    case.assertTrue(tracker.awaits_probe(VM, end))
    case.assertTrue(record_failures(tracker, ['c'], end))
    later = end + 2 * health.MIN_QUARANTINE_SECONDS
    case.assertTrue(tracker.is_quarantined(VM, later - 0.1))
    case.assertFalse(tracker.is_quarantined(VM, later))


def test_successful_probe_ends_the_quarantine(case):
    tracker = health.WorkerHealthTracker()
    record_failures(tracker, ['a', 'a', 'b', 'b'])
    tracker.record_success(VM)
    case.assertFalse(tracker.is_quarantined(VM, 0.0))
    case.assertFalse(tracker.awaits_probe(VM, 100.0))


def test_workload_avoids_a_worker_that_refused_it(case):
    tracker = health.WorkerHealthTracker()
    tracker.record_refusal(VM, 'a', 0.0)
    case.assertEqual(tracker.list_avoided('a', 1.0), {VM})
    case.assertEqual(tracker.list_avoided('b', 1.0), set())
    case.assertEqual(
        tracker.list_avoided('a', health.MIN_AVOID_SECONDS), set()
    )
    tracker.record_refusal(VM, 'a', 10.0)
    case.assertEqual(tracker.list_avoided('a', 13.9), {VM})


def test_simultaneous_refusals_count_once(case):
    """Failures of one moment must not double the time again and again.

    Six tasks refused at once kept a workload away for over a minute, longer
    than a standing task may wait while there is room for it.
    """
    tracker = health.WorkerHealthTracker()
    for _ in range(6):
        tracker.record_refusal(VM, 'a', 0.0)
    case.assertEqual(
        tracker.list_avoided('a', health.MIN_AVOID_SECONDS), set()
    )


def test_old_failures_do_not_lengthen_avoidance(case):
    """A standing workload may fail now and then for as long as it runs."""
    tracker = health.WorkerHealthTracker()
    now = 0.0
    for _ in range(9):
        tracker.record_failure(VM, 'a', now)
        now += 2 * health.MAX_AVOID_SECONDS
    tracker.record_failure(VM, 'a', now)
    later = now + health.MIN_AVOID_SECONDS
    case.assertEqual(tracker.list_avoided('a', later), set())


def test_workloads_that_have_ended_are_forgotten(case):
    tracker = health.WorkerHealthTracker()
    for number in range(100):
        tracker.record_refusal(VM, f'job.{number}.0', 0.0)
    tracker.forget({'job.99.0'})
    case.assertEqual(tracker.list_avoided('job.99.0', 0.1), {VM})
    case.assertEqual(len(tracker._avoided), 1)
