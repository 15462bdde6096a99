# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Each check of a simulated cluster's records finds its violation."""

from portwharf.core import clock
from portwharf.core import data
from portwharf.testing import cluster_checks
from portwharf.testing import cluster_fakes
from portwharf import workers

TASK = '0000000000000001.0.0.0'
LEASE_SECONDS = 10.0


class ManualNode:
    """A VM with a fake worker that a test sends orders to."""

    def __init__(self, name='vm-00'):
        self.vm = data.Vm(name)
        self.time = clock.ManualClock()
        self.worker = cluster_fakes.FakeWorker(
            cluster_fakes.SpeedClock(self.time, 1.0)
        )
        self.life = self.worker.read_listing().ok_value.life

    def pass_time(self, seconds):
        """Let some seconds pass, half a second at a time."""
        for _ in range(round(2 * seconds)):
            self.time.advance(0.5)
            self.worker.expire()
            self.worker.carry_out_late_starts()

    def compute_lease_end_ms(self):
        """Return the end of a lease that is granted now."""
        now = self.worker.read_listing().unwrap_or(workers.Listing()).now_ms
        return int(now + LEASE_SECONDS * 1000)

    def start(self, attempt=1, task=TASK):
        """Send a start with a lease from now on."""
        until_ms = self.compute_lease_end_ms()
        size = data.Resources(500, 500)
        return self.worker.start(
            workers.Start(
                task,
                attempt,
                lease_until_ms=until_ms,
                resources=size,
                life=self.life,
            )
        )

    def renew(self):
        """Renew the worker's lease from now on."""
        self.worker.renew(self.compute_lease_end_ms())

    def list_attempts(self):
        """Return the numbers of the attempts that have started."""
        return [run.attempt.attempt for run in self.worker.record]


def test_start_after_an_acknowledged_success_is_found(case):
    node, other = ManualNode(), ManualNode('vm-01')
    node.start()
    node.worker.finish(TASK)
    node.worker.forget(TASK, 1)
    cluster_checks.check_record([node, other])
    other.start(2)
    with case.assertRaisesRegex(cluster_fakes.Violation, 'after its success'):
        cluster_checks.check_record([node, other])


def test_start_between_a_success_and_its_acknowledgement_is_found(case):
    node, other = ManualNode(), ManualNode('vm-01')
    node.start()
    node.worker.finish(TASK)
    other.start(2)
    cluster_checks.check_record([node, other])
    node.worker.forget(TASK, 1)
    with case.assertRaisesRegex(cluster_fakes.Violation, 'after its success'):
        cluster_checks.check_record([node, other])


def test_acknowledgement_after_the_lease_is_no_violation(case):
    node, other = ManualNode(), ManualNode('vm-01')
    node.start()
    node.worker.finish(TASK)
    node.pass_time(LEASE_SECONDS + 1)
    node.renew()
    node.worker.forget(TASK, 1)
    other.start(2)
    cluster_checks.check_record([node, other])
    case.assertTrue(node.worker.record[0].lapsed)


def test_acknowledgement_arrives_after_a_silence(case):
    """It counts from its arrival, which may be after the lease."""
    for silent_seconds, noted in ((4, True), (LEASE_SECONDS + 1, False)):
        with case.subTest(silent_seconds=silent_seconds):
            node = ManualNode()
            node.start()
            node.worker.finish(TASK)
            node.worker.silent = True
            node.worker.forget(TASK, 1)
            case.assertFalse(node.worker.record[0].noted)
            node.pass_time(silent_seconds)
            node.worker.silent = False
            case.assertEqual(node.worker.read_listing().ok_value.attempts, [])
            case.assertEqual(node.worker.record[0].noted, noted)


def test_overlap_that_has_ended_is_found(case):
    """The first run overlaps the next but one; none is left at the end."""
    node, other = ManualNode(), ManualNode('vm-01')
    node.start()
    other.start(2)
    other.worker.stop(TASK, 2, False)
    other.start(3)
    other.worker.stop(TASK, 3, False)
    node.worker.stop(TASK, 1, False)
    cluster_checks.check_exclusive_tasks([node, other])
    with case.assertRaisesRegex(cluster_fakes.Violation, 'twice at once'):
        cluster_checks.check_record([node, other])


def test_start_extends_the_lease_of_all_that_runs(case):
    node = ManualNode()
    node.start()
    node.pass_time(LEASE_SECONDS - 2)
    node.start(task='0000000000000001.0.0.1')
    node.pass_time(4)
    case.assertTrue(all(run.running for run in node.worker.record))


def make_hung_node():
    """Return a node whose start is under way, just after its worker hung."""
    node = ManualNode()
    node.worker.hang_at_next_start(LEASE_SECONDS + 1, 1.0)
    node.start()
    node.pass_time(LEASE_SECONDS + 1)
    return node


def test_start_of_a_hang_is_carried_out_under_a_later_lease(case):
    node = make_hung_node()
    case.assertEqual(node.list_attempts(), [])
    node.renew()
    node.pass_time(1)
    case.assertEqual(node.list_attempts(), [1])


def test_start_of_a_hang_is_refused_without_a_lease_or_by_newer_orders(case):
    for name, order in (
        ('no lease', lambda node: None),
        ('revoked', lambda node: node.worker.revoke_expired_starts()),
        ('stopped', lambda node: node.worker.stop(TASK, 1, False)),
        ('next process', lambda node: node.worker.reset_side()),
        ('crash', lambda node: node.worker.crash(0.0)),
    ):
        with case.subTest(order=name):
            node = make_hung_node()
            node.worker.read_listing()
            order(node)
            if name != 'no lease':
                node.renew()
            node.pass_time(2)
            case.assertEqual(node.list_attempts(), [])
