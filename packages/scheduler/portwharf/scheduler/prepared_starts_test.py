# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Prepared tasks start during an outage, once, and are not lost."""

from unittest import mock

import result

from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import batches
from portwharf.scheduler import late_start_test
from portwharf.scheduler import operations
from portwharf.scheduler import ownership_test
from portwharf.scheduler import shardlog


def list_started(node):
    """Return the tasks of all attempts that a node's worker has begun."""
    return [run.attempt.task for run in node.worker.record]


def test_prepared_tasks_start_during_an_outage(case):
    made = ownership_test.make_cluster(10)
    case.assertEqual(ownership_test.count_runs(made), 6)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    case.assertEqual(ownership_test.count_runs(made), 10)
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_prepared_task_started_in_an_outage_survives_its_owner(case):
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(3)
    made.nodes[1].claim()
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_prepared_task_is_kept_until_its_side_reports(case):
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    made.run(3)
    made.finish_running()
    made.run(5)
    made.restart_side(made.nodes[0])
    made.fake.faults.down = False
    made.run(3)
    made.nodes[1].claim()
    # The new owner's first pass runs before any side has reported.
    made.time.advance(1.5)
    owner = made.nodes[1].owner
    owner._members.sync_links(owner)
    made.connect_all()
    owner.step()
    prepared = made.read_state().prepared
    case.assertTrue(prepared['vm-00'])
    made.run(1)
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 10)


def test_unconfirmed_start_is_not_repeated_elsewhere(case):
    """Its owner is replaced, and its worker carries it out late."""
    made = late_start_test.make_cluster()
    late, heir, former = made.nodes
    made.submit(7)
    made.run(2)
    (task,) = made.read_state().prepared[late.vm.name]
    made.fake.faults.down = True
    made.run(3)
    late.worker.delays = True
    late.worker.finish(ownership_test.list_running(late)[0])
    made.run(1)
    case.assertEqual({one.task for one in late.worker._starts}, {task})
    made.restart_side(former)
    made.fake.faults.down = False
    made.listing.set_leaving({late.vm.name})
    heir.claim()
    made.run(1.5)
    heir.worker.finish(ownership_test.list_running(heir)[0])
    made.run(2)
    late.worker.carry_out()
    case.assertIn(task, ownership_test.list_running(late))
    made.run(2)
    late.worker.delays = False
    ownership_test.finish(made)


def test_lost_stop_of_a_prepared_task_is_repeated(case):
    """A new owner's stop is lost with its connection."""
    made = late_start_test.make_cluster()
    late, heir, former = made.nodes
    made.submit(7)
    made.run(2)
    (task,) = made.read_state().prepared[late.vm.name]
    made.restart_side(former)
    made.listing.set_leaving({late.vm.name})
    take = late.server.take_owner_message
    lost = []

    def lose_first(conn, hello, message):
        is_stop = isinstance(message, messages.StopTask)
        if is_stop and message.task == task and not lost:
            lost.append(message)
            raise streams.PeerError('cut')
        take(conn, hello, message)

    with mock.patch.object(late.server, 'take_owner_message', lose_first):
        heir.claim()
        made.run(1.5)
        heir.worker.finish(ownership_test.list_running(heir)[0])
        made.run(3)
    case.assertTrue(lost)
    case.assertNotIn(task, made.read_state().prepared[late.vm.name])
    ownership_test.finish(made)


def test_prepared_task_of_a_silent_vm_is_not_started_elsewhere(case):
    made = ownership_test.make_cluster(10)
    silent = made.nodes[2]
    prepared = set(made.read_state().prepared[silent.vm.name])
    case.assertTrue(prepared)
    made.isolate(silent)
    made.run(6)
    made.finish_running()
    made.run(3)
    started = {
        run.attempt.task for node in made.nodes for run in node.worker.record
    }
    case.assertFalse(prepared & started)
    ownership_test.finish(made)


def test_lost_start_of_a_prepared_task_is_repeated(case):
    """A start that was lost during an outage of the store is sent again.

    Sequence: an append is stalled, tasks of a VM end, and the owner starts a
    prepared one there. The connection fails and the command is lost. The next
    report does not list the attempt; the owner has to notice that although
    the log holds the task only as prepared.
    """
    made = ownership_test.make_cluster(10)
    made.fake.faults.down = True
    owner = made.nodes[0].owner
    link = owner._members.get_link('vm-01')
    lost = []
    send = link.send

    def lose(message):
        if isinstance(message, messages.StartTask) and owner.stalled:
            lost.append(message)
            link.pipe.closed = True
        return send(message)

    link.send = lose
    made.submit(1)
    made.run(2)
    made.finish_running()
    made.run(5)
    case.assertTrue(lost)
    made.submit(1)
    ownership_test.finish(made)


