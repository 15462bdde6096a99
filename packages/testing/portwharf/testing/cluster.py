# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The real ownership code of one shard, stepped by hand in one thread.

Sides, owners, the log and the store adapter are the real classes; what is
fake is the worker, the connections and the time. A test decides who runs,
what is cut, paused or restarted, and in which order messages arrive. After
every action the workers' own record is checked against what must always
hold. Clocks of the VMs run at slightly different speeds.
"""

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import streams
from portwharf.scheduler import batches
from portwharf.scheduler import configuration
from portwharf.scheduler import environment
from portwharf.scheduler import guard
from portwharf.scheduler import job_operations
from portwharf.scheduler import limits
from portwharf.scheduler import operations
from portwharf.scheduler import owner
from portwharf.scheduler import takeover
from portwharf.scheduler import zones
from portwharf.side import agent
from portwharf.side import server
from portwharf.side import settings
from portwharf.testing import cluster_checks
from portwharf.testing import cluster_fakes
from portwharf.testing import fixtures
from portwharf.testing import kv as standins

LIMITS = limits.Limits()
SPEEDS = (1.0, 1.004, 0.996, 1.002, 0.998)
_ROUNDS = 6
# How often a node without an owner looks at the keys of closed zones.
ZONES_SECONDS = 4.0


class Node:
    """One VM: a worker, a side, and at times an owner."""

    def __init__(self, cluster, vm, speed):
        self.cluster = cluster
        self.vm = vm
        self.clock = cluster_fakes.SpeedClock(cluster.time, speed)
        self.worker = cluster_fakes.FakeWorker(self.clock)
        self.pool = cluster_fakes.CuttablePool(cluster.standin)
        self.kv = fixtures.open_store(self.pool)
        self.owner = None
        self.paused = False
        self.down = False
        self.boot()

    def boot(self):
        """Start the side anew; it has forgotten everything."""
        self.keeper = configuration.ConfigKeeper()
        self.zones = zones.ZoneKeeper(self.clock)
        self.zones.follow(self._pass_zones_on)
        self.guard = guard.Guard(self.clock, LIMITS)
        cfg = settings.SideSettings(vm=self.vm)
        self.server = server.SideServer(
            cfg,
            'instance',
            self.clock,
            self.guard,
            self.keeper,
            self.zones,
        )
        self.server.agent = agent.Agent(
            self.worker, self.guard, LIMITS, self.clock, lambda: None
        )
        self.server.agent.read_roster_seq = lambda: self.server.home.seq
        self.server.agent.is_zone_closed = lambda: self.zones.is_closed(
            self.vm.availability_zone
        )
        self.owner = None
        self.learnt = False

    def learn(self):
        """Learn the epoch from the log, as a restarted side has to."""
        if not self.learnt:
            epoch = takeover.read_epoch(self.kv, 0)
            if epoch.is_ok():
                self.guard.learn_epoch(epoch.ok_value)
                self.learnt = True

    def claim(self):
        """Try to become the owner, whoever owns the shard now."""
        if self.owner is not None or not self.learnt:
            return
        claimed = takeover.claim_shard(self.kv, 0, self.vm.name)
        if claimed.is_ok():
            claim = claimed.ok_value
            self.owner = owner.Owner(self.make_env(), claim.log, claim.state)

    def _pass_zones_on(self):
        """Tell the sides, if this node owns the shard."""
        if self.owner is not None:
            self.owner.tell_zones()

    def make_env(self):
        """Return what an owner on this VM works with."""
        return environment.Environment(
            name=self.vm.name,
            clock=self.clock,
            limits=LIMITS,
            vmlist=self.cluster.listing,
            keeper=self.keeper,
            append_interval=0.0,
            make_link=cluster_fakes.StillLink,
            kv=self.kv,
            zones=self.zones,
        )

    def step(self):
        """Let side and owner do what is due."""
        if self.paused or self.down:
            return
        self.learn()
        self._watch_zones()
        for _ in range(4):
            self.server.agent.step()
        if self.owner is not None:
            waiting = self.owner.stalled
            items = () if waiting else self.owner.take_items()
            done = self.owner.step(items)
            if done is batches.Step.DEPOSED:
                self.end_owner()
            elif done is batches.Step.STALLED:
                self.owner.serve_stalled()

    def _watch_zones(self):
        """Look at closed zones now and then, as a watch that is slow."""
        since = self.clock.read_monotonic() - ZONES_SECONDS
        if not self.zones.is_known_since(since):
            self.zones.look(self.kv)

    def end_owner(self):
        """End the owner without a word, as a crash would."""
        if self.owner is not None:
            for link in self.owner.list_links():
                link.__exit__(None, None, None)
            self.owner = None


class Cluster:
    """Some nodes, the store, and the operators' side of it."""

    def __init__(self, size=3):
        self.time = clock.ManualClock()
        self.standin = standins.StoreStandIn()
        vms = [fixtures.make_vm(number) for number in range(size)]
        self.listing = cluster_fakes.FakeVmList(vms)
        self.nodes = [
            Node(self, vm, SPEEDS[number % len(SPEEDS)])
            for number, vm in enumerate(vms)
        ]
        self.cuts = set()
        self.calls = []
        # When the zones that are closed were closed, by their names.
        self.closed = {}
        # Tasks that have crashed workers: these may be given up.
        self.crashers = set()
        # Jobs of which a task has failed as often as it may.
        self.hopeless = set()
        # Ended pipes whose last messages may still reach the side.
        self.stale = []
        self._found()

    def _found(self):
        """Begin the shard with the first node as its owner."""
        first = self.nodes[0]
        members_list = [node.vm for node in self.nodes]
        claim = takeover.found_shard(
            first.kv, 0, first.vm.name, members_list
        ).ok_value
        first.learn()
        first.owner = owner.Owner(first.make_env(), claim.log, claim.state)

    # Time and messages.

    def run(self, seconds, step=0.5):
        """Let everything that is not held up go on for a while."""
        left = seconds
        while left > 0:
            self.tick(min(step, left))
            left -= step

    def tick(self, seconds):
        """Let a little time go by and everybody act."""
        self.time.advance(seconds)
        for node in self.nodes:
            node.worker.expire()
        for _ in range(_ROUNDS):
            self.connect_all()
            self.deliver_all()
            for node in self.nodes:
                node.step()
                self.check()

    def connect_all(self):
        """Have every owner connect to every side that it can reach."""
        for node in self.nodes:
            if node.owner is None or node.paused or node.down:
                continue
            for link in node.owner.list_links():
                self._connect(node, link)

    def deliver_all(self):
        """Deliver what is under way between VMs that can talk."""
        for node in self.nodes:
            if node.owner is None or node.paused or node.down:
                continue
            for link in node.owner.list_links():
                side = self.find(link.name)
                if side.paused or self.is_cut(node, side):
                    continue
                self.deliver(node, link, side)

    def deliver(self, node, link, side):
        """Deliver what is under way on one connection."""
        pipe = link.pipe
        if pipe is None:
            return
        self.deliver_to_side(pipe, side)
        try:
            while pipe.to_owner and node.owner is not None:
                link.handle(pipe.owner, pipe.to_owner.popleft())
        except streams.PeerError:
            pipe.closed = True

    def deliver_to_side(self, pipe, side):
        """Deliver an owner's messages, also those of a closed pipe."""
        try:
            while pipe.to_side:
                message = pipe.to_side.popleft()
                side.server.take_owner_message(pipe.side, pipe.hello, message)
        except streams.PeerError:
            pipe.closed = True
            pipe.to_side.clear()

    def deliver_stale(self):
        """Deliver what was left on connections that have ended."""
        for pipe, side in self.stale:
            if not side.down:
                self.deliver_to_side(pipe, side)
        self.stale = []

    def _connect(self, node, link):
        side = self.find(link.name)
        if link.pipe is not None and not link.pipe.closed:
            return
        if link.pipe is not None:
            self.stale.append((link.pipe, side))
            link._conn = None
            link.detach()
            link.pipe = None
        if self.is_cut(node, side) or side.paused or side.down:
            return
        pipe = cluster_fakes.Pipe()
        pipe.hello = link.make_hello()
        try:
            side.server.greet_owner(pipe.side, pipe.hello)
        except streams.PeerError:
            pipe.closed = True
        answer = pipe.to_owner.popleft()
        node.owner.note_epoch(answer.epoch)
        if not pipe.closed:
            link.pipe = pipe
            link._conn = pipe.owner
            link.attach(pipe.owner, answer)

    # Faults.

    def find(self, name):
        """Return a node by its VM's name."""
        return next(node for node in self.nodes if node.vm.name == name)

    def is_cut(self, one, other):
        """Tell whether two nodes cannot talk."""
        return frozenset((one.vm.name, other.vm.name)) in self.cuts

    def cut(self, one, other):
        """Cut the network between two nodes; a VM reaches itself."""
        if one is not other:
            self.cuts.add(frozenset((one.vm.name, other.vm.name)))

    def isolate(self, node, store=True):
        """Cut a node off from all others, and from the store."""
        for other in self.nodes:
            self.cut(node, other)
        node.pool.cut = store

    def heal(self):
        """Mend the network, wake everybody, and bring the store back."""
        self.cuts.clear()
        self.standin.faults = standins.Faults()
        self.listing.set_leaving(set())
        for node in self.nodes:
            node.pool.cut = False
            node.paused = False
            node.down = False
            node.worker.broken = False
            node.worker.silent = False
            node.worker.lost_answers = 0

    def break_pipes(self, node):
        """Break the connections of a node's owner and to its side."""
        for other in self.nodes:
            if other.owner is None:
                continue
            for link in other.owner.list_links():
                mine = node in (other, self.find(link.name))
                if mine and link.pipe is not None:
                    link.pipe.closed = True

    def restart_side(self, node):
        """End a node's side process and start it anew."""
        node.end_owner()
        self.break_pipes(node)
        node.boot()

    def fail_vm(self, node):
        """Have a VM fail; it comes back empty when healed."""
        node.worker.lose_all()
        self.restart_side(node)
        node.down = True

    # Operators.

    def close_zone(self, zone):
        """Close an availability zone to new starts, as an operator does."""
        self.standin.put(zones.PREFIX + zone, b'')
        self.closed[zone] = self.time.read_monotonic()

    def open_zone(self, zone):
        """Take a closed zone back."""
        self.standin.remove(zones.PREFIX + zone)
        self.closed.pop(zone, None)

    def list_owners(self):
        """Return the nodes that believe to be owners."""
        return [node for node in self.nodes if node.owner is not None]

    def submit(self, count=1, **fields):
        """Submit a job to every owner there is; the latest answers."""
        fields = {'resources': data.Resources(1000, 1000), **fields}
        name = f'job-{len(self.calls)}'
        workload = fixtures.make_workload(name=name, count=count, **fields)
        submission = operations.Submission('', workload)
        return self._call('submit', submission)

    def submit_job(self, job):
        """Submit a ``data.Job`` to every owner there is."""
        return self._call('submit-job', job_operations.JobSubmission(job))

    def cancel(self, job):
        """Cancel a job that was accepted."""
        return self._call('cancel', operations.Query(job))

    def _call(self, method, arguments):
        owners = self.list_owners()
        if not owners:
            return None
        node = max(owners, key=lambda one: one.owner.epoch)
        called = batches.Called(cluster_fakes.FakeFuture(), method, arguments)
        self.calls.append(called)
        node.owner.take_call(called)
        return called.fut

    def list_accepted(self):
        """Return the ids of the jobs that operators were told of."""
        return [
            called.fut.value.id
            for called in self.calls
            if isinstance(called.fut.value, operations.Accepted)
        ]

    def list_cancelled(self):
        """Return the ids of jobs whose cancelling was confirmed."""
        return {
            called.arguments.id
            for called in self.calls
            if isinstance(called.fut.value, operations.Cancelled)
        }

    def read_state(self):
        """Return the state that the log comes to, read afresh."""
        return takeover.read_state(fixtures.make_store(self.standin)[0], 0)

    def finish_running(self):
        """Have all running batch attempts come to their end."""
        for node in self.nodes:
            for run in list(node.worker.runs):
                if run.running and not node.down:
                    node.worker.finish(run.attempt.task)

    # What must always hold.

    def check(self):
        """Check the workers' own record."""
        cluster_checks.check_capacity(self.nodes)
        cluster_checks.check_places(self.nodes)
        cluster_checks.check_checkpoints(self.nodes)
        cluster_checks.check_zones(self)

    def settle(self, seconds=150.0):
        """Heal everything and let all work come to its end."""
        self.heal()
        left = seconds
        while left > 0:
            if not self.list_owners():
                self.nodes[0].claim()
            self.finish_running()
            self.tick(1.0)
            left -= 1.0
            if self._is_done():
                return
        raise cluster_fakes.Violation(f'work is left: {self._list_unended()}')

    def check_end(self):
        """After settling: nothing lost, nothing invented."""
        cluster_checks.check_end(self)

    def _is_done(self):
        return not self._list_unended()

    def _list_unended(self):
        state = self.read_state()
        return [
            (task.id, task.state, task.vm)
            for record in state.workloads.values()
            for task in state.list_tasks(record)
            if task.state not in data.ENDED_STATES
        ]
