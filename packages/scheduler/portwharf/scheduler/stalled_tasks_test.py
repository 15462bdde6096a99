# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tasks that make no progress on a worker that lists them as running.

The VM is heard, its side reports and the worker renews leases, so that nothing
counts as lost. Other workers have room.
"""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler.decisions import hung_tasks
from portwharf.scheduler import jobs_test
from portwharf.side import progress
from portwharf.testing import cluster

# Many times the run time that the client has stated.
WAIT_SECONDS = 30.0


def start_task(**fields):
    """Return a cluster that runs a job of one task, and the task's worker."""
    made = cluster.Cluster(3)
    made.run(3)
    step = jobs_test.make_step(1, run_ms=500, **fields)
    made.submit_job(jobs_test.make_job(step))
    made.run(2)
    (worker,) = [node.worker for node in made.nodes if node.worker.runs]
    return made, worker


def runs_elsewhere(made, worker):
    """Tell whether another worker has begun the task."""
    return any(
        node.worker.record for node in made.nodes if node.worker is not worker
    )


def test_batch_task_whose_progress_has_stopped_is_moved(case):
    made, worker = start_task()
    worker.runs[0].attempt.percent = 20
    made.run(WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, worker))


def test_standing_task_that_is_never_at_work_is_moved(case):
    made, worker = start_task(kind=data.Kind.STANDING)
    worker.runs[0].attempt.percent = 20
    made.run(WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, worker))


def test_standing_task_that_is_at_work_stays(case):
    made, worker = start_task(kind=data.Kind.STANDING)
    worker.runs[0].attempt.percent = 100
    made.run(WAIT_SECONDS)
    case.assertFalse(runs_elsewhere(made, worker))


def test_task_that_progresses_slowly_stays(case):
    """At 1% in 5 s it takes a thousand times the run time that was stated."""
    made, worker = start_task()
    for percent in range(20, 30):
        worker.runs[0].attempt.percent = percent
        made.run(5.0)
    case.assertFalse(runs_elsewhere(made, worker))


def test_restarted_side_counts_anew(case):
    made, worker = start_task()
    (node,) = [node for node in made.nodes if node.worker is worker]
    (other, _) = [node for node in made.nodes if node.worker is not worker]
    node.end_owner()
    other.claim()
    worker.runs[0].attempt.percent = 20
    for _ in range(4):
        made.run(hung_tasks.MIN_HUNG_MS / 1000 - 1.5)
        made.restart_side(node)
    case.assertFalse(runs_elsewhere(made, worker))
    made.run(WAIT_SECONDS)
    case.assertTrue(runs_elsewhere(made, worker))


def test_moves_of_a_task_that_hangs_everywhere_are_bounded(case):
    made, _ = start_task()
    made.run(1200.0)
    starts = sum(len(node.worker.record) for node in made.nodes)
    case.assertEqual(starts, 1 + hung_tasks.MAX_MOVES)


def test_side_that_does_not_report_hung_tasks_changes_nothing(case):
    """Sides of an earlier version send heartbeats without this field."""
    case.enterContext(
        mock.patch.object(progress.ProgressTracker, 'list_hung', lambda _: [])
    )
    made, worker = start_task()
    made.run(WAIT_SECONDS)
    case.assertFalse(runs_elsewhere(made, worker))
