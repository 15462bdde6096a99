# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Run times are learnt where estimates are wrong, and kept where right."""

import random

from portwharf.core import data
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events
from portwharf.scheduler import jobs_test
from portwharf.scheduler import state

NOW = jobs_test.NOW
QUEUE = 'plans'
TRUE_MS = 3000


def make_record(number, run_ms):
    """Return the record of a step with a client's estimate."""
    workload = data.Workload(run_ms=run_ms)
    return state.WorkloadRecord(f'job-{number}.0.0', workload=workload)


def record_run_times(runtimes, count, max_error, seed=1, true_ms=TRUE_MS):
    """Record run times of steps whose estimates err by up to a share."""
    rnd = random.Random(seed)
    for number in range(count):
        factor = 1 + rnd.uniform(-max_error, max_error)
        estimate_ms = max(1, int(true_ms * factor))
        runtimes.record_run_time(
            QUEUE, make_record(number, estimate_ms), true_ms
        )


def test_estimate_is_used_until_enough_was_measured(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, forecast.MIN_MEASUREMENTS - 1, 0.9)
    case.assertEqual(runtimes.predict(QUEUE, make_record('x', 500)), 500)


def test_useless_estimates_have_little_effect(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 60, 0.9)
    for estimate_ms in (400, 3000, 5700):
        predicted_ms = runtimes.predict(QUEUE, make_record('x', estimate_ms))
        case.assertLess(abs(predicted_ms - TRUE_MS), 0.25 * TRUE_MS)


def test_good_estimates_outweigh_usual_run_times(case):
    """Half of the steps run ten times as long as the others, as estimated."""
    runtimes = forecast.RunTimeModel()
    for number in range(60):
        true_ms = 500 if number % 2 else 5000
        runtimes.record_run_time(QUEUE, make_record(number, true_ms), true_ms)
    for estimate_ms in (500, 5000):
        predicted_ms = runtimes.predict(QUEUE, make_record('x', estimate_ms))
        case.assertLess(abs(predicted_ms - estimate_ms), 0.1 * estimate_ms)


