# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When a pool counts as uneven, and what waits for a good pace."""

import collections
from unittest import mock

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import uneven_pools
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import state
from portwharf.testing import fixtures

SIZE = data.Resources(16_000, 64_000)
# Headroom for the full pace of an average filling task.
FULL = 0.2
HOLD = uneven_pools.HOLD_SECONDS


def make_views(*rooms, pool=''):
    """Return views of VMs whose servers have a lasting headroom.

    :param rooms: None for a VM without servers
    """
    views = []
    for number, room in enumerate(rooms):
        view = vmview.VmView(fixtures.make_vm(number), SIZE, pool=pool)
        view.pairs = tail_interference.TailInterferenceModel()
        known = messages.Press('desk', 'plan', 2.0, 0.0)
        view.pairs.replace_estimates([known])
        if room is not None:
            view.headrooms, view.lasting = {'desk': 1.0}, {'desk': room}
        views.append(view)
    return views


def count_filling(views):
    """Return a sample of filling tasks, of a tenth of a VM each."""
    return {
        view.pool: collections.Counter({('plan', 1600): 3}) for view in views
    }


def is_uneven(views, count=count_filling, pools=None, now=0.0):
    """Return whether the pool of the first view is uneven."""
    pools = pools or uneven_pools.UnevenPools()
    pools.update(views, count, now)
    return views[0].uneven


def test_vms_with_and_without_servers_are_uneven(case):
    case.assertTrue(is_uneven(make_views(None, 0.0)))
    case.assertTrue(is_uneven(make_views(FULL, *[0.0] * 9)))


def test_vms_that_are_alike_are_even(case):
    """Waiting for a better VM only costs time where there is none."""
    for rooms in ([None] * 4, [0.0] * 4, [FULL] * 4, [FULL, 0.75 * FULL]):
        with case.subTest(rooms=rooms):
            case.assertFalse(is_uneven(make_views(*rooms)))


def test_few_poor_vms_do_not_make_a_pool_uneven(case):
    case.assertFalse(is_uneven(make_views(0.0, *[None] * 10)))
    case.assertTrue(is_uneven(make_views(0.0, *[None] * 9)))


def test_closed_vm_does_not_count(case):
    views = make_views(0.0, None)
    views[1].closed = 'leaving'
    case.assertFalse(is_uneven(views))


def test_vm_without_enough_reports_does_not_count(case):
    """A new owner must not act on the headroom of a moment."""
    views = make_views(0.0, None)
    views[0].lasting = {}
    case.assertFalse(is_uneven(views))


def test_pool_without_filling_tasks_is_even_until_some_run(case):
    pools = uneven_pools.UnevenPools()
    case.assertFalse(is_uneven(make_views(0.0, None), lambda _: {}, pools))
    case.assertTrue(is_uneven(make_views(0.0, None), pools=pools, now=1.0))
    later = make_views(0.0, None)
    case.assertTrue(is_uneven(later, lambda _: {}, pools, now=2 * HOLD))


def test_pools_are_assessed_apart(case):
    views = make_views(0.0, 0.0, pool='a') + make_views(None, None, pool='b')
    case.assertFalse(is_uneven(views))
    both = make_views(0.0, None, pool='a') + make_views(0.0, pool='b')
    case.assertTrue(is_uneven(both))
    case.assertFalse(both[2].uneven)
    case.assertEqual(both[2].headrooms, {'desk': 1.0})


def test_uneven_pool_stays_so_for_a_while(case):
    """The average filling task changes by chance, and with it the paces."""
    pools = uneven_pools.UnevenPools()
    case.assertTrue(is_uneven(make_views(0.0, None), pools=pools))
    for now, expected in ((HOLD - 1, True), (HOLD, False)):
        views = make_views(FULL, None)
        case.assertEqual(is_uneven(views, pools=pools, now=now), expected)


def test_pool_that_is_gone_is_forgotten(case):
    pools = uneven_pools.UnevenPools()
    is_uneven(make_views(None, 0.0, pool='a'), pools=pools)
    is_uneven(make_views(None, 0.0, pool='b'), pools=pools, now=1.0)
    case.assertEqual(list(pools._pools), ['b'])


def make_demand(**fields):
    """Return a demand for filling tasks, of a job."""
    workload = fixtures.make_workload(
        **{'job': 'a', 'fills': True, 'image': 'plan', **fields}
    )
    return backlog.Demand(state.WorkloadRecord('a.0.0', '', 5, workload))


def test_only_filling_steps_of_uneven_pools_wait_for_a_good_pace(case):
    """The wait of a workload without a job for a suitable VM has no end."""
    views = make_views(None, 0.0, pool='a')
    demands = [
        make_demand(pool='a'),
        make_demand(),
        make_demand(pool='b'),
        make_demand(fills=False),
        make_demand(job=''),
    ]
    uneven_pools.require_pace(demands, views)
    before = [backlog.MIN_PACE] * 5
    case.assertEqual([one.min_pace for one in demands], before)
    case.assertTrue(is_uneven(views))
    uneven_pools.require_pace(demands, views)
    expected = [uneven_pools.GOOD_PACE] * 2 + [backlog.MIN_PACE] * 3
    case.assertEqual([one.min_pace for one in demands], expected)


def test_workload_without_a_job_is_placed_after_a_step_that_waits(case):
    """Both are of one shape, but only the step waits for a better VM."""
    views = make_views(0.0, pool='a')
    views[0].headrooms = {'desk': FULL / 2}
    demands = [make_demand(resources=data.Resources(1600, 100))]
    demands.append(
        make_demand(job='', resources=data.Resources(1600, 100), urgent=False)
    )
    demands[0].min_pace = uneven_pools.GOOD_PACE
    quotas = backlog.Quotas({}, {})
    with mock.patch.object(
        backlog, 'order_demands', autospec=True, return_value=demands
    ):
        done = placement.place_demands(demands, views, quotas, 1)
    case.assertEqual(len(done.placements), 1)
