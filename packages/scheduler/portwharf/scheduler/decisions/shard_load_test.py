# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When a class of capacity counts as short, and its rate and backlog."""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import state
from portwharf.testing import fixtures

NOW_MS = 1_000_000
ALL = shard_load.CapacityClass()
SIZE = data.Resources(1000, 100)


def make_site(**fields):
    """Return a state with a job of eight tasks, and its step's record."""
    made = state.ShardState()
    step = data.Workload(count=8, resources=SIZE, run_ms=1000, **fields)
    job = data.Job('1', 'plans', steps=[step], stretch=1.0)
    made.apply(events.JobAccepted(NOW_MS, job))
    return made, made.workloads['1.0.0']


def make_view(**fields):
    """Return the view of a VM with eight processors."""
    vm = fixtures.make_vm(0)
    return vmview.VmView(vm, data.Resources(8000, 8000), **fields)


def make_waiting(record, *refusals):
    """Return what waits after a pass: one step, for some reasons."""
    choice = vm_choice.Choice()
    choice.refusals.update(refusals)
    one = placement.UnplacedWorkload(record, choice.reason, choice)
    return {record.id: one}


def update(tracker, made, now, views=(), waiting=None):
    """Record a pass."""
    weigher = precedence.Weigher(made, NOW_MS)
    tracker.update(made, list(views), waiting or {}, weigher, now)


def find_short_since(made, waiting, views=()):
    """Return after how many seconds of passes some class is short."""
    tracker = shard_load.LoadTracker(-10.0)
    for number in range(20):
        now = number / 10
        update(tracker, made, now, views, waiting)
        if any(load.is_short for load in tracker.list_loads(now)):
            return now
    return None


def test_class_is_short_after_a_second_of_tasks_without_room(case):
    made, record = make_site()
    waiting = make_waiting(record, 'processors', 'leaving')
    case.assertEqual(find_short_since(made, waiting), 1.0)


def test_other_waits_are_no_shortage(case):
    """A quota, a policy or a failure says nothing about the processors."""
    made, record = make_site()
    quota = placement.UnplacedWorkload(record, placement.REASON_QUOTA)
    for waiting in (
        {},
        {record.id: quota},
        make_waiting(record, 'other-pool-or-label', 'unreachable'),
        make_waiting(record, 'processors', 'failed-there-lately'),
        make_waiting(record, 'memory', vm_choice.REFUSED_POLICY),
    ):
        case.assertIsNone(find_short_since(made, waiting), waiting)


def test_wait_for_a_better_pace_is_no_shortage(case):
    """Failure: an uneven pool with room refuses jobs after a second.

    Its good VM is full, and the step waits by choice for a pace of 0.8.
    """
    made, record = make_site(fills=True)
    full = make_view(reserved=data.Resources(8000, 8000))
    demand = backlog.Demand(record)
    demand.min_pace = 0.8
    for pace, expected in ((0.5, None), (0.2, 1.0)):
        patch = mock.patch.object(
            vmview.VmView, 'predict_pace', lambda *_, pace=pace: pace
        )
        with patch:
            choice = vm_choice.choose_vm(demand, [full, make_view()], None)
        case.assertIsNone(choice.view)
        case.assertIn(vm_choice.REFUSED_SLOWS_SERVICE, choice.refusals)
        one = placement.UnplacedWorkload(record, choice.reason, choice)
        case.assertEqual(find_short_since(made, {record.id: one}), expected)


def test_one_pass_with_room_ends_a_shortage(case):
    made, record = make_site()
    tracker = shard_load.LoadTracker(-10.0)
    waiting = make_waiting(record, 'processors')
    for number in range(20):
        now = number / 10
        update(tracker, made, now, waiting=waiting if number % 9 else {})
        case.assertFalse(tracker.is_short(ALL, now))


def test_shortage_is_forgotten_without_passes(case):
    """What was known before a stall of the owner may have changed."""
    made, record = make_site()
    tracker = shard_load.LoadTracker(-10.0)
    waiting = make_waiting(record, 'processors')
    for now in (0.0, 1.0):
        update(tracker, made, now, waiting=waiting)
    case.assertTrue(tracker.is_short(ALL, 2.0))
    case.assertFalse(tracker.is_short(ALL, 3.5))
    update(tracker, made, 3.5, waiting=waiting)
    case.assertFalse(tracker.is_short(ALL, 3.5))


