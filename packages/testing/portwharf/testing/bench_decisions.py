# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Benchmarks of scheduling decisions (``make bench-decisions``).

Runs the production code for placement, learnt interference and remedies on
the simulated VMs of :mod:`portwharf.testing.decision_world`, on a virtual
clock. Measurements arrive late and with noise, and jobs come in waves.

Policies are compared on the same seeds: first fit, best fit by declared
size, spread without learning, whole VMs reserved for services, portwharf,
portwharf with single parts switched off, and portwharf with the true
interference in place of the learnt model (the oracle).
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
LAG_SECONDS = 8
LOG_SIGMA = 0.5
TARGET_SECONDS = 0.24
_MEASURE_INTERVAL_SECONDS = 2
_THROTTLED_SPEED = remedies.THROTTLE_PERCENT / 100
_VM_CAPACITY = data.Resources(16_000, 60_000)
_REPLICA_SIZE = data.Resources(4_000, 8_000)


@dataclasses.dataclass(slots=True)
class Policy:
    """Which parts of the decision code are enabled.

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
    """Results of one run.

    :param in_target: share of the services' requests within the target,
        weighted by load
    :param work: seconds of batch work in completed tasks
    :param broken: number of times that a VM was over its capacity
    """

    in_target: float = 0.0
    work: float = 0.0
    evictions: int = 0
    broken: int = 0


class Run:
    """Simulates one policy in one world."""

    def __init__(self, policy, seed, weights):
        self.policy = policy
        self.world = decision_world.World(seed)
        model = interference.Model()
        if policy.oracle:
            model = decision_world.OracleModel(self.world)
        self.model = model
        self.remedies = remedies.Remedies(model)
        self.remedies.set_weights(weights)
        if not policy.brake:
            self.remedies.eviction_budget.take = lambda now: True
        self.peaks = remedies.PeakLoadTracker()
        self.timeline = interference.Timeline()
        self.waiting = []
        self.running = collections.defaultdict(list)
        self.undelivered = collections.deque()
        self.score = Score()
        self.requests_in_target = 0.0
        self.requests = 0.0

    def run(self):
        """Run the whole simulation; returns a :class:`Score`."""
        for now in range(decision_world.DURATION_SECONDS):
            if now == decision_world.DURATION_SECONDS // 2:
                self.world.change_interference()
            self.waiting += self.world.arrivals.get(now, [])
            self.waiting = [
                t for t in self.waiting if not (t.cancelled and t.evictions)
            ]
            self._advance_tasks(now)
            self._measure_services(now)
            if now % _MEASURE_INTERVAL_SECONDS == 0:
                self._deliver_measurements(now)
                self._place_waiting(now)
                if self.policy.choose == 'ours':
                    self._apply_remedies(now)
        self.score.in_target = self.requests_in_target / self.requests
        return self.score

    def _advance_tasks(self, now):
        """Advance batch tasks by one second."""
        for vm, tasks in self.running.items():
            for task in list(tasks):
                speed = _THROTTLED_SPEED if task.throttled else 1.0
                outage = self.world.outages.get(vm)
                if outage and outage[0] <= now < outage[1]:
                    self._requeue(task, now)
                    continue
                task.left -= speed
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

    def _measure_services(self, now):
        """Score the services, and queue their measurements for later."""
        for vm, service in self.world.replicas.items():
            load = self.world.get_load(service, now)
            kinds = self._count_kinds(vm)
            mean_seconds = math.exp(
                self.world.get_log_seconds(service, load, kinds)
            )
            self.requests_in_target += load * share_in_target(mean_seconds)
            self.requests += load
            self.timeline.record(vm, kinds, now)
            if now % _MEASURE_INTERVAL_SECONDS == 0:
                log_noise = self.world.random.gauss(0, 0.1)
                delay = LAG_SECONDS + self.world.random.randint(0, 4)
                row = (
                    now + delay,
                    now,
                    vm,
                    load,
                    mean_seconds * math.exp(log_noise),
                )
                self.undelivered.append(row)

    def _deliver_measurements(self, now):
        remaining = collections.deque()
        while self.undelivered:
            row = self.undelivered.popleft()
            arrives_at, measured_at, vm, load, seconds = row
            if arrives_at > now:
                remaining.append(row)
                continue
            service = self.world.replicas[vm]
            kinds = self.timeline.find_kinds(vm, measured_at)
            if kinds is not None and self.policy.learn:
                self.model.observe(service, load, kinds, seconds)
            self.remedies.record_measured(vm, service, seconds, TARGET_SECONDS)
        self.undelivered = remaining

    def _list_views(self, now):
        views = []
        for number in range(decision_world.VMS):
            vm = fixtures.make_vm(number)
            view = vmview.VmView(vm, _VM_CAPACITY)
            service = self.world.replicas.get(vm.name)
            if service:
                view.reserved = _REPLICA_SIZE
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
        # Except for the oracle, the load is known from late measurements only.
        lag = 0 if self.policy.oracle else LAG_SECONDS
        load = self.world.get_load(service, max(0, now - lag))
        peak = self.peaks.record_load(vm, load, now)
        return [remedies.ServiceView(service, load, peak, TARGET_SECONDS)]

    def _place_waiting(self, now):
        if not self.waiting:
            return
        views = self._list_views(now)
        if self.policy.choose == 'ours':
            self._place_ours(views, now)
        else:
            self._place_by_baseline(views, now)

    def _place_ours(self, views, now):
        tasks = {task.name: task for task in self.waiting}
        demands = [self._make_demand(task) for task in self.waiting]
        predict_effect = (
            self.remedies.predict_effect if self.policy.judge else None
        )
        planned = placement.place_demands(
            demands, views, backlog.Quotas({}, {}), now * 1000, predict_effect
        )
        for placed in planned.placements:
            self._start_task(tasks[placed.task], placed.vm, now)

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

    def _place_by_baseline(self, views, now):
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
            self._start_task(task, view.vm.name, now)

    def _start_task(self, task, vm, now):
        self.waiting.remove(task)
        task.vm = vm
        task.began = now
        self.running[vm].append(task)

    def _apply_remedies(self, now):
        for vm in self.world.replicas:
            services = self._list_services(vm, now)
            neighbours = self._list_neighbours(vm, now)
            action = self.remedies.find_action(vm, services, neighbours, now)
            if action is None:
                action = self.remedies.find_release(
                    vm, services, neighbours, now
                )
            if action is not None:
                self._apply_action(action, now)

    def _apply_action(self, action, now):
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


def share_in_target(mean_seconds):
    """Return the share of lognormal times with a given mean in target."""
    median_seconds = mean_seconds / math.exp(LOG_SIGMA**2 / 2)
    z = math.log(TARGET_SECONDS / median_seconds) / LOG_SIGMA
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
    """Run one policy on one seed; returns its :class:`Score`."""
    return Run(POLICIES[name], seed, weights).run()


def run_all(seeds, weights):
    """Run all policies; returns a map of name to list of :class:`Score`."""
    with concurrent.futures.ProcessPoolExecutor() as pool:
        futs = {
            name: [pool.submit(run_one, name, seed, weights) for seed in seeds]
            for name in POLICIES
        }
        return {
            name: [fut.result() for fut in rows] for name, rows in futs.items()
        }


def main():
    """Run all policies, print a table for each deployment, check bounds."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--first', type=int, default=0)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    passed = [
        compare(name, weights, seeds) for name, weights in DEPLOYMENTS.items()
    ]
    return 0 if all(passed) else 1


