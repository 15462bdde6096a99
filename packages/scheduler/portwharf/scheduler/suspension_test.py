# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A VM that is suspended for seconds, and wakes with its backlog.

The steady clock stands still meanwhile. An owner that went by it would wake
with grants that it takes for fresh, and give a side that its successor cannot
reach the time to keep a task that runs elsewhere by then. So all deadlines
that safety rests on are read on a clock that counts the suspension.
"""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster
from portwharf.testing import cluster_fakes

LIMITS = cluster.LIMITS


def suspend(node, counts):
    """Suspend a node.

    :param counts: its clock counts the time of it
    """
    node.paused = True
    if not counts:
        node.clock.stop()


def wake(node, counts):
    """Wake a node; what was sent to it meanwhile arrives."""
    node.paused = False
    if not counts:
        node.clock.go_on()


def keep_alive_by_a_woken_owner(counts):
    """Have an owner wake while its successor waits to run a task again.

    The side that has the task cannot be reached by the successor, and its
    last lease has not run out when the former owner wakes and hears it.
    """
    made = ownership_test.make_cluster(count=5, size=5)
    former, successor, *others = made.nodes
    side = next(n for n in others if ownership_test.list_running(n))
    for other in (successor, *others):
        made.cut(side, other)
    made.run(0.5)
    suspend(former, counts)
    successor.claim()
    made.run(LIMITS.confirm + 1)
    made.isolate(former)
    made.cuts.discard(frozenset((former.vm.name, side.vm.name)))
    wake(former, counts)
    # As long as the former owner believes in its last majority.
    made.run(LIMITS.confirm, step=0.25)
    made.isolate(former)
    # What its worker runs lasts as long as its leases.
    side.paused = True
    made.run(ownership_test.LONG)
    return made


def test_woken_owner_keeps_nothing_alive(case):
    made = keep_alive_by_a_woken_owner(counts=True)
    made.settle()
    made.check_end()


def test_woken_owner_with_a_clock_that_stood_still(case):
    """What the steady clock would bring about."""
    with case.assertRaises(cluster_fakes.Violation):
        keep_alive_by_a_woken_owner(counts=False)


def test_woken_owner_answers_no_question_as_one(case):
    """It may have been followed, and not know of the latest jobs."""
    made = ownership_test.make_cluster()
    node = made.nodes[0]
    operation = messages.Operation(1, 'list-workloads', b'\x80')
    case.assertEqual(node.owner.operate(operation).status, 'ok')
    suspend(node, counts=True)
    made.run(LIMITS.confirm + 1)
    case.assertEqual(node.owner.operate(operation).status, 'not-owner')
    wake(node, counts=True)
    made.run(3)
    case.assertEqual(node.owner.operate(operation).status, 'ok')


def test_woken_side_begins_nothing_of_before(case):
    """A start that waited while it was suspended came under an old grant."""
    made = ownership_test.make_cluster(count=1)
    node = made.nodes[2]
    made.submit(6)
    made.connect_all()
    suspend(node, counts=True)
    made.run(ownership_test.LONG)
    wake(node, counts=True)
    made.run(5)
    made.settle()
    made.check_end()


def test_work_of_a_suspended_vm_goes_on_where_it_is(case):
    """A short one costs nobody anything."""
    made = ownership_test.make_cluster()
    node = made.nodes[2]
    before = ownership_test.count_runs(made)
    suspend(node, counts=True)
    made.run(LIMITS.unreachable - 1)
    wake(node, counts=True)
    made.run(5)
    case.assertEqual(ownership_test.count_runs(made), before)
    case.assertEqual(
        made.read_state().count_states(
            next(iter(made.read_state().workloads.values()))
        )[data.TaskState.PLACED],
        before,
    )
