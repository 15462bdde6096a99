# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Presses of heavy and light images are learnt from observations."""

from portwharf.peers import messages
from portwharf.scheduler.decisions import tail_interference
from portwharf.testing import cluster


def observe(growth, **shares):
    """Return an observation beside the image "desk"."""
    changes = [messages.FillChange(n, s) for n, s in shares.items()]
    return messages.PressObserved('desk', growth, changes)


def test_upper_bound_of_an_unknown_pair_is_high(case):
    model = tail_interference.TailInterferenceModel()
    case.assertEqual(
        model.get_press('desk', 'plan'), tail_interference.PRIOR_PRESS
    )
    case.assertGreater(
        model.get_upper_bound('desk', 'plan'),
        tail_interference.PRIOR_PRESS + 1,
    )


def test_heavy_and_light_images_are_distinguished(case):
    model = tail_interference.TailInterferenceModel()
    for _ in range(4):
        model.add_observation(observe(1.0, heavy=0.1))
        model.add_observation(observe(0.0, light=0.1))
    case.assertGreater(model.get_press('desk', 'heavy'), 7.0)
    case.assertLess(model.get_press('desk', 'light'), 1.0)


def test_images_that_started_together_are_separated_later(case):
    model = tail_interference.TailInterferenceModel()
    for _ in range(3):
        model.add_observation(observe(1.0, heavy=0.1, light=0.1))
        model.add_observation(observe(0.0, light=-0.1))
    heavy = model.get_press('desk', 'heavy')
    case.assertGreater(heavy, 3 * model.get_press('desk', 'light'))


def test_observations_reduce_deviation(case):
    model = tail_interference.TailInterferenceModel()
    before = model.get_upper_bound('desk', 'plan') - model.get_press(
        'desk', 'plan'
    )
    for _ in range(5):
        model.add_observation(observe(0.5, plan=0.1))
    after = model.get_upper_bound('desk', 'plan') - model.get_press(
        'desk', 'plan'
    )
    case.assertLess(after, before / 2)


def test_small_changes_are_ignored(case):
    model = tail_interference.TailInterferenceModel()
    model.add_observation(observe(3.0, plan=0.001))
    case.assertEqual(model.list_all(), [])


def test_side_takes_over_presses_of_the_owner(case):
    owner, side = (
        tail_interference.TailInterferenceModel(),
        tail_interference.TailInterferenceModel(),
    )
    owner.add_observation(observe(1.0, plan=0.1))
    side.replace_estimates(owner.list_all())
    case.assertEqual(
        side.get_press('desk', 'plan'), owner.get_press('desk', 'plan')
    )


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
    first.owner.record_presses_observed(heavy)
    sim.run(2)
    model = third.server.agent._pacer.presses
    before = model.get_pacing_press('desk', 'plan')
    case.assertGreater(before, 15)
    sim.restart_side(first)
    sim.run(1)
    sim.nodes[1].claim()
    sim.run(2)
    sim.nodes[1].owner.record_presses_observed([observe(0.3, plan=0.02)])
    sim.run(2)
    case.assertGreater(model.get_pacing_press('desk', 'plan'), before / 2)


def test_adopted_press_does_not_replace_an_observed_one(case):
    owner = tail_interference.TailInterferenceModel()
    for _ in range(5):
        owner.add_observation(observe(0.1, plan=0.1))
    before = owner.get_press('desk', 'plan')
    owner.add_unknown([messages.Press('desk', 'plan', 30.0, 0.1)])
    case.assertEqual(owner.get_press('desk', 'plan'), before)


def test_new_owner_starts_from_adopted_presses(case):
    owner = tail_interference.TailInterferenceModel()
    owner.add_unknown([messages.Press('desk', 'plan', 12.0, 0.5)])
    owner.add_observation(observe(1.2, plan=0.1))
    case.assertAlmostEqual(owner.get_press('desk', 'plan'), 12.0, 1)
