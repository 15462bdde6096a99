# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Simulates days with more batch work than capacity.

The production code orders, places, moves and paces tasks; VMs, run times and
clients are simulated on a virtual clock without a network. Servers on the VMs
tolerate a limited press, the slowdown by filling tasks beside them (see
``decisions.tail_interference``). Wide jobs of filling tasks arrive faster than
they can be completed, beside small jobs that take precedence. Clients'
estimates of run times are inaccurate. The result is the worth of the jobs
whose last task ended within their objective.

``python -m portwharf.testing.overload_day`` prints results over some seeds.
"""

import argparse
import collections
import dataclasses
import random

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import claim_updates
from portwharf.scheduler.decisions import forecast
from portwharf.scheduler.decisions import lasting_headroom
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import tail_interference
from portwharf.scheduler.decisions import task_moves
from portwharf.scheduler.decisions import uneven_pools
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import reconcile
from portwharf.scheduler import state
from portwharf.testing import overload_load
from portwharf.testing import overload_servers

VMS = 20
DURATION_SECONDS = 40.0
STEP_SECONDS = 0.1
# Press of light and heavy filling images, and the share of heavy ones.
LIGHT_PRESS, HEAVY_PRESS = 0.6, 5.0
HEAVY_SHARE = 0.65
# From a placement decision to the start, from a stop order to its report, and
# for restoring a checkpoint; then the interval between checkpoints.
START_DELAY_SECONDS = 0.06
STOP_DELAY_SECONDS = 0.45
RESTORE_SECONDS = 0.6
CHECKPOINT_INTERVAL_SECONDS = 0.5
# Share of attempts that fail.
FAILURE_SHARE = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """The VMs of a site, all of one size, and the tasks of its wide jobs.

    :param server_size: what the servers of a VM reserve
    :param servers: class of the servers, from ``overload_servers``
    """

    capacity: data.Resources
    server_size: data.Resources
    wide: overload_load.WideShape
    servers: type = overload_servers.EvenServers


LARGE_VMS = Site(
    data.Resources(64_000, 250_000),
    data.Resources(36_000, 80_000),
    overload_load.WideShape(7000, 2.4, 1.0),
)
# Few processors are left beside the servers, and steps have many small tasks.
SMALL_VMS = Site(
    data.Resources(16_000, 64_000),
    data.Resources(13_500, 28_000),
    overload_load.WideShape(1800, 2.8, 1.35),
)


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt on a VM.

    :param needs: seconds of work in all
    :param worked: seconds of work done
    :param saved: seconds of work in the last checkpoint
    :param pace: speed, as a share of full speed
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
    checkpointable: bool = True


class _Link:
    """The part of a member's link that the decision code reads."""

    def __init__(self, name):
        self.name = name
        self.view = self
        self.connection = 0
        self.reported = True
        self.paced = []


