# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts that are committed in advance, for outages of the store.

No task may start before its placement is in the log, and the log cannot grow
while the store is down. So some waiting batch tasks are assigned in advance to
VMs that have no room for them yet. Normally, once there is room they are
placed on that VM or requeued for another. While an append is stalled, the
owner starts a prepared task as soon as tasks that ended on its VM have freed
enough room; the side checks that as well. Tasks that the stalled append itself
prepares are not started, as a later owner would not know of them.

An owner may requeue a prepared task only while it is certain that nobody has
started it: it has prepared the task itself and not started it. A former owner
may have started a task that it prepared, and the side's report lacks a start
that its worker has not confirmed. Such a task is stopped; the side reports it
as gone once it surely does not run. For a silent VM the owner has to wait, as
for a running task.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import reconcile

MAX_PREPARED_PER_VM = 2

_ENDED_STATES = frozenset(
    (
        data.RunState.SUCCEEDED,
        data.RunState.FAILED,
        data.RunState.CHECKPOINTED,
        data.RunState.GONE,
    )
)


@dataclasses.dataclass(slots=True)
class _Freed:
    """Resources that a VM's attempts have freed since an append stalled.

    :param seen: (task, attempt) of the attempts that are counted
    """

    room: data.Resources = dataclasses.field(default_factory=data.Resources)
    seen: set = dataclasses.field(default_factory=set)


