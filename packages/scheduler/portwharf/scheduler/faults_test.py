# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Deliberate faults: each one must make a named test fail.

A fault disables one rule of the real code; the test of that rule must then
fail. A fault that no test notices means that the rule is not needed or not
tested.
"""

import contextlib
import unittest
from unittest import mock

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import decider
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler import grants
from portwharf.scheduler import grants_test
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.scheduler import members
from portwharf.scheduler import members_test
from portwharf.scheduler import owner
from portwharf.scheduler import ownership_test
from portwharf.scheduler import reconcile
from portwharf.scheduler import reconcile_test
from portwharf.scheduler import shardlog
from portwharf.scheduler import shardlog_test
from portwharf.side import agent
from portwharf.side import agent_test
from portwharf.side import leases
from portwharf.testing import cluster
from portwharf.testing import walk


def run_test(test):
    """Run a test function and its cleanups."""
    case = unittest.TestCase()
    try:
        test(case)
    finally:
        case.doCleanups()


def fails(test):
    """Tell whether a test function fails an assertion.

    Any other exception is raised: it may come from an error in the fault.
    """
    try:
        run_test(test)
    except AssertionError:
        return True
    return False


def check_fault_detected(case, test, cls, name, replacement):
    """Check that a test passes, and fails when a rule is replaced."""
    run_test(test)
    with mock.patch.object(cls, name, replacement):
        case.assertTrue(fails(test))


def test_error_in_a_fault_is_not_a_detection(case):
    def scenario(case):
        raise TypeError('missing argument')

    with case.assertRaises(TypeError):
        fails(scenario)


def test_epoch_of_commands_not_checked(case):
    check_fault_detected(
        case,
        agent_test.test_command_of_a_former_owner_is_refused,
        guard.GrantGuard,
        'accepts_epoch',
        lambda self, epoch: True,
    )


def test_reports_of_another_vm_taken(case):
    def attach(self, conn, peer):
        peer.name = self.name
        original(self, conn, peer)

    original = members.MemberLink.attach
    check_fault_detected(
        case,
        members_test.test_reports_of_another_vm_at_the_address_are_not_taken,
        members.MemberLink,
        'attach',
        attach,
    )


def test_former_owner_not_rejected(case):
    def accept(self, epoch, name):
        self._owner = name
        return True

    check_fault_detected(
        case,
        grants_test.test_former_owner_is_rejected,
        guard.GrantGuard,
        'accept_owner',
        accept,
    )


def test_grants_without_a_majority(case):
    check_fault_detected(
        case,
        ownership_test.test_owner_cut_off_from_all_stops_its_own_tasks,
        grants.GrantTable,
        '_may_grant',
        lambda self, now: True,
    )


def test_no_wait_before_a_second_attempt(case):
    check_fault_detected(
        case,
        ownership_test.test_tasks_of_a_silent_vm_run_again_after_its_leases,
        grants.GrantTable,
        'may_replace',
        lambda self, vm, now: True,
    )


def test_no_wait_for_own_last_grant(case):
    """An owner must wait for its own grants, even long after its start."""

    def scenario(case):
        made = ownership_test.make_cluster()
        made.run(20)
        made.isolate(made.nodes[2])
        made.run(20)

    wait = property(lambda self: 0.0)
    check_fault_detected(
        case, scenario, limits.Limits, 'replace_after_grant', wait
    )


def test_no_wait_for_grants_of_former_owners(case):
    """A new owner that does not wait reruns a task of a cut-off VM."""

    def scenario(case):
        made = ownership_test.make_cluster(5, size=5)
        second, last = made.nodes[1], made.nodes[4]
        made.cut(second, last)
        second.claim()
        made.run(12)

    wait = property(lambda self: 0.0)
    check_fault_detected(
        case, scenario, limits.Limits, 'replace_after_majority', wait
    )


def count_store_as_majority(self, sent_at):
    """Begin the wait before a second attempt with an answer of the store."""
    record_store(self, sent_at)
    if self._majority_since is None:
        self._majority_since = sent_at


record_store = grants.GrantTable.record_store


def test_store_alone_begins_the_wait_before_a_second_attempt(case):
    """The former owner may still have a majority on its side of a cut."""
    check_fault_detected(
        case,
        ownership_test.test_majority_without_the_store_runs_nothing_twice,
        grants.GrantTable,
        'record_store',
        count_store_as_majority,
    )


def test_append_confirms_from_its_last_sending(case):
    def append_entry(self, chunk):
        self._pending_since = None
        return append(self, chunk)

    append = owner.Owner._append_entry
    check_fault_detected(
        case,
        ownership_test.test_append_that_is_read_back_late_extends_no_grant,
        owner.Owner,
        '_append_entry',
        append_entry,
    )


def test_commands_of_ended_connections_obeyed(case):
    def obey(self, command):
        if command is not None:
            command.conn = self._conn
        return original(self, command)

    original = agent.Agent._execute
    check_fault_detected(
        case,
        agent_test.test_command_of_an_ended_connection_is_dropped,
        agent.Agent,
        '_execute',
        obey,
    )


def test_commands_accepted_before_the_epoch_is_read(case):
    check_fault_detected(
        case,
        grants_test.test_restarted_side_accepts_no_epoch_and_no_grant,
        guard.GrantGuard,
        'accepts_epoch',
        lambda self, epoch: epoch == self._epoch,
    )


def test_refused_attempts_started_later(case):
    check_fault_detected(
        case,
        ownership_test.test_refused_attempt_is_final,
        agent.Agent,
        '_record_refusal',
        lambda self, message: None,
    )


def test_capacity_not_checked_at_the_side(case):
    check_fault_detected(
        case,
        agent_test.test_vm_is_never_given_more_than_it_holds,
        agent.Agent,
        '_sum_running',
        lambda self: data.Resources(),
    )


def test_number_of_a_trimmed_entry_reused(case):
    def append(self, batch):
        self._last_entry = None
        return original(self, batch)

    original = shardlog.ShardLog.append
    check_fault_detected(
        case,
        shardlog_test.test_trimmed_number_is_not_free_for_a_former_owner,
        shardlog.ShardLog,
        'append',
        append,
    )


def test_unconfirmed_append_treated_as_done(case):
    check_fault_detected(
        case,
        shardlog_test.test_second_writer_deposes_the_first,
        shardlog.ShardLog,
        '_read_back',
        lambda self, key: self._advance(key, 1),
    )


def test_unconfirmed_append_treated_as_lost(case):
    def read_back(self, key):
        found = self._kv.read(key)
        if found.is_ok() and found.ok_value is not None:
            return shardlog.result.Err(shardlog.Deposed(self._next_seq))
        return original(self, key)

    original = shardlog.ShardLog._read_back
    check_fault_detected(
        case,
        shardlog_test.test_lost_answer_counts_as_ours,
        shardlog.ShardLog,
        '_read_back',
        read_back,
    )


def test_leases_renewed_without_a_grant(case):
    check_fault_detected(
        case,
        agent_test.test_exclusive_tasks_are_stopped_without_a_grant,
        guard.GrantGuard,
        'is_granted',
        lambda self: True,
    )


def test_lease_end_not_bound_to_the_grant(case):
    check_fault_detected(
        case,
        agent_test.test_leases_end_after_the_grant,
        leases.LeaseKeeper,
        'compute_lease_end_ms',
        lambda self: self._listing.now_ms + 10_000,
    )


def test_results_of_former_attempts_accepted(case):
    check_fault_detected(
        case,
        reconcile_test.test_late_success_is_kept_beside_a_placed_attempt,
        reconcile,
        '_is_current',
        lambda task, vm, report: True,
    )


def test_results_of_requeued_attempts_dropped(case):
    check_fault_detected(
        case,
        reconcile_test.test_success_counts_after_a_later_attempt_was_refused,
        reconcile,
        '_is_success_before_retry',
        lambda state, task, report: False,
    )


def test_unlisted_ends_acknowledged(case):
    check_fault_detected(
        case,
        reconcile_test.test_end_that_was_never_reported_is_not_acknowledged,
        reconcile,
        '_forget',
        lambda verdict, report: verdict.forget.append(
            messages.TaskRef(report.task, report.attempt)
        ),
    )


def test_results_dropped_before_they_are_logged(case):
    """A side that drops results at once loses them with the owner."""

    def judge(self, item, batch):
        original(self, item, batch)
        for action in batch.after_commit:
            action()
        batch.after_commit = []

    original = decider.Decider._process_reports
    check_fault_detected(
        case,
        ownership_test.test_result_survives_an_outage_and_its_owner,
        decider.Decider,
        '_process_reports',
        judge,
    )


def test_random_walk_finds_a_missing_wait(case):
    """A random walk detects an owner that does not wait."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            mock.patch.object(
                grants.GrantTable, 'may_replace', lambda self, vm, now: True
            )
        )
        case.assertTrue(any(fails(make_walk(seed)) for seed in range(12)))


def make_walk(seed, **options):
    """Return a test function that runs a random walk."""
    return lambda case: walk.Walk(seed, **options).run()


def test_work_never_placed(case):
    """Work that is never placed is noticed at the end of a run."""

    def scenario(case):
        made = cluster.Cluster(3)
        made.submit(2)
        made.settle(30)

    check_fault_detected(
        case,
        scenario,
        pass_inputs,
        'list_demands',
        lambda state, list_avoided, now_ms, runtimes: [],
    )


def test_entries_not_limited_in_size(case):
    check_fault_detected(
        case,
        ownership_test.test_large_submissions_are_split_into_entries,
        shardlog,
        'count_fitting_events',
        len,
    )
