# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Each check of the soak test finds its violation, and only that."""

import json

from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_refusals
from portwharf.testing import soak_runner

JOB_ID = '5c0e7a21d94b36f8'
SPEC = json.dumps({'id': JOB_ID, 'steps': []})
FIRST_TASK = f'{JOB_ID}.0.0.0'
SECOND_TASK = f'{JOB_ID}.0.1.0'


def make_job(**fields):
    """Return a client's view of an accepted job of two steps."""
    step = {'count': 1, 'gang': False, 'longRunning': False}
    values = {'statuses': [200], 'accepted': 1.0, 'states': ['completed']}
    values |= {'steps': [step, {**step, 'watchRev': [0]}]}
    return soak_clients.ClientJob(JOB_ID, SPEC, **{**values, **fields})


def make_span(task=FIRST_TASK, began=1.0, ended=2.0, how='done', **fields):
    """Return one run of a task."""
    return soak_runner.Span(
        task, spec=SPEC, began=began, ended=ended, how=how, **fields
    )


def run_checks(job, *spans):
    """Return the messages of all checks."""
    return soak_checks.check_all([job], list(spans))


def test_valid_run_passes_all_checks(case):
    spans = [make_span(), make_span(SECOND_TASK, 2.1, 3.0)]
    case.assertEqual(run_checks(make_job(), *spans), [])


def test_two_runs_at_once_are_found(case):
    spans = [make_span(how='stopped'), make_span(began=1.5, ended=3.0, run=2)]
    (problem,) = run_checks(make_job(), *spans)
    case.assertIn('two runs at once', problem)


def test_run_that_overlaps_the_next_but_one_is_found(case):
    spans = [
        make_span(ended=9.0, how='stopped'),
        make_span(began=4.0, ended=5.0, how='stopped', run=2),
        make_span(began=8.0, ended=8.5, how='stopped', run=3),
    ]
    problems = run_checks(make_job(), *spans)
    case.assertTrue(all('two runs at once' in one for one in problems))
    case.assertEqual(len(problems), 2)


def test_run_after_an_acknowledged_end_is_found(case):
    again = make_span(began=9.0, ended=10.0, run=2)
    case.assertEqual(run_checks(make_job(), make_span(), again), [])
    (problem,) = run_checks(make_job(), make_span(acked=2.1), again)
    case.assertIn('again after its acknowledged end', problem)


def test_run_between_an_end_and_its_acknowledgement_is_found(case):
    for acked in (2.02, 3.0, 60.0):
        spans = [make_span(acked=acked), make_span(began=2.01, ended=2.5)]
        (problem,) = run_checks(make_job(), *spans)
        case.assertIn('again after its acknowledged end', problem)


def test_run_of_a_lower_attempt_after_an_acknowledged_end_is_found(case):
    spans = [
        make_span(run=2, acked=2.1),
        make_span(began=2.0, ended=2.0, how='lapsed', run=1),
    ]
    (problem,) = run_checks(make_job(), *spans)
    case.assertIn('again after its acknowledged end', problem)


def test_step_before_the_previous_one_is_done_is_found(case):
    (problem,) = run_checks(
        make_job(), make_span(), make_span(SECOND_TASK, 1.9, 3.0)
    )
    case.assertIn('before the previous step was done', problem)


def test_attempt_after_the_last_allowed_failure_is_found(case):
    times = (1.0, 3.0, 5.0)
    failed = [
        make_span(began=at, ended=at + 1, how='failed', acked=at + 1)
        for at in times
    ]
    job = make_job(hopeless=True, states=['failed'])
    case.assertEqual(run_checks(job, *failed), [])
    for began in (6.0, 6.5, 9.0):
        late = make_span(began=began, ended=10.0, how='failed')
        (problem,) = run_checks(job, *failed, late)
        case.assertIn('after its last allowed failure', problem)


def test_attempt_before_the_last_failure_is_acknowledged_is_found(case):
    failed = [
        make_span(began=at, ended=at + 1, how='failed', acked=20.0)
        for at in (1.0, 3.0, 5.0)
    ]
    job = make_job(hopeless=True, states=['failed'])
    late = make_span(began=9.0, ended=10.0, how='failed')
    (problem,) = run_checks(job, *failed, late)
    case.assertIn('after its last allowed failure', problem)


def test_unknown_spec_and_foreign_checkpoint_are_found(case):
    unknown = make_span('0000000000000000.0.0.0')
    case.assertIn(
        'spec is not one that a client submitted',
        run_checks(make_job(), unknown)[0],
    )
    foreign = make_span(saved=f'{SECOND_TASK}|500')
    case.assertIn('checkpoint', run_checks(make_job(), foreign)[0])


