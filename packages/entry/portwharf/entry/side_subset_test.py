# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Selected sides: few, including the owner, and enough that are up."""

import collections

from portwharf.core import clock
from portwharf.core import data
from portwharf.entry import side_links
from portwharf.entry import side_subset
from portwharf.peers import messages


def make_link(name, up=True, owner='', epoch=0):
    """Return a link with the state that the selection reads."""
    link = side_links.SideLink(data.Vm(name), None, None, clock.SystemClock())
    link.view.up = up
    link.view.state = messages.SideState(owner=owner, epoch=epoch)
    return link


def select(count, links=(), entry='entry-1'):
    """Return the sides that an entry selects out of ``count``."""
    names = [f'side-{number}' for number in range(count)]
    known = {link.name: link for link in links}
    return side_subset.SideSubset(entry)(names, known)


def test_entry_links_to_all_sides_of_a_small_fleet(case):
    case.assertEqual(len(select(11)), 11)


def test_links_of_an_entry_do_not_grow_with_the_fleet(case):
    case.assertEqual(len(select(850)), side_subset.MIN_LINKS)


def test_entries_select_different_sides(case):
    counts = collections.Counter()
    for number in range(100):
        counts.update(select(100, entry=f'entry-{number}'))
    # The mean is 12 links per side.
    case.assertLess(max(counts.values()), 3 * side_subset.MIN_LINKS)


def test_owner_reported_by_a_side_is_selected(case):
    first, second = select(100)[:2]
    others = [name for name in select(100, entry='x') if name != first]
    links = [
        make_link(first, owner='side-0', epoch=4),
        make_link(second, owner=others[-1], epoch=5),
    ]
    case.assertIn(others[-1], select(100, links))


def test_sides_that_are_down_are_replaced(case):
    down = [make_link(name, up=False) for name in select(100)[:9]]
    case.assertEqual(len(select(100, down)), side_subset.MIN_LINKS + 9)


def test_links_are_bounded_when_all_sides_are_down(case):
    links = [make_link(f'side-{n}', up=False) for n in range(850)]
    case.assertEqual(len(select(850, links)), 3 * side_subset.MIN_LINKS)
