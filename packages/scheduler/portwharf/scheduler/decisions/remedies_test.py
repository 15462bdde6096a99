# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Remedies in their order, on the cheapest task that helps, with a brake."""

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import remedies

VM = 'vm-1'
SERVICE = remedies.ServiceView('lens/fit', 0.5, 0.5, 0.2)
LATE, FINE = 0.15, 0.05


class FakeModel:
    """Kinds weigh what a test says; a service takes a tenth of a second."""

    def __init__(self, weights):
        self.weights = weights

    def get_weight(self, service, kind, load):
        """Return a kind's weight."""
        return self.weights.get(kind, 0.0)

    def predict(self, service, load, kinds):
        """Return the base and what the kinds add."""
        added = sum(self.weights.get(k, 0.0) * n for k, n in kinds.items())
        return interference.Estimate(-3.0 + added, 0.0)


def make(**weights):
    """Return remedies with a fake model."""
    return remedies.Remedies(FakeModel(weights))


def make_task(kind='bad', **fields):
    """Return a neighbour that can be saved."""
    values = {'task': f'0-{kind}.0', 'kind': kind, 'checkpointable': True}
    return remedies.Neighbour(**{**values, **fields})


def note(made, seconds, count=remedies.LATE_BEFORE_ACTION):
    """Have a service be measured some times."""
    for _ in range(count):
        made.note_measured(VM, SERVICE.service, seconds, SERVICE.target)


def find(made, neighbours, now=100.0):
    """Return the next action."""
    return made.find_action(VM, [SERVICE], neighbours, now)


def test_nothing_is_done_while_all_is_well(case):
    made = make(bad=0.3)
    note(made, FINE, 50)
    case.assertIsNone(find(made, [make_task()]))


def test_one_late_measurement_is_not_enough(case):
    made = make(bad=0.3)
    note(made, LATE, remedies.LATE_BEFORE_ACTION - 1)
    case.assertIsNone(find(made, [make_task()]))


def test_throttling_comes_before_evicting(case):
    made = make(bad=0.3)
    note(made, LATE)
    action = find(made, [make_task()])
    case.assertEqual(action.percent, remedies.THROTTLE_PERCENT)
    note(made, LATE)
    later = 100.0 + remedies.ACTION_INTERVAL_SECONDS
    case.assertIsNone(find(made, [make_task(throttled=True)], later))
    note(made, LATE, remedies.LATE_BEFORE_EVICTION)
    action = find(made, [make_task(throttled=True)], later)
    case.assertEqual((action.task, action.percent), ('0-bad.0', 0))


def test_step_is_given_time_to_show(case):
    made = make(bad=0.3)
    note(made, LATE)
    find(made, [make_task()])
    note(made, LATE)
    soon = 100.0 + remedies.ACTION_INTERVAL_SECONDS - 1
    case.assertIsNone(find(made, [make_task(throttled=True)], soon))


def test_weights_move_headroom_and_patience(case):
    made = make()
    made.set_weights(configuration.Weights(5, 3, 1))
    batch = made.headroom, made.late_before_eviction
    made.set_weights(configuration.Weights(5, 1, 3))
    case.assertGreater(made.headroom, batch[0])
    case.assertEqual(made.late_before_eviction, 3 * batch[1])


def test_harmless_neighbours_are_left_alone(case):
    made = make(bad=0.3)
    note(made, LATE)
    case.assertIsNone(find(made, [make_task('good')]))


def test_victim_is_who_helps_most_for_its_cost(case):
    tasks = [
        make_task('bad', task='dear', checkpointable=False, seconds=900),
        make_task('bad', task='often', evictions=3),
        make_task('bad', task='vital', importance=900),
        make_task('bad', task='cheap'),
        make_task('mild', task='mild'),
    ]
    made = make(bad=0.3, mild=0.05)
    note(made, LATE)
    case.assertEqual(find(made, tasks).task, 'cheap')


def test_evictions_have_a_brake(case):
    brake = remedies.EvictionBudget()
    taken = sum(brake.take(100.0) for _ in range(50))
    case.assertEqual(taken, remedies.EVICTION_BURST)
    later = 100.0 + 2 * remedies.EVICTION_REFILL_SECONDS
    case.assertEqual(sum(brake.take(later) for _ in range(50)), 2)


def test_throttled_task_is_released_when_there_is_room(case):
    calm, tight = make(bad=0.01), make(bad=0.9)
    tasks = [make_task(throttled=True)]
    action = calm.find_release(VM, [SERVICE], tasks, 100.0)
    case.assertEqual(action.percent, 100)
    case.assertIsNone(tight.find_release(VM, [SERVICE], tasks, 100.0))


def test_placing_beside_a_service_is_judged_at_its_peak(case):
    made = make(bad=0.2, good=0.0)
    case.assertTrue(made.judge([SERVICE], {}, 'bad')[0])
    case.assertFalse(made.judge([SERVICE], {'bad': 2}, 'bad')[0])
    case.assertTrue(made.judge([SERVICE], {'bad': 9}, 'good')[0])
    free = remedies.ServiceView('lens/none', 0.5, 0.5, 0.0)
    case.assertTrue(made.judge([free], {'bad': 9}, 'bad')[0])


def test_peaks_fade(case):
    peaks = remedies.Peaks()
    peaks.note('x', 0.8, 0.0)
    case.assertGreater(peaks.note('x', 0.1, 1.0), 0.79)
    late = 1.0 + 2 * remedies.PEAK_HALF_LIFE_SECONDS
    case.assertAlmostEqual(peaks.note('x', 0.1, late), 0.2, places=2)


def test_room_is_made_by_the_cheapest_that_suffice(case):
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
