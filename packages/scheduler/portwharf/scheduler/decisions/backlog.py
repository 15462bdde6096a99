# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Workloads with waiting tasks, and the order in which they are served.

Workloads are ordered by urgency, importance, deadline and age. A job's step
is ordered by importance, by whether its job can still meet its objective, and
by how much work its job has left.
"""

import collections

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler import suspects

# Tasks placed in one pass; the others wait for the next pass.
MAX_PLACEMENTS = 200
# Importance that a workload gains by waiting, so that none starves.
AGEING_PER_MINUTE = 2.0
MAX_AGEING = 400.0
# Pace, 0 to 1, below which a filling task waits for another VM.
MIN_PACE = 0.35
_NO_DEADLINE = float('inf')
# Time after a job has become too late to matter during which its steps are
# served last.
_LATE_DEFERRAL_MS = 30_000
# Relative error of estimated run times: about a third, either way.
_ESTIMATE_TOLERANCE = 0.3


class Demand:
    """A workload with waiting tasks.

    The list of its waiting tasks is built on first use, as a pass over
    thousands of jobs reads the lists of only a few.
    """

    __slots__ = (
        '_attempts',
        '_crashes',
        '_placed',
        '_tasks',
        'avoided',
        'has_waited_long',
        'held_tasks',
        'is_owed',
        'is_selective',
        'min_pace',
        'rack',
        'record',
        'moved_from',
        'step_forecast',
        'tickets',
        'weight',
    )

    def __init__(
        self, record, avoided=frozenset(), step_forecast=None, weight=0.0
    ):
        """Take a ``state.WorkloadRecord``.

        :param avoided: names of the VMs that its tasks must not be placed on
        :param step_forecast: its ``forecast.StepForecast``, or None
        :param weight: for a filling workload, the weight of its job, as
            ``precedence.Claim.weigh`` returns it
        """
        self.weight = weight
        self.record = record
        self.avoided = avoided
        self.step_forecast = step_forecast or forecast.StepForecast()
        # Tells whether the workload waits for a VM that suits it instead of
        # accepting any VM with room.
        self.is_selective = True
        # Pace, 0 to 1, below which a VM does not suit a filling workload.
        self.min_pace = MIN_PACE
        # Whether its job is promoted, and whether it has waited for long
        # during a shortage, by ``shortage_shares``.
        self.is_owed = False
        self.has_waited_long = False
        # The rack that its tasks should share, '' for any.
        self.rack = ''
        # The set of VMs that a task was moved away from, by task id.
        self.moved_from = {}
        # Ids of the tasks that must not be placed now.
        self.held_tasks = frozenset()
        # Tickets from its queue's policy, by VM name.
        self.tickets = {}
        self._tasks = None
        self._attempts = None
        self._crashes = None
        self._placed = None

    @property
    def tasks(self):
        """Ids of the waiting tasks, in order; placed ones are removed."""
        if self._tasks is None:
            self._list_tasks()
        return self._tasks

    @property
    def attempts(self):
        """Number of the next attempt of each waiting task."""
        if self._attempts is None:
            self._list_tasks()
        return self._attempts

    @property
    def placed(self):
        """Counter of its placed tasks by VM name."""
        if self._placed is None:
            self._placed = collections.Counter(
                task.vm for task in self.record.tasks if task.vm
            )
        return self._placed

    @property
    def unit(self):
        """Its job or workload, as ``suspects.get_failure_unit`` returns it."""
        return suspects.get_failure_unit(self.record)

    @property
    def crash_count(self):
        """Number of workers that crashed while running its next task."""
        crashes = self._count_crashes()
        if not crashes or not self.tasks:
            return 0
        if self.record.workload.gang:
            return max(crashes.values())
        return crashes.get(self.tasks[0], 0)

    @property
    def has_suspects(self):
        """Whether a worker crashed while running any of its tasks."""
        return bool(self._count_crashes())

    @property
    def moved_from_vms(self):
        """The VMs that its next task was moved away from, as a set."""
        if not self.moved_from or not self.tasks:
            return frozenset()
        return self.moved_from.get(self.tasks[0], frozenset())

    def accept_any_vm(self):
        """Accept any VM with room, as it has waited long enough."""
        self.is_selective = False
        self.avoided = frozenset()
        self.moved_from = {}

    @property
    def is_starving(self):
        """Whether it has waited for long and has no task placed.

        One of its tasks may then be placed where only memory is free, as a
        slow job is better than a stopped one. A gang is placed whole.
        """
        if self.is_selective:
            return False
        return self.record.workload.gang or not self.placed

    def _count_crashes(self):
        """Return the number of worker crashes by id of a waiting task."""
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
            and task.id not in self.held_tasks
        ]
        end = min(limit, record.begun + MAX_PLACEMENTS)
        rows = [(t.id, t.attempt + 1) for t in waiting if not t.crashes]
        # Tasks from ``begun`` on have never been placed.
        for number in range(record.begun, end):
            rows.append((ids.make_task_id(record.id, number), 1))
        # Crash suspects come last: they may have to wait for a VM without
        # other suspects, and must not hold up the other tasks.
        rows += [(t.id, t.attempt + 1) for t in waiting if t.crashes]
        self._tasks = [name for name, _ in rows]
        self._attempts = [attempt for _, attempt in rows]

    def _list_gang(self):
        """List all tasks of a gang, under one attempt number.

        The list is empty while a member is still placed or is held back.
        """
        record = self.record
        self._tasks = []
        self._attempts = []
        if any(task.vm or task.id in self.held_tasks for task in record.tasks):
            return
        count = record.workload.count
        self._tasks = [ids.make_task_id(record.id, n) for n in range(count)]
        last = max((task.attempt for task in record.tasks), default=0)
        self._attempts = [last + 1] * count


class Quotas:
    """Resources that each team may reserve, and has reserved.

    A team without a quota has no limit.
    """

    def __init__(self, limits, reserved):
        """Take maps of team to Resources."""
        self._limits = limits
        self._reserved = collections.defaultdict(data.Resources, reserved)

    def has_room(self, team, size):
        """Return whether a team may reserve an additional amount."""
        limit = self._limits.get(team)
        return limit is None or self._reserved[team].add(size).fits(limit)

    def reserve(self, team, size):
        """Charge an amount to a team's quota."""
        self._reserved[team] = self._reserved[team].add(size)