def test_filling_tasks_below_half_of_their_pace_are_short(case):
    made, _ = make_site(fills=True)
    for share, expected in ((0.3, 1.0), (0.7, None)):
        view = make_view(filling_milli=8000, pool='desk')
        view.fillings = [vmview.FillingTask(share=share)]
        case.assertEqual(find_short_since(made, {}, [view]), expected)


def test_filling_tasks_that_share_processors_are_short(case):
    """Their side throttles none of them, but there are too many."""
    made, _ = make_site(fills=True)
    view = make_view(filling_milli=24_000)
    view.fillings = [vmview.FillingTask(share=1.0) for _ in range(3)]
    case.assertEqual(find_short_since(made, {}, [view]), 1.0)


def make_paced_views(share):
    """Return ten VMs whose filling tasks get a share of their request."""
    views = []
    for number in range(10):
        view = vmview.VmView(
            fixtures.make_vm(number),
            data.Resources(8000, 8000),
            filling_milli=8000,
        )
        view.fillings = [vmview.FillingTask(share=share)]
        views.append(view)
    return views


def test_dip_of_filling_capacity_keeps_its_rate(case):
    """Failure: a peak of serving load of some seconds refuses jobs.

    The peak counts for 30 s, also where nothing lacked capacity before.
    """
    made, _ = make_site(fills=True)
    filling = shard_load.CapacityClass('', True)
    tracker = shard_load.LoadTracker(-10.0)
    for number in range(500):
        share = 0.8 if number < 30 else 0.03
        update(tracker, made, number / 10, make_paced_views(share))
        if number < 330:
            case.assertAlmostEqual(tracker.get_rate(filling), 64_000)
    case.assertAlmostEqual(tracker.get_rate(filling), 2400, delta=100)
    case.assertTrue(tracker.is_short(filling, 49.9))
    (load,) = tracker.list_loads(49.9)
    case.assertAlmostEqual(load.rate, 2400, delta=1)


def test_placed_tasks_are_read_once_a_second_during_a_shortage(case):
    """Failure: reading 16,000 tasks in most passes takes 5% of a core.

    A shortage of filling tasks alone does not need it.
    """
    for fills, passes, expected in ((False, 31, 4), (True, 31, 0)):
        made, record = make_site(fills=fills)
        waiting = make_waiting(record, 'processors')
        tracker = shard_load.LoadTracker(-10.0)
        with mock.patch.object(
            shard_load, '_sum_reserved', autospec=True, return_value={}
        ) as watched:
            for number in range(passes):
                update(tracker, made, number / 10, waiting=waiting)
        case.assertEqual(watched.call_count, expected)
        own = shard_load.CapacityClass('', fills)
        case.assertTrue(tracker.is_short(own, 3.0))


def test_rate_of_an_idle_class_decays_to_zero(case):
    """Failure: work divided by a rate near 0 has no finite end."""
    made, record = make_site()
    task = f'{record.id}.0'
    made.apply(events.TaskPlaced(task, 1, fixtures.make_vm(0).name))
    tracker = shard_load.LoadTracker(-10.0)
    waiting = make_waiting(record, 'processors')
    update(tracker, made, 0.0, [make_view()], waiting)
    case.assertEqual(tracker.get_rate(ALL), 1000)
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))
    for number in range(1, 200):
        update(tracker, made, number / 2, [make_view()], waiting)
        rate = tracker.get_rate(ALL)
        case.assertTrue(rate == 0 or rate >= 1, rate)
    case.assertEqual(tracker.get_rate(ALL), 0)


def test_rate_and_backlog_are_those_of_the_class(case):
    made, record = make_site(pool='desk')
    for number in range(4):
        task = f'{record.id}.{number}'
        made.apply(events.TaskPlaced(task, 1, fixtures.make_vm(0).name))
    made.apply(events.TaskEnded(f'{record.id}.0', 1, data.TaskState.SUCCEEDED))
    tracker = shard_load.LoadTracker(-10.0)
    waiting = make_waiting(record, 'processors')
    update(tracker, made, 0.0, [make_view(pool='desk')], waiting)
    desk = shard_load.CapacityClass('desk')
    for one in (ALL, desk):
        case.assertEqual(tracker.get_rate(one), 3000)
        found = tracker.get_backlog(one, made, NOW_MS)
        case.assertEqual(found.left, 4 * 1000 * 1000)
    filling = shard_load.CapacityClass('', True)
    case.assertEqual(tracker.get_backlog(filling, made, NOW_MS).left, 0)
    made.apply(events.JobCancelled('1'))
    tracker.forget_backlog()
    case.assertEqual(tracker.get_backlog(desk, made, NOW_MS).left, 0)
