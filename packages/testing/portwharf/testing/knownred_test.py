# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only what is listed is passed over, and only while it fails."""

import pathlib
import tempfile

from portwharf.testing import knownred

LINE = 'agent_test.test_one, a cause, with a comma, issue 1'


def write_list(case, text):
    """Write a list; returns its path."""
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'KNOWN-RED.txt'
    path.write_text(text)
    return path


def test_line_has_test_cause_and_issue(case):
    (one,) = knownred.read_list(write_list(case, f'{LINE}\n\n'))
    case.assertEqual(one.test, 'agent_test.test_one')
    case.assertEqual(one.cause, 'a cause, with a comma')
    case.assertEqual(one.issue, 'issue 1')


def test_no_file_lists_nothing(case):
    case.assertEqual(knownred.read_list(pathlib.Path('/none/such')), [])


def test_line_without_a_cause_is_refused(case):
    with case.assertRaises(ValueError):
        knownred.read_list(write_list(case, 'agent_test.test_one, issue 1'))


def test_more_than_three_lines_are_refused(case):
    with case.assertRaises(ValueError):
        knownred.read_list(write_list(case, f'{LINE}\n' * 4))


def test_failure_that_is_not_listed_is_not_passed_over(case):
    listed = [knownred.parse_line(LINE)]
    red, stale = knownred.judge(listed, {'x_test.test_two'}, {'x_test.test'})
    case.assertEqual((red, stale), ([], []))


def test_listed_test_that_passes_has_to_go(case):
    listed = [knownred.parse_line(LINE)]
    ran = {'agent_test.test_one'}
    case.assertEqual(knownred.judge(listed, ran, ran), (listed, []))
    case.assertEqual(knownred.judge(listed, set(), ran), ([], listed))
