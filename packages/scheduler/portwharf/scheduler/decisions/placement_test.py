# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Placement respects capacities, quotas, order and services' targets."""

import hypothesis
from hypothesis import strategies

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import state
from portwharf.testing import fixtures

NOW_MS = 1_000_000


def make_view(number, size=None, **fields):
    """Return the view of an empty VM."""
    capacity = size or data.Resources(4000, 8000)
    return vmview.VmView(fixtures.make_vm(number), capacity, **fields)


def make_demand(name='plans', count=1, **fields):
    """Return the demand of a workload whose tasks all wait."""
    workload = fixtures.make_workload(name=name, count=count, **fields)
    record = state.WorkloadRecord(f'0-{name}', workload.key, 5, workload)
    return backlog.Demand(record)


def place(demands, views, limits=None, reserved=None):
    """Run a pass and return its result."""
    quotas = backlog.Quotas(limits or {}, reserved or {})
    return placement.place_demands(demands, views, quotas, NOW_MS)


def list_placed(result):
    """Return (task, VM) of each placement."""
    return [(one.task, one.vm) for one in result.placements]


def test_batch_tasks_spread_over_empty_vms(case):
    views = [make_view(number) for number in range(3)]
    result = place([make_demand(count=3)], views)
    vms = {one.vm for one in result.placements}
    case.assertEqual(vms, {'vm-00', 'vm-01', 'vm-02'})


def test_refused_vms_are_counted_by_reason(case):
    views = [
        make_view(0, data.Resources(500, 8000)),
        make_view(1, data.Resources(4000, 500)),
        make_view(2, closed='leaving'),
        make_view(3, data.Resources(400, 400)),
    ]
    result = place([make_demand()], views)
    (waiting,) = result.waiting
    decision = placement.explain_wait(waiting, NOW_MS)
    counts = {one.name: one.number for one in decision.refusals}
    case.assertEqual(counts, {'processors': 2, 'memory': 1, 'leaving': 1})
    case.assertEqual(decision.reason, vm_choice.REASON_NO_ROOM)


def test_order_is_urgent_then_services_then_importance(case):
    demands = [
        make_demand('low', importance=1),
        make_demand('high', importance=9),
        make_demand('service', kind=data.Kind.SERVICE),
        make_demand('urgent', urgent=True),
    ]
    ordered = backlog.order_demands(demands, NOW_MS)
    names = [demand.record.workload.name for demand in ordered]
    case.assertEqual(names, ['urgent', 'service', 'high', 'low'])


def test_nearer_deadline_goes_first(case):
    demands = [
        make_demand('late', deadline_seconds=9000),
        make_demand('none'),
        make_demand('soon', deadline_seconds=9000, run_seconds=8000),
    ]
    ordered = backlog.order_demands(demands, NOW_MS)
    names = [demand.record.workload.name for demand in ordered]
    case.assertEqual(names, ['soon', 'late', 'none'])


def test_replicas_are_placed_on_different_vms(case):
    views = [make_view(number) for number in range(2)]
    result = place([make_demand(count=3, kind=data.Kind.SERVICE)], views)
    case.assertEqual(len(result.placements), 2)
    (waiting,) = result.waiting
    decision = placement.explain_wait(waiting, NOW_MS)
    case.assertEqual(decision.refusals[0].name, 'replica-there-already')


