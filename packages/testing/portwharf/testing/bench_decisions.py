# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make bench-decisions``: the decision code on a virtual clock.

Placement, the learnt interference and the remedies are the real ones; the
fake is a set of VMs on which batch work slows services by amounts that no
policy but the oracle knows, that grow with load and shift half way. What is
measured comes late and noisy; sizes and run times are declared wrongly; jobs
come in waves, some workers fail for a time, some jobs are cancelled.

Policies run beside each other on the same seeds: first fit, best fit by
declared size, spread without learning, whole VMs reserved for services,
ours, ours with parts switched off, and ours with the truth in place of the
model (the oracle).
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import math
import statistics
import sys

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import remedies
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import state
from portwharf.testing import decision_world
from portwharf.testing import fixtures

SEEDS = 20
LAG = 8
SPREAD = 0.5
TARGET_SECONDS = 0.24
_MEASURE_EVERY = 2
_THROTTLED = remedies.THROTTLE_PERCENT / 100
_VM_SIZE = data.Resources(16_000, 60_000)
_REPLICA = data.Resources(4_000, 8_000)


@dataclasses.dataclass(slots=True)
class Policy:
    """Which parts of the decisions are on.

    :param choose: ``ours``, ``first``, ``best`` or ``spread``
    """

    choose: str = 'ours'
    learn: bool = True
    oracle: bool = False
    whole_vms: bool = False
    throttle: bool = True
    evict: bool = True
    judge: bool = True
    brake: bool = True


@dataclasses.dataclass(slots=True)
class Score:
    """What came of one run.

    :param in_target: share of the services' time-weighted requests
    :param work: seconds of batch work that was not lost
    """

    in_target: float = 0.0
    work: float = 0.0
    evictions: int = 0
    broken: int = 0


