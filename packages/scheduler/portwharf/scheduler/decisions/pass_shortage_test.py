# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A capacity class is short once steps wait or filling tasks crawl."""

from portwharf.core import data
from portwharf.scheduler.decisions import pass_shortage
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import state

SIZE = data.Resources(1000, 100)


def make_unplaced(pool='', fills=False, reason=vm_choice.REASON_NO_ROOM):
    workload = data.Workload(resources=SIZE, pool=pool, fills=fills)
    record = state.WorkloadRecord('w', workload=workload)
    return placement.UnplacedWorkload(record, reason)


def test_class_is_short_after_a_second_of_unplaced_steps(case):
    """Guards against a burst of one pass that counts as a shortage."""
    passes = pass_shortage.PassShortage()
    waiting = [make_unplaced('blue')]
    passes.record_pass(waiting, [], 10.0)
    passes.record_pass(waiting, [], 10.9)
    case.assertFalse(passes.is_short('blue', False))
    passes.record_pass(waiting, [], 11.0)
    case.assertTrue(passes.is_short('blue', False))
    case.assertFalse(passes.is_short('blue', True))
    case.assertFalse(passes.is_short('', False))
    passes.record_pass([], [], 11.1)
    passes.record_pass(waiting, [], 11.2)
    case.assertFalse(passes.is_short('blue', False))


def test_steps_over_a_quota_are_no_shortage(case):
    """Guards against a quota that promotes jobs while workers are free."""
    passes = pass_shortage.PassShortage()
    waiting = [make_unplaced(reason=placement.REASON_QUOTA)]
    passes.record_pass(waiting, [], 10.0)
    passes.record_pass(waiting, [], 12.0)
    case.assertFalse(passes.is_short('', False))


def test_crawling_filling_tasks_are_a_shortage(case):
    """Guards against tasks that are placed at once but hardly run."""
    passes = pass_shortage.PassShortage()
    for pace, short in ((0.45, True), (0.55, False)):
        view = vmview.VmView(capacity=data.Resources(8000, 4000), pool='blue')
        filling = data.Workload(resources=SIZE, fills=True)
        view.add_usage(filling)
        view.record_filling(filling, 1.0, pace)
        passes.record_pass([], [view], 10.0)
        case.assertEqual(passes.is_short('blue', True), short)
        case.assertAlmostEqual(passes.get_rate('blue', True), 1000 * pace)
