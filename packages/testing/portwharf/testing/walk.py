# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Random walks over the ownership code, with injected faults.

A walk is determined by its seed. At its end all faults are healed, all
accepted work has to end, and the invariants are checked.
"""

import itertools
import random
import sys
import time

from portwharf.core import data
from portwharf.scheduler import limits
from portwharf.testing import cluster
from portwharf.testing import cluster_checks
from portwharf.testing import cluster_fakes

STEPS = 40
# Chance per step that a worker crashes or its capacity changes.
_WORKER_FAULT_CHANCE = 0.25
# Chance per step that a worker restarts, and how long it is away.
_RESTART_CHANCE = 0.15
_RESTART_SECONDS = (0.0, 0.2, 0.6)
# Chance per step that a job is submitted or cancelled, that tasks fail or
# that answers are lost.
_JOB_ACTION_CHANCE = 0.35
# Chance per step that an availability zone is closed or all are opened.
_ZONE_ACTION_CHANCE = 0.15
# Chance per step that a worker hangs at its next start, for how long, and how
# much later that start is carried out. Some of these times are longer than all
# leases.
_HANG_CHANCE = 0.25
_HANG_SECONDS = (2.0, 6.0, 10.5)
_LATE_START_SECONDS = (0.5, 1.0)
# Chance per step that the VMs are split into two groups, one of them without
# the store, and how long they stay apart before the next step.
_SPLIT_CHANCE = 0.3
_SPLIT_SECONDS = (10.0, 30.0, 50.0)
# Chance that the sides without the store are paused later, and when: shortly
# before or after an owner among them may not grant any more.
_PAUSE_CHANCE = 0.4
_PAUSE_SECONDS = (3.0, 7.0, 9.0, 19.0)
# Chance that a split cuts off all VMs, and new ones take over.
_REPLACE_ALL_CHANCE = 0.3
_MAX_NODES = 8
# Outages of the store that are bridged, short enough for splits to outlast.
SPLIT_LIMITS = limits.Limits(degraded_outage=8.0, outage=20.0, gone=30.0)
# Time in which the last ends are acknowledged.
_ACK_SECONDS = 5.0
_WAIT_SECONDS = (0.3, 1.0, 3.0, 8.0, 16.0)


class Walk:
    """A random walk over a simulated cluster."""

    def __init__(
        self,
        seed,
        size=0,
        more=False,
        births=False,
        jobs=False,
        zones=False,
        late_starts=False,
        splits=False,
    ):
        """Create the cluster of a walk.

        Each option draws from a random generator of its own, so that a seed
        keeps giving the same walk when an option is added.

        :param size: number of nodes, 0 for a random one
        :param more: workers crash, also by tasks, and change capacity
        :param births: workers restart within less than a second
        :param jobs: jobs of several steps, failures, lost answers to starts
        :param zones: availability zones are closed and opened
        :param late_starts: workers hang with starts under way, and carry these
            out when they answer again
        :param splits: the owner's group is cut off from the store and from the
            others, one of which takes over, for up to longer than all limits,
            and at times paused
        """
        self.random = random.Random(seed)
        self.more = random.Random(-1 - seed) if more else None
        self.births = random.Random(f'births {seed}') if births else None
        self.jobs = random.Random(f'jobs {seed}') if jobs else None
        self.zones = random.Random(f'zones {seed}') if zones else None
        self.late_starts = (
            random.Random(f'late {seed}') if late_starts else None
        )
        self.splits = random.Random(f'splits {seed}') if splits else None
        self.job_numbers = itertools.count(1)
        size = size or self.random.choice((3, 4, 5))
        self.cluster = cluster.Cluster(
            size, cluster_limits=SPLIT_LIMITS if splits else cluster.LIMITS
        )

    def run(self, steps=STEPS):
        """Walk, then heal all faults and check how all work ended.

        :raises cluster_fakes.Violation: an invariant does not hold
        """
        self.cluster.submit(3)
        self.cluster.run(4)
        for _ in range(steps):
            self.act()
            self.disturb_worker()
            self.restart_worker()
            self.disturb_jobs()
            self.change_zones()
            self.hang_worker()
            self.split_cluster()
        self.restore_workers()
        self.open_zones()
        self.cluster.settle()
        self.cluster.run(_ACK_SECONDS)
        cluster_checks.check_record(self.cluster.nodes)
        self.cluster.check_end()

    def act(self):
        """Take one random action and check the invariants."""
        (action,) = self.random.choices(ACTIONS, WEIGHTS)
        action(self)
        self.cluster.check()

    def disturb_worker(self):
        """At random, crash a worker or change its capacity."""
        if self.more is None or self.more.random() > _WORKER_FAULT_CHANCE:
            return
        node = self.more.choice(self.cluster.nodes)
        kind = self.more.choice(('crash', 'crasher', 'shrink', 'grow'))
        if kind == 'crash':
            node.worker.crash()
        elif kind == 'crasher':
            self.add_crasher()
        else:
            low, high = (200, 1500) if kind == 'shrink' else (2000, 2000)
            node.worker.resize(self.more.randint(low, high))
        self.cluster.check()

    def restart_worker(self):
        """At random, restart a worker under the same id."""
        if self.births is None or self.births.random() > _RESTART_CHANCE:
            return
        node = self.births.choice(self.cluster.nodes)
        node.worker.crash(self.births.choice(_RESTART_SECONDS))
        self.cluster.check()

    def disturb_jobs(self):
        """At random, submit or cancel a job, fail tasks or lose answers."""
        if self.jobs is None or self.jobs.random() > _JOB_ACTION_CHANCE:
            return
        worker = self.jobs.choice(self.cluster.nodes).worker
        kind = self.jobs.choice(('job', 'job', 'fail', 'lose', 'cancel'))
        if kind == 'job':
            self.submit_job()
        elif kind == 'fail':
            self.fail_tasks(worker)
        elif kind == 'lose':
            worker.lost_answers = self.jobs.randint(1, 2)
        else:
            accepted = self.cluster.list_accepted()
            if accepted:
                self.cluster.cancel(self.jobs.choice(accepted))
        self.cluster.check()

    def change_zones(self):
        """At random, close a zone to new starts or open all zones."""
        if self.zones is None or self.zones.random() > _ZONE_ACTION_CHANCE:
            return
        if self.zones.random() < 0.5:
            self.open_zones()
            return
        node = self.zones.choice(self.cluster.nodes)
        self.cluster.close_zone(node.vm.availability_zone)
        self.cluster.check()

    def hang_worker(self):
        """At random, have a worker hang at its next start."""
        if (
            self.late_starts is None
            or self.late_starts.random() > _HANG_CHANCE
        ):
            return
        worker = self.late_starts.choice(self.cluster.nodes).worker
        worker.hang_at_next_start(
            self.late_starts.choice(_HANG_SECONDS),
            self.late_starts.choice(_LATE_START_SECONDS),
        )

    def split_cluster(self):
        """At random, cut the owner and some others off, and take over."""
        if self.splits is None or self.splits.random() > _SPLIT_CHANCE:
            return
        replaces_all = self.splits.random() < _REPLACE_ALL_CHANCE
        nodes = list(self.cluster.nodes)
        self.splits.shuffle(nodes)
        owners = self.cluster.list_owners()
        if owners:
            latest = max(owners, key=lambda node: node.owner.epoch)
            nodes.remove(latest)
            nodes.insert(0, latest)
        count = self.splits.randint(1, len(nodes) - 1)
        if replaces_all and len(nodes) < _MAX_NODES:
            count = len(nodes)
            nodes += [self.cluster.add_node(), self.cluster.add_node()]
        self.cluster.split(nodes[:count])
        self.cluster.run(self.splits.choice((0.5, 3.0)))
        for node in nodes[count:]:
            if not node.paused and not node.down:
                node.claim()
                break
        if self.splits.random() < _PAUSE_CHANCE:
            self.cluster.run(self.splits.choice(_PAUSE_SECONDS))
            for node in nodes[:count]:
                node.paused = True
        self.cluster.run(self.splits.choice(_SPLIT_SECONDS), 1.0)
        if self.splits.random() < 0.7:
            self.mend_network()
            self.resume()

    def open_zones(self):
        """Open all closed zones."""
        for zone in list(self.cluster.closed):
            self.cluster.open_zone(zone)

    def submit_job(self):
        """Submit a job of two or three steps that run one after the other."""
        steps = [
            data.Workload(
                kind=data.Kind.BATCH,
                count=self.jobs.randint(1, 2),
                after=[str(number - 1)] if number else [],
                resources=data.Resources(500, 500),
                run_ms=500,
                max_failures=cluster_checks.MAX_FAILURES,
            )
            for number in range(self.jobs.randint(2, 3))
        ]
        job = f'{next(self.job_numbers):016x}'
        self.cluster.submit_job(
            data.Job(job, 'plans', 1, b'spec', steps, 2000)
        )

    def fail_tasks(self, worker):
        """Make all running tasks of jobs on a worker fail."""
        for run in list(worker.runs):
            task = run.attempt.task
            if run.running and cluster_checks.is_job_task(task):
                worker.finish(task, data.RunState.FAILED)
                self.record_failure(task)

    def record_failure(self, task):
        """Note that a task's job may fail, once it has no retries left."""
        failed = [
            run
            for node in self.cluster.nodes
            for run in node.worker.record
            if run.attempt.task == task
            and run.attempt.state == data.RunState.FAILED
        ]
        if len(failed) >= cluster_checks.MAX_FAILURES:
            self.cluster.exhausted_jobs.add(task.partition('.')[0])

    def add_crasher(self):
        """Make a running task crash every worker that starts it later."""
        running = [
            run.attempt.task
            for node in self.cluster.nodes
            for run in node.worker.runs
            if run.running
        ]
        if running:
            task = self.more.choice(running)
            self.cluster.crashers.add(task)
            for node in self.cluster.nodes:
                node.worker.crashers.add(task)

    def restore_workers(self):
        """Restore the capacity of all workers and stop tasks crashing them."""
        for node in self.cluster.nodes:
            node.worker.crashers.clear()
            node.worker.resize(cluster_fakes.CAPACITY.cpu_milli)

    def pick_node(self):
        """Return a random node."""
        return self.random.choice(self.cluster.nodes)

    def pass_time(self):
        """Run the cluster for a random time."""
        self.cluster.run(self.random.choice(_WAIT_SECONDS), 0.5)

    def submit(self):
        """Submit a job."""
        self.cluster.submit(self.random.randint(1, 3))

    def cancel(self):
        """Cancel a job."""
        accepted = self.cluster.list_accepted()
        if accepted:
            self.cluster.cancel(self.random.choice(accepted))

    def finish(self):
        """Let all running tasks of a VM succeed."""
        node = self.pick_node()
        for run in list(node.worker.runs):
            if run.running:
                node.worker.finish(run.attempt.task)

    def cut(self):
        """Cut the network between two nodes."""
        self.cluster.cut(self.pick_node(), self.pick_node())

    def isolate(self):
        """Cut a node off from all others, and perhaps from the store."""
        self.cluster.isolate(self.pick_node(), self.random.random() < 0.5)

    def cut_store(self):
        """Cut a node off from the store."""
        self.pick_node().pool.cut = True

    def mend_network(self):
        """Mend the network."""
        self.cluster.cuts.clear()
        for node in self.cluster.nodes:
            node.pool.cut = False

    def pause(self):
        """Pause a node's processes."""
        self.pick_node().paused = True

    def resume(self):
        """Resume all paused nodes."""
        for node in self.cluster.nodes:
            node.paused = False

    def restart(self):
        """Restart a side process."""
        self.cluster.restart_side(self.pick_node())

    def fail_vm(self):
        """Make a VM fail."""
        self.cluster.fail_vm(self.pick_node())

    def repair(self):
        """Bring failed VMs and broken workers back."""
        for node in self.cluster.nodes:
            node.down = False
            node.worker.broken = False

    def break_worker(self):
        """Make a worker refuse every start."""
        self.pick_node().worker.broken = True

    def silence_worker(self):
        """Make a worker stop answering."""
        self.pick_node().worker.silent = True

    def unsilence_workers(self):
        """Make all workers answer again."""
        for node in self.cluster.nodes:
            node.worker.silent = False

    def announce_leaving(self):
        """Mark one VM as leaving in the VM list."""
        self.cluster.listing.set_leaving({self.pick_node().vm.name})

    def withdraw_leaving(self):
        """Mark no VM as leaving in the VM list."""
        self.cluster.listing.set_leaving(set())

    def claim(self):
        """Have a node take the shard over, if its process runs."""
        node = self.pick_node()
        if not node.paused and not node.down:
            node.claim()

    def break_pipes(self):
        """Close a node's connections."""
        self.cluster.break_pipes(self.pick_node())

    def deliver_stale(self):
        """Deliver messages left on closed connections."""
        self.cluster.deliver_stale()

    def disturb_store(self):
        """Make the store lose answers or requests, or be down."""
        faults = self.cluster.fake.faults
        kind = self.random.randrange(3)
        if kind == 0:
            faults.lose_answers = self.random.randint(1, 3)
        elif kind == 1:
            faults.lose_requests = self.random.randint(1, 3)
        else:
            faults.down = True

    def mend_store(self):
        """Bring the store back."""
        self.cluster.fake.faults.down = False


