# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What comes on the days of ``overload_day``: jobs, as clients know them.

Wide jobs that fill, of some steps one after the other, and small ones that
go first. Estimates of run times are off by up to a share either way. The same
seed gives the same jobs, whatever is decided about them.
"""

import dataclasses
import itertools
import random

from portwharf.core import data

WIDE, SMALL = 'plans', 'checks'
# Jobs a second of the small kind.
SMALL_RATE = 2.0
STRETCH = 2.0
ALLOWANCE_MS = 2000
IMAGES = 18
MAX_FAILURES = 3
# The mean work of a job in core-seconds, and what it is worth at the most.
MEAN_WORK = {WIDE: 480.0, SMALL: 12.0}
MOST_WORTH = 4.0
# Of a job in time, what one that is late is worth, up to three objectives.
LATE_WORTH = 0.15
LATE_FACTOR = 3


@dataclasses.dataclass(slots=True)
class Wanted:
    """A job as its client knows it.

    :param seconds: true run times by step
    :param objective: by them, in seconds
    :param work: core-seconds in all
    """

    job: data.Job = None
    seconds: list = dataclasses.field(default_factory=list)
    objective: float = 0.0
    work: float = 0.0
    came: float = 0.0

    @property
    def worth(self):
        """What it is worth in time, by its work."""
        share = self.work / MEAN_WORK[self.job.queue]
        return min(MOST_WORTH, 0.3 + 0.7 * share)


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers got.

    :param owed: what jobs were worth whose objective was over
    :param earned: of that
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self):
        """What was earned of what was owed."""
        return self.earned / max(1e-9, self.owed)

    def count(self, wanted, took):
        """Count a job whose objective is over.

        :param took: seconds until it was done, or None
        """
        self.jobs += 1
        self.owed += wanted.worth
        if took is None or took > LATE_FACTOR * wanted.objective:
            return
        if took <= wanted.objective:
            self.in_time += 1
            self.earned += wanted.worth
        else:
            self.late += 1
            self.earned += LATE_WORTH * wanted.worth


class Clients:
    """Hands in jobs at random."""

    def __init__(self, seed, rate, estimates_off):
        """Take a seed, wide jobs a second, and how far estimates are off."""
        self._random = random.Random(f'{seed} arrivals')
        self._rate = rate
        self._off = estimates_off
        self._numbers = itertools.count()

    def come(self, now, seconds):
        """Return the :class:`Wanted` that come within some seconds."""
        makers = (
            (self._rate, self._make_wide),
            (SMALL_RATE, self._make_small),
        )
        return [
            make(now)
            for rate, make in makers
            if self._random.random() < rate * seconds
        ]

    def _make_wide(self, now):
        rnd = self._random
        steps = max(1, min(4, round(rnd.gauss(2.0, 0.8))))
        image = f'fill-{rnd.randrange(IMAGES)}'
        rows = []
        for _ in range(steps):
            count = int(max(2, min(60, rnd.lognormvariate(2.4, 0.6))))
            rows.append((count, 7000, rnd.lognormvariate(1.0, 0.45)))
        return self._make_job(WIDE, 2, rows, image, now)

    def _make_small(self, now):
        rnd = self._random
        count = int(max(1, min(40, rnd.lognormvariate(1.7, 0.7))))
        rows = [(count, 1300, rnd.lognormvariate(0.1, 0.45))]
        return self._make_job(SMALL, 0, rows, '', now)

    def _make_job(self, queue, rank, rows, image, now):
        """Make a job of steps, each of a count, milliprocessors and seconds.

        :param image: what its tasks run, if they fill, else ''
        """
        steps = [
            self._make_step(number, *row, image)
            for number, row in enumerate(rows)
        ]
        chain = sum(one.run_ms for one in steps)
        seconds = [true for _, _, true in rows]
        job = data.Job(
            f'{queue}-{next(self._numbers):04d}',
            queue,
            rank,
            b'',
            steps,
            int(STRETCH * chain) + ALLOWANCE_MS,
            stretch=STRETCH,
            allowance_ms=ALLOWANCE_MS,
        )
        work = sum(n * milli * true / 1000 for n, milli, true in rows)
        objective = STRETCH * sum(seconds) + ALLOWANCE_MS / 1000
        return Wanted(job, seconds, objective, work, now)

    def _make_step(self, number, count, milli, true, image):
        off = 1 + self._random.uniform(-self._off, self._off)
        return data.Workload(
            count=count,
            resources=data.Resources(milli, 2 * milli),
            run_ms=max(50, int(1000 * true * off)),
            fills=bool(image),
            image=image,
            program=image,
            checkpointable=bool(image),
            after=[str(number - 1)] if number else [],
            max_failures=MAX_FAILURES,
        )
