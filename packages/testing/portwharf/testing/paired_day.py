# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Days of ``overload_day`` on which interference differs between pairs.

Every VM has several servers, of few images. A filling image slows some of the
serving images much and the others hardly. The load of a serving image varies
in phase on all VMs. The production code assigns the shares of filling tasks.

The oracle has the same jobs, and starts, stops and failures cost it the same.
It knows run times, interference and headrooms.

``python -m portwharf.testing.paired_day`` prints what both earn.
"""

import argparse
import collections
import random

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.side import share_assignment
from portwharf.testing import overload_day
from portwharf.testing import overload_load
from portwharf.testing import paired_oracle

SITE = overload_day.Site(
    overload_day.LARGE_VMS.capacity,
    overload_day.LARGE_VMS.server_size,
    overload_load.WideShape(7000, 2.8, 0.9, checkpoint_share=0.85),
)
SERVING_IMAGES = [f'serve-{number}' for number in range(10)]
SERVERS_PER_VM = 5
# Headroom of a serving image: its mean, by how much it differs between VMs,
# and the amplitude and period of its variation.
MEAN_HEADROOM, HEADROOM_SPREAD = 0.9, 0.3
SWING, SWING_SECONDS = 0.45, 10.0
# Share of the serving images that a heavy filling image slows.
PRESSED_SHARE = 0.45
PRESS_DEVIATION = 0.7
# Relative standard deviation of the run times of a step's tasks.
TASK_DEVIATION = 0.3
# Begin and end of a burst, in seconds, and the factor on the load.
BURST = (2.8, 9.2, 2.2)
ALLOWANCE_MS = 1000


class PairedDay(overload_day.Day):
    """One day of such a site."""

    def __init__(self, seed, load):
        """Take a seed and the wide jobs a second."""
        super().__init__(seed, load, site=SITE)
        self._load = load

    def _set_up(self):
        rnd = random.Random(f'{self._seed} pairs')
        for number in range(overload_load.IMAGE_COUNT):
            is_heavy = rnd.random() < overload_day.HEAVY_SHARE
            for serving in SERVING_IMAGES:
                is_pressed = is_heavy and rnd.random() < PRESSED_SHARE
                self._presses[(serving, f'fill-{number}')] = (
                    overload_day.HEAVY_PRESS * rnd.uniform(0.5, 1.5)
                    if is_pressed
                    else rnd.uniform(0.1, 0.8)
                )
        self._press_model.replace_estimates(
            messages.Press(*pair, press, PRESS_DEVIATION)
            for pair, press in self._presses.items()
        )
        self._phases = {
            serving: rnd.uniform(0, SWING_SECONDS)
            for serving in SERVING_IMAGES
        }
        # Offset of the headroom by serving image, by VM name.
        self._offsets = {
            link.name: {
                rnd.choice(SERVING_IMAGES): rnd.uniform(
                    -HEADROOM_SPREAD, HEADROOM_SPREAD
                )
                for _ in range(SERVERS_PER_VM)
            }
            for link in self._links
        }

    def get_headrooms(self, vm, later_seconds=0.0):
        """Return the headroom of a VM's serving images without filling tasks.

        :param later_seconds: time from now for which to return it
        :returns: map of serving image to headroom, which may be negative
        """
        headrooms = {}
        for serving, offset in self._offsets[vm].items():
            seconds = self.now + later_seconds + self._phases[serving]
            phase = seconds / SWING_SECONDS % 1
            wave = 4 * abs(phase - 0.5) - 1
            headrooms[serving] = MEAN_HEADROOM + offset + SWING * wave
        return headrooms

    def get_press(self, serving, filling):
        """Return the true press of a pair of images."""
        return self._presses[(serving, filling)]

    def list_vms(self):
        """Return the names of the VMs."""
        return [link.name for link in self._links]

    def advance(self):
        """Advance the clock by one step, and submit jobs.

        :returns: list of ``overload_load.SubmittedJob``
        """
        begin, end, factor = BURST
        self._clock.advance(overload_day.STEP_SECONDS)
        is_burst = begin <= self.now < end
        self._clients.set_rate(self._load * (factor if is_burst else 1.0))
        submitted = self._clients.submit_jobs(
            self.now, overload_day.STEP_SECONDS
        )
        for one in submitted:
            self._set_objective(one)
        return submitted

    def _set_objective(self, submitted):
        """Set the objective by the longest tasks of the job's steps."""
        if submitted.job.queue != overload_load.WIDE:
            return
        chain = sum(
            max(self.list_needs(submitted, number))
            for number in range(len(submitted.job.steps))
        )
        submitted.job.allowance_ms = ALLOWANCE_MS
        submitted.objective = (
            overload_load.STRETCH * chain + ALLOWANCE_MS / 1000
        )

    def list_needs(self, submitted, number):
        """Return the true run time of each task of a step, in seconds."""
        name = f'{submitted.job.id}.0.{number}'
        return [
            submitted.seconds[number] * self._draw_factor(f'{name}.{task}')
            for task in range(submitted.job.steps[number].count)
        ]

    def draw_failure(self, task, attempt):
        """Return whether an attempt at a task fails at its end."""
        run = overload_day.Run(task, attempt)
        return self._draw_random(run, 'fails') < overload_day.FAILURE_SHARE

    def _draw_factor(self, task):
        """Return a task's run time as a multiple of its step's."""
        rnd = random.Random(f'{self._seed} needs {task}')
        return min(2.0, max(0.3, rnd.gauss(1.0, TASK_DEVIATION)))

    def run(self):
        """Run the simulation; see ``overload_day.Day.run``."""
        steps = int(overload_day.DURATION_SECONDS / overload_day.STEP_SECONDS)
        for number in range(steps):
            for one in self.advance():
                self._submitted[one.job.id] = one
                self._state.apply(events.JobAccepted(self._now_ms, one.job))
            self._pace_all()
            self._advance_runs()
            self._run_pass(with_moves=number % 4 == 0)
        return self._make_tallies()

    def _find_needs(self, placement, submitted, number):
        return submitted.seconds[number] * self._draw_factor(placement.task)

    def _pace_vm(self, name, runs):
        headrooms = {
            serving: max(0.0, room)
            for serving, room in self.get_headrooms(name).items()
        }
        by_rank = []
        for run in runs:
            workload = self._state.find_workload(run.task).workload
            if not workload.fills or run.stopping:
                continue
            press = max(
                self._press_model.get_press(serving, workload.image)
                for serving in headrooms
            )
            weight = self._claims[(name, workload.name)].weigh(self._now_ms)
            rank = precedence.rank(weight, press)
            by_rank.append((rank, run.task, workload.image, run))
        by_rank.sort(key=lambda row: row[:2])
        shares = share_assignment.assign_shares(
            [(task, image, self._share) for _, task, image, _ in by_rank],
            headrooms,
            self._press_model,
            1.0,
        )
        paced = []
        for _, task, _, run in by_rank:
            percent = shares[task].percent
            run.pace = percent / share_assignment.FULL
            if percent < share_assignment.FULL:
                done = int(100 * run.worked / run.needs)
                paced.append(
                    messages.PacedTask(task, run.attempt, percent, done)
                )
        return paced

    def _view_vms(self):
        weigher = self._make_weigher()
        views = []
        for number, link in enumerate(self._links):
            vm = data.Vm(link.name, availability_zone=f'zone-{number % 3}')
            reserved = self._state.reserved[link.name]
            view = vmview.VmView(vm, self._site.capacity, reserved)
            view.reserved = reserved.add(self._site.server_size)
            view.serving_milli = self._site.server_size.cpu_milli
            headrooms = collections.Counter(self.get_headrooms(link.name))
            percents = {one.task: one.percent for one in link.paced}
            for task in self._state.held[link.name].values():
                record = self._state.find_workload(task.id)
                view.add_usage(record.workload)
                if not record.workload.fills:
                    continue
                pace = percents.get(task.id, 100) / 100
                weight = weigher.weigh(record)
                view.record_filling(record.workload, weight, pace)
                for serving in headrooms:
                    press = self.get_press(serving, record.workload.image)
                    headrooms[serving] -= press * self._share * pace
            view.set_headrooms(
                self._press_model,
                [messages.Headroom(*row) for row in headrooms.items()],
            )
            views.append(view)
        return views


def simulate(seed, load):
    """Return the ``overload_load.Tally`` of the wide jobs of one day."""
    return PairedDay(seed, load).run()[overload_load.WIDE]


def main():
    """Print the shares of worth that product and oracle earn."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--load', type=float, default=0.6)
    arguments = parser.parse_args()
    for seed in range(arguments.seeds):
        tally = simulate(seed, arguments.load)
        best = paired_oracle.simulate(PairedDay(seed, arguments.load))
        print(
            f'seed {seed}: {tally.share:.3f} of the worth of {tally.jobs} '
            f'jobs, oracle {best.share:.3f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
