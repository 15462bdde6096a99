# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which VMs are refused, and that kept assessments do not go stale."""

import copy
import random

from portwharf.core import data
from portwharf.peers import messages
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
FILLING = fixtures.make_workload(
    job='a',
    fills=True,
    image='plan',
    resources=data.Resources(1800, 500),
)


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
    if not view.closed and rnd.random() < 0.2:
        view.closed = vm_choice.REFUSED_QUARANTINED
        view.early_probe = True
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
    demand.moved_from = {task.id: {'vm-02'} for task in record.tasks[:1]}
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


def make_throttled_view(weight, paces):
    """Return a view without headroom, with filling tasks of one job.

    :param paces: the pace of each, 0 to 1
    """
    view = vmview.VmView(fixtures.make_vm(0), data.Resources(16_000, 64_000))
    view.pairs = tail_interference.TailInterferenceModel()
    view.pairs.replace_estimates([messages.Press('desk', 'plan', 2.0, 0.0)])
    serving = fixtures.make_workload(
        kind=data.Kind.STANDING,
        image='desk',
        target_ms=50,
        resources=data.Resources(8000, 8000),
    )
    view.add_task(serving)
    view.headrooms = {'desk': 0.0}
    for pace in paces:
        view.record_filling(FILLING, weight, pace)
        view.add_usage(FILLING)
    return view


def choose_for_filling_task(view, weight):
    """Return the choice for a filling task whose job has a weight."""
    record = state.WorkloadRecord('a.0.0', FILLING.key, 5, FILLING)
    demand = backlog.Demand(record, weight=weight)
    return vm_choice.choose_vm(demand, [view], None)


def test_processors_of_tasks_that_would_yield_do_not_refuse_a_task(case):
    view = make_throttled_view(500.0, [1.0, 1.0, 0.03, 0.03, 0.03, 0.03])
    case.assertEqual(view.predict_pace(FILLING, 20.0), 1.0)
    choice = choose_for_filling_task(view, weight=20.0)
    case.assertEqual(choice.refusals, {})
    case.assertIs(choice.view, view)


def test_processors_of_tasks_that_rank_first_refuse_a_task(case):
    view = make_throttled_view(20.0, [1.0] * 6)
    choice = choose_for_filling_task(view, weight=500.0)
    case.assertEqual(choice.refusals, {'processors': 1})


def test_tasks_without_headroom_do_not_pile_up_on_a_vm(case):
    """Each is predicted to use no processors, but all may be at work later."""
    view = make_throttled_view(20.0, [])
    workload = fixtures.make_workload(
        job='a',
        fills=True,
        image='plan',
        count=60,
        resources=data.Resources(1800, 500),
    )
    record = state.WorkloadRecord('a.0.0', workload.key, 5, workload)
    demand = backlog.Demand(record, weight=20.0)
    demand.accept_any_vm()
    placed = place_all(demand, [view], None, None)
    free_milli = 16_000 - 8000 * vmview.SERVING_UTILIZATION
    most = vmview.MAX_FILLING_FACTOR * free_milli // 1800
    case.assertEqual(len([name for name, *_ in placed if name]), most)


def make_quarantined_view(number):
    """Return the view of an empty VM that is quarantined."""
    size = data.Resources(16_000, 64_000)
    view = vmview.VmView(fixtures.make_vm(number), size)
    view.closed = vm_choice.REFUSED_QUARANTINED
    view.early_probe = True
    return view


def place_on_quarantined(views, kind=data.Kind.STANDING):
    """Place two tasks that have waited; returns the names of their VMs."""
    workload = fixtures.make_workload(
        count=2, kind=kind, job='a', resources=data.Resources(9000, 9000)
    )
    record = state.WorkloadRecord('a.0.0', workload.key, 5, workload)
    demand = backlog.Demand(record)
    demand.accept_any_vm()
    return [name for name, *_ in place_all(demand, views, None, None)]


def test_standing_task_goes_to_a_quarantined_worker_only_as_a_last_resort(
    case,
):
    quarantined = make_quarantined_view(0)
    full = vmview.VmView(fixtures.make_vm(1), data.Resources(10_000, 64_000))
    full.reserved = data.Resources(1000, 60_000)
    placed = place_on_quarantined([quarantined, full])
    case.assertEqual(placed, ['vm-00', ''])
    quarantined = make_quarantined_view(0)
    full.reserved = data.Resources(1000, 50_000)
    placed = place_on_quarantined([quarantined, full])
    case.assertEqual(placed, ['vm-01', 'vm-00'])


def test_batch_task_does_not_go_to_a_quarantined_worker(case):
    placed = place_on_quarantined([make_quarantined_view(0)], data.Kind.BATCH)
    case.assertEqual(placed, [''])
