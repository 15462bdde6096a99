# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Simulated cluster: one shard's real ownership code in a single thread.

Sides, owners, the log and the store adapter are the real classes; workers,
connections and clocks are fakes. A test advances the time, injects faults
and decides when messages are delivered. The VMs' clocks run at slightly
different speeds. The workers' records are checked against the invariants in
``cluster_checks`` after every step of a node.
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
from portwharf.testing import fake_store
from portwharf.testing import fixtures

LIMITS = limits.Limits()
CLOCK_SPEEDS = (1.0, 1.004, 0.996, 1.002, 0.998)
_ROUNDS_PER_TICK = 6
# Interval at which a node reads the closed zones from the store.
ZONE_POLL_SECONDS = 4.0


class Node:
    """A VM: a fake worker, a real side and, if it owns the shard, an owner.

    :ivar owner: None while this node does not believe to own the shard
    :ivar paused: whether the side's process is paused
    :ivar down: whether the VM has failed
    :ivar knows_epoch: whether the side has read the epoch since its start
    """

    def __init__(self, cluster, vm, speed):
        self.cluster = cluster
        self.vm = vm
        self.clock = cluster_fakes.SpeedClock(cluster.time, speed)
        self.worker = cluster_fakes.FakeWorker(self.clock)
        self.pool = cluster_fakes.CuttablePool(cluster.fake)
        self.kv = fixtures.open_store(self.pool)
        self.owner = None
        self.paused = False
        self.down = False
        self.boot()

    def boot(self):
        """Create the side without any state, as a process start does."""
        self.keeper = configuration.ConfigKeeper()
        self.zones = zones.ZoneKeeper(self.clock)
        self.zones.add_listener(self._publish_zones)
        self.guard = guard.GrantGuard(self.clock, self.cluster.limits)
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
            self.worker,
            self.guard,
            self.cluster.limits,
            self.clock,
            lambda: None,
        )
        self.server.agent.read_roster_seq = lambda: (
            self.server.at_most_once.seq
        )
        self.server.agent.is_zone_closed = lambda: self.zones.is_closed(
            self.vm.availability_zone
        )
        self.worker.reset_side()
        self.owner = None
        self.knows_epoch = False

    def learn(self):
        """Read the epoch from the log once, as a started side does."""
        if not self.knows_epoch:
            epoch = takeover.read_epoch(self.kv, 0)
            if epoch.is_ok():
                self.guard.learn_epoch(epoch.ok_value)
                self.knows_epoch = True

    def claim(self):
        """Try to take the shard over, whoever owns it now."""
        if self.owner is not None or not self.knows_epoch:
            return
        claimed = takeover.claim_shard(self.kv, 0, self.vm.name)
        if claimed.is_ok():
            claim = claimed.ok_value
            self.owner = owner.Owner(self.make_env(), claim.log, claim.state)

    def ask(self, operation):
        """Return the owner's ``messages.OperationResult`` of a read call."""
        results = []
        self.owner.execute_operation(operation, results.append)
        return results[0]

    def _publish_zones(self):
        """Have the owner, if it is here, send the zones to the sides."""
        if self.owner is not None:
            self.owner.send_closed_zones()

    def make_env(self):
        """Return the environment of an owner on this VM."""
        return environment.Environment(
            name=self.vm.name,
            clock=self.clock,
            limits=self.cluster.limits,
            vmlist=cluster_fakes.CuttableVmList(
                self.cluster.listing, self.pool
            ),
            keeper=self.keeper,
            append_interval=0.0,
            make_link=cluster_fakes.ManualLink,
            kv=self.kv,
            zones=self.zones,
            compares_vms=self.cluster.compares_vms,
        )

    def step(self):
        """Let the side and the owner do what is due.

        Does nothing while the node is paused or down.
        """
        if self.paused or self.down:
            return
        self.learn()
        self._poll_zones()
        for _ in range(4):
            self.server.agent.step()
        if self.owner is not None:
            is_stalled = self.owner.stalled
            items = () if is_stalled else self.owner.take_items()
            outcome = self.owner.step(items)
            if outcome is batches.StepResult.DEPOSED:
                self.end_owner()
            elif outcome is batches.StepResult.STALLED:
                self.owner.serve_stalled()

    def _poll_zones(self):
        """Read the closed zones if the last reading is too old."""
        since = self.clock.read_monotonic() - ZONE_POLL_SECONDS
        if not self.zones.is_known_since(since):
            self.zones.refresh(self.kv)

    def end_owner(self):
        """End the owner without notice to anyone, as a crash does."""
        if self.owner is not None:
            for link in self.owner.list_links():
                link.__exit__(None, None, None)
            self.owner = None


