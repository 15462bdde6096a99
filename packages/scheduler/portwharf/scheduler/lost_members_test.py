# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Members that are lost for good, and members that were only cut off.

A new owner cannot tell the two apart. It must run the tasks of the former
again, and those of the latter only once they have surely stopped.
"""

from unittest import mock

from portwharf.core import data
from portwharf.scheduler import membership
from portwharf.scheduler import ownership_test
from portwharf.testing import cluster
from portwharf.testing import walk

LIMITS = walk.SPLIT_LIMITS
# Longer than the wait of an owner that one voter acknowledges.
DEGRADED_SECONDS = (
    LIMITS.replace_after_majority + LIMITS.extra_without_majority + 5
)
# Longer than that of an owner that no voter acknowledges.
LONGEST_SECONDS = (
    LIMITS.replace_after_majority + LIMITS.extra_without_voters + 5
)
# Time in which a new owner adds the VMs that are listed and places tasks.
ADDED_SECONDS = 8.0


def make_cluster(size, count):
    """Return a cluster with a job whose tasks run on all of its VMs."""
    made = cluster.Cluster(size, cluster_limits=LIMITS)
    made.submit(count, resources=data.Resources(1000, 1000))
    made.run(4)
    return made


def count_running(made):
    """Return how many tasks run on VMs that are up."""
    return sum(
        len(ownership_test.list_running(node))
        for node in made.nodes
        if not node.down
    )


def confirm_by_store(made):
    """Have the store confirm the first node's owner, by an append."""
    made.submit(1)
    made.tick(0.1)


def pause_sides(nodes):
    """Pause the sides of nodes; their tasks run on until the leases end."""
    for node in nodes:
        node.paused = True


def lose(made, nodes):
    """Lose nodes for good."""
    for node in nodes:
        made.fail_vm(node)
        made.listing.vms.remove(node.vm)


def replace_all(made, count):
    """Cut all VMs off for good, and have the first of new ones take over.

    :returns: list of the new nodes
    """
    former = list(made.nodes)
    added = [made.add_node() for _ in range(count)]
    confirm_by_store(made)
    made.split(former)
    made.run(1)
    added[0].claim()
    return added


def test_tasks_of_a_lost_majority_run_again(case):
    """A new owner waited for a majority that could not come back."""
    made = make_cluster(5, 5)
    lose(made, made.nodes[:3])
    made.nodes[3].claim()
    made.run(DEGRADED_SECONDS)
    case.assertEqual(count_running(made), 4)
    made.finish_running()
    made.run(2)
    case.assertEqual(count_running(made), 1)


def test_tasks_run_again_on_the_only_member_that_is_left(case):
    made = make_cluster(3, 3)
    lose(made, made.nodes[:2])
    made.nodes[2].claim()
    made.run(DEGRADED_SECONDS)
    case.assertEqual(count_running(made), 2)


def test_new_vms_are_used_at_once_where_no_member_is_left(case):
    """A new owner waited for a majority before it added any VM."""
    made = make_cluster(3, 3)
    lose(made, made.nodes)
    made.add_node()
    made.add_node()
    made.run(1)
    made.nodes[3].claim()
    made.run(ADDED_SECONDS)
    made.submit(2)
    made.run(2)
    case.assertEqual(count_running(made), 2)


def test_tasks_run_again_where_no_member_is_left(case):
    made = make_cluster(3, 3)
    lose(made, made.nodes)
    added = [made.add_node(), made.add_node()]
    made.run(1)
    added[0].claim()
    made.run(LONGEST_SECONDS)
    case.assertEqual(count_running(made), 3)


def test_lost_voters_are_replaced_by_new_members(case):
    """Later owners would wait for the lost ones anew."""
    made = make_cluster(3, 3)
    lose(made, made.nodes)
    added = [made.add_node(), made.add_node(), made.add_node()]
    made.run(1)
    added[0].claim()
    made.run(LONGEST_SECONDS + LIMITS.gone + ADDED_SECONDS)
    names = {node.vm.name for node in added}
    case.assertEqual(made.read_state().list_voters(), names)
    made.restart_side(added[0])
    added[1].claim()
    made.run(LIMITS.sole_after_majority + 2)
    case.assertTrue(
        added[1].owner._grants.find_basis(added[1].clock.read_monotonic())
    )


