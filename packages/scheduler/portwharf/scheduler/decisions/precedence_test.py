# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tasks that complete a job for the least headroom go first."""

from portwharf.core import data
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events
from portwharf.scheduler import state

NOW = 100_000


def rank(left, press, due_ms=NOW, late_ms=NOW):
    """Return the rank of a task at NOW."""
    claim = precedence.Claim(left, due_ms, late_ms)
    return precedence.rank(claim.weigh(NOW), press)


def test_nearly_done_job_goes_before_one_that_has_just_begun(case):
    case.assertLess(rank(10.0, 4.0), rank(100.0, 4.0))


def test_light_task_goes_before_a_heavy_one_of_a_similar_job(case):
    case.assertLess(rank(50.0, 0.5), rank(50.0, 8.0))


def test_task_with_no_press_goes_first(case):
    case.assertLess(rank(200.0, 0.0), rank(40.0, 2.0))


def test_late_job_yields_to_one_in_time(case):
    late = rank(20.0, 4.0, due_ms=NOW - 1)
    case.assertLess(rank(100.0, 4.0), late)


def test_too_late_job_yields_to_a_late_one(case):
    lost = rank(20.0, 4.0, due_ms=NOW - 2, late_ms=NOW - 1)
    case.assertLess(rank(100.0, 4.0, due_ms=NOW - 1), lost)


def test_task_without_a_job_gets_the_least_weight(case):
    case.assertEqual(precedence.Claim().weigh(NOW), 1.0)


def test_job_weighs_less_with_each_task_that_is_done(case):
    size = data.Resources(2000, 100)
    step = data.Workload(count=4, resources=size, run_ms=5000, fills=True)
    shard_state = state.ShardState()
    job = data.Job('5c0e7a21d94b36f8', steps=[step], objective_ms=9000)
    shard_state.apply(events.JobAccepted(NOW, job))
    (name,) = shard_state.workloads
    record = shard_state.workloads[name]
    case.assertEqual(precedence.Weigher(shard_state, NOW).weigh(record), 40.0)
    shard_state.apply(events.TaskPlaced(f'{name}.0', 1, 'vm-1'))
    shard_state.apply(
        events.TaskEnded(f'{name}.0', 1, data.TaskState.SUCCEEDED)
    )
    case.assertEqual(precedence.Weigher(shard_state, NOW).weigh(record), 30.0)
    # The job is in time until the step should have ended, and late after it.
    case.assertEqual(
        precedence.Weigher(shard_state, NOW + 9000).weigh(record), 30.0
    )
    late = precedence.Weigher(shard_state, NOW + 9001).weigh(record)
    case.assertEqual(late, 30.0 * precedence.LATE_PENALTY)
