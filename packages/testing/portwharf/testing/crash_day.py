# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Days for ``make bench-crashes``, stepped from event to event.

The state, the placement and the judgement of suspects are the real ones, on a
virtual clock: eleven VMs, three a rack, with small jobs, wide ones and lasting
tasks. Days differ by what crashes workers: tasks that do, or single workers,
racks and zones, all at once, in series, and workers that go up and down.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import batches
from portwharf.scheduler import crashloop
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import presses
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.scheduler import suspects

VMS = 11
A_RACK = 3
ROOM = data.Resources(32_000, 125_000)
SECONDS = 30.0
# From a decision to the start at the worker, through log and side.
START_SECONDS = (0.015, 0.06)
# From a crash to the owner's hearing of it.
NOTICE_SECONDS = (0.005, 0.08)
# A crasher takes its worker along so soon after its start.
CRASH_SECONDS = (0.004, 0.03)
BACK_SECONDS = 3.3
_PASS_SECONDS = 0.05
# Days of ordinary crashes: which workers go, and when after one another.
ORDINARY = ('single', 'rack', 'zone', 'all', 'series', 'flapping')
CRASHERS = ('crasher', 'two-crashers', 'unanswered', 'crasher-in-series')


@dataclasses.dataclass(slots=True)
class Tally:
    """What one day, or several, came to.

    :param false: sound jobs that were given up
    :param crashers: jobs with a crasher that had begun
    :param caught: those that were given up
    :param crashes: of workers, under crashers
    :param most: the most of them under one task
    :param killed: sound tasks that went with a crasher's worker
    :param serving: lasting ones among them
    :param lost: processor seconds of theirs that were lost
    :param seconds: from a crasher's first start to its being given up
    :param done: sound jobs that were completed
    :param away: the longest that a sound lasting task was away, in seconds
    """

    false: int = 0
    crashers: int = 0
    caught: int = 0
    crashes: int = 0
    most: int = 0
    killed: int = 0
    serving: int = 0
    lost: float = 0.0
    seconds: float = 0.0
    done: int = 0
    away: float = 0.0

    def add(self, other):
        """Add another day's."""
        for field in dataclasses.fields(self):
            name = field.name
            one, two = getattr(self, name), getattr(other, name)
            most = name in ('most', 'away')
            setattr(self, name, max(one, two) if most else one + two)


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt at a worker."""

    task: str = ''
    attempt: int = 0
    began: float = 0.0


class Members:
    """All VMs are heard."""

    def is_silent(self, name, now):
        return False


class Day:
    """One day, stepped from event to event."""

    def __init__(self, seed, kind, judged=True):
        self._random = random.Random(f'{seed} {kind}')
        self._kind = kind
        self._judged = judged
        self._clock = clock.ManualClock(0.0)
        self._state = state.ShardState()
        self._loops = crashloop.CrashLoops(self._clock, self._state, Members())
        self._queue = []
        self._order = itertools.count()
        self._jobs = itertools.count()
        self._runs = {self._name(number): {} for number in range(VMS)}
        # When each worker is there again, and since when the owner knows.
        self._back = collections.defaultdict(float)
        self._known_away = collections.defaultdict(float)
        self._lives = collections.Counter()
        self._crashers = {}
        self._answered = kind != 'unanswered'
        self._counts = collections.Counter()
        self._given_up = {}
        # Since when tasks that a crash has ended are away.
        self._gone_at = {}
        self._first = {}
        self.tally = Tally()

    def play(self):
        """Play the day; returns its :class:`Tally`."""
        self._plan()
        while self._queue:
            at, _, act, arguments = heapq.heappop(self._queue)
            if at > SECONDS:
                break
            self._clock.advance(max(0.0, at - self._now))
            act(*arguments)
        self._finish()
        return self.tally

    @property
    def _now(self):
        return self._clock.read_monotonic()

    def _at(self, seconds, act, *arguments):
        row = (seconds, next(self._order), act, arguments)
        heapq.heappush(self._queue, row)

    def _in(self, span, act, *arguments):
        self._at(self._now + self._random.uniform(*span), act, *arguments)

    # What comes, and what fails.

    def _plan(self):
        rnd = self._random
        for _ in range(8):
            self._at(0.1, self._submit, self._make_lasting())
        for rate, make in ((1.5, self._make_small), (0.4, self._make_wide)):
            at = rnd.expovariate(rate)
            while at < SECONDS:
                self._at(at, self._submit, make())
                at += rnd.expovariate(rate)
        for number in range(int(SECONDS / _PASS_SECONDS)):
            self._at(number * _PASS_SECONDS, self._pass)
        if self._kind in CRASHERS:
            count = 2 if self._kind == 'two-crashers' else 1
            for _ in range(count):
                at = rnd.uniform(8, 12)
                self._at(at, self._submit, self._make_crasher())
        if self._kind == 'crasher-in-series':
            self._plan_crashes('series')
        if self._kind in ORDINARY:
            self._plan_crashes(self._kind)

    def _plan_crashes(self, kind):
        rnd = self._random
        names = list(self._runs)
        at = rnd.uniform(6, 12)
        if kind == 'single':
            for _ in range(rnd.randint(1, 6)):
                self._at(rnd.uniform(5, 25), self._crash, rnd.choice(names))
        elif kind == 'flapping':
            period = rnd.uniform(0.3, 5.0)
            for name in rnd.sample(names, rnd.randint(1, 3)):
                for turn in range(int((SECONDS - at) / (period + 1.0))):
                    self._at(at + turn * (period + 1.0), self._flap, name)
        else:
            first = rnd.randrange(VMS)
            count = {'rack': A_RACK, 'zone': 4, 'all': VMS}.get(kind, 8)
            gap = rnd.uniform(0, 0.3) if kind != 'series' else 0.0
            gap = gap or rnd.uniform(0.02, 4.0)
            gap = 0.0 if kind == 'all' and rnd.random() < 0.5 else gap
            for turn in range(count):
                name = names[(first + turn) % VMS]
                self._at(at + turn * gap, self._crash, name)

    def _make_job(self, *steps):
        name = f'job-{next(self._jobs):04d}'
        return data.Job(name, 'queue', 1, b'', list(steps), 4000)

    def _make_step(self, count, milli, run_ms, **fields):
        size = data.Resources(milli, 2000)
        return data.Workload(
            count=count, resources=size, run_ms=run_ms, **fields
        )

    def _make_small(self):
        return self._make_job(
            self._make_step(6, 480, 2000, fills=True, image='a')
        )

    def _make_wide(self):
        first = self._make_step(8, 3500, 3400, image='b')
        return self._make_job(first, dataclasses.replace(first, after=['0']))

    def _make_lasting(self):
        lasts = data.Kind.STANDING
        return self._make_job(
            self._make_step(4, 1000, 0, kind=lasts, target_ms=400, image='c')
        )

    def _make_crasher(self):
        makers = (self._make_small, self._make_wide, self._make_lasting)
        job = self._random.choice(makers)()
        task = self._random.randrange(job.steps[0].count)
        self._crashers[f'{job.id}.0.0.{task}'] = job.id
        return job

    def _submit(self, job):
        now_ms = self._clock.read_unix_ms()
        self._state.apply(events.JobAccepted(now_ms, job))

    def _flap(self, name):
        """A worker that goes, and is soon there again."""
        self._crash(name, 1.0)

    def _crash(self, name, seconds=BACK_SECONDS, crasher=''):
        """A worker's process ends with all that it runs."""
        if self._back[name] > self._now:
            return
        runs, self._runs[name] = self._runs[name], {}
        self._back[name] = self._now + seconds
        self._lives[name] += 1
        life = f'life-{self._lives[name]}'
        self._in(NOTICE_SECONDS, self._notice, name, life, list(runs.values()))
        if crasher:
            self._count_killed(runs, crasher)

    def _count_killed(self, runs, crasher):
        self.tally.crashes += 1
        self._counts[crasher] += 1
        for run in runs.values():
            record = self._state.find_workload(run.task)
            if record.workload.job == self._crashers[crasher]:
                continue
            self.tally.killed += 1
            self.tally.serving += record.workload.target_ms > 0
            cores = record.workload.resources.cpu_milli / 1000
            if record.workload.run_ms:
                self.tally.lost += cores * (self._now - run.began)

    # What the side tells, and the owner does.

    def _notice(self, name, life, runs):
        self._known_away[name] = self._back[name]
        for run in runs:
            self._gone_at.setdefault(run.task, self._now)
            self._report_crash(name, life, run)
        self._judge()

    def _report_crash(self, name, life, run):
        ran_ms = int((self._now - run.began) * 1000)
        if run.task in self._crashers and not self._answered:
            ran_ms = -1
        report = messages.TaskReport(
            run.task,
            run.attempt,
            data.RunState.GONE,
            crash=life,
            ran_ms=ran_ms,
        )
        self._report(name, report)

    def _report(self, name, report):
        verdict = reconcile.Verdict()
        reconcile.judge_report(self._state, name, report, verdict)
        if self._judged:
            self._loops.take_report(name, report)

    def _judge(self):
        if self._judged:
            self._loops.judge(batches.Batch(), self._add, self._note_ended)

    def _add(self, batch, event):
        self._state.apply(event)

    def _note_ended(self, event, batch):
        job = self._state.find_workload(event.task).workload.job
        self._given_up.setdefault(job, self._now)
        if not self._state.jobs[job].cancelled:
            self._state.apply(events.JobCancelled(job))

    def _pass(self):
        """Place what waits, as an owner's pass does."""
        self._judge()
        if not self._judged:
            # Nothing is known of crashes.
            for task in list(self._state.suspects):
                self._state.apply(events.TaskCleared(task))
        now_ms = self._clock.read_unix_ms()
        demands = planning.list_demands(
            self._state, lambda _: frozenset(), now_ms
        )
        if not demands:
            return
        held = self._loops.list_held() if self._judged else ()
        for demand in demands:
            demand.held = held
        views = [self._view(name) for name in self._runs]
        if self._judged:
            self._loops.mark_unsteady(views)
        done = planning.plan(self._state, demands, views, {}, now_ms)
        for one in done.placements:
            event = events.TaskPlaced(one.task, one.attempt, one.vm)
            self._state.apply(event)
            if self._judged:
                self._loops.note_placed(self._state.tasks[one.task])
            run = Run(one.task, one.attempt)
            self._in(START_SECONDS, self._start, one.vm, run)

    def _view(self, name):
        number = list(self._runs).index(name)
        vm = data.Vm(name, availability_zone=f'zone-{number % 3}')
        view = vmview.VmView(vm, ROOM, self._state.reserved[name])
        view.rack = f'rack-{number // A_RACK}'
        view.take_pairs(presses.Presses(), [])
        if self._known_away[name] > self._now:
            view.closed = 'away'
        for task in self._state.held[name].values():
            record = self._state.find_workload(task.id)
            view.count_fill(record.workload)
            if task.crashes:
                unit = suspects.find_unit(self._state, task)
                view.note_suspect(unit, len(task.crashes))
        return view

    def _start(self, name, run):
        record = self._state.find_workload(run.task)
        if self._back[name] > self._now or record.cancelled:
            state_ = data.RunState.REFUSED
            self._report(
                name, messages.TaskReport(run.task, run.attempt, state_)
            )
            return
        run.began = self._now
        self._runs[name][run.task] = run
        gone_at = self._gone_at.pop(run.task, self._now)
        if record.workload.target_ms and run.task not in self._crashers:
            self.tally.away = max(self.tally.away, self._now - gone_at)
        running = data.RunState.RUNNING
        self._report(name, messages.TaskReport(run.task, run.attempt, running))
        if run.task in self._crashers:
            self._first.setdefault(run.task, self._now)
            life = self._lives[name]
            self._in(CRASH_SECONDS, self._take_along, name, run, life)
        elif record.workload.run_ms:
            spread = self._random.uniform(0.7, 1.3)
            seconds = spread * record.workload.run_ms / 1000
            self._at(self._now + seconds, self._end, name, run)

    def _take_along(self, name, run, life):
        if self._lives[name] == life:
            self._crash(name, crasher=run.task)

    def _end(self, name, run):
        if self._runs[name].get(run.task) is not run:
            return
        del self._runs[name][run.task]
        done = data.RunState.SUCCEEDED
        self._report(name, messages.TaskReport(run.task, run.attempt, done))

    def _finish(self):
        bad = set(self._crashers.values())
        self.tally.false = len(set(self._given_up) - bad)
        for task, began in self._first.items():
            self.tally.crashers += 1
            ended = self._given_up.get(self._crashers[task])
            self.tally.caught += ended is not None
            self.tally.seconds += (ended or SECONDS) - began
        self.tally.most = max(self._counts.values(), default=0)
        self.tally.done = sum(
            self._state.find_job_state(name) == data.JobState.COMPLETED
            for name in self._state.jobs
        )

    @staticmethod
    def _name(number):
        return f'vm-{number:02d}'
