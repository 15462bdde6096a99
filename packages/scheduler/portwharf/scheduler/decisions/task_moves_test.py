# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A stalled task moves if it ends sooner elsewhere, and only then."""

import dataclasses

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import task_moves
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import state
from portwharf.testing import cluster

ID = '5c0e7a21d94b36f8'
TASK = f'{ID}.0.0.0'
SIZE = data.Resources(4000, 1000)
# Importance of a job without a rank.
RANK = 900


@dataclasses.dataclass(slots=True)
class View:
    """Stands for the view that a link has of its side."""

    paced: list


@dataclasses.dataclass(slots=True)
class Link:
    """Stands for ``members.MemberLink``."""

    name: str
    view: View


def make_state(vm='vm-1', **fields):
    """Return a state with a filling task on a VM."""
    values = {'resources': SIZE, 'fills': True, 'image': 'plan', **fields}
    step = data.Workload(count=1, **values)
    shard_state = state.ShardState()
    shard_state.apply(events.JobAccepted(1, data.Job(ID, steps=[step])))
    shard_state.apply(events.TaskPlaced(TASK, 1, vm))
    return shard_state


def find_stalled_tasks(percent, began=0.0, now=10.0, done=0, **fields):
    """Return the stalled tasks when the task runs at a percentage."""
    link = Link('vm-1', View([messages.PacedTask(TASK, 1, percent, done)]))
    shard_state = make_state(**fields)
    return task_moves.find_stalled_tasks(
        shard_state, [link], lambda _: began, now
    )


def make_view(name='vm-2', **fields):
    """Return the view of an empty VM."""
    view = vmview.VmView(data.Vm(name), data.Resources(16000, 64000))
    view.pairs = tail_interference.TailInterferenceModel()
    for field, value in fields.items():
        setattr(view, field, value)
    return view


def test_member_of_a_gang_is_not_moved(case):
    case.assertEqual(find_stalled_tasks(3, gang=True), [])


def test_stuck_task_moves_to_a_vm_without_serving_tasks(case):
    moved = task_moves.choose_moves(find_stalled_tasks(3), [make_view()])
    case.assertEqual([entry.task.id for entry, _ in moved], [TASK])


def test_task_with_a_good_pace_stays(case):
    case.assertEqual(find_stalled_tasks(60), [])


def test_pace_told_on_an_ended_connection_moves_nothing(case):
    """The pace may have changed since, and the stop would come late."""
    made = cluster.Cluster(1)
    made.run(2)
    (link,) = made.nodes[0].owner.list_links()
    link.view.paced = [messages.PacedTask(TASK, 1, 3, 0)]
    arguments = make_state(link.name), [link], lambda _: 0.0, 10.0
    case.assertEqual(len(task_moves.find_stalled_tasks(*arguments)), 1)
    link.detach()
    case.assertEqual(task_moves.find_stalled_tasks(*arguments), [])


def test_task_that_has_just_begun_stays(case):
    case.assertEqual(find_stalled_tasks(3, began=9.5), [])


def test_nothing_moves_where_it_would_work_no_better(case):
    view = make_view(headrooms={'desk': 0.1})
    case.assertEqual(
        task_moves.choose_moves(find_stalled_tasks(3), [view]), []
    )


def test_no_task_moves_to_a_full_closed_or_unsuitable_vm(case):
    views = [
        make_view(filling_milli=14000),
        make_view(closed='unreachable'),
        make_view('vm-1'),
        make_view(capacity=data.Resources(16000, 500)),
    ]
    case.assertEqual(task_moves.choose_moves(find_stalled_tasks(3), views), [])


def test_no_task_moves_beside_a_serving_task_of_unknown_headroom(case):
    """By the log a serving task is there, but its headroom is not reported.

    This happens while the task is new, and between the first heartbeat of a
    restarted side and its next.
    """
    view = make_view()
    view.add_usage(data.Workload(resources=SIZE, image='desk', target_ms=20))
    case.assertEqual(
        task_moves.choose_moves(find_stalled_tasks(3), [view]), []
    )


