# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Moves filling tasks that make little progress to VMs where they would.

A filling task (``Workload.fills``) that slows the serving tasks beside it is
slowed down itself, to almost no progress, while it holds memory and its job
waits for it. Such a task is called stalled. Once it would end sooner on
another VM, the cost of the move included, it is checkpointed, stopped and
placed like any other, except on the VM that it came from. A task without
checkpoints starts again from the beginning.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler.decisions import precedence

REASON_STALLED = 'hardly-works-there'
# A task at this pace or less, in percent, is stalled.
MAX_STALLED_PERCENT = 30
# Least time since the attempt was placed: its pace settles first, and a short
# peak of the load may pass.
MIN_RUNNING_SECONDS = 1.2
# Least pace, 0 to 1, that a move must give.
MIN_DESTINATION_PACE = 0.8
# Duration of a move: the stop (0.2 to 0.9 s on the platforms known), the log
# entry, and the start from a checkpoint (0.1 to 0.25 s).
MOVE_COST_MS = 1200
# A move must cut the remaining time to less than this share, as the pace on
# the present VM may recover within seconds.
MAX_TIME_SHARE = 0.6
# Run time of a task without an estimate: the mean of filling tasks on the
# platforms known.
DEFAULT_RUN_MS = 4500
# Time during which a moved task is not placed on the VM that it came from.
AVOID_ORIGIN_SECONDS = 10.0
# Maximum number of moves in one pass. It is small, so that the effect of the
# moves is seen before the next pass.
MAX_MOVES_PER_PASS = 4
# Time for which the VM of a move is reserved while the task is being stopped.
MAX_RESERVED_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class StalledTask:
    """A task that makes little progress, and its workload.

    :param percent: the pace that its side allows it, in percent
    :param done: its progress, in percent
    :param weight: its job's weight, as ``precedence.Claim.weigh`` returns it
    """

    task: object = None
    workload: object = None
    percent: int = 0
    done: int = 0
    weight: float = precedence.LAST_WEIGHT

    @property
    def run_ms(self):
        """Its estimated whole run time at full pace, in ms."""
        return self.workload.run_ms or DEFAULT_RUN_MS

    @property
    def remaining_here_ms(self):
        """Its estimated remaining time at its present pace, in ms."""
        left = (100 - self.done) / max(1, self.percent)
        return left * self.run_ms

    def estimate_elsewhere_ms(self, pace):
        """Return its estimated remaining time after a move, in ms.

        :param pace: its pace on the other VM, 0 to 1
        """
        kept = self.done if self.workload.checkpointable else 0
        left = (100 - kept) / 100 / pace
        return MOVE_COST_MS + left * self.run_ms

    @property
    def precedence(self):
        """Its sort key: importance, then weight; the lowest goes first."""
        return (-self.workload.importance, self.weight)


class MoveHistory:
    """Tracks the VMs that moved tasks must not return to yet."""

    def __init__(self):
        # The time at which each avoidance ends is kept by (task, VM).
        self._ends = {}

    def record_move(self, task, vm, now, seconds=AVOID_ORIGIN_SECONDS):
        """Record that a task is moved away from a VM.

        :param seconds: time during which it must not return there
        """
        self._ends[(task, vm)] = now + seconds

    def list_recent_origins(self, now):
        """Return the sets of VMs not to return to yet, by task id."""
        self._ends = {n: end for n, end in self._ends.items() if now < end}
        origins = collections.defaultdict(set)
        for task, vm in self._ends:
            origins[task].add(vm)
        return dict(origins)


def find_stalled_tasks(state, links, get_placed_at, now, weigher=None):
    """Return the stalled filling tasks, the slowest first.

    :param links: list of ``members.MemberLink``
    :param get_placed_at: function from (task id, attempt) to when it was
        placed
    :param weigher: a ``precedence.Weigher``; without one all tasks rank last
    :returns: list of :class:`StalledTask`
    """
    found = []
    for link in links:
        held = state.held[link.name]
        for paced in link.view.paced:
            task = held.get(paced.task)
            if task is None or task.attempt != paced.attempt:
                continue
            if task.state != data.TaskState.PLACED:
                continue
            running_seconds = now - get_placed_at((task.id, task.attempt))
            if (
                paced.percent > MAX_STALLED_PERCENT
                or running_seconds < MIN_RUNNING_SECONDS
            ):
                continue
            record = state.find_workload(task.id)
            if record.workload.gang:
                # Moving one member would stop all the others.
                continue
            weight = (
                weigher.weigh(record) if weigher else precedence.LAST_WEIGHT
            )
            found.append(
                StalledTask(
                    task, record.workload, paced.percent, paced.done, weight
                )
            )
    found.sort(key=lambda task: task.percent)
    return found


