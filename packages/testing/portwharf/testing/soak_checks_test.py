# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Each check of the soak finds what breaks its promise, and only that."""

import json

from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_runner

JOB = '5c0e7a21d94b36f8'
SPEC = json.dumps({'id': JOB, 'steps': []})
FIRST = f'{JOB}.0.0.0'
SECOND = f'{JOB}.0.1.0'


def make_told(**fields):
    """Return what a client was told of an accepted job of two steps."""
    step = {'count': 1, 'gang': False, 'longRunning': False}
    values = {'statuses': [200], 'accepted': 1.0, 'states': ['completed']}
    values |= {'steps': [step, {**step, 'watchRev': [0]}]}
    return soak_clients.Told(JOB, SPEC, **{**values, **fields})


def make_span(task=FIRST, began=1.0, ended=2.0, how='done', **fields):
    """Return one run of a task."""
    return soak_runner.Span(
        task, spec=SPEC, began=began, ended=ended, how=how, **fields
    )


def find(told, *spans):
    """Return what the checks find."""
    return soak_checks.check_all([told], list(spans))


def test_good_run_breaks_nothing(case):
    spans = [make_span(), make_span(SECOND, 2.1, 3.0)]
    case.assertEqual(find(make_told(), *spans), [])


def test_two_runs_at_once_are_found(case):
    spans = [make_span(how='stopped'), make_span(began=1.5, ended=3.0, run=2)]
    (problem,) = find(make_told(), *spans)
    case.assertIn('two runs at once', problem)


def test_run_after_an_acknowledged_end_is_found(case):
    again = make_span(began=9.0, ended=10.0, run=2)
    case.assertEqual(find(make_told(), make_span(), again), [])
    (problem,) = find(make_told(), make_span(acked=2.1), again)
    case.assertIn('again after its end', problem)


def test_step_before_its_turn_is_found(case):
    (problem,) = find(make_told(), make_span(), make_span(SECOND, 1.9, 3.0))
    case.assertIn('before its turn', problem)


def test_attempt_beyond_the_last_is_found(case):
    times = (1.0, 3.0, 5.0)
    failed = [
        make_span(began=at, ended=at + 1, how='failed', acked=at + 1)
        for at in times
    ]
    told = make_told(hopeless=True, states=['failed'])
    case.assertEqual(find(told, *failed), [])
    late = make_span(began=9.0, ended=10.0, how='failed')
    (problem,) = find(told, *failed, late)
    case.assertIn('after its last attempt', problem)


def test_what_nobody_sent_is_found(case):
    strange = make_span('0000000000000000.0.0.0')
    case.assertIn('not what a client sent', find(make_told(), strange)[0])
    stolen = make_span(saved=f'{SECOND}|500')
    case.assertIn('saved', find(make_told(), stolen)[0])


def test_refused_job_that_ran_is_found(case):
    told = make_told(statuses=[503, 429], accepted=None, states=[])
    (problem,) = find(told, make_span())
    case.assertIn('and yet it ran', problem)
    told.statuses.append(504)
    case.assertEqual(find(told, make_span()), [])


def test_mixed_attempts_of_a_gang_are_found(case):
    told = make_told()
    told.steps[0]['gang'] = True
    one = make_span(how='broken', run=1)
    other = make_span(f'{JOB}.0.0.1', 1.5, 3.0, run=2)
    (problem,) = find(told, one, other)
    case.assertIn('side by side', problem)


def test_job_without_its_end_is_found(case):
    (problem,) = find(make_told(states=['running']))
    case.assertIn('not completed', problem)


def test_cancelled_task_that_runs_on_is_found(case):
    told = make_told(cancelled=2.0, cancel_sent=True)
    (problem,) = find(told, make_span(ended=None, how=''))
    case.assertIn('runs on', problem)


def test_crashes_without_end_are_found(case):
    told = make_told(crashes=True, states=['failed'])
    runs = [
        make_span(f'{JOB}.0.0.0', turn, turn + 0.5, how='crashed', run=turn)
        for turn in range(1, 10)
    ]
    case.assertEqual(find(told, *runs[:5]), [])
    (problem,) = find(told, *runs)
    case.assertIn('crashes on and on', problem)


def test_crasher_that_is_not_given_up_is_found(case):
    (problem,) = find(make_told(crashes=True, states=['running']))
    case.assertIn('not failed', problem)


def test_start_in_a_zone_that_has_long_been_closed_is_found(case):
    closure = soak_checks.Closure('zone-1', 10.0, 30.0)
    limit = soak_checks.ZONE_SECONDS + soak_checks.LATE_SECONDS
    for began, count in ((9.0, 0), (10.1 + limit, 1), (31.0, 0)):
        zones = [('zone-1', make_span(began=began)), ('zone-2', make_span())]
        found = soak_checks.check_zones([closure], zones)
        case.assertEqual(len(found), count)
