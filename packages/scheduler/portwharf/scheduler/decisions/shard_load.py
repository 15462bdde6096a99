# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells which capacity of a shard is short, and what work waits for it.

Capacity is divided into classes: the processors of a pool's VMs that filling
tasks use, and those that the other batch tasks of jobs reserve. A class is
short once every pass of a second has left tasks without a VM for lack of
capacity, or has found the filling tasks at less than half of their pace.

Without a shortage only sums over VMs are computed, which give the rates of
filling tasks. The other rates are measured while such a class lacks capacity,
and the backlog is listed when it is first asked for.
All of it is in the owner's memory; a new owner measures anew.
"""

import collections
import dataclasses
import functools
import math

from portwharf.core import data
from portwharf.scheduler.decisions import class_backlog
from portwharf.scheduler.decisions import vm_choice

# A new owner knows the rate, and calls a class short, after this time.
MIN_OWNER_SECONDS = 2.0
# Time for which all passes must have found a class without enough capacity.
# Placement alone takes several passes to use free VMs after a burst.
MIN_SHORT_SECONDS = 1.0
# Time over which rates are smoothed.
SMOOTHING_SECONDS = 2.0
# Time over which the largest smoothed rate counts. Serving load takes the
# processors of filling tasks for some seconds at a time; 30 s is longer than
# a burst of 3 to 6 s and a cycle of demand of 11 to 17 s.
PEAK_SECONDS = 30.0
# Peaks are kept for intervals of this length, to bound their number.
_PEAK_INTERVAL_SECONDS = 1.0
# Lower rates, in thousandths of a processor, are dropped: a smoothed rate
# decays without reaching 0, and work divided by it would have no finite end.
MIN_RATE = 1.0
# What passes have found is not used for longer, as it may have changed.
MAX_AGE_SECONDS = 2.0
# Filling tasks that work at less than this share of what they request are
# short of processors.
MIN_FILLING_SHARE = 0.5
# Least interval of the measurements of reserved processors, which read all
# placed tasks. It is not longer than the time after which a class is short.
_RESERVED_INTERVAL_SECONDS = 1.0
# Reasons against a VM that mean that it lacks capacity for a task.
_CAPACITY_REASONS = frozenset(
    (
        'processors',
        'memory',
        'accelerators',
        vm_choice.REFUSED_SLOWS_SERVICE,
    )
)
# Reasons that lie in the task: the VM may have the capacity for it.
_TASK_REASONS = frozenset(
    (
        'failed-there-lately',
        'was-moved-away-from-there',
        'enough-of-them-there',
        vm_choice.REFUSED_POLICY,
        vm_choice.REFUSED_SUSPECT,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityClass:
    """A part of a shard's processors that some steps of jobs share.

    :param pool: the pool of VMs, '' for all VMs
    :param fills: the processors are those that filling tasks use
    """

    pool: str = ''
    fills: bool = False


@dataclasses.dataclass(slots=True)
class ClassLoad:
    """The load of a capacity class, for reports.

    :param rate: thousandths of processors at work
    :param left: the work of the backlog that has not begun, in thousandths of
        a processor times ms; None if it was not needed in this pass
    """

    capacity_class: CapacityClass = CapacityClass()
    rate: float = 0.0
    is_short: bool = False
    left: float = None


class LoadTracker:
    """The load of a shard's capacity classes; not thread-safe.

    :ivar views: list of ``vmview.VmView`` as the last pass has left them
    """

    def __init__(self, began):
        """Take when the owner began, on its monotonic clock in seconds."""
        self._began = began
        self.views = []
        self._weigher = None
        self._updated_at = None
        self._short_since = {}
        # When the rates were measured, by whether their classes fill.
        self._measured_at = {}
        # Smoothed and latest rates by class.
        self._rates = {}
        self._latest = {}
        # (begin of an interval, map of class to its largest smoothed rate).
        self._peaks = collections.deque()
        self._backlogs = None

    def update(self, state, views, waiting, weigher, now):
        """Record the result of a placement pass.

        :param state: the ``state.ShardState``
        :param views: list of ``vmview.VmView`` as the pass has left them
        :param waiting: ``placement.UnplacedWorkload`` by workload id
        :param weigher: the ``precedence.Weigher`` of the pass
        :param now: on the owner's monotonic clock, in seconds
        """
        if not self.is_current(now):
            self._short_since = {}
        self.views = views
        self._weigher = weigher
        self._updated_at = now
        self._backlogs = None
        filling, lacking = _sum_filling(views)
        _add_lacking(lacking, waiting.values())
        self._short_since = {
            one: self._short_since.get(one, now) for one in lacking
        }
        self._record_rates(True, filling, now)
        measured_at = self._measured_at.get(False, -math.inf)
        if (
            any(not one.fills for one in lacking)
            and now - measured_at >= _RESERVED_INTERVAL_SECONDS
        ):
            self._record_rates(False, _sum_reserved(state, views), now)
        self._record_peaks(now)

    def forget_backlog(self):
        """Drop the backlog, as the state may have changed."""
        self._backlogs = None

    def is_current(self, now):
        """Return whether a pass was made lately."""
        return (
            self._updated_at is not None
            and now - self._updated_at <= MAX_AGE_SECONDS
        )

    def is_short(self, capacity_class, now):
        """Return whether a class is known to lack capacity."""
        since = self._short_since.get(capacity_class)
        return (
            since is not None
            and self.is_current(now)
            and self._updated_at - since >= MIN_SHORT_SECONDS
            and now - self._began >= MIN_OWNER_SECONDS
        )

    def get_rate(self, capacity_class):
        """Return the rate by which the end of work of a class is judged.

        This is the largest rate of the last ``PEAK_SECONDS``, in thousandths
        of a processor: neither a rate that is low for some seconds nor one
        that rises may lead to refusals.
        """
        peaks = (rates.get(capacity_class, 0.0) for _, rates in self._peaks)
        return max(self._get_current_rate(capacity_class), *peaks, 0.0)

    def get_backlog(self, capacity_class, state, now_ms, is_owed=None):
        """Return the ``class_backlog.ClassBacklog`` of a class.

        :param is_owed: function of a ``state.WorkloadRecord`` that tells
            whether its job is promoted during a shortage, or None
        """
        if self._backlogs is None:
            self._backlogs = self._list_backlogs(state, now_ms, is_owed)
        empty = class_backlog.ClassBacklog([])
        return self._backlogs.setdefault(capacity_class, empty)

    def add_step(self, workload, step):
        """Add a step of a job that was accepted after the last pass.

        :param step: a ``class_backlog.StepLoad``
        """
        for one in list_classes(workload.pool, workload.fills):
            if self._backlogs is not None:
                empty = class_backlog.ClassBacklog([])
                self._backlogs.setdefault(one, empty).add(step)

    def list_loads(self, now):
        """Return the :class:`ClassLoad` of each class that lacks capacity."""
        backlogs = self._backlogs or {}
        return [
            ClassLoad(
                one,
                self._get_current_rate(one),
                self.is_short(one, now),
                backlogs[one].left if one in backlogs else None,
            )
            for one in self._short_since
        ]

    def _list_backlogs(self, state, now_ms, is_owed):
        """Return the ``class_backlog.ClassBacklog`` values by class."""
        steps = collections.defaultdict(list)
        for record in state.unended.values():
            workload = record.workload
            count = _count_left(record)
            if (
                not workload.job
                or workload.kind != data.Kind.BATCH
                or record.cancelled
                or record.not_before_ms > now_ms
                or count <= 0
            ):
                continue
            found = self._weigher.get_step_forecast(record)
            promoted = is_owed is not None and is_owed(record)
            step = class_backlog.StepLoad(
                class_backlog.make_order_key(
                    workload, found, now_ms, promoted
                ),
                count * workload.resources.cpu_milli * found.run_ms,
                found.late_ms,
                workload.job,
            )
            for one in list_classes(workload.pool, workload.fills):
                steps[one].append(step)
        return {
            one: class_backlog.ClassBacklog(rows)
            for one, rows in steps.items()
        }

    def _get_current_rate(self, capacity_class):
        """Return the larger of the smoothed and the latest rate."""
        return max(
            self._rates.get(capacity_class, 0.0),
            self._latest.get(capacity_class, 0.0),
        )

    def _record_rates(self, fills, latest, now):
        """Smooth newly measured rates.

        :param fills: whether they are those of the classes that fill
        :param latest: map of class to thousandths of processors
        """
        since = self._measured_at.get(fills)
        self._measured_at[fills] = now
        share = 1.0
        if since is not None:
            share = 1 - math.exp((since - now) / SMOOTHING_SECONDS)
        known = {one for one in self._rates if one.fills == fills}
        for one in known | set(latest):
            value = latest.get(one, 0.0)
            # A class is smoothed from its first measurement on.
            last = self._rates.get(one, value)
            rate = last + share * (value - last)
            if rate >= MIN_RATE:
                self._rates[one] = rate
            else:
                self._rates.pop(one, None)
        others = {
            one: rate
            for one, rate in self._latest.items()
            if one.fills != fills
        }
        self._latest = others | latest

    def _record_peaks(self, now):
        """Add the smoothed rates to the largest ones of their interval."""
        kept_seconds = PEAK_SECONDS + _PEAK_INTERVAL_SECONDS
        while self._peaks and now - self._peaks[0][0] > kept_seconds:
            self._peaks.popleft()
        if (
            not self._peaks
            or now - self._peaks[-1][0] >= _PEAK_INTERVAL_SECONDS
        ):
            self._peaks.append((now, {}))
        _, peaks = self._peaks[-1]
        for one, rate in self._rates.items():
            peaks[one] = max(rate, peaks.get(one, 0.0))


@functools.lru_cache(maxsize=256)
def list_classes(pool, fills):
    """Return the classes that a pool's processors belong to.

    A step without a pool may run on all VMs, so that the work of all pools
    counts in its class. The narrowest class comes last.
    """
    every = CapacityClass('', fills)
    return (every, CapacityClass(pool, fills)) if pool else (every,)


def _count_left(record):
    """Return how many tasks of a step still need processors.

    A job begins when the tasks before it have begun, so that placed tasks do
    not count. Filling tasks are placed at once and wait on their VMs; half of
    the work of a placed one is taken to be done.
    """
    placed = 0
    if record.tasks:
        placed = sum(1 for task in record.tasks if task.vm)
    count = record.workload.count - record.succeeded - placed
    return count + placed / 2 if record.workload.fills else count


def _add_lacking(lacking, waiting):
    """Add the classes that unplaced steps lack capacity of to a set."""
    for one in waiting:
        workload = one.record.workload
        if one.choice is None or not workload.job:
            continue
        own = list_classes(workload.pool, workload.fills)[-1]
        if own in lacking:
            continue
        if one.choice.declined:
            # The step could be placed, but waits for a VM with a better pace.
            continue
        reasons = one.choice.refusals.keys()
        if reasons & _CAPACITY_REASONS and not reasons & _TASK_REASONS:
            lacking.add(own)


def _sum_filling(views):
    """Return what filling tasks get, and the classes in which it is too low.

    :returns: map of class to thousandths of processors, and a set of classes
    """
    used = collections.Counter()
    asked = collections.Counter()
    for view in views:
        if not view.filling_milli:
            continue
        milli = sum(task.share for task in view.fillings)
        # Tasks that their side does not throttle share the processors.
        free_milli = view.capacity.cpu_milli + view.filling_milli
        free_milli -= view.busy_milli
        milli = min(milli * view.capacity.cpu_milli, max(0, free_milli))
        for one in list_classes(view.pool, True):
            used[one] += milli
            asked[one] += view.filling_milli
    low = {
        one
        for one, milli in asked.items()
        if used[one] < MIN_FILLING_SHARE * milli
    }
    return dict(used), low


def _sum_reserved(state, views):
    """Return the processors of jobs' batch tasks that do not fill, by class.

    :returns: map of class to thousandths of processors
    """
    used = collections.Counter()
    for view in views:
        milli = 0
        for task in state.held[view.vm.name].values():
            workload = state.find_workload(task.id).workload
            if (
                workload.job
                and workload.kind == data.Kind.BATCH
                and not workload.fills
            ):
                milli += workload.resources.cpu_milli
        if milli:
            for one in list_classes(view.pool, False):
                used[one] += milli
    return dict(used)
