# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A random walk over the ownership code: faults of all kinds, then peace.

Each walk is given by its seed. It ends with everything healed, and then
all accepted work has to come to its right end.
"""

import itertools
import random
import sys
import time

from portwharf.core import data
from portwharf.testing import cluster
from portwharf.testing import cluster_checks
from portwharf.testing import cluster_fakes

STEPS = 40
# In how many of the steps a worker crashes or its room changes besides.
_MORE_SHARE = 0.25
# In how many a worker is born anew, within a look or a heartbeat.
_BIRTH_SHARE = 0.15
_BIRTH_SECONDS = (0.0, 0.2, 0.6)
# In how many a job comes, or a task fails, or answers are lost.
_JOB_SHARE = 0.35
# In how many an availability zone is closed to new starts, or taken back.
_ZONE_SHARE = 0.15
_LONG_SECONDS = (0.3, 1.0, 3.0, 8.0, 16.0)


class Walk:
    """One walk."""

    def __init__(
        self,
        seed,
        size=0,
        more=False,
        births=False,
        jobs=False,
        zones=False,
    ):
        """Begin a walk.

        What comes besides is drawn apart, so that known seeds stay as they
        were without it.

        :param more: workers crash, also under tasks, shrink and grow
        :param births: workers begin again at once
        :param jobs: jobs of several steps, failures, starts without answers
        :param zones: availability zones are closed and taken back
        """
        self.random = random.Random(seed)
        self.more = random.Random(-1 - seed) if more else None
        self.births = random.Random(f'births {seed}') if births else None
        self.jobs = random.Random(f'jobs {seed}') if jobs else None
        self.zones = random.Random(f'zones {seed}') if zones else None
        self.numbers = itertools.count(1)
        size = size or self.random.choice((3, 4, 5))
        self.cluster = cluster.Cluster(size)

    def run(self, steps=STEPS):
        """Walk, then settle and check; raises ``cluster_fakes.Violation``."""
        self.cluster.submit(3)
        self.cluster.run(4)
        for _ in range(steps):
            self.act()
            self.act_more()
            self.bear()
            self.act_on_jobs()
            self.act_on_zones()
        self.heal_workers()
        self.open_zones()
        self.cluster.settle()
        cluster_checks.check_record(self.cluster.nodes)
        self.cluster.check_end()

    def act(self):
        """Do one random thing."""
        (action,) = self.random.choices(ACTIONS, WEIGHTS)
        action(self)
        self.cluster.check()

    def act_more(self):
        """Now and then do something to a worker."""
        if self.more is None or self.more.random() > _MORE_SHARE:
            return
        node = self.more.choice(self.cluster.nodes)
        what = self.more.choice(('crash', 'crasher', 'shrink', 'grow'))
        if what == 'crash':
            node.worker.crash()
        elif what == 'crasher':
            self.crash_by_task()
        else:
            least, most = (200, 1500) if what == 'shrink' else (2000, 2000)
            node.worker.resize(self.more.randint(least, most))
        self.cluster.check()

    def bear(self):
        """Now and then have a worker begin again under its id at once."""
        if self.births is None or self.births.random() > _BIRTH_SHARE:
            return
        node = self.births.choice(self.cluster.nodes)
        node.worker.crash(self.births.choice(_BIRTH_SECONDS))
        self.cluster.check()

    def act_on_jobs(self):
        """Now and then hand in a job, or have something fail or be lost."""
        if self.jobs is None or self.jobs.random() > _JOB_SHARE:
            return
        worker = self.jobs.choice(self.cluster.nodes).worker
        what = self.jobs.choice(('job', 'job', 'fail', 'lose', 'cancel'))
        if what == 'job':
            self.submit_job()
        elif what == 'fail':
            self.fail_tasks(worker)
        elif what == 'lose':
            worker.lost_answers = self.jobs.randint(1, 2)
        else:
            accepted = self.cluster.list_accepted()
            if accepted:
                self.cluster.cancel(self.jobs.choice(accepted))
        self.cluster.check()

    def act_on_zones(self):
        """Now and then close a zone to new starts, or take all back."""
        if self.zones is None or self.zones.random() > _ZONE_SHARE:
            return
        if self.zones.random() < 0.5:
            self.open_zones()
            return
        node = self.zones.choice(self.cluster.nodes)
        self.cluster.close_zone(node.vm.availability_zone)
        self.cluster.check()

    def open_zones(self):
        """Take all closed zones back."""
        for zone in list(self.cluster.closed):
            self.cluster.open_zone(zone)

    def submit_job(self):
        """Hand in a job of two or three steps, one after the other."""
        steps = [
            data.Workload(
                kind=data.Kind.BATCH,
                count=self.jobs.randint(1, 2),
                after=[str(number - 1)] if number else [],
                resources=data.Resources(500, 500),
                run_ms=500,
                max_failures=cluster_checks.MOST_FAILURES,
            )
            for number in range(self.jobs.randint(2, 3))
        ]
        job = f'{next(self.numbers):016x}'
        self.cluster.submit_job(
            data.Job(job, 'plans', 1, b'spec', steps, 2000)
        )

    def fail_tasks(self, worker):
        """Have the tasks of jobs fail that run on a worker."""
        for run in list(worker.runs):
            task = run.attempt.task
            if run.running and cluster_checks.is_of_job(task):
                worker.finish(task, data.RunState.FAILED)
                self.note_failed(task)

    def note_failed(self, task):
        """Note a job that may be given up, as one of its tasks fails on."""
        failed = [
            run
            for node in self.cluster.nodes
            for run in node.worker.record
            if run.attempt.task == task
            and run.attempt.state == data.RunState.FAILED
        ]
        if len(failed) >= cluster_checks.MOST_FAILURES:
            self.cluster.hopeless.add(task.partition('.')[0])

    def crash_by_task(self):
        """Have one of the tasks that run crash its workers from now on."""
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

    def heal_workers(self):
        """Have all workers hold what they did, and no task crash them."""
        for node in self.cluster.nodes:
            node.worker.crashers.clear()
            node.worker.resize(cluster_fakes.CAPACITY.cpu_milli)

    def pick(self):
        """Return a random node."""
        return self.random.choice(self.cluster.nodes)

    def pass_time(self):
        """Let time go by."""
        self.cluster.run(self.random.choice(_LONG_SECONDS), 0.5)

    def submit(self):
        """Submit a job."""
        self.cluster.submit(self.random.randint(1, 3))

    def cancel(self):
        """Cancel a job."""
        accepted = self.cluster.list_accepted()
        if accepted:
            self.cluster.cancel(self.random.choice(accepted))

    def finish(self):
        """Have a VM's tasks come to their end."""
        node = self.pick()
        for run in list(node.worker.runs):
            if run.running:
                node.worker.finish(run.attempt.task)

    def cut(self):
        """Cut two nodes apart."""
        self.cluster.cut(self.pick(), self.pick())

    def isolate(self):
        """Cut a node off from all."""
        self.cluster.isolate(self.pick(), self.random.random() < 0.5)

    def cut_store(self):
        """Cut a node off from the store."""
        self.pick().pool.cut = True

    def mend(self):
        """Mend the network."""
        self.cluster.cuts.clear()
        for node in self.cluster.nodes:
            node.pool.cut = False

    def pause(self):
        """Pause a node's processes."""
        self.pick().paused = True

    def resume(self):
        """Resume all paused nodes."""
        for node in self.cluster.nodes:
            node.paused = False

    def restart(self):
        """Restart a side process."""
        self.cluster.restart_side(self.pick())

    def fail_vm(self):
        """Have a VM fail."""
        self.cluster.fail_vm(self.pick())

    def repair(self):
        """Bring failed VMs back."""
        for node in self.cluster.nodes:
            node.down = False
            node.worker.broken = False

    def break_worker(self):
        """Have a worker refuse everything."""
        self.pick().worker.broken = True

    def silence_worker(self):
        """Have a worker answer nothing any more."""
        self.pick().worker.silent = True

    def wake_workers(self):
        """Have all workers answer again."""
        for node in self.cluster.nodes:
            node.worker.silent = False

    def announce_leaving(self):
        """Have the list of VMs say that one will be taken away."""
        self.cluster.listing.set_leaving({self.pick().vm.name})

    def keep_all(self):
        """Have the list say that no VM will be taken away after all."""
        self.cluster.listing.set_leaving(set())

    def claim(self):
        """Have a node take the shard."""
        node = self.pick()
        if not node.paused and not node.down:
            node.claim()

    def break_pipes(self):
        """Break a node's connections."""
        self.cluster.break_pipes(self.pick())

    def deliver_stale(self):
        """Have late messages of ended connections arrive."""
        self.cluster.deliver_stale()

    def trouble_store(self):
        """Have the store lose answers or requests, or be down."""
        faults = self.cluster.standin.faults
        kind = self.random.randrange(3)
        if kind == 0:
            faults.lose_answers = self.random.randint(1, 3)
        elif kind == 1:
            faults.lose_requests = self.random.randint(1, 3)
        else:
            faults.down = True

    def mend_store(self):
        """Bring the store back."""
        self.cluster.standin.faults.down = False


