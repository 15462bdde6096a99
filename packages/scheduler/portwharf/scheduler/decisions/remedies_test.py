# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Remedies escalate, hit the cheapest effective task, and are limited."""

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import remedies

VM = 'vm-1'
SERVICE = remedies.ServiceView('lens/fit', 0.5, 0.5, 0.2)
LATE, FINE = 0.15, 0.05


class FakeModel:
    """Model with given weights of kinds and a fixed base time."""

    def __init__(self, weights):
        self.weights = weights

    def get_weight(self, service, kind, load):
        """Return a kind's weight."""
        return self.weights.get(kind, 0.0)

    def predict(self, service, load, kinds):
        """Return the base and what the kinds add."""
        added = sum(self.weights.get(k, 0.0) * n for k, n in kinds.items())
        return interference.Estimate(-3.0 + added, 0.0)


def make_remedies(**weights):
    """Return a ``Remedies`` with a fake model."""
    return remedies.Remedies(FakeModel(weights))


def make_task(kind='bad', **fields):
    """Return a neighbour that is checkpointable."""
    values = {'task': f'0-{kind}.0', 'kind': kind, 'checkpointable': True}
    return remedies.Neighbour(**{**values, **fields})


def record_measurements(policy, seconds, count=remedies.LATE_BEFORE_ACTION):
    """Record a measurement of the service, repeatedly."""
    for _ in range(count):
        policy.record_measured(VM, SERVICE.service, seconds, SERVICE.target)


def find_next_action(policy, neighbours, now=100.0):
    """Return the next action on the VM."""
    return policy.find_action(VM, [SERVICE], neighbours, now)


def test_no_action_while_targets_hold(case):
    policy = make_remedies(bad=0.3)
    record_measurements(policy, FINE, 50)
    case.assertIsNone(find_next_action(policy, [make_task()]))


def test_one_late_measurement_is_not_enough(case):
    policy = make_remedies(bad=0.3)
    record_measurements(policy, LATE, remedies.LATE_BEFORE_ACTION - 1)
    case.assertIsNone(find_next_action(policy, [make_task()]))


def test_throttling_comes_before_evicting(case):
    policy = make_remedies(bad=0.3)
    record_measurements(policy, LATE)
    action = find_next_action(policy, [make_task()])
    case.assertEqual(action.percent, remedies.THROTTLE_PERCENT)
    record_measurements(policy, LATE)
    later = 100.0 + remedies.ACTION_INTERVAL_SECONDS
    case.assertIsNone(
        find_next_action(policy, [make_task(throttled=True)], later)
    )
    record_measurements(policy, LATE, remedies.LATE_BEFORE_EVICTION)
    action = find_next_action(policy, [make_task(throttled=True)], later)
    case.assertEqual((action.task, action.percent), ('0-bad.0', 0))


def test_no_second_action_within_the_interval(case):
    policy = make_remedies(bad=0.3)
    record_measurements(policy, LATE)
    find_next_action(policy, [make_task()])
    record_measurements(policy, LATE)
    soon = 100.0 + remedies.ACTION_INTERVAL_SECONDS - 1
    case.assertIsNone(
        find_next_action(policy, [make_task(throttled=True)], soon)
    )


def test_weights_change_headroom_and_evictions(case):
    policy = make_remedies()
    policy.set_weights(configuration.Weights(5, 3, 1))
    batch = policy.headroom, policy.late_before_eviction
    policy.set_weights(configuration.Weights(5, 1, 3))
    case.assertGreater(policy.headroom, batch[0])
    case.assertEqual(policy.late_before_eviction, 3 * batch[1])


def test_harmless_neighbours_are_left_alone(case):
    policy = make_remedies(bad=0.3)
    record_measurements(policy, LATE)
    case.assertIsNone(find_next_action(policy, [make_task('good')]))


def test_victim_has_the_most_effect_for_its_cost(case):
    tasks = [
        make_task('bad', task='dear', checkpointable=False, seconds=900),
        make_task('bad', task='often', evictions=3),
        make_task('bad', task='vital', importance=900),
        make_task('bad', task='cheap'),
        make_task('mild', task='mild'),
    ]
    policy = make_remedies(bad=0.3, mild=0.05)
    record_measurements(policy, LATE)
    case.assertEqual(find_next_action(policy, tasks).task, 'cheap')


def test_evictions_are_rate_limited(case):
    budget = remedies.EvictionBudget()
    taken = sum(budget.take(100.0) for _ in range(50))
    case.assertEqual(taken, remedies.EVICTION_BURST)
    later = 100.0 + 2 * remedies.EVICTION_REFILL_SECONDS
    case.assertEqual(sum(budget.take(later) for _ in range(50)), 2)


def test_throttled_task_is_released_when_targets_allow(case):
    relaxed, tight = make_remedies(bad=0.01), make_remedies(bad=0.9)
    tasks = [make_task(throttled=True)]
    action = relaxed.find_release(VM, [SERVICE], tasks, 100.0)
    case.assertEqual(action.percent, 100)
    case.assertIsNone(tight.find_release(VM, [SERVICE], tasks, 100.0))


def test_placement_is_judged_at_the_peak_load(case):
    policy = make_remedies(bad=0.2, good=0.0)
    case.assertTrue(policy.predict_effect([SERVICE], {}, 'bad')[0])
    case.assertFalse(policy.predict_effect([SERVICE], {'bad': 2}, 'bad')[0])
    case.assertTrue(policy.predict_effect([SERVICE], {'bad': 9}, 'good')[0])
    free = remedies.ServiceView('lens/none', 0.5, 0.5, 0.0)
    case.assertTrue(policy.predict_effect([free], {'bad': 9}, 'bad')[0])


def test_peaks_decay(case):
    peaks = remedies.PeakLoadTracker()
    peaks.record_load('x', 0.8, 0.0)
    case.assertGreater(peaks.record_load('x', 0.1, 1.0), 0.79)
    late = 1.0 + 2 * remedies.PEAK_HALF_LIFE_SECONDS
    case.assertAlmostEqual(peaks.record_load('x', 0.1, late), 0.2, places=2)


def test_cheapest_sufficient_tasks_make_room(case):
    size = data.Resources(2000, 100)
    tasks = [
        make_task(task=str(n), resources=data.Resources(1000, 100))
        for n in range(4)
    ]
    tasks[0].evictions = 5
    chosen = remedies.pick_to_make_room(
        size, data.Resources(0, 1000), tasks, 100
    )
    case.assertEqual([one.task for one in chosen], ['1', '2'])
    short = data.Resources(0, 0)
    huge = data.Resources(9000, 100)
    case.assertEqual(remedies.pick_to_make_room(huge, short, tasks, 9), [])
    case.assertEqual(remedies.pick_to_make_room(size, short, tasks, 0), [])
