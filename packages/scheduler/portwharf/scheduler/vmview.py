# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A VM as placement sees it: what it can hold, holds, and would bear."""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler import presses

# The share of its reservation that a task with a target uses at its peak;
# what is left is for tasks that fill.
SERVING_USE = 0.65


@dataclasses.dataclass(slots=True)
class VmView:
    """One VM as the owner sees it at the time of a pass.

    :param closed: '' or why it gets nothing new
    :param probe: it gets one task, to see whether it is sound again
    :param services: list of ``remedies.ServiceView``
    :param kinds: kinds of batch work on it, with how many tasks
    :param filling_milli: processors that tasks which fill ask for
    :param serving_milli: processors reserved by tasks with a target
    :param reported: its side has told all that it runs to this owner
    :param pairs: a ``presses.Presses``, or None
    :param headrooms: what each serving image can bear, by image
    :param rack: the rack that it stands in, or ''
    :param life: differs for each start of its worker, or ''
    """

    vm: data.Vm = dataclasses.field(default_factory=data.Vm)
    capacity: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    reserved: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )
    closed: str = ''
    probe: bool = False
    services: list = dataclasses.field(default_factory=list)
    kinds: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    pool: str = ''
    labels: list = dataclasses.field(default_factory=list)
    filling_milli: int = 0
    serving_milli: int = 0
    reported: bool = True
    pairs: object = None
    headrooms: dict = dataclasses.field(default_factory=dict)
    rack: str = ''
    life: str = ''

    def __post_init__(self):
        self.rack = self.rack or self.vm.rack

    def copy(self):
        """Return a view to try placements on, without a trace here."""
        return dataclasses.replace(
            self,
            kinds=collections.Counter(self.kinds),
            headrooms=dict(self.headrooms),
        )

    @property
    def room(self):
        """What can still be reserved."""
        return self.capacity.subtract(self.reserved)

    @property
    def busy_milli(self):
        """Processors that are likely to be in use, in thousandths."""
        idle = self.serving_milli * (1 - SERVING_USE)
        return int(self.reserved.cpu_milli - idle + self.filling_milli)

    def count_fill(self, workload):
        """Count one task of a workload among what fills the VM."""
        size = workload.resources.cpu_milli
        if workload.fills:
            self.filling_milli += size
        elif workload.target_ms:
            self.serving_milli += size
            # A server that its side has not told of yet, as it is new or
            # the side has just restarted, must not pass for no server.
            self.headrooms.setdefault(workload.image, presses.FRESH_ROOM)

    def take_pairs(self, pairs, headrooms):
        """Take what is known of pairs, and a list of ``Headroom``."""
        self.pairs = pairs
        self.headrooms = {one.serving: one.room for one in headrooms}

    def suits(self, workload):
        """Tell whether pool and label are those that a step asks for."""
        if workload.pool and workload.pool != self.pool:
            return False
        return not workload.label or workload.label in self.labels

    def predict_pace(self, workload):
        """Return the share, 0 to 1, that a filling task would work at."""
        pace = 1.0
        for serving, room in self.headrooms.items():
            cost = self._find_cost(serving, workload)
            if cost > 0:
                pace = min(pace, max(0.0, room) / cost)
        return pace

    def _find_cost(self, serving, workload):
        """Return what a task at work takes of a server's headroom."""
        share = workload.resources.cpu_milli / max(1, self.capacity.cpu_milli)
        return self.pairs.find_upper(serving, workload.image) * share

    def add_task(self, workload):
        """Count one more task that is placed on the VM."""
        if workload.fills:
            pace = self.predict_pace(workload)
            for serving in self.headrooms:
                cost = self._find_cost(serving, workload)
                self.headrooms[serving] -= cost * pace
        self.reserved = self.reserved.add(workload.reserved)
        self.count_fill(workload)
