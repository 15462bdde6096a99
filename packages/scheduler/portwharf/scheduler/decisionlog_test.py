# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The owner's log lines, which ``report delays`` parses."""

import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import decisionlog
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler import events
from portwharf.scheduler import state
from portwharf.scheduler import suspects

LOGGER = 'portwharf.scheduler.decisionlog'


def test_placements_are_logged_with_tasks_and_attempts(case):
    rows = [
        placement.Placement('a.0.0.3', 1, 'vm-1'),
        placement.Placement('a.0.0.12', 4, 'vm-1'),
        placement.Placement('a.0.0.5', 1, 'vm-2'),
    ]
    with case.assertLogs(LOGGER) as watched:
        decisionlog.log_placements(rows)
    logged = [(one.vm, one.count, one.tasks) for one in watched.records]
    case.assertEqual(logged, [('vm-1', 2, '3.1,12.4'), ('vm-2', 1, '5.1')])


def test_successes_of_a_workload_are_logged_in_one_line(case):
    taken = [
        events.TaskEnded('a.0.0.3', 1, data.TaskState.SUCCEEDED),
        events.TaskEnded('a.0.0.4', 1, data.TaskState.FAILED),
        events.TaskEnded('a.0.0.5', 2, data.TaskState.SUCCEEDED),
    ]
    with case.assertLogs(LOGGER) as watched:
        decisionlog.log_successes('vm-1', taken, {'a.0.0': 900}.get)
    logged = [(one.workload, one.tasks, one.run_ms) for one in watched.records]
    case.assertEqual(logged, [('a.0.0', '3.1,5.2', 900)])


def test_success_of_a_superseded_attempt_is_logged_with_the_latest(case):
    report = messages.TaskReport('a.0.0.3', 1, data.RunState.SUCCEEDED)
    task = state.TaskRecord('a.0.0.3', 3, data.TaskState.PLACED, 2, 'vm-2')
    with case.assertLogs(LOGGER, 'WARNING') as watched:
        decisionlog.log_superseded_success('vm-1', report, task)
    logged = [(one.vm, one.attempt, one.latest) for one in watched.records]
    case.assertEqual(logged, [('vm-1', 1, 2)])


def test_time_of_a_job_is_logged_since_its_acceptance(case):
    record = state.JobRecord(5000, data.Job('a', asked_ms=1000))
    with case.assertLogs(LOGGER) as watched:
        decisionlog.log_job_end(record, data.JobState.COMPLETED, 7000)
    case.assertEqual(watched.records[0].took_ms, 2000)


def test_refusal_without_a_finite_end_is_logged(case):
    """Failure: the conversion raises, and the exception ends the owner."""
    for end_ms, expected in ((math.inf, None), (7000.0, 2000), (0.0, None)):
        verdict = job_admission.Verdict('late', end_ms=end_ms)
        with case.assertLogs(LOGGER) as watched:
            decisionlog.log_refusal(data.Job('a'), verdict, 5000, 0)
        found = getattr(watched.records[0], 'end_in_ms', None)
        case.assertEqual(found, expected)


def test_crashes_of_a_given_up_task_are_logged(case):
    task = state.TaskRecord('a.0.0.3', 3, attempt=3)
    task.crashes = [
        suspects.CrashRecord('vm-1/life', True),
        suspects.CrashRecord('vm-2/life', False),
    ]
    with case.assertLogs(LOGGER) as watched:
        decisionlog.log_given_up(task, True)
    (line,) = watched.records
    case.assertEqual(line.reason, 'trial: vm-1/life at its start, vm-2/life')


def test_long_wait_is_logged_once(case):
    log = decisionlog.WaitLog()
    choice = vm_choice.Choice()
    choice.refusals['processors'] = 3
    waits = {'a.0.0': placement.UnplacedWorkload(None, 'no-room', choice)}
    with case.assertLogs(LOGGER) as watched:
        for now in (0.0, 0.5, 1.0, 1.5):
            log.update(waits, now)
        log.update({}, 2.0)
        for now in (3.0, 4.0):
            log.update(waits, now)
    logged = [(one.workload, one.reason) for one in watched.records]
    case.assertEqual(logged, [('a.0.0', 'no-room, processors 3')] * 2)