def run_majority_without_the_store(pauses):
    """Cut a majority with the owner off the store, and take over.

    :param pauses: the sides that are cut off are paused after their last
        grants, so that only the leases end their tasks
    """
    made = make_cluster(5, 5)
    confirm_by_store(made)
    made.split(made.nodes[:3])
    made.run(0.5)
    made.nodes[3].claim()
    if pauses:
        made.run(LIMITS.degraded_outage - 1)
        pause_sides(made.nodes[:3])
    made.run(LONGEST_SECONDS)
    made.settle()
    made.check_end()


def test_majority_grants_for_a_bounded_outage_of_the_store(case):
    run_majority_without_the_store(pauses=False)


def test_new_owner_outwaits_the_leases_of_a_former_majority(case):
    run_majority_without_the_store(pauses=True)


def run_all_members_without_the_store(pauses):
    """Cut all members off the store, and have new VMs take over.

    :param pauses: as for :func:`run_majority_without_the_store`
    """
    made = make_cluster(3, 3)
    former = list(made.nodes)
    replace_all(made, 3)
    if pauses:
        made.run(LIMITS.outage - 1)
        pause_sides(former)
    made.run(LONGEST_SECONDS)
    made.settle()
    made.check_end()


def test_all_members_grant_for_a_bounded_outage_of_the_store(case):
    run_all_members_without_the_store(pauses=False)


def test_new_vms_outwait_the_leases_of_all_former_members(case):
    run_all_members_without_the_store(pauses=True)


def test_new_members_have_no_vote_before_former_members_stop(case):
    """An owner counted its own vote, of which the former one did not know."""
    made = make_cluster(3, 3)
    former = list(made.nodes)
    added = replace_all(made, 3)
    while added[1].vm.name not in made.read_state().members:
        made.run(0.5)
    made.restart_side(added[0])
    made.isolate(added[0])
    added[1].claim()
    made.run(LIMITS.outage / 2)
    pause_sides(former)
    made.run(LONGEST_SECONDS)
    made.settle()
    made.check_end()


def test_new_voter_counts_before_its_vote_is_known_to_be_logged(case):
    """It may take over, and is a voter by the log that it has read."""
    made = make_cluster(3, 3)
    former = list(made.nodes)
    owner = made.nodes[0].owner
    added = made.add_node()
    with mock.patch.object(
        owner._grants, 'may_change_voters', lambda now: False
    ):
        while added.vm.name not in made.read_state().members:
            made.run(0.5)
        made.run(2)
    ownership_test.append_unanswered(made.nodes[0])
    case.assertTrue(owner.stalled)
    case.assertIn(added.vm.name, made.read_state().list_voters())
    made.split(former)
    added.claim()
    made.run(LIMITS.outage - 2)
    pause_sides(former)
    made.run(LONGEST_SECONDS)
    made.settle()
    made.check_end()


def test_removed_voter_counts_until_its_removal_is_logged(case):
    """It may take over without knowing of the removal."""
    made = make_cluster(3, 2)
    gone = next(
        node
        for node in made.nodes[1:]
        if not ownership_test.list_running(node)
    )
    others = [node for node in made.nodes if node is not gone]
    made.isolate(gone, store=False)
    made.listing.vms.remove(gone.vm)
    made.run(LIMITS.gone - 4)
    confirm_by_store(made)
    made.fake.faults.down = True
    made.run(membership.VM_LIST_INTERVAL_SECONDS)
    case.assertTrue(made.nodes[0].owner.stalled)
    made.split(others)
    made.fake.faults.down = False
    case.assertIn(gone.vm.name, made.read_state().members)
    gone.claim()
    made.run(LONGEST_SECONDS)
    made.settle()
    made.check_end()


def test_work_goes_on_through_an_outage_that_all_members_bridge(case):
    made = make_cluster(3, 3)
    made.fake.faults.down = True
    made.run(LIMITS.outage - 1)
    case.assertEqual(count_running(made), 3)


def test_work_goes_on_through_an_outage_with_some_members_lost(case):
    made = make_cluster(5, 5)
    made.fake.faults.down = True
    made.fail_vm(made.nodes[4])
    running = count_running(made)
    made.run(LIMITS.degraded_outage - 1)
    case.assertEqual(count_running(made), running)


def test_idle_owner_is_confirmed_by_the_store(case):
    """Else an outage that follows an hour without work would stop it."""
    made = make_cluster(3, 3)
    made.run(LIMITS.outage + 20)
    made.fake.faults.down = True
    made.run(LIMITS.outage - LIMITS.confirm - 1)
    case.assertEqual(count_running(made), 3)
