# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Finds pools in which some VMs suit filling tasks far better than others.

Where VMs are alike, waiting for a better one or moving to it gains nothing and
costs time. Where they differ, a filling task on a VM that serving tasks use
fully hardly progresses, while a VM without serving tasks would run it at full
pace. Only in such a pool do lasting headrooms count (``lasting_headroom``), do
steps wait for a VM with a good pace, and do stalled tasks that rank first get
good VMs before waiting ones.

VMs are compared by the pace that an average filling task of the pool would
have by itself, so that the result does not depend on where the filling tasks
happen to run.
"""

import collections
import dataclasses
import logging

from portwharf.core import logs
from portwharf.scheduler.decisions import lasting_headroom
from portwharf.scheduler import metrics

LOG = logging.getLogger(__name__)

# Pace, 0 to 1, from which a VM counts as good, and below which a step waits
# for another VM in an uneven pool.
GOOD_PACE = 0.8
# Pace below which a VM counts as poor. It is well below the other, as the
# estimates of two VMs that are alike differ by chance.
POOR_PACE = 0.7
# Least share of the VMs that are poor in an uneven pool.
MIN_POOR_SHARE = 0.1
# Interval between two assessments, which keeps their cost low.
ASSESS_INTERVAL_SECONDS = 1.0
# Time for which a pool remains uneven once it does not look so any more.
HOLD_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class _Pool:
    """One pool as it was assessed last.

    :param sample: number of filling tasks by (image, processors in
        thousandths); of the last time that there were any
    :param uneven_at: when it last looked uneven, or None
    """

    sample: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    uneven_at: float = None
    is_uneven: bool = False


class UnevenPools:
    """Tracks which pools of a shard are uneven."""

    def __init__(self):
        self._pools = {}
        self._next_assessment = 0.0

    def update(self, views, count_filling, now):
        """Assess the pools if that is due, and mark the views of uneven ones.

        In uneven pools, the views' headrooms are lowered to those that last.

        :param views: list of ``vmview.VmView`` with their ``lasting``
        :param count_filling: function from the views to a map of pool to a
            Counter of its filling tasks, by (image, processors in thousandths)
        """
        if now >= self._next_assessment:
            self._next_assessment = now + ASSESS_INTERVAL_SECONDS
            self._assess(views, count_filling(views), now)
        for view in views:
            pool = self._pools.get(view.pool)
            view.uneven = pool is not None and pool.is_uneven
            if view.uneven:
                lasting_headroom.apply_lasting_headrooms(view)

    def _assess(self, views, samples, now):
        by_pool = collections.defaultdict(list)
        for view in views:
            by_pool[view.pool].append(view)
        for name in self._pools.keys() - by_pool.keys():
            del self._pools[name]
        for name, members in by_pool.items():
            pool = self._pools.setdefault(name, _Pool())
            pool.sample = samples.get(name) or pool.sample
            good, poor, total = _count_vms(members, pool.sample)
            if good and poor >= MIN_POOR_SHARE * total:
                pool.uneven_at = now
            was_uneven = pool.is_uneven
            pool.is_uneven = (
                pool.uneven_at is not None
                and now - pool.uneven_at < HOLD_SECONDS
            )
            if pool.is_uneven:
                metrics.UNEVEN_ASSESSMENTS.labels(name).inc()
            if pool.is_uneven != was_uneven:
                extra = logs.fields(
                    pool=name, good=good, poor=poor, count=total
                )
                text = 'pool uneven' if pool.is_uneven else 'pool even again'
                LOG.info(text, extra=extra)


def require_pace(demands, views):
    """Let the filling steps of uneven pools wait for a VM with a good pace.

    Workloads without a job are left as they are, since their wait for a
    suitable VM has no limit.

    :param demands: list of ``backlog.Demand``
    """
    uneven = [view for view in views if view.uneven]
    if not uneven:
        return
    suits = {}
    for demand in demands:
        workload = demand.record.workload
        if not workload.fills or not workload.job:
            continue
        names = (workload.pool, workload.label)
        if names not in suits:
            suits[names] = any(view.suits(workload) for view in uneven)
        if suits[names]:
            demand.min_pace = GOOD_PACE


def _count_vms(views, sample):
    """Return the number of good and of poor VMs, and that of open VMs."""
    total = sample.total()
    if not total:
        return 0, 0, 0
    good = poor = count = 0
    costs = {}
    for view in views:
        if view.closed:
            continue
        count += 1
        pace = _predict_average_pace(view, sample, total, costs)
        if pace is None:
            continue
        good += pace >= GOOD_PACE
        poor += pace < POOR_PACE
    return good, poor, count


def _predict_average_pace(view, sample, total, costs):
    """Return the pace of an average filling task, alone on a VM.

    :param sample: Counter of filling tasks by (image, processors)
    :param costs: cost of such a task by serving image, in headroom times
        thousandths of a processor; filled in
    :returns: None if the headroom of a serving task there is not known for
        long enough
    """
    pace = 1.0
    for serving in view.headrooms:
        if serving not in view.lasting:
            return None
        if serving not in costs:
            costs[serving] = (
                sum(
                    view.pairs.get_upper_bound(serving, image) * milli * number
                    for (image, milli), number in sample.items()
                )
                / total
            )
        cost = costs[serving] / max(1, view.capacity.cpu_milli)
        if cost > 0:
            room = max(0.0, view.lasting[serving])
            pace = min(pace, room / cost)
    return pace
