# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Days of more work than there is room for, on the real decisions.

The state, the order, the placement, the moves and the precedence beside what
serves are the product's; VMs, run times and clients are played here, on a
virtual clock and without a network. The load: on every VM something serves,
and bears only so much press; wide jobs that fill, of two steps, come faster
than they can be done, beside small jobs that go first. Clients' estimates of
run times are far off. What is measured is what callers get: jobs whose last
task ends within their objective, and worth by their work.

By hand, the mean of some seeds: ``python -m portwharf.testing.overload_day``.
"""

import argparse
import dataclasses
import random

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import presses
from portwharf.scheduler.decisions import rehoming
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import jobs
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.testing import overload_load

VMS = 20
ROOM = data.Resources(64_000, 250_000)
SERVING = data.Resources(36_000, 80_000)
SECONDS = 40.0
STEP_SECONDS = 0.1
# Presses of the images that fill, and what a server bears.
LIGHT, HEAVY = 0.6, 5.0
HEAVY_SHARE = 0.65
HEADROOM = 0.9
SWING = 0.5
SWING_SECONDS = 10.0
# From a decision to the start, and from a stop to being placed anew.
START_SECONDS = 0.06
STOP_SECONDS = 0.45
RESTORE_SECONDS = 0.6
SAVE_SECONDS = 0.5
FAILS = 0.05


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt on a VM.

    :param needs: seconds of work in all
    :param worked: seconds of work done
    :param saved: of those, what is saved
    """

    task: str = ''
    attempt: int = 0
    vm: str = ''
    needs: float = 0.0
    worked: float = 0.0
    saved: float = 0.0
    idle_until: float = 0.0
    pace: float = 1.0
    ends_at: float = 0.0
    stopping: bool = False


class _Link:
    """What the decisions look at of a member."""

    def __init__(self, name):
        self.name = name
        self.view = self
        self.paced = []


