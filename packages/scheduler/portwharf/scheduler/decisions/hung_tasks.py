# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Moves tasks that make no progress to other VMs.

A worker may list a task as running while the task hangs. Its VM is heard and
its lease renewed, so that nothing else ends it. The sides report attempts
whose progress does not change (``messages.HungTask``), in time scaled to their
CPU share. An attempt is hung once that time is long against the run time that
its task should have, or against the start-up time of a standing task. It is
checkpointed, stopped and placed on another VM.

A task may hang wherever it runs. Each move doubles the time after which its
next attempt is hung, and the number of moves without progress is bounded.
Members of gangs are not moved, as that would stop all other members.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import task_moves

REASON_HUNG = 'makes-no-progress'
# Least time without progress of a hung attempt, at its full share.
MIN_HUNG_MS = 6000
# Time without progress, as a share of the predicted run time, after which a
# batch attempt is hung. Progress is in whole percent, and a run time may be
# ten times the predicted one.
BATCH_SHARE = 0.5
# The same for the run time that a task without checkpoints would lose.
LOSS_SHARE = 2.0
# The same for a standing task's start-up time.
STANDING_SHARE = 12.0
# Run time of a task without an estimate.
DEFAULT_RUN_MS = 20_000
# Moves of a task that makes no progress in between.
MAX_MOVES = 4
# Maximum number of moves in one pass.
MAX_MOVES_PER_PASS = 2
# Time during which a moved task is not placed on the VM that it came from.
AVOID_ORIGIN_SECONDS = 60.0
# A standing task whose attempt has lasted for this much longer than it hangs
# has made progress.
MIN_PROGRESS_SECONDS = 30.0

KEPT_NO_ROOM = 'no-room-elsewhere'
KEPT_MOVED_OFTEN = 'moved-too-often'
KEPT_MANY_AWAY = 'too-many-of-its-step-away'

_FULL = 100
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class HungAttempt:
    """An attempt that makes no progress.

    :param task: its ``state.TaskRecord``
    :param record: its ``state.WorkloadRecord``
    :param report: the ``messages.HungTask`` of its side
    :param run_ms: predicted run time, or the start-up time of a standing task
    :param moves: earlier moves of its task without progress since
    :param limit_ms: time without progress from which it is hung
    :param kept: why it is not moved, or ''
    """

    task: object = None
    record: object = None
    report: object = None
    run_ms: int = 0
    moves: int = 0
    limit_ms: int = 0
    kept: str = ''


@dataclasses.dataclass(slots=True)
class _Moved:
    """The moves of one task since it last made progress.

    :param done: its progress at the last move, in percent
    """

    count: int = 0
    done: int = 0


