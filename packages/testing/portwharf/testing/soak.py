# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make soak``: real programs under faults from outside, by seeds.

Processes are killed, paused, stopped and started; relays cut, delay, hold
back one way or both; open connections go silent for good; the store is
down, slow, loses answers, leases, keys and its history; runners crash, by
themselves and under tasks that crash them, fall silent, shrink and grow,
carry orders out late, and are heard of after their end. Faults come in series
and overlap. At the end all is healed, the work has to come to its end, and
what clients and runners saw is checked.
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

from portwharf.testing import soak_checks
from portwharf.testing import soak_clients
from portwharf.testing import soak_runner
from portwharf.testing import soak_targets
from portwharf.testing import soak_world

SECONDS = 20.0
CLIENTS = 4
_BETWEEN_SECONDS = 1.6
_HUSH_SHARE = 0.15
_RESIZE_SHARE = 0.25
_ZONE_SHARE = 0.2
_SETTLE_SECONDS = 90.0
_SEEDS = pathlib.Path(__file__).parent / 'soak_seeds.toml'


@dataclasses.dataclass(slots=True)
class Heal:
    """What undoes a fault, and when."""

    at: float = 0.0
    action: object = None


class Soak:
    """One seed: a schedule, the work under it, and what came of it."""

    def __init__(self, world, seed, crashers=True):
        """Take a started ``soak_world.World`` and a seed.

        :param crashers: tasks crash runners, and rooms shrink, as well;
            not in seeds that failed before there were any
        """
        self._world = world
        self._seed = seed
        self._random = random.Random(seed)
        # Drawn apart, so that known seeds keep their schedules.
        self._hushes = random.Random(-1 - seed)
        self._rooms = random.Random(-2 - seed) if crashers else None
        self._zones = random.Random(-3 - seed) if crashers else None
        self._closures = []
        self._heals = []
        self._busy = set()
        self._lock = threading.Lock()
        self.faults = 0
        self.problems = []
        self.clients = [
            soak_clients.Client(world, seed * 100 + number, crashers)
            for number in range(CLIENTS)
        ]

    def run(self, seconds):
        """Run the schedule, heal all, and check."""
        began = time.monotonic()
        if not self.clients[0].wait_until_served():
            self.problems.append('not served within the time to get ready')
            return
        first = self.clients[0]
        number = self._seed * soak_targets.NUMBERS_A_SEED
        served = soak_targets.make_job(first, number, False).accepted
        for client in self.clients:
            client.start()
        while time.monotonic() - began < seconds:
            time.sleep(self._random.uniform(0.2, 1.0) * _BETWEEN_SECONDS)
            self._heal_due(time.monotonic())
            self._do_fault()
            self._hush()
            self._resize()
            self._close_zone()
        for client in self.clients:
            client.stop()
        self._heal_due(float('inf'))
        for client in self.clients:
            client.join()
        if served:
            self.problems += soak_targets.check_targets(
                self._world, first, number + self._seed % 4 + 1
            )
        self._settle()
        self._check()

    # Faults.

    def _do_fault(self):
        fault = self._random.choice(_FAULTS)
        name = fault.__name__.strip('_')
        if not fault(self):
            return
        self.faults += 1
        print(f'  {time.monotonic():.1f} {name}', flush=True)

    def _kill(self):
        program = self._pick(self._world.programs.values())
        if program is None:
            return False
        self._world.kill(program)
        return self._heal(
            program, 0.2, 4.0, lambda: self._world.start(program)
        )

    def _kill_all_sides(self):
        if self._busy or self._random.random() > 0.4:
            return False
        for program in self._world.sides:
            self._busy.add(program.name)
            self._world.kill(program)
        for program in self._world.sides:
            self._heal(
                program, 0.5, 2.0, lambda one=program: self._world.start(one)
            )
        return True

    def _stop(self):
        program = self._pick(self._world.programs.values())
        if program is None:
            return False
        if not self._world.stop(program):
            self.problems.append(f'{program.name} did not stop in its time')
        return self._heal(
            program, 0.1, 0.5, lambda: self._world.start(program)
        )

    def _pause(self):
        program = self._pick(self._world.programs.values())
        if program is None:
            return False
        self._world.pause(program, True)
        return self._heal(
            program, 0.5, 8.0, lambda: self._world.pause(program, False)
        )

    def _cut_peers(self):
        return self._harm(lambda one: one.peers, self._world.sides)

    def _cut_store(self):
        return self._harm(
            lambda one: one.store, list(self._world.programs.values())
        )

    def _harm(self, find_relay, programs):
        """Harm one relay: reset, delay, hold back one way or both."""
        program = self._random.choice(programs)
        made = find_relay(program)
        if id(made) in self._busy:
            return False
        self._busy.add(id(made))
        way = self._random.choice(('reset', 'delay', 'onward', 'back', 'both'))
        if way == 'reset':
            made.refusing = True
            made.cut()
        elif way == 'delay':
            made.delay = self._random.uniform(0.05, 0.4)
        else:
            made.silence_ways(way != 'back', way != 'onward')

        def mend():
            made.refusing = False
            made.delay = 0.0
            made.silence(False)
            self._busy.discard(id(made))

        self._heal_later(0.5, 7.0, mend)
        return True

    def _hush(self):
        """Now and then have open connections go silent, of one or all."""
        if self._hushes.random() > _HUSH_SHARE:
            return
        programs = list(self._world.programs.values())
        if self._hushes.random() < 0.5:
            programs = [self._hushes.choice(programs)]
        self.faults += 1
        print(f'  {time.monotonic():.1f} hush {len(programs)}', flush=True)
        for program in programs:
            program.hush()

    def _resize(self):
        """Now and then have a runner's room shrink for a while."""
        if self._rooms is None or self._rooms.random() > _RESIZE_SHARE:
            return
        runner = self._rooms.choice(self._world.sides).runner
        whole = soak_runner.CPU_MILLI
        runner.cpu_milli = int(whole * self._rooms.uniform(0.1, 0.7))
        self.faults += 1
        print(f'  {time.monotonic():.1f} shrink', flush=True)
        self._heal_later(1.0, 8.0, lambda: setattr(runner, 'cpu_milli', whole))

    def _close_zone(self):
        """Now and then close an availability zone to new starts."""
        if self._zones is None or self._zones.random() > _ZONE_SHARE:
            return
        zone = f'zone-{self._zones.randrange(soak_world.ZONES)}'
        if any(one.zone == zone for one in self._closures):
            return
        closure = soak_checks.Closure(zone, time.monotonic())
        self._world.close_zone(zone, True)
        self._closures.append(closure)
        self.faults += 1
        print(f'  {time.monotonic():.1f} close {zone}', flush=True)

        def take_back():
            closure.ended = time.monotonic()
            self._world.close_zone(zone, False)

        self._heal_later(3.0, 12.0, take_back)

    def _harm_store(self):
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

        def mend():
            faults.down = faults.lost = False
            faults.slow_seconds = 0.0

        self._heal_later(0.5, 6.0, mend)
        return True

    def _revoke(self):
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
        self._heal_later(0.5, 9.0, lambda: setattr(runner, 'silent', False))
        return True

    def _delay_orders(self):
        self._random.choice(self._world.sides).runner.late_starts = 3
        return True

    def _pick(self, programs):
        """Return a process that nothing is wrong with, or None."""
        free = [one for one in programs if one.name not in self._busy]
        if not free:
            return None
        program = self._random.choice(free)
        self._busy.add(program.name)
        return program

    def _heal(self, program, least, most, action):
        def mend():
            action()
            self._busy.discard(program.name)

        self._heal_later(least, most, mend)
        return True

    def _heal_later(self, least, most, action):
        at = time.monotonic() + self._random.uniform(least, most)
        self._heals.append(Heal(at, action))

    def _heal_due(self, now):
        due = [heal for heal in self._heals if heal.at <= now]
        self._heals = [heal for heal in self._heals if heal.at > now]
        for heal in due:
            heal.action()

    # The end.

    def _settle(self):
        """Wait until every accepted job is at its end."""
        for client in self.clients:
            self._cancel_rest(client)
        rest = [
            (client, told)
            for client in self.clients
            for told in client.told
            if told.accepted and not told.cancel_sent
        ]

        def is_settled():
            rest[:] = [row for row in rest if not _has_ended(*row)]
            return not rest

        soak_world.wait_until(is_settled, _SETTLE_SECONDS)
        time.sleep(soak_checks.CANCEL_SECONDS)

    def _cancel_rest(self, client):
        """Cancel what lasts, so that there is room for all other work."""
        for told in client.told:
            lasts = any(row['longRunning'] for row in told.steps)
            open_still = told.cancel_sent and told.cancelled is None
            if open_still or (lasts and told.accepted):
                client.show(told)
                client.cancel(told)

    def _check(self):
        told = [one for client in self.clients for one in client.told]
        for client in self.clients:
            self.problems += client.problems
        spans = [
            span for side in self._world.sides for span in side.runner.record
        ]
        self.problems += soak_checks.check_all(told, spans)
        zones = [
            (side.zone, span)
            for side in self._world.sides
            for span in side.runner.record
        ]
        self.problems += soak_checks.check_zones(self._closures, zones)
        accepted = sum(1 for one in told if one.accepted)
        print(
            f'  {self.faults} faults, {len(told)} jobs, {accepted} accepted, '
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
    Soak._cut_peers,
    Soak._cut_peers,
    Soak._cut_store,
    Soak._harm_store,
    Soak._harm_store,
    Soak._revoke,
    Soak._crash_runner,
    Soak._silence_runner,
    Soak._delay_orders,
)


