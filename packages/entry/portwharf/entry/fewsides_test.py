# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Links of an entry: few, with the owner, and enough that are up."""

import collections

from portwharf.core import clock
from portwharf.core import data
from portwharf.entry import fewsides
from portwharf.entry import sides
from portwharf.peers import messages


def make_link(name, up=True, owner='', epoch=0):
    """Return a link as the choice of sides looks at it."""
    link = sides.SideLink(data.Vm(name), None, None, clock.SystemClock())
    link.view.up = up
    link.view.state = messages.SideState(owner=owner, epoch=epoch)
    return link


def choose(count, links=(), entry='entry-1'):
    """Return what an entry chooses of so many sides, with some links."""
    names = [f'side-{number}' for number in range(count)]
    known = {link.name: link for link in links}
    return fewsides.FewSides(entry)(names, known)


def test_entry_of_a_small_fleet_is_linked_to_all(case):
    case.assertEqual(len(choose(11)), 11)


def test_links_of_an_entry_do_not_grow_with_the_fleet(case):
    case.assertEqual(len(choose(850)), fewsides.LEAST_SIDES)


def test_entries_choose_different_sides(case):
    counts = collections.Counter()
    for number in range(100):
        counts.update(choose(100, entry=f'entry-{number}'))
    # 12 links each way on average.
    case.assertLess(max(counts.values()), 3 * fewsides.LEAST_SIDES)


def test_owner_that_a_side_tells_of_is_chosen(case):
    first, second = choose(100)[:2]
    others = [name for name in choose(100, entry='x') if name != first]
    links = [
        make_link(first, owner='side-0', epoch=4),
        make_link(second, owner=others[-1], epoch=5),
    ]
    case.assertIn(others[-1], choose(100, links))


def test_sides_that_are_down_are_made_up_for(case):
    down = [make_link(name, up=False) for name in choose(100)[:9]]
    case.assertEqual(len(choose(100, down)), fewsides.LEAST_SIDES + 9)


def test_fleet_that_is_down_does_not_get_all_links(case):
    links = [make_link(f'side-{n}', up=False) for n in range(850)]
    case.assertEqual(len(choose(850, links)), 3 * fewsides.LEAST_SIDES)