ACTIONS = (
    Walk.pass_time,
    Walk.submit,
    Walk.cancel,
    Walk.finish,
    Walk.cut,
    Walk.isolate,
    Walk.cut_store,
    Walk.mend_network,
    Walk.pause,
    Walk.resume,
    Walk.restart,
    Walk.fail_vm,
    Walk.repair,
    Walk.break_worker,
    Walk.silence_worker,
    Walk.unsilence_workers,
    Walk.announce_leaving,
    Walk.withdraw_leaving,
    Walk.claim,
    Walk.break_pipes,
    Walk.deliver_stale,
    Walk.disturb_store,
    Walk.mend_store,
)
WEIGHTS = (
    *(30, 6, 2, 4, 4, 4, 3, 5, 4, 5, 4, 2, 4, 1),
    *(3, 4, 2, 4, 8, 3, 4, 4, 5),
)


def run_seeds(make_walk):
    """Walk for each seed from the first argument up to the second.

    Prints the violations, and how many there were.

    :param make_walk: returns the walk of a seed
    :returns: the exit code, 0 only without violations
    """
    first, last = int(sys.argv[1]), int(sys.argv[2])
    began = time.monotonic()
    failed = 0
    for seed in range(first, last):
        try:
            make_walk(seed).run()
        except cluster_fakes.Violation as exc:
            failed += 1
            print(f'seed {seed}: {exc}', flush=True)
    elapsed_seconds = time.monotonic() - began
    print(
        f'{last - first} walks, {failed} violations, {elapsed_seconds:.1f} s'
    )
    return 1 if failed else 0


def main():
    """Walk for each seed from the first argument up to the second.

    Further arguments are options of :class:`Walk`: ``more``, ``births``,
    ``jobs``, ``zones``, ``late_starts`` and ``splits``.
    """
    options = dict.fromkeys(sys.argv[3:], True)
    return run_seeds(lambda seed: Walk(seed, **options))


if __name__ == '__main__':
    sys.exit(main())
