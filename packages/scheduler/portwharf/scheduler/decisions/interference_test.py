# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Pairs are learnt from late and noisy measurements, and learnt anew."""

import math
import random

from portwharf.scheduler.decisions import interference

SERVICE = 'lens/fit'


def measure(model, rnd, count, pairs):
    """Have a model observe random mixtures of work with known effects."""
    for _ in range(count):
        load = rnd.uniform(0.2, 0.9)
        kinds = {kind: rnd.randint(0, 3) for kind in pairs}
        logs = math.log(0.05) + 0.6 * load
        logs += sum(
            pairs[kind] * n * (0.25 + load) for kind, n in kinds.items()
        )
        model.observe(SERVICE, load, kinds, math.exp(logs + rnd.gauss(0, 0.1)))


def test_harmful_and_harmless_kinds_are_told_apart(case):
    model = interference.Model()
    measure(model, random.Random(1), 300, {'bad': 0.25, 'good': 0.0})
    bad = model.get_weight(SERVICE, 'bad', 0.75)
    good = model.get_weight(SERVICE, 'good', 0.75)
    case.assertAlmostEqual(bad, 0.25, delta=0.05)
    case.assertLess(good, 0.03)


def test_prediction_grows_with_load_and_neighbours(case):
    model = interference.Model()
    measure(model, random.Random(2), 300, {'bad': 0.25})
    quiet = model.predict(SERVICE, 0.3, {}).bound(0)
    busy = model.predict(SERVICE, 0.9, {}).bound(0)
    beside = model.predict(SERVICE, 0.9, {'bad': 2}).bound(0)
    case.assertLess(quiet, busy)
    case.assertLess(busy, beside)


def test_pair_that_shifts_is_learnt_anew(case):
    model = interference.Model()
    rnd = random.Random(3)
    measure(model, rnd, 300, {'kind': 0.0})
    measure(model, rnd, 600, {'kind': 0.3})
    case.assertGreater(model.get_weight(SERVICE, 'kind', 0.75), 0.2)


def test_evidence_makes_sure(case):
    model = interference.Model()
    before = model.predict(SERVICE, 0.5, {'kind': 2}).deviation
    measure(model, random.Random(4), 100, {'kind': 0.1})
    after = model.predict(SERVICE, 0.5, {'kind': 2}).deviation
    case.assertLess(after, before / 4)


def test_no_kind_speeds_a_service_up(case):
    model = interference.Model()
    measure(model, random.Random(5), 200, {'kind': -0.3})
    case.assertGreaterEqual(model.get_weight(SERVICE, 'kind', 0.5), 0.0)


def test_kinds_are_bounded(case):
    model = interference.Model()
    for number in range(1000):
        model.observe(SERVICE, 0.5, {f'kind-{number}': 1}, 0.1)
    case.assertLessEqual(
        len(model._coefficients[SERVICE]), interference.MAX_COEFFICIENTS + 1
    )


def test_measurement_is_joined_to_what_ran_then(case):
    timeline = interference.Timeline()
    timeline.note('vm-1', {'a': 1}, 10.0)
    timeline.note('vm-1', {'b': 1}, 20.0)
    case.assertEqual(timeline.find('vm-1', 19.0), {'a': 1})
    case.assertEqual(timeline.find('vm-1', 25.0), {'b': 1})
    case.assertIsNone(timeline.find('vm-1', 5.0))
    case.assertIsNone(timeline.find('vm-2', 15.0))


def test_record_of_what_ran_is_bounded(case):
    timeline = interference.Timeline()
    for second in range(10_000):
        timeline.note('vm-1', {'a': second}, float(second))
    most = interference.HISTORY_SECONDS + 2
    case.assertLessEqual(len(timeline._rows['vm-1']), most)


def test_kind_beyond_those_told_apart_has_a_weight(case):
    """A service may meet more kinds than are told apart.

    Asking for the weight of one more must not fail: the deciding thread of
    an owner asks it for each VM with a service.
    """
    model = interference.Model()
    for number in range(2 * interference.MAX_COEFFICIENTS):
        weight = model.get_weight(SERVICE, f'kind-{number}', 0.5)
        case.assertGreater(weight, 0.0)


def test_what_is_learnt_of_a_kind_outlasts_further_kinds(case):
    """A full table takes no new kinds, and keeps those that it has."""
    model = interference.Model()
    measure(model, random.Random(3), 300, {'bad': 0.25})
    before = model.predict(SERVICE, 0.75, {'bad': 3}).bound(0)
    for number in range(2 * interference.MAX_COEFFICIENTS):
        model.predict(SERVICE, 0.75, {f'kind-{number}': 1})
    after = model.predict(SERVICE, 0.75, {'bad': 3}).bound(0)
    case.assertAlmostEqual(before, after, delta=before / 10)
