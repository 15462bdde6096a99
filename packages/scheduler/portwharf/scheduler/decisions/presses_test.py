# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Presses of heavy and light images are learnt from observations."""

from portwharf.peers import messages
from portwharf.scheduler.decisions import presses
from portwharf.testing import cluster


def observe(growth, **shares):
    """Return an observation beside the image "desk"."""
    changes = [messages.FillChange(n, s) for n, s in shares.items()]
    return messages.PressObserved('desk', growth, changes)


def test_upper_bound_of_an_unknown_pair_is_high(case):
    model = presses.Presses()
    case.assertEqual(model.find('desk', 'plan'), presses.PRIOR_PRESS)
    case.assertGreater(
        model.find_upper('desk', 'plan'), presses.PRIOR_PRESS + 1
    )


def test_heavy_and_light_images_are_distinguished(case):
    model = presses.Presses()
    for _ in range(4):
        model.learn(observe(1.0, heavy=0.1))
        model.learn(observe(0.0, light=0.1))
    case.assertGreater(model.find('desk', 'heavy'), 7.0)
    case.assertLess(model.find('desk', 'light'), 1.0)


def test_images_that_started_together_are_separated_later(case):
    model = presses.Presses()
    for _ in range(3):
        model.learn(observe(1.0, heavy=0.1, light=0.1))
        model.learn(observe(0.0, light=-0.1))
    heavy = model.find('desk', 'heavy')
    case.assertGreater(heavy, 3 * model.find('desk', 'light'))


def test_observations_reduce_deviation(case):
    model = presses.Presses()
    before = model.find_upper('desk', 'plan') - model.find('desk', 'plan')
    for _ in range(5):
        model.learn(observe(0.5, plan=0.1))
    after = model.find_upper('desk', 'plan') - model.find('desk', 'plan')
    case.assertLess(after, before / 2)


def test_small_changes_are_ignored(case):
    model = presses.Presses()
    model.learn(observe(3.0, plan=0.001))
    case.assertEqual(model.list_all(), [])


def test_side_takes_over_presses_of_the_owner(case):
    owner, side = presses.Presses(), presses.Presses()
    owner.learn(observe(1.0, plan=0.1))
    side.take_told(owner.list_all())
    case.assertEqual(side.find('desk', 'plan'), owner.find('desk', 'plan'))


def test_sides_keep_learnt_presses_under_a_new_owner(case):
    """Presses that sides received from a former owner outlast it.

    Order of events: an owner learns that a pair is heavy, and sends that to
    all sides; its process ends, and another VM takes over without knowing any
    press; after its first observation it sends the sides a low press.
    """
    sim = cluster.Cluster(3)
    first, _, third = sim.nodes
    sim.run(2)
    heavy = [observe(1.5, plan=0.1)] * 12
    first.owner.take_observed(heavy)
    sim.run(2)
    model = third.server.agent._pacer.presses
    before = model.find_cautious('desk', 'plan')
    case.assertGreater(before, 15)
    sim.restart_side(first)
    sim.run(1)
    sim.nodes[1].claim()
    sim.run(2)
    sim.nodes[1].owner.take_observed([observe(0.3, plan=0.02)])
    sim.run(2)
    case.assertGreater(model.find_cautious('desk', 'plan'), before / 2)


def test_adopted_press_does_not_replace_an_observed_one(case):
    owner = presses.Presses()
    for _ in range(5):
        owner.learn(observe(0.1, plan=0.1))
    before = owner.find('desk', 'plan')
    owner.adopt([messages.Press('desk', 'plan', 30.0, 0.1)])
    case.assertEqual(owner.find('desk', 'plan'), before)


def test_new_owner_starts_from_adopted_presses(case):
    owner = presses.Presses()
    owner.adopt([messages.Press('desk', 'plan', 12.0, 0.5)])
    owner.learn(observe(1.2, plan=0.1))
    case.assertAlmostEqual(owner.find('desk', 'plan'), 12.0, 1)