def list_first(stalled, demands, views):
    """Return the stalled tasks that get good VMs before waiting ones.

    These are the tasks in uneven pools whose jobs rank before those of all
    waiting filling tasks. Without any waiting, none needs to go before them.

    :param stalled: list of :class:`StalledTask`
    :param demands: list of ``backlog.Demand``
    :param views: list of ``vmview.VmView``
    :returns: list of :class:`StalledTask`, in the order of precedence
    """
    uneven = {view.vm.name for view in views if view.uneven}
    if not uneven:
        return []
    waiting = [
        (-demand.record.workload.importance, demand.weight)
        for demand in demands
        if demand.record.workload.fills
    ]
    if not waiting:
        return []
    limit = min(waiting)
    first = [
        entry
        for entry in stalled
        if entry.task.vm in uneven and entry.precedence < limit
    ]
    first.sort(key=lambda entry: entry.precedence)
    return first


class ReservedDestinations:
    """Reserves the VMs of moves that go before waiting tasks.

    A task is placed on its new VM only once it has been stopped. Without a
    reservation, the next pass would give that VM to a waiting task.
    """

    def __init__(self):
        # (:class:`StalledTask`, VM name, end of the reservation) by task.
        self._rows = {}

    def record(self, entry, vm, now):
        """Reserve a VM for a task that is being stopped."""
        end = now + MAX_RESERVED_SECONDS
        self._rows[entry.task.id] = (entry, vm, end)

    def apply(self, views, now):
        """Add the tasks that are still being stopped to their new VMs."""
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if row[0].task.state == data.TaskState.EVICTING and now < row[2]
        }
        if not self._rows:
            return
        by_name = {view.vm.name: view for view in views}
        for entry, vm, _ in self._rows.values():
            if vm in by_name:
                by_name[vm].add_task(entry.workload, entry.weight)


def choose_moves(stalled, views, limit=MAX_MOVES_PER_PASS):
    """Return the stalled tasks to move, and their new VMs.

    :param stalled: list of :class:`StalledTask`
    :param views: list of ``vmview.VmView`` of a pass; the chosen tasks are
        added to them
    :param limit: maximum number of moves
    :returns: list of (:class:`StalledTask`, VM name)
    """
    chosen = []
    # Tasks of one workload have the same destinations, until a move changes
    # one of the views.
    destinations = {}
    idle = None
    for entry in stalled:
        if len(chosen) >= limit:
            break
        if not _is_worthwhile(entry, 1.0):
            continue
        name = ids.split_task_id(entry.task.id)
        if idle is None:
            idle = _list_idle(views)
        if name not in destinations:
            destinations[name] = _list_destinations(entry, idle)
        destination = _pick_destination(entry, destinations[name])
        if destination is not None:
            destination.add_task(entry.workload, entry.weight)
            destinations.clear()
            idle = None
            chosen.append((entry, destination.vm.name))
    return chosen


def _list_idle(views):
    """Return the views that tasks may move to, with their idle processors.

    :returns: list of (thousandths of a processor, view)
    """
    return [
        (view.capacity.cpu_milli - view.busy_milli, view)
        for view in views
        if not view.closed and not view.suspects
    ]


def _list_destinations(entry, idle):
    """Return the views with room for a stalled task, the best pace first.

    :param idle: as :func:`_list_idle` returns it
    :returns: list of (pace, view)
    """
    workload = entry.workload
    found = []
    for idle_milli, view in idle:
        if workload.resources.cpu_milli > idle_milli:
            continue
        if not workload.reserved.fits(view.room) or not view.suits(workload):
            continue
        pace = view.predict_pace(workload, entry.weight)
        if pace >= MIN_DESTINATION_PACE:
            found.append((pace, view))
    found.sort(key=lambda row: -row[0])
    return found


def _pick_destination(entry, destinations):
    """Return the view that gives a stalled task the best pace, or None.

    :param destinations: as :func:`_list_destinations` returns them
    """
    for pace, view in destinations:
        if view.vm.name != entry.task.vm:
            return view if _is_worthwhile(entry, pace) else None
    return None


def _is_worthwhile(entry, pace):
    """Return whether a move makes a stalled task end sufficiently sooner."""
    return (
        entry.estimate_elsewhere_ms(pace)
        < MAX_TIME_SHARE * entry.remaining_here_ms
    )