class Run:
    """One policy in one world."""

    def __init__(self, policy, seed, weights):
        self.policy = policy
        self.world = decision_world.World(seed)
        model = interference.Model()
        if policy.oracle:
            model = decision_world.Truth(self.world)
        self.model = model
        self.remedies = remedies.Remedies(model)
        self.remedies.set_weights(weights)
        if not policy.brake:
            self.remedies.brake.take = lambda now: True
        self.peaks = remedies.Peaks()
        self.timeline = interference.Timeline()
        self.waiting = []
        self.running = collections.defaultdict(list)
        self.late = collections.deque()
        self.score = Score()
        self.good = 0.0
        self.total = 0.0

    def run(self):
        """Run to the end; returns a :class:`Score`."""
        for now in range(decision_world.SECONDS):
            if now == decision_world.SECONDS // 2:
                self.world.shift()
            self.waiting += self.world.arrivals.get(now, [])
            self.waiting = [
                t for t in self.waiting if not (t.cancelled and t.evictions)
            ]
            self._work(now)
            self._measure(now)
            if now % _MEASURE_EVERY == 0:
                self._learn(now)
                self._place(now)
                if self.policy.choose == 'ours':
                    self._remedy(now)
        self.score.in_target = self.good / self.total
        return self.score

    def _work(self, now):
        """Let batch work go on for a second."""
        for vm, tasks in self.running.items():
            for task in list(tasks):
                done = _THROTTLED if task.throttled else 1.0
                failing = self.world.failing.get(vm)
                if failing and failing[0] <= now < failing[1]:
                    self._requeue(task, now)
                    continue
                task.left -= done
                if task.left <= 0:
                    tasks.remove(task)
                    self.score.work += task.whole

    def _requeue(self, task, now):
        self.running[task.vm].remove(task)
        if not task.checkpointable:
            task.left = task.whole
        task.vm = ''
        task.throttled = False
        self.waiting.append(task)

    def _count_kinds(self, vm):
        return remedies.count_kinds(self._list_neighbours(vm, 0))

    def _list_neighbours(self, vm, now):
        return [
            remedies.Neighbour(
                task.name,
                task.kind,
                now - task.began,
                task.importance,
                task.evictions,
                task.checkpointable,
                task.throttled,
                task.size,
            )
            for task in self.running[vm]
        ]

    def _measure(self, now):
        """Score the services, and send measurements on their late way."""
        for vm, service in self.world.replicas.items():
            load = self.world.read_load(service, now)
            kinds = self._count_kinds(vm)
            mean = math.exp(self.world.read_log_time(service, load, kinds))
            self.good += load * share_in_target(mean)
            self.total += load
            self.timeline.note(vm, kinds, now)
            if now % _MEASURE_EVERY == 0:
                noise = self.world.random.gauss(0, 0.1)
                lag = LAG + self.world.random.randint(0, 4)
                row = (now + lag, now, vm, load, mean * math.exp(noise))
                self.late.append(row)

    def _learn(self, now):
        rest = collections.deque()
        while self.late:
            row = self.late.popleft()
            arrives, taken, vm, load, seconds = row
            if arrives > now:
                rest.append(row)
                continue
            service = self.world.replicas[vm]
            kinds = self.timeline.find(vm, taken)
            if kinds is not None and self.policy.learn:
                self.model.observe(service, load, kinds, seconds)
            self.remedies.note_measured(vm, service, seconds, TARGET_SECONDS)
        self.late = rest

    def _list_views(self, now):
        views = []
        for number in range(decision_world.VMS):
            vm = fixtures.make_vm(number)
            view = vmview.VmView(vm, _VM_SIZE)
            service = self.world.replicas.get(vm.name)
            if service:
                view.reserved = _REPLICA
                if self.policy.whole_vms:
                    view.closed = 'reserved'
            for task in self.running[vm.name]:
                view.reserved = view.reserved.add(task.size)
            if not view.reserved.fits(view.capacity):
                self.score.broken += 1
            view.services = self._list_services(vm.name, now)
            view.kinds = self._count_kinds(vm.name)
            views.append(view)
        return views

    def _list_services(self, vm, now):
        service = self.world.replicas.get(vm)
        if service is None:
            return []
        # The load that is known is that of the last measurement.
        lag = 0 if self.policy.oracle else LAG
        load = self.world.read_load(service, max(0, now - lag))
        peak = self.peaks.note(vm, load, now)
        return [remedies.ServiceView(service, load, peak, TARGET_SECONDS)]

    def _place(self, now):
        if not self.waiting:
            return
        views = self._list_views(now)
        if self.policy.choose == 'ours':
            self._place_ours(views, now)
        else:
            self._place_simply(views, now)

    def _place_ours(self, views, now):
        tasks = {task.name: task for task in self.waiting}
        demands = [self._make_demand(task) for task in self.waiting]
        judge = self.remedies.judge if self.policy.judge else None
        done = placement.place_demands(
            demands, views, backlog.Quotas({}, {}), now * 1000, judge
        )
        for placed in done.placements:
            self._begin(tasks[placed.task], placed.vm, now)

    def _make_demand(self, task):
        team, _, program = task.kind.partition('/')
        workload = fixtures.make_workload(
            team=team,
            program=program,
            resources=task.size,
            importance=task.importance,
        )
        name = task.name.rpartition('.')[0]
        record = state.WorkloadRecord(name, name, 0, workload)
        return backlog.Demand(record)

    def _place_simply(self, views, now):
        for task in list(self.waiting):
            fitting = [view for view in views if _fits(task, view)]
            if not fitting:
                continue
            if self.policy.choose == 'best':
                view = min(fitting, key=lambda v: v.room.cpu_milli)
            elif self.policy.choose == 'spread':
                view = max(fitting, key=lambda v: v.room.cpu_milli)
            else:
                view = fitting[0]
            view.reserved = view.reserved.add(task.size)
            self._begin(task, view.vm.name, now)

    def _begin(self, task, vm, now):
        self.waiting.remove(task)
        task.vm = vm
        task.began = now
        self.running[vm].append(task)

    def _remedy(self, now):
        for vm in self.world.replicas:
            services = self._list_services(vm, now)
            neighbours = self._list_neighbours(vm, now)
            action = self.remedies.find_action(vm, services, neighbours, now)
            if action is None:
                action = self.remedies.find_release(
                    vm, services, neighbours, now
                )
            if action is not None:
                self._act(action, now)

    def _act(self, action, now):
        task = next(
            t for t in self.running[action.vm] if t.name == action.task
        )
        if action.percent and self.policy.throttle:
            task.throttled = action.percent < 100
            return
        if self.policy.evict:
            task.evictions += 1
            self.score.evictions += 1
            self._requeue(task, now)


