# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Workloads with waiting tasks, and the order in which they are served.

Urgency first, then importance, deadline and age. A job's step goes by the
time at which it has to begin, so that its job ends in time.
"""

import collections

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler import suspects

# Tasks placed in one pass; the rest waits for the next.
MAX_PLACEMENTS = 200
# Importance that waiting adds, so that nothing starves.
AGEING_A_MINUTE = 2.0
MAX_AGEING = 400.0
_NO_DEADLINE = float('inf')
# A job that is late is served last, but not for longer than this.
_PATIENCE_MS = 30_000
# Estimates of run times are off by a third or so either way.
_ESTIMATE_TOLERANCE = 0.3


class Demand:
    """A workload with waiting tasks.

    Which tasks wait is worked out when it is first asked for: in a pass over
    thousands of jobs most are never asked.
    """

    __slots__ = (
        '_attempts',
        '_crashes',
        '_placed',
        '_tasks',
        'avoided',
        'choosy',
        'held',
        'prospect',
        'rack',
        'record',
        'shunned',
        'tickets',
        'weight',
    )

    def __init__(self, record, avoided=frozenset(), prospect=None, weight=0.0):
        """Take a ``state.WorkloadRecord``.

        :param avoided: VM names that its tasks keep away from
        :param prospect: its ``forecast.Prospect``, or None
        :param weight: of one that fills, what its job counts, as
            ``precedence.Claim.weigh`` gives
        """
        self.weight = weight
        self.record = record
        self.avoided = avoided
        self.prospect = prospect or forecast.Prospect()
        # It rather waits than goes where it would hardly work.
        self.choosy = True
        # The rack that its tasks should share, or ''.
        self.rack = ''
        # The VM that each of its tasks was moved away from, by task id.
        self.shunned = {}
        # Tasks that are not to be placed now, by id.
        self.held = frozenset()
        # Tickets of the policy that governs it, by VM name.
        self.tickets = {}
        self._tasks = None
        self._attempts = None
        self._crashes = None
        self._placed = None

    @property
    def tasks(self):
        """Ids of the waiting tasks, in order; placed ones are taken off."""
        if self._tasks is None:
            self._list_tasks()
        return self._tasks

    @property
    def attempts(self):
        """The number of the next attempt of each waiting task."""
        if self._attempts is None:
            self._list_tasks()
        return self._attempts

    @property
    def placed(self):
        """Counter of VM names where its tasks are."""
        if self._placed is None:
            self._placed = collections.Counter(
                task.vm for task in self.record.tasks if task.vm
            )
        return self._placed

    @property
    def unit(self):
        """What is given up together, as ``suspects.name_unit`` gives."""
        return suspects.name_unit(self.record)

    @property
    def suspected(self):
        """How many workers have crashed under the next of its tasks."""
        crashes = self._count_crashes()
        if not crashes or not self.tasks:
            return 0
        if self.record.workload.gang:
            return max(crashes.values())
        return crashes.get(self.tasks[0], 0)

    @property
    def has_suspects(self):
        """Whether a worker has crashed under any of its tasks."""
        return bool(self._count_crashes())

    @property
    def shuns(self):
        """The VM that the next of its tasks was moved away from, or ''."""
        if not self.shunned or not self.tasks:
            return ''
        return self.shunned.get(self.tasks[0], '')

    def take_any(self):
        """Go wherever there is room: it has waited for long enough."""
        self.choosy = False
        self.avoided = frozenset()
        self.shunned = {}

    @property
    def starves(self):
        """Whether it has waited for long and has nothing running.

        One of its tasks then goes where only memory is free: a job that
        stands still is worse than one that works slowly.
        """
        return not self.choosy and not self.placed

    def _count_crashes(self):
        """Return under which waiting tasks how many workers have crashed."""
        if self._crashes is None:
            self._crashes = {
                task.id: len(task.crashes)
                for task in self.record.tasks
                if task.crashes and not task.vm
            }
        return self._crashes

    def _list_tasks(self):
        record = self.record
        limit = record.workload.count
        if record.workload.gang:
            self._list_gang()
            return
        waiting = [
            task
            for task in record.tasks
            if task.state == data.TaskState.WAITING
            and task.number < limit
            and task.id not in self.held
        ]
        most = min(limit, record.begun + MAX_PLACEMENTS)
        rows = [(t.id, t.attempt + 1) for t in waiting if not t.crashes]
        for number in range(record.begun, most):
            rows.append((ids.make_task_id(record.id, number), 1))
        # Suspects may have to wait for a VM to themselves; the others need
        # not wait for them.
        rows += [(t.id, t.attempt + 1) for t in waiting if t.crashes]
        self._tasks = [name for name, _ in rows]
        self._attempts = [attempt for _, attempt in rows]

    def _list_gang(self):
        """List all tasks of a gang, under one number of an attempt.

        Nothing is listed while a member of the last attempt is somewhere, or
        is held back.
        """
        record = self.record
        self._tasks = []
        self._attempts = []
        if any(task.vm or task.id in self.held for task in record.tasks):
            return
        count = record.workload.count
        self._tasks = [ids.make_task_id(record.id, n) for n in range(count)]
        last = max((task.attempt for task in record.tasks), default=0)
        self._attempts = [last + 1] * count


class Quotas:
    """What each team may reserve, and has reserved.

    A team without a quota of its own has no limit.
    """

    def __init__(self, limits, reserved):
        """Take maps of team to Resources."""
        self._limits = limits
        self._reserved = collections.defaultdict(data.Resources, reserved)

    def has_room(self, team, size):
        """Tell whether a team may reserve this much more."""
        limit = self._limits.get(team)
        return limit is None or self._reserved[team].add(size).fits(limit)

    def reserve(self, team, size):
        """Count an amount against a team's quota."""
        self._reserved[team] = self._reserved[team].add(size)


