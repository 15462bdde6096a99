# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The oldest goes first, and what is in use stays."""

from portwharf.core import recent


def make_recent(most, *names):
    """Return a map with some names put in order."""
    made = recent.Recent(most)
    for name in names:
        made.put(name, name.upper())
    return made


def test_oldest_is_dropped(case):
    made = make_recent(2, 'a', 'b', 'c')
    case.assertNotIn('a', made)
    case.assertEqual((made.get('b'), made.get('c')), ('B', 'C'))


def test_what_is_put_again_is_the_latest(case):
    made = make_recent(2, 'a', 'b', 'a', 'c')
    case.assertIn('a', made)
    case.assertNotIn('b', made)


def test_what_is_in_use_is_not_dropped(case):
    made = make_recent(3, 'a', 'b')
    made.use(['a'])
    for number in range(10):
        made.put(f'x{number}', '')
    case.assertEqual(made.get('a'), 'A')
    case.assertEqual(len(made), 3)


def test_more_may_be_in_use_than_are_kept(case):
    made = make_recent(2)
    made.use(['a', 'b', 'c'])
    for name in 'abcx':
        made.put(name, name)
    case.assertEqual([made.get(name) for name in 'abc'], ['a', 'b', 'c'])
    case.assertNotIn('x', made)