def test_constant_bias_of_estimates_is_corrected(case):
    runtimes = forecast.RunTimeModel()
    for number in range(60):
        true_ms = 500 if number % 2 else 5000
        runtimes.record_run_time(
            QUEUE, make_record(number, true_ms // 2), true_ms
        )
    predicted_ms = runtimes.predict(QUEUE, make_record('x', 2500))
    case.assertLess(abs(predicted_ms - 5000), 0.1 * 5000)


def test_missing_estimate_gives_usual_run_time(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 20, 0.2)
    predicted_ms = runtimes.predict(QUEUE, make_record('x', 0))
    case.assertLess(abs(predicted_ms - TRUE_MS), 0.1 * TRUE_MS)


def test_step_uses_median_of_its_own_tasks(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 60, 0.9)
    record = make_record('own', 400)
    for run_ms in (9000, 9500, 100_000):
        runtimes.record_run_time(QUEUE, record, run_ms)
    case.assertEqual(runtimes.predict(QUEUE, record), 9500)


def test_wide_step_counts_once_for_its_queue(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 20, 0.0)
    record = make_record('wide', 30_000)
    for _ in range(100):
        runtimes.record_run_time(QUEUE, record, 30_000)
    predicted_ms = runtimes.predict(QUEUE, make_record('x', TRUE_MS))
    case.assertLess(abs(predicted_ms - TRUE_MS), 0.2 * TRUE_MS)


def test_queues_are_learnt_separately(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 20, 0.9)
    case.assertEqual(runtimes.predict('checks', make_record('x', 70)), 70)


def test_standing_step_keeps_its_own_run_time(case):
    runtimes = forecast.RunTimeModel()
    record_run_times(runtimes, 20, 0.1)
    lasting = make_record('x', 0)
    lasting.workload.kind = data.Kind.STANDING
    case.assertEqual(runtimes.predict(QUEUE, lasting), 0)


def test_ended_steps_are_dropped(case):
    runtimes = forecast.RunTimeModel()
    record = make_record('own', 400)
    runtimes.record_run_time(QUEUE, record, 9000)
    runtimes.forget({})
    case.assertEqual(runtimes.predict(QUEUE, record), 400)


def accept(runtimes, *steps):
    """Return a state with one job, and its forecasts."""
    shard_state = state.ShardState()
    job = jobs_test.make_job(*steps, stretch=2.0, allowance_ms=1000)
    shard_state.apply(events.JobAccepted(NOW, job))
    return shard_state, forecast.Forecast(shard_state, runtimes)


def test_step_forecast_uses_measured_run_times(case):
    runtimes = forecast.RunTimeModel()
    first = jobs_test.make_step(2, run_ms=500)
    second = jobs_test.make_step(1, ['0'], run_ms=1000)
    shard_state, before = accept(runtimes, first, second)
    records = [
        shard_state.workloads[n] for n in (jobs_test.FIRST, jobs_test.SECOND)
    ]
    # The objective is twice the chain of 1.5 s, plus 1 s.
    begins = [before.get_step_forecast(record).begin_ms for record in records]
    case.assertEqual(begins, [NOW + 2500, NOW + 3000])
    one = before.get_step_forecast(records[0])
    case.assertEqual(one.late_ms, NOW + 3 * 4000)
    case.assertEqual(one.left, 1000 * (2 * 500 + 1000))
    runtimes.record_run_time(jobs_test.make_job().queue, records[0], 3000)
    after = forecast.Forecast(shard_state, runtimes)
    begins = [after.get_step_forecast(record).begin_ms for record in records]
    case.assertEqual(begins, [NOW + 5000, NOW + 8000])
    case.assertEqual(
        after.get_step_forecast(records[1]).left, 1000 * (6000 + 1000)
    )


def test_job_without_a_stretch_keeps_its_objective(case):
    shard_state = jobs_test.accept()
    forecasts = forecast.Forecast(shard_state)
    step_forecast = forecasts.get_step_forecast(
        shard_state.workloads[jobs_test.FIRST]
    )
    case.assertEqual(step_forecast.late_ms, NOW + 3 * 2000)


def test_objective_counts_from_the_first_submission(case):
    """A refused job that returns is as late as if it had been accepted."""
    accepted = jobs_test.accept(asked_ms=NOW - 1500, caller='a', zone='b')
    restored = state.ShardState.unpack(accepted.pack())
    case.assertEqual(restored.jobs, accepted.jobs)
    step_forecast = forecast.Forecast(restored).get_step_forecast(
        restored.workloads[jobs_test.FIRST]
    )
    case.assertEqual(step_forecast.late_ms, NOW - 1500 + 3 * 2000)


def test_runs_of_a_job_are_forecast_separately(case):
    shard_state = jobs_test.accept(
        jobs_test.make_step(2), times=2, first_ms=NOW, interval_ms=5000
    )
    shard_state.apply(events.OccurrencesDue(jobs_test.ID, 2))
    later = shard_state.workloads[f'{jobs_test.ID}.1.0']
    step_forecast = forecast.Forecast(shard_state).get_step_forecast(later)
    case.assertEqual(step_forecast.begin_ms, NOW + 5000 + 2000 - 500)
    case.assertEqual(step_forecast.left, 1000 * 2 * 500)


def test_claim_uses_measured_run_times(case):
    runtimes = forecast.RunTimeModel()
    shard_state, _ = accept(runtimes, jobs_test.make_step(2, run_ms=500))
    record = shard_state.workloads[jobs_test.FIRST]
    runtimes.record_run_time(jobs_test.make_job().queue, record, 3000)
    claim = precedence.Weigher(shard_state, NOW, runtimes).make_claim(record)
    case.assertEqual(claim.left, 6.0)
    case.assertEqual(claim.due_ms, NOW + 7000)
