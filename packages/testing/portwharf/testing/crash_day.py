# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Discrete-event simulation of worker crashes for ``make bench-crashes``.

Runs the production code for state, placement and crash-loop detection on a
virtual clock. A simulated day has eleven VMs, three in a rack, with small
jobs, wide jobs and long-running tasks. Kinds of days differ by what crashes
workers: crashers, which are tasks that crash the worker they start on, or
ordinary crashes of single workers, racks, zones, all workers, workers one
after another, workers that crash again and again, and workers that crash right
after some tasks are started again.
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
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import reconcile
from portwharf.scheduler import state

VMS = 11
VMS_PER_RACK = 3
VM_CAPACITY = data.Resources(32_000, 125_000)
DURATION_SECONDS = 30.0
# Range of the delay from a placement decision to the start at the worker.
START_DELAY_SECONDS = (0.015, 0.06)
# Range of the delay from a crash to its report to the owner.
NOTICE_DELAY_SECONDS = (0.005, 0.08)
# Interval at which sides read their workers' listings.
LISTING_SECONDS = 0.4
# Range of the delay from the start of a crasher to the crash of its worker.
CRASH_DELAY_SECONDS = (0.004, 0.03)
RESTART_SECONDS = 3.3
# On days of the kind ``restarts``: the share of second and later attempts
# after whose start the worker crashes by itself, and the range of the delay.
RESTART_CRASH_SHARE = 0.12
RESTART_CRASH_DELAY_SECONDS = (0.02, 0.12)
_PASS_INTERVAL_SECONDS = 0.05
# Kinds of days with ordinary crashes, and with crashers.
ORDINARY_KINDS = (
    'single',
    'rack',
    'zone',
    'all',
    'series',
    'flapping',
    'restarts',
)
CRASHER_KINDS = ('crasher', 'two-crashers', 'unanswered', 'crasher-in-series')


@dataclasses.dataclass(slots=True)
class Tally:
    """Results of one day, or sums over several days.

    :param false: healthy jobs that were given up
    :param crashers: jobs whose crasher has started
    :param caught: those of them that were given up
    :param crashes: worker crashes caused by crashers
    :param most: maximum of these crashes by one task
    :param killed: healthy tasks lost in these crashes
    :param serving: long-running tasks among the lost ones
    :param lost: processor seconds of the lost tasks
    :param seconds: time from the first start of each crasher until it was
        given up, summed
    :param done: completed jobs
    :param away: longest outage of a healthy long-running task, in seconds
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
        """Add the results of another day."""
        for field in dataclasses.fields(self):
            name = field.name
            own, added = getattr(self, name), getattr(other, name)
            is_maximum = name in ('most', 'away')
            setattr(self, name, max(own, added) if is_maximum else own + added)


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt that runs on a worker."""

    task: str = ''
    attempt: int = 0
    began: float = 0.0


class ReachableMembers:
    """Members of a cluster in which no VM is silent."""

    def is_silent(self, name, now):
        return False


