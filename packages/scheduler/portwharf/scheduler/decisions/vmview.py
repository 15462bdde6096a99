# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A VM as placement sees it: its capacity, reservations and headrooms."""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import tail_interference

# Share of its reserved processors that a serving task uses at its peak; the
# others are left to filling tasks.
SERVING_UTILIZATION = 0.65
# Limit on the processors that the filling tasks of a VM request, as a multiple
# of what other tasks leave. All of them may run at full pace at the same time.
MAX_FILLING_FACTOR = 3.0


@dataclasses.dataclass(slots=True)
class FillingTask:
    """A filling task on a VM, as others compete with it for headroom.

    :param weight: its job's weight, as ``precedence.Claim.weigh`` returns it
    :param image: the image that it runs
    :param share: share of the VM's processors that it uses at its pace
    """

    weight: float = 0.0
    image: str = ''
    share: float = 0.0


@dataclasses.dataclass(slots=True)
class VmView:
    """One VM as the owner sees it during a pass.

    A serving task has a latency target (``Workload.target_ms``). A filling
    task uses the processors that others leave unused (``Workload.fills``).

    :param capacity: the resources that its worker offers
    :param reserved: the resources that its tasks reserve
    :param closed: why it gets no new tasks, or ''
    :param probe: it gets one task, to check whether it works again
    :param early_probe: it is quarantined, but gets one standing task that fits
        nowhere else, to check whether it works again
    :param services: list of ``remedies.ServiceView``
    :param kinds: number of batch tasks by kind; throttled ones count less
    :param filling_milli: processors requested by filling tasks, in thousandths
    :param serving_milli: processors reserved by serving tasks, in thousandths
    :param reported: its side has reported all that it runs to this owner
    :param pairs: a ``tail_interference.TailInterferenceModel``, or None
    :param headrooms: by serving image, by how much the logarithm of its tail
        may still grow
    :param fillings: list of :class:`FillingTask`
    :param rack: the rack that it is in, or ''
    :param life: the ``data.IncarnationId`` of its worker
    :param suspects: number of worker crashes of uncleared tasks on it, by job
        or workload
    :param starting_suspects: those of them that have not run for long enough
        to be ruled out as the cause of a crash of its worker
    :param unsteady: its worker has crashed lately
    :param largest: the largest capacity that its worker has reported
    :param lasting: by serving image, the least headroom of the last seconds
        without filling tasks, where known (``lasting_headroom``)
    :param uneven: its pool is uneven (``uneven_pools``)
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
    early_probe: bool = False
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
    life: data.IncarnationId = data.IncarnationId()
    suspects: dict = dataclasses.field(default_factory=dict)
    starting_suspects: dict = dataclasses.field(default_factory=dict)
    unsteady: bool = False
    largest: data.Resources = dataclasses.field(default_factory=data.Resources)
    lasting: dict = dataclasses.field(default_factory=dict)
    uneven: bool = False

    def __post_init__(self):
        self.rack = self.rack or self.vm.rack
        self.largest = self.largest.max_with(self.capacity)

    def copy(self):
        """Return a copy on which placements can be tried."""
        return dataclasses.replace(
            self,
            kinds=collections.Counter(self.kinds),
            headrooms=dict(self.headrooms),
            fillings=list(self.fillings),
            suspects=dict(self.suspects),
            starting_suspects=dict(self.starting_suspects),
        )

    @property
    def room(self):
        """The resources that can still be reserved."""
        return self.capacity.subtract(self.reserved)

    @property
    def busy_milli(self):
        """Processors that are expected to be in use, in thousandths."""
        unused_milli = self.serving_milli * (1 - SERVING_UTILIZATION)
        return int(self.reserved.cpu_milli - unused_milli + self.filling_milli)

    def compute_idle_milli(self, weight):
        """Return the processors that a further filling task can have here.

        The filling tasks that rank after it are expected to be slowed down in
        its favour. The others use what their pace allows. A side does so only
        where a serving task has too little headroom for all of them.

        :param weight: its job's weight, as ``precedence.Claim.weigh`` returns
            it
        :returns: thousandths of a processor
        """
        share = sum(
            task.share for task in self.fillings if task.weight <= weight
        )
        filling_milli = share * self.capacity.cpu_milli
        free_milli = self.capacity.cpu_milli - (
            self.busy_milli - self.filling_milli
        )
        most_milli = MAX_FILLING_FACTOR * free_milli - self.filling_milli
        return int(min(free_milli - filling_milli, most_milli))

    def add_usage(self, workload):
        """Add the processors of one filling or serving task."""
        size = workload.resources.cpu_milli
        if workload.fills:
            self.filling_milli += size
        elif workload.target_ms:
            self.serving_milli += size
            # Its side may not have reported its headroom yet, as the task is
            # new or the side has just restarted.
            self.headrooms.setdefault(
                workload.image, tail_interference.DEFAULT_HEADROOM
            )

    def set_headrooms(self, pairs, headrooms):
        """Set the presses, and the headrooms from ``messages.Headroom``."""
        self.pairs = pairs
        self.headrooms = {
            headroom.serving: headroom.room for headroom in headrooms
        }

    def record_suspect(self, unit, crashes, is_starting=True):
        """Record a crash suspect on the VM.

        :param unit: its job or workload
        :param crashes: number of workers that crashed while running it
        :param is_starting: it may be about to crash the worker
        """
        self.suspects[unit] = max(crashes, self.suspects.get(unit, 0))
        if is_starting:
            self.starting_suspects[unit] = max(
                crashes, self.starting_suspects.get(unit, 0)
            )

    def suits(self, workload):
        """Return whether the VM has a step's pool and label."""
        if workload.pool and workload.pool != self.pool:
            return False
        return not workload.label or workload.label in self.labels

    def predict_pace(self, workload, weight=precedence.LAST_WEIGHT):
        """Return the pace, 0 to 1, at which a filling task would run here.

        :param weight: its job's weight; tasks on the VM that rank after it are
            expected to be slowed down in its favour
        """
        pace = 1.0
        share = self._get_cpu_share(workload)
        for serving, room in self.headrooms.items():
            press = self.pairs.get_upper_bound(serving, workload.image)
            cost = press * share
            if cost <= 0:
                continue
            if room / cost >= pace:
                # Tasks that yield would only add to that.
                continue
            rank = precedence.rank(weight, press)
            room += self._sum_yielding(serving, rank)
            pace = min(pace, max(0.0, room) / cost)
        return pace

    def _sum_yielding(self, serving, rank):
        """Return the headroom used by filling tasks that come after a rank."""
        total = 0.0
        for task in self.fillings:
            press = self.pairs.get_upper_bound(serving, task.image)
            if precedence.rank(task.weight, press) > rank:
                total += press * task.share
        return total

    def _get_cpu_share(self, workload):
        """Return the share of the VM's processors that a task requests."""
        return workload.resources.cpu_milli / max(1, self.capacity.cpu_milli)

    def record_filling(self, workload, weight, pace):
        """Add a filling task that runs at a pace, 0 to 1."""
        share = self._get_cpu_share(workload) * pace
        self.fillings.append(FillingTask(weight, workload.image, share))

    def reserve_headroom(self, workload, weight):
        """Reserve the headroom that a filling task is going to use."""
        pace = self.predict_pace(workload, weight)
        share = self._get_cpu_share(workload)
        for serving in self.headrooms:
            press = self.pairs.get_upper_bound(serving, workload.image)
            self.headrooms[serving] -= press * share * pace
        self.record_filling(workload, weight, pace)

    def add_task(self, workload, weight=precedence.LAST_WEIGHT):
        """Add a newly placed task."""
        if workload.fills:
            self.reserve_headroom(workload, weight)
        self.reserved = self.reserved.add(workload.reserved)
        self.add_usage(workload)