def test_refused_job_that_ran_is_found(case):
    job = make_job(statuses=[503, 429], accepted=None, states=[])
    (problem,) = run_checks(job, make_span())
    case.assertIn('ran although refused', problem)
    job.statuses.append(504)
    case.assertEqual(run_checks(job, make_span()), [])


def test_mixed_attempts_of_a_gang_are_found(case):
    job = make_job()
    job.steps[0]['gang'] = True
    one = make_span(how='broken', run=1)
    other = make_span(f'{JOB_ID}.0.0.1', 1.5, 3.0, run=2)
    (problem,) = run_checks(job, one, other)
    case.assertIn('two attempts of a gang at once', problem)


def test_mixed_attempts_that_do_not_start_in_a_row_are_found(case):
    job = make_job()
    job.steps[0]['gang'] = True
    spans = [
        make_span(how='broken', ended=9.0, run=1),
        make_span(f'{JOB_ID}.0.0.1', 1.5, 1.6, how='broken', run=1),
        make_span(f'{JOB_ID}.0.0.1', 4.0, 8.0, run=2),
    ]
    (problem,) = run_checks(job, *spans)
    case.assertIn('two attempts of a gang at once', problem)


def test_job_without_its_final_state_is_found(case):
    (problem,) = run_checks(make_job(states=['running']))
    case.assertIn('expected completed', problem)


def test_cancelled_task_that_still_runs_is_found(case):
    job = make_job(cancelled=2.0, cancel_sent=True)
    (problem,) = run_checks(job, make_span(ended=None, how=''))
    case.assertIn('still running', problem)


def test_start_long_after_a_cancellation_is_found(case):
    job = make_job(cancelled=2.0, cancel_sent=True)
    limit = (
        2.0 + soak_checks.CANCEL_DELAY_SECONDS + soak_checks.LATE_START_SECONDS
    )
    in_time = make_span(began=limit - 0.1, ended=limit, how='stopped')
    case.assertEqual(run_checks(job, in_time), [])
    late = make_span(began=limit + 0.1, ended=limit + 0.2, how='stopped')
    (problem,) = run_checks(job, late)
    case.assertIn('s after its cancellation', problem)


def test_run_that_outlasts_its_cancellation_by_a_lease_is_found(case):
    job = make_job(cancelled=2.0, cancel_sent=True)
    limit = (
        2.0
        + soak_checks.LONGEST_LEASE_SECONDS
        + soak_checks.LATE_START_SECONDS
    )
    in_time = make_span(ended=limit - 0.1, how='stopped')
    case.assertEqual(run_checks(job, in_time), [])
    (problem,) = run_checks(job, make_span(ended=limit + 0.1, how='stopped'))
    case.assertIn('ran on for', problem)


def test_run_that_outlasts_ignored_stops_by_a_lease_is_found(case):
    """A runner that ignores stops may go on only until it answers again."""
    job = make_job(cancelled=2.0, cancel_sent=True)
    limit = (
        20.0
        + soak_checks.LONGEST_LEASE_SECONDS
        + soak_checks.LATE_START_SECONDS
    )
    in_time = make_span(ended=limit - 0.1, how='stopped', ignored_until=20.0)
    case.assertEqual(run_checks(job, in_time), [])
    late = make_span(ended=limit + 0.1, how='stopped', ignored_until=20.0)
    (problem,) = run_checks(job, late)
    case.assertIn('ran on for', problem)


def test_start_that_was_carried_out_very_late_is_not_bound_by_a_time(case):
    job = make_job(cancelled=2.0, cancel_sent=True)
    limit = soak_checks.LONGEST_LEASE_SECONDS + soak_checks.LATE_START_SECONDS
    span = make_span(
        began=12.0, ended=12.0 + limit, how='stopped', late_seconds=12.0
    )
    case.assertEqual(run_checks(job, span), [])
    closure = soak_checks.Closure('zone-1', 1.0, 30.0)
    case.assertEqual(
        soak_checks.check_zones([closure], [('zone-1', span)]), []
    )
    span.ended += 0.1
    (problem,) = run_checks(job, span)
    case.assertIn('ran on for', problem)
    span.late_seconds = soak_checks.LATE_START_SECONDS
    case.assertEqual(len(run_checks(job, span)), 2)


def test_too_many_crashes_of_a_crasher_are_found(case):
    job = make_job(crashes=True, states=['failed'])
    runs = [
        make_span(f'{JOB_ID}.0.0.0', turn, turn + 0.5, how='crashed', run=turn)
        for turn in range(1, 10)
    ]
    case.assertEqual(run_checks(job, *runs[:5]), [])
    (problem,) = run_checks(job, *runs)
    case.assertIn('started too often after crashes', problem)


def test_crasher_that_is_not_given_up_is_found(case):
    (problem,) = run_checks(make_job(crashes=True, states=['running']))
    case.assertIn('expected failed', problem)


