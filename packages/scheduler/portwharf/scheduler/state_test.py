# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Applying events to the state, and restoring it from a snapshot."""

import random

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import history
from portwharf.scheduler import state
from portwharf.testing import fixtures

JOB = '0-job'
SIZE = data.Resources(1000, 1000)


def make_state(count=3, **fields):
    """Return a state with one accepted workload."""
    made = state.ShardState()
    workload = fixtures.make_workload(count=count, **fields)
    made.apply(events.WorkloadAccepted(JOB, workload.key, 5, workload))
    return made


def place(made, number, attempt=1, vm='vm-1'):
    """Place a task and return its id."""
    task = f'{JOB}.{number}'
    made.apply(events.TaskPlaced(task, attempt, vm))
    return task


def count(made):
    """Return the number of tasks in each state, without zeros."""
    counts = made.count_states(made.workloads[JOB])
    return {str(name): number for name, number in counts.items() if number}


def test_tasks_wait_until_placed(case):
    made = make_state()
    case.assertEqual(count(made), {'waiting': 3})
    place(made, 0)
    case.assertEqual(count(made), {'waiting': 2, 'placed': 1})
    case.assertEqual(made.reserved['vm-1'], SIZE)


def test_ended_task_frees_resources_and_keeps_its_result(case):
    made = make_state()
    task = place(made, 0)
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED, b'42'))
    case.assertEqual(made.reserved['vm-1'], data.Resources())
    case.assertEqual(made.tasks[task].result, b'42')


def test_evicted_task_waits_with_its_checkpoint(case):
    made = make_state()
    task = place(made, 0)
    made.apply(events.TaskEvicting(task, 1))
    made.apply(events.TaskRequeued(task, 1, True, 'step-7'))
    record = made.tasks[task]
    case.assertEqual(record.state, data.TaskState.WAITING)
    case.assertEqual((record.checkpoint, record.evictions), ('step-7', 1))


def test_lost_task_keeps_an_older_checkpoint(case):
    made = make_state()
    task = place(made, 0)
    made.apply(events.TaskRequeued(task, 1, True, 'step-7'))
    place(made, 0, 2)
    made.apply(events.TaskRequeued(task, 2))
    case.assertEqual(made.tasks[task].checkpoint, 'step-7')


def test_throttle_is_restored_and_ends_with_its_attempt(case):
    made = make_state()
    task = place(made, 0)
    made.apply(events.TaskThrottled(task, 1, 50))
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(restored.throttled, {task: restored.tasks[task]})
    case.assertEqual(restored.tasks[task].throttle_percent, 50)
    restored.apply(events.TaskRequeued(task, 1))
    place(restored, 0, 2, 'vm-2')
    case.assertEqual(restored.throttled, {})
    case.assertEqual(restored.tasks[task].throttle_percent, 0)


def test_placing_a_placed_task_is_an_error(case):
    made = make_state()
    place(made, 0)
    with case.assertRaises(RuntimeError):
        place(made, 0, 2, 'vm-2')


def test_cancelled_job_ends_with_its_last_task(case):
    made = make_state()
    task = place(made, 0)
    made.apply(events.WorkloadCancelled(JOB))
    record = made.workloads[JOB]
    case.assertEqual(count(made), {'cancelled': 2, 'placed': 1})
    case.assertFalse(made.has_ended(record))
    made.apply(events.TaskRequeued(task, 1))
    case.assertEqual(count(made), {'cancelled': 3})
    case.assertTrue(made.has_ended(record))


def test_shrunk_service_drops_its_last_replicas(case):
    made = make_state(3, kind=data.Kind.SERVICE)
    tasks = [place(made, number, vm=f'vm-{number}') for number in range(3)]
    made.apply(events.WorkloadChanged(JOB, 2, 7))
    made.apply(events.TaskRequeued(tasks[2], 1))
    case.assertEqual(made.tasks[tasks[2]].state, data.TaskState.CANCELLED)
    case.assertEqual(made.workloads[JOB].workload.importance, 7)


def test_dropped_workload_is_removed_completely(case):
    made = make_state(1)
    task = place(made, 0)
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))
    made.apply(events.WorkloadDropped(JOB))
    case.assertEqual((made.workloads, made.tasks), ({}, {}))
    case.assertIsNone(made.find_by_key('lens/plans'))


def test_snapshot_restores_the_same_state(case):
    made = make_state()
    made.apply(events.OwnerChanged(4, 'vm-2', [fixtures.make_vm(2)]))
    task = place(made, 0)
    place(made, 1)
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED, b'42'))
    made.apply(events.DecisionMade(events.Decision(1, 'placed', task)))
    restored = state.ShardState.unpack(made.pack())
    restored.load_history(made.pack_history())
    case.assertEqual(restored.pack(), made.pack())
    case.assertEqual(restored.pack_history(), made.pack_history())
    case.assertEqual(len(restored.history.find(JOB)), 1)
    case.assertEqual(restored.reserved['vm-1'], SIZE)
    case.assertEqual(restored.epoch, 4)
    case.assertEqual(restored.find_by_key('lens/plans').id, JOB)


