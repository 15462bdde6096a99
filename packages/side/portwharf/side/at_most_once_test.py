# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A non-repeatable request runs at most once, whichever side gets it."""

from unittest import mock
import uuid

import xxhash

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import admission
from portwharf.side import at_most_once

SERVICE = 'lens/order'
ANSWERED = admission.Verdict(data.Outcome.ANSWERED, '', b'done')


class FakeGuard:
    """A guard whose grant a test sets."""

    def __init__(self):
        self.granted = True

    def is_granted(self):
        """Tell whether there is a grant."""
        return self.granted


def make_id(made_ms, serial=0):
    """Return the id that was made at a time, the same in each run."""
    head = made_ms << 80 | 7 << 76 | 2 << 62
    return str(
        uuid.UUID(int=head | xxhash.xxh32_intdigest(str(serial).encode()))
    )


def make_update(*members, seq=1, effective_ms=0, pending=()):
    """Return an update with the rosters of one service."""
    update = messages.RosterUpdate()
    if pending:
        update.pending = make_roster(pending, seq + 1, 0)
    update.history = [make_roster(members, seq, effective_ms)]
    return update


def make_roster(members, seq, effective_ms):
    """Return one roster."""
    one = data.ServiceRoster(SERVICE, list(members))
    return data.Roster(seq, effective_ms, [one])


def make_policy(*members, name='vm-0'):
    """Return a policy and its clock, 100 s after the side started."""
    now = clock.ManualClock()
    policy = at_most_once.AtMostOncePolicy(name, FakeGuard(), now)
    now.advance(100)
    if members:
        policy.take_update(make_update(*members), 1)
    return policy, now


def admit(policy, request, sent_before=False):
    """Offer a request; returns the verdict, or None if it is admitted."""
    return policy.admit(request, SERVICE, sent_before)


def test_only_home_runs_what_it_has_not_seen(case):
    policy, now = make_policy('vm-0')
    case.assertIsNone(admit(policy, make_id(now.read_unix_ms())))


def test_repeated_request_gets_the_first_answer(case):
    policy, now = make_policy('vm-0')
    request = make_id(now.read_unix_ms())
    admit(policy, request)
    case.assertEqual(admit(policy, request).outcome, data.Outcome.UNKNOWN)
    policy.record(request, ANSWERED)
    case.assertEqual(admit(policy, request), ANSWERED)


def test_request_that_did_not_run_is_admitted_again(case):
    policy, now = make_policy('vm-0')
    request = make_id(now.read_unix_ms())
    admit(policy, request)
    policy.record(request, admission.Verdict(reason='queue-is-full'))
    case.assertIsNone(admit(policy, request, True))


def test_id_of_another_home_is_not_run(case):
    policy, now = make_policy('vm-1')
    request = make_id(now.read_unix_ms())
    verdict = admit(policy, request)
    case.assertEqual(verdict.outcome, data.Outcome.NOT_RUN)
    case.assertEqual(verdict.reason, at_most_once.REASON_NOT_HOME)
    again = admit(policy, request, True)
    case.assertEqual(again.outcome, data.Outcome.UNKNOWN)


def test_home_without_a_grant_runs_nothing(case):
    policy, now = make_policy('vm-0')
    policy._guard.granted = False
    verdict = admit(policy, make_id(now.read_unix_ms()))
    case.assertEqual(verdict.reason, at_most_once.REASON_NOT_CONFIRMED)


def test_pending_roster_takes_homes_away_at_once(case):
    policy, now = make_policy()
    policy.take_update(make_update('vm-0', pending=('vm-1',)), 1)
    verdict = admit(policy, make_id(now.read_unix_ms()))
    case.assertEqual(verdict.reason, at_most_once.REASON_NOT_HOME)


def test_id_from_before_the_roster_may_have_run_elsewhere(case):
    policy, now = make_policy()
    since = now.read_unix_ms()
    update = make_update('vm-1')
    update.history.append(make_roster(['vm-0'], 2, since))
    policy.take_update(update, 1)
    now.advance(60)
    old = make_id(since + at_most_once.MAX_SKEW_MS - 1)
    case.assertEqual(admit(policy, old).outcome, data.Outcome.UNKNOWN)
    case.assertIsNone(
        admit(policy, make_id(since + at_most_once.MAX_SKEW_MS + 1))
    )


def test_id_with_an_unchanged_home_is_admitted(case):
    policy, now = make_policy()
    since = now.read_unix_ms()
    update = make_update('vm-0')
    update.history.append(make_roster(['vm-0'], 2, since))
    policy.take_update(update, 1)
    now.advance(60)
    case.assertIsNone(admit(policy, make_id(since - 5000)))


def test_restarted_side_does_not_run_what_it_may_have_run(case):
    policy, now = make_policy('vm-0')
    request = make_id(now.read_unix_ms())
    again = at_most_once.AtMostOncePolicy('vm-0', FakeGuard(), now)
    again.take_update(make_update('vm-0'), 1)
    case.assertEqual(admit(again, request).outcome, data.Outcome.UNKNOWN)


def test_ids_from_the_future_and_the_far_past_are_not_run(case):
    policy, now = make_policy('vm-0')
    now.advance(10_000)
    ahead = make_id(now.read_unix_ms() + at_most_once.MAX_AHEAD_MS + 1)
    case.assertEqual(admit(policy, ahead).reason, at_most_once.REASON_FUTURE)
    old = make_id(now.read_unix_ms() - at_most_once.WINDOW_MS - 1)
    case.assertEqual(admit(policy, old).outcome, data.Outcome.UNKNOWN)


def test_memory_is_bounded_and_refuses_before_it_forgets(case):
    policy, now = make_policy('vm-0')
    with mock.patch.object(at_most_once, 'MAX_IDS', 10):
        requests = [make_id(now.read_unix_ms(), n) for n in range(11)]
        verdicts = [admit(policy, request) for request in requests]
        case.assertEqual(verdicts[:10], [None] * 10)
        case.assertEqual(verdicts[10].reason, at_most_once.REASON_FULL)
        for request in requests[:10]:
            policy.record(request, ANSWERED)
        now.advance(at_most_once.WINDOW_MS / 1000 + 1)
        case.assertIsNone(admit(policy, make_id(now.read_unix_ms())))


def test_answers_are_dropped_before_ids(case):
    policy, now = make_policy('vm-0')
    large = admission.Verdict(data.Outcome.ANSWERED, '', bytes(4000))
    requests = [make_id(now.read_unix_ms(), n) for n in range(1000)]
    for request in requests:
        admit(policy, request)
        policy.record(request, large)
    case.assertEqual(admit(policy, requests[0]).outcome, data.Outcome.UNKNOWN)
    case.assertEqual(admit(policy, requests[-1]), large)


def test_newer_owner_replaces_what_a_former_one_announced(case):
    policy, now = make_policy()
    policy.take_update(make_update('vm-0', seq=7, pending=('vm-1',)), 1)
    case.assertFalse(policy.take_update(make_update('vm-0', seq=6), 1))
    policy.take_update(make_update('vm-0', seq=7), 2)
    case.assertIsNone(admit(policy, make_id(now.read_unix_ms())))
    case.assertFalse(policy.take_update(make_update('vm-1', seq=9), 1))
