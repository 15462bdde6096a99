# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How long a new owner waits for its members, and what must not wait."""

import dataclasses
import threading

import result

from portwharf.core import data
from portwharf.peers import streams
from portwharf.scheduler import members
from portwharf.scheduler import membership
from portwharf.testing import cluster
from portwharf.testing import fixtures

SMALL = data.Resources(400, 400)


class Conn:
    """Records the frames that are sent on a member's connection."""

    def __init__(self):
        self.frames = []

    def try_post(self, message, frame=b''):
        """Record a frame; always succeeds."""
        self.frames.append(frame)
        return True


def open_members(size, granted):
    """Return the membership of a new owner, and when it began.

    :param granted: how many members have a valid grant
    """
    made = cluster.Cluster(size)
    made.run(4)
    members = made.list_owners()[0].owner._members
    for number, link in enumerate(members.list_links()):
        link.view.granted = number < granted
    return members, members._began


def test_owner_settles_at_once_when_all_have_joined(case):
    members, began = open_members(4, 4)
    case.assertTrue(members.has_settled(began))


def test_lost_member_delays_settling_briefly(case):
    members, began = open_members(4, 3)
    case.assertFalse(members.has_settled(began))
    soon = began + membership.MIN_SETTLE_SECONDS
    case.assertTrue(members.has_settled(soon))


def test_owner_waits_when_few_have_joined(case):
    members, began = open_members(4, 2)
    soon = began + membership.MIN_SETTLE_SECONDS
    case.assertFalse(members.has_settled(soon))
    case.assertTrue(members.has_settled(began + membership.MAX_SETTLE_SECONDS))


def test_side_is_greeted_while_the_vm_list_is_slow(case):
    """A connection does not wait for the VM list, as the deciding thread does.

    The owner gets no heartbeat before it has sent the tasks of the VM, and it
    treats a VM without heartbeats as lost.
    """
    made = cluster.Cluster(3)
    owner = made.nodes[0].owner
    reading, greeted, let_read_end = (threading.Event() for _ in range(3))

    def read():
        reading.set()
        let_read_end.wait(10)
        return result.Err('slow')

    def greet_side():
        owner.make_held_tasks('vm-01')
        greeted.set()

    made.listing.read = read
    made.time.advance(membership.VM_LIST_INTERVAL_SECONDS)
    threads = [
        threading.Thread(target=target) for target in (owner.step, greet_side)
    ]
    threads[0].start()
    case.assertTrue(reading.wait(10))
    threads[1].start()
    in_time = greeted.wait(1)
    let_read_end.set()
    for thread in threads:
        thread.join()
    case.assertTrue(in_time)


def test_announcement_is_not_encoded_anew_for_each_member(case):
    members, _ = open_members(4, 4)
    message = members._env.zones.make_update()
    for link in members.list_links():
        link._conn = Conn()
    members.announce(message)
    frames = [
        frame for link in members.list_links() for frame in link._conn.frames
    ]
    case.assertEqual(frames, [streams.encode_frame(message)] * 4)
    case.assertEqual(len({id(frame) for frame in frames}), 1)


def test_pass_does_not_view_all_vms_more_than_once(case):
    made = cluster.Cluster(3)
    made.submit(20)
    made.run(4)
    owner = made.nodes[0].owner
    case.assertTrue(owner._decider.waiting)
    view_vms, calls = owner._members.view_vms, []

    def view_and_count(weigher):
        calls.append(1)
        return view_vms(weigher)

    owner._members.view_vms = view_and_count
    owner.step()
    case.assertEqual(len(calls), 1)