def test_task_without_checkpoints_stays_where_it_ends_sooner(case):
    """At 90% done and a pace of 30%, it needs a third of a run here."""
    views = [make_view()]
    kept = find_stalled_tasks(30, done=90, run_ms=5000, checkpointable=True)
    case.assertEqual(task_moves.choose_moves(kept, views), [])
    lost = find_stalled_tasks(15, done=90, run_ms=5000)
    case.assertEqual(task_moves.choose_moves(lost, views), [])
    saved = find_stalled_tasks(3, done=50, run_ms=5000, checkpointable=True)
    case.assertEqual(len(task_moves.choose_moves(saved, views)), 1)


def list_first(weight, demands, uneven=True, **fields):
    """Return the stalled tasks that go before waiting ones.

    :param weight: of the stalled task's job
    :param demands: list of (importance, weight, whether it fills)
    """
    stalled = find_stalled_tasks(3, **fields)
    for entry in stalled:
        entry.weight = weight
    waiting = [
        backlog.Demand(
            state.WorkloadRecord(
                workload=data.Workload(importance=importance, fills=fills)
            ),
            weight=other,
        )
        for importance, other, fills in demands
    ]
    views = [make_view('vm-1', uneven=uneven), make_view()]
    return task_moves.list_first(stalled, waiting, views)


def test_stalled_task_goes_first_only_before_all_waiting_ones(case):
    case.assertEqual(len(list_first(10.0, [(RANK, 11.0, True)] * 2)), 1)
    both = [(RANK, 9.0, True), (RANK, 11.0, True)]
    case.assertEqual(list_first(10.0, both), [])
    case.assertEqual(list_first(10.0, [(RANK + 1, 11.0, True)]), [])
    others = [(RANK, 11.0, True), (RANK + 1, 0.0, False)]
    case.assertEqual(len(list_first(10.0, others)), 1)


def test_stalled_tasks_of_an_even_pool_do_not_go_first(case):
    waiting = [(RANK, 11.0, True)]
    case.assertEqual(list_first(10.0, waiting, uneven=False), [])


def test_vm_of_a_move_is_reserved_while_the_task_is_being_stopped(case):
    """Each pass until then would give it to a waiting task again."""
    shard_state = make_state()
    link = Link('vm-1', View([messages.PacedTask(TASK, 1, 3, 0)]))
    (entry,) = task_moves.find_stalled_tasks(
        shard_state, [link], lambda _: 0.0, 10.0
    )
    reserved = task_moves.ReservedDestinations()

    def count(now):
        view = make_view()
        reserved.apply([view], now)
        return len(view.fillings)

    shard_state.apply(events.TaskEvicting(TASK, 1))
    reserved.record(entry, 'vm-2', 10.0)
    case.assertEqual(count(10.1), 1)
    case.assertEqual(count(10.0 + task_moves.MAX_RESERVED_SECONDS), 0)
    reserved.record(entry, 'vm-2', 20.0)
    shard_state.apply(events.TaskRequeued(TASK, 1))
    case.assertEqual(count(20.1), 0)


def find_two_stalled_tasks():
    """Return two stalled tasks of one step, on vm-1."""
    step = data.Workload(count=2, resources=SIZE, fills=True, image='plan')
    shard_state = state.ShardState()
    shard_state.apply(events.JobAccepted(1, data.Job(ID, steps=[step])))
    paced = []
    for number in range(2):
        task = f'{ID}.0.0.{number}'
        shard_state.apply(events.TaskPlaced(task, 1, 'vm-1'))
        paced.append(messages.PacedTask(task, 1, 3))
    link = Link('vm-1', View(paced))
    return task_moves.find_stalled_tasks(
        shard_state, [link], lambda _: 0.0, 10.0
    )


def test_second_task_does_not_move_into_room_that_the_first_took(case):
    stalled = find_two_stalled_tasks()
    views = [make_view('vm-2', filling_milli=12_000), make_view('vm-1')]
    case.assertEqual(len(task_moves.choose_moves(stalled, views)), 1)
    both = [make_view(filling_milli=12_000) for _ in range(2)]
    case.assertEqual(len(task_moves.choose_moves(stalled, both)), 2)


