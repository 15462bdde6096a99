# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Mutation checks: each rule of jobs, commands and pairs has a test.

Each test disables one rule and checks that the named test then fails.
"""

from unittest import mock

import result

from portwharf.core import bounded_cache
from portwharf.core import data
from portwharf.peers import messages
from portwharf.platform import ended_attempts
from portwharf.platform import heartbeats
from portwharf.platform import job_api
from portwharf.platform import job_api_test
from portwharf.platform import runner
from portwharf.platform import runner_connection
from portwharf.platform import runner_restart_test
from portwharf.platform import runner_test
from portwharf.platform import store_client
from portwharf.platform import store_client_test
from portwharf.scheduler import decider
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import service_protection_test
from portwharf.scheduler.decisions import task_moves
from portwharf.scheduler.decisions import task_moves_test
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import prepared_starts
from portwharf.scheduler import prepared_starts_test
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.scheduler import worker_restarts_test
from portwharf.side import agent
from portwharf.side import loss_reporter_test
from portwharf.side import pacing
from portwharf.side import pacing_test
from portwharf.side import task_traits_test
from portwharf.side import unconfirmed

check_fault_detected = faults_test.check_fault_detected


def test_step_started_before_its_dependencies_is_caught(case):
    check_fault_detected(
        case,
        jobs_test.test_step_waits_until_all_before_it_have_succeeded,
        state.ShardState,
        'is_ready',
        lambda self, record: True,
    )


def test_lost_attempts_counted_as_failures_are_caught(case):
    check_fault_detected(
        case,
        jobs_test.test_lost_attempts_do_not_count_as_failures,
        reconcile,
        '_is_final_attempt',
        lambda task, record: task.attempt >= record.workload.max_failures,
    )


def test_unlimited_attempts_are_caught(case):
    check_fault_detected(
        case,
        jobs_test.test_job_fails_only_with_its_last_attempt,
        reconcile,
        '_is_final_attempt',
        lambda task, record: False,
    )


def test_restarted_cancelled_task_is_caught(case):
    check_fault_detected(
        case,
        jobs_test.test_unlisted_unwanted_task_is_stopped,
        reconcile,
        'make_missing_command',
        reconcile.make_start,
    )


def test_occurrence_that_starts_early_is_caught(case):
    check_fault_detected(
        case,
        jobs_test.test_occurrences_become_due_one_by_one,
        pass_inputs,
        'list_demands',
        lambda made, avoided, now_ms: [
            backlog.Demand(record) for record in made.list_active()
        ],
    )


def test_end_shown_before_it_is_logged_is_caught(case):
    def note(self, event, batch):
        original(self, event, batch)
        self.unlogged_job_ends.clear()

    original = decider.Decider._handle_task_end
    check_fault_detected(
        case,
        jobs_test.test_end_is_not_shown_before_it_is_in_the_log,
        decider.Decider,
        '_handle_task_end',
        note,
    )


def test_prepared_task_requeued_too_early_is_caught(case):
    original = prepared_starts.PreparedStarts._resolve_task

    def resolve(self, task, view, *more):
        if view is not None:
            view.reported = True
        return original(self, task, view, *more)

    check_fault_detected(
        case,
        prepared_starts_test.test_prepared_task_is_kept_until_its_side_reports,
        prepared_starts.PreparedStarts,
        '_resolve_task',
        resolve,
    )


def test_start_by_a_former_owner_taken_for_unsent_is_caught(case):
    check_fault_detected(
        case,
        prepared_starts_test.test_unconfirmed_start_is_not_repeated_elsewhere,
        prepared_starts.PreparedStarts,
        '_may_run',
        lambda self, event, is_lost: False,
    )


def test_unanswered_start_reported_gone_at_once_is_caught(case):
    check_fault_detected(
        case,
        loss_reporter_test.test_start_is_not_gone_while_its_stop_is_unanswered,
        unconfirmed.UnconfirmedCommands,
        'settle_starts',
        lambda self, worker, listing: sorted(self._starts),
    )


def test_forgotten_previous_incarnation_is_caught(case):
    check_fault_detected(
        case,
        loss_reporter_test.test_attempt_of_an_earlier_incarnation_is_gone,
        unconfirmed.UnconfirmedCommands,
        'has_started',
        lambda self, task, attempt: False,
    )


def test_unreported_vanished_attempt_is_caught(case):
    check_fault_detected(
        case,
        loss_reporter_test.test_absent_worker_runs_nothing,
        agent.Agent,
        '_report_vanished',
        lambda self, former, reason: None,
    )


def test_start_on_a_leaving_worker_is_caught(case):
    original = agent.Agent._check_start

    def check_start(self, message, known):
        self._listing.draining = False
        return original(self, message, known)

    check_fault_detected(
        case,
        loss_reporter_test.test_leaving_worker_takes_no_starts,
        agent.Agent,
        '_check_start',
        check_start,
    )


def test_ignored_latency_over_its_target_is_caught(case):
    check_fault_detected(
        case,
        pacing_test.test_missed_target_throttles_all_filling_tasks,
        pacing.Pacer,
        '_update_throttle_factor',
        lambda self, serving, filled, now: None,
    )


def test_move_without_improvement_is_caught(case):
    check_fault_detected(
        case,
        task_moves_test.test_nothing_moves_where_it_would_work_no_better,
        vmview.VmView,
        'predict_pace',
        lambda self, workload, weight: 1.0,
    )


def test_move_right_after_the_start_is_caught(case):
    check_fault_detected(
        case,
        task_moves_test.test_task_that_has_just_begun_stays,
        task_moves,
        'MIN_RUNNING_SECONDS',
        0.0,
    )


def test_lost_store_answer_taken_for_a_refusal_is_caught(case):
    check_fault_detected(
        case,
        store_client_test.test_lost_answer_is_unknown_and_a_refusal_is_not,
        store_client,
        '_UNCHANGED_STATUSES',
        (400, 403, 404, 429, 500, 503),
    )


def test_acknowledged_unlogged_end_is_caught(case):
    def move(self):
        for number in sorted(self._listed):
            self._listed.pop(number)
            self.acked = number

    check_fault_detected(
        case,
        runner_test.test_ends_stay_until_they_are_logged_in_order,
        ended_attempts.EndedAttempts,
        '_advance_ack',
        move,
    )


def test_acknowledged_number_of_a_previous_incarnation_is_caught(case):
    restart_test = runner_restart_test
    for test in (
        runner_test.test_new_incarnation_is_never_told_of_the_old_ones_numbers,
        restart_test.test_end_under_a_reused_id_is_reported_at_once,
        restart_test.test_end_under_a_reused_id_answers_a_waiting_request,
    ):
        kept = ended_attempts.EndedAttempts()
        check_fault_detected(
            case, test, ended_attempts, 'EndedAttempts', lambda kept=kept: kept
        )


def test_incarnations_compared_by_id_alone_are_caught(case):
    def is_same(one, other):
        return other is not None and one.instance == other.instance

    check_fault_detected(
        case,
        worker_restarts_test.test_restarts_under_one_id_are_separate_crashes,
        data.IncarnationId,
        '__eq__',
        is_same,
    )


def test_ignored_birth_number_is_caught(case):
    # The check of each reply reads the birth number by itself, and would
    # refuse every listing.
    with mock.patch.object(
        runner_connection.RunnerConnection,
        '_check_life',
        lambda self, reply: result.Ok(reply),
    ):
        check_fault_detected(
            case,
            runner_restart_test.test_incarnations_under_one_id_are_told_apart,
            heartbeats,
            'read_birth_time',
            lambda value: 0,
        )


def test_order_sent_to_any_incarnation_is_caught(case):
    def order(
        self, way, life, path, body, seconds=runner_connection.CALL_SECONDS
    ):
        self._reach(way)
        return way.order(path, body, seconds)

    check_fault_detected(
        case,
        runner_restart_test.test_orders_do_not_reach_the_next_incarnation,
        runner.RunnerWorker,
        '_order',
        order,
    )


def test_fencing_token_shared_by_incarnations_is_caught(case):
    check_fault_detected(
        case,
        runner_restart_test.test_late_order_is_refused_by_the_next_incarnation,
        runner_connection.FencingTokens,
        'advance',
        lambda self: None,
    )


def test_unknown_outcome_reported_as_not_run_is_caught(case):
    check_fault_detected(
        case,
        job_api_test.test_refusals_say_what_is_true,
        job_api,
        '_map_status',
        lambda answer: 503,
    )


def test_silent_runner_taken_for_absent_is_caught(case):
    original = runner.RunnerWorker.read_listing

    def read(self):
        answer = original(self)
        if answer.is_err():
            return result.Ok(runner.workers.Listing(absent=True))
        return answer

    check_fault_detected(
        case,
        runner_test.test_new_incarnation_is_never_told_of_the_old_ones_numbers,
        runner.RunnerWorker,
        'read_listing',
        read,
    )


def test_side_without_its_held_tasks_is_caught(case):
    check_fault_detected(
        case,
        task_traits_test.test_restarted_side_throttles_beside_earlier_servers,
        reconcile,
        'make_held_tasks',
        lambda state, vm, runtimes: messages.HeldTasks(),
    )


def test_forgotten_share_of_a_previous_side_is_caught(case):
    check_fault_detected(
        case,
        task_traits_test.test_restarted_side_releases_an_earlier_throttle,
        pacing.Pacer,
        'record_held',
        pacing.Pacer.record_start,
    )


def test_throttle_missing_in_the_log_is_caught(case):
    appliers = {**state._APPLIERS, events.TaskThrottled: lambda *_: None}
    check_fault_detected(
        case,
        service_protection_test.test_new_owner_releases_only_throttled_tasks,
        state,
        '_APPLIERS',
        appliers,
    )


def test_dropped_running_task_is_caught(case):
    check_fault_detected(
        case,
        pacing_test.test_running_server_is_not_evicted_from_the_traits_cache,
        bounded_cache.BoundedCache,
        'set_in_use',
        lambda self, names: None,
    )


def test_filling_task_that_is_never_paused_is_caught(case):
    check_fault_detected(
        case,
        pacing_test.test_filling_tasks_are_suspended_after_a_long_target_miss,
        pacing.Pacer,
        '_is_suspended',
        lambda self, now: False,
    )
