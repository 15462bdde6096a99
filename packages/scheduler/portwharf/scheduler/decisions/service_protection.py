# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Protects services from batch work, and evicts tasks for more important work.

Feeds the sides' measurements into the interference model, applies the remedies
that it calls for, and selects the tasks to evict for waiting work that is more
important. The state lives in the owner's memory: a new owner learns it anew
within minutes, and is cautious until then. Only which attempts were throttled
is in the log, because they have to be released even if their services have
ended.
"""

import collections

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import remedies
from portwharf.scheduler.decisions import vm_choice

# A batch task is evicted only for work that is this much more important.
IMPORTANCE_MARGIN = 200
# A measurement of fewer requests is not learnt from.
MIN_REQUESTS = 5
# Older measurements of a replica are ignored.
STALE_SECONDS = 60.0
REASON_ROOM = 'makes-room'
_ABOVE_ANY_IMPORTANCE = 10_000
_MS_PER_SECOND = 1000


class ServiceProtection:
    """Tracks services and batch work on the VMs of one shard.

    ``now`` is the owner's monotonic clock, in seconds.
    """

    def __init__(self, state, began):
        """Take the shard's ``state.ShardState``.

        :param began: when the owner began, on its monotonic clock
        """
        self._state = state
        self._began = began
        self.model = interference.Model()
        self.remedies = remedies.Remedies(self.model)
        self._timeline = interference.Timeline()
        self._peaks = remedies.PeakLoadTracker()
        self._service_views = collections.defaultdict(dict)
        self._measured_at = {}
        self._placed_at = {}
        # Attempts that are throttled, and those that surely are not. One in
        # neither set may be throttled: by a former owner, or because its
        # release was lost.
        self._throttled = set()
        self._unthrottled = set()

    def record_placement(self, attempt, now):
        """Record that an attempt was placed.

        :param attempt: (task id, attempt number)
        """
        self._placed_at[attempt] = now
        self._unthrottled.add(attempt)

    def record_lost_commands(self, vm):
        """Record that commands to a VM may have been lost."""
        held = self._state.held[vm].values()
        attempts = {(task.id, task.attempt) for task in held}
        self._throttled -= attempts
        self._unthrottled -= attempts

    def get_placed_at(self, attempt):
        """Return when an attempt was placed, or else when the owner began.

        :param attempt: (task id, attempt number)
        """
        return self._placed_at.get(attempt, self._began)

    def has_placed(self, attempt):
        """Return whether this owner has placed an attempt.

        :param attempt: (task id, attempt number)
        """
        return attempt in self._placed_at

    def record_measures(self, vm, measures, targets, now):
        """Record a side's measurements of its services.

        :param measures: list of ``messages.ServiceMeasure``
        :param targets: map of service to ``configuration.Target``
        """
        for measure in measures:
            target = targets.get(measure.service)
            target_seconds = target.ms / _MS_PER_SECOND if target else 0.0
            peak = self._peaks.record_load(
                (vm, measure.service), measure.load, now
            )
            self._service_views[vm][measure.service] = remedies.ServiceView(
                measure.service, measure.load, peak, target_seconds
            )
            self._measured_at[(vm, measure.service)] = now
            if measure.count < MIN_REQUESTS:
                continue
            kinds = self._timeline.find_kinds(
                vm, now - measure.age_ms / _MS_PER_SECOND
            )
            mean_seconds = measure.mean_us / 1e6
            if kinds is not None:
                self.model.observe(
                    measure.service, measure.load, kinds, mean_seconds
                )
            self.remedies.record_measured(
                vm, measure.service, mean_seconds, target_seconds
            )

    def record_running(self, now):
        """Record what runs beside services, for measurements to come."""
        if not self._state.services and not any(self._service_views.values()):
            return
        for vm in self._service_views:
            kinds = remedies.count_kinds(self.list_neighbours(vm, now))
            self._timeline.record(vm, kinds, now)

    def fill_views(self, views, now):
        """Set the services and kinds of batch work of placement's views."""
        for view in views:
            name = view.vm.name
            view.services = self._list_services(name, now)
            view.kinds = collections.Counter()
            if view.services:
                neighbours = self.list_neighbours(name, now)
                view.kinds = remedies.count_kinds(neighbours)

    def list_neighbours(self, vm, now):
        """Return the batch tasks on a VM, as ``remedies.Neighbour``.

        Members of gangs are left out, as they are neither throttled nor
        evicted singly.
        """
        found = []
        for task in self._state.held[vm].values():
            workload = self._state.find_workload(task.id).workload
            if workload.kind != data.Kind.BATCH:
                continue
            if task.state != data.TaskState.PLACED or workload.gang:
                continue
            attempt = (task.id, task.attempt)
            placed_at = self._placed_at.get(attempt, self._began)
            found.append(
                remedies.Neighbour(
                    task.id,
                    backlog.get_interference_kind(workload),
                    now - placed_at,
                    workload.importance,
                    task.evictions,
                    workload.checkpointable,
                    attempt in self._throttled,
                    self._may_be_throttled(attempt, workload),
                    workload.resources,
                )
            )
        return found

    def _may_be_throttled(self, attempt, workload):
        """Return whether an attempt may be throttled unknown to this owner.

        Filling tasks are left out: their side alone controls their pace.
        """
        known = attempt in self._throttled or attempt in self._unthrottled
        return not known and not workload.fills

    def find_actions(self, now):
        """Return the remedies that are due, as ``remedies.Action``."""
        actions = []
        logged = self._state.throttled
        throttled_vms = dict.fromkeys(task.vm for task in logged.values())
        for vm in [*(self._service_views | throttled_vms)]:
            services = self._list_services(vm, now)
            if not services and vm not in throttled_vms:
                # There is nothing to protect and nothing to release.
                continue
            if not services and now - self._began < STALE_SECONDS:
                # Not all services may have reported to a new owner.
                continue
            neighbours = self.list_neighbours(vm, now)
            if not services:
                # A release for each attempt of unknown share would be a flood
                # after every change of owner.
                neighbours = [one for one in neighbours if one.task in logged]
            action = self.remedies.find_action(
                vm, services, neighbours, now
            ) or self.remedies.find_release(vm, services, neighbours, now)
            if action is not None:
                self._record_throttled(action)
                actions.append(action)
        return actions

    def plan_evictions(self, demands, views, over_quota, now):
        """Return evictions that make room for more important work.

        Urgent work and services displace any batch work that is not urgent;
        other batch work displaces what is less important by a margin, or
        belongs to a team over its quota.

        :param demands: the demands of a pass, in order
        :param views: the VMs as the pass has left them
        :param over_quota: names of the teams over their quotas
        """
        actions = []
        evictable = self._list_evictable(views, over_quota, now)
        least_importance = min(
            (
                neighbour.importance
                for found in evictable.values()
                for neighbour in found
            ),
            default=_ABOVE_ANY_IMPORTANCE,
        )
        # Shapes of requests for which no room can be made, as thousands of
        # jobs may request the same.
        failed_shapes = set()
        for demand in demands:
            workload = demand.record.workload
            if workload.team in over_quota and not workload.urgent:
                continue
            if actions and not workload.urgent:
                # One demand per pass: the freed room may do for the next.
                continue
            if _get_importance_limit(workload) <= least_importance:
                continue
            shape = _get_request_shape(demand)
            if shape in failed_shapes or not demand.tasks:
                continue
            evictions = self._make_room(demand, views, evictable, now)
            if not evictions and shape is not None:
                failed_shapes.add(shape)
            actions += evictions
        return actions

    def forget_ended(self):
        """Drop what is known of attempts that have ended."""
        live = {
            (task.id, task.attempt)
            for held in self._state.held.values()
            for task in held.values()
        }
        self._throttled &= live
        self._unthrottled &= live
        self._placed_at = {
            attempt: placed_at
            for attempt, placed_at in self._placed_at.items()
            if attempt in live
        }

    def _make_room(self, demand, views, evictable, now):
        """Return the evictions for one waiting task, on the cheapest VM."""
        workload = demand.record.workload
        cheapest, lowest = [], float('inf')
        for view in views:
            if view.closed or view.vm.name in demand.avoided:
                continue
            if self._has_replica(demand, view):
                continue
            if vm_choice.check_constraints(demand, view):
                continue
            chosen = remedies.pick_to_make_room(
                workload.resources,
                view.room,
                evictable[view.vm.name],
                _get_importance_limit(workload),
            )
            cost = sum(
                remedies.compute_cost(neighbour) for neighbour in chosen
            )
            if chosen and cost < lowest:
                cheapest, lowest = (
                    [(neighbour, view.vm.name) for neighbour in chosen],
                    cost,
                )
        if not cheapest:
            return []
        if not workload.urgent and not self.remedies.eviction_budget.take(now):
            return []
        return [
            remedies.Action(neighbour.task, vm, REASON_ROOM)
            for neighbour, vm in cheapest
        ]

    def _has_replica(self, demand, view):
        is_service = demand.record.workload.kind == data.Kind.SERVICE
        return is_service and demand.placed[view.vm.name] > 0

    def _list_evictable(self, views, over_quota, now):
        """Return the batch tasks that may be evicted, by VM name.

        Urgent tasks are left out; those of teams over their quota get the
        least importance.
        """
        evictable = {}
        for view in views:
            found = evictable[view.vm.name] = []
            for neighbour in self.list_neighbours(view.vm.name, now):
                workload = self._state.find_workload(neighbour.task).workload
                if workload.urgent:
                    continue
                if workload.team in over_quota:
                    neighbour.importance = -1
                found.append(neighbour)
        return evictable

    def _list_services(self, vm, now):
        """Return the ``ServiceView`` of services measured lately on a VM."""
        return [
            view
            for service, view in self._service_views[vm].items()
            if now - self._measured_at[(vm, service)] < STALE_SECONDS
        ]

    def _record_throttled(self, action):
        """Record whether an action leaves its attempt throttled."""
        task = self._state.tasks[action.task]
        attempt = (task.id, task.attempt)
        if 0 < action.percent < 100:
            self._throttled.add(attempt)
            self._unthrottled.discard(attempt)
        else:
            self._throttled.discard(attempt)
            self._unthrottled.add(attempt)


def _get_importance_limit(workload):
    """Return the importance below which a workload displaces tasks."""
    if workload.urgent or workload.kind == data.Kind.SERVICE:
        return _ABOVE_ANY_IMPORTANCE
    return max(0, workload.importance - IMPORTANCE_MARGIN)


def _get_request_shape(demand):
    """Return a key that is equal for batch demands needing equal evictions.

    :returns: None if they depend on more than such a key
    """
    workload = demand.record.workload
    if workload.kind != data.Kind.BATCH or demand.avoided:
        return None
    if workload.most_per_vm or workload.ticket_ms:
        return None
    size = workload.resources
    return (
        size.cpu_milli,
        size.memory_mb,
        size.accelerators,
        workload.urgent,
        _get_importance_limit(workload),
        workload.pool,
        workload.label,
    )
