# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Derives an owner's decisions from the shard's state, without side effects.

Lists the demands for ``placement``, finds what has expired or is over quota,
and builds the decisions that ``explain`` shows. The owner applies the results.
"""

import collections

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events

# Ended workloads and jobs are kept for this long.
KEEP_ENDED_SECONDS = 24 * 3600
# Ended workloads and jobs beyond this number are dropped earlier, the oldest
# first.
MAX_ENDED = 2000
# Time that a step with no placed task waits for a VM that suits it while
# others have room. It is short, as a slow start is better than none.
FIRST_PATIENCE_SECONDS = 1.5
# Time that the remaining tasks of a partly placed step wait for such a VM. It
# is longer, as a task on a slow VM would delay the step for longer than the
# wait. Standing tasks delay no step, and each serves from its start on.
REMAINING_PATIENCE_SECONDS = 8.0
_MS_PER_SECOND = 1000

REASON_LOST = 'vm-lost'
REASON_LEAVING = 'vm-is-leaving'
REASON_BROKEN = 'gang-is-broken'
REASON_SUCCEEDED = 'former-attempt-succeeded'
REASON_CRASHES = 'given-up-as-it-crashes-workers'


class Patience:
    """Tracks how long workloads have waited for a VM that suits them."""

    def __init__(self):
        self._since = {}

    def record_waits(self, waiting, now, demands=()):
        """Record which workloads wait after a pass.

        :param waiting: ids of those that had too little room
        :param demands: list of ``backlog.Demand``; standing tasks among them
            that are held back wait as well
        """
        names = {*waiting, *(d.record.id for d in demands if _is_held(d))}
        self._since = {name: self._since.get(name, now) for name in names}

    def apply(self, demands, now):
        """Let demands that have waited long enough accept any VM with room."""
        for demand in demands:
            waited = now - self._since.get(demand.record.id, now)
            if waited <= _get_patience_seconds(demand):
                continue
            if demand.record.workload.job:
                demand.accept_any_vm()
            else:
                demand.avoided = frozenset()


def plan(state, demands, views, quotas, now_ms, predict_effect=None):
    """Place waiting tasks within the teams' quotas.

    :param demands: as :func:`list_demands` returns them
    :param views: list of ``vmview.VmView``; placed tasks are added to them
    :param quotas: map of team to Resources
    :param predict_effect: as for ``placement.place_demands``
    :returns: a ``placement.PlacementResult``
    """
    if not demands:
        return placement.PlacementResult()
    # Without any quota, what teams have reserved does not matter.
    reserved = sum_by_team(state) if quotas else {}
    team_quotas = backlog.Quotas(quotas, reserved)
    return placement.place_demands(
        demands, views, team_quotas, now_ms, predict_effect
    )


def list_demands(state, list_avoided, now_ms, weigher=None):
    """Return a ``backlog.Demand`` for each workload with waiting tasks.

    :param list_avoided: function from a workload's id to the names of the VMs
        that it avoids
    :param weigher: the ``precedence.Weigher`` of the pass; None for one that
        uses clients' estimates
    """
    ready = [
        record
        for record in state.list_active()
        if _has_waiting(record)
        and record.not_before_ms <= now_ms
        and state.is_ready(record)
    ]
    weigher = weigher or precedence.Weigher(state, now_ms)
    demands = []
    for record in ready:
        demand = backlog.Demand(
            record,
            list_avoided(record.id),
            weigher.get_step_forecast(record),
            weigher.weigh(record) if record.workload.fills else 0.0,
        )
        demand.is_owed = weigher.is_owed(record)
        demand.has_waited_long = weigher.has_waited_long(record)
        demands.append(demand)
    return demands


def sum_by_team(state):
    """Return a map of team to the Resources that it has reserved."""
    used = collections.defaultdict(data.Resources)
    for held in state.held.values():
        for task_id in held:
            workload = state.find_workload(task_id).workload
            used[workload.team] = used[workload.team].add(workload.resources)
    return used


def explain_loss(task, vm, now_ms):
    """Return the decision to run a task again whose VM is lost."""
    return events.Decision(
        now_ms,
        REASON_LOST,
        task.id,
        vm,
        detail=f'attempt {task.attempt} on {vm} is given up',
        advice='nothing to do: the task waits for another VM',
    )


def explain_crasher(task, now_ms):
    """Return the decision to give up a task that crashes workers."""
    names = ', '.join(crash.name for crash in task.crashes)
    return events.Decision(
        now_ms,
        REASON_CRASHES,
        task.id,
        detail=f'workers crashed as it began: {names}',
        advice='mend what it runs, then submit it again',
    )


def explain_eviction(task, reason, now_ms):
    """Return the decision to stop an attempt and run the task elsewhere."""
    advice = 'nothing to do: the task goes on from its checkpoint'
    if reason == REASON_SUCCEEDED:
        advice = 'nothing to do: the task ends by that success'
    return events.Decision(
        now_ms,
        f'evicted-{reason}',
        task.id,
        task.vm,
        detail=f'attempt {task.attempt} is saved and stopped',
        advice=advice,
    )


def explain_throttling(task, action, now_ms):
    """Return the decision to throttle a task, or to release it.

    :param action: a ``remedies.Action``
    """
    return events.Decision(
        now_ms,
        action.reason,
        task.id,
        task.vm,
        detail=f'it may use {action.percent}% of its processors',
        advice='nothing to do: it is released when the service has room',
    )


def find_over_quota(state, quotas):
    """Return the names of the teams that exceed their quotas."""
    if not quotas:
        return set()
    return {
        team
        for team, used in sum_by_team(state).items()
        if team in quotas and not used.fits(quotas[team])
    }


def list_expired_workloads(state, now_ms):
    """Return the ids of the ended workloads to drop from the state."""
    ended = [
        record
        for record in state.workloads.values()
        if not record.workload.job and state.has_ended(record)
    ]
    ended.sort(key=lambda record: record.unix_ms)
    surplus = max(0, len(ended) - MAX_ENDED)
    limit = now_ms - KEEP_ENDED_SECONDS * _MS_PER_SECOND
    return [
        record.id
        for number, record in enumerate(ended)
        if number < surplus or record.unix_ms < limit
    ]


def list_endpoint_vms(vms, shard):
    """Return the endpoint VMs of a shard."""
    return [
        vm for vm in vms if vm.role == data.Role.ENDPOINT and vm.shard == shard
    ]


def is_same_place(one, other):
    """Return whether two entries of a VM have the same address."""
    return (one.address, one.port) == (other.address, other.port)


def _get_patience_seconds(demand):
    """Return how long a demand waits for a VM that suits it."""
    is_standing = demand.record.workload.kind == data.Kind.STANDING
    if is_standing or not demand.placed:
        return FIRST_PATIENCE_SECONDS
    return REMAINING_PATIENCE_SECONDS


def _is_held(demand):
    """Return whether a standing task of a demand is held back."""
    record = demand.record
    return record.workload.kind == data.Kind.STANDING and any(
        task.id in demand.held_tasks for task in record.tasks
    )


def _has_waiting(record):
    """Return whether a workload has tasks that wait to be placed."""
    if record.cancelled:
        return False
    if record.workload.gang and any(task.vm for task in record.tasks):
        # The next attempt needs all members to have ended.
        return False
    limit = record.workload.count
    if record.begun < limit:
        return True
    return any(
        task.state == data.TaskState.WAITING and task.number < limit
        for task in record.tasks
    )
