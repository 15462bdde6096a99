# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The oldest entry is evicted first; entries in use stay."""

from portwharf.core import bounded_cache


def make_cache(max_entries, *keys):
    """Return a cache into which some keys were put, in order."""
    cache = bounded_cache.BoundedCache(max_entries)
    for key in keys:
        cache.put(key, key.upper())
    return cache


def test_oldest_entry_is_evicted(case):
    cache = make_cache(2, 'a', 'b', 'c')
    case.assertNotIn('a', cache)
    case.assertEqual((cache.get('b'), cache.get('c')), ('B', 'C'))


def test_entry_that_is_put_again_is_the_most_recent(case):
    cache = make_cache(2, 'a', 'b', 'a', 'c')
    case.assertIn('a', cache)
    case.assertNotIn('b', cache)


def test_entry_in_use_is_not_evicted(case):
    cache = make_cache(3, 'a', 'b')
    cache.set_in_use(['a'])
    for number in range(10):
        cache.put(f'x{number}', '')
    case.assertEqual(cache.get('a'), 'A')
    case.assertEqual(len(cache), 3)


def test_entries_in_use_may_exceed_the_limit(case):
    cache = make_cache(2)
    cache.set_in_use(['a', 'b', 'c'])
    for key in 'abcx':
        cache.put(key, key)
    case.assertEqual([cache.get(key) for key in 'abc'], ['a', 'b', 'c'])
    case.assertNotIn('x', cache)