def test_start_in_a_zone_that_has_long_been_closed_is_found(case):
    closure = soak_checks.Closure('zone-1', 10.0, 30.0)
    limit = (
        soak_checks.ZONE_CLOSURE_DELAY_SECONDS + soak_checks.LATE_START_SECONDS
    )
    for began, count in ((9.0, 0), (10.1 + limit, 1), (31.0, 0)):
        spans_by_zone = [
            ('zone-1', make_span(began=began)),
            ('zone-2', make_span()),
        ]
        found = soak_checks.check_zones([closure], spans_by_zone)
        case.assertEqual(len(found), count)


def make_refused_job(*replies):
    """Return a job with given replies, each (status, sent, retry_after)."""
    rows = [
        soak_clients.Reply(status, sent, sent + 0.1, retry_after)
        for status, sent, retry_after in replies
    ]
    statuses = [row.status for row in rows]
    accepted = 1.0 if 200 in statuses else None
    states = ['completed'] if accepted else []
    return make_job(
        statuses=statuses, replies=rows, accepted=accepted, states=states
    )


def test_run_before_the_accepted_submission_is_found(case):
    replies = [(429, 1.0, '2'), (503, 1.5, '1'), (200, 4.0, None)]
    job = make_refused_job(*replies)
    case.assertEqual(run_checks(job, make_span(began=4.01, ended=5.0)), [])
    (problem,) = run_checks(job, make_span(began=3.9, ended=5.0))
    case.assertIn('ran after nothing but refusals', problem)
    # A submission without an answer may have been accepted.
    job = make_refused_job((429, 1.0, '2'), (0, 3.5, None), (200, 4.0, None))
    case.assertEqual(run_checks(job, make_span(began=3.9, ended=5.0)), [])


def test_run_of_a_job_that_was_only_refused_for_room_is_found(case):
    job = make_refused_job((429, 1.0, '2'), (429, 1.2, '2'))
    case.assertEqual(run_checks(job), [])
    problems = run_checks(job, make_span(began=9.0, ended=10.0))
    case.assertTrue(any('ran although refused' in one for one in problems))


def test_refusal_for_room_after_an_acceptance_is_found(case):
    job = make_refused_job((429, 1.0, '2'), (200, 3.0, None), (504, 4.0, '1'))
    case.assertEqual(run_checks(job, make_span(began=3.1, ended=4.0)), [])
    job = make_refused_job((200, 3.0, None), (504, 4.0, '1'), (429, 5.0, '2'))
    (problem,) = run_checks(job, make_span(began=3.1, ended=4.0))
    case.assertIn('refused after it was accepted', problem)


def test_invalid_retry_after_of_a_refusal_is_found(case):
    for text in (None, '2', '30'):
        case.assertEqual(run_checks(make_refused_job((429, 1.0, text))), [])
    for text in ('1', '0', '-2', '2.5', '31', '', 'soon', '\u0662'):
        (problem,) = run_checks(make_refused_job((429, 1.0, text)))
        case.assertIn('refused with Retry-After', problem)
    # The wait of other refusals is the entry's own.
    case.assertEqual(run_checks(make_refused_job((503, 1.0, '1'))), [])


def test_refusal_without_a_shortage_is_found(case):
    job = make_refused_job((429, 10.0, '2'))
    by_id = {job.id: job}
    spec = json.dumps(
        {'id': 'x', 'steps': [{'ms': 1, 'cpu': 1000, 'memory': 100}]}
    )

    def check(count, began, ended, calm=((5.0, 15.0),)):
        spans = [
            soak_runner.Span(f'x.0.0.{number}', 1, spec, began=at, ended=end)
            for number, (at, end) in enumerate([(began, ended)] * count)
        ]
        return soak_refusals.check_shortage(by_id, spans, calm)

    (problem,) = check(0, 0.0, 0.0)
    case.assertIn('refused while runners held at most 0%', problem)
    # The runners hold 16 processors; half of them are free.
    case.assertEqual(len(check(8, 9.0, 11.0)), 1)
    case.assertEqual(check(9, 9.0, 11.0), [])
    case.assertEqual(check(9, 6.0, 7.5), [])
    case.assertEqual(check(9, 9.0, None), [])
    # Runs that ended before, or began after the reply, are no shortage.
    case.assertEqual(len(check(16, 5.0, 6.9)), 1)
    case.assertEqual(len(check(16, 10.2, None)), 1)
    # With faults, free runners may be out of the owner's reach.
    case.assertEqual(check(0, 0.0, 0.0, ()), [])
    case.assertEqual(check(0, 0.0, 0.0, ((8.0, 15.0),)), [])
    case.assertEqual(check(0, 0.0, 0.0, ((5.0, 10.05),)), [])