def make_random_event(rnd, made):
    """Return an event that accepts, cancels or drops a workload."""
    kind = rnd.choice((data.Kind.SERVICE, data.Kind.BATCH))
    if not made.workloads or rnd.random() < 0.5:
        name = f'0-{rnd.randrange(10**9)}'
        workload = fixtures.make_workload(name=name, kind=kind)
        return events.WorkloadAccepted(name, workload.key, 5, workload)
    name = rnd.choice(sorted(made.workloads))
    cls = rnd.choice((events.WorkloadCancelled, events.WorkloadDropped))
    return cls(name)


def test_index_of_services_misses_no_change(case):
    rnd = random.Random(1)
    made = state.ShardState()
    for _ in range(200):
        made.apply(make_random_event(rnd, made))
        services = {
            name: record
            for name, record in made.workloads.items()
            if record.workload.kind == data.Kind.SERVICE
        }
        case.assertEqual(made.services, services)
        restored = state.ShardState.unpack(made.pack())
        case.assertEqual(restored.services, services)


def test_written_events_can_be_read(case):
    rows = events.write_events([events.TaskPlaced('0-job.1', 2, 'vm-1')])
    rows.append(['of-a-later-version', {'x': 1}])
    case.assertEqual(
        events.read_events(rows), [events.TaskPlaced('0-job.1', 2, 'vm-1')]
    )


def test_history_stays_within_its_limit(case):
    past = history.History(max_bytes=10_000)
    for number in range(1000):
        past.add(events.Decision(number, 'placed', f'0-job.{number}'))
    kept = past.find(JOB)
    case.assertEqual(kept[-1].unix_ms, 999)
    case.assertLess(len(kept), 100)


def test_history_finds_only_a_workloads_own_tasks(case):
    past = history.History()
    for subject in (JOB, f'{JOB}.1', f'{JOB}x', f'{JOB}x.1'):
        past.add(events.Decision(1, 'placed', subject))
    found = [decision.subject for decision in past.find(JOB)]
    case.assertEqual(found, [JOB, f'{JOB}.1'])


def test_ended_task_is_no_suspect(case):
    """Nor is it one in a state that is restored from a snapshot."""
    made = make_state(4)
    for number in range(4):
        task = place(made, number)
        lost = events.TaskRequeued(task, 1, crash='vm-1/a@1', ran_ms=10)
        made.apply(lost)
    case.assertEqual(len(made.suspects), 4)
    ended = place(made, 0, 2)
    made.apply(events.TaskEnded(ended, 2, data.TaskState.SUCCEEDED))
    running = place(made, 1, 2)
    case.assertEqual(len(made.suspects), 3)
    made.apply(events.WorkloadCancelled(JOB))
    case.assertEqual(list(made.suspects), [running])
    lost_again = events.TaskRequeued(running, 2, crash='vm-1/a@2', ran_ms=10)
    made.apply(lost_again)
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual((made.suspects, restored.suspects), ({}, {}))


def test_withdrawn_jobs_are_in_the_snapshot_and_bounded(case):
    made = state.ShardState()
    for number in range(state.MAX_WITHDRAWN + 2):
        made.apply(events.JobWithdrawn(f'{number:016x}'))
    kept = state.ShardState.unpack(made.pack()).withdrawn
    case.assertEqual(len(kept), state.MAX_WITHDRAWN)
    case.assertNotIn(f'{1:016x}', kept)
    case.assertIn(f'{2:016x}', kept)


def test_votes_are_in_the_snapshot(case):
    made = state.ShardState()
    voter, learner = fixtures.make_vm(1), fixtures.make_vm(2)
    made.apply(events.OwnerChanged(1, voter.name, [voter]))
    made.apply(events.MemberAdded(learner, votes=False))
    restored = state.ShardState.unpack(made.pack())
    case.assertEqual(restored.list_voters(), {voter.name})
    restored.apply(events.VoteGranted(learner.name))
    case.assertEqual(restored.list_voters(), {voter.name, learner.name})


def test_member_of_an_older_log_has_a_vote(case):
    """Entries from before votes were logged have no such field."""
    vm = fixtures.make_vm(1)
    (row,) = events.write_events([events.MemberAdded(vm)])
    case.assertEqual(set(row[1]), {'vm'})
    made = state.ShardState()
    made.apply(*events.read_events([row]))
    case.assertEqual(made.list_voters(), {vm.name})


def test_member_that_moves_loses_its_vote(case):
    made = state.ShardState()
    vm = fixtures.make_vm(1)
    made.apply(events.OwnerChanged(1, vm.name, [vm]))
    made.apply(events.MemberAdded(vm, votes=False))
    case.assertEqual(made.list_voters(), set())