def compare(name, weights, seeds):
    """Run all policies with a deployment's weights, and print a table.

    :returns: whether all bounds hold
    """
    print(f'{name}: {weights}')
    scores = run_all(seeds, weights)
    print(
        f'{"policy":20} {"in target":>10} {"worst":>8} {"batch h":>9} '
        f'{"evictions":>10} {"over":>5}'
    )
    rows = {
        name: _summarize(policy_scores)
        for name, policy_scores in scores.items()
    }
    for name, row in rows.items():
        print(
            f'{name:20} {row.in_target:10.2%} {row.worst:8.2%} '
            f'{row.hours:9.2f} {row.evictions:10.1f} {row.broken:5d}'
        )
    return _check_bounds(rows)


@dataclasses.dataclass(slots=True)
class Row:
    """Medians over the seeds, and the lowest share in target.

    :param broken: sum over the seeds
    """

    in_target: float = 0.0
    worst: float = 0.0
    hours: float = 0.0
    evictions: float = 0.0
    broken: int = 0


def _summarize(scores):
    return Row(
        statistics.median(score.in_target for score in scores),
        min(score.in_target for score in scores),
        statistics.median(score.work for score in scores) / 3600,
        statistics.median(score.evictions for score in scores),
        sum(score.broken for score in scores),
    )


def _check_bounds(rows):
    ours, oracle, whole_vms = (
        rows[name] for name in ('portwharf', 'oracle', 'whole VMs')
    )
    checks = [
        ('in target', ours.in_target >= whole_vms.in_target - 0.01),
        ('batch to oracle', ours.hours >= 0.85 * oracle.hours),
        ('evictions', ours.evictions <= max(1.0, 1.3 * oracle.evictions)),
        ('capacity', not any(row.broken for row in rows.values())),
    ]
    for name, holds in checks:
        print(f'  {name}: {"good" if holds else "MISSED"}')
    return all(holds for _, holds in checks)


if __name__ == '__main__':
    sys.exit(main())
