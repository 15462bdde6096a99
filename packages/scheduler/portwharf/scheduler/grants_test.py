# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An owner grants and replaces only when that is safe."""

from portwharf.core import clock
from portwharf.scheduler import grants
from portwharf.scheduler import guard
from portwharf.scheduler import limits

LIMITS = limits.Limits(
    confirm=3, guard=6, lease=4, degraded_outage=20, outage=60
)
MEMBERS = ('a', 'b', 'c', 'd', 'e')


def make_table(acks=(), now=100.0, store=None):
    """Return a table with acknowledgements of questions sent at ``now``.

    :param store: when the store confirmed the owner, None if never
    """
    table = grants.GrantTable(MEMBERS, LIMITS, now)
    if store is not None:
        table.record_store(store)
    record_acks(table, acks, now)
    return table


def record_acks(table, names, now):
    """Record acknowledgements of questions sent at ``now``."""
    for name in names:
        table.record_ack(name, now, now)


def test_minority_does_not_confirm(case):
    case.assertFalse(make_table('ab', store=97.0).may_grant(100.0))


def test_majority_confirms_for_a_while(case):
    table = make_table('abc', store=97.0)
    case.assertTrue(table.may_grant(102.9))
    case.assertFalse(table.may_grant(103.0))


def test_confirmation_counts_from_the_question(case):
    table = make_table(store=97.0)
    for name in 'abc':
        table.record_ack(name, 100.0, 102.5)
    case.assertTrue(table.may_grant(102.9))
    case.assertFalse(table.may_grant(103.0))


def test_oldest_of_the_majority_counts(case):
    table = make_table('ab', now=102.0, store=97.0)
    table.record_ack('c', 100.0, 102.0)
    case.assertTrue(table.may_grant(102.9))
    case.assertFalse(table.may_grant(103.0))


def test_majority_alone_never_confirms(case):
    case.assertFalse(make_table('abcde').may_grant(100.0))


def test_majority_confirms_for_a_bounded_outage_of_the_store(case):
    table = make_table(store=100.0)
    record_acks(table, 'abcd', 119.0)
    case.assertTrue(table.may_grant(119.9))
    case.assertFalse(table.may_grant(120.0))


def test_all_voters_confirm_for_a_longer_outage_of_the_store(case):
    table = make_table(store=100.0)
    record_acks(table, 'abcde', 159.0)
    case.assertTrue(table.may_grant(159.9))
    case.assertFalse(table.may_grant(160.0))


def test_store_confirms_without_a_majority(case):
    table = make_table('a')
    table.record_store(100.0)
    case.assertTrue(table.may_grant(102.9))
    case.assertFalse(table.may_grant(103.0))


def test_non_voters_do_not_count(case):
    table = make_table('ab', store=97.0)
    table.record_ack('x', 100.0, 100.0)
    case.assertFalse(table.may_grant(100.0))


def test_voters_that_join_raise_the_majority(case):
    table = make_table('abc', store=97.0)
    case.assertTrue(table.may_grant(100.0))
    table.set_voters([*MEMBERS, 'f', 'g'])
    case.assertFalse(table.may_grant(100.0))


def test_acknowledgement_without_a_vote_does_not_count_later(case):
    """It may be of a VM that had the same name at another address."""
    table = make_table('abc', store=97.0)
    table.set_voters('abde')
    table.record_ack('c', 100.0, 100.0)
    table.set_voters(MEMBERS)
    case.assertFalse(table.may_grant(100.0))


def test_one_voter_replaces_only_after_a_degraded_outage(case):
    """A majority of the others may still confirm a former owner."""
    table = make_table('a')
    table.record_store(1000.0)
    wait = LIMITS.replace_after_majority + LIMITS.extra_without_majority
    case.assertFalse(table.may_replace('e', 100.0 + wait - 0.01))
    case.assertTrue(table.may_replace('e', 100.0 + wait + 0.01))


def test_owner_without_voters_replaces_only_after_the_longest_outage(case):
    """All voters may still confirm a former owner."""
    table = make_table('')
    table.record_store(1000.0)
    table.record_ack('x', 100.0, 100.0)
    wait = LIMITS.replace_after_majority + LIMITS.extra_without_voters
    case.assertFalse(table.may_replace('e', 100.0 + wait - 0.01))
    case.assertTrue(table.may_replace('e', 100.0 + wait + 0.01))


