# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Bursts of jobs in the soak test, and clients that return when refused.

A burst asks for two to three times what all runners can do in its time. Its
clients submit again as ``Retry-After`` says, too early, or at another entry.
Some submit an accepted job again, as if its answer had been lost.
"""

import heapq
import itertools
import json
import random
import time

from portwharf.testing import soak_clients
from portwharf.testing import soak_runner
from portwharf.testing import soak_world

CLIENTS = 3
_MIN_FACTOR = 2.0
_MAX_FACTOR = 3.0
_MIN_SECONDS = 2.0
_MAX_SECONDS = 4.0
# Submissions of a job: the platform's clients retry up to four times.
_MAX_SENDINGS = 5
# Wait after an answer that names none.
_DEFAULT_RETRY_SECONDS = 1.0
_RESUBMITTED_SHARE = 0.3
_EARLY_SHARE = 0.3
_ELSEWHERE_SHARE = 0.3
# Longest time that an estimate may be wrong by, relative to the run time.
_ESTIMATE_ERROR = 0.9
_MIN_COUNT = 4
_MAX_COUNT = 10
# Longest wait for the end of bursts. Two of them are at most 24 s of what all
# runners can do.
_END_SECONDS = 30.0
_CALM_JOBS = 3
_CALM_JOB_SECONDS = 10.0


class BurstClient(soak_clients.Client):
    """A client that submits its share of a burst, each job at its time."""

    def __init__(self, world, seed, work_seconds, seconds):
        """Take a ``soak_world.World`` and a seed.

        :param work_seconds: processor seconds to submit
        :param seconds: time over which the jobs are spread
        """
        super().__init__(world, seed)
        # Rows of (time, number, job, entry); the number breaks ties.
        self._due = []
        self._numbers = itertools.count()
        now = time.monotonic()
        while work_seconds > 0:
            job, job_seconds = make_job(self._random)
            work_seconds -= job_seconds
            at = now + self._random.uniform(0.0, seconds)
            self._schedule(at, job, self._random.choice(world.entries))

    def run(self):
        while self._due:
            at, _, job, entry = heapq.heappop(self._due)
            if self._stop_event.wait(max(0.0, at - time.monotonic())):
                return
            if not job.replies:
                self.jobs.append(job)
            reply = self.send(job, entry)
            delay = choose_delay(self._random, job, reply)
            if delay is not None and len(job.replies) < _MAX_SENDINGS:
                entry = self._choose_entry(entry)
                self._schedule(time.monotonic() + delay, job, entry)

    def _schedule(self, at, job, entry):
        heapq.heappush(self._due, (at, next(self._numbers), job, entry))

    def _choose_entry(self, entry):
        """Return the same entry, or at times another one."""
        if self._random.random() >= _ELSEWHERE_SHARE:
            return entry
        others = [one for one in self._world.entries if one is not entry]
        return self._random.choice(others)


def start_burst(world, rnd):
    """Start a burst.

    :param rnd: a ``random.Random``
    :returns: list of its clients, which run
    """
    seconds = rnd.uniform(_MIN_SECONDS, _MAX_SECONDS)
    processors = len(world.sides) * soak_runner.CPU_MILLI / 1000
    work_seconds = rnd.uniform(_MIN_FACTOR, _MAX_FACTOR) * processors * seconds
    clients = [
        BurstClient(
            world, rnd.getrandbits(32), work_seconds / CLIENTS, seconds
        )
        for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    return clients


def wait_for_end(clients):
    """Wait until the accepted jobs of bursts have ended, or for a while."""
    running = [
        (client, job)
        for client in clients
        for job in client.jobs
        if job.accepted
    ]

    def has_ended():
        running[:] = [
            (client, job)
            for client, job in running
            if client.query_state(job)[1] not in ('completed', 'failed')
        ]
        return not running

    soak_world.wait_until(has_ended, _END_SECONDS)


def choose_delay(rnd, job, reply):
    """Return after how many seconds a job is submitted again, or None.

    :param rnd: a ``random.Random``
    :param reply: the ``soak_clients.Reply`` to its last submission
    """
    if reply.status == 200:
        is_first = job.statuses.count(200) == 1
        again = is_first and rnd.random() < _RESUBMITTED_SHARE
        return rnd.uniform(0.0, _MAX_SECONDS) if again else None
    if job.accepted is not None and reply.status:
        return None
    wait = _DEFAULT_RETRY_SECONDS
    if reply.retry_after is not None and reply.retry_after.isdecimal():
        wait = float(reply.retry_after)
    elif reply.status == soak_clients.NO_ROOM_STATUS:
        return None
    return rnd.uniform(0.0, wait) if rnd.random() < _EARLY_SHARE else wait


def make_job(rnd, max_count=_MAX_COUNT):
    """Return a job of a burst, and its work in processor seconds.

    :param max_count: largest number of tasks of a step
    """
    steps, step_specs, work_seconds = [], [], 0.0
    for number in range(rnd.randint(1, 2)):
        run_ms = rnd.randint(300, 1200)
        cpu = rnd.choice((500, 1000))
        count = rnd.randint(_MIN_COUNT, max_count)
        error = rnd.uniform(-_ESTIMATE_ERROR, _ESTIMATE_ERROR)
        step = {
            'count': count,
            'cpu': cpu,
            'memMb': 100,
            'estimateMs': int(run_ms * (1 + error)),
            'checkpoints': rnd.random() < 0.5,
            'gang': False,
            'longRunning': False,
        }
        if number:
            step['watchRev'] = [number - 1]
        steps.append(step)
        step_specs.append(
            {
                'ms': run_ms,
                'cpu': cpu,
                'memory': 100,
                'saves': step['checkpoints'],
            }
        )
        work_seconds += count * cpu * run_ms / 1_000_000
    job_id = f'{rnd.getrandbits(64):016x}'
    spec = json.dumps({'id': job_id, 'steps': step_specs})
    return soak_clients.ClientJob(job_id, spec, steps), work_seconds


def submit_calm_jobs(world, seed):
    """Submit small jobs, each once the one before has ended.

    :returns: the client, with its jobs
    """
    client = soak_clients.Client(world, seed)
    rnd = random.Random(seed)
    for _ in range(_CALM_JOBS):
        job, _ = make_job(rnd, _MIN_COUNT)
        client.jobs.append(job)
        client.submit(job)
        if job.accepted:
            soak_world.wait_until(
                lambda job=job: client.query_state(job)[1] == 'completed',
                _CALM_JOB_SECONDS,
            )
    return client