class Day:
    """One day, in steps of a tenth of a second."""

    def __init__(self, seed, load=1.3, estimates_off=0.9, knows=None):
        """Take a seed and how much comes.

        :param load: wide jobs a second
        :param knows: a ``forecast.RunTimes``, or None for a new one; one
            that knows all is the limit
        """
        self._seed = seed
        self._clients = overload_load.Clients(seed, load, estimates_off)
        self._clock = clock.ManualClock(0.0)
        self._state = state.ShardState()
        self.runtimes = knows if knows is not None else forecast.RunTimes()
        self._pairs = presses.Presses()
        self._presses = {}
        self._phases = {}
        self._runs = {}
        self._links = [_Link(f'vm-{n:02d}') for n in range(VMS)]
        self._begun = {}
        self._patience = planning.Patience()
        self._shunned = rehoming.Shunned()
        self._wanted = {}
        self._saves = {}
        self._ends = {}
        self._views = []
        self._make_world()

    def play(self):
        """Play the day.

        :returns: map of queue to :class:`Tally`
        """
        steps = int(SECONDS / STEP_SECONDS)
        for number in range(steps):
            self._clock.advance(STEP_SECONDS)
            self._come()
            self._pace()
            self._work()
            self._pass()
            if number % 4 == 0:
                self._move()
        return self._count()

    @property
    def now(self):
        """The time, in seconds."""
        return self._clock.read_monotonic()

    @property
    def _now_ms(self):
        return self._clock.read_unix_ms()

    def _make_world(self):
        rnd = random.Random(f'{self._seed} world')
        told = []
        for number in range(overload_load.IMAGES):
            heavy = rnd.random() < HEAVY_SHARE
            press = HEAVY * rnd.uniform(0.7, 1.4) if heavy else LIGHT
            name = f'fill-{number}'
            self._presses[name] = press
            told.append(messages.Press('serve', name, press, 0.3))
        self._pairs.take_told(told)
        for link in self._links:
            self._phases[link.name] = rnd.uniform(0, SWING_SECONDS)

    def _come(self):
        for wanted in self._clients.come(self.now, STEP_SECONDS):
            self._wanted[wanted.job.id] = wanted
            if isinstance(self.runtimes, Oracle):
                self.runtimes.seconds[wanted.job.id] = wanted.seconds
            event = events.JobAccepted(self._now_ms, wanted.job)
            self._state.apply(event)

    # What VMs do.

    def _bears(self, name):
        """Return what the server of a VM bears now."""
        phase = (self.now + self._phases[name]) / SWING_SECONDS
        swing = 1 if phase % 1 < 0.5 else -1
        return HEADROOM * (1 + SWING * swing * abs(2 * (phase % 0.5) - 0.5))

    def _pace(self):
        """Have each VM share its server's room out, by precedence."""
        by_vm = {link.name: [] for link in self._links}
        for run in self._runs.values():
            by_vm[run.vm].append(run)
        weigher = precedence.Weigher(self._state, self._now_ms, self.runtimes)
        for link in self._links:
            link.paced = self._pace_vm(link.name, by_vm[link.name], weigher)

    def _pace_vm(self, name, runs, weigher):
        filling = []
        for run in runs:
            record = self._state.find_workload(run.task)
            if record.workload.fills and not run.stopping:
                press = self._presses[record.workload.image]
                rank = precedence.rank(weigher.weigh(record), press)
                filling.append((rank, run.task, press, run))
        left, paced = self._bears(name), []
        for _, _, press, run in sorted(filling, key=lambda row: row[:2]):
            cost = press * 7000 / ROOM.cpu_milli
            run.pace = max(0.03, min(1.0, left / cost))
            left = max(0.0, left - cost * run.pace)
            if run.pace < 1:
                done = int(100 * run.worked / run.needs)
                percent = int(100 * run.pace)
                paced.append(
                    messages.PacedTask(run.task, run.attempt, percent, done)
                )
        return paced

    def _work(self):
        for run in list(self._runs.values()):
            if run.stopping:
                if self.now >= run.ends_at:
                    self._stopped(run)
                continue
            if self.now < run.idle_until:
                continue
            run.worked += run.pace * STEP_SECONDS
            run.saved = run.worked - run.worked % SAVE_SECONDS
            if run.worked >= run.needs:
                self._ended(run)

    def _ended(self, run):
        record = self._state.find_workload(run.task)
        failed = self._draw(run, 'fails') < FAILS
        end = data.RunState.FAILED if failed else data.RunState.SUCCEEDED
        del self._runs[run.task]
        self._saves.pop(run.task, None)
        if not failed:
            queue = self._state.jobs[record.workload.job].job.queue
            self.runtimes.note(queue, record, int(1000 * run.needs))
        self._report(run, end)

    def _draw(self, run, what):
        """Return a number, 0 to 1, that is the same whoever decides."""
        name = f'{self._seed} {what} {run.task} {run.attempt}'
        return random.Random(name).random()

    def _stopped(self, run):
        del self._runs[run.task]
        self._saves[run.task] = run.saved
        self._report(run, data.RunState.CHECKPOINTED)

    def _report(self, run, end):
        verdict = reconcile.Verdict()
        report = messages.TaskReport(run.task, run.attempt, end)
        reconcile.judge_report(self._state, run.vm, report, verdict)
        job = self._state.find_workload(run.task).workload.job
        if self._state.find_job_state(job) == data.JobState.COMPLETED:
            self._ends[job] = self.now - self._wanted[job].came
        if self._state.jobs[job].failed:
            self._state.apply(events.JobCancelled(job))
            for other in list(self._runs.values()):
                if self._state.find_workload(other.task).workload.job == job:
                    del self._runs[other.task]
                    self._report(other, data.RunState.GONE)

    # What the owner does.

    def _pass(self):
        views = self._view_vms()
        demands = planning.list_demands(
            self._state, lambda _: frozenset(), self._now_ms, self.runtimes
        )
        shunned = self._shunned.find(self.now)
        for demand in demands:
            demand.shunned = shunned
        self._patience.apply(demands, self.now)
        done = planning.plan(self._state, demands, views, {}, self._now_ms)
        waiting = {one.record.id: one for one in done.waiting}
        self._patience.note(waiting, self.now)
        for one in done.placements:
            self._place(one)
        self._views = views

    def _place(self, one):
        event = events.TaskPlaced(one.task, one.attempt, one.vm)
        self._state.apply(event)
        record = self._state.find_workload(one.task)
        wanted = self._wanted[record.workload.job]
        number = int(record.id.rpartition('.')[2])
        uneven = 0.9 + 0.2 * self._draw(one, 'needs')
        needs = wanted.seconds[number] * uneven
        saved = self._saves.get(one.task, 0.0)
        wait = START_SECONDS + (RESTORE_SECONDS if saved else 0.0)
        self._runs[one.task] = Run(
            one.task,
            one.attempt,
            one.vm,
            needs,
            min(saved, needs),
            saved,
            self.now + wait,
        )
        self._begun[(one.task, one.attempt)] = self.now

    def _view_vms(self):
        weigher = precedence.Weigher(self._state, self._now_ms, self.runtimes)
        views = []
        for number, link in enumerate(self._links):
            vm = data.Vm(link.name, availability_zone=f'zone-{number % 3}')
            reserved = self._state.reserved[link.name].add(SERVING)
            view = vmview.VmView(vm, ROOM, reserved)
            view.serving_milli = SERVING.cpu_milli
            paces = {p.task: p.percent for p in link.paced}
            left = self._bears(link.name)
            for task in self._state.held[link.name].values():
                record = self._state.find_workload(task.id)
                view.count_fill(record.workload)
                if not record.workload.fills:
                    continue
                percent = paces.get(task.id, 100)
                weight = weigher.weigh(record)
                view.note_filling(record.workload, weight, percent / 100)
                press = self._presses[record.workload.image]
                left -= press * 7000 / ROOM.cpu_milli * percent / 100
            view.take_pairs(
                self._pairs, [messages.Headroom('serve', max(0.0, left))]
            )
            views.append(view)
        return views

    def _move(self):
        weigher = precedence.Weigher(self._state, self._now_ms, self.runtimes)
        stuck = rehoming.find_stuck(
            self._state,
            self._links,
            lambda name: self._begun.get(name, 0.0),
            self.now,
            weigher,
        )
        for task in rehoming.choose_moves(stuck, self._views):
            run = self._runs.get(task.id)
            if run is None or run.stopping:
                continue
            self._shunned.note(task.id, task.vm, self.now)
            self._state.apply(events.TaskEvicting(task.id, task.attempt))
            run.stopping = True
            run.ends_at = self.now + STOP_SECONDS

    def _count(self):
        """Return what callers got, by queue."""
        tallies = {
            overload_load.WIDE: overload_load.Tally(),
            overload_load.SMALL: overload_load.Tally(),
        }
        for name, wanted in self._wanted.items():
            if wanted.came + wanted.objective <= SECONDS:
                tally = tallies[wanted.job.queue]
                tally.count(wanted, self._ends.get(name))
        return tallies