class Day:
    """Simulates one day."""

    def __init__(self, seed, kind, with_detection=True):
        self._random = random.Random(f'{seed} {kind}')
        # A separate generator, so that known seeds keep their days.
        self._listing_random = random.Random(f'{seed} {kind} listings')
        self._restart_random = random.Random(f'{seed} {kind} restarts')
        self._kind = kind
        self._with_detection = with_detection
        self._clock = clock.ManualClock(0.0)
        self._state = state.ShardState()
        self._crash_loops = crashloop.CrashLoopDetector(
            self._clock, self._state, ReachableMembers()
        )
        self._queue = []
        self._sequence = itertools.count()
        self._job_numbers = itertools.count()
        self._runs = {
            self._format_vm_name(number): {} for number in range(VMS)
        }
        # Time at which each crashed worker is back: the actual one, and the
        # one known to the owner.
        self._back_at = collections.defaultdict(float)
        self._known_away_until = collections.defaultdict(float)
        self._incarnations = collections.Counter()
        self._crashers = {}
        self._starts_answered = kind != 'unanswered'
        self._crashes_by_task = collections.Counter()
        self._given_up = {}
        # Time at which the owner learnt that a task was lost, kept until the
        # task starts again.
        self._lost_at = {}
        self._first_start = {}
        self.tally = Tally()

    def run(self):
        """Run the simulation; returns its :class:`Tally`."""
        self._schedule_day()
        while self._queue:
            at, _, action, arguments = heapq.heappop(self._queue)
            if at > DURATION_SECONDS:
                break
            self._clock.advance(max(0.0, at - self._now))
            action(*arguments)
        self._fill_tally()
        return self.tally

    @property
    def _now(self):
        return self._clock.read_monotonic()

    def _schedule_at(self, at, action, *arguments):
        entry = (at, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, entry)

    def _schedule_in(self, delay_range, action, *arguments):
        self._schedule_at(
            self._now + self._random.uniform(*delay_range), action, *arguments
        )

    # Arrivals and failures.

    def _schedule_day(self):
        rnd = self._random
        for _ in range(8):
            self._schedule_at(0.1, self._submit, self._make_long_running())
        for rate, make in ((1.5, self._make_small), (0.4, self._make_wide)):
            at = rnd.expovariate(rate)
            while at < DURATION_SECONDS:
                self._schedule_at(at, self._submit, make())
                at += rnd.expovariate(rate)
        for number in range(int(DURATION_SECONDS / _PASS_INTERVAL_SECONDS)):
            self._schedule_at(number * _PASS_INTERVAL_SECONDS, self._run_pass)
        if self._kind in CRASHER_KINDS:
            count = 2 if self._kind == 'two-crashers' else 1
            for _ in range(count):
                at = rnd.uniform(8, 12)
                self._schedule_at(at, self._submit, self._make_crasher())
        if self._kind == 'crasher-in-series':
            self._schedule_crashes('series')
        if self._kind in ORDINARY_KINDS:
            self._schedule_crashes(self._kind)

    def _schedule_crashes(self, kind):
        rnd = self._random
        names = list(self._runs)
        at = rnd.uniform(6, 12)
        if kind in ('single', 'restarts'):
            for _ in range(rnd.randint(1, 6)):
                self._schedule_at(
                    rnd.uniform(5, 25), self._crash, rnd.choice(names)
                )
        elif kind == 'flapping':
            period_seconds = rnd.uniform(0.3, 5.0)
            for name in rnd.sample(names, rnd.randint(1, 3)):
                for turn in range(
                    int((DURATION_SECONDS - at) / (period_seconds + 1.0))
                ):
                    self._schedule_at(
                        at + turn * (period_seconds + 1.0), self._flap, name
                    )
        else:
            first = rnd.randrange(VMS)
            count = {'rack': VMS_PER_RACK, 'zone': 4, 'all': VMS}.get(kind, 8)
            gap_seconds = rnd.uniform(0, 0.3) if kind != 'series' else 0.0
            gap_seconds = gap_seconds or rnd.uniform(0.02, 4.0)
            gap_seconds = (
                0.0 if kind == 'all' and rnd.random() < 0.5 else gap_seconds
            )
            for turn in range(count):
                name = names[(first + turn) % VMS]
                self._schedule_at(at + turn * gap_seconds, self._crash, name)

    def _make_job(self, *steps):
        name = f'job-{next(self._job_numbers):04d}'
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

    def _make_long_running(self):
        standing = data.Kind.STANDING
        return self._make_job(
            self._make_step(
                4, 1000, 0, kind=standing, target_ms=400, image='c'
            )
        )

    def _make_crasher(self):
        makers = (self._make_small, self._make_wide, self._make_long_running)
        job = self._random.choice(makers)()
        task = self._random.randrange(job.steps[0].count)
        self._crashers[f'{job.id}.0.0.{task}'] = job.id
        return job

    def _submit(self, job):
        now_ms = self._clock.read_unix_ms()
        self._state.apply(events.JobAccepted(now_ms, job))

    def _flap(self, name):
        """Crash a worker that is back after one second."""
        self._crash(name, 1.0)

    def _crash(self, name, seconds=RESTART_SECONDS, crasher=''):
        """Crash a worker with all tasks on it.

        :param seconds: time until the worker is back
        :param crasher: the task that caused the crash, or ''
        """
        if self._back_at[name] > self._now:
            return
        runs, self._runs[name] = self._runs[name], {}
        self._back_at[name] = self._now + seconds
        self._incarnations[name] += 1
        incarnation = f'life-{self._incarnations[name]}'
        listed_at = self._now - self._listing_random.uniform(
            0.0, LISTING_SECONDS
        )
        self._schedule_in(
            NOTICE_DELAY_SECONDS,
            self._notify_crash,
            name,
            incarnation,
            list(runs.values()),
            listed_at,
        )
        if crasher:
            self._count_lost(runs, crasher)

    def _count_lost(self, runs, crasher):
        self.tally.crashes += 1
        self._crashes_by_task[crasher] += 1
        for run in runs.values():
            record = self._state.find_workload(run.task)
            if record.workload.job == self._crashers[crasher]:
                continue
            self.tally.killed += 1
            self.tally.serving += record.workload.target_ms > 0
            cores = record.workload.resources.cpu_milli / 1000
            if record.workload.run_ms:
                self.tally.lost += cores * (self._now - run.began)

    # Reports to the owner, and its decisions.

    def _notify_crash(self, name, incarnation, runs, listed_at):
        self._known_away_until[name] = self._back_at[name]
        for run in runs:
            self._lost_at.setdefault(run.task, self._now)
            self._report_crash(name, incarnation, run, listed_at)
        self._detect_crash_loops()

    def _report_crash(self, name, incarnation, run, listed_at):
        ran_ms = int((self._now - run.began) * 1000)
        listed_ms = int(max(0.0, listed_at - run.began) * 1000)
        if run.task in self._crashers and not self._starts_answered:
            ran_ms = listed_ms = -1
        report = messages.TaskReport(
            run.task,
            run.attempt,
            data.RunState.GONE,
            crash=incarnation,
            ran_ms=ran_ms,
            listed_ms=listed_ms,
        )
        self._report(name, report)

    def _report(self, name, report):
        verdict = reconcile.ReportOutcome()
        reconcile.process_report(self._state, name, report, verdict)
        if self._with_detection:
            self._crash_loops.record_report(name, report)

    def _detect_crash_loops(self):
        if self._with_detection:
            self._crash_loops.resolve_suspects(
                batches.Batch(), self._apply_event, self._record_given_up
            )

    def _apply_event(self, batch, event):
        self._state.apply(event)

    def _record_given_up(self, event, batch):
        job = self._state.find_workload(event.task).workload.job
        self._given_up.setdefault(job, self._now)
        if not self._state.jobs[job].cancelled:
            self._state.apply(events.JobCancelled(job))

    def _run_pass(self):
        """Place waiting tasks, as a pass of the owner does."""
        self._detect_crash_loops()
        if not self._with_detection:
            # Without detection, crashes leave no suspicion.
            for task in list(self._state.suspects):
                self._state.apply(events.TaskCleared(task))
        now_ms = self._clock.read_unix_ms()
        demands = pass_inputs.list_demands(
            self._state, lambda _: frozenset(), now_ms
        )
        if not demands:
            return
        held = (
            self._crash_loops.list_held_back() if self._with_detection else ()
        )
        for demand in demands:
            demand.held_tasks = held
        views = [self._make_view(name) for name in self._runs]
        if self._with_detection:
            self._crash_loops.mark_unstable(views)
            self._crash_loops.mark_suspects(views)
        planned = pass_inputs.plan(self._state, demands, views, {}, now_ms)
        for placed in planned.placements:
            event = events.TaskPlaced(placed.task, placed.attempt, placed.vm)
            self._state.apply(event)
            if self._with_detection:
                self._crash_loops.record_placement(
                    self._state.tasks[placed.task]
                )
            run = Run(placed.task, placed.attempt)
            self._schedule_in(START_DELAY_SECONDS, self._start, placed.vm, run)

    def _make_view(self, name):
        number = list(self._runs).index(name)
        vm = data.Vm(name, availability_zone=f'zone-{number % 3}')
        view = vmview.VmView(vm, VM_CAPACITY, self._state.reserved[name])
        view.rack = f'rack-{number // VMS_PER_RACK}'
        view.set_headrooms(tail_interference.TailInterferenceModel(), [])
        if self._known_away_until[name] > self._now:
            view.closed = 'away'
        for task in self._state.held[name].values():
            record = self._state.find_workload(task.id)
            view.add_usage(record.workload)
        return view

    def _start(self, name, run):
        record = self._state.find_workload(run.task)
        if self._back_at[name] > self._now or record.cancelled:
            refused = data.RunState.REFUSED
            self._report(
                name, messages.TaskReport(run.task, run.attempt, refused)
            )
            return
        run.began = self._now
        self._runs[name][run.task] = run
        lost_at = self._lost_at.pop(run.task, self._now)
        if record.workload.target_ms and run.task not in self._crashers:
            self.tally.away = max(self.tally.away, self._now - lost_at)
        running = data.RunState.RUNNING
        self._report(name, messages.TaskReport(run.task, run.attempt, running))
        if run.task in self._crashers:
            self._first_start.setdefault(run.task, self._now)
            incarnation = self._incarnations[name]
            self._schedule_in(
                CRASH_DELAY_SECONDS,
                self._crash_by_task,
                name,
                run,
                incarnation,
            )
        elif record.workload.run_ms:
            self._crash_after_restart(name, run)
            factor = self._random.uniform(0.7, 1.3)
            seconds = factor * record.workload.run_ms / 1000
            self._schedule_at(self._now + seconds, self._complete, name, run)

    def _crash_after_restart(self, name, run):
        if self._kind != 'restarts' or run.attempt < 2:
            return
        if self._restart_random.random() < RESTART_CRASH_SHARE:
            delay = self._restart_random.uniform(*RESTART_CRASH_DELAY_SECONDS)
            self._schedule_at(
                self._now + delay,
                self._crash_incarnation,
                name,
                self._incarnations[name],
            )

    def _crash_incarnation(self, name, incarnation):
        if self._incarnations[name] == incarnation:
            self._crash(name)

    def _crash_by_task(self, name, run, incarnation):
        if self._incarnations[name] == incarnation:
            self._crash(name, crasher=run.task)

    def _complete(self, name, run):
        if self._runs[name].get(run.task) is not run:
            return
        del self._runs[name][run.task]
        succeeded = data.RunState.SUCCEEDED
        self._report(
            name, messages.TaskReport(run.task, run.attempt, succeeded)
        )

    def _fill_tally(self):
        crasher_jobs = set(self._crashers.values())
        self.tally.false = len(set(self._given_up) - crasher_jobs)
        for task, began in self._first_start.items():
            self.tally.crashers += 1
            given_up_at = self._given_up.get(self._crashers[task])
            self.tally.caught += given_up_at is not None
            self.tally.seconds += (given_up_at or DURATION_SECONDS) - began
        self.tally.most = max(self._crashes_by_task.values(), default=0)
        self.tally.done = sum(
            self._state.find_job_state(name) == data.JobState.COMPLETED
            for name in self._state.jobs
        )

    @staticmethod
    def _format_vm_name(number):
        return f'vm-{number:02d}'
