# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only reports about the current attempt change the log."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import events
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.side import loss_reporter
from portwharf.side import reports
from portwharf.testing import fixtures

JOB = '0-job'
TASK = '0-job.0'
RUNNING = data.RunState.RUNNING
SUCCEEDED = data.RunState.SUCCEEDED


def make_state(attempt=1, **fields):
    """Return a state with one placed task."""
    made = state.ShardState()
    workload = fixtures.make_workload(**fields)
    made.apply(events.WorkloadAccepted(JOB, workload.key, 5, workload))
    made.apply(events.TaskPlaced(TASK, attempt, 'vm-1'))
    return made


def process(made, run_state, attempt=1, vm='vm-1', **fields):
    """Process one report; returns the verdict."""
    report = messages.TaskReport(TASK, attempt, run_state, **fields)
    verdict = reconcile.ReportOutcome()
    reconcile.process_report(made, vm, report, verdict)
    return verdict


def test_success_ends_the_task_and_the_side_may_forget_it(case):
    made = make_state()
    verdict = process(made, SUCCEEDED, result=b'42')
    case.assertEqual(made.tasks[TASK].state, data.TaskState.SUCCEEDED)
    case.assertEqual(made.tasks[TASK].result, b'42')
    case.assertEqual(verdict.forget, [messages.TaskRef(TASK, 1)])


def test_duplicate_report_changes_nothing(case):
    made = make_state()
    process(made, SUCCEEDED, result=b'42')
    verdict = process(made, SUCCEEDED, result=b'43')
    case.assertEqual((verdict.events, len(verdict.forget)), ([], 1))
    case.assertEqual(made.tasks[TASK].result, b'42')


def test_running_task_needs_nothing(case):
    case.assertEqual(process(make_state(), RUNNING), reconcile.ReportOutcome())


def test_running_previous_attempt_is_stopped(case):
    verdict = process(make_state(attempt=2), RUNNING, attempt=1)
    case.assertEqual(verdict.events, [])
    case.assertEqual(verdict.commands[0].attempt, 1)


def test_attempt_on_another_vm_is_stopped(case):
    verdict = process(make_state(), RUNNING, vm='vm-2')
    case.assertIsInstance(verdict.commands[0], messages.StopTask)


def test_late_success_is_kept_beside_a_placed_attempt(case):
    made = make_state()
    made.apply(events.TaskRequeued(TASK, 1))
    made.apply(events.TaskPlaced(TASK, 2, 'vm-2'))
    verdict = process(made, SUCCEEDED, result=b'42')
    case.assertEqual((verdict.events, verdict.forget), ([], []))
    case.assertEqual([report.attempt for report in verdict.late], [1])
    case.assertEqual(made.tasks[TASK].state, data.TaskState.PLACED)


def test_later_attempt_does_not_fail_a_task_with_a_late_success(case):
    for succeeded in ((), (TASK,)):
        made = make_state(attempt=reconcile.MAX_FAILURES)
        report = messages.TaskReport(
            TASK, reconcile.MAX_FAILURES, data.RunState.FAILED
        )
        verdict = reconcile.ReportOutcome(succeeded=frozenset(succeeded))
        reconcile.process_report(made, 'vm-1', report, verdict)
        has_failed = made.tasks[TASK].state == data.TaskState.FAILED
        case.assertEqual(has_failed, not succeeded)


def test_later_attempt_fails_in_the_message_of_a_late_success(case):
    latest = reconcile.MAX_FAILURES
    made = make_state(attempt=latest - 1)
    made.apply(events.TaskRequeued(TASK, latest - 1))
    made.apply(events.TaskPlaced(TASK, latest, 'vm-1'))
    verdict = reconcile.ReportOutcome()
    for attempt, run_state in (
        (latest - 1, SUCCEEDED),
        (latest, data.RunState.FAILED),
    ):
        report = messages.TaskReport(TASK, attempt, run_state)
        reconcile.process_report(made, 'vm-1', report, verdict)
    case.assertEqual(made.tasks[TASK].state, data.TaskState.WAITING)


def test_late_success_before_the_next_attempt_counts(case):
    made = make_state()
    made.apply(events.TaskRequeued(TASK, 1))
    process(made, SUCCEEDED, result=b'42')
    case.assertEqual(made.tasks[TASK].state, data.TaskState.SUCCEEDED)


def test_success_counts_after_a_later_attempt_was_refused(case):
    made = make_state()
    made.apply(events.TaskRequeued(TASK, 1))
    made.apply(events.TaskPlaced(TASK, 2, 'vm-2'))
    process(made, data.RunState.REFUSED, 2, 'vm-2')
    process(made, SUCCEEDED, result=b'42')
    record = made.tasks[TASK]
    case.assertEqual(record.state, data.TaskState.SUCCEEDED)
    case.assertEqual(record.result, b'42')