class Cluster:
    """Nodes, a fake store and the operator calls.

    :ivar time: clock of the true time
    :ivar limits: the ``limits.Limits`` of all nodes
    :ivar cuts: pairs of names of VMs that cannot reach each other
    :ivar calls: operator calls that were made
    :ivar closed: true time at which each closed zone was closed, by name
    :ivar cancelled: true time at which the cancellation of each job or
        workload was seen to be acknowledged, by id
    :ivar crashers: ids of tasks that crash workers and so may fail
    :ivar exhausted_jobs: ids of jobs with a task that used up its failures
    :ivar stale_pipes: closed pipes that may hold messages, and their nodes
    """

    def __init__(self, size=3, compares_vms=True, cluster_limits=LIMITS):
        self.limits = cluster_limits
        self.time = clock.ManualClock()
        self.fake = fake_store.FakeStore()
        vms = [fixtures.make_vm(number) for number in range(size)]
        self.compares_vms = compares_vms
        self.listing = cluster_fakes.FakeVmList(vms)
        self.nodes = [
            Node(self, vm, CLOCK_SPEEDS[number % len(CLOCK_SPEEDS)])
            for number, vm in enumerate(vms)
        ]
        self.cuts = set()
        self.calls = []
        self.closed = {}
        self.cancelled = {}
        self.crashers = set()
        self.exhausted_jobs = set()
        self.stale_pipes = []
        self._create_shard()

    def add_node(self):
        """Start a side on a new VM at a new address, and return its node."""
        number = len(self.nodes)
        vm = fixtures.make_vm(number)
        speed = CLOCK_SPEEDS[number % len(CLOCK_SPEEDS)]
        node = Node(self, vm, speed)
        self.nodes.append(node)
        self.listing.vms.append(vm)
        return node

    def _create_shard(self):
        """Found the shard with the first node as its owner."""
        first = self.nodes[0]
        member_vms = [node.vm for node in self.nodes]
        claim = takeover.create_shard(
            first.kv, 0, first.vm.name, member_vms
        ).ok_value
        first.learn()
        first.owner = owner.Owner(first.make_env(), claim.log, claim.state)

    # Time and messages.

    def run(self, seconds, step=0.5):
        """Run the cluster for some seconds, in ticks of ``step`` seconds."""
        remaining_seconds = seconds
        while remaining_seconds > 0:
            self.tick(min(step, remaining_seconds))
            remaining_seconds -= step

    def tick(self, seconds):
        """Advance the time; connect, deliver messages and step all nodes."""
        self.time.advance(seconds)
        for node in self.nodes:
            node.worker.expire()
        for node in self.nodes:
            node.worker.carry_out_late_starts()
        for _ in range(_ROUNDS_PER_TICK):
            self.connect_all()
            self.deliver_all()
            for node in self.nodes:
                node.step()
                self.check()

    def connect_all(self):
        """Connect every running owner to every side that it can reach."""
        for node in self.nodes:
            if node.owner is None or node.paused or node.down:
                continue
            for link in node.owner.list_links():
                self._connect(node, link)

    def deliver_all(self):
        """Deliver the queued messages of all connections that are not cut."""
        for node in self.nodes:
            if node.owner is None or node.paused or node.down:
                continue
            for link in node.owner.list_links():
                side = self.find(link.name)
                if side.paused or self.is_cut(node, side):
                    continue
                self.deliver(node, link, side)

    def deliver(self, node, link, side):
        """Deliver the queued messages of a connection, in both directions."""
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
        """Deliver an owner's queued messages, also those of a closed pipe."""
        try:
            while pipe.to_side:
                message = pipe.to_side.popleft()
                side.server.take_owner_message(pipe.side, pipe.hello, message)
        except streams.PeerError:
            pipe.closed = True
            pipe.to_side.clear()

    def deliver_stale(self):
        """Deliver the messages left on closed connections to their sides."""
        for pipe, side in self.stale_pipes:
            if not side.down:
                self.deliver_to_side(pipe, side)
        self.stale_pipes = []

    def _connect(self, node, link):
        side = self.find(link.name)
        if link.pipe is not None and not link.pipe.closed:
            return
        if link.pipe is not None:
            self.stale_pipes.append((link.pipe, side))
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
        node.owner.check_epoch(answer.epoch)
        if not pipe.closed:
            link.pipe = pipe
            link._conn = pipe.owner
            link.attach(pipe.owner, answer)

    # Faults.

    def find(self, name):
        """Return the node of a VM, by the VM's name."""
        return next(node for node in self.nodes if node.vm.name == name)

    def is_cut(self, one, other):
        """Return whether the network between two nodes is cut."""
        return frozenset((one.vm.name, other.vm.name)) in self.cuts

    def cut(self, one, other):
        """Cut the network between two nodes; a node always reaches itself."""
        if one is not other:
            self.cuts.add(frozenset((one.vm.name, other.vm.name)))

    def isolate(self, node, store=True):
        """Cut a node off from all other nodes.

        :param store: whether it is cut off from the store too
        """
        for other in self.nodes:
            self.cut(node, other)
        node.pool.cut = store

    def split(self, group):
        """Cut a group of nodes off from all others and from the store."""
        for node in group:
            node.pool.cut = True
            for other in self.nodes:
                if other not in group:
                    self.cut(node, other)

    def heal(self):
        """Remove the faults of the network, nodes, VM list and store.

        Workers answer again, but keep their capacity and their crashers.
        """
        self.cuts.clear()
        self.fake.faults = fake_store.Faults()
        self.listing.set_leaving(set())
        for node in self.nodes:
            node.pool.cut = False
            node.paused = False
            node.down = False
            node.worker.broken = False
            node.worker.silent = False
            node.worker.cancel_next_hang()
            node.worker.lost_answers = 0

    def break_pipes(self, node):
        """Close all connections of a node's owner and to its side."""
        for other in self.nodes:
            if other.owner is None:
                continue
            for link in other.owner.list_links():
                is_affected = node in (other, self.find(link.name))
                if is_affected and link.pipe is not None:
                    link.pipe.closed = True

    def restart_side(self, node):
        """Restart a node's side process; its worker keeps running."""
        node.end_owner()
        self.break_pipes(node)
        node.boot()

    def fail_vm(self, node):
        """Make a VM fail; it comes back without any tasks when healed."""
        node.worker.lose_all()
        self.restart_side(node)
        node.down = True

    # Operator calls.

    def close_zone(self, zone):
        """Close an availability zone to new starts, as an operator does."""
        self.fake.put(zones.PREFIX + zone, b'')
        self.closed[zone] = self.time.read_monotonic()

    def open_zone(self, zone):
        """Open a closed availability zone."""
        self.fake.remove(zones.PREFIX + zone)
        self.closed.pop(zone, None)

    def list_owners(self):
        """Return the nodes that run an owner, which may be deposed."""
        return [node for node in self.nodes if node.owner is not None]

    def submit(self, count=1, **fields):
        """Submit a batch job to the owner of the highest epoch.

        :returns: the call's future, None without an owner
        """
        fields = {'resources': data.Resources(1000, 1000), **fields}
        name = f'job-{len(self.calls)}'
        workload = fixtures.make_workload(name=name, count=count, **fields)
        submission = operations.Submission('', workload)
        return self._call('submit', submission)

    def submit_job(self, job):
        """Submit a ``data.Job`` to the owner of the highest epoch."""
        return self._call('submit-job', job_operations.JobSubmission(job))

    def cancel(self, name):
        """Cancel a job or a workload, by the owner of the highest epoch.

        :param name: the id of either
        """
        is_job = any(
            call.method == 'submit-job' and call.arguments.job.id == name
            for call in self.calls
        )
        method = 'cancel-job' if is_job else 'cancel'
        return self._call(method, operations.Query(name))

    def _call(self, method, arguments):
        owners = self.list_owners()
        if not owners:
            return None
        node = max(owners, key=lambda candidate: candidate.owner.epoch)
        operator_call = batches.OperatorCall(
            cluster_fakes.FakeFuture(), method, arguments
        )
        self.calls.append(operator_call)
        node.owner.take_call(operator_call)
        return operator_call.fut

    def list_accepted(self):
        """Return the ids of the jobs whose submission was accepted."""
        return [
            operator_call.fut.value.id
            for operator_call in self.calls
            if isinstance(operator_call.fut.value, operations.Accepted)
        ]

    def list_cancelled(self):
        """Return the ids of the jobs whose cancellation was confirmed."""
        return {
            operator_call.arguments.id
            for operator_call in self.calls
            if isinstance(operator_call.fut.value, operations.Cancelled)
        }

    def read_state(self):
        """Return the shard's state, read from the log in the store."""
        return takeover.read_state(fixtures.make_store(self.fake)[0], 0)

    def finish_running(self):
        """Let all running attempts on VMs that are up succeed."""
        for node in self.nodes:
            for run in list(node.worker.runs):
                if run.running and not node.down:
                    node.worker.finish(run.attempt.task)

    # Invariants.

    def check(self):
        """Check the invariants that hold at any time."""
        cluster_checks.check_capacity(self.nodes)
        cluster_checks.check_exclusive_tasks(self.nodes)
        cluster_checks.check_attempt_vms(self.nodes)
        cluster_checks.check_zones(self)
        for name in self.list_cancelled():
            self.cancelled.setdefault(name, self.time.read_monotonic())
        cluster_checks.check_cancellations(self)

    def settle(self, seconds=150.0):
        """Heal the cluster, then run it until all work has ended.

        :raises cluster_fakes.Violation: work is left after these seconds
        """
        self.heal()
        remaining_seconds = seconds
        while remaining_seconds > 0:
            if not self.list_owners():
                self.nodes[0].claim()
            self.finish_running()
            self.tick(1.0)
            remaining_seconds -= 1.0
            if self._is_done():
                return
        raise cluster_fakes.Violation(
            f'work has not ended: {self._list_unfinished()}'
        )

    def check_end(self):
        """Check how all work has ended; call :meth:`settle` before."""
        cluster_checks.check_end(self)

    def _is_done(self):
        return not self._list_unfinished()

    def _list_unfinished(self):
        state = self.read_state()
        return [
            (task.id, task.state, task.vm)
            for record in state.workloads.values()
            for task in state.list_tasks(record)
            if task.state not in data.ENDED_STATES
        ]
