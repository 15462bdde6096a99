# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Remembers how large the workers of each pool are, for admission control.

A job that no worker can ever hold is refused. A VM that has just joined may be
the one that can hold it, and so may one that has left for some seconds.
"""

import math

from portwharf.core import data

# A VM that has reported nothing for this long is not waited for any more. It
# is longer than the restart of a VM's processes takes.
REPORT_WAIT_SECONDS = 10.0
# How long the size of a VM that has left counts: longer than a VM takes to
# boot again.
KEEP_SECONDS = 300.0
# Sizes that are remembered; VMs of a pool have few different ones.
MAX_SIZES = 1000
# Least interval of the updates, which read all VMs.
_UPDATE_INTERVAL_SECONDS = 1.0


class WorkerSizes:
    """The sizes of the VMs of the last minutes; not thread-safe."""

    def __init__(self):
        self._updated_at = -math.inf
        # When each VM without a report was first seen, by name.
        self._unreported = {}
        # When a size was last seen, by (pool, its dimensions); the oldest
        # first.
        self._sizes = {}

    def update(self, views, now):
        """Record the VMs of a pass, at most once a second.

        :param views: list of ``vmview.VmView``
        :param now: on the owner's monotonic clock, in seconds
        """
        if not views or now - self._updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        unreported = {}
        seen = set()
        for view in views:
            size = view.largest
            if size.cpu_milli > 0:
                dimensions = size.cpu_milli, size.memory_mb, size.accelerators
                seen.add((view.pool, dimensions))
            else:
                name = view.vm.name
                unreported[name] = self._unreported.get(name, now)
        self._unreported = unreported
        for one in seen:
            self._sizes.pop(one, None)
            self._sizes[one] = now
        for one, seen_at in list(self._sizes.items()):
            is_old = now - seen_at > KEEP_SECONDS
            if not is_old and len(self._sizes) <= MAX_SIZES:
                break
            del self._sizes[one]

    def is_waiting(self, views, now):
        """Return whether a VM may still report for the first time."""
        return any(
            now - self._unreported.get(view.vm.name, now) < REPORT_WAIT_SECONDS
            for view in views
            if view.largest.cpu_milli == 0
        )

    def has_held(self, size, pool):
        """Return whether some VM of the last minutes could hold a task.

        :param size: the task's ``data.Resources``
        :param pool: the task's pool, or ''
        """
        return any(
            size.fits(data.Resources(*dimensions))
            for name, dimensions in self._sizes
            if pool in ('', name)
        )
