# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Deliberate faults: VMs whose sides do not report their tasks.

As in ``faults_test``, the named test must fail once a rule is disabled.
"""

from portwharf.scheduler import decider
from portwharf.scheduler import faults_test
from portwharf.scheduler import members
from portwharf.scheduler import silent_sides_test
from portwharf.side import leases
from portwharf.side import unconfirmed
from portwharf.side import worker_monitor
from portwharf.side import worker_monitor_test


def test_commands_answered_before_the_first_look(case):
    """A task that still runs is reported gone, and runs on two workers."""
    faults_test.check_fault_detected(
        case,
        silent_sides_test.test_task_is_not_moved_while_it_may_run_on,
        worker_monitor.WorkerMonitor,
        'knows_all',
        True,
    )


def test_leases_from_before_a_restart_not_waited_for(case):
    faults_test.check_fault_detected(
        case,
        silent_sides_test.test_side_that_restarts_beside_a_silent_worker,
        leases.LeaseKeeper,
        'have_all_expired',
        lambda self, now: True,
    )


def test_silent_worker_never_given_up(case):
    faults_test.check_fault_detected(
        case,
        silent_sides_test.test_owner_that_changes_while_a_worker_is_silent,
        leases.LeaseKeeper,
        'have_all_expired',
        lambda self, now: False,
    )


def test_only_silent_vms_given_up(case):
    faults_test.check_fault_detected(
        case,
        silent_sides_test.test_side_that_restarts_cut_off_from_the_store,
        decider.Decider,
        '_is_lost',
        lambda self, name, now: self._members.is_silent(name, now),
    )


def test_unanswered_starts_kept_for_ever(case):
    faults_test.check_fault_detected(
        case,
        worker_monitor_test.test_unanswered_start_is_gone_with_its_lease,
        unconfirmed.UnconfirmedCommands,
        'drop_starts',
        lambda self: [],
    )


def test_reports_of_ended_connections_accepted(case):
    def detach(self):
        self.view.reported = False
        self.view.granted = False

    name = 'test_report_of_an_ended_connection_is_ignored'
    faults_test.check_fault_detected(
        case,
        getattr(silent_sides_test, name),
        members.MemberLink,
        'detach',
        detach,
    )
