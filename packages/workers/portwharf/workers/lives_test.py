# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only an answer of the worker decides which incarnation is current."""

from portwharf.core import data
from portwharf import workers

FIRST = data.LifeId('i-1', 100)
SECOND = data.LifeId('i-2', 200)
OTHER = data.LifeId('i-0', 50)
# Restarted under the id of FIRST after its clock was set back.
RESTARTED = data.LifeId('i-1', 90)


def make_lives():
    """Return lives whose current incarnation is FIRST."""
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST, 'pool', seq=1))
    lives.settle(FIRST)
    return lives


def test_new_incarnation_is_not_current_before_it_has_answered(case):
    lives = make_lives()
    case.assertTrue(lives.offer(workers.Life(SECOND)))
    case.assertEqual(lives.current.id, FIRST)
    case.assertTrue(lives.settle(SECOND))
    case.assertEqual(lives.current.id, SECOND)
    case.assertIsNone(lives.candidate)


def test_refuted_incarnation_is_a_candidate_again_after_a_heartbeat(case):
    lives = make_lives()
    lives.offer(workers.Life(OTHER))
    lives.refute(lives.candidate)
    case.assertIsNone(lives.candidate)
    case.assertTrue(lives.offer(workers.Life(OTHER)))
    case.assertEqual(lives.candidate.id, OTHER)


def test_refuting_a_previous_candidate_keeps_the_present_one(case):
    lives = make_lives()
    previous = workers.Life(SECOND)
    lives.offer(workers.Life(OTHER))
    lives.refute(previous)
    case.assertFalse(lives.settle(FIRST))
    case.assertEqual(lives.current.id, FIRST)
    case.assertEqual(lives.candidate.id, OTHER)


def test_outdated_heartbeat_changes_neither_incarnation(case):
    lives = make_lives()
    lives.offer(workers.Life(FIRST, draining=True, seq=3))
    case.assertFalse(lives.offer(workers.Life(FIRST, seq=2)))
    case.assertTrue(lives.current.draining)
    lives.offer(workers.Life(SECOND, draining=True, seq=3))
    lives.offer(workers.Life(SECOND, seq=2))
    case.assertTrue(lives.candidate.draining)


def test_heartbeats_without_sequence_numbers_apply_in_order(case):
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST))
    lives.settle(FIRST)
    lives.offer(workers.Life(FIRST, draining=True))
    case.assertTrue(lives.current.draining)


def test_listing_is_read_only_after_a_relevant_change(case):
    lives = make_lives()
    case.assertFalse(lives.offer(workers.Life(FIRST, 'pool', seq=2)))
    case.assertTrue(lives.offer(workers.Life(FIRST, 'other', seq=3)))
    case.assertTrue(
        lives.offer(workers.Life(FIRST, 'other', draining=True, seq=4))
    )


def test_starts_are_refused_before_an_answer_and_while_draining(case):
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST))
    case.assertEqual(lives.check_start(), workers.REFUSED_UNHEARD)
    lives.settle(FIRST)
    case.assertEqual(lives.check_start(), '')
    lives.offer(workers.Life(FIRST, draining=True))
    case.assertEqual(lives.check_start(), workers.REFUSED_LEAVING)


def test_restart_under_the_same_instance_id_is_a_new_incarnation(case):
    lives = make_lives()
    lives.offer(workers.Life(FIRST, draining=True, seq=70))
    case.assertTrue(lives.offer(workers.Life(RESTARTED, seq=1)))
    case.assertTrue(lives.settle(RESTARTED))
    case.assertFalse(lives.current.draining)
    case.assertTrue(lives.offer(workers.Life(FIRST, draining=True, seq=71)))
    case.assertEqual(lives.current.id, RESTARTED)


def test_starts_are_refused_after_an_answer_without_a_heartbeat(case):
    lives = make_lives()
    case.assertTrue(lives.settle(RESTARTED))
    case.assertEqual(lives.check_start(), workers.REFUSED_UNHEARD)
    case.assertTrue(lives.offer(workers.Life(RESTARTED, seq=1)))
    case.assertEqual(lives.check_start(), '')


def test_all_possible_instance_ids_are_listed(case):
    case.assertEqual(workers.Lives().list_instances(), [''])
    lives = make_lives()
    lives.offer(workers.Life(RESTARTED))
    case.assertEqual(lives.list_instances(), ['i-1'])
    lives.offer(workers.Life(SECOND))
    case.assertEqual(lives.list_instances(), ['i-2', 'i-1'])