def order_demands(demands, now_ms):
    """Return the demands in the order in which they are served."""
    return sorted(demands, key=lambda demand: _rank(demand, now_ms))


def find_late_start_ms(step_forecast):
    """Return the wall time from which a step counts as late."""
    tolerance_ms = _ESTIMATE_TOLERANCE * step_forecast.run_ms
    return step_forecast.begin_ms + tolerance_ms


def rank_lateness(step_forecast, now_ms):
    """Return 0 for a step in time, 1 for a late one, 2 for a deferred one."""
    overdue_ms = now_ms - step_forecast.late_ms
    if 0 < overdue_ms < _LATE_DEFERRAL_MS:
        return 2
    return int(now_ms > find_late_start_ms(step_forecast))


def get_interference_kind(workload):
    """Return the key by which a batch workload's interference is learnt."""
    return f'{workload.team}/{workload.program}'


def _rank_step(demand, now_ms):
    """Return the sort key of a job's step.

    Within one importance, standing steps come first. Then steps that can
    still end in time come before late ones, and steps that have become too
    late to matter come last, for a limited time. During a shortage, jobs that
    are promoted come next, then those that have waited long. Ties go to the
    job with the least work left: under overload, more jobs then end in time.
    """
    record = demand.record
    workload = record.workload
    is_standing = workload.kind == data.Kind.STANDING
    return (
        True,
        True,
        -workload.importance,
        not is_standing,
        0 if is_standing else rank_lateness(demand.step_forecast, now_ms),
        not demand.is_owed,
        not demand.has_waited_long,
        demand.step_forecast.left,
        demand.step_forecast.begin_ms,
        record.id,
    )


def _rank(demand, now_ms):
    """Return a demand's sort key; the lowest is served first."""
    record = demand.record
    workload = record.workload
    if workload.job:
        return _rank_step(demand, now_ms)
    slack_ms = _NO_DEADLINE
    if workload.deadline_seconds:
        end_ms = record.unix_ms + workload.deadline_seconds * 1000
        slack_ms = end_ms - workload.run_seconds * 1000 - now_ms
    ageing = (now_ms - record.unix_ms) * AGEING_PER_MINUTE / 60_000
    return (
        not workload.urgent,
        workload.kind != data.Kind.SERVICE,
        -workload.importance - min(MAX_AGEING, ageing),
        slack_ms,
        record.unix_ms,
        record.id,
    )
