# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only an answer of the worker decides which incarnation is current."""

from portwharf.core import data
from portwharf import workers

FIRST = data.IncarnationId('i-1', 100)
SECOND = data.IncarnationId('i-2', 200)
OTHER = data.IncarnationId('i-0', 50)
# Restarted under the id of FIRST after its clock was set back.
RESTARTED = data.IncarnationId('i-1', 90)


def make_tracker():
    """Return a tracker whose current incarnation is FIRST."""
    tracker = workers.IncarnationTracker()
    tracker.record_heartbeat(workers.Incarnation(FIRST, 'pool', seq=1))
    tracker.confirm(FIRST)
    return tracker


def test_new_incarnation_is_not_current_before_it_has_answered(case):
    tracker = make_tracker()
    case.assertTrue(tracker.record_heartbeat(workers.Incarnation(SECOND)))
    case.assertEqual(tracker.current.id, FIRST)
    case.assertTrue(tracker.confirm(SECOND))
    case.assertEqual(tracker.current.id, SECOND)
    case.assertIsNone(tracker.candidate)


def test_refuted_incarnation_is_a_candidate_again_after_a_heartbeat(case):
    tracker = make_tracker()
    tracker.record_heartbeat(workers.Incarnation(OTHER))
    tracker.discard_candidate(tracker.candidate)
    case.assertIsNone(tracker.candidate)
    case.assertTrue(tracker.record_heartbeat(workers.Incarnation(OTHER)))
    case.assertEqual(tracker.candidate.id, OTHER)


def test_refuting_a_previous_candidate_keeps_the_present_one(case):
    tracker = make_tracker()
    previous = workers.Incarnation(SECOND)
    tracker.record_heartbeat(workers.Incarnation(OTHER))
    tracker.discard_candidate(previous)
    case.assertFalse(tracker.confirm(FIRST))
    case.assertEqual(tracker.current.id, FIRST)
    case.assertEqual(tracker.candidate.id, OTHER)


def test_outdated_heartbeat_changes_neither_incarnation(case):
    tracker = make_tracker()
    tracker.record_heartbeat(workers.Incarnation(FIRST, draining=True, seq=3))
    case.assertFalse(
        tracker.record_heartbeat(workers.Incarnation(FIRST, seq=2))
    )
    case.assertTrue(tracker.current.draining)
    tracker.record_heartbeat(workers.Incarnation(SECOND, draining=True, seq=3))
    tracker.record_heartbeat(workers.Incarnation(SECOND, seq=2))
    case.assertTrue(tracker.candidate.draining)


def test_heartbeats_without_sequence_numbers_apply_in_order(case):
    tracker = workers.IncarnationTracker()
    tracker.record_heartbeat(workers.Incarnation(FIRST))
    tracker.confirm(FIRST)
    tracker.record_heartbeat(workers.Incarnation(FIRST, draining=True))
    case.assertTrue(tracker.current.draining)


def test_listing_is_read_only_after_a_relevant_change(case):
    tracker = make_tracker()
    case.assertFalse(
        tracker.record_heartbeat(workers.Incarnation(FIRST, 'pool', seq=2))
    )
    case.assertTrue(
        tracker.record_heartbeat(workers.Incarnation(FIRST, 'other', seq=3))
    )
    case.assertTrue(
        tracker.record_heartbeat(
            workers.Incarnation(FIRST, 'other', draining=True, seq=4)
        )
    )


def test_starts_are_refused_before_an_answer_and_while_draining(case):
    tracker = workers.IncarnationTracker()
    tracker.record_heartbeat(workers.Incarnation(FIRST))
    case.assertEqual(tracker.check_start(), workers.REFUSED_NO_HEARTBEAT)
    tracker.confirm(FIRST)
    case.assertEqual(tracker.check_start(), '')
    tracker.record_heartbeat(workers.Incarnation(FIRST, draining=True))
    case.assertEqual(tracker.check_start(), workers.REFUSED_LEAVING)


def test_restart_under_the_same_instance_id_is_a_new_incarnation(case):
    tracker = make_tracker()
    tracker.record_heartbeat(workers.Incarnation(FIRST, draining=True, seq=70))
    case.assertTrue(
        tracker.record_heartbeat(workers.Incarnation(RESTARTED, seq=1))
    )
    case.assertTrue(tracker.confirm(RESTARTED))
    case.assertFalse(tracker.current.draining)
    case.assertTrue(
        tracker.record_heartbeat(
            workers.Incarnation(FIRST, draining=True, seq=71)
        )
    )
    case.assertEqual(tracker.current.id, RESTARTED)


def test_starts_are_refused_after_an_answer_without_a_heartbeat(case):
    tracker = make_tracker()
    case.assertTrue(tracker.confirm(RESTARTED))
    case.assertEqual(tracker.check_start(), workers.REFUSED_NO_HEARTBEAT)
    case.assertTrue(
        tracker.record_heartbeat(workers.Incarnation(RESTARTED, seq=1))
    )
    case.assertEqual(tracker.check_start(), '')


def test_all_possible_instance_ids_are_listed(case):
    case.assertEqual(workers.IncarnationTracker().list_instances(), [''])
    tracker = make_tracker()
    tracker.record_heartbeat(workers.Incarnation(RESTARTED))
    case.assertEqual(tracker.list_instances(), ['i-1'])
    tracker.record_heartbeat(workers.Incarnation(SECOND))
    case.assertEqual(tracker.list_instances(), ['i-2', 'i-1'])