ACTIONS = (
    Walk.pass_time,
    Walk.submit,
    Walk.cancel,
    Walk.finish,
    Walk.cut,
    Walk.isolate,
    Walk.cut_store,
    Walk.mend,
    Walk.pause,
    Walk.resume,
    Walk.restart,
    Walk.fail_vm,
    Walk.repair,
    Walk.break_worker,
    Walk.silence_worker,
    Walk.wake_workers,
    Walk.announce_leaving,
    Walk.keep_all,
    Walk.claim,
    Walk.break_pipes,
    Walk.deliver_stale,
    Walk.trouble_store,
    Walk.mend_store,
)
WEIGHTS = (
    *(30, 6, 2, 4, 4, 4, 3, 5, 4, 5, 4, 2, 4, 1),
    *(3, 4, 2, 4, 8, 3, 4, 4, 5),
)


def main():
    """Walk for each seed from the first to the second argument.

    Further ones, of ``more``, ``births``, ``jobs`` and ``zones``, say what
    comes besides.
    """
    first, last = int(sys.argv[1]), int(sys.argv[2])
    began = time.monotonic()
    failed = 0
    besides = dict.fromkeys(sys.argv[3:], True)
    for seed in range(first, last):
        try:
            Walk(seed, **besides).run()
        except cluster_fakes.Violation as exc:
            failed += 1
            print(f'seed {seed}: {exc}', flush=True)
    took = time.monotonic() - began
    print(f'{last - first} walks, {failed} violations, {took:.1f} s')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
