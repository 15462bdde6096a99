# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Run times are estimated from progress, also when throttled or resumed."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import runtimes
from portwharf import workers

TASK = 'job.0.0.0'


def make_attempt(percent, **fields):
    """Return an attempt with some progress, in percent."""
    values = {'task': TASK, 'attempt': 1, 'state': data.RunState.RUNNING}
    values |= {'percent': percent, 'kind': data.Kind.BATCH}
    return workers.Attempt(**{**values, **fields})


def start_task(estimator, now=0.0, checkpoint=''):
    """Record a start."""
    start = workers.Start(TASK, 1, checkpoint=checkpoint)
    start.kind = data.Kind.BATCH
    estimator.record_start(start, now)


def make_paced(percent):
    """Return the shares of a task that is throttled."""
    return [messages.PacedTask(TASK, 1, percent)]


def test_run_time_is_extrapolated_from_a_third(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator)
    estimator.update([make_attempt(20)], [], 0.5)
    case.assertEqual(estimator.take_estimates(), [])
    estimator.update([make_attempt(40)], [], 1.0)
    case.assertEqual(
        estimator.take_estimates(), [messages.RunMeasure(TASK, 2500)]
    )
    estimator.update([make_attempt(80)], [], 2.0)
    case.assertEqual(estimator.take_estimates(), [])


def test_short_task_is_measured_at_its_end(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator)
    done = make_attempt(0, state=data.RunState.SUCCEEDED)
    estimator.update([done], [], 0.7)
    case.assertEqual(
        estimator.take_estimates(), [messages.RunMeasure(TASK, 700)]
    )


def test_time_at_half_share_counts_half(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator)
    estimator.update([make_attempt(10)], make_paced(50), 0.4)
    estimator.update([make_attempt(20)], make_paced(50), 1.2)
    estimator.update([make_attempt(50)], [], 3.6)
    case.assertEqual(
        estimator.take_estimates(), [messages.RunMeasure(TASK, 4000)]
    )


def test_task_at_a_tiny_share_is_not_measured(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator)
    estimator.update([make_attempt(10)], make_paced(3), 0.4)
    estimator.update([make_attempt(80)], [], 9.0)
    case.assertEqual(estimator.take_estimates(), [])


def test_resumed_task_is_measured_from_its_first_progress(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator, checkpoint='saved')
    estimator.update([make_attempt(0)], [], 0.4)
    estimator.update([make_attempt(50)], [], 1.0)
    estimator.update([make_attempt(90)], [], 2.0)
    case.assertEqual(
        estimator.take_estimates(), [messages.RunMeasure(TASK, 2500)]
    )


def test_standing_task_is_not_measured(case):
    estimator = runtimes.RuntimeEstimator()
    standing = make_attempt(100, kind=data.Kind.STANDING)
    estimator.update([standing], [], 1.0)
    estimator.update([standing], [], 9.0)
    case.assertEqual(estimator.take_estimates(), [])


def test_failed_task_is_not_measured(case):
    estimator = runtimes.RuntimeEstimator()
    start_task(estimator)
    failed = make_attempt(100, state=data.RunState.FAILED)
    estimator.update([failed], [], 0.7)
    case.assertEqual(estimator.take_estimates(), [])


def test_due_estimates_are_bounded(case):
    estimator = runtimes.RuntimeEstimator()
    for number in range(2 * runtimes.MAX_DUE):
        start = workers.Start(f'job.0.0.{number}', 1)
        start.kind = data.Kind.BATCH
        estimator.record_start(start, 0.0)
    done = [
        make_attempt(100, task=f'job.0.0.{number}')
        for number in range(2 * runtimes.MAX_DUE)
    ]
    estimator.update(done, [], 1.0)
    case.assertEqual(len(estimator.take_estimates()), runtimes.MAX_DUE)