def test_voters_change_once_no_former_owner_can_grant(case):
    for acks, bound in (
        ('', LIMITS.outage),
        ('a', LIMITS.degraded_outage),
        ('abc', LIMITS.confirm),
    ):
        with case.subTest(acks=acks):
            table = make_table(acks)
            wait = bound * (1 + limits.MAX_CLOCK_DRIFT)
            case.assertFalse(table.may_change_voters(100.0 + wait - 0.01))
            case.assertTrue(table.may_change_voters(100.0 + wait + 0.01))


def test_replacing_waits_after_the_first_majority(case):
    table = make_table('abc')
    wait = LIMITS.replace_after_majority
    case.assertFalse(table.may_replace('e', 100.0 + wait - 0.01))
    case.assertTrue(table.may_replace('e', 100.01 + wait))


def test_replacing_waits_after_our_own_last_grant(case):
    table = make_table('abc')
    later = 1000.0
    record_acks(table, 'abc', later)
    table.record_store(later)
    case.assertTrue(table.grant('e', later))
    wait = LIMITS.replace_after_grant
    case.assertFalse(table.may_replace('e', later + wait - 0.01))
    case.assertTrue(table.may_replace('e', later + wait + 0.01))


def test_refused_grant_is_not_remembered(case):
    table = make_table('abc')
    case.assertFalse(table.grant('e', 500.0))
    case.assertTrue(table.may_replace('e', 500.0))


def make_guard(epoch=3):
    """Return a guard that has read an epoch, if any, and its clock."""
    now = clock.ManualClock()
    made = guard.GrantGuard(now, LIMITS)
    if epoch is not None:
        made.learn_epoch(epoch)
    return made, now


def test_former_owner_is_rejected(case):
    made, _ = make_guard()
    case.assertTrue(made.accept_owner(4, 'vm-1'))
    case.assertFalse(made.accept_owner(3, 'vm-0'))
    case.assertFalse(made.accepts_epoch(3))
    case.assertTrue(made.accepts_epoch(4))


def test_grant_lasts_from_the_heartbeat(case):
    made, now = make_guard()
    made.accept_owner(4, 'vm-1')
    sent = now.read_monotonic()
    now.advance(5)
    made.accept_grant(4, sent, True)
    case.assertTrue(made.is_granted())
    now.advance(1)
    case.assertFalse(made.is_granted())


def test_grants_of_others_do_not_count(case):
    made, now = make_guard()
    made.accept_owner(4, 'vm-1')
    made.accept_grant(3, now.read_monotonic(), True)
    made.accept_grant(4, now.read_monotonic(), False)
    case.assertFalse(made.is_granted())


def test_restarted_side_accepts_no_epoch_and_no_grant(case):
    made, now = make_guard(epoch=None)
    case.assertTrue(made.accept_owner(4, 'vm-1'))
    made.accept_grant(4, now.read_monotonic(), True)
    case.assertFalse(made.accepts_epoch(4))
    case.assertFalse(made.is_granted())
    made.learn_epoch(5)
    case.assertFalse(made.accepts_epoch(4))
    case.assertFalse(made.accept_owner(4, 'vm-1'))


def test_side_that_has_not_read_its_epoch_hears_who_greets_it(case):
    """Else members that have just started vote against a new owner."""
    made, now = make_guard(epoch=None)
    case.assertFalse(made.is_owner_alive(0))
    made.accept_owner(4, 'vm-1')
    case.assertTrue(made.is_owner_alive(4))
    case.assertFalse(made.is_owner_alive(5))
    now.advance(LIMITS.takeover)
    case.assertFalse(made.is_owner_alive(4))


def test_owner_is_heard_until_the_takeover_limit(case):
    made, now = make_guard()
    case.assertFalse(made.is_owner_alive(3))
    made.accept_owner(4, 'vm-1')
    case.assertTrue(made.is_owner_alive(4))
    now.advance(LIMITS.takeover)
    made.restart_wait()
    case.assertFalse(made.is_owner_alive(4))
    case.assertEqual(made.measure_silence(), 0)
