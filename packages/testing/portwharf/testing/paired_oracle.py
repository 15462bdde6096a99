# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The best that an owner of ``paired_day`` could do with its order of jobs.

It knows the true run times and interference. Every 0.4 s it assigns all tasks
anew, at no cost: the job with the least work left first, each task to the VM
that gives it the best pace. It keeps the same margin for shifts of
interference as pacing does.
"""

import dataclasses

from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.testing import overload_day
from portwharf.testing import overload_load

_STEPS_PER_ASSIGNMENT = 4
_MIN_PACE = 0.1


@dataclasses.dataclass(slots=True)
class _Job:
    """A job, with the work left of each task of each step in seconds."""

    submitted: object
    needs: list
    step: int = 0
    latency: float = None

    @property
    def image(self):
        """The image that its tasks run."""
        return self.submitted.job.steps[0].image

    @property
    def is_done(self):
        """Whether all of its steps have ended."""
        return self.step >= len(self.needs)

    def rank(self, now):
        """Return its sort key: late ones last, then by the work left."""
        is_late = now > self.submitted.came + self.submitted.objective
        rest = self.needs[self.step :]
        return is_late, sum(max(0.0, one) for step in rest for one in step)

    def finish_steps(self, now):
        """Go on to the first step with work left."""
        while not self.is_done and max(self.needs[self.step]) <= 0:
            self.step += 1
        if self.is_done and self.latency is None:
            self.latency = now - self.submitted.came


def simulate(day):
    """Return the ``overload_load.Tally`` of the wide jobs of one day.

    :param day: a new ``paired_day.PairedDay``, which has not run
    """
    jobs = []
    paces = []
    steps = int(overload_day.DURATION_SECONDS / overload_day.STEP_SECONDS)
    for number in range(steps):
        for one in day.advance():
            if one.job.queue == overload_load.WIDE:
                rows = range(len(one.job.steps))
                needs = [day.list_needs(one, step) for step in rows]
                jobs.append(_Job(one, needs))
        if number % _STEPS_PER_ASSIGNMENT == 0:
            paces = _assign(day, [job for job in jobs if not job.is_done])
        for job, step, task, pace in paces:
            if job.step == step:
                job.needs[step][task] -= pace * overload_day.STEP_SECONDS
        for job in jobs:
            job.finish_steps(day.now)
    tally = overload_load.Tally()
    for job in jobs:
        end = job.submitted.came + job.submitted.objective
        if end <= overload_day.DURATION_SECONDS:
            tally.count(job.submitted, job.latency)
    return tally


def _assign(day, jobs):
    """Return the tasks that run, as list of (job, step, task, pace)."""
    vms = [_Vm(day, name) for name in day.list_vms()]
    rows = []
    for job in sorted(jobs, key=lambda one: one.rank(day.now)):
        needs = job.needs[job.step]
        order = sorted(range(len(needs)), key=lambda task: -needs[task])
        for task in order:
            if needs[task] <= 0:
                break
            best = max(vms, key=lambda vm: vm.find_pace(job.image))
            pace = best.find_pace(job.image)
            if pace < _MIN_PACE:
                break
            best.use(job.image, pace)
            rows.append((job, job.step, task, pace))
    return rows


class _Vm:
    """What is left of one VM's processors and headrooms."""

    def __init__(self, day, name):
        site = overload_day.LARGE_VMS
        busy = vmview.SERVING_UTILIZATION * site.server_size.cpu_milli
        self._day = day
        self._milli = site.capacity.cpu_milli - busy
        self._asked = site.wide.cpu_milli
        self._asked_share = self._asked / site.capacity.cpu_milli
        self._headrooms = {
            serving: max(0.0, room)
            for serving, room in day.get_headrooms(name).items()
        }
        # Paces by image, until a task is added.
        self._paces = {}

    def _find_cost(self, serving, image):
        press = self._day.get_press(serving, image)
        return tail_interference.SHIFT_FACTOR * press * self._asked_share

    def find_pace(self, image):
        """Return the pace, 0 to 1, of a further task."""
        if image not in self._paces:
            paces = [1.0, max(0.0, self._milli) / self._asked]
            for serving, room in self._headrooms.items():
                paces.append(room / self._find_cost(serving, image))
            self._paces[image] = min(paces)
        return self._paces[image]

    def use(self, image, pace):
        """Add a task that runs at a pace."""
        self._paces = {}
        self._milli -= pace * self._asked
        for serving, room in self._headrooms.items():
            cost = pace * self._find_cost(serving, image)
            self._headrooms[serving] = max(0.0, room - cost)
