# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A hung task moves to a VM with room, a bounded number of times."""

import types

from portwharf.core import codec
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import hung_tasks
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import state

ID = '5c0e7a21d94b36f8'
STEP = f'{ID}.0.0'
SIZE = data.Resources(4000, 1000)
RUN_MS = 20_000


class World:
    """A step whose tasks run on vm-1, and a mover."""

    def __init__(self, count=1, placed=None, **fields):
        """Take the fields of the step.

        :param placed: number of its tasks that are placed, all if None
        """
        values = {'resources': SIZE, 'run_ms': RUN_MS, **fields}
        step = data.Workload(count=count, **values)
        self.state = state.ShardState()
        self.state.apply(events.JobAccepted(1, data.Job(ID, steps=[step])))
        for number in range(count if placed is None else placed):
            self.place(f'{STEP}.{number}', 1)
        self.mover = hung_tasks.HungTaskMover(self.state, lambda _: 0.0)
        self.views = [make_view('vm-1'), make_view('vm-2')]

    def place(self, task, attempt):
        """Place an attempt on vm-1."""
        self.state.apply(events.TaskPlaced(task, attempt, 'vm-1'))

    def choose(self, worked_ms, done=0, attempt=1, now=1000.0):
        """Return what moves and what is kept, if all tasks hang."""
        reports = [
            messages.HungTask(task, attempt, done, worked_ms)
            for task in self.state.held['vm-1']
        ]
        view = types.SimpleNamespace(reported=True, hung=reports)
        link = types.SimpleNamespace(name='vm-1', view=view)
        weigher = precedence.Weigher(self.state, 1)
        return self.mover.choose([link], self.views, weigher, now)

    def count_moves(self, worked_ms, **fields):
        """Return how many tasks move."""
        return len(self.choose(worked_ms, **fields)[0])

    def move(self, task, attempt):
        """Evict an attempt and place the next one on vm-1."""
        self.state.apply(events.TaskEvicting(task, attempt))
        self.state.apply(events.TaskRequeued(task, attempt))
        self.place(task, attempt + 1)


def make_view(name):
    """Return the view of an empty VM."""
    return vmview.VmView(data.Vm(name), data.Resources(16000, 64000))


def test_task_moves_after_a_large_part_of_its_run_time(case):
    case.assertEqual(World().count_moves(9_000), 0)
    case.assertEqual(World().count_moves(10_000), 1)


def test_short_task_is_given_the_least_time(case):
    case.assertEqual(World(run_ms=100).count_moves(5_900), 0)
    case.assertEqual(World(run_ms=100).count_moves(6_000), 1)


def test_task_without_checkpoints_hangs_for_long_against_its_loss(case):
    case.assertEqual(World().count_moves(30_000, done=90), 0)
    case.assertEqual(World().count_moves(36_000, done=90), 1)
    saved = World(checkpointable=True)
    case.assertEqual(saved.count_moves(10_000, done=90), 1)


def test_standing_task_is_given_far_more_than_its_stated_startup(case):
    fields = {'kind': data.Kind.STANDING, 'run_ms': 2000}
    case.assertEqual(World(**fields).count_moves(20_000), 0)
    case.assertEqual(World(**fields).count_moves(24_000), 1)
    at_work = World(**fields).count_moves(99_000, done=100)
    case.assertEqual(at_work, 0)


def test_member_of_a_gang_stays(case):
    case.assertEqual(World(gang=True).count_moves(99_000), 0)


def test_task_stays_while_no_other_vm_has_room(case):
    world = World()
    world.views = [make_view('vm-1')]
    _, (kept,) = world.choose(10_000)
    case.assertEqual(kept.kept, hung_tasks.KEPT_NO_ROOM)
    case.assertEqual(world.choose(11_000), ([], []))


def test_moves_in_one_pass_are_bounded_by_number_and_room(case):
    case.assertEqual(World(3).count_moves(10_000), 2)
    world = World(3)
    world.views = [make_view('vm-1'), make_view('vm-2')]
    world.views[1].reserved = data.Resources(12_000, 0)
    case.assertEqual(world.count_moves(10_000), 1)


def test_each_move_doubles_the_time_and_their_number_is_bounded(case):
    world = World()
    task = f'{STEP}.0'
    for moved in range(hung_tasks.MAX_MOVES):
        limit_ms = 10_000 * 2**moved
        early = world.count_moves(limit_ms - 1, attempt=1 + moved)
        case.assertEqual(early, 0)
        case.assertEqual(world.count_moves(limit_ms, attempt=1 + moved), 1)
        world.move(task, 1 + moved)
    moves, (kept,) = world.choose(10_000_000, attempt=5)
    case.assertEqual(moves, [])
    case.assertEqual(kept.kept, hung_tasks.KEPT_MOVED_OFTEN)


def test_progress_after_a_move_resets_the_bound(case):
    world = World()
    case.assertEqual(world.count_moves(10_000, done=10), 1)
    world.move(f'{STEP}.0', 1)
    case.assertEqual(world.count_moves(10_000, done=10, attempt=2), 0)
    case.assertEqual(world.count_moves(10_000, done=11, attempt=2), 1)


def test_no_more_of_a_step_are_away_than_it_allows(case):
    fields = {'kind': data.Kind.STANDING, 'run_ms': 500, 'most_away': 1}
    case.assertEqual(World(2, **fields).count_moves(10_000), 1)
    world = World(2, placed=1, **fields)
    moves, (kept,) = world.choose(10_000)
    case.assertEqual(moves, [])
    case.assertEqual(kept.kept, hung_tasks.KEPT_MANY_AWAY)


def test_heartbeat_of_an_older_side_reports_no_hung_task(case):
    beat = codec.from_map(messages.Heartbeat, {'side_ms': 1, 'epoch': 2})
    case.assertEqual(beat.hung, [])


def test_standing_task_that_was_at_work_since_its_move_counts_anew(case):
    world = World(kind=data.Kind.STANDING, run_ms=500)
    case.assertEqual(world.count_moves(6_000), 1)
    world.move(f'{STEP}.0', 1)
    case.assertEqual(world.count_moves(6_000, attempt=2, now=30.0), 0)
    case.assertEqual(world.count_moves(6_000, attempt=2, now=40.0), 1)