def test_moved_task_does_not_return_at_once(case):
    """The VM that it came from looks best, as its share there is free."""
    history = task_moves.MoveHistory()
    history.record_move(TASK, 'vm-1', 0.0)
    shard_state = make_state(job=ID)
    shard_state.apply(events.TaskRequeued(TASK, 1))
    views = [make_view('vm-1'), make_view('vm-2', filling_milli=8000)]
    places = []
    for now in (1.0, 1.0 + task_moves.AVOID_ORIGIN_SECONDS):
        (demand,) = pass_inputs.list_demands(
            shard_state, lambda _: frozenset(), 1
        )
        demand.moved_from = history.list_recent_origins(now)
        done = pass_inputs.plan(shard_state, [demand], views, {}, 1)
        places += [placed.vm for placed in done.placements]
        views = [make_view('vm-1'), make_view('vm-2', filling_milli=8000)]
    case.assertEqual(places, ['vm-2', 'vm-1'])


def test_task_that_moved_twice_returns_to_neither_vm_at_once(case):
    history = task_moves.MoveHistory()
    history.record_move(TASK, 'vm-1', 0.0, 60.0)
    history.record_move(TASK, 'vm-2', 20.0)
    origins = history.list_recent_origins(29.0)
    case.assertEqual(origins, {TASK: {'vm-1', 'vm-2'}})
    case.assertEqual(history.list_recent_origins(59.0), {TASK: {'vm-1'}})
    case.assertEqual(history.list_recent_origins(60.0), {})


def test_moved_task_returns_if_no_other_vm_has_room(case):
    shard_state = make_state()
    shard_state.apply(events.TaskRequeued(TASK, 1))
    (demand,) = pass_inputs.list_demands(shard_state, lambda _: frozenset(), 1)
    demand.moved_from = {TASK: {'vm-1'}}
    done = pass_inputs.plan(shard_state, [demand], [make_view('vm-1')], {}, 1)
    case.assertEqual(done.placements, [])
    demand.accept_any_vm()
    done = pass_inputs.plan(shard_state, [demand], [make_view('vm-1')], {}, 1)
    case.assertEqual(len(done.placements), 1)


def test_task_that_must_not_return_does_not_block_others(case):
    step = data.Workload(count=2, resources=SIZE, fills=True, image='plan')
    shard_state = make_state()
    shard_state.apply(events.TaskRequeued(TASK, 1))
    job = data.Job(ID[::-1], steps=[step])
    shard_state.apply(events.JobAccepted(1, job))
    demands = pass_inputs.list_demands(shard_state, lambda _: frozenset(), 1)
    for demand in demands:
        demand.moved_from = {TASK: {'vm-1'}}
    done = pass_inputs.plan(shard_state, demands, [make_view('vm-1')], {}, 1)
    case.assertEqual(len(done.placements), 2)


def make_pressed_view(weight):
    """Return a view filled by a task whose job has a weight."""
    view = make_view(headrooms={'desk': 0.0})
    view.record_filling(
        data.Workload(resources=SIZE, image='plan'), weight, 1.0
    )
    return view


def test_pace_is_high_where_others_yield(case):
    size = data.Workload(resources=SIZE, image='plan', fills=True)
    case.assertEqual(make_pressed_view(90.0).predict_pace(size, 10.0), 1.0)
    case.assertEqual(make_pressed_view(10.0).predict_pace(size, 90.0), 0.0)


def test_headroom_of_yielding_tasks_is_used_once(case):
    size = data.Workload(resources=SIZE, image='plan', fills=True)
    view = make_pressed_view(90.0)
    view.add_task(size, 10.0)
    case.assertEqual(view.predict_pace(size, 20.0), 0.0)
    case.assertEqual(view.predict_pace(size, 5.0), 1.0)


def test_task_that_requests_no_processor_has_full_pace(case):
    size = data.Resources(0, 1000)
    step = data.Workload(resources=size, image='plan', fills=True)
    view = make_view(headrooms={'desk': 0.0})
    view.add_task(step, 1.0)
    case.assertEqual(view.predict_pace(step, 1.0), 1.0)
