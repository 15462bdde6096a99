# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only the worker at the address settles which life is there."""

from portwharf.core import data
from portwharf import workers

FIRST = data.LifeId('i-1', 100)
SECOND = data.LifeId('i-2', 200)
OTHER = data.LifeId('i-0', 50)
# Begun again under the id of the first; its machine's time was set back.
REBORN = data.LifeId('i-1', 90)


def make_lives():
    """Return lives of which the first is the one in use."""
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST, 'pool', seq=1))
    lives.settle(FIRST)
    return lives


def test_life_that_is_heard_is_not_in_use_before_it_has_answered(case):
    lives = make_lives()
    case.assertTrue(lives.offer(workers.Life(SECOND)))
    case.assertEqual(lives.current.id, FIRST)
    case.assertTrue(lives.settle(SECOND))
    case.assertEqual(lives.current.id, SECOND)
    case.assertIsNone(lives.candidate)


def test_refuted_life_is_a_candidate_again_if_it_is_heard_again(case):
    lives = make_lives()
    lives.offer(workers.Life(OTHER))
    lives.refute(lives.candidate)
    case.assertIsNone(lives.candidate)
    case.assertTrue(lives.offer(workers.Life(OTHER)))
    case.assertEqual(lives.candidate.id, OTHER)


def test_answer_about_another_candidate_settles_nothing(case):
    lives = make_lives()
    former = workers.Life(SECOND)
    lives.offer(workers.Life(OTHER))
    lives.refute(former)
    case.assertFalse(lives.settle(FIRST))
    case.assertEqual(lives.current.id, FIRST)
    case.assertEqual(lives.candidate.id, OTHER)


def test_what_is_late_changes_neither_life(case):
    lives = make_lives()
    lives.offer(workers.Life(FIRST, draining=True, seq=3))
    case.assertFalse(lives.offer(workers.Life(FIRST, seq=2)))
    case.assertTrue(lives.current.draining)
    lives.offer(workers.Life(SECOND, draining=True, seq=3))
    lives.offer(workers.Life(SECOND, seq=2))
    case.assertTrue(lives.candidate.draining)


def test_life_without_numbers_is_believed_as_it_comes(case):
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST))
    lives.settle(FIRST)
    lives.offer(workers.Life(FIRST, draining=True))
    case.assertTrue(lives.current.draining)


def test_only_news_have_the_worker_looked_at(case):
    lives = make_lives()
    case.assertFalse(lives.offer(workers.Life(FIRST, 'pool', seq=2)))
    case.assertTrue(lives.offer(workers.Life(FIRST, 'other', seq=3)))
    case.assertTrue(
        lives.offer(workers.Life(FIRST, 'other', draining=True, seq=4))
    )


def test_nothing_is_started_before_a_life_is_in_use_or_while_it_leaves(case):
    lives = workers.Lives()
    lives.offer(workers.Life(FIRST))
    case.assertEqual(lives.check_start(), workers.REFUSED_UNHEARD)
    lives.settle(FIRST)
    case.assertEqual(lives.check_start(), '')
    lives.offer(workers.Life(FIRST, draining=True))
    case.assertEqual(lives.check_start(), workers.REFUSED_LEAVING)


def test_life_under_the_same_id_is_another_one(case):
    lives = make_lives()
    lives.offer(workers.Life(FIRST, draining=True, seq=70))
    case.assertTrue(lives.offer(workers.Life(REBORN, seq=1)))
    case.assertTrue(lives.settle(REBORN))
    case.assertFalse(lives.current.draining)
    case.assertTrue(lives.offer(workers.Life(FIRST, draining=True, seq=71)))
    case.assertEqual(lives.current.id, REBORN)


def test_life_that_has_answered_and_said_nothing_else_begins_nothing(case):
    lives = make_lives()
    case.assertTrue(lives.settle(REBORN))
    case.assertEqual(lives.check_start(), workers.REFUSED_UNHEARD)
    case.assertTrue(lives.offer(workers.Life(REBORN, seq=1)))
    case.assertEqual(lives.check_start(), '')


def test_worker_is_asked_for_by_each_id_that_it_may_have(case):
    case.assertEqual(workers.Lives().list_instances(), [''])
    lives = make_lives()
    lives.offer(workers.Life(REBORN))
    case.assertEqual(lives.list_instances(), ['i-1'])
    lives.offer(workers.Life(SECOND))
    case.assertEqual(lives.list_instances(), ['i-2', 'i-1'])
