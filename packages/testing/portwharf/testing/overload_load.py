# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Generates the jobs of the overload simulation in ``overload_day``.

Wide jobs have filling tasks, in several steps that run one after the other;
small jobs take precedence over them. Estimates of run times are off by up to
a given share in either direction. A seed yields the same jobs regardless of
scheduling decisions.
"""

import dataclasses
import itertools
import random

from portwharf.core import data
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler import jobs

WIDE, SMALL = 'plans', 'checks'
# Small jobs a second.
SMALL_JOBS_PER_SECOND = 2.0
STRETCH = 2.0
ALLOWANCE_MS = 2000
IMAGE_COUNT = 18
MAX_FAILURES = 3
# Mean work of a job in core-seconds, by queue, and the limit of its worth.
MEAN_WORK_CORE_SECONDS = {WIDE: 480.0, SMALL: 12.0}
MAX_WORTH = 4.0
# Share of its worth that a late job earns, if done within this many times
# its objective.
LATE_WORTH_SHARE = 0.15
MAX_LATE_OBJECTIVES = 3


@dataclasses.dataclass(slots=True, frozen=True)
class WideShape:
    """The sizes of the wide jobs' tasks.

    :param cpu_milli: processors that a task asks for, in thousandths
    :param median_count: logarithm of the median number of tasks of a step
    :param median_seconds: logarithm of the median run time, in seconds
    :param checkpoint_share: share of the steps whose tasks have checkpoints
    """

    cpu_milli: int
    median_count: float
    median_seconds: float
    checkpoint_share: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Crowd:
    """Callers of the wide jobs, one of which submits most of them.

    The greedy caller splits its work into small jobs. With the least work left
    served first, these go before the jobs of its neighbours.

    :param dimension: whether ``caller`` or ``zone`` tells them apart
    :param greedy_share: share of the jobs that the greedy caller submits
    :param greedy_scale: factor on the number of tasks of its jobs
    :param neighbours: number of the other callers
    """

    dimension: str = 'caller'
    greedy_share: float = 0.85
    greedy_scale: float = 0.2
    neighbours: int = 3


GREEDY = 'greedy'


@dataclasses.dataclass(slots=True)
class SubmittedJob:
    """A submitted job with its true run times.

    :param seconds: true run time of a task, by step
    :param objective: latency objective by the true run times, in seconds
    :param work: work of all tasks, in core-seconds
    :param came: time of submission, in seconds
    """

    job: data.Job = None
    seconds: list = dataclasses.field(default_factory=list)
    objective: float = 0.0
    work: float = 0.0
    came: float = 0.0

    @property
    def worth(self):
        """Value of the job if it meets its objective, by its work."""
        share = self.work / MEAN_WORK_CORE_SECONDS[self.job.queue]
        return min(MAX_WORTH, 0.3 + 0.7 * share)


@dataclasses.dataclass(slots=True)
class Tally:
    """Results for the jobs of one queue whose objective has passed.

    :param owed: worth of these jobs if all were in time
    :param earned: worth of the jobs that were done
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self):
        """Share of the owed worth that was earned."""
        return self.earned / max(1e-9, self.owed)

    def count(self, submitted, latency_seconds):
        """Count a job whose objective has passed.

        :param latency_seconds: seconds from its submission to its end, or None
        """
        self.jobs += 1
        self.owed += submitted.worth
        if (
            latency_seconds is None
            or latency_seconds > MAX_LATE_OBJECTIVES * submitted.objective
        ):
            return
        if latency_seconds <= submitted.objective:
            self.in_time += 1
            self.earned += submitted.worth
        else:
            self.late += 1
            self.earned += LATE_WORTH_SHARE * submitted.worth

    def add(self, other):
        """Add the results of another day."""
        self.jobs += other.jobs
        self.in_time += other.in_time
        self.late += other.late
        self.owed += other.owed
        self.earned += other.earned


class Oracle(forecast.RunTimeModel):
    """Predicts the true run times, as an upper limit of any learning."""

    def __init__(self):
        super().__init__()
        self.seconds = {}

    def record_run_time(self, queue, record, run_ms):
        """Ignore a run time; the true ones are known."""

    def predict(self, queue, record):
        """Return the true run time of a step's task, in ms."""
        job_id, _, number = jobs.split_step_id(record.id)
        return int(1000 * self.seconds[job_id][number])


