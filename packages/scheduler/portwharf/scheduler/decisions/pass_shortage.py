# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Tells from placement passes which capacity classes are short.

A capacity class is a pool with filling steps or with others. The class of
steps without a pool comprises all VMs.
"""

import collections

from portwharf.scheduler.decisions import vm_choice

# Steps have to be left unplaced in every pass for this long.
SHORT_AFTER_SECONDS = 1.0
# Filling tasks that get less than this share of what they request are short.
_MIN_PACE = 0.5


class PassShortage:
    """Capacity classes of the last passes, by (pool, fills)."""

    def __init__(self):
        self._now = 0.0
        self._unplaced_since = {}
        self._rates = {}
        self._requested = {}

    def record_pass(self, waiting, views, now):
        """Record what a placement pass has left.

        :param waiting: list of ``placement.UnplacedWorkload``
        :param views: list of ``vmview.VmView`` after the pass
        """
        self._now = now
        unplaced = {
            (one.record.workload.pool, one.record.workload.fills)
            for one in waiting
            if one.reason == vm_choice.REASON_NO_ROOM
        }
        self._unplaced_since = {
            name: self._unplaced_since.get(name, now) for name in unplaced
        }
        self._rates = collections.Counter()
        self._requested = collections.Counter()
        for view in views:
            share = sum(task.share for task in view.fillings)
            filling = share * view.capacity.cpu_milli
            other = view.reserved.cpu_milli - view.serving_milli
            for pool in {view.pool, ''}:
                self._rates[(pool, True)] += filling
                self._rates[(pool, False)] += max(0, other)
                self._requested[(pool, True)] += view.filling_milli

    def is_short(self, pool, fills):
        """Return whether a capacity class is short."""
        name = (pool, fills)
        since = self._unplaced_since.get(name, self._now)
        if self._now - since >= SHORT_AFTER_SECONDS:
            return True
        return self._rates.get(name, 0) < _MIN_PACE * self._requested.get(
            name, 0
        )

    def get_rate(self, pool, fills):
        """Return the thousandths of processors at work for a class."""
        return self._rates.get((pool, fills), 0)
