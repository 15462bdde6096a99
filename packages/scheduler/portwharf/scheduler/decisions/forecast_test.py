# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Run times are learnt where estimates are off, and kept where they hold."""

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
    """Return the record of a step that its client estimates."""
    workload = data.Workload(run_ms=run_ms)
    return state.WorkloadRecord(f'job-{number}.0.0', workload=workload)


def teach(known, count, off, seed=1, true_ms=TRUE_MS):
    """Have steps measured whose estimates are off by up to a share."""
    rnd = random.Random(seed)
    for number in range(count):
        factor = 1 + rnd.uniform(-off, off)
        estimate_ms = max(1, int(true_ms * factor))
        known.note(QUEUE, make_record(number, estimate_ms), true_ms)


def test_estimate_holds_until_enough_was_measured(case):
    known = forecast.RunTimes()
    teach(known, forecast.MIN_MEASUREMENTS - 1, 0.9)
    case.assertEqual(known.predict(QUEUE, make_record('x', 500)), 500)


def test_useless_estimates_are_hardly_gone_by(case):
    known = forecast.RunTimes()
    teach(known, 60, 0.9)
    for estimate_ms in (400, 3000, 5700):
        told = known.predict(QUEUE, make_record('x', estimate_ms))
        case.assertLess(abs(told - TRUE_MS), 0.25 * TRUE_MS)


def test_good_estimates_go_before_what_is_usual(case):
    """Half of the steps run ten times as long as the others, as stated."""
    known = forecast.RunTimes()
    for number in range(60):
        true_ms = 500 if number % 2 else 5000
        known.note(QUEUE, make_record(number, true_ms), true_ms)
    for estimate_ms in (500, 5000):
        told = known.predict(QUEUE, make_record('x', estimate_ms))
        case.assertLess(abs(told - estimate_ms), 0.1 * estimate_ms)


def test_estimates_that_are_all_too_low_by_the_same_are_raised(case):
    known = forecast.RunTimes()
    for number in range(60):
        true_ms = 500 if number % 2 else 5000
        known.note(QUEUE, make_record(number, true_ms // 2), true_ms)
    told = known.predict(QUEUE, make_record('x', 2500))
    case.assertLess(abs(told - 5000), 0.1 * 5000)


def test_client_that_states_nothing_gets_what_is_usual(case):
    known = forecast.RunTimes()
    teach(known, 20, 0.2)
    told = known.predict(QUEUE, make_record('x', 0))
    case.assertLess(abs(told - TRUE_MS), 0.1 * TRUE_MS)


def test_step_goes_by_its_own_tasks(case):
    known = forecast.RunTimes()
    teach(known, 60, 0.9)
    record = make_record('own', 400)
    for run_ms in (9000, 9500, 100_000):
        known.note(QUEUE, record, run_ms)
    case.assertEqual(known.predict(QUEUE, record), 9500)


def test_wide_step_counts_once_for_its_queue(case):
    known = forecast.RunTimes()
    teach(known, 20, 0.0)
    record = make_record('wide', 30_000)
    for _ in range(100):
        known.note(QUEUE, record, 30_000)
    told = known.predict(QUEUE, make_record('x', TRUE_MS))
    case.assertLess(abs(told - TRUE_MS), 0.2 * TRUE_MS)


def test_queues_are_learnt_apart(case):
    known = forecast.RunTimes()
    teach(known, 20, 0.9)
    case.assertEqual(known.predict('checks', make_record('x', 70)), 70)


def test_lasting_step_is_not_taken_for_what_is_usual(case):
    known = forecast.RunTimes()
    teach(known, 20, 0.1)
    lasting = make_record('x', 0)
    lasting.workload.kind = data.Kind.STANDING
    case.assertEqual(known.predict(QUEUE, lasting), 0)


def test_steps_that_are_over_are_forgotten(case):
    known = forecast.RunTimes()
    record = make_record('own', 400)
    known.note(QUEUE, record, 9000)
    known.forget({})
    case.assertEqual(known.predict(QUEUE, record), 400)


def accept(known, *steps):
    """Return a state with one job, and what is known of its first step."""
    made = state.ShardState()
    job = jobs_test.make_job(*steps, stretch=2.0, allowance_ms=1000)
    made.apply(events.JobAccepted(NOW, job))
    return made, forecast.Forecast(made, known)


def test_prospect_goes_by_what_is_known(case):
    known = forecast.RunTimes()
    first = jobs_test.make_step(2, run_ms=500)
    second = jobs_test.make_step(1, ['0'], run_ms=1000)
    made, before = accept(known, first, second)
    records = [made.workloads[n] for n in (jobs_test.FIRST, jobs_test.SECOND)]
    # Objective: twice the chain of 1.5 s and a second.
    begins = [before.look_at(record).begin_ms for record in records]
    case.assertEqual(begins, [NOW + 2500, NOW + 3000])
    one = before.look_at(records[0])
    case.assertEqual(one.late_ms, NOW + 3 * 4000)
    case.assertEqual(one.left, 1000 * (2 * 500 + 1000))
    known.note(jobs_test.make_job().queue, records[0], 3000)
    after = forecast.Forecast(made, known)
    begins = [after.look_at(record).begin_ms for record in records]
    case.assertEqual(begins, [NOW + 5000, NOW + 8000])
    case.assertEqual(after.look_at(records[1]).left, 1000 * (6000 + 1000))


def test_job_without_a_stretch_keeps_its_objective(case):
    made = jobs_test.accept()
    looked = forecast.Forecast(made)
    step_forecast = looked.look_at(made.workloads[jobs_test.FIRST])
    case.assertEqual(step_forecast.late_ms, NOW + 3 * 2000)


def test_each_time_of_a_job_is_looked_at_by_itself(case):
    made = jobs_test.accept(
        jobs_test.make_step(2), times=2, first_ms=NOW, interval_ms=5000
    )
    later = made.workloads[f'{jobs_test.ID}.1.0']
    step_forecast = forecast.Forecast(made).look_at(later)
    case.assertEqual(step_forecast.begin_ms, NOW + 5000 + 2000 - 500)
    case.assertEqual(step_forecast.left, 1000 * 2 * 500)


def test_claim_of_a_task_goes_by_what_is_known(case):
    known = forecast.RunTimes()
    made, _ = accept(known, jobs_test.make_step(2, run_ms=500))
    record = made.workloads[jobs_test.FIRST]
    known.note(jobs_test.make_job().queue, record, 3000)
    claim = precedence.Weigher(made, NOW, known).make_claim(record)
    case.assertEqual(claim.left, 6.0)
    case.assertEqual(claim.due_ms, NOW + 7000)
