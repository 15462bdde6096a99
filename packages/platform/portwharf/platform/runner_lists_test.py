# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An odd row of a runner costs itself, neither its side nor other tasks.

These guard against sides that end again and again by what their runner lists
(incident 0035).
"""

import math

from portwharf.core import data
from portwharf.platform import runner_lists
from portwharf.platform import runner_test
from portwharf.testing import fixtures

TASK = runner_test.TASK
OTHER = '5c0e7a21d94b36f8.0.0.2'
SURROGATE = '\ud800'
ODD_NUMBERS = (10**400, 2**70, -1, math.inf, math.nan, '1', None, True, [])
ODD_TEXTS = (7, None, [], SURROGATE, 'x' * 100_000)
RUNNING = [TASK, 2, 'saved', 41, 7]
ENDED = [58, TASK, 1, 'done', '']


def change(row, index, item):
    """Return a copy of a row with another item."""
    return [*row[:index], item, *row[index + 1 :]]


def read(running=(), ended=(), known=()):
    """Return the checked rows of both lists."""
    value = {'clockMs': 1, 'running': list(running), 'ended': list(ended)}
    found = runner_lists.read_lists(value, lambda task: task in known)
    return found['running'], found['ended']


def test_odd_rows_are_passed_over_and_counted(case):
    before = fixtures.read_counter('portwharf_unreadable', kind='row')
    odd = [change(RUNNING, 1, item) for item in ODD_NUMBERS]
    odd += [change(RUNNING, 0, item) for item in ODD_TEXTS]
    odd += [[], [TASK], 'row', None, 7, {'a': 1}]
    case.assertEqual(read(running=[*odd, RUNNING])[0], [RUNNING])
    ends = [change(ENDED, 0, item) for item in (*ODD_NUMBERS, 2**53)]
    ends += [change(ENDED, 2, item) for item in ODD_NUMBERS]
    ends += [change(ENDED, 1, item) for item in ODD_TEXTS]
    case.assertEqual(read(ended=[*ends, ENDED])[1], [ENDED])
    after = fixtures.read_counter('portwharf_unreadable', kind='row')
    case.assertEqual(after - before, len(odd) + len(ends))


def test_attempt_with_an_odd_detail_is_kept_without_it(case):
    for item in ODD_NUMBERS:
        for index in (3, 4):
            (row,), _ = read(running=[change(RUNNING, index, item)])
            case.assertEqual(row, change(RUNNING, index, 0))
    for item in ODD_TEXTS:
        (row,), _ = read(running=[change(RUNNING, 2, item)])
        case.assertEqual(row, change(RUNNING, 2, ''))
        for index in (3, 4):
            _, (row,) = read(ended=[change(ENDED, index, item)])
            case.assertEqual(row, change(ENDED, index, ''))


def test_list_that_hides_an_attempt_of_ours_is_refused(case):
    odd = change(RUNNING, 1, 10**400)
    with case.assertRaises(ValueError):
        read(running=[odd], known=[TASK])
    case.assertEqual(read(running=[odd], known=[OTHER])[0], [])


def test_missing_list_is_not_an_empty_one(case):
    for value in ({'running': []}, {'ended': []}, {'running': 7, 'ended': []}):
        with case.assertRaises(ValueError):
            runner_lists.read_lists({'clockMs': 1, **value}, lambda _: False)


def test_tasks_run_beside_odd_rows_of_their_runner(case):
    client, fake = runner_test.open_runner(case)
    fake.odd_running = [['x.0.0.0', 2**70, '', math.inf, 10**400]]
    fake.odd_ended = [[2**53, 'x.0.0.1', 2**70, [], None], 'row']
    case.assertEqual(runner_test.start(client).ok_value, '')
    states = runner_test.list_states(client)
    case.assertEqual(states, [data.RunState.RUNNING])
    fake.end_run(TASK)
    states = runner_test.list_states(client)
    case.assertEqual(states, [data.RunState.SUCCEEDED])
    client.forget(TASK, 1)
    client.read_listing()
    case.assertEqual(fake.ended, [])
    case.assertEqual(runner_test.list_states(client), [])


def test_refusal_with_an_odd_reason_is_a_refusal(case):
    client, fake = runner_test.open_runner(case)
    for reason in ([], 7, SURROGATE, 'x' * 100_000, None):
        fake._start = lambda body, reason=reason: (409, {'reason': reason})
        refused = runner_test.start(client).ok_value
        case.assertTrue(refused.startswith('runner: '))
        case.assertLess(len(refused.encode()), 100)
