# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Benchmarks of shard state and ownership (``make bench``).

Counts, sizes and ratios have bounds; processor time has one only where the
users' requirements set it. The exit code is 1 if a bound is exceeded.
"""

import dataclasses
import heapq
import itertools
import random
import sys
import time
import tracemalloc

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import interference
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import remedies
from portwharf.scheduler.decisions import service_protection
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import owner
from portwharf.scheduler import prepared_starts
from portwharf.scheduler import shardlog
from portwharf.scheduler import state
from portwharf.side import settings
from portwharf.testing import cluster
from portwharf.testing import fixtures

SHARDS = 24
STARTS_PER_SECOND = 76
DURATION_SECONDS = 120
MAX_WRITES_PER_SECOND = 40
RUNNING_TASKS = 800
WAITING_TASKS = 2000
REPETITIONS = 7


@dataclasses.dataclass(slots=True)
class Row:
    """One measured value and its upper bound; 0 means no bound."""

    name: str = ''
    value: float = 0.0
    unit: str = ''
    most: float = 0.0


def measure_appends():
    """Measure the store writes a second of all shards at the peak rate.

    Events arrive at random times, two for each start. Each append takes all
    events that arrived since the shard's last one, as in ``owner.Owner``.

    :returns: list of :class:`Row`
    """
    rnd = random.Random(1)
    interval_seconds = SHARDS / settings.STORE_WRITES
    kv, fake = fixtures.make_store()
    logs = [shardlog.ShardLog(kv, shard) for shard in range(SHARDS)]
    for log in logs:
        log.read()
    arrivals = sorted(
        (rnd.uniform(0, DURATION_SECONDS), rnd.randrange(SHARDS), number)
        for number in range(STARTS_PER_SECOND * DURATION_SECONDS * 2)
    )
    next_append = [0.0] * SHARDS
    pending = [[] for _ in range(SHARDS)]
    appends = []
    sequence = itertools.count()
    for arrived_at, shard, number in arrivals:
        while appends and appends[0][0] <= arrived_at:
            _append_next(appends, logs, pending)
        if not pending[shard]:
            append_at = max(arrived_at, next_append[shard])
            next_append[shard] = append_at + interval_seconds
            heapq.heappush(appends, (append_at, next(sequence), shard))
        pending[shard].append(_make_placement_event(number))
    while appends:
        _append_next(appends, logs, pending)
    return [
        Row(
            'writes, 76 starts/s over 24 shards',
            fake.writes / DURATION_SECONDS,
            'a second',
            MAX_WRITES_PER_SECOND,
        )
    ]


def _append_next(appends, logs, pending):
    _, _, shard = heapq.heappop(appends)
    logs[shard].append(pending[shard])
    pending[shard] = []


def _make_placement_event(number):
    return events.TaskPlaced(f'0-job.{number}', 1, 'vm-00')


def make_busy_state():
    """Return a shard state of the size that the requirements name."""
    shard_state = state.ShardState()
    vms = [fixtures.make_vm(number) for number in range(35)]
    shard_state.apply(events.OwnerChanged(1, 'vm-00', vms))
    for number in range(RUNNING_TASKS // 10):
        _add_workload(shard_state, f'running-{number}', 10)
        for task in range(10):
            vm = f'vm-{(number * 10 + task) % 35:02d}'
            name = f'0-running-{number}.{task}'
            shard_state.apply(events.TaskPlaced(name, 1, vm))
            decision = events.Decision(10**12, 'placed', name, vm)
            shard_state.apply(events.DecisionMade(decision))
    for number in range(WAITING_TASKS // 10):
        _add_workload(shard_state, f'waiting-{number}', 10)
    return shard_state


def _add_workload(shard_state, name, count):
    workload = fixtures.make_workload(
        name=name, count=count, argument=bytes(200)
    )
    event = events.WorkloadAccepted(f'0-{name}', workload.key, 1, workload)
    shard_state.apply(event)


def measure_takeover():
    """Measure the cost of taking over a busy shard."""
    kv, _ = fixtures.make_store()
    log = shardlog.ShardLog(kv, 0)
    log.read()
    shard_state = make_busy_state()
    log.append([events.OwnerChanged(1, 'vm-00')])
    log.write_snapshot(shard_state.pack())
    for number in range(owner.SNAPSHOT_ENTRIES):
        task = f'0-waiting-{number // 10}.{number % 10}'
        log.append([events.TaskPlaced(task, 1, 'vm-01')])
    tracemalloc.start()
    began = time.process_time()
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    restored = state.restore_state(contents)
    cpu_seconds = time.process_time() - began
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tasks = sum(len(held) for held in restored.held.values())
    if tasks != RUNNING_TASKS + owner.SNAPSHOT_ENTRIES:
        raise RuntimeError(
            f'take-over restored an unexpected number of tasks: {tasks}'
        )
    return [
        Row('take-over, processor time', cpu_seconds, 's', 1.0),
        Row('take-over, peak memory', peak_bytes / 2**20, 'MB', 20.0),
        Row(
            'snapshot of a busy shard',
            len(shard_state.pack()) / 1000,
            'KB',
            900,
        ),
    ]


def measure_starts():
    """Measure the processor time of a task's start and end."""
    simulated = cluster.Cluster(5)
    rounds, count = 40, 10
    owner_node = simulated.nodes[0]
    simulated.submit(rounds * count)
    for _ in range(8):
        simulated.tick(0.5)
    loop_began = time.process_time()
    owner_seconds = 0
    ended = 0
    while ended < rounds * count:
        for node in simulated.nodes:
            for run in list(node.worker.runs):
                if run.running:
                    node.worker.finish(run.attempt.task)
                    ended += 1
            node.server.agent.step()
            node.server.agent._next_poll = 0.0
        simulated.deliver_all()
        began = time.process_time()
        owner_node.step()
        owner_seconds += time.process_time() - began
        simulated.deliver_all()
        simulated.time.advance(0.1)
    total_seconds = time.process_time() - loop_began
    return [
        Row(
            'owner, a start and its end',
            1000 * owner_seconds / ended,
            'ms',
            3.0,
        ),
        Row(
            'the same with sides and store', 1000 * total_seconds / ended, 'ms'
        ),
    ]


