# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Accepted jobs take no more memory than their processes have.

These guard against processes that are ended one after the other, as each
reads a log of more jobs than it can hold (incident 0032).
"""

import gc
import tracemalloc

from portwharf.core import data
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import state
from portwharf.testing import cluster

NOW_MS = 1_800_000_000_000
JOBS = 100


def make_job(number, steps=2, count=1, chained=True, **fields):
    """Return a job; each of its steps depends on all before it."""
    rows = [
        data.Workload(
            count=count,
            resources=data.Resources(100, 100),
            pool='pool',
            image=f'image-{number}',
            after=[str(one) for one in range(step)] if chained else [],
            run_ms=500,
        )
        for step in range(steps)
    ]
    return data.Job(f'{number:016x}', 'plans', steps=rows, **fields)


def accept(made, job):
    """Accept a job and place all tasks of its first occurrence."""
    made.apply(events.JobAccepted(NOW_MS, job))
    if job.times:
        made.apply(events.OccurrencesDue(job.id, 1))
    for number, step in enumerate(job.steps):
        for task in range(step.count):
            name = f'{job.id}.0.{number}.{task}'
            made.apply(events.TaskPlaced(name, 1, 'vm-1'))


def measure_bytes(make):
    """Return the memory that the result of a function takes."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def test_estimates_cover_what_restored_jobs_take(case):
    shapes = (
        {'steps': 1},
        {'steps': 8},
        {'steps': 32},
        {'steps': 1, 'count': 100},
        {'steps': 2, 'times': 2**53, 'interval_ms': 1000},
        {'steps': 1, 'argument': b'x' * 4000},
    )
    for shape in shapes:
        made = state.ShardState()
        for number in range(JOBS):
            accept(made, make_job(number, **shape))
        raw = made.pack()
        restored, taken = measure_bytes(lambda: state.ShardState.unpack(raw))
        case.assertEqual(restored.job_bytes, made.job_bytes)
        case.assertLess(taken, 1.1 * restored.job_bytes, shape)


def test_memory_of_dropped_jobs_is_free(case):
    made = state.ShardState()
    for number in range(3):
        accept(made, make_job(number))
    for number in range(3):
        case.assertGreater(made.job_bytes, 0)
        made.apply(events.JobDropped(f'{number:016x}'))
    case.assertEqual(made.job_bytes, 0)


def test_job_without_memory_for_it_is_refused_before_it_is_logged(case):
    made = cluster.Cluster(3)
    made.run(4)
    owner = made.nodes[0].owner
    each = jobs.estimate_job_bytes(make_job(0))
    owner._decider.admission._max_job_bytes = 5 * each
    futures = [made.submit_job(make_job(number)) for number in range(8)]
    made.run(4)
    answers = [one.value for one in futures]
    refused = [one for one in answers if isinstance(one, data.Problem)]
    case.assertEqual(len(refused), 3)
    for problem in refused:
        case.assertIn(job_admission.REASON_FULL, problem.text)
        case.assertEqual(problem.retry_after_ms, job_admission.FULL_RETRY_MS)
    case.assertEqual(len(made.read_state().jobs), 5)
    large = made.submit_job(make_job(9, count=100_000))
    again = made.submit_job(make_job(0))
    made.run(4)
    case.assertEqual(large.value.retry_after_ms, 0)
    case.assertEqual(again.value.id, f'{0:016x}')


def test_recurring_jobs_count_once_however_often_they_run(case):
    one, many = (
        make_job(1, times=times, interval_ms=1000) for times in (1, 2**53)
    )
    case.assertEqual(
        jobs.estimate_job_bytes(one), jobs.estimate_job_bytes(many)
    )