def test_replicas_spread_over_racks(case):
    views = [make_view(number) for number in range(9)]
    result = place([make_demand(count=3, kind=data.Kind.SERVICE)], views)
    racks = {int(one.vm[3:]) // 3 for one in result.placements}
    case.assertEqual(racks, {0, 1, 2})


def test_vms_with_accelerators_are_kept_for_tasks_that_need_them(case):
    views = [make_view(0, data.Resources(4000, 8000, 2)), make_view(1)]
    result = place([make_demand(count=2)], views)
    case.assertEqual({one.vm for one in result.placements}, {'vm-01'})
    size = data.Resources(1000, 1000, 1)
    result = place([make_demand(resources=size)], views)
    case.assertEqual(list_placed(result), [('0-plans.0', 'vm-00')])


def test_quota_limits_only_its_own_team(case):
    demands = [
        make_demand('mine', count=3, importance=5),
        make_demand('theirs', team='stock'),
    ]
    limits = {'lens': data.Resources(2000, 9000)}
    result = place(demands, [make_view(0, data.Resources(3000, 9000))], limits)
    names = [one.task for one in result.placements]
    case.assertEqual(names, ['0-mine.0', '0-mine.1', '0-theirs.0'])
    case.assertEqual(result.waiting[0].reason, placement.REASON_QUOTA)


def test_unused_room_is_lent_beyond_the_quota(case):
    demands = [
        make_demand('mine', count=3, importance=5),
        make_demand('theirs', team='stock'),
    ]
    limits = {'lens': data.Resources(2000, 9000)}
    result = place(demands, [make_view(0, data.Resources(9000, 9000))], limits)
    names = [one.task for one in result.placements]
    expected = ['0-mine.0', '0-mine.1', '0-theirs.0', '0-mine.2']
    case.assertEqual(names, expected)


def test_nothing_is_placed_that_would_slow_a_service(case):
    quiet, near = make_view(0), make_view(1)
    near.services = ['a service']
    near.capacity = data.Resources(9000, 9000)

    def predict_effect(services, kinds, kind):
        return kinds[kind] < 1, 0.1

    result = placement.place_demands(
        [make_demand(count=9)],
        [quiet, near],
        backlog.Quotas({}, {}),
        NOW_MS,
        predict_effect,
    )
    vms = [one.vm for one in result.placements]
    case.assertEqual(vms.count('vm-01'), 1)
    decision = placement.explain_wait(result.waiting[0], NOW_MS)
    refusals = {one.name for one in decision.refusals}
    case.assertIn(vm_choice.REFUSED_SLOWS_SERVICE, refusals)


def test_waiting_adds_importance_up_to_a_limit(case):
    old = make_demand('old', importance=1)
    new = make_demand('new', importance=9)
    new.record.unix_ms = NOW_MS + 600_000
    ordered = backlog.order_demands([new, old], NOW_MS + 600_000)
    case.assertEqual(ordered[0].record.workload.name, 'old')
    new.record.workload.importance = 600
    ordered = backlog.order_demands([new, old], NOW_MS + 10**9)
    case.assertEqual(ordered[0].record.workload.name, 'new')


def test_unplaceable_workload_is_reported_with_largest_size(case):
    views = [make_view(0), make_view(1, data.Resources(2000, 16000))]
    workload = fixtures.make_workload(resources=data.Resources(8000, 4000))
    problem = placement.check_placeable(workload, views)
    case.assertIn('4 processors, 4000 MB', problem.remedy)
    fitting = fixtures.make_workload(resources=data.Resources(2000, 16000))
    case.assertIsNone(placement.check_placeable(fitting, views))


def test_unplaceable_is_not_reported_before_all_capacities_are_known(case):
    views = [make_view(0), make_view(1, data.Resources())]
    workload = fixtures.make_workload(resources=data.Resources(8000, 4000))
    case.assertIsNone(placement.check_placeable(workload, views))


SIZES = strategies.builds(
    data.Resources,
    strategies.integers(1, 5000),
    strategies.integers(1, 5000),
    strategies.integers(0, 3),
)


def test_no_vm_is_ever_over_its_capacity(case):
    @hypothesis.settings(derandomize=True, database=None, max_examples=150)
    @hypothesis.given(
        strategies.lists(SIZES, min_size=1, max_size=6),
        strategies.lists(
            strategies.tuples(SIZES, strategies.integers(1, 9)), max_size=8
        ),
    )
    def check(capacities, jobs):
        views = [make_view(n, size) for n, size in enumerate(capacities)]
        demands = [
            make_demand(f'job-{n}', count, resources=size)
            for n, (size, count) in enumerate(jobs)
        ]
        result = place(demands, views)
        for view in views:
            case.assertTrue(view.reserved.fits(view.capacity))
        placed = [one.task for one in result.placements]
        case.assertEqual(len(placed), len(set(placed)))

    check()
