# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A VM that is suspended for some seconds and resumes with a backlog.

A monotonic clock may stop during the suspension. An owner that relied on such
a clock would resume with grants that it takes for fresh. It could then extend
the leases of a side that its successor cannot reach, for a task that runs
elsewhere by then. So all deadlines that safety depends on use a clock that
counts the suspension.
"""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster
from portwharf.testing import cluster_fakes

LIMITS = cluster.LIMITS


def suspend(node, clock_runs):
    """Suspend a node.

    :param clock_runs: its clock counts the time of the suspension
    """
    node.paused = True
    if not clock_runs:
        node.clock.stop()


def wake(node, clock_runs):
    """Resume a node, which then receives what was sent to it meanwhile."""
    node.paused = False
    if not clock_runs:
        node.clock.go_on()


def wake_superseded_owner(clock_runs):
    """Resume an owner while its successor waits to rerun a task.

    The successor cannot reach the side that has the task, and the last lease
    of that side has not expired when the former owner resumes and hears it.

    :returns: the cluster, after all waits of the successor
    """
    made = ownership_test.make_cluster(count=5, size=5)
    former, successor, *others = made.nodes
    side = next(n for n in others if ownership_test.list_running(n))
    for other in (successor, *others):
        made.cut(side, other)
    made.run(0.5)
    suspend(former, clock_runs)
    successor.claim()
    made.run(LIMITS.confirm + 1)
    made.isolate(former)
    made.cuts.discard(frozenset((former.vm.name, side.vm.name)))
    wake(former, clock_runs)
    # The former owner relies on its last majority for this long.
    made.run(LIMITS.confirm, step=0.25)
    made.isolate(former)
    # The tasks on its worker last until their leases expire.
    side.paused = True
    made.run(ownership_test.LONG_WAIT_SECONDS)
    return made


def test_woken_owner_extends_no_lease(case):
    made = wake_superseded_owner(clock_runs=True)
    made.settle()
    made.check_end()


def test_woken_owner_with_a_stopped_clock(case):
    """The failure that a clock which stops in a suspension causes."""
    with case.assertRaises(cluster_fakes.Violation):
        wake_superseded_owner(clock_runs=False)


def test_woken_owner_refuses_reads_until_confirmed(case):
    """It may have a successor and not know of the latest jobs."""
    made = ownership_test.make_cluster()
    node = made.nodes[0]
    operation = messages.Operation(1, 'list-workloads', b'\x80')
    case.assertEqual(node.ask(operation).status, 'ok')
    suspend(node, clock_runs=True)
    made.run(LIMITS.confirm + 1)
    case.assertEqual(node.ask(operation).status, 'not-owner')
    wake(node, clock_runs=True)
    made.run(3)
    case.assertEqual(node.ask(operation).status, 'ok')


def test_woken_side_starts_no_old_commands(case):
    """A start that waited during the suspension has an expired grant."""
    made = ownership_test.make_cluster(count=1)
    node = made.nodes[2]
    made.submit(6)
    made.connect_all()
    suspend(node, clock_runs=True)
    made.run(ownership_test.LONG_WAIT_SECONDS)
    wake(node, clock_runs=True)
    made.run(5)
    made.settle()
    made.check_end()


def test_short_suspension_moves_no_work(case):
    made = ownership_test.make_cluster()
    node = made.nodes[2]
    before = ownership_test.count_runs(made)
    suspend(node, clock_runs=True)
    made.run(LIMITS.unreachable - 1)
    wake(node, clock_runs=True)
    made.run(5)
    case.assertEqual(ownership_test.count_runs(made), before)
    case.assertEqual(
        made.read_state().count_states(
            next(iter(made.read_state().workloads.values()))
        )[data.TaskState.PLACED],
        before,
    )