def _fits(task, view):
    return not view.closed and task.size.fits(view.room)


def share_in_target(mean):
    """Return the share of lognormal times of a mean within the target."""
    median = mean / math.exp(SPREAD**2 / 2)
    z = math.log(TARGET_SECONDS / median) / SPREAD
    return 0.5 * (1 + math.erf(z / math.sqrt(2)))


DEPLOYMENTS = {
    'Kinh Sang': configuration.Weights(5.0, 3.0, 1.0),
    'Valley Authority': configuration.Weights(5.0, 1.0, 3.0),
}
POLICIES = {
    'first fit': Policy('first'),
    'best fit': Policy('best'),
    'spread': Policy('spread'),
    'whole VMs': Policy('spread', whole_vms=True),
    'portwharf': Policy(),
    'oracle': Policy(oracle=True),
    'without learning': Policy(learn=False),
    'without judging': Policy(judge=False),
    'without throttling': Policy(throttle=False),
    'without evicting': Policy(evict=False),
    'without the brake': Policy(brake=False),
}


def run_one(name, seed, weights):
    """Run one policy on one seed."""
    return Run(POLICIES[name], seed, weights).run()


def run_all(seeds, weights):
    """Return the scores of all policies: map of name to list of Score."""
    with concurrent.futures.ProcessPoolExecutor() as pool:
        futs = {
            name: [pool.submit(run_one, name, seed, weights) for seed in seeds]
            for name in POLICIES
        }
        return {
            name: [fut.result() for fut in rows] for name, rows in futs.items()
        }


def main():
    """Run all, print a table, and check the bounds."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--first', type=int, default=0)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    good = [
        compare(name, weights, seeds) for name, weights in DEPLOYMENTS.items()
    ]
    return 0 if all(good) else 1


def compare(name, weights, seeds):
    """Run all policies with a deployment's weights, and print a table.

    :returns: whether the bounds are kept
    """
    print(f'{name}: {weights}')
    scores = run_all(seeds, weights)
    print(
        f'{"policy":20} {"in target":>10} {"worst":>8} {"batch h":>9} '
        f'{"evictions":>10} {"over":>5}'
    )
    rows = {name: _summarize(found) for name, found in scores.items()}
    for name, row in rows.items():
        print(
            f'{name:20} {row.in_target:10.2%} {row.worst:8.2%} '
            f'{row.hours:9.2f} {row.evictions:10.1f} {row.broken:5d}'
        )
    return _check(rows)


@dataclasses.dataclass(slots=True)
class Row:
    """Medians over the seeds, and the worst share in target."""

    in_target: float = 0.0
    worst: float = 0.0
    hours: float = 0.0
    evictions: float = 0.0
    broken: int = 0


def _summarize(found):
    return Row(
        statistics.median(one.in_target for one in found),
        min(one.in_target for one in found),
        statistics.median(one.work for one in found) / 3600,
        statistics.median(one.evictions for one in found),
        sum(one.broken for one in found),
    )


def _check(rows):
    ours, oracle, whole = (
        rows[name] for name in ('portwharf', 'oracle', 'whole VMs')
    )
    checks = [
        ('in target', ours.in_target >= whole.in_target - 0.01),
        ('batch to oracle', ours.hours >= 0.85 * oracle.hours),
        ('evictions', ours.evictions <= max(1.0, 1.3 * oracle.evictions)),
        ('capacity', not any(row.broken for row in rows.values())),
    ]
    for name, good in checks:
        print(f'  {name}: {"good" if good else "MISSED"}')
    return all(good for _, good in checks)


if __name__ == '__main__':
    sys.exit(main())