def test_removed_member_that_hangs_does_not_hold_up_its_owner(case):
    """A VM that has lost power lets connections to it hang."""
    made = cluster.Cluster(3)
    owner = made.nodes[0].owner
    dialled, let_dial_end, synced = (threading.Event() for _ in range(3))
    case.addCleanup(let_dial_end.set)

    class HangingLink(members.MemberLink):
        def dial(self):
            dialled.set()
            let_dial_end.wait(20)
            raise streams.PeerError('not there')

    link = HangingLink(data.Vm('vm-09'), owner).__enter__()
    case.assertTrue(dialled.wait(10))
    owner._members._links['vm-09'] = link

    def sync_links():
        owner._members.sync_links(owner)
        synced.set()

    threading.Thread(target=sync_links, daemon=True).start()
    case.assertTrue(synced.wait(8))
    let_dial_end.set()
    link._thread.join(10)
    case.assertFalse(link._thread.is_alive())


def make_serving_cluster():
    """Return a cluster of one VM with a serving task that has headroom."""
    made = cluster.Cluster(1)
    names = {'resources': SMALL, 'program': 'desk', 'image': 'desk'}
    made.submit(1, kind=data.Kind.STANDING, target_ms=20, **names)
    made.run(4)
    worker = made.nodes[0].worker
    (run,) = worker.runs
    worker.tails[run.attempt.task] = 10
    return made


def submit_filling_task(made):
    """Submit a filling task to a cluster."""
    made.submit(1, fills=True, resources=SMALL, program='plan', image='plan')


def test_task_placed_since_the_heartbeat_uses_headroom(case):
    """A side reports the headroom that is left some polls after a start.

    Passes until then must not give the same headroom away again.
    """
    made = make_serving_cluster()
    node = made.nodes[0]
    made.run(2)
    owner = node.owner
    heard_at = owner.list_links()[0].view.heard
    headrooms = []
    for _ in range(4):
        (view,) = owner._members.view_vms()
        headrooms.append(view.headrooms['desk'])
        submit_filling_task(made)
        owner.step(owner.take_items())
    case.assertGreater(len(owner._state.held[node.vm.name]), 2)
    case.assertEqual(owner.list_links()[0].view.heard, heard_at)
    case.assertLess(headrooms[-1], headrooms[0], headrooms)


def test_tasks_of_the_owner_before_are_in_the_headroom_that_sides_report(case):
    """A new owner must not take the headroom of running tasks off again."""
    made = make_serving_cluster()
    node = made.nodes[0]
    submit_filling_task(made)
    made.run(6)
    case.assertEqual(len(node.owner._state.held[node.vm.name]), 2)
    node.end_owner()
    node.claim()
    made.tick(0.3)
    (view,) = node.owner._members.view_vms()
    (told,) = node.owner.list_links()[0].view.headrooms
    case.assertEqual(view.headrooms, {'desk': told.room})


def add_vms_to_list(made, count):
    """Start sides on new VMs of the VM list.

    :returns: function that runs the cluster until the owner has read it, and
        list with an element for each reading
    """
    for number in range(len(made.nodes), len(made.nodes) + count):
        vm = fixtures.make_vm(number)
        made.listing.vms.append(vm)
        made.nodes.append(cluster.Node(made, vm, 1.0))
    reads = []
    read_list = made.listing.read

    def read():
        reads.append(1)
        return read_list()

    def run_until_read():
        while not reads:
            made.tick(0.1)

    made.listing.read = read
    return run_until_read, reads


def make_cluster_with_new_vms(size, count):
    """Return a cluster, and what ``add_vms_to_list`` returns for it."""
    made = cluster.Cluster(size)
    made.run(4)
    return made, *add_vms_to_list(made, count)


def test_vms_of_one_list_are_added_without_reading_it_for_each(case):
    """A hundred new VMs would cost as many readings, and their time."""
    made, run_until_read, reads = make_cluster_with_new_vms(5, 3)
    owner = made.nodes[0].owner
    run_until_read()
    made.run(0.5, step=0.1)
    case.assertEqual(len(owner._state.members), 8)
    case.assertEqual(len(reads), 1)