class Day:
    """Simulates one day in steps of ``STEP_SECONDS``."""

    def __init__(
        self,
        seed,
        load=1.3,
        estimates_off=0.9,
        run_times=None,
        site=LARGE_VMS,
    ):
        """Take a seed and the parameters of the load.

        :param load: wide jobs a second
        :param estimates_off: maximum relative error of run time estimates
        :param run_times: a ``forecast.RunTimeModel``, or None for a new one
        :param site: the :class:`Site`
        """
        self._seed = seed
        self._estimates_off = estimates_off
        self._site = site
        self._clients = overload_load.Clients(
            seed, load, estimates_off, site.wide
        )
        self._clock = clock.ManualClock(0.0)
        self._state = state.ShardState()
        self.run_times = (
            run_times if run_times is not None else forecast.RunTimeModel()
        )
        self._press_model = tail_interference.TailInterferenceModel()
        self._presses = {}
        self._servers = None
        self._headrooms = lasting_headroom.HeadroomTracker()
        self._uneven_pools = uneven_pools.UnevenPools()
        self._runs = {}
        self._links = [_Link(f'vm-{n:02d}') for n in range(VMS)]
        self._placed_at = {}
        self._patience = pass_inputs.Patience()
        self._move_history = task_moves.MoveHistory()
        self._destinations = task_moves.ReservedDestinations()
        # The claims that sides were told are kept by (VM name, step).
        self._claims = {}
        self._claim_notifier = claim_updates.ClaimNotifier(self._state)
        self._submitted = {}
        self._saved_seconds = {}
        self._latencies = {}
        self._set_up()

    def run(self):
        """Run the simulation.

        :returns: map of queue to ``overload_load.Tally``
        """
        steps = int(DURATION_SECONDS / STEP_SECONDS)
        for number in range(steps):
            self._clock.advance(STEP_SECONDS)
            self._submit_jobs()
            self._pace_all()
            self._advance_runs()
            self._run_pass(with_moves=number % 4 == 0)
        return self._make_tallies()

    @property
    def _share(self):
        """The share of a VM's processors that a filling task asks for."""
        return self._site.wide.cpu_milli / self._site.capacity.cpu_milli

    @property
    def now(self):
        """The simulated time, in seconds."""
        return self._clock.read_monotonic()

    @property
    def _now_ms(self):
        return self._clock.read_unix_ms()

    def _set_up(self):
        rnd = random.Random(f'{self._seed} world')
        measured = []
        for number in range(overload_load.IMAGE_COUNT):
            is_heavy = rnd.random() < HEAVY_SHARE
            press = (
                HEAVY_PRESS * rnd.uniform(0.7, 1.4)
                if is_heavy
                else LIGHT_PRESS
            )
            name = f'fill-{number}'
            self._presses[name] = press
            measured.append(messages.Press('serve', name, press, 0.3))
        self._press_model.replace_estimates(measured)
        names = [link.name for link in self._links]
        self._servers = self._site.servers(rnd, names)

    def _submit_jobs(self):
        for submitted in self._clients.submit_jobs(self.now, STEP_SECONDS):
            self._submitted[submitted.job.id] = submitted
            if isinstance(self.run_times, overload_load.Oracle):
                self.run_times.seconds[submitted.job.id] = submitted.seconds
            event = events.JobAccepted(self._now_ms, submitted.job)
            self._state.apply(event)

    # Simulated VMs.

    def _pace_all(self):
        """Share out each server's headroom to filling tasks by precedence."""
        by_vm = {link.name: [] for link in self._links}
        for run in self._runs.values():
            by_vm[run.vm].append(run)
        for link in self._links:
            link.paced = self._pace_vm(link.name, by_vm[link.name])

    def _pace_vm(self, name, runs):
        ranked = []
        for run in runs:
            record = self._state.find_workload(run.task)
            if record.workload.fills and not run.stopping:
                press = self._presses[record.workload.image]
                claim = self._claims[(name, record.id)]
                rank = precedence.rank(claim.weigh(self._now_ms), press)
                ranked.append((rank, run.task, press, run))
        paced = []
        headroom = self._servers.get_tolerated_press(name, self.now)
        for _, _, press, run in sorted(ranked, key=lambda row: row[:2]):
            full_press = press * self._share
            run.pace = max(0.03, min(1.0, headroom / full_press))
            headroom = max(0.0, headroom - full_press * run.pace)
            if run.pace < 1:
                done = int(100 * run.worked / run.needs)
                percent = int(100 * run.pace)
                paced.append(
                    messages.PacedTask(run.task, run.attempt, percent, done)
                )
        return paced

    def _advance_runs(self):
        for run in list(self._runs.values()):
            if run.task not in self._runs:
                # Its job has failed in this step.
                continue
            if run.stopping:
                if self.now >= run.ends_at:
                    self._finish_stop(run)
                continue
            if self.now < run.idle_until:
                continue
            run.worked += run.pace * STEP_SECONDS
            if run.checkpointable:
                interval = CHECKPOINT_INTERVAL_SECONDS
                run.saved = run.worked - run.worked % interval
            if run.worked >= run.needs:
                self._end_run(run)

    def _end_run(self, run):
        record = self._state.find_workload(run.task)
        failed = self._draw_random(run, 'fails') < FAILURE_SHARE
        end = data.RunState.FAILED if failed else data.RunState.SUCCEEDED
        del self._runs[run.task]
        self._saved_seconds.pop(run.task, None)
        if not failed:
            queue = self._state.jobs[record.workload.job].job.queue
            self.run_times.record_run_time(
                queue, record, int(1000 * run.needs)
            )
        self._report(run, end)

    def _draw_random(self, run, what):
        """Return a random number, 0 to 1, that depends on the attempt only."""
        name = f'{self._seed} {what} {run.task} {run.attempt}'
        return random.Random(name).random()

    def _finish_stop(self, run):
        del self._runs[run.task]
        self._saved_seconds[run.task] = run.saved
        self._report(run, data.RunState.CHECKPOINTED)

    def _report(self, run, end):
        verdict = reconcile.ReportOutcome()
        report = messages.TaskReport(run.task, run.attempt, end)
        reconcile.process_report(self._state, run.vm, report, verdict)
        job = self._state.find_workload(run.task).workload.job
        if self._state.find_job_state(job) == data.JobState.COMPLETED:
            self._latencies[job] = self.now - self._submitted[job].came
        if self._state.jobs[job].failed:
            self._state.apply(events.JobCancelled(job))
            for other in list(self._runs.values()):
                if self._state.find_workload(other.task).workload.job != job:
                    continue
                # The report of another run may have ended this one already.
                if self._runs.pop(other.task, None) is not None:
                    self._report(other, data.RunState.GONE)

    # The owner.

    def _make_weigher(self):
        return precedence.Weigher(self._state, self._now_ms, self.run_times)

    def _run_pass(self, with_moves):
        views = self._view_vms()
        weigher = self._make_weigher()
        self._update_claims(weigher)
        demands = pass_inputs.list_demands(
            self._state, lambda _: frozenset(), self._now_ms, weigher
        )
        origins = self._move_history.list_recent_origins(self.now)
        for demand in demands:
            demand.moved_from = origins
        self._patience.apply(demands, self.now)
        uneven_pools.require_pace(demands, views)
        self._destinations.apply(views, self.now)
        stalled, moved = [], 0
        if with_moves:
            stalled = self._find_stalled_tasks(weigher)
            first = task_moves.list_first(stalled, demands, views)
            moves = self._move_stalled_tasks(first, views)
            for move in moves:
                self._destinations.record(*move, self.now)
            moved = len(moves)
        planned = pass_inputs.plan(
            self._state, demands, views, {}, self._now_ms
        )
        waiting = {demand.record.id: demand for demand in planned.waiting}
        self._patience.record_waits(waiting, self.now)
        self._record_pass(planned.waiting, views)
        for placement in planned.placements:
            self._place(placement, weigher)
        self._move_stalled_tasks(stalled, views, moved)

    def _record_pass(self, waiting, views):
        """Record what a placement pass has left; for derived days."""

    def _update_claims(self, weigher):
        updates = self._claim_notifier.make_due_updates(
            self._links, weigher, self.now
        )
        for link, update in updates:
            for one in update.claims:
                self._claims[(link.name, one.workload)] = precedence.Claim(
                    one.left, one.due_ms, one.late_ms
                )

    def _place(self, placement, weigher):
        event = events.TaskPlaced(
            placement.task, placement.attempt, placement.vm
        )
        self._state.apply(event)
        record = self._state.find_workload(placement.task)
        claim = weigher.make_claim(record)
        self._claims[(placement.vm, record.id)] = claim
        submitted = self._submitted[record.workload.job]
        number = int(record.id.rpartition('.')[2])
        needs = self._find_needs(placement, submitted, number)
        saved = self._saved_seconds.get(placement.task, 0.0)
        delay_seconds = START_DELAY_SECONDS + (
            RESTORE_SECONDS if saved else 0.0
        )
        self._runs[placement.task] = Run(
            placement.task,
            placement.attempt,
            placement.vm,
            needs,
            min(saved, needs),
            saved,
            self.now + delay_seconds,
            checkpointable=record.workload.checkpointable,
        )
        self._placed_at[(placement.task, placement.attempt)] = self.now

    def _find_needs(self, placement, submitted, number):
        """Return the true run time of a placed task of a step."""
        variation = 0.9 + 0.2 * self._draw_random(placement, 'needs')
        return submitted.seconds[number] * variation

    def _view_vms(self):
        weigher = self._make_weigher()
        views = []
        for number, link in enumerate(self._links):
            vm = data.Vm(link.name, availability_zone=f'zone-{number % 3}')
            reserved = self._state.reserved[link.name]
            view = vmview.VmView(vm, self._site.capacity, reserved)
            has_server = self._servers.has_server(link.name)
            if has_server:
                view.reserved = reserved.add(self._site.server_size)
                view.serving_milli = self._site.server_size.cpu_milli
            percent_by_task = {p.task: p.percent for p in link.paced}
            headroom = self._servers.get_tolerated_press(link.name, self.now)
            for task in self._state.held[link.name].values():
                record = self._state.find_workload(task.id)
                view.add_usage(record.workload)
                if not record.workload.fills:
                    continue
                percent = percent_by_task.get(task.id, 100)
                weight = weigher.weigh(record)
                view.record_filling(record.workload, weight, percent / 100)
                press = self._presses[record.workload.image]
                headroom -= press * self._share * percent / 100
            told = [messages.Headroom('serve', max(0.0, headroom))]
            told = told if has_server else []
            view.set_headrooms(self._press_model, told)
            # Sides report once a second.
            heard = float(int(self.now))
            self._headrooms.update(view, told, heard, link.name, self.now)
            views.append(view)
        self._uneven_pools.update(views, self._count_filling, self.now)
        return views

    def _count_filling(self, _):
        sample = collections.Counter()
        for run in self._runs.values():
            workload = self._state.find_workload(run.task).workload
            if workload.fills:
                sample[(workload.image, workload.resources.cpu_milli)] += 1
        return {'': sample}

    def _find_stalled_tasks(self, weigher):
        return task_moves.find_stalled_tasks(
            self._state,
            self._links,
            lambda name: self._placed_at.get(name, 0.0),
            self.now,
            weigher,
        )

    def _move_stalled_tasks(self, stalled, views, moved=0):
        placed = [
            entry
            for entry in stalled
            if entry.task.state == data.TaskState.PLACED
        ]
        limit = task_moves.MAX_MOVES_PER_PASS - moved
        chosen = task_moves.choose_moves(placed, views, limit)
        for entry, _ in chosen:
            task = entry.task
            run = self._runs[task.id]
            self._move_history.record_move(task.id, task.vm, self.now)
            self._state.apply(events.TaskEvicting(task.id, task.attempt))
            run.stopping = True
            run.ends_at = self.now + STOP_DELAY_SECONDS
        return chosen

    def _make_tallies(self):
        """Return a map of queue to ``overload_load.Tally``."""
        tallies = {
            overload_load.WIDE: overload_load.Tally(),
            overload_load.SMALL: overload_load.Tally(),
        }
        for name, submitted in self._submitted.items():
            if submitted.came + submitted.objective <= DURATION_SECONDS:
                tally = tallies[submitted.job.queue]
                tally.count(submitted, self._latencies.get(name))
        return tallies