def make_waiting_state(waiting, running, vms):
    """Return a state with single-task jobs: some running, others waiting."""
    shard_state = state.ShardState()
    members = [fixtures.make_vm(number) for number in range(vms)]
    shard_state.apply(events.OwnerChanged(1, 'vm-00', members))
    for number in range(running + waiting):
        _add_workload(shard_state, f'job-{number}', 1)
        if number < running:
            vm = f'vm-{number % vms:02d}'
            shard_state.apply(events.TaskPlaced(f'0-job-{number}.0', 1, vm))
    return shard_state


def make_views(vms, cpu_milli):
    """Return views of VMs that run one service each.

    :param cpu_milli: processors of each VM, in thousandths
    """
    views = []
    for number in range(vms):
        view = vmview.VmView(fixtures.make_vm(number))
        view.capacity = data.Resources(cpu_milli, 10**6)
        view.services = [remedies.ServiceView('lens/fit', 0.5, 0.6, 0.2)]
        views.append(view)
    return views


def time_planning_pass(shard_state, vms, cpu_milli):
    """Measure one planning pass.

    :returns: processor seconds, and the number of tasks placed; the seconds
        are the minimum of several runs, since other load only adds to them
    """
    model = interference.Model()
    for _ in range(100):
        model.observe('lens/fit', 0.5, {'lens/surface-plan': 1}, 0.05)
    predict_effect = remedies.Remedies(model).predict_effect
    min_seconds = float('inf')
    for _ in range(REPETITIONS):
        views = make_views(vms, cpu_milli)
        began = time.process_time()
        demands = pass_inputs.list_demands(
            shard_state, lambda workload: set(), 0
        )
        planned = pass_inputs.plan(
            shard_state, demands, views, {}, 10**12, predict_effect
        )
        min_seconds = min(min_seconds, time.process_time() - began)
    return min_seconds, len(planned.placements)


def time_preemption_search(waiting):
    """Measure the search for tasks to preempt, in processor seconds.

    All VMs are full of tasks that no waiting task may preempt, so that the
    search finds none.
    """
    shard_state = make_waiting_state(waiting, 100, 11)
    views = make_views(11, 16_000)
    for view in views:
        view.reserved = view.capacity
    demands = pass_inputs.list_demands(shard_state, lambda workload: set(), 0)
    planned = pass_inputs.plan(shard_state, demands, views, {}, 10**12)
    search = service_protection.ServiceProtection(shard_state, 0.0)
    preparation = prepared_starts.PreparedStarts(shard_state)
    began = time.process_time()
    search.plan_evictions(planned.ordered, views, set(), 1.0)
    preparation.prepare_tasks(planned.ordered, views)
    return time.process_time() - began


def measure_decisions():
    """Measure placement decisions at the size the requirements name."""
    seconds_per_task = {}
    for vms in (11, 35, 70):
        shard_state = make_waiting_state(WAITING_TASKS, 770, vms)
        cpu_seconds, placed = time_planning_pass(
            shard_state, vms, 200_000 // vms
        )
        full_pass_seconds, _ = time_planning_pass(shard_state, vms, 0)
        if not placed:
            raise RuntimeError('the planning pass placed no task')
        seconds_per_task[vms] = (cpu_seconds - full_pass_seconds) / placed
    growth = (seconds_per_task[70] / seconds_per_task[35]) / (70 / 35)
    backlog_state = make_waiting_state(10_000, 0, 11)
    backlog_seconds, _ = time_planning_pass(backlog_state, 11, 0)
    return [
        Row('a decision, 35 VMs', 1000 * seconds_per_task[35], 'ms', 1.0),
        Row('its growth from 35 to 70 VMs', growth, 'of linear', 1.15),
        Row('a pass over 10,000 waiting', 1000 * backlog_seconds, 'ms', 50.0),
        Row(
            'and who could make room',
            1000 * time_preemption_search(10_000),
            'ms',
            50,
        ),
    ]


def measure_heartbeats():
    """Measure answering a heartbeat, without its transport."""
    simulated = cluster.Cluster(5)
    simulated.run(3)
    node = simulated.nodes[0]
    link = node.owner.list_links()[0]
    heartbeat = messages.Heartbeat(
        10**6, 10**6, 1, data.Resources(1, 1), config_revision=3
    )
    count = 20_000
    began = time.process_time()
    for _ in range(count):
        link.handle(link.pipe.owner, heartbeat)
        link.pipe.to_side.clear()
    cpu_seconds = time.process_time() - began
    return [Row('owner, a heartbeat decided', 1e6 * cpu_seconds / count, 'us')]


def main():
    """Run all benchmarks and print a table."""
    rows = (
        measure_appends()
        + measure_takeover()
        + measure_starts()
        + measure_heartbeats()
        + measure_decisions()
    )
    any_exceeded = False
    for row in rows:
        bound = f'  (at most {row.most:g})' if row.most else ''
        exceeded = bool(row.most) and row.value > row.most
        any_exceeded = any_exceeded or exceeded
        mark = '  EXCEEDED' if exceeded else ''
        print(f'{row.name:36} {row.value:10.3f} {row.unit}{bound}{mark}')
    return 1 if any_exceeded else 0


if __name__ == '__main__':
    sys.exit(main())
