# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A VM as placement sees it: what it can hold, holds, and would bear."""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import presses

# The share of its reservation that a task with a target uses at its peak;
# what is left is for tasks that fill.
SERVING_USE = 0.65


@dataclasses.dataclass(slots=True)
class Filling:
    """A task that fills a VM, as far as others may take its turn.

    :param weight: what its job counts, as ``precedence.Claim.weigh`` gives
    :param share: of the VM's processors, at the pace that it works at
    """

    weight: float = 0.0
    image: str = ''
    share: float = 0.0


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
    :param fillings: list of :class:`Filling`, what presses there already
    :param rack: the rack that it stands in, or ''
    :param life: the ``data.LifeId`` of its worker
    :param suspects: under how many crashes tasks were that are not cleared,
        by job or workload
    :param unsteady: its worker has crashed lately
    :param largest: the largest capacity that its worker has shown
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
    fillings: list = dataclasses.field(default_factory=list)
    rack: str = ''
    life: data.LifeId = data.LifeId()
    suspects: dict = dataclasses.field(default_factory=dict)
    unsteady: bool = False
    largest: data.Resources = dataclasses.field(default_factory=data.Resources)

    def __post_init__(self):
        self.rack = self.rack or self.vm.rack
        self.largest = self.largest.cover(self.capacity)

    def copy(self):
        """Return a view to try placements on, without a trace here."""
        return dataclasses.replace(
            self,
            kinds=collections.Counter(self.kinds),
            headrooms=dict(self.headrooms),
            fillings=list(self.fillings),
            suspects=dict(self.suspects),
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

    def note_suspect(self, unit, crashes):
        """Count a task there that workers have crashed under.

        :param unit: its job, or its workload
        """
        self.suspects[unit] = max(crashes, self.suspects.get(unit, 0))

    def suits(self, workload):
        """Tell whether pool and label are those that a step asks for."""
        if workload.pool and workload.pool != self.pool:
            return False
        return not workload.label or workload.label in self.labels

    def predict_pace(self, workload, weight=precedence.LAST):
        """Return the share, 0 to 1, that a filling task would work at.

        :param weight: what its job counts; what goes after it there will
            be paced for its sake
        """
        pace = 1.0
        share = self._find_share(workload)
        for serving, room in self.headrooms.items():
            press = self.pairs.find_upper(serving, workload.image)
            cost = press * share
            if cost <= 0:
                continue
            rank = precedence.rank(weight, press)
            room += self._sum_yielding(serving, rank)
            pace = min(pace, max(0.0, room) / cost)
        return pace

    def _sum_yielding(self, serving, rank):
        """Return what tasks that go after a rank take of a headroom."""
        total = 0.0
        for one in self.fillings:
            press = self.pairs.find_upper(serving, one.image)
            if precedence.rank(one.weight, press) > rank:
                total += press * one.share
        return total

    def _find_share(self, workload):
        """Return the share of the processors that a task asks for."""
        return workload.resources.cpu_milli / max(1, self.capacity.cpu_milli)

    def note_filling(self, workload, weight, pace):
        """Count a task that fills the VM at a pace, 0 to 1."""
        share = self._find_share(workload) * pace
        self.fillings.append(Filling(weight, workload.image, share))

    def add_task(self, workload, weight=precedence.LAST):
        """Count one more task that is placed on the VM."""
        if workload.fills:
            pace = self.predict_pace(workload, weight)
            share = self._find_share(workload)
            for serving in self.headrooms:
                press = self.pairs.find_upper(serving, workload.image)
                self.headrooms[serving] -= press * share * pace
            self.note_filling(workload, weight, pace)
        self.reserved = self.reserved.add(workload.reserved)
        self.count_fill(workload)
