# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Simulates a small site that admits, places and runs jobs.

VMs, run times and clients are simulated in steps, without a network. Order,
placement, load and admission are the production code.
"""

import collections
import dataclasses
import random

from portwharf.core import data
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import job_admission
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shard_load
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import state
from portwharf.testing import fixtures

START_MS = 1_000_000
STEP_MS = 100
VMS = 4
CORES = 8
QUEUES = {'urgent': 0, 'plans': 2}


@dataclasses.dataclass(slots=True)
class Arrival:
    """A job that is submitted at a time, and its true run time."""

    at_ms: int = 0
    job: data.Job = None
    run_ms: int = 0

    @property
    def size(self):
        """Its true work, in processor ms."""
        return sum(
            step.count * step.resources.cpu_milli * self.run_ms // 1000
            for step in self.job.steps
        )

    @property
    def late_ms(self):
        """The wall time after which it is of no use."""
        objective_ms = self.job.stretch * self.run_ms + self.job.allowance_ms
        return self.at_ms + jobs.LATE_FACTOR * objective_ms


def make_arrival(
    number, at_ms, queue='plans', count=4, run_ms=800, factor=1, **fields
):
    """Return the arrival of a job of one step.

    :param factor: the estimate divided by the true run time
    """
    size = data.Resources(1000, 10)
    step = data.Workload(
        team=queue, resources=size, count=count, run_ms=int(run_ms * factor)
    )
    values = {'stretch': 1.0, 'allowance_ms': 300, 'rank': QUEUES[queue]}
    job = data.Job(f'{number:08x}', queue, steps=[step], **values | fields)
    return Arrival(at_ms, job, run_ms)


class Site:
    """A site with equal VMs, stepped by hand.

    :ivar refused: the problem of each refused job, by id
    :ivar ended_ms: when each job ended, by id
    :ivar free_milli: what no task used on each VM after the last pass
    """

    def __init__(self, admits=True, began=-60.0, trained=tuple(QUEUES)):
        self.state = state.ShardState()
        self.runtimes = forecast.RunTimeModel()
        for queue in trained:
            for number in range(forecast.MIN_MEASUREMENTS):
                made = make_arrival(number, 0, queue)
                made.job.id = f'{queue}-{number}'
                (step,) = jobs.make_steps(made.job, 0, 0)
                self.runtimes.record_run_time(queue, step, made.run_ms)
        self.load = shard_load.LoadTracker(began)
        self.admission = job_admission.JobAdmission(
            self.state, self.runtimes, self.load, began
        )
        self.admits = admits
        self.now_ms = START_MS
        self.refused = {}
        self.ended_ms = {}
        self.arrived = {}
        self.placed = []
        self.free_milli = []
        self._running = {}

    @property
    def now(self):
        return (self.now_ms - START_MS) / 1000

    def submit(self, arrival):
        """Submit a job; returns the ``data.Problem`` if it is refused."""
        job = arrival.job
        self.arrived[job.id] = arrival
        verdict, problem = self.admission.decide(job, self.now_ms)
        if self.admits and problem is not None:
            self.refused[job.id] = problem
            return problem
        self.state.apply(events.JobAccepted(self.now_ms, job))
        self.admission.record_accepted(job, self.now_ms)
        return None

    def step(self, arrivals=()):
        """Advance by a step: end tasks, submit jobs, place tasks."""
        self.now_ms += STEP_MS
        self.admission.start_pass(self.now)
        for task, (end_ms, vm, job) in list(self._running.items()):
            if end_ms <= self.now_ms:
                self._end_task(task, job)
        for arrival in arrivals:
            self.submit(arrival)
        self.place()

    def place(self):
        """Run a placement pass."""
        weigher = precedence.Weigher(self.state, self.now_ms, self.runtimes)
        views = [self._view(number) for number in range(VMS)]
        demands = pass_inputs.list_demands(
            self.state, lambda _: frozenset(), self.now_ms, weigher
        )
        done = pass_inputs.plan(self.state, demands, views, {}, self.now_ms)
        for one in done.placements:
            self.placed.append((self.now_ms, one.task, one.vm))
            self.state.apply(events.TaskPlaced(one.task, one.attempt, one.vm))
            job = one.task.split('.')[0]
            end_ms = self.now_ms + self.arrived[job].run_ms
            self._running[one.task] = (end_ms, one.vm, job)
        waiting = {one.record.id: one for one in done.waiting}
        self.free_milli = [view.room.cpu_milli for view in views]
        self.load.update(self.state, views, waiting, weigher, self.now)

    def play(self, arrivals, duration_ms):
        """Submit jobs at their times."""
        due = collections.deque(sorted(arrivals, key=lambda one: one.at_ms))
        while self.now_ms < START_MS + duration_ms:
            batch = []
            while due and due[0].at_ms <= self.now_ms + STEP_MS:
                batch.append(due.popleft())
            self.step(batch)
        return self

    def is_served(self, arrival):
        """Return whether a job ended before its late limit."""
        ended_ms = self.ended_ms.get(arrival.job.id)
        return ended_ms is not None and ended_ms <= arrival.late_ms

    def _view(self, number):
        vm = fixtures.make_vm(number)
        view = vmview.VmView(vm, data.Resources(CORES * 1000, 8000))
        view.reserved = self.state.reserved[vm.name]
        return view

    def _end_task(self, task, job):
        del self._running[task]
        record = self.state.find_workload(task)
        attempt = self.state.tasks[task].attempt
        self.state.apply(
            events.TaskEnded(task, attempt, data.TaskState.SUCCEEDED)
        )
        run_ms = self.arrived[job].run_ms
        queue = self.arrived[job].job.queue
        self.runtimes.record_run_time(queue, record, run_ms)
        if self.state.find_job_state(job) == data.JobState.COMPLETED:
            self.ended_ms[job] = self.now_ms


def make_burst(seed, burst, factors=(1,), urgent_share=0.5, burst_ms=6000):
    """Return the arrivals of a day of a burst in the middle.

    :param burst: work that arrives meanwhile, as a multiple of the capacity
    """
    draw = random.Random(seed)
    arrivals = []
    at_ms = float(START_MS)
    while at_ms < START_MS + 14_000:
        number = len(arrivals)
        in_burst = 3000 <= at_ms - START_MS < 3000 + burst_ms
        urgent = draw.random() < (urgent_share if in_burst else 0.5)
        made = make_arrival(
            number,
            int(at_ms),
            'urgent' if urgent else 'plans',
            draw.choice((2, 4, 8)),
            int(draw.choice((300, 800, 1500)) * draw.uniform(0.8, 1.2)),
            draw.choice(factors),
        )
        arrivals.append(made)
        at_ms += made.size / (VMS * CORES * (burst if in_burst else 0.6))
    return arrivals
