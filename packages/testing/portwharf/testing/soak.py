# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Soak test with fault injection on real processes (``make soak``).

The seed determines a schedule of faults, which overlap. Processes are killed,
paused, stopped and started; entries are also stopped in series while clients
go on calling. Relays cut connections, delay data, or hold it back in one
direction or both; open connections go silent for good. Most machines of sides
and runners, or all, are lost for good, and as many are added at new addresses.
The store is down or
slow, or loses answers, leases, keys or its history. Runners crash by
themselves or because of a task, fall silent, change their capacity, carry out
orders late, also after their leases have expired, or ignore them, and send
heartbeats of incarnations that are over.
Jobs come in bursts of more work than the runners can do in that time. At the
end all faults are healed, all jobs have to reach their final state, and the
records of clients and runners are checked.
"""

import argparse
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import tomllib

from portwharf.testing import soak_bursts
from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_refusals
from portwharf.testing import soak_runner
from portwharf.testing import soak_targets
from portwharf.testing import soak_world

DURATION_SECONDS = 20.0
CLIENTS = 4
_MAX_FAULT_INTERVAL_SECONDS = 1.6
_SILENCE_SHARE = 0.15
_SHRINK_SHARE = 0.25
_ZONE_CLOSURE_SHARE = 0.2
_BURST_SHARE = 0.2
_IGNORED_ORDERS_SHARE = 0.1
_HANG_SHARE = 0.2
# Longer than the leases of 6 s, and the delay of the start that was under way;
# together no more than the 12 s by which an order may be late.
_HANG_SECONDS = (6.2, 9.0)
_HANG_START_DELAY_SECONDS = (0.1, 3.0)
_ROLLING_STOP_SHARE = 0.15
_MAX_STOP_INTERVAL_SECONDS = 0.8
_MAX_BURSTS = 2
_LOSS_SHARE = 0.1
_ADDED_AFTER_SECONDS = (0.0, 4.0)
_SETTLE_SECONDS = 90.0
_SEEDS_PATH = pathlib.Path(__file__).parent / 'soak_seeds.toml'


@dataclasses.dataclass(slots=True)
class Recovery:
    """The action that ends a fault, and its time."""

    at: float = 0.0
    action: object = None


class Soak:
    """The run of one seed: its faults, its clients and the checks."""

    def __init__(self, world, seed, crashers=True):
        """Take a started ``soak_world.World`` and a seed.

        :param crashers: some tasks crash runners, runners shrink, hang or
            ignore orders, zones close, jobs come in bursts and entries stop in
            series as well; False for kept seeds, which are older
        """
        self._world = world
        self._seed = seed
        self._random = random.Random(seed)
        # Separate generators, so that known seeds keep their schedules.
        self._silence_random = random.Random(-1 - seed)
        self._capacity_random = random.Random(-2 - seed) if crashers else None
        self._zone_random = random.Random(-3 - seed) if crashers else None
        self._burst_random = random.Random(-4 - seed) if crashers else None
        self._order_random = random.Random(-6 - seed) if crashers else None
        self._stop_random = random.Random(-7 - seed) if crashers else None
        self._hang_random = random.Random(-8 - seed) if crashers else None
        self._loss_random = random.Random(-9 - seed) if crashers else None
        self._stop_threads = []
        self._bursts = 0
        # Ids of long-running jobs that were cancelled to let bursts end.
        self._cancelled_early = set()
        self._closures = []
        # Periods without faults, as (began, ended).
        self._calm = []
        self._recoveries = []
        self._busy = set()
        self._lock = threading.Lock()
        self.faults = 0
        self.problems = []
        self.clients = [
            soak_clients.Client(world, seed * 100 + number, crashers)
            for number in range(CLIENTS)
        ]

    def run(self, seconds):
        """Inject faults for some seconds, heal all, and run the checks."""
        if not self.clients[0].wait_until_served():
            self.problems.append(
                'the entries did not serve requests in time after the start'
            )
            return
        first_client = self.clients[0]
        first_job_id = self._seed * soak_targets.JOB_IDS_PER_SEED
        servers_accepted = soak_targets.make_job(
            first_client, first_job_id, len(self._world.sides), False
        ).accepted
        for client in self.clients:
            client.start()
        # Not from the start of the processes, which takes long on a loaded
        # machine.
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            time.sleep(
                self._random.uniform(0.2, 1.0) * _MAX_FAULT_INTERVAL_SECONDS
            )
            self._run_due_recoveries(time.monotonic())
            self._inject_fault()
            self._silence_connections()
            self._shrink_runner()
            self._close_zone()
            self._ignore_orders()
            self._hang_runner()
            self._start_burst()
            self._stop_entries()
            self._replace_sides()
        for client in self.clients:
            client.stop()
        for thread in self._stop_threads:
            thread.join()
        self._run_due_recoveries(float('inf'))
        for client in self.clients:
            client.join()
        self._wait_for_bursts()
        if servers_accepted:
            self.problems += soak_targets.check_targets(
                self._world, first_client, first_job_id + self._seed % 4 + 1
            )
        settled_at = self._wait_for_jobs()
        if settled_at is not None:
            self._run_calm_jobs(settled_at)
        self._run_checks()

    # Faults.

    def _inject_fault(self):
        fault = self._random.choice(_FAULTS)
        name = fault.__name__.strip('_')
        if not fault(self):
            return
        self.faults += 1
        print(f'  {time.monotonic():.1f} {name}', flush=True)

    def _kill(self):
        program = self._pick_undisturbed(self._world.programs.values())
        if program is None:
            return False
        self._world.kill(program)
        return self._recover_later(
            program, 0.2, 4.0, lambda: self._world.start(program)
        )

    def _kill_all_sides(self):
        if self._busy or self._random.random() > 0.4:
            return False
        for program in self._world.sides:
            self._busy.add(program.name)
            self._world.kill(program)
        for program in self._world.sides:
            self._recover_later(
                program,
                0.5,
                2.0,
                lambda killed=program: self._world.start(killed),
            )
        return True

    def _stop(self):
        program = self._pick_undisturbed(self._world.programs.values())
        if program is None:
            return False
        if not self._world.stop(program):
            self.problems.append(
                f'{program.name} did not stop within its grace period'
            )
        return self._recover_later(
            program, 0.1, 0.5, lambda: self._world.start(program)
        )

    def _stop_entries(self):
        """At random, restart all undisturbed entries one after the other."""
        if (
            self._stop_random is None
            or self._stop_random.random() > _ROLLING_STOP_SHARE
        ):
            return
        delay = 0.0
        for program in self._world.entries:
            if program.name in self._busy:
                continue
            self._busy.add(program.name)
            thread = threading.Timer(delay, self._restart, [program])
            thread.start()
            self._stop_threads.append(thread)
            delay += self._stop_random.uniform(0, _MAX_STOP_INTERVAL_SECONDS)
        self.faults += 1
        print(f'  {time.monotonic():.1f} stop entries', flush=True)

    def _replace_sides(self):
        """Once, at random, replace more than half of the machines."""
        if (
            self._loss_random is None
            or self._loss_random.random() > _LOSS_SHARE
            or self._world.lost_sides
        ):
            return
        sides = self._world.sides
        count = self._loss_random.randint(len(sides) // 2 + 1, len(sides))
        added = 0
        if count == len(sides):
            self._world.add_side()
            added = 1
        for program in self._loss_random.sample(sides, count):
            self._world.lose_side(program)
        self.faults += 1
        print(
            f'  {time.monotonic():.1f} replace {count} of {len(sides)} sides',
            flush=True,
        )
        at = time.monotonic() + self._loss_random.uniform(
            *_ADDED_AFTER_SECONDS
        )
        self._recoveries += [
            Recovery(at, self._world.add_side) for _ in range(count - added)
        ]

    def _restart(self, program):
        """Stop a program and start it again."""
        if not self._world.stop(program):
            self.problems.append(
                f'{program.name} did not stop within its grace period'
            )
        self._world.start(program)
        self._busy.discard(program.name)

    def _pause(self):
        program = self._pick_undisturbed(self._world.programs.values())
        if program is None:
            return False
        self._world.pause(program, True)
        return self._recover_later(
            program, 0.5, 8.0, lambda: self._world.pause(program, False)
        )

    def _disturb_peers(self):
        return self._disturb_relay(lambda side: side.peers, self._world.sides)

    def _disturb_store_relay(self):
        return self._disturb_relay(
            lambda program: program.store, list(self._world.programs.values())
        )

    def _disturb_relay(self, find_relay, programs):
        """Disturb a relay: reset, delay, or hold data back.

        :param find_relay: function from a program to its relay
        :returns: whether a relay was free to be disturbed
        """
        program = self._random.choice(programs)
        relay = find_relay(program)
        if id(relay) in self._busy:
            return False
        self._busy.add(id(relay))
        mode = self._random.choice(
            ('reset', 'delay', 'onward', 'back', 'both')
        )
        if mode == 'reset':
            relay.refusing = True
            relay.cut()
        elif mode == 'delay':
            relay.delay = self._random.uniform(0.05, 0.4)
        else:
            relay.silence_ways(mode != 'back', mode != 'onward')

        def heal():
            relay.refusing = False
            relay.delay = 0.0
            relay.silence(False)
            self._busy.discard(id(relay))

        self._schedule_recovery(0.5, 7.0, heal)
        return True

    def _silence_connections(self):
        """At random, silence the open connections of one program or all."""
        if self._silence_random.random() > _SILENCE_SHARE:
            return
        programs = list(self._world.programs.values())
        if self._silence_random.random() < 0.5:
            programs = [self._silence_random.choice(programs)]
        self.faults += 1
        print(f'  {time.monotonic():.1f} hush {len(programs)}', flush=True)
        for program in programs:
            program.freeze_connections()

    def _shrink_runner(self):
        """At random, shrink a runner's capacity for a while."""
        if (
            self._capacity_random is None
            or self._capacity_random.random() > _SHRINK_SHARE
        ):
            return
        runner = self._capacity_random.choice(self._world.sides).runner
        full_cpu_milli = soak_runner.CPU_MILLI
        runner.cpu_milli = int(
            full_cpu_milli * self._capacity_random.uniform(0.1, 0.7)
        )
        self.faults += 1
        print(f'  {time.monotonic():.1f} shrink', flush=True)
        self._schedule_recovery(
            1.0, 8.0, lambda: setattr(runner, 'cpu_milli', full_cpu_milli)
        )

    def _close_zone(self):
        """At random, close an availability zone to new starts for a while."""
        if (
            self._zone_random is None
            or self._zone_random.random() > _ZONE_CLOSURE_SHARE
        ):
            return
        zone = f'zone-{self._zone_random.randrange(soak_world.ZONE_COUNT)}'
        if any(other.zone == zone for other in self._closures):
            return
        closure = soak_checks.Closure(zone, time.monotonic())
        self._world.close_zone(zone, True)
        self._closures.append(closure)
        self.faults += 1
        print(f'  {time.monotonic():.1f} close {zone}', flush=True)

        def reopen():
            closure.ended = time.monotonic()
            self._world.close_zone(zone, False)

        self._schedule_recovery(3.0, 12.0, reopen)

    def _ignore_orders(self):
        """At random, have a runner ignore starts and stops for a while."""
        if (
            self._order_random is None
            or self._order_random.random() > _IGNORED_ORDERS_SHARE
        ):
            return
        runner = self._order_random.choice(self._world.sides).runner
        runner.ignore_orders(self._order_random.uniform(6.0, 11.0))
        self.faults += 1
        print(f'  {time.monotonic():.1f} ignore orders', flush=True)

    def _hang_runner(self):
        """At random, have a runner hang from the next start that it gets.

        That start is under way meanwhile, and carried out afterwards.
        """
        if (
            self._hang_random is None
            or self._hang_random.random() > _HANG_SHARE
        ):
            return
        runner = self._hang_random.choice(self._world.sides).runner
        runner.hang_at_next_start(
            self._hang_random.uniform(*_HANG_SECONDS),
            self._hang_random.uniform(*_HANG_START_DELAY_SECONDS),
        )
        self.faults += 1
        print(f'  {time.monotonic():.1f} hang', flush=True)
        at = time.monotonic() + self._hang_random.uniform(3.0, 9.0)
        self._recoveries.append(Recovery(at, runner.cancel_next_hang))

    def _start_burst(self):
        """At random, submit more work than the runners can do for a while."""
        if (
            self._burst_random is None
            or self._burst_random.random() > _BURST_SHARE
            or self._bursts == _MAX_BURSTS
        ):
            return
        self._bursts += 1
        self.faults += 1
        print(f'  {time.monotonic():.1f} burst', flush=True)
        self.clients += soak_bursts.start_burst(
            self._world, self._burst_random
        )

    def _disturb_store(self):
        faults = self._world.store.faults
        if faults.down or faults.lost or faults.slow_seconds:
            return False
        kind = self._random.choice(('down', 'lost', 'slow', 'lapse', 'forget'))
        if kind == 'down':
            faults.down = True
        elif kind == 'lost':
            faults.lost = True
        elif kind == 'slow':
            faults.slow_seconds = self._random.uniform(0.05, 0.3)
        elif kind == 'lapse':
            self._world.store.end_leases()
        else:
            self._world.store.forget_history()

        def heal():
            faults.down = faults.lost = False
            faults.slow_seconds = 0.0

        self._schedule_recovery(0.5, 6.0, heal)
        return True

    def _revoke_registration(self):
        program = self._random.choice(list(self._world.programs.values()))
        self._world.store.revoke(f'vms/{program.name}')
        return True

    def _crash_runner(self):
        self._random.choice(self._world.sides).runner.crash()
        return True

    def _silence_runner(self):
        runner = self._random.choice(self._world.sides).runner
        if runner.silent:
            return False
        runner.silent = True
        self._schedule_recovery(
            0.5, 9.0, lambda: setattr(runner, 'silent', False)
        )
        return True

    def _delay_orders(self):
        self._random.choice(self._world.sides).runner.late_starts = 3
        return True

    def _pick_undisturbed(self, programs):
        """Return a random process without a fault, or None; mark it busy."""
        free = [
            candidate
            for candidate in programs
            if candidate.name not in self._busy
        ]
        if not free:
            return None
        program = self._random.choice(free)
        self._busy.add(program.name)
        return program

    def _recover_later(self, program, min_seconds, max_seconds, action):
        def heal():
            action()
            self._busy.discard(program.name)

        self._schedule_recovery(min_seconds, max_seconds, heal)
        return True

    def _schedule_recovery(self, min_seconds, max_seconds, action):
        at = time.monotonic() + self._random.uniform(min_seconds, max_seconds)
        self._recoveries.append(Recovery(at, action))

    def _run_due_recoveries(self, now):
        due = [recovery for recovery in self._recoveries if recovery.at <= now]
        self._recoveries = [
            recovery for recovery in self._recoveries if recovery.at > now
        ]
        for recovery in due:
            recovery.action()

    # Recovery and checks.

    def _wait_for_bursts(self):
        """Make room for the checks of targets after bursts."""
        if not self._bursts:
            return
        for client in self.clients[:CLIENTS]:
            for job in client.jobs:
                serves = any('target_ms' in row for row in job.steps)
                if job.accepted and _is_long_running(job) and not serves:
                    self._cancelled_early.add(job.id)
                    client.cancel(job)
        soak_bursts.wait_for_end(self.clients[CLIENTS:])

    def _wait_for_jobs(self):
        """Wait until every accepted job has reached its final state.

        :returns: when all had, or None
        """
        for client in self.clients:
            self._cancel_long_running(client)
        unfinished = [
            (client, job)
            for client in self.clients
            for job in client.jobs
            if job.accepted and not job.cancel_sent
        ]

        def is_settled():
            unfinished[:] = [row for row in unfinished if not _has_ended(*row)]
            return not unfinished

        settled = soak_world.wait_until(is_settled, _SETTLE_SECONDS)
        settled_at = time.monotonic()
        time.sleep(soak_checks.CANCEL_DELAY_SECONDS)
        return settled_at if settled else None

    def _run_calm_jobs(self, settled_at):
        """Run jobs on idle runners, which must not be refused."""
        self.clients.append(
            soak_bursts.submit_calm_jobs(self._world, -5 - self._seed)
        )
        self._calm.append((settled_at, time.monotonic()))

    def _cancel_long_running(self, client):
        """Cancel long-running jobs, to make room for all others."""
        for job in client.jobs:
            unconfirmed = job.cancel_sent and job.cancelled is None
            long_running = (
                _is_long_running(job) and job.id not in self._cancelled_early
            )
            if unconfirmed or (long_running and job.accepted):
                client.query_state(job)
                client.cancel(job)

    def _run_checks(self):
        jobs = [job for client in self.clients for job in client.jobs]
        for client in self.clients:
            self.problems += client.problems
        sides = self._world.sides + self._world.lost_sides
        spans = [span for side in sides for span in side.runner.record]
        self.problems += soak_checks.check_all(jobs, spans)
        spans_by_zone = [
            (side.zone, span) for side in sides for span in side.runner.record
        ]
        self.problems += soak_checks.check_zones(self._closures, spans_by_zone)
        by_id = {job.id: job for job in jobs}
        self.problems += soak_refusals.check_shortage(
            by_id, spans, self._calm, len(self._world.sides)
        )
        accepted = sum(1 for job in jobs if job.accepted)
        refused = sum(
            soak_clients.NO_ROOM_STATUS in job.statuses for job in jobs
        )
        print(
            f'  {self.faults} faults, {len(jobs)} jobs, {accepted} accepted, '
            f'{refused} refused for lack of room, '
            f'{len(spans)} runs, {len(soak_checks.list_checks())} checks',
            flush=True,
        )


