# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Heavy and light images are told apart from what is observed."""

from portwharf.peers import messages
from portwharf.scheduler.decisions import presses
from portwharf.testing import cluster


def observe(growth, **shares):
    """Return an observation beside the image "desk"."""
    changes = [messages.FillChange(n, s) for n, s in shares.items()]
    return messages.PressObserved('desk', growth, changes)


def test_unknown_pair_is_taken_for_heavy_when_it_matters(case):
    known = presses.Presses()
    case.assertEqual(known.find('desk', 'plan'), presses.PRIOR_PRESS)
    case.assertGreater(
        known.find_upper('desk', 'plan'), presses.PRIOR_PRESS + 1
    )


def test_heavy_and_light_are_told_apart(case):
    known = presses.Presses()
    for _ in range(4):
        known.learn(observe(1.0, heavy=0.1))
        known.learn(observe(0.0, light=0.1))
    case.assertGreater(known.find('desk', 'heavy'), 7.0)
    case.assertLess(known.find('desk', 'light'), 1.0)


def test_what_began_together_is_told_apart_later(case):
    known = presses.Presses()
    for _ in range(3):
        known.learn(observe(1.0, heavy=0.1, light=0.1))
        known.learn(observe(0.0, light=-0.1))
    heavy = known.find('desk', 'heavy')
    case.assertGreater(heavy, 3 * known.find('desk', 'light'))


def test_experience_makes_sure(case):
    known = presses.Presses()
    before = known.find_upper('desk', 'plan') - known.find('desk', 'plan')
    for _ in range(5):
        known.learn(observe(0.5, plan=0.1))
    after = known.find_upper('desk', 'plan') - known.find('desk', 'plan')
    case.assertLess(after, before / 2)


def test_small_changes_teach_nothing(case):
    known = presses.Presses()
    known.learn(observe(3.0, plan=0.001))
    case.assertEqual(known.list_all(), [])


def test_what_is_told_is_believed(case):
    owner, side = presses.Presses(), presses.Presses()
    owner.learn(observe(1.0, plan=0.1))
    side.take_told(owner.list_all())
    case.assertEqual(side.find('desk', 'plan'), owner.find('desk', 'plan'))


def test_new_owner_does_not_make_its_sides_forget(case):
    """What sides were told by a former owner outlasts it.

    Order of events: an owner has learnt that a pair is heavy, and told all
    sides; its process ends and another VM takes over, which knows nothing;
    with its first observation it tells the sides that the pair is light.
    """
    made = cluster.Cluster(3)
    first, _, third = made.nodes
    made.run(2)
    heavy = [observe(1.5, plan=0.1)] * 12
    first.owner.take_observed(heavy)
    made.run(2)
    known = third.server.agent._pacer.presses
    before = known.find_cautious('desk', 'plan')
    case.assertGreater(before, 15)
    made.restart_side(first)
    made.run(1)
    made.nodes[1].claim()
    made.run(2)
    made.nodes[1].owner.take_observed([observe(0.3, plan=0.02)])
    made.run(2)
    case.assertGreater(known.find_cautious('desk', 'plan'), before / 2)


def test_what_a_former_owner_learnt_does_not_outweigh_what_was_seen(case):
    owner = presses.Presses()
    for _ in range(5):
        owner.learn(observe(0.1, plan=0.1))
    before = owner.find('desk', 'plan')
    owner.adopt([messages.Press('desk', 'plan', 30.0, 0.1)])
    case.assertEqual(owner.find('desk', 'plan'), before)


def test_new_owner_goes_on_from_what_a_former_one_learnt(case):
    owner = presses.Presses()
    owner.adopt([messages.Press('desk', 'plan', 12.0, 0.5)])
    owner.learn(observe(1.2, plan=0.1))
    case.assertAlmostEqual(owner.find('desk', 'plan'), 12.0, 1)