def order_demands(demands, now_ms):
    """Return demands in the order in which they are served."""
    return sorted(demands, key=lambda demand: _rank(demand, now_ms))


def find_kind(workload):
    """Return what a batch workload's interference is learnt by."""
    return f'{workload.team}/{workload.program}'


def _rank_step(demand, now_ms):
    """Return the rank of a job's step.

    Lasting work is served before others of its importance, to be whole.
    Then what can still end in time comes before what is late, and what is
    too late to matter comes last, but not for ever. With too much to do at
    once, jobs with the least left to do go first: they are worth the most
    for what they take, and most of them end in time.
    """
    record = demand.record
    workload = record.workload
    lasts = workload.kind == data.Kind.STANDING
    return (
        True,
        True,
        -workload.importance,
        not lasts,
        0 if lasts else _rank_lateness(demand.prospect, now_ms),
        demand.prospect.left,
        demand.prospect.begin_ms,
        record.id,
    )


def _rank_lateness(prospect, now_ms):
    """Return 0 for a step in time, 1 for a late one, 2 for too late."""
    spent = now_ms - prospect.late_ms
    if 0 < spent < _PATIENCE_MS:
        return 2
    tolerance = _ESTIMATE_TOLERANCE * prospect.run_ms
    return int(now_ms > prospect.begin_ms + tolerance)


def _rank(demand, now_ms):
    record = demand.record
    workload = record.workload
    if workload.job:
        return _rank_step(demand, now_ms)
    due = _NO_DEADLINE
    if workload.deadline_seconds:
        end = record.unix_ms + workload.deadline_seconds * 1000
        due = end - workload.run_seconds * 1000 - now_ms
    aged = (now_ms - record.unix_ms) * AGEING_A_MINUTE / 60_000
    return (
        not workload.urgent,
        workload.kind != data.Kind.SERVICE,
        -workload.importance - min(MAX_AGEING, aged),
        due,
        record.unix_ms,
        record.id,
    )
