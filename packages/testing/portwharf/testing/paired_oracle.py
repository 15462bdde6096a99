# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner of ``paired_day`` could earn with all knowledge.

It knows the true run times, interference and headrooms, now and in the next
seconds. Starts, stops and failures cost what they cost the owner: a task that
moves keeps its last checkpoint, if its step has any, and a failed attempt
begins anew. Every 0.4 s it plans the next seconds: jobs go by the owner's
order, the least work left first, and those that would end late come last. A
task goes where it ends first, and moves only if it ends much earlier, with
all that the move costs it. The oracle keeps the same margin for shifts of
interference as pacing does.
"""

import bisect
import dataclasses
import itertools

from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.testing import overload_day
from portwharf.testing import overload_load

_STEPS_PER_PASS = 4
# A pass plans for the next seconds, in cells.
_CELL_SECONDS = 0.4
_PLAN_CELLS = 30
# A task starts where its mean pace in the next cells is at least this.
_EARLY_CELLS = 3
_MIN_PACE = 0.6
# A task moves if that saves at least this share of the time that it needs
# where it is.
_MIN_SAVING = 0.3


@dataclasses.dataclass(slots=True)
class _Task:
    """A task and its current attempt.

    :param needs: seconds of work in all
    :param worked: seconds of work done
    :param saved: seconds of work in the last checkpoint
    """

    name: str
    needs: float
    has_checkpoints: bool
    worked: float = 0.0
    saved: float = 0.0
    attempt: int = 0
    failures: int = 0
    vm: str = ''
    idle_until: float = 0.0
    is_done: bool = False

    @property
    def left(self):
        """Seconds of work left."""
        return self.needs - self.worked

    def find_start_delay(self):
        """Return the seconds from a decision to place it to its work."""
        restore = overload_day.RESTORE_SECONDS if self.saved else 0.0
        return overload_day.START_DELAY_SECONDS + restore

    def place(self, vm, now):
        """Place it on a VM; its run on another one is stopped first."""
        delay = overload_day.STOP_DELAY_SECONDS if self.vm else 0.0
        self.worked = self.saved
        self.idle_until = now + delay + self.find_start_delay()
        self.vm = vm
        self.attempt += 1

    def work(self, seconds):
        """Add seconds of work at full pace."""
        self.worked += seconds
        if self.has_checkpoints:
            interval = overload_day.CHECKPOINT_INTERVAL_SECONDS
            self.saved = self.worked - self.worked % interval


@dataclasses.dataclass(slots=True)
class _Job:
    """A job and the tasks of each of its steps."""

    submitted: object
    steps: list
    number: int = 0
    latency: float = None
    has_failed: bool = False

    @property
    def image(self):
        """The image that its tasks run."""
        return self.submitted.job.steps[0].image

    @property
    def due(self):
        """The time of its objective, in seconds."""
        return self.submitted.came + self.submitted.objective

    @property
    def is_over(self):
        """Whether it has ended, well or not."""
        return self.has_failed or self.latency is not None

    @property
    def tasks(self):
        """The unfinished tasks of the current step, the longest first."""
        tasks = [task for task in self.steps[self.number] if not task.is_done]
        return sorted(tasks, key=lambda task: -task.left)

    def rank(self, now):
        """Return its sort key: those that end late last, then by work left."""
        steps = self.steps[self.number :]
        chain = self.find_chain(self.number)
        is_late = now + chain > self.due
        rest = (task for step in steps for task in step)
        return is_late, sum(task.left for task in rest if not task.is_done)

    def find_chain(self, number):
        """Return the least seconds that the steps from one on take."""
        return sum(
            max((task.left for task in step if not task.is_done), default=0.0)
            for step in self.steps[number:]
        )

    def finish_steps(self, now):
        """Go on to the first step with work left."""
        while not self.is_over and not self.tasks:
            self.number += 1
            if self.number == len(self.steps):
                self.latency = now - self.submitted.came


class _Simulation:
    """One day under the oracle's decisions."""

    def __init__(self, day):
        self._day = day
        self._jobs = []
        # The jobs by the last plan.
        self._order = []

    def run(self):
        """Run the simulation; return the ``overload_load.Tally``."""
        duration = overload_day.DURATION_SECONDS
        for number in range(int(duration / overload_day.STEP_SECONDS)):
            for one in self._day.advance():
                if one.job.queue == overload_load.WIDE:
                    self._jobs.append(_make_job(self._day, one))
            paces = self._run_pass(number % _STEPS_PER_PASS == 0)
            self._advance(paces)
        tally = overload_load.Tally()
        for job in self._jobs:
            one = job.submitted
            if one.came + one.objective <= duration:
                tally.count(one, job.latency)
        return tally

    def _advance(self, paces):
        now = self._day.now
        for job, task, pace in paces:
            task.work(pace * overload_day.STEP_SECONDS)
            if task.left <= 0:
                self._end_attempt(job, task)
        for job in self._jobs:
            job.finish_steps(now)

    def _end_attempt(self, job, task):
        if not self._day.draw_failure(task.name, task.attempt):
            task.is_done = True
            return
        task.failures += 1
        task.vm = ''
        task.worked = task.saved = 0.0
        job.has_failed |= task.failures >= overload_load.MAX_FAILURES

    def _run_pass(self, with_decisions):
        """Place tasks, and share headrooms in the order of jobs.

        :returns: list of (job, task, pace) of the tasks that work
        """
        now = self._day.now
        jobs = [job for job in self._jobs if not job.is_over]
        jobs.sort(key=lambda job: job.rank(now))
        if with_decisions:
            self._order = self._plan(jobs)
        vms = {name: _Vm(self._day, name, 1) for name in self._day.list_vms()}
        known = set(map(id, self._order))
        order = [job for job in self._order if not job.is_over]
        rows = []
        for job in order + [job for job in jobs if id(job) not in known]:
            for task in job.tasks:
                if task.vm and task.idle_until <= now:
                    used = vms[task.vm].use(job.image, 0.0, task.left)
                    rows.append((job, task, used[0][1]))
        return rows

    def _plan(self, jobs):
        """Place tasks by a plan of the next seconds.

        :param jobs: the jobs by rank
        :returns: the jobs in the order of the plan: those that end too late
            by it come last
        """
        vms = {
            name: _Vm(self._day, name, _PLAN_CELLS)
            for name in self._day.list_vms()
        }
        now = self._day.now
        planned, rest = [], []
        for job in jobs:
            end, choices, uses = self._plan_job(job, vms)
            if now + end + job.find_chain(job.number + 1) > job.due:
                for name, use in uses:
                    vms[name].remove(job.image, use)
                rest.append(job)
                continue
            planned.append(job)
            for task, name in choices:
                task.place(name, now)
        for job in rest:
            for task, name in self._plan_job(job, vms)[1]:
                task.place(name, now)
        return planned + rest

    def _plan_job(self, job, vms):
        """Plan the current step of a job.

        :returns: its end in seconds from now, list of (task, VM name) of
            the tasks to be placed, and list of (VM name, paces) that it uses
        """
        now = self._day.now
        last, choices, uses = 0.0, [], []
        for task in job.tasks:
            if task.vm:
                idle = max(0.0, task.idle_until - now)
                stays = vms[task.vm].find_end(job.image, idle, task.left)
            else:
                idle, stays = 0.0, float('inf')
            name, end, delay, work = task.vm, stays, idle, task.left
            if not idle:
                start = task.find_start_delay()
                start += overload_day.STOP_DELAY_SECONDS if task.vm else 0.0
                needs = task.needs - task.saved
                there, other = stays, ''
                if start + needs < (1 - _MIN_SAVING) * stays:
                    there, other = min(
                        (vm.find_end(job.image, start, needs), name)
                        for name, vm in vms.items()
                        if name != task.vm
                    )
                if there < (1 - _MIN_SAVING) * stays:
                    name, end, delay, work = other, there, start, needs
                    early = vms[name].find_early_pace(job.image)
                    if task.vm or early >= _MIN_PACE:
                        choices.append((task, name))
            last = max(last, end)
            uses.append((name, vms[name].use(job.image, delay, work)))
        return last, choices, uses


