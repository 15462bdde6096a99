# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A kept assessment of a VM never differs from a new one."""

import copy
import random

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import remedies
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import state
from portwharf.scheduler import suspects
from portwharf.testing import fixtures

SEEDS = 150
VMS = 8
IMAGES = ('lens', 'plan', 'fit')


def make_view(rnd, number):
    """Return the view of a VM that is in use."""
    size = data.Resources(rnd.choice((8000, 16_000)), 32_000)
    view = vmview.VmView(fixtures.make_vm(number), size)
    view.reserved = data.Resources(rnd.randrange(6000), rnd.randrange(9000))
    view.pairs = tail_interference.TailInterferenceModel()
    if rnd.random() < 0.5:
        view.headrooms = {rnd.choice(IMAGES): rnd.uniform(0, 2)}
        view.serving_milli = rnd.randrange(4000)
    for _ in range(rnd.randrange(3)):
        filling = fixtures.make_workload(
            fills=True,
            image=rnd.choice(IMAGES),
            resources=data.Resources(rnd.randrange(1, 2000), 100),
        )
        view.record_filling(filling, rnd.uniform(1, 50), rnd.random())
        view.add_usage(filling)
    if rnd.random() < 0.3:
        view.services = [remedies.ServiceView('lens/fit', 0.5, 0.6, 0.2)]
    if rnd.random() < 0.2:
        view.record_suspect('another', rnd.randint(1, 3))
    view.unsteady = rnd.random() < 0.2
    view.probe = rnd.random() < 0.2
    view.closed = rnd.choice(('', '', '', 'leaving'))
    return view


def make_demand(rnd):
    """Return a demand, some of whose tasks have run before."""
    fields = rnd.choice(
        (
            {'kind': data.Kind.BATCH},
            {'kind': data.Kind.BATCH, 'job': 'a', 'fills': True},
            {'kind': data.Kind.STANDING, 'job': 'a', 'target_ms': 9},
            {'kind': data.Kind.STANDING, 'job': 'a'},
            {'kind': data.Kind.SERVICE},
        )
    )
    workload = fixtures.make_workload(
        count=12,
        resources=data.Resources(rnd.randrange(1, 4000), 1500),
        image=rnd.choice(IMAGES),
        most_per_vm=rnd.choice((0, 0, 1, 2)),
        **fields,
    )
    record = state.WorkloadRecord('a.0.0', workload.key, 5, workload, 3)
    for number in range(3):
        task = state.TaskRecord(f'a.0.0.{number}', number, attempt=1)
        if rnd.random() < 0.3:
            crash = suspects.CrashRecord(f'vm-00/{number}')
            task.crashes = [crash] * rnd.randint(1, 3)
        record.tasks.append(task)
    avoided = {'vm-01'} if rnd.random() < 0.3 else frozenset()
    demand = backlog.Demand(record, avoided, weight=rnd.uniform(1, 50))
    demand.moved_from = {task.id: 'vm-02' for task in record.tasks[:1]}
    if rnd.random() < 0.4:
        demand.accept_any_vm()
    return demand


def place_all(demand, views, predict_effect, chooser):
    """Place tasks until none fits; returns what was chosen each time.

    :param chooser: None to assess all VMs again for each task
    """
    rows = []
    while demand.tasks:
        choice = (
            chooser.choose()
            if chooser
            else vm_choice.choose_vm(demand, views, predict_effect)
        )
        name = choice.view.vm.name if choice.view else ''
        rows.append((name, choice.parts, choice.list_refusals()))
        if choice.view is None:
            break
        if chooser:
            chooser.record_placement(choice.view)
        else:
            vm_choice.count_placement(demand, choice.view)
        demand.tasks.pop(0)
    return rows


def test_kept_assessments_go_stale_for_no_kind_of_demand(case):
    model = interference.Model()
    for _ in range(100):
        model.observe('lens/fit', 0.5, {'lens/surface-plan': 1}, 0.05)
    predict_effect = remedies.Remedies(model).predict_effect
    for seed in range(SEEDS):
        rnd = random.Random(seed)
        views = [make_view(rnd, number) for number in range(VMS)]
        demand = make_demand(rnd)
        views_2, demand_2 = copy.deepcopy((views, demand))
        kept = vm_choice.VmChooser(demand, views, predict_effect)
        with case.subTest(seed=seed):
            case.assertEqual(
                place_all(demand, views, predict_effect, kept),
                place_all(demand_2, views_2, predict_effect, None),
            )
