# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make bench``: what state and ownership cost, with bounds.

Bounds are on counts, sizes and ratios, and on processor time only where
the users set one. Exit code 1 if a bound is exceeded.
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
from portwharf.scheduler.decisions import planning
from portwharf.scheduler.decisions import pressure
from portwharf.scheduler.decisions import remedies
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import owner
from portwharf.scheduler import preparing
from portwharf.scheduler import shardlog
from portwharf.scheduler import state
from portwharf.side import settings
from portwharf.testing import cluster
from portwharf.testing import fixtures

SHARDS = 24
STARTS_PER_SECOND = 76
SECONDS = 120
WRITES_PER_SECOND = 40
RUNNING = 800
WAITING = 2000
TRIES = 7


@dataclasses.dataclass(slots=True)
class Row:
    """One measured number and its bound, 0 for none."""

    name: str = ''
    value: float = 0.0
    unit: str = ''
    most: float = 0.0


def measure_appends():
    """Return the appends a second of 24 shards at the peak rate.

    Each start, end and submission arrives at its own time; an owner takes
    what has come in since its last append, as ``owner.Owner`` does.
    """
    rnd = random.Random(1)
    interval = SHARDS / settings.STORE_WRITES
    kv, standin = fixtures.make_store()
    logs = [shardlog.ShardLog(kv, shard) for shard in range(SHARDS)]
    for log in logs:
        log.read()
    arrivals = sorted(
        (rnd.uniform(0, SECONDS), rnd.randrange(SHARDS), number)
        for number in range(STARTS_PER_SECOND * SECONDS * 2)
    )
    free = [0.0] * SHARDS
    waiting = [[] for _ in range(SHARDS)]
    due = []
    counter = itertools.count()
    for when, shard, number in arrivals:
        while due and due[0][0] <= when:
            _append_due(due, logs, waiting)
        if not waiting[shard]:
            at = max(when, free[shard])
            free[shard] = at + interval
            heapq.heappush(due, (at, next(counter), shard))
        waiting[shard].append(_make_placed(number))
    while due:
        _append_due(due, logs, waiting)
    return [
        Row(
            'writes, 76 starts/s over 24 shards',
            standin.writes / SECONDS,
            'a second',
            WRITES_PER_SECOND,
        )
    ]


def _append_due(due, logs, waiting):
    _, _, shard = heapq.heappop(due)
    logs[shard].append(waiting[shard])
    waiting[shard] = []


def _make_placed(number):
    return events.TaskPlaced(f'0-job.{number}', 1, 'vm-00')