class Oracle(forecast.RunTimes):
    """Knows the true run times, as nobody does: the limit."""

    def __init__(self):
        super().__init__()
        self.seconds = {}

    def note(self, queue, record, run_ms):
        """Learn nothing."""

    def predict(self, queue, record):
        """Return how long a task of a step runs."""
        job_id, _, number = jobs.split_step_id(record.id)
        return int(1000 * self.seconds[job_id][number])


WAYS = {
    'estimates': forecast.Estimates,
    'learnt': forecast.RunTimes,
    'oracle': Oracle,
}


def play(way, seed, load=1.0, estimates_off=0.9):
    """Play one day.

    :param way: one of ``WAYS``
    :returns: map of queue to ``overload_load.Tally``
    """
    return Day(seed, load, estimates_off, WAYS[way]()).play()


def main():
    """Print what callers got by each way, at some loads."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=16)
    parser.add_argument('--loads', default='0.7,1.0,1.3')
    parser.add_argument('--off', type=float, default=0.9)
    arguments = parser.parse_args()
    for load in map(float, arguments.loads.split(',')):
        for way in WAYS:
            days = [
                play(way, seed, load, arguments.off)
                for seed in range(arguments.seeds)
            ]
            _print(load, way, days)


def _print(load, way, days):
    rows = []
    for queue in (overload_load.WIDE, overload_load.SMALL):
        owed = sum(day[queue].owed for day in days)
        earned = sum(day[queue].earned for day in days)
        rows.append(f'{queue} {earned / owed:.3f}')
    print(f'{load} {way:10} {", ".join(rows)}', flush=True)


if __name__ == '__main__':
    main()
