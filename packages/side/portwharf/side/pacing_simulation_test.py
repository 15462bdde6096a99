# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A burst of jobs on one VM, played: what their callers get, and when.

The VM's server bears a few tasks at work; eight jobs of two to nine tasks,
of three images that press differently, come within four seconds. The pacer is
the real one, with what it knows of pairs; time, tails and what gets done are
worked out here.
"""

import dataclasses
import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.side import pacing
from portwharf import workers

CORES_MILLI = 16_000
TASK_MILLI = 1_800
RUN_MS = 4_000
POLL_MS = 400
OBJECTIVE_MS = 18_000
PRESSES = {'a': 2.0, 'b': 4.0, 'c': 6.0}
# Image and tasks of each job, in the order in which they come.
BURST = (
    ('b', 9),
    ('a', 8),
    ('c', 2),
    ('a', 9),
    ('b', 2),
    ('c', 3),
    ('a', 7),
    ('b', 3),
)
BASE_TAIL_MS = 8
TARGET_MS = 50


@dataclasses.dataclass
class Job:
    """One job of some tasks, each with what it has got done, in ms."""

    name: str
    image: str
    came_ms: int
    done: list
    ended_ms: int = 0

    def list_left(self):
        """Return the numbers of the tasks that are not done."""
        return [n for n, done in enumerate(self.done) if done < RUN_MS]

    def measure_left(self):
        """Return what is left, in processor seconds."""
        return len(self.list_left()) * TASK_MILLI * RUN_MS / 1e6


class World:
    """One VM with a server and the tasks of a burst."""

    def __init__(self, told):
        """Take whether the side is told what is left of jobs."""
        self._told = told
        self.now_ms = 0
        self.worst_tail_ms = 0.0
        self.pacer = pacing.Pacer()
        server = messages.StartTask(
            task='s.0.0.0', program='desk', target_ms=TARGET_MS
        )
        self.pacer.note_start(server)
        known = [
            messages.Press('desk', image, press)
            for image, press in PRESSES.items()
        ]
        self.pacer.presses.take_told(known)
        self.jobs = []
        self._paces = {}

    def add(self, image, count):
        """Have a job come, all of whose tasks begin."""
        name = f'{len(self.jobs):016x}'
        job = Job(name, image, self.now_ms, [0.0] * count)
        self.jobs.append(job)
        for number in range(count):
            start = messages.StartTask(
                task=f'{name}.0.0.{number}',
                program=image,
                fill_milli=TASK_MILLI,
            )
            if self._told:
                start.left = job.measure_left()
                start.due_ms = self.now_ms + OBJECTIVE_MS
                start.late_ms = self.now_ms + 3 * OBJECTIVE_MS
            self.pacer.note_start(start)

    def step(self):
        """Let one poll's time pass."""
        running = [
            (job, n, self._paces.get(f'{job.name}.0.0.{n}', 100) / 100)
            for job in self.jobs
            for n in job.list_left()
        ]
        share = TASK_MILLI / CORES_MILLI
        pressed = share * sum(
            PRESSES[job.image] * pace for job, _, pace in running
        )
        tail_ms = BASE_TAIL_MS * math.exp(pressed)
        if self.now_ms > len(BURST) * POLL_MS:
            self.worst_tail_ms = max(self.worst_tail_ms, tail_ms)
        self.now_ms += POLL_MS
        for job, n, pace in running:
            job.done[n] += POLL_MS * pace
            if not job.list_left():
                job.ended_ms = self.now_ms
        self._pace(running, tail_ms)

    def _pace(self, running, tail_ms):
        """Have the pacer see what runs, and do what it says."""
        state = data.RunState.RUNNING
        attempts = [workers.Attempt('s.0.0.0', 1, state, tail_ms=int(tail_ms))]
        for job, n, pace in running:
            attempt = workers.Attempt(f'{job.name}.0.0.{n}', 0, state)
            attempt.used_cpu_milli = int(TASK_MILLI * pace)
            attempts.append(attempt)
        size = data.Resources(CORES_MILLI, 64_000)
        listing = workers.Listing(0, size, attempts)
        now = self.now_ms / 1000
        for one in self.pacer.plan(listing, now, self.now_ms):
            self._paces[one.task] = one.percent


def play(told):
    """Play the burst to its end.

    :returns: the world, and how long each job took, in order, in ms
    """
    world = World(told)
    for image, count in BURST:
        world.add(image, count)
        world.step()
    while not all(job.ended_ms for job in world.jobs):
        world.step()
    return world, [job.ended_ms - job.came_ms for job in world.jobs]


def count_in_time(times):
    """Return how many jobs ended within their objective."""
    return sum(1 for time in times if time <= OBJECTIVE_MS)


def test_burst_ends_job_by_job_and_not_all_late_together(case):
    told, times = play(told=True)
    _, before = play(told=False)
    # By what is left of the jobs, against the lightest first.
    case.assertGreater(count_in_time(times), count_in_time(before))
    case.assertLess(sum(times), 0.85 * sum(before))
    # Nobody waits for longer than all of it takes in any order.
    case.assertLessEqual(max(times), max(before) + 10 * POLL_MS)
    # And what serves keeps its target meanwhile.
    case.assertLessEqual(told.worst_tail_ms, TARGET_MS)
