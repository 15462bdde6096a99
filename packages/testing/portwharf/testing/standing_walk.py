# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Random walks that check that standing tasks run again after faults.

Several faults are injected within seconds of each other on a cluster that is
nearly full. Once all are healed, each standing task has to run within the time
that callers accept, as far as there is room for it.
"""

import sys

from portwharf.core import data
from portwharf.scheduler import limits
from portwharf.testing import cluster
from portwharf.testing import cluster_fakes
from portwharf.testing import walk

NODES = 6
JOBS = 5
# Rounds of faults, and the longest time between two, in seconds.
ROUNDS = 12
MAX_ROUND_SECONDS = 2.0
# The limits of a deployment whose runners accept leases of 6 s or more.
LIMITS = limits.Limits(0.4, 1.6, 2.6, 2.0, 1.3, 0.3, 1.5, 8.0, 6.0, 20.0)
# Calm time after the last fault; time since its last run after which a
# standing task has to run if there is room; how long callers wait for that.
CALM_SECONDS = 4.0
AWAY_SECONDS = 6.0
LOST_SECONDS = 3.0
# Time without an owner that can act after which another node takes over.
TAKEOVER_SECONDS = 1.6
_TICK_SECONDS = 0.2
_SIZES = (500, 800, 1200)


class StandingWalk(walk.Walk):
    """A random walk over a cluster that runs standing tasks."""

    def __init__(self, seed):
        super().__init__(seed, NODES)
        self.cluster = cluster.Cluster(NODES, cluster_limits=LIMITS)
        self._sizes = {}
        self._last_run = {}
        self._owned_at = 0.0
        # Nodes whose workers fail all tasks that they start.
        self._failing = set()

    def run(self, steps=ROUNDS):
        """Inject faults, heal all, and check that all standing tasks run.

        :raises cluster_fakes.Violation: an invariant does not hold
        """
        self.advance(4.0)
        for number in range(JOBS):
            self.submit_standing(number)
        self.advance(3.0)
        for _ in range(steps):
            self.random.choice(ACTIONS)(self)
            self.advance(self.random.uniform(0.2, MAX_ROUND_SECONDS))
        self.heal()
        self.check_standing()
        self.cancel_standing()
        self.cluster.settle()

    def submit_standing(self, number):
        """Submit a job of standing tasks of a random size."""
        size = self.random.choice(_SIZES)
        count = self.random.randint(1, 4)
        step = data.Workload(
            kind=data.Kind.STANDING,
            count=count,
            resources=data.Resources(size, size),
            run_ms=300,
            most_per_vm=self.random.choice((0, 0, 1)),
        )
        job = data.Job(f'{number + 1:016x}', 'watch', 1, b'', [step], 2000)
        self.cluster.submit_job(job)
        for index in range(count):
            self._sizes[f'{job.id}.0.0.{index}'] = step

    def advance(self, seconds):
        """Run the cluster; standing tasks are at work soon after a start."""
        ended = self.cluster.time.read_monotonic() + seconds
        while self.cluster.time.read_monotonic() < ended:
            self.cluster.tick(_TICK_SECONDS)
            now = self.cluster.time.read_monotonic()
            self.replace_lost_owner(now)
            for node in self.cluster.nodes:
                for run in list(node.worker.runs):
                    if not run.running:
                        continue
                    self._last_run[run.attempt.task] = now
                    run.attempt.percent = 100
                    if node.vm.name in self._failing:
                        if now - run.true_began < 1.0:
                            node.worker.finish(
                                run.attempt.task, data.RunState.FAILED
                            )

    def replace_lost_owner(self, now):
        """Have a node claim the shard that no reachable owner holds."""
        if any(self._can_act(node) for node in self.cluster.list_owners()):
            self._owned_at = now
        elif now - self._owned_at > TAKEOVER_SECONDS:
            self._owned_at = now
            able = [
                node for node in self.cluster.nodes if self._has_peers(node)
            ]
            if able:
                self.random.choice(able).claim()

    def _can_act(self, node):
        """Tell whether an owner is heard and reaches the store."""
        known = max(other.guard.epoch for other in self.cluster.nodes)
        return (
            self._has_peers(node)
            and not node.pool.cut
            and node.owner.epoch >= known
        )

    def _has_peers(self, node):
        """Tell whether a node is up and reaches a majority."""
        if node.paused or node.down:
            return False
        reached = [
            other
            for other in self.cluster.nodes
            if not (other.paused or other.down)
            and not self.cluster.is_cut(node, other)
        ]
        return len(reached) > NODES // 2

    def heal(self):
        """Remove all faults."""
        self._failing.clear()
        self.restore_workers()
        self.open_zones()
        self.cluster.heal()

    def check_standing(self):
        """Check that every standing task runs if there is room for it."""
        self.advance(CALM_SECONDS)
        without_run = {}
        for _ in range(round(12.0 / _TICK_SECONDS)):
            self.advance(_TICK_SECONDS)
            now = self.cluster.time.read_monotonic()
            for task, step in self._sizes.items():
                away = now - self._last_run.get(task, now)
                if away < AWAY_SECONDS or not self.has_room(step, task):
                    without_run.pop(task, None)
                    continue
                since = without_run.setdefault(task, now)
                if now - since >= LOST_SECONDS:
                    self.report_lost(task, away)

    def has_room(self, step, task):
        """Return whether there is room for a task twice over."""
        name = task.rpartition('.')[0]
        places = 0
        for node in self.cluster.nodes:
            if node.worker.is_restarting:
                continue
            running = [run.attempt for run in node.worker.runs if run.running]
            used = data.Resources()
            for attempt in running:
                used = used.add(attempt.resources)
            room = node.worker.capacity.subtract(used)
            fitting = room.cpu_milli // step.resources.cpu_milli
            if step.most_per_vm:
                there = sum(one.task.startswith(name) for one in running)
                fitting = min(fitting, step.most_per_vm - there)
            places += max(0, fitting)
        return places >= 2

    def report_lost(self, task, away):
        """Raise a violation that tells what the owner knows of a task."""
        record = self.cluster.read_state().tasks.get(task)
        owners = [
            (node.vm.name, node.owner.epoch)
            for node in self.cluster.list_owners()
        ]
        text = f'{task} has had no run for {away:.1f} s: {record}, {owners}'
        for node in self.cluster.list_owners():
            views = node.owner._members.view_vms()
            closed = [
                (view.vm.name, view.closed, view.room.cpu_milli)
                for view in views
            ]
            text += f', {closed}'
        raise cluster_fakes.Violation(text)

    def cancel_standing(self):
        """Cancel all jobs, until that is acknowledged."""
        for name in {task.partition('.')[0] for task in self._sizes}:
            self.cluster.cancel(name)
        self.advance(1.0)

    # Faults.

    def crash_workers(self):
        """Crash one or more workers, for a short or the usual time."""
        count = self.random.randint(1, 3)
        for node in self.random.sample(self.cluster.nodes, count):
            node.worker.crash(self.random.choice((0.2, 1.4, 3.3)))

    def flap_worker(self):
        """Crash a worker twice, with a short time at work in between."""
        node = self.pick_node()
        node.worker.crash(0.6)
        self.advance(self.random.uniform(1.0, 3.0))
        node.worker.crash(0.6)

    def fail_starts(self):
        """Have all that a worker starts fail."""
        self._failing.add(self.pick_node().vm.name)

    def stop_failing(self):
        """Let all workers work again."""
        self._failing.clear()

    def fail_zone(self):
        """Make all VMs of a zone fail."""
        zone = self.pick_node().vm.availability_zone
        for node in self.cluster.nodes:
            if node.vm.availability_zone == zone:
                self.cluster.fail_vm(node)

    def evacuate(self):
        """Close a zone, or open all."""
        if self.cluster.closed:
            self.open_zones()
        else:
            zone = self.pick_node().vm.availability_zone
            self.cluster.close_zone(zone)

    def kill_owner(self):
        """Restart the owner's side process; another node takes over."""
        for node in self.cluster.list_owners():
            self.cluster.restart_side(node)
        self.advance(1.0)
        self.claim()

    def lose_answers(self):
        """Have a worker leave starts unanswered."""
        self.pick_node().worker.lost_answers = self.random.randint(1, 3)

    def resize(self):
        """Change the capacity of a worker."""
        self.pick_node().worker.resize(self.random.randint(600, 2000))


ACTIONS = (
    StandingWalk.crash_workers,
    StandingWalk.crash_workers,
    StandingWalk.flap_worker,
    StandingWalk.fail_starts,
    StandingWalk.fail_starts,
    StandingWalk.stop_failing,
    StandingWalk.fail_zone,
    StandingWalk.repair,
    StandingWalk.repair,
    StandingWalk.evacuate,
    StandingWalk.kill_owner,
    StandingWalk.lose_answers,
    StandingWalk.resize,
    StandingWalk.isolate,
    StandingWalk.cut,
    StandingWalk.cut_store,
    StandingWalk.mend_network,
    StandingWalk.pause,
    StandingWalk.resume,
    StandingWalk.restart,
    StandingWalk.break_worker,
    StandingWalk.silence_worker,
    StandingWalk.unsilence_workers,
    StandingWalk.claim,
    StandingWalk.break_pipes,
    StandingWalk.deliver_stale,
    StandingWalk.disturb_store,
    StandingWalk.mend_store,
)


def main():
    """Walk for each seed from the first argument up to the second."""
    return walk.run_seeds(StandingWalk)


if __name__ == '__main__':
    sys.exit(main())