def test_task_is_not_started_before_its_preparation_is_logged(case):
    made = ownership_test.make_cluster(2, 1)
    made.fake.faults.down = True
    fut = made.submit()
    made.run(1)
    made.finish_running()
    made.run(5)
    case.assertTrue(made.nodes[0].owner.stalled)
    case.assertEqual(ownership_test.count_runs(made), 2)
    made.fake.faults.down = False
    made.run(3)
    case.assertIn(f'{fut.value.id}.0', list_started(made.nodes[0]))
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 3)


def test_cancelled_prepared_task_is_not_started_in_an_outage(case):
    """The entry with the calls of a slow pass is stalled."""
    made = ownership_test.make_cluster(2, 1)
    (node,) = made.nodes
    waiting = made.submit(2)
    made.run(2)
    case.assertEqual(len(made.read_state().prepared[node.vm.name]), 2)
    made.fake.faults.down = True
    fut = made.cancel(waiting.value.id)
    with mock.patch.object(node.owner, '_must_answer_first', bool):
        case.assertIs(
            node.owner.step(node.owner.take_items()),
            batches.StepResult.STALLED,
        )
    made.finish_running()
    made.run(3)
    case.assertIsNone(fut.value)
    case.assertEqual(ownership_test.count_runs(made), 2)
    made.fake.faults.down = False
    made.run(3)
    case.assertIsInstance(fut.value, operations.Cancelled)
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 2)


def test_task_of_an_unlogged_preparation_does_not_run_twice(case):
    """An owner that loses the store prepares a task; its successor places it.

    The successor cannot reach the VM that the task was prepared on, and has
    no record of that to wait for.
    """
    # Two tasks run on each VM, two are prepared, and one waits.
    made = ownership_test.make_cluster(13)
    former, cut_off, successor = made.nodes
    state = made.read_state()
    (record,) = state.workloads.values()
    task = state.list_tasks(record)[-1]
    case.assertEqual(record.begun, 12)
    former.pool.cut = True
    made.cut(cut_off, successor)
    # A prepared task is placed, and the waiting one is prepared instead.
    cut_off.worker.finish(ownership_test.list_running(cut_off)[0])
    made.run(1)
    case.assertIn(task.id, former.owner._state.prepared[cut_off.vm.name])
    for name in ownership_test.list_running(cut_off):
        cut_off.worker.finish(name)
    made.run(2)
    successor.claim()
    made.run(2)
    for _ in range(3):
        for node in (former, successor):
            for name in ownership_test.list_running(node):
                if name != task.id:
                    node.worker.finish(name)
        made.run(1)
    hosts = [node for node in made.nodes if task.id in list_started(node)]
    case.assertEqual(len(hosts), 1)
    case.assertIsNot(hosts[0], cut_off)
    ownership_test.finish(made)


def test_only_tasks_of_the_logged_entries_of_a_stalled_batch_start(case):
    made = ownership_test.make_cluster(2, 1)
    (node,) = made.nodes
    append = shardlog.ShardLog.append
    appended = []

    def append_one(log, events):
        if appended:
            return result.Err(shardlog.Stalled('down'))
        appended.append(events)
        return append(log, events)

    made.submit(2)
    with (
        mock.patch.object(shardlog, 'count_fitting_events', lambda events: 2),
        mock.patch.object(shardlog.ShardLog, 'append', append_one),
    ):
        items = node.owner.take_items()
        case.assertIs(node.owner.step(items), batches.StepResult.STALLED)
        (logged,) = made.read_state().prepared['vm-00']
        case.assertEqual(len(node.owner._state.prepared['vm-00']), 2)
        made.finish_running()
        made.run(5)
        case.assertEqual(list_started(node)[2:], [logged])
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 4)


def test_freed_room_is_counted_once_between_the_entries_of_a_batch(case):
    """A side reports an end again after some entries of the batch."""
    made = ownership_test.make_cluster(2, 1)
    (node,) = made.nodes
    made.submit(2)
    made.run(3)
    case.assertEqual(len(made.read_state().prepared['vm-00']), 2)
    append = shardlog.ShardLog.append
    appended = []
    allowed = 0

    def append_allowed(log, events):
        if len(appended) >= allowed:
            return result.Err(shardlog.Stalled('down'))
        appended.append(events)
        return append(log, events)

    def list_told():
        return node.owner._decider.preparation.list_started('vm-00')

    made.submit(1)
    made.submit(1)
    with (
        mock.patch.object(shardlog, 'count_fitting_events', lambda events: 1),
        mock.patch.object(shardlog.ShardLog, 'append', append_allowed),
    ):
        made.run(1)
        node.worker.finish(ownership_test.list_running(node)[0])
        made.run(2)
        case.assertEqual(len(list_told()), 1)
        allowed = 1
        made.run(2)
        case.assertEqual(len(appended), 1)
        case.assertTrue(node.owner.stalled)
        made.break_pipes(node)
        made.run(3)
        case.assertEqual(len(list_told()), 1)
    ownership_test.finish(made)
    case.assertEqual(ownership_test.count_runs(made), 6)
