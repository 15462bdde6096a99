# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The least headroom of the last seconds, and when it does not count."""

import hypothesis
from hypothesis import strategies

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import lasting_headroom
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.testing import cluster
from portwharf.testing import fixtures

FILLING = fixtures.make_workload(
    fills=True, image='plan', resources=data.Resources(1600, 100)
)
PRESS = 2.0
# Headroom that a filling task takes at full pace.
TAKEN = PRESS * 0.1
# Headrooms of a load that peaks at 2 s.
PEAKED = (0.8, 0.8, 0.3, 0.8, 0.8, 0.8, 0.8)


class Vm:
    """Reports of one VM to a tracker."""

    def __init__(self):
        self.tracker = lasting_headroom.HeadroomTracker()
        self.model = tail_interference.TailInterferenceModel()
        self.set_press(PRESS)

    def set_press(self, press):
        """Set the estimated press."""
        known = messages.Press('desk', 'plan', press, 0.0)
        self.model.replace_estimates([known])

    def report(self, room, heard, paces=(), origin='', delay=0.0):
        """Return the headroom of a pass after a report.

        :param paces: the paces of the filling tasks, 0 to 1
        :param delay: seconds between the report and the pass
        """
        view = vmview.VmView(
            fixtures.make_vm(0), data.Resources(16_000, 64_000)
        )
        told = [messages.Headroom('desk', room)]
        view.set_headrooms(self.model, told)
        for pace in paces:
            view.record_filling(FILLING, 1.0, pace)
        self.tracker.update(view, told, heard, origin, heard + delay)
        lasting_headroom.apply_lasting_headrooms(view)
        return view.headrooms['desk']

    def report_all(self, rooms, **fields):
        """Report once a second from 0 s; returns the last headroom."""
        return [
            self.report(room, float(second), **fields)
            for second, room in enumerate(rooms)
        ][-1]


def test_vm_between_two_peaks_counts_by_its_last_peak(case):
    case.assertEqual(Vm().report_all(PEAKED), 0.3)


def test_peak_is_forgotten_after_the_period(case):
    case.assertEqual(Vm().report_all((*PEAKED, *[0.8] * 7)), 0.8)


def test_few_reports_leave_the_current_headroom(case):
    """A new owner has none, and the first may miss the peak."""
    case.assertEqual(Vm().report_all(PEAKED[:5]), 0.8)


def test_late_report_leaves_the_current_headroom(case):
    vm = Vm()
    vm.report_all(PEAKED)
    case.assertEqual(vm.report(0.8, 6.0, delay=2.9), 0.3)
    case.assertEqual(vm.report(0.8, 6.0, delay=3.1), 0.8)
    case.assertEqual(vm.report(0.8, 10.0), 0.8)


def test_other_connection_or_worker_starts_without_reports(case):
    """A restarted side, or another VM under the name, has another load."""
    vm = Vm()
    vm.report_all(PEAKED, origin='a')
    case.assertEqual(vm.report(0.8, 7.0, origin='b'), 0.8)


def test_departed_vm_is_forgotten(case):
    vm = Vm()
    vm.report_all(PEAKED)
    vm.tracker.forget({'another'})
    case.assertEqual(vm.report(0.8, 7.0), 0.8)
    case.assertEqual(len(vm.tracker._histories), 1)


def test_reports_of_one_vm_are_bounded(case):
    vm = Vm()
    for number in range(1000):
        vm.report(0.8, number / 1000)
    (history,) = vm.tracker._histories.values()
    case.assertLess(len(history._reports), 40)


def test_effect_of_filling_tasks_that_have_ended_is_added_back(case):
    """The tasks of that moment took the headroom, not the load."""
    vm = Vm()
    vm.report_all((0.3,) * 3, paces=(1.0, 1.0))
    rooms = [vm.report(0.8, 3.0 + number) for number in range(4)]
    case.assertAlmostEqual(rooms[-1], 0.3 + 2 * TAKEN)


def test_effect_of_present_filling_tasks_is_subtracted(case):
    vm = Vm()
    vm.report_all(PEAKED)
    case.assertAlmostEqual(vm.report(0.7, 7.0, paces=(0.5,)), 0.3 - TAKEN / 2)


def test_changed_press_counts_in_earlier_reports(case):
    """With the former estimate, tasks now would take more than was added."""
    vm = Vm()
    vm.report_all((0.3,) * 6, paces=(1.0, 1.0))
    vm.set_press(10 * PRESS)
    case.assertAlmostEqual(vm.report(0.3, 6.0, paces=(1.0, 1.0)), 0.3)


@hypothesis.settings(database=None, derandomize=True, deadline=None)
@hypothesis.given(
    rows=strategies.lists(
        strategies.tuples(
            strategies.floats(-0.5, 2.0), strategies.floats(0.0, 1.0)
        ),
        min_size=1,
        max_size=25,
    )
)
def check_least(rows):
    """Check the result against the least over a list of all reports."""
    vm = Vm()
    for second, (room, pace) in enumerate(rows):
        found = vm.report(room, float(second), paces=(pace,))
        last = rows[max(0, second - 10) : second + 1]
        least = min(one + TAKEN * other for one, other in last)
        expected = room if second < 5 else min(room, least - TAKEN * pace)
        assert abs(found - expected) < 1e-9, (rows, second)


def test_result_is_the_least_of_the_reports_of_the_period(case):
    check_least()


def test_new_owner_and_restarted_side_use_the_current_headroom(case):
    made = cluster.Cluster(2)
    names = {'program': 'desk', 'image': 'desk'}
    fields = {'resources': data.Resources(400, 400), **names}
    made.submit(1, kind=data.Kind.STANDING, target_ms=20, **fields)
    made.run(4)
    (node,) = [node for node in made.nodes if node.worker.runs]
    (other,) = [one for one in made.nodes if one is not node]
    (run,) = node.worker.runs
    node.worker.tails[run.attempt.task] = 10

    def is_known():
        members = made.list_owners()[0].owner._members
        views = {view.vm.name: view for view in members.view_vms()}
        return bool(views[node.vm.name].lasting)

    made.run(8)
    case.assertTrue(is_known())
    for one in made.nodes:
        one.end_owner()
    other.claim()
    made.run(2)
    case.assertFalse(is_known())
    made.run(8)
    case.assertTrue(is_known())
    made.restart_side(node)
    made.run(4)
    case.assertFalse(is_known())
    made.run(8)
    case.assertTrue(is_known())