def _has_ended(client, told):
    """Ask whether a job is where it has to come to."""
    return client.show(told)[1] in ('completed', 'failed')


def run_seed(seed, seconds, folder, network, crashers=True):
    """Run one seed; returns the list of what was broken."""
    print(f'seed {seed}', flush=True)
    with soak_world.World(folder, network) as world:
        made = Soak(world, seed, crashers)
        made.run(seconds)
    for problem in made.problems:
        print(f'  BROKEN {problem}', flush=True)
    return made.problems


def list_kept_seeds():
    """Return the seeds that have failed once, from ``soak_seeds.toml``."""
    with open(_SEEDS, 'rb') as source:
        return [row['seed'] for row in tomllib.load(source).get('kept', [])]


def make_folder(keep, seed):
    """Return a folder for a seed's logs; those of one that fails stay.

    :param keep: where those of all seeds stay, or ''
    """
    if not keep:
        return tempfile.mkdtemp(prefix=f'portwharf-{seed}-')
    folder = pathlib.Path(keep) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    return str(folder)


def main():
    """Run seeds; exit code 0 only if nothing was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, help='the first one')
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--network', type=int, default=77)
    parser.add_argument('--keep', default='', help='folder for logs')
    arguments = parser.parse_args()
    # Leave no programs behind when stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds = list_kept_seeds()
    crashers = arguments.seed is not None
    if arguments.seed is not None:
        first = arguments.seed
        seeds = list(range(first, first + arguments.count))
    failed = []
    for seed in seeds:
        folder = make_folder(arguments.keep, seed)
        problems = run_seed(
            seed, arguments.seconds, folder, arguments.network, crashers
        )
        if problems:
            failed.append(seed)
            print(f'  logs of seed {seed} are in {folder}', flush=True)
        elif not arguments.keep:
            shutil.rmtree(folder)
    print(f'{len(seeds) - len(failed)} seeds passed, failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