class HungTaskMover:
    """Decides which hung tasks move, and bounds the moves of each.

    The moves are kept in the owner's memory; a new owner counts anew.
    """

    def __init__(self, state, get_placed_at):
        """Take the shard's ``state.ShardState``.

        :param get_placed_at: function from (task id, attempt) to when it was
            placed, or else when the owner began
        """
        self._state = state
        self._get_placed_at = get_placed_at
        self._moved = {}
        # Attempts that are kept where they are, with the reason that was last
        # returned for each.
        self._kept = {}

    def choose(self, links, views, weigher, now):
        """Return the :class:`HungAttempt` to move, and those newly kept.

        :param links: list of ``members.MemberLink``
        :param views: list of ``vmview.VmView`` after a pass; the moved tasks
            are added to them
        :param weigher: a ``precedence.Weigher``
        :param now: monotonic time, in seconds
        :returns: (to move, kept for a new reason)
        """
        hung = self._find_hung(links, weigher, now)
        moves, kept = [], {}
        for one in hung:
            if len(moves) >= MAX_MOVES_PER_PASS:
                break
            leaving = sum(other.record is one.record for other in moves)
            one.kept = _find_obstacle(one, leaving) or _reserve(
                one, views, weigher
            )
            if one.kept:
                kept[(one.task.id, one.task.attempt)] = one
            else:
                self._record_move(one)
                moves.append(one)
        known = self._kept
        self._kept = {name: one.kept for name, one in kept.items()}
        new = [one for n, one in kept.items() if known.get(n) != one.kept]
        return moves, new

    def forget(self, live):
        """Drop the moves of all tasks but those of live workloads.

        :param live: ids of the workloads that may still run
        """
        self._moved = {
            task: moved
            for task, moved in self._moved.items()
            if getattr(self._state.find_workload(task), 'id', '') in live
        }

    def _find_hung(self, links, weigher, now):
        """Return the :class:`HungAttempt` of all VMs, the longest first."""
        found = []
        for link in links:
            if not link.view.reported:
                continue
            held = self._state.held[link.name]
            for report in link.view.hung:
                task = held.get(report.task)
                if task is None or task.attempt != report.attempt:
                    continue
                one = self._assess(task, report, weigher, now)
                if one is not None and report.worked_ms >= one.limit_ms:
                    found.append(one)
        found.sort(key=lambda one: one.limit_ms - one.report.worked_ms)
        return found

    def _assess(self, task, report, weigher, now):
        """Return the :class:`HungAttempt` of a report, None if exempt."""
        record = self._state.find_workload(task.id)
        workload = record.workload
        if task.state != data.TaskState.PLACED or record.cancelled:
            return None
        # Workers tell the progress of the tasks of jobs only.
        if not workload.job or workload.gang:
            return None
        if workload.kind == data.Kind.STANDING and report.done >= _FULL:
            return None
        run_ms = weigher.get_step_forecast(record).run_ms or DEFAULT_RUN_MS
        moves = self._count_moves(task, record, report, now)
        limit_ms = _compute_limit_ms(workload, run_ms, report.done)
        return HungAttempt(
            task, record, report, int(run_ms), moves, int(limit_ms * 2**moves)
        )

    def _count_moves(self, task, record, report, now):
        """Return the moves of a task without progress after them."""
        moved = self._moved.get(task.id)
        if moved is None:
            return 0
        if record.workload.kind == data.Kind.STANDING:
            age = now - self._get_placed_at((task.id, task.attempt))
            progressed = (
                age - report.worked_ms / _MS_PER_SECOND > MIN_PROGRESS_SECONDS
            )
        else:
            progressed = report.done > moved.done
        return 0 if progressed else moved.count

    def _record_move(self, one):
        self._moved[one.task.id] = _Moved(one.moves + 1, one.report.done)


def _compute_limit_ms(workload, run_ms, done):
    """Return the time without progress from which a first attempt is hung.

    :param run_ms: predicted run time, or the start-up time of a standing task
    :param done: its progress, in percent
    """
    if workload.kind == data.Kind.STANDING:
        return max(MIN_HUNG_MS, STANDING_SHARE * run_ms)
    lost_ms = 0 if workload.checkpointable else run_ms * done / _FULL
    return max(MIN_HUNG_MS, BATCH_SHARE * run_ms, LOSS_SHARE * lost_ms)


def _find_obstacle(one, leaving):
    """Return why a hung attempt must not be stopped, or ''.

    :param leaving: placed tasks of its step that this pass stops
    """
    if one.moves >= MAX_MOVES:
        return KEPT_MOVED_OFTEN
    workload = one.record.workload
    if not workload.most_away:
        return ''
    placed = sum(
        task.state == data.TaskState.PLACED for task in one.record.tasks
    )
    away = workload.count - placed + leaving
    return KEPT_MANY_AWAY if away >= workload.most_away else ''


def _reserve(one, views, weigher):
    """Reserve room for a hung task on another VM.

    :returns: why there is none, or ''
    """
    workload = one.record.workload
    weight = weigher.weigh(one.record) if workload.fills else 0.0
    for view in views:
        if view.vm.name != one.task.vm and _has_room(one, view, weight):
            view.add_task(workload, weight)
            return ''
    return KEPT_NO_ROOM


def _has_room(one, view, weight):
    """Return whether a VM could take a hung task now."""
    workload = one.record.workload
    if view.closed or view.suspects or not view.suits(workload):
        return False
    if not workload.reserved.fits(view.room):
        return False
    if workload.most_per_vm:
        there = sum(task.vm == view.vm.name for task in one.record.tasks)
        if there >= workload.most_per_vm:
            return False
    if not workload.fills:
        return True
    idle_milli = view.compute_idle_milli(weight)
    return (
        workload.resources.cpu_milli <= idle_milli
        and view.predict_pace(workload, weight)
        >= task_moves.MIN_DESTINATION_PACE
    )