class PreparedStarts:
    """The prepared tasks of one shard, under one owner."""

    def __init__(self, state):
        self._state = state
        # (task, attempt) of prepared tasks that this owner has started.
        self._started = set()
        # The same of those that a former owner may have started, and of those
        # among them that the side was told to stop on this connection.
        self._inherited = {
            (task.id, task.attempt)
            for tasks in state.prepared.values()
            for task in tasks.values()
        }
        self._stopping = set()
        self._freed = {}

    def prepare_tasks(self, demands, views):
        """Prepare waiting batch tasks on VMs that are large enough.

        :param demands: list of ``backlog.Demand``, in order, with what
            is still waiting after a pass
        :param views: list of ``vmview.VmView``
        :returns: list of events
        """
        chosen = []
        space = {
            view.vm.name: MAX_PREPARED_PER_VM
            - len(self._state.prepared[view.vm.name])
            for view in views
            if not view.closed
        }
        for demand in demands:
            if not any(left > 0 for left in space.values()):
                # Listing the tasks of the remaining demands is expensive.
                break
            workload = demand.record.workload
            if workload.kind != data.Kind.BATCH or workload.job:
                continue
            if demand.has_suspects:
                # Its crashes could not be logged during an outage.
                continue
            rows = zip(demand.tasks, demand.attempts, strict=True)
            for task, attempt in rows:
                vm = _pick_vm(demand, views, space)
                if vm is None:
                    break
                space[vm] -= 1
                chosen.append(events.TaskPrepared(task, attempt, vm))
        return chosen

    def resolve(self, views, is_lost, may_replace, succeeded=frozenset()):
        """Place prepared tasks where there is room, or requeue them.

        Those that cannot be requeued yet have to be stopped.

        :param views: list of ``vmview.VmView``; their room is used up
        :param is_lost: function of a VM's name; whether its tasks count as
            lost
        :param may_replace: function of a VM's name; whether an exclusive
            task of it may start elsewhere
        :param succeeded: set of ids of tasks that must not start any more
        :returns: list of events, and list of ``state.TaskRecord`` to stop
        """
        rows = {view.vm.name: view for view in views}
        resolved = []
        stopped = []
        for vm, tasks in self._state.prepared.items():
            for task in list(tasks.values()):
                event = self._resolve_task(
                    task,
                    rows.get(vm),
                    rows.values(),
                    is_lost,
                    may_replace,
                    task.id in succeeded,
                )
                if event is None:
                    continue
                if self._may_run(event, is_lost(vm)):
                    self._stopping.add((task.id, task.attempt))
                    stopped.append(task)
                else:
                    resolved.append(event)
        return resolved, stopped

    def record_full_report(self, vm):
        """Record that a side's new connection has begun.

        Stops that were sent before may be lost.
        """
        for task in self._state.prepared[vm].values():
            self._stopping.discard((task.id, task.attempt))

    def start_in_freed_room(self, vm, reports, unlogged):
        """Start prepared tasks in the room that ended attempts have freed.

        Called for reports that arrive while an append is stalled.

        :param reports: list of ``messages.TaskReport``
        :param unlogged: set of (task, attempt) whose preparation is not in
            the log; a later owner would not know of their start
        :returns: list of ``messages.StartTask`` to send at once
        """
        freed = self._freed.setdefault(vm, _Freed())
        for report in reports:
            self._add_freed(vm, report, freed)
        starts = []
        for task in self._state.prepared[vm].values():
            size = self._state.find_workload(task.id).workload.resources
            name = (task.id, task.attempt)
            if name in self._started or name in unlogged:
                continue
            if name in self._stopping:
                continue
            if reconcile.is_unwanted(self._state, task):
                continue
            if not size.fits(freed.room):
                continue
            freed.room = freed.room.subtract(size)
            self._started.add(name)
            starts.append(reconcile.make_start(self._state, task))
        return starts

    def list_started(self, vm):
        """Return the prepared tasks of a VM that were told to start."""
        return [
            task
            for task in self._state.prepared[vm].values()
            if (task.id, task.attempt) in self._started
        ]

    def clear_freed(self):
        """Forget the freed resources, as all events of a batch are logged."""
        self._freed.clear()

    def _add_freed(self, vm, report, freed):
        """Count what an attempt's end has freed, once."""
        name = (report.task, report.attempt)
        task = self._state.held[vm].get(report.task)
        if report.state not in _ENDED_STATES or name in freed.seen:
            return
        if task is None or task.attempt != report.attempt:
            return
        freed.seen.add(name)
        size = self._state.find_workload(task.id).workload.resources
        freed.room = freed.room.add(size)

    def _may_run(self, event, is_lost):
        """Tell whether a requeued task may have been started.

        :param is_lost: whether the tasks of its VM count as lost
        """
        if not isinstance(event, events.TaskRequeued) or is_lost:
            return False
        return (event.task, event.attempt) in self._inherited

    def _resolve_task(
        self, task, view, views, is_lost, may_replace, has_succeeded
    ):
        """Return the event that places or requeues a task, or None."""
        if is_lost(task.vm):
            workload = self._state.find_workload(task.id).workload
            if workload.exclusive and not may_replace(task.vm):
                return None
            return events.TaskRequeued(task.id, task.attempt)
        name = (task.id, task.attempt)
        if name in self._started or name in self._stopping or view is None:
            return None
        if not view.reported:
            # A previous owner may have started it while the store was down.
            return None
        is_unwanted = reconcile.is_unwanted(self._state, task)
        if view.closed or is_unwanted or has_succeeded:
            return events.TaskRequeued(task.id, task.attempt)
        size = self._state.find_workload(task.id).workload.resources
        if size.fits(view.room):
            view.reserved = view.reserved.add(size)
            return events.TaskPlaced(task.id, task.attempt, task.vm)
        if any(not one.closed and size.fits(one.room) for one in views):
            return events.TaskRequeued(task.id, task.attempt)
        return None


def _pick_vm(demand, views, space):
    """Return the usable VM with the fewest prepared tasks, or None.

    :param space: how many more tasks each VM may have prepared, by name
    """
    size = demand.record.workload.resources
    usable = [
        view.vm.name
        for view in views
        if space.get(view.vm.name, 0) > 0
        and view.vm.name not in demand.avoided
        and size.fits(view.capacity)
    ]
    return max(usable, key=lambda name: space[name], default=None)