_FAULTS = (
    Soak._kill,
    Soak._kill,
    Soak._kill_all_sides,
    Soak._stop,
    Soak._pause,
    Soak._pause,
    Soak._disturb_peers,
    Soak._disturb_peers,
    Soak._disturb_store_relay,
    Soak._disturb_store,
    Soak._disturb_store,
    Soak._revoke_registration,
    Soak._crash_runner,
    Soak._silence_runner,
    Soak._delay_orders,
)


def _is_long_running(job):
    return any(row['longRunning'] for row in job.steps)


def _has_ended(client, job):
    """Return whether a job is in a final state, by a query."""
    return client.query_state(job)[1] in ('completed', 'failed')


def run_seed(seed, seconds, world, crashers=True):
    """Run one seed; returns the list of violations.

    :param world: the ``soak_world.World`` to start and use
    """
    print(f'seed {seed}', flush=True)
    with world:
        soak = Soak(world, seed, crashers)
        soak.run(seconds)
    for problem in soak.problems:
        print(f'  BROKEN {problem}', flush=True)
    return soak.problems


def list_kept_seeds():
    """Return the seeds that once failed, from ``soak_seeds.toml``."""
    with open(_SEEDS_PATH, 'rb') as source:
        return [row['seed'] for row in tomllib.load(source).get('kept', [])]


