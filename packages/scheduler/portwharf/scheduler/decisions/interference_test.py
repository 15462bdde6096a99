# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Interference is learnt from late and noisy measurements."""

import math
import random

from portwharf.scheduler.decisions import interference

SERVICE = 'lens/fit'


def observe_random_mixtures(model, rnd, count, pairs):
    """Have a model observe random mixtures of work of known effects."""
    for _ in range(count):
        load = rnd.uniform(0.2, 0.9)
        kinds = {kind: rnd.randint(0, 3) for kind in pairs}
        logs = math.log(0.05) + 0.6 * load
        logs += sum(
            pairs[kind] * n * (0.25 + load) for kind, n in kinds.items()
        )
        model.observe(SERVICE, load, kinds, math.exp(logs + rnd.gauss(0, 0.1)))


def test_harmful_and_harmless_kinds_are_distinguished(case):
    model = interference.Model()
    observe_random_mixtures(
        model, random.Random(1), 300, {'bad': 0.25, 'good': 0.0}
    )
    bad = model.get_weight(SERVICE, 'bad', 0.75)
    good = model.get_weight(SERVICE, 'good', 0.75)
    case.assertAlmostEqual(bad, 0.25, delta=0.05)
    case.assertLess(good, 0.03)


def test_prediction_grows_with_load_and_neighbours(case):
    model = interference.Model()
    observe_random_mixtures(model, random.Random(2), 300, {'bad': 0.25})
    quiet = model.predict(SERVICE, 0.3, {}).bound(0)
    busy = model.predict(SERVICE, 0.9, {}).bound(0)
    beside = model.predict(SERVICE, 0.9, {'bad': 2}).bound(0)
    case.assertLess(quiet, busy)
    case.assertLess(busy, beside)


def test_changed_coefficient_is_learnt_anew(case):
    model = interference.Model()
    rnd = random.Random(3)
    observe_random_mixtures(model, rnd, 300, {'kind': 0.0})
    observe_random_mixtures(model, rnd, 600, {'kind': 0.3})
    case.assertGreater(model.get_weight(SERVICE, 'kind', 0.75), 0.2)


def test_measurements_reduce_deviation(case):
    model = interference.Model()
    before = model.predict(SERVICE, 0.5, {'kind': 2}).deviation
    observe_random_mixtures(model, random.Random(4), 100, {'kind': 0.1})
    after = model.predict(SERVICE, 0.5, {'kind': 2}).deviation
    case.assertLess(after, before / 4)


def test_coefficients_of_kinds_are_never_negative(case):
    model = interference.Model()
    observe_random_mixtures(model, random.Random(5), 200, {'kind': -0.3})
    case.assertGreaterEqual(model.get_weight(SERVICE, 'kind', 0.5), 0.0)


def test_number_of_coefficients_is_bounded(case):
    model = interference.Model()
    for number in range(1000):
        model.observe(SERVICE, 0.5, {f'kind-{number}': 1}, 0.1)
    case.assertLessEqual(
        len(model._coefficients[SERVICE]), interference.MAX_COEFFICIENTS + 1
    )


def test_timeline_finds_what_ran_at_a_time(case):
    timeline = interference.Timeline()
    timeline.record('vm-1', {'a': 1}, 10.0)
    timeline.record('vm-1', {'b': 1}, 20.0)
    case.assertEqual(timeline.find_kinds('vm-1', 19.0), {'a': 1})
    case.assertEqual(timeline.find_kinds('vm-1', 25.0), {'b': 1})
    case.assertIsNone(timeline.find_kinds('vm-1', 5.0))
    case.assertIsNone(timeline.find_kinds('vm-2', 15.0))


def test_timeline_is_bounded(case):
    timeline = interference.Timeline()
    for second in range(10_000):
        timeline.record('vm-1', {'a': second}, float(second))
    max_rows = interference.HISTORY_SECONDS + 2
    case.assertLessEqual(len(timeline._rows['vm-1']), max_rows)


def test_kind_beyond_the_limit_has_a_weight(case):
    """A service may meet more kinds than the model keeps apart.

    Asking for the weight of one more must not fail, as an owner's decision
    thread asks it for each VM with a service.
    """
    model = interference.Model()
    for number in range(2 * interference.MAX_COEFFICIENTS):
        weight = model.get_weight(SERVICE, f'kind-{number}', 0.5)
        case.assertGreater(weight, 0.0)


def test_further_kinds_do_not_displace_learnt_ones(case):
    """A full model takes no new kinds, and keeps those that it has."""
    model = interference.Model()
    observe_random_mixtures(model, random.Random(3), 300, {'bad': 0.25})
    before = model.predict(SERVICE, 0.75, {'bad': 3}).bound(0)
    for number in range(2 * interference.MAX_COEFFICIENTS):
        model.predict(SERVICE, 0.75, {f'kind-{number}': 1})
    after = model.predict(SERVICE, 0.75, {'bad': 3}).bound(0)
    case.assertAlmostEqual(before, after, delta=before / 10)