def test_standing_task_that_waits_is_not_ended_by_a_late_success(case):
    made = make_state(kind=data.Kind.STANDING)
    made.apply(events.TaskRequeued(TASK, 1))
    process(made, SUCCEEDED)
    case.assertEqual(made.tasks[TASK].state, data.TaskState.WAITING)


def test_checkpoint_queues_the_task_again(case):
    made = make_state()
    made.apply(events.TaskEvicting(TASK, 1))
    process(made, data.RunState.CHECKPOINTED, checkpoint='step-7')
    record = made.tasks[TASK]
    case.assertEqual(record.state, data.TaskState.WAITING)
    case.assertEqual((record.checkpoint, record.evictions), ('step-7', 1))


def test_evicting_task_is_told_to_stop_again(case):
    made = make_state()
    made.apply(events.TaskEvicting(TASK, 1))
    verdict = process(made, RUNNING)
    case.assertTrue(verdict.commands[0].checkpoint)


def test_cancelled_task_is_told_to_stop_again(case):
    made = make_state()
    made.apply(events.WorkloadCancelled(JOB))
    verdict = process(made, RUNNING)
    case.assertFalse(verdict.commands[0].checkpoint)


def test_success_after_cancelling_keeps_its_result(case):
    made = make_state()
    made.apply(events.WorkloadCancelled(JOB))
    process(made, SUCCEEDED, result=b'42')
    case.assertEqual(made.tasks[TASK].result, b'42')


def test_stopped_task_of_a_cancelled_job_is_cancelled(case):
    made = make_state()
    made.apply(events.WorkloadCancelled(JOB))
    process(made, data.RunState.GONE)
    case.assertEqual(made.tasks[TASK].state, data.TaskState.CANCELLED)


def test_refused_start_is_queued_again(case):
    made = make_state()
    process(made, data.RunState.REFUSED, reason='no-room-on-the-vm')
    case.assertEqual(made.tasks[TASK].state, data.TaskState.WAITING)


def test_task_fails_after_max_failures(case):
    made = make_state()
    for attempt in range(1, reconcile.MAX_FAILURES):
        process(made, data.RunState.FAILED, attempt)
        case.assertEqual(made.tasks[TASK].state, data.TaskState.WAITING)
        made.apply(events.TaskPlaced(TASK, attempt + 1, 'vm-1'))
    process(made, data.RunState.FAILED, reconcile.MAX_FAILURES)
    case.assertEqual(made.tasks[TASK].state, data.TaskState.FAILED)


def test_standing_task_that_ends_is_requeued(case):
    for run_state in (SUCCEEDED, data.RunState.FAILED):
        made = make_state(kind=data.Kind.STANDING)
        process(made, run_state)
        case.assertEqual(made.tasks[TASK].state, data.TaskState.WAITING)


def test_end_that_was_never_reported_is_not_acknowledged(case):
    """The side reports the attempt as gone, and its end is listed later."""
    for run_state, reason in (
        (data.RunState.GONE, loss_reporter.GONE_UNKNOWN),
        (data.RunState.REFUSED, 'no-room-on-the-vm'),
    ):
        verdict = process(make_state(), run_state, reason=reason)
        case.assertEqual(verdict.forget, [])


def test_listed_end_without_success_is_acknowledged(case):
    for reason in ('lapsed', 'broken', 'alone', 'stopped', ''):
        verdict = process(make_state(), data.RunState.GONE, reason=reason)
        case.assertEqual(verdict.forget, [messages.TaskRef(TASK, 1)])


def test_all_reasons_of_unlisted_ends_are_known(case):
    made = {
        value
        for name, value in vars(loss_reporter).items()
        if name.startswith('GONE_')
    }
    made.add(reports.REASON_CRASHED)
    case.assertEqual(messages.UNLISTED_REASONS, made)


def test_unknown_task_is_stopped_or_forgotten(case):
    made = state.ShardState()
    case.assertEqual(len(process(made, RUNNING).commands), 1)
    case.assertEqual(len(process(made, SUCCEEDED).forget), 1)


def test_task_that_a_side_does_not_know_is_missing(case):
    made = make_state()
    case.assertEqual(len(reconcile.find_missing(made, 'vm-1', [])), 1)
    report = messages.TaskReport(TASK, 1, RUNNING)
    case.assertEqual(reconcile.find_missing(made, 'vm-1', [report]), [])
