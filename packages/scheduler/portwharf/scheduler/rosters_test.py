# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sides act by a roster as in force only once it is in the log."""

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import request_homes
from portwharf.side import at_most_once_test
from portwharf.testing import cluster


def make_stalled_cluster():
    """Return a cluster whose owner cannot log the end of vm-01's service.

    All sides have acknowledged the roster without vm-01 as pending.
    """
    made = cluster.Cluster(3)
    made.run(3)
    made.submit(3, kind=data.Kind.SERVICE)
    made.run(8)
    former, ended, _ = made.nodes
    ended.worker.broken = True
    for run in list(ended.worker.runs):
        ended.worker.finish(run.attempt.task, data.RunState.FAILED)
    run_until(made, lambda: all(map(read_pending_seq, made.nodes)))
    former.pool.cut = True
    run_until(made, lambda: list_unlogged_rosters(former))
    return made


def run_until(made, is_reached):
    """Run the cluster until a condition holds, for up to ten seconds."""
    for _ in range(100):
        if is_reached():
            return
        made.tick(0.1)
    raise AssertionError('condition not reached')


def list_unlogged_rosters(node):
    """Return the rosters that a node's owner has decided but not logged."""
    batch = node.owner._batch
    return [
        event.roster
        for event in (batch.events if batch else ())
        if isinstance(event, events.RosterChanged)
    ]


def read_pending_seq(node):
    """Return the number of the roster that a side holds as pending, or 0."""
    pending = node.server.at_most_once._pending
    return pending.seq if pending else 0


def read_seq_in_force(node):
    """Return the number of the roster by which a side acts as in force."""
    return node.server.at_most_once._history[-1].seq


def reconnect(made):
    """Close the connections of the owner, and let it connect again."""
    for node in made.nodes:
        made.break_pipes(node)
    made.run(1)


def find_request(now_ms, rosters, homes):
    """Return an id and service with the given home by each roster."""
    service = rosters[0].services[0].service
    for serial in range(10_000):
        request = at_most_once_test.make_id(now_ms, serial)
        found = [
            request_homes.find_home(roster, request, service)
            for roster in rosters
        ]
        if found == homes:
            return request, service
    raise AssertionError('no such id')


def test_roster_of_a_stalled_append_is_not_told_as_in_force(case):
    made = make_stalled_cluster()
    former = made.nodes[0]
    (unlogged,) = list_unlogged_rosters(former)
    logged = made.read_state().rosters[-1]
    reconnect(made)
    for node in made.nodes:
        case.assertEqual(read_seq_in_force(node), logged.seq)
        case.assertEqual(read_pending_seq(node), unlogged.seq)
    former.pool.cut = False
    made.run(3)
    case.assertIn(unlogged, made.read_state().rosters)
    for node in made.nodes:
        case.assertGreaterEqual(read_seq_in_force(node), unlogged.seq)


def test_id_is_not_admitted_by_two_homes_after_a_stalled_append(case):
    """A roster that was told and never logged moves no id to another home."""
    made = make_stalled_cluster()
    former, ended, successor = made.nodes
    logged = made.read_state().rosters[-1]
    (unlogged,) = list_unlogged_rosters(former)
    reconnect(made)
    made.run(5)
    request, service = find_request(
        made.time.read_unix_ms(),
        [logged, unlogged],
        [ended.vm.name, successor.vm.name],
    )
    admitted = []

    def send():
        for node in made.nodes:
            policy = node.server.at_most_once
            if policy.admit(request, service, True) is None:
                admitted.append(node.vm.name)

    send()
    ended.worker.broken = False
    successor.claim()
    for _ in range(60):
        made.tick(0.1)
        send()
    case.assertEqual(len(admitted), 1, admitted)