def make_folder(keep, seed):
    """Return a new folder for a seed's logs.

    :param keep: parent folder, or '' for a temporary folder
    """
    if not keep:
        return tempfile.mkdtemp(prefix=f'portwharf-{seed}-')
    folder = pathlib.Path(keep) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return str(folder)


def main():
    """Run the seeds; the exit code is 0 only without violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, help='first seed')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=DURATION_SECONDS)
    parser.add_argument('--network', type=int, default=77)
    parser.add_argument('--sides', type=int, default=soak_world.SIDE_COUNT)
    parser.add_argument('--entries', type=int, default=soak_world.ENTRY_COUNT)
    parser.add_argument('--keep', default='', help='folder to keep logs in')
    arguments = parser.parse_args()
    # Ends the started processes when this one is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds = list_kept_seeds()
    crashers = arguments.seed is not None
    if arguments.seed is not None:
        first = arguments.seed
        seeds = list(range(first, first + arguments.count))
    failed = []
    for seed in seeds:
        folder = make_folder(arguments.keep, seed)
        world = soak_world.World(
            folder, arguments.network, arguments.sides, arguments.entries
        )
        problems = run_seed(seed, arguments.seconds, world, crashers)
        if problems:
            failed.append(seed)
            print(f'  logs of seed {seed} are in {folder}', flush=True)
        elif not arguments.keep:
            shutil.rmtree(folder)
    print(f'{len(seeds) - len(failed)} seeds passed, failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