class Clients:
    """Submits jobs at random times."""

    def __init__(self, seed, rate, estimates_off, shape, crowd=None):
        """Take a seed and the rate of wide jobs a second.

        :param estimates_off: maximum relative error of run time estimates
        :param shape: the :class:`WideShape` of the wide jobs
        :param crowd: the :class:`Crowd` of their callers; None for one caller
        """
        self._shape = shape
        self._crowd = crowd
        # Separate, so that a crowd does not change the other random draws.
        self._caller_random = random.Random(f'{seed} callers')
        self._random = random.Random(f'{seed} arrivals')
        self._rate = rate
        self._estimates_off = estimates_off
        self._numbers = itertools.count()

    def set_rate(self, rate):
        """Set the wide jobs a second from now on."""
        self._rate = rate

    def submit_jobs(self, now, seconds):
        """Return the jobs submitted within some seconds.

        :returns: list of :class:`SubmittedJob`
        """
        makers = (
            (self._rate, self._make_wide),
            (SMALL_JOBS_PER_SECOND, self._make_small),
        )
        return [
            make(now)
            for rate, make in makers
            if self._random.random() < rate * seconds
        ]

    def _make_wide(self, now):
        rnd = self._random
        steps = max(1, min(4, round(rnd.gauss(2.0, 0.8))))
        image = f'fill-{rnd.randrange(IMAGE_COUNT)}'
        rows = []
        caller, scale = self._draw_caller()
        for _ in range(steps):
            median = self._shape.median_count
            count = max(2, min(60, rnd.lognormvariate(median, 0.6)))
            count = int(max(2, count * scale))
            seconds = rnd.lognormvariate(self._shape.median_seconds, 0.45)
            rows.append((count, self._shape.cpu_milli, seconds))
        submitted = self._make_job(WIDE, 2, rows, image, now)
        if caller:
            setattr(submitted.job, self._crowd.dimension, caller)
        return submitted

    def _draw_caller(self):
        """Return the caller of a wide job and the scale of its steps."""
        if self._crowd is None:
            return '', 1.0
        rnd = self._caller_random
        if rnd.random() < self._crowd.greedy_share:
            return GREEDY, self._crowd.greedy_scale
        return f'neighbour-{rnd.randrange(self._crowd.neighbours)}', 1.0

    def _make_small(self, now):
        rnd = self._random
        count = int(max(1, min(40, rnd.lognormvariate(1.7, 0.7))))
        rows = [(count, 1300, rnd.lognormvariate(0.1, 0.45))]
        return self._make_job(SMALL, 0, rows, '', now)

    def _make_job(self, queue, rank, rows, image, now):
        """Return a job as a :class:`SubmittedJob`.

        :param rows: (task count, milliprocessors, true seconds) of each step
        :param image: image of filling tasks, or '' for tasks that don't fill
        """
        steps = [
            self._make_step(number, *row, image)
            for number, row in enumerate(rows)
        ]
        critical_path_ms = sum(step.run_ms for step in steps)
        run_seconds = [true_seconds for _, _, true_seconds in rows]
        job = data.Job(
            f'{queue}-{next(self._numbers):04d}',
            queue,
            rank,
            b'',
            steps,
            int(STRETCH * critical_path_ms) + ALLOWANCE_MS,
            stretch=STRETCH,
            allowance_ms=ALLOWANCE_MS,
        )
        core_seconds = sum(
            n * milli * true_seconds / 1000 for n, milli, true_seconds in rows
        )
        objective_seconds = STRETCH * sum(run_seconds) + ALLOWANCE_MS / 1000
        return SubmittedJob(
            job, run_seconds, objective_seconds, core_seconds, now
        )

    def _make_step(self, number, count, milli, true_seconds, image):
        error = 1 + self._random.uniform(
            -self._estimates_off, self._estimates_off
        )
        share = self._shape.checkpoint_share
        has_checkpoints = share >= 1 or self._random.random() < share
        return data.Workload(
            count=count,
            resources=data.Resources(milli, 2 * milli),
            run_ms=max(50, int(1000 * true_seconds * error)),
            fills=bool(image),
            image=image,
            program=image,
            checkpointable=bool(image) and has_checkpoints,
            after=[str(number - 1)] if number else [],
            max_failures=MAX_FAILURES,
        )
