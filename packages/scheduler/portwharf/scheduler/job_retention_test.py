# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Ended jobs are kept for as long as clients may ask for them.

A job that is dropped earlier is answered as unknown, and one that is sent
again is accepted and runs once more.
"""

import math

from portwharf.core import data
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import events
from portwharf.scheduler import job_retention
from portwharf.scheduler import jobs
from portwharf.scheduler import state

NOW = 1000.0
NOW_MS = 1_000_000_000
DAYS_2_MS = 2 * 24 * 3600 * 1000
# Time for which clients may ask for an ended job.
STATUS_SECONDS = 120


def end_jobs(count, accepted_ms):
    """Return a state with completed jobs of one task each."""
    made = state.ShardState()
    for number in range(count):
        name = f'{number:016x}'
        steps = [data.Workload(run_ms=1000)]
        made.apply(
            events.JobAccepted(accepted_ms, data.Job(name, steps=steps))
        )
        task = f'{name}.0.0.0'
        made.apply(events.TaskPlaced(task, 1, 'vm-1'))
        made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))
    return made


def test_jobs_that_have_just_ended_are_kept_however_many_there_are(case):
    made = end_jobs(
        pass_inputs.MAX_ENDED + 5, NOW_MS - STATUS_SECONDS * 1000 // 2
    )
    kept = job_retention.JobRetention(made, math.inf)
    case.assertEqual(kept.list_expired(NOW, NOW_MS), [])
    later = NOW + STATUS_SECONDS
    case.assertEqual(kept.list_expired(later, NOW_MS), [])
    later = NOW + job_retention.KEEP_SECONDS
    case.assertEqual(len(kept.list_expired(later, NOW_MS)), 5)


def test_job_is_not_dropped_as_it_ends_however_long_it_ran(case):
    """Guards against unknown jobs after a long run (incident 0034)."""
    for count in (1, pass_inputs.MAX_ENDED + 1):
        made = end_jobs(count, NOW_MS - DAYS_2_MS)
        kept = job_retention.JobRetention(made, math.inf)
        case.assertEqual(kept.list_expired(NOW, NOW_MS), [])
        later = NOW + STATUS_SECONDS
        case.assertEqual(kept.list_expired(later, NOW_MS), [])
        later = NOW + job_retention.KEEP_SECONDS
        case.assertEqual(len(kept.list_expired(later, NOW_MS)), count)


def test_job_of_an_id_that_was_dropped_ages_anew(case):
    made = end_jobs(1, NOW_MS - DAYS_2_MS)
    kept = job_retention.JobRetention(made, math.inf)
    kept.list_expired(NOW, NOW_MS)
    later = NOW + job_retention.KEEP_SECONDS
    (name,) = kept.list_expired(later, NOW_MS)
    made.apply(events.JobDropped(name))
    case.assertEqual(kept.list_expired(later, NOW_MS), [])
    made.jobs.update(end_jobs(1, NOW_MS - DAYS_2_MS).jobs)
    made.workloads.update(end_jobs(1, 0).workloads)
    case.assertEqual(kept.list_expired(later + 20, NOW_MS), [])


def test_ended_jobs_make_room_once_memory_is_half_full(case):
    made = end_jobs(10, NOW_MS)
    each = jobs.estimate_job_bytes(next(iter(made.jobs.values())).job)
    kept = job_retention.JobRetention(made, 14 * each)
    case.assertEqual(kept.list_expired(NOW, NOW_MS), [])
    later = NOW + job_retention.KEEP_SECONDS
    expected = [f'{number:016x}' for number in range(3)]
    case.assertEqual(kept.list_expired(later, NOW_MS), expected)