def make_busy_state():
    """Return a shard's state at the letter's size."""
    made = state.ShardState()
    vms = [fixtures.make_vm(number) for number in range(35)]
    made.apply(events.OwnerChanged(1, 'vm-00', vms))
    for number in range(RUNNING // 10):
        _accept(made, f'running-{number}', 10)
        for task in range(10):
            vm = f'vm-{(number * 10 + task) % 35:02d}'
            name = f'0-running-{number}.{task}'
            made.apply(events.TaskPlaced(name, 1, vm))
            decision = events.Decision(10**12, 'placed', name, vm)
            made.apply(events.DecisionMade(decision))
    for number in range(WAITING // 10):
        _accept(made, f'waiting-{number}', 10)
    return made


def _accept(made, name, count):
    workload = fixtures.make_workload(
        name=name, count=count, argument=bytes(200)
    )
    event = events.WorkloadAccepted(f'0-{name}', workload.key, 1, workload)
    made.apply(event)


def measure_takeover():
    """Return what taking over a busy shard costs."""
    kv, _ = fixtures.make_store()
    log = shardlog.ShardLog(kv, 0)
    log.read()
    made = make_busy_state()
    log.append([events.OwnerChanged(1, 'vm-00')])
    log.write_snapshot(made.pack())
    for number in range(owner.SNAPSHOT_ENTRIES):
        task = f'0-waiting-{number // 10}.{number % 10}'
        log.append([events.TaskPlaced(task, 1, 'vm-01')])
    tracemalloc.start()
    began = time.process_time()
    contents = shardlog.ShardLog(kv, 0).read().ok_value
    restored = state.restore_state(contents)
    spent = time.process_time() - began
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tasks = sum(len(held) for held in restored.held.values())
    if tasks != RUNNING + owner.SNAPSHOT_ENTRIES:
        raise RuntimeError(f'{tasks} tasks came back')
    return [
        Row('take-over, processor time', spent, 's', 1.0),
        Row('take-over, peak memory', peak / 2**20, 'MB', 20.0),
        Row('snapshot of a busy shard', len(made.pack()) / 1000, 'KB', 900),
    ]


def measure_starts():
    """Return what a start and its end cost the owner, and its log."""
    made = cluster.Cluster(5)
    rounds, count = 40, 10
    first = made.nodes[0]
    made.submit(rounds * count)
    for _ in range(8):
        made.tick(0.5)
    before = time.process_time()
    size = 0
    ended = 0
    while ended < rounds * count:
        for node in made.nodes:
            for run in list(node.worker.runs):
                if run.running:
                    node.worker.finish(run.attempt.task)
                    ended += 1
            node.server.agent.step()
            node.server.agent._next_poll = 0.0
        made.deliver_all()
        began = time.process_time()
        first.step()
        size += time.process_time() - began
        made.deliver_all()
        made.time.advance(0.1)
    total = time.process_time() - before
    return [
        Row('owner, a start and its end', 1000 * size / ended, 'ms', 3.0),
        Row('the same with sides and store', 1000 * total / ended, 'ms'),
    ]


def make_waiting_state(jobs, running, vms):
    """Return a state with single-task jobs that wait, and some that run."""
    made = state.ShardState()
    members = [fixtures.make_vm(number) for number in range(vms)]
    made.apply(events.OwnerChanged(1, 'vm-00', members))
    for number in range(running + jobs):
        _accept(made, f'job-{number}', 1)
        if number < running:
            vm = f'vm-{number % vms:02d}'
            made.apply(events.TaskPlaced(f'0-job-{number}.0', 1, vm))
    return made


def make_views(vms, room_milli):
    """Return VMs with a service on each, and some room."""
    views = []
    for number in range(vms):
        view = vmview.VmView(fixtures.make_vm(number))
        view.capacity = data.Resources(room_milli, 10**6)
        view.services = [remedies.ServiceView('lens/fit', 0.5, 0.6, 0.2)]
        views.append(view)
    return views


def time_pass(made, vms, room_milli):
    """Return the processor seconds of one pass, and what it placed.

    The least of some tries, as other work on the machine only adds.
    """
    model = interference.Model()
    for _ in range(100):
        model.observe('lens/fit', 0.5, {'lens/surface-plan': 1}, 0.05)
    judge = remedies.Remedies(model).judge
    least = float('inf')
    for _ in range(TRIES):
        views = make_views(vms, room_milli)
        began = time.process_time()
        demands = planning.list_demands(made, lambda workload: set(), 0)
        done = planning.plan(made, demands, views, {}, 10**12, judge)
        least = min(least, time.process_time() - began)
    return least, len(done.placements)


def time_search(waiting):
    """Return the processor seconds of looking who could make room.

    All VMs are full, of work that none of the waiting may push out.
    """
    made = make_waiting_state(waiting, 100, 11)
    views = make_views(11, 16_000)
    for view in views:
        view.reserved = view.capacity
    demands = planning.list_demands(made, lambda workload: set(), 0)
    done = planning.plan(made, demands, views, {}, 10**12)
    search = pressure.Pressure(made, 0.0)
    ahead = preparing.Preparation(made)
    began = time.process_time()
    search.find_room(done.ordered, views, set(), 1.0)
    ahead.choose(done.ordered, views)
    return time.process_time() - began


def measure_decisions():
    """Return what decisions cost at the letter's size of a shard."""
    costs = {}
    for vms in (11, 35, 70):
        made = make_waiting_state(WAITING, 770, vms)
        spent, placed = time_pass(made, vms, 200_000 // vms)
        empty, _ = time_pass(made, vms, 0)
        if not placed:
            raise RuntimeError('nothing was placed')
        costs[vms] = (spent - empty) / placed
    growth = (costs[70] / costs[35]) / (70 / 35)
    full = make_waiting_state(10_000, 0, 11)
    whole, _ = time_pass(full, 11, 0)
    return [
        Row('a decision, 35 VMs', 1000 * costs[35], 'ms', 1.0),
        Row('its growth from 35 to 70 VMs', growth, 'of linear', 1.15),
        Row('a pass over 10,000 waiting', 1000 * whole, 'ms', 50.0),
        Row('and who could make room', 1000 * time_search(10_000), 'ms', 50),
    ]


def measure_heartbeats():
    """Return what answering a heartbeat costs, beside its transport."""
    made = cluster.Cluster(5)
    made.run(3)
    node = made.nodes[0]
    link = node.owner.list_links()[0]
    beat = messages.Heartbeat(
        10**6, 10**6, 1, data.Resources(1, 1), config_revision=3
    )
    count = 20_000
    began = time.process_time()
    for _ in range(count):
        link.handle(link.pipe.owner, beat)
        link.pipe.to_side.clear()
    spent = time.process_time() - began
    return [Row('owner, a heartbeat decided', 1e6 * spent / count, 'us')]


def main():
    """Measure all and print a table."""
    rows = (
        measure_appends()
        + measure_takeover()
        + measure_starts()
        + measure_heartbeats()
        + measure_decisions()
    )
    over = False
    for row in rows:
        bound = f'  (at most {row.most:g})' if row.most else ''
        bad = bool(row.most) and row.value > row.most
        over = over or bad
        mark = '  EXCEEDED' if bad else ''
        print(f'{row.name:36} {row.value:10.3f} {row.unit}{bound}{mark}')
    return 1 if over else 0


if __name__ == '__main__':
    sys.exit(main())