def _make_job(day, submitted):
    name = submitted.job.id
    steps = [
        [
            _Task(f'{name}.0.{number}.{task}', needs, step.checkpointable)
            for task, needs in enumerate(day.list_needs(submitted, number))
        ]
        for number, step in enumerate(submitted.job.steps)
    ]
    return _Job(submitted, steps)


class _Vm:
    """What is left of one VM's processors and headrooms in the next seconds.

    They are planned in cells of ``_CELL_SECONDS``.
    """

    def __init__(self, day, name, cells):
        site = overload_day.LARGE_VMS
        busy = vmview.SERVING_UTILIZATION * site.server_size.cpu_milli
        self._day = day
        self._asked = site.wide.cpu_milli
        self._asked_share = self._asked / site.capacity.cpu_milli
        self._milli = [site.capacity.cpu_milli - busy] * cells
        # Headrooms by serving image, one for each cell.
        self._headrooms = {}
        for cell in range(cells):
            rooms = day.get_headrooms(name, cell * _CELL_SECONDS)
            for serving, room in rooms.items():
                row = self._headrooms.setdefault(serving, [])
                row.append(max(0.0, room))
        # Paces and the work done before each cell, by image, until a task is
        # added.
        self._plans = {}

    def _find_cost(self, serving, image):
        press = self._day.get_press(serving, image)
        return tail_interference.SHIFT_FACTOR * press * self._asked_share

    def _make_plan(self, image):
        """Return the paces, 0 to 1, of a further task, and their sums."""
        if image not in self._plans:
            limits = [[milli / self._asked for milli in self._milli]]
            for serving, rooms in self._headrooms.items():
                cost = self._find_cost(serving, image)
                limits.append([room / cost for room in rooms])
            paces = [min(1.0, *cell) for cell in zip(*limits, strict=True)]
            sums = itertools.accumulate(paces, initial=0.0)
            self._plans[image] = (
                paces,
                [_CELL_SECONDS * total for total in sums],
            )
        return self._plans[image]

    def find_end(self, image, delay, work):
        """Return in how many seconds a further task would end.

        :param delay: seconds until it works
        :param work: seconds of work at full pace
        """
        paces, sums = self._make_plan(image)
        first = min(int(delay / _CELL_SECONDS), len(paces) - 1)
        before = (delay - first * _CELL_SECONDS) * paces[first]
        work += sums[first] + before
        last = bisect.bisect_left(sums, work)
        if last < len(sums):
            rest = (sums[last] - work) / paces[last - 1]
            return last * _CELL_SECONDS - rest
        mean = max(1e-3, sums[-1] / (len(paces) * _CELL_SECONDS))
        return len(paces) * _CELL_SECONDS + (work - sums[-1]) / mean

    def find_early_pace(self, image):
        """Return the mean pace of a further task in the next cells."""
        paces = self._make_plan(image)[0][:_EARLY_CELLS]
        return sum(paces) / len(paces)

    def use(self, image, delay, work):
        """Add a task.

        :param delay: seconds until it works
        :param work: seconds of work at full pace
        :returns: list of (cell, pace) in which it works
        """
        paces, _ = self._make_plan(image)
        self._plans = {}
        used = []
        for cell in range(int(delay / _CELL_SECONDS), len(paces)):
            pace = paces[cell]
            self._milli[cell] = max(
                0.0, self._milli[cell] - pace * self._asked
            )
            for serving, rooms in self._headrooms.items():
                cost = pace * self._find_cost(serving, image)
                rooms[cell] = max(0.0, rooms[cell] - cost)
            used.append((cell, pace))
            work -= pace * _CELL_SECONDS
            if work <= 0:
                break
        return used

    def remove(self, image, used):
        """Remove a task that was added.

        :param used: what ``use`` returned for it
        """
        self._plans = {}
        for cell, pace in used:
            self._milli[cell] += pace * self._asked
            for serving, rooms in self._headrooms.items():
                rooms[cell] += pace * self._find_cost(serving, image)


def simulate(day):
    """Return the ``overload_load.Tally`` of the wide jobs of one day.

    :param day: a new ``paired_day.PairedDay``, which has not run
    """
    return _Simulation(day).run()
