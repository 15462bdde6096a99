# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Deliberate faults in how owners are confirmed and outwaited.

Each rule is taken out once under the scenario that needs it and once under a
random walk that splits the VMs.
"""

from unittest import mock

from portwharf.scheduler import decider
from portwharf.scheduler import faults_test
from portwharf.scheduler import grants
from portwharf.scheduler import limits
from portwharf.scheduler import lost_members_test as lost
from portwharf.scheduler import membership


def may_grant_without_limit(find_ack_time):
    """Return a rule that grants whenever voters acknowledge.

    :param find_ack_time: name of the method of the table that returns when
        enough of them did
    """

    def may_grant(self, now):
        sent_at = getattr(self, find_ack_time)()
        return self._is_recent(sent_at, now) or rule(self, now)

    rule = grants.GrantTable._may_grant
    return may_grant


def add_with_vote(self, may_change_voters):
    """Add a member with a vote at once."""
    event = find_addition(self, may_change_voters)
    if event is not None:
        event.votes = True
    return event


find_addition = membership.Membership._find_addition


def update_members_at_once(self, batch):
    """Count by the new voters before the change is in the log."""
    update_members(self, batch)
    self._grants.set_voters(self._state.list_voters())


update_members = decider.Decider._update_members


def update_members_late(self, batch):
    """Count by the former voters until the change is in the log."""
    former = self._state.list_voters()
    update_members(self, batch)
    self._grants.set_voters(former)


def record_any_ack(self, member, sent_at, now):
    """Begin the wait of a first voter with any member."""
    if self._voter_since is None:
        self._voter_since = now
    record_ack(self, member, sent_at, now)


record_ack = grants.GrantTable.record_ack


def check_rule(case, test, seed, cls, name, replacement):
    """Check that a scenario and a walk fail once a rule is replaced.

    :param seed: seed of the walk, None if no walk is known to find it
    """
    faults_test.check_fault_detected(case, test, cls, name, replacement)
    if seed is None:
        return
    with mock.patch.object(cls, name, replacement):
        test = faults_test.make_walk(seed, splits=True)
        case.assertTrue(faults_test.fails(test))


def test_majority_grants_through_any_outage(case):
    check_rule(
        case,
        lost.test_majority_grants_for_a_bounded_outage_of_the_store,
        2,
        grants.GrantTable,
        '_may_grant',
        may_grant_without_limit('_find_majority_ack_time'),
    )


def test_all_voters_grant_through_any_outage(case):
    check_rule(
        case,
        lost.test_all_members_grant_for_a_bounded_outage_of_the_store,
        17,
        grants.GrantTable,
        '_may_grant',
        may_grant_without_limit('_find_unanimous_ack_time'),
    )


def test_majority_counts_as_all_voters(case):
    check_rule(
        case,
        lost.test_majority_grants_for_a_bounded_outage_of_the_store,
        2,
        grants.GrantTable,
        '_find_unanimous_ack_time',
        grants.GrantTable._find_majority_ack_time,
    )


def test_no_longer_wait_without_a_majority(case):
    check_rule(
        case,
        lost.test_new_owner_outwaits_the_leases_of_a_former_majority,
        0,
        limits.Limits,
        'extra_without_majority',
        property(lambda self: 0.0),
    )


def test_no_longer_wait_without_a_voter(case):
    check_rule(
        case,
        lost.test_new_vms_outwait_the_leases_of_all_former_members,
        5,
        limits.Limits,
        'extra_without_voters',
        limits.Limits.extra_without_majority,
    )


def test_new_members_vote_at_once(case):
    check_rule(
        case,
        lost.test_new_members_have_no_vote_before_former_members_stop,
        5,
        membership.Membership,
        '_find_addition',
        add_with_vote,
    )


def test_voters_change_while_a_former_owner_may_grant(case):
    check_rule(
        case,
        lost.test_new_members_have_no_vote_before_former_members_stop,
        10,
        grants.GrantTable,
        'may_change_voters',
        lambda self, now: True,
    )


def test_any_member_begins_the_wait_of_a_voter(case):
    check_rule(
        case,
        lost.test_new_vms_outwait_the_leases_of_all_former_members,
        5,
        grants.GrantTable,
        'record_ack',
        record_any_ack,
    )


def test_removed_voter_does_not_count_before_the_log_has_it(case):
    check_rule(
        case,
        lost.test_removed_voter_counts_until_its_removal_is_logged,
        None,
        decider.Decider,
        '_update_members',
        update_members_at_once,
    )


def test_new_voter_does_not_count_before_the_log_has_it(case):
    check_rule(
        case,
        lost.test_new_voter_counts_before_its_vote_is_known_to_be_logged,
        None,
        decider.Decider,
        '_update_members',
        update_members_late,
    )


def test_idle_owner_never_asks_the_store(case):
    faults_test.check_fault_detected(
        case,
        lost.test_idle_owner_is_confirmed_by_the_store,
        grants.GrantTable,
        'measure_store_age',
        lambda self, now: 0.0,
    )


def test_walk_with_splits_finds_a_wait_that_the_store_begins(case):
    with mock.patch.object(
        grants.GrantTable, 'record_store', faults_test.count_store_as_majority
    ):
        test = faults_test.make_walk(6, splits=True)
        case.assertTrue(faults_test.fails(test))
