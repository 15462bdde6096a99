# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Only the worker at the address settles which life is there."""

from portwharf import workers


def make_lives():
    """Return lives of which i-1 is the one in use."""
    lives = workers.Lives()
    lives.offer(workers.Life('i-1', 'pool', seq=1))
    lives.confirm('i-1')
    return lives


def test_life_that_is_heard_is_not_in_use_before_it_is_confirmed(case):
    lives = make_lives()
    case.assertTrue(lives.offer(workers.Life('i-2')))
    case.assertEqual(lives.current.instance, 'i-1')
    lives.confirm('i-2')
    case.assertEqual(lives.current.instance, 'i-2')
    case.assertIsNone(lives.candidate)


def test_refuted_life_is_a_candidate_again_if_it_is_heard_again(case):
    lives = make_lives()
    lives.offer(workers.Life('i-0'))
    lives.refute('i-0')
    case.assertIsNone(lives.candidate)
    case.assertTrue(lives.offer(workers.Life('i-0')))
    case.assertEqual(lives.candidate.instance, 'i-0')


def test_answer_about_another_candidate_settles_nothing(case):
    lives = make_lives()
    lives.offer(workers.Life('i-3'))
    lives.confirm('i-2')
    lives.refute('i-2')
    case.assertEqual(lives.current.instance, 'i-1')
    case.assertEqual(lives.candidate.instance, 'i-3')


def test_what_is_late_changes_neither_life(case):
    lives = make_lives()
    lives.offer(workers.Life('i-1', draining=True, seq=3))
    case.assertFalse(lives.offer(workers.Life('i-1', seq=2)))
    case.assertTrue(lives.current.draining)
    lives.offer(workers.Life('i-2', draining=True, seq=3))
    lives.offer(workers.Life('i-2', seq=2))
    case.assertTrue(lives.candidate.draining)


def test_life_without_numbers_is_believed_as_it_comes(case):
    lives = workers.Lives()
    lives.offer(workers.Life('i-1'))
    lives.confirm('i-1')
    lives.offer(workers.Life('i-1', draining=True))
    case.assertTrue(lives.current.draining)


def test_only_news_have_the_worker_looked_at(case):
    lives = make_lives()
    case.assertFalse(lives.offer(workers.Life('i-1', 'pool', seq=2)))
    case.assertTrue(lives.offer(workers.Life('i-1', 'other', seq=3)))
    case.assertTrue(
        lives.offer(workers.Life('i-1', 'other', draining=True, seq=4))
    )


def test_nothing_is_started_before_a_life_is_in_use_or_while_it_leaves(case):
    lives = workers.Lives()
    lives.offer(workers.Life('i-1'))
    case.assertEqual(lives.check_start(), workers.REFUSED_UNHEARD)
    lives.confirm('i-1')
    case.assertEqual(lives.check_start(), '')
    lives.offer(workers.Life('i-1', draining=True))
    case.assertEqual(lives.check_start(), workers.REFUSED_LEAVING)
