# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How long a shard has no owner after power is lost everywhere.

All sides start within some tenths of a second of each other, and callers wait
for an owner. The watchers and guards are real and poll every tenth of a
second; time, connections and the state of processes are simulated.
"""

import random

from portwharf.core import clock
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.scheduler import configuration
from portwharf.scheduler import environment
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.scheduler import takeover
from portwharf.scheduler import zones
from portwharf.testing import fixtures

LIMITS = limits.Limits(takeover=1.3, rank_step=0.3)
SIDES = 11
POLL_SECONDS = 0.1
# The time within which all sides have started.
SPREAD_SECONDS = 0.2
MAX_POLLS = 60
SEEDS = range(30)


class Conn:
    """A connection to a side that gives a fixed answer."""

    def __init__(self, answer):
        self._replies = [messages.Hello(role='side'), answer]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def set_idle(self, seconds):
        """Ignore the idle timeout, as answers come at once."""

    def send(self, message):
        """Ignore a greeting or a query."""

    def receive(self):
        """Return the greeting first, then the answer."""
        return self._replies.pop(0)


class Side:
    """One side, from its start."""

    def __init__(self, world, vm, start_time):
        """Take the world, the side's VM and its start time."""
        self.start_time = start_time
        self.name = vm.name
        self._world = world
        self.guard = None
        self.watcher = None

    def start(self):
        """Start the process, with nothing in memory."""
        world = self._world
        self.guard = guard.GrantGuard(world.clock, LIMITS)
        env = environment.Environment(
            name=self.name,
            clock=world.clock,
            limits=LIMITS,
            dial=world.dial,
            keeper=configuration.ConfigKeeper(),
            kv=world.kv,
            zones=zones.ZoneKeeper(world.clock),
        )
        self.watcher = takeover.OwnerWatcher(env, self.guard, world.kv)
        self.watcher._start_owner = world.claims.append

    def poll(self):
        """Do one poll of the watcher."""
        if self.guard.epoch_unknown:
            self.watcher._load_members()
        elif self.watcher._is_our_turn():
            self.watcher._take_over()
        elif self.watcher._is_first_after_restart():
            self.watcher._take_over_all_restarted()


class World:
    """All sides after a power loss everywhere, with that of the last owner."""

    def __init__(self, seed):
        rnd = random.Random(seed)
        vms = [fixtures.make_vm(number) for number in range(SIDES)]
        self.kv, _ = fixtures.make_store()
        takeover.create_shard(self.kv, 0, vms[seed % SIDES].name, vms)
        self.clock = clock.ManualClock()
        self.claims = []
        start = self.clock.read_monotonic()
        self.sides = {
            vm.name: Side(self, vm, start + rnd.uniform(0, SPREAD_SECONDS))
            for vm in vms
        }

    def dial(self, vm):
        """Connect to a side, if it has started."""
        side = self.sides[vm.name]
        if side.guard is None:
            raise streams.PeerError('connection refused')
        heard = side.guard.has_seen_owner
        answer = messages.OwnerAnswer(
            side.guard.epoch,
            side.guard.is_owner_alive(1),
            side.guard.epoch_unknown,
            not heard,
        )
        return Conn(answer)

    def run_until_takeover(self):
        """Run until a side takes over.

        :returns: seconds since power came back; infinite if none does
        """
        for number in range(MAX_POLLS):
            self.clock.advance(POLL_SECONDS)
            now = self.clock.read_monotonic()
            for side in self.sides.values():
                if side.guard is None and now >= side.start_time:
                    side.start()
                elif side.guard is not None:
                    side.poll()
            if self.claims:
                return (number + 1) * POLL_SECONDS
        return float('inf')


def test_takeover_is_immediate_once_all_sides_are_up(case):
    # The first in line must not wait for its full silence first.
    for seed in SEEDS:
        world = World(seed)
        # One poll each to start, to read the log, and to query all sides.
        max_seconds = SPREAD_SECONDS + 3 * POLL_SECONDS
        case.assertLessEqual(
            world.run_until_takeover(), max_seconds + POLL_SECONDS / 2, seed
        )
        case.assertEqual(len(world.claims), 1, seed)
        case.assertTrue(world.claims[0].is_ok(), seed)


def test_side_that_stays_down_delays_the_takeover(case):
    for seed in SEEDS:
        world = World(seed)
        down = world.sides[f'vm-{(seed + 1) % SIDES:02d}']
        down.start_time = float('inf')
        elapsed = world.run_until_takeover()
        min_seconds = LIMITS.takeover * takeover.RESTARTED_WAIT_SHARE
        case.assertGreaterEqual(elapsed, min_seconds, seed)
        case.assertLess(elapsed, float('inf'), seed)
        # Two sides may act at once; the log accepts one of them.
        succeeded = [claim for claim in world.claims if claim.is_ok()]
        case.assertEqual(len(succeeded), 1, seed)