PREDICTORS = {
    'estimates': forecast.ClientEstimates,
    'learnt': forecast.RunTimeModel,
    'oracle': overload_load.Oracle,
}


def simulate_day(predictor, seed, load=1.0, estimates_off=0.9, site=LARGE_VMS):
    """Simulate one day.

    :param predictor: key of ``PREDICTORS``
    :returns: map of queue to ``overload_load.Tally``
    """
    run_times = PREDICTORS[predictor]()
    return Day(seed, load, estimates_off, run_times, site).run()


def main():
    """Print the share of worth earned with each predictor and load."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=16)
    parser.add_argument('--loads', default='0.7,1.0,1.3')
    parser.add_argument('--off', type=float, default=0.9)
    arguments = parser.parse_args()
    for load in map(float, arguments.loads.split(',')):
        for predictor in PREDICTORS:
            days = [
                simulate_day(predictor, seed, load, arguments.off)
                for seed in range(arguments.seeds)
            ]
            _print(load, predictor, days)


def _print(load, predictor, days):
    shares = []
    for queue in (overload_load.WIDE, overload_load.SMALL):
        owed = sum(day[queue].owed for day in days)
        earned = sum(day[queue].earned for day in days)
        shares.append(f'{queue} {earned / owed:.3f}')
    print(f'{load} {predictor:10} {", ".join(shares)}', flush=True)


if __name__ == '__main__':
    main()