def test_owner_does_not_wait_for_input_while_it_adds_members(case):
    made, run_until_read, _ = make_cluster_with_new_vms(5, 1)
    owner = made.nodes[0].owner
    take_items, taken = owner.take_items, []

    def record_items():
        taken.extend(take_items())
        return []

    owner.take_items = record_items
    run_until_read()
    case.assertEqual(len(owner._state.members), 6)
    case.assertIn(None, taken)


def test_new_vm_is_added_while_no_voter_answers(case):
    """All members may be lost, and it is the only VM that is left."""
    made, run_until_read, _ = make_cluster_with_new_vms(3, 1)
    owner = made.nodes[0].owner
    owner._grants.may_change_voters = lambda now: False
    run_until_read()
    made.run(0.5, step=0.1)
    case.assertEqual(len(owner._state.members), 4)
    case.assertEqual(owner._state.nonvoters, {'vm-03'})


def test_member_gets_its_vote_once_former_owners_are_outwaited(case):
    """Not only after the VM list is read again, five seconds later."""
    made, run_until_read, reads = make_cluster_with_new_vms(3, 1)
    owner = made.nodes[0].owner
    may_change_voters = owner._grants.may_change_voters
    owner._grants.may_change_voters = lambda now: False
    run_until_read()
    made.run(2, step=0.1)
    case.assertEqual(len(owner._state.list_voters()), 3)
    owner._grants.may_change_voters = may_change_voters
    made.run(0.5, step=0.1)
    case.assertEqual(len(owner._state.list_voters()), 4)
    case.assertEqual(len(reads), 1)


def test_vm_that_has_moved_is_known_once_former_owners_are_outwaited(case):
    """Not only after the VM list is read again, five seconds later."""
    made = cluster.Cluster(3)
    made.run(4)
    owner = made.nodes[0].owner
    moved = dataclasses.replace(made.nodes[2].vm, address='127.0.0.99')
    made.listing.vms[2] = moved
    run_until_read, reads = add_vms_to_list(made, 0)
    may_change_voters = owner._grants.may_change_voters
    owner._grants.may_change_voters = lambda now: False
    run_until_read()
    made.run(2, step=0.1)
    case.assertEqual(owner._state.members['vm-02'], made.nodes[2].vm)
    owner._grants.may_change_voters = may_change_voters
    made.run(0.5, step=0.1)
    case.assertEqual(owner._state.members['vm-02'], moved)
    case.assertEqual(len(reads), 1)


def test_member_that_never_answers_gets_no_vote(case):
    """It would raise the majority that the others need."""
    made, run_until_read, _ = make_cluster_with_new_vms(3, 1)
    made.nodes[3].down = True
    run_until_read()
    made.run(5)
    case.assertEqual(made.nodes[0].owner._state.nonvoters, {'vm-03'})


def test_vm_list_that_was_not_answered_is_read_again_soon(case):
    made, run_until_read, reads = make_cluster_with_new_vms(3, 1)
    read_list = made.listing.read

    def fail_once():
        made.listing.read = read_list
        reads.append(1)
        return result.Err('slow')

    made.listing.read = fail_once
    run_until_read()
    made.run(membership.VM_LIST_RETRY_SECONDS + 0.2, step=0.1)
    case.assertEqual(len(reads), 2)
    case.assertEqual(len(made.nodes[0].owner._state.members), 4)


def test_grants_tell_sides_that_the_members_have_changed(case):
    made = cluster.Cluster(3)
    made.run(4)
    owner = made.nodes[0].owner
    before = owner.make_grant('vm-00', 0).members_hash
    case.assertEqual(owner.make_grant('vm-01', 0).members_hash, before)
    run_until_read, _ = add_vms_to_list(made, 1)
    run_until_read()
    made.run(1, step=0.1)
    told = owner.make_grant('vm-00', 0).members_hash
    case.assertNotEqual(told, before)
    case.assertEqual(made.nodes[1].guard.members_hash, told)
    case.assertEqual(told, membership.hash_members(owner._state.members))
