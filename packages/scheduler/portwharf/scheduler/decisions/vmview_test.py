# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The pace that a filling task would have on a VM."""

import random

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.testing import fixtures

SERVING = ('desk', 'fit', 'lens')
FILLING = ('plan', 'count', 'sort')
SIZE = data.Resources(16_000, 64_000)


def make_view(rnd):
    """Return the view of a VM with serving and filling tasks."""
    view = vmview.VmView(fixtures.make_vm(0), SIZE)
    view.pairs = tail_interference.TailInterferenceModel()
    view.pairs.replace_estimates(
        messages.Press(serving, filling, rnd.uniform(0, 8), rnd.random())
        for serving in SERVING
        for filling in FILLING
    )
    for serving in SERVING:
        view.headrooms[serving] = rnd.uniform(-0.2, 1.5)
    for _ in range(rnd.randrange(6)):
        task = make_filling_task(rnd)
        view.record_filling(task, rnd.uniform(1, 90), rnd.random())
    return view


def make_filling_task(rnd):
    """Return a filling workload."""
    return fixtures.make_workload(
        fills=True,
        image=rnd.choice(FILLING),
        resources=data.Resources(rnd.randrange(100, 6000), 1000),
    )


def compute_pace(view, workload, weight):
    """Return the pace, with what all tasks that yield leave it."""
    paces = [1.0]
    for serving, room in view.headrooms.items():
        press = view.pairs.get_upper_bound(serving, workload.image)
        rank = precedence.rank(weight, press)
        for task in view.fillings:
            other = view.pairs.get_upper_bound(serving, task.image)
            if precedence.rank(task.weight, other) > rank:
                room += other * task.share
        cost = press * workload.resources.cpu_milli / SIZE.cpu_milli
        paces.append(max(0.0, room) / cost)
    return min(paces)


def test_no_limit_on_the_pace_is_left_out(case):
    for seed in range(300):
        rnd = random.Random(seed)
        view, workload = make_view(rnd), make_filling_task(rnd)
        weight = rnd.uniform(1, 90)
        with case.subTest(seed=seed):
            case.assertAlmostEqual(
                view.predict_pace(workload, weight),
                compute_pace(view, workload, weight),
            )
