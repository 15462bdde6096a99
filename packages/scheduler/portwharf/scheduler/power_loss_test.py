# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Power comes back everywhere, played: for how long nobody decides.

The load: all sides begin within some tenths of a second of each other, and
callers wait for an owner. Watchers and guards are the real ones, each looks
each tenth of a second; time, connections and who is up are played here.
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
# Within this all sides are up again.
SPREAD_SECONDS = 0.2
MOST_POLLS = 60
SEEDS = range(30)


class Conn:
    """A connection to a side that answers by what it has heard."""

    def __init__(self, told):
        self._told = [messages.Hello(role='side'), told]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def set_idle(self, seconds):
        """There is nobody to wait for."""

    def send(self, message):
        """Take a greeting or a question."""

    def receive(self):
        """Greet, then answer."""
        return self._told.pop(0)


class Side:
    """One side, from its start on."""

    def __init__(self, world, vm, begins):
        """Take the world, the side's VM and when it begins."""
        self.begins = begins
        self.name = vm.name
        self._world = world
        self.guard = None
        self.watcher = None

    def begin(self):
        """Begin the process: it knows nothing."""
        world = self._world
        self.guard = guard.Guard(world.clock, LIMITS)
        env = environment.Environment(
            name=self.name,
            clock=world.clock,
            limits=LIMITS,
            dial=world.dial,
            keeper=configuration.ConfigKeeper(),
            kv=world.kv,
            zones=zones.ZoneKeeper(world.clock),
        )
        self.watcher = takeover.Watcher(env, self.guard, world.kv)
        self.watcher._start_owner = world.claims.append

    def look(self):
        """Do what a watcher does at one of its looks."""
        if self.guard.forgetful:
            self.watcher._load_members()
        elif self.watcher._is_our_turn():
            self.watcher._take_over()
        elif self.watcher._is_first_after_restart():
            self.watcher._take_over_all_restarted()


class World:
    """All sides after power was lost everywhere; the former owner too."""

    def __init__(self, seed):
        rnd = random.Random(seed)
        vms = [fixtures.make_vm(number) for number in range(SIDES)]
        self.kv, _ = fixtures.make_store()
        takeover.found_shard(self.kv, 0, vms[seed % SIDES].name, vms)
        self.clock = clock.ManualClock()
        self.claims = []
        begin = self.clock.read_monotonic()
        self.sides = {
            vm.name: Side(self, vm, begin + rnd.uniform(0, SPREAD_SECONDS))
            for vm in vms
        }

    def dial(self, vm):
        """Connect to a side, if it is up."""
        side = self.sides[vm.name]
        if side.guard is None:
            raise streams.PeerError('nobody listens')
        heard = side.guard.has_heard
        told = messages.OwnerAnswer(
            side.guard.epoch,
            side.guard.hears_owner(1),
            side.guard.forgetful,
            not heard,
        )
        return Conn(told)

    def play(self):
        """Play until somebody takes over.

        :returns: seconds from power to that
        """
        for number in range(MOST_POLLS):
            self.clock.advance(POLL_SECONDS)
            now = self.clock.read_monotonic()
            for side in self.sides.values():
                if side.guard is None and now >= side.begins:
                    side.begin()
                elif side.guard is not None:
                    side.look()
            if self.claims:
                return (number + 1) * POLL_SECONDS
        return float('inf')


def test_callers_have_an_owner_as_soon_as_all_sides_are_up(case):
    # Before, the first in line waited for 0.65 s from its start on.
    for seed in SEEDS:
        world = World(seed)
        # Its start, its look at the log, and the look after all are up.
        most = SPREAD_SECONDS + 3 * POLL_SECONDS
        case.assertLessEqual(world.play(), most + POLL_SECONDS / 2, seed)
        case.assertEqual(len(world.claims), 1, seed)
        case.assertTrue(world.claims[0].is_ok(), seed)


def test_one_side_that_stays_down_costs_the_usual_silence(case):
    for seed in SEEDS:
        world = World(seed)
        down = world.sides[f'vm-{(seed + 1) % SIDES:02d}']
        down.begins = float('inf')
        took = world.play()
        least = LIMITS.takeover * takeover.RESTARTED_WAIT_SHARE
        case.assertGreaterEqual(took, least, seed)
        case.assertLess(took, float('inf'), seed)
        # Two may act at once; the log lets one of them.
        won = [one for one in world.claims if one.is_ok()]
        case.assertEqual(len(won), 1, seed)
