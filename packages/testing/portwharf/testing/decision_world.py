# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The simulated VMs, services and jobs of ``make bench-decisions``.

Batch tasks slow the services on their VM by amounts that only the oracle
policy knows. The amounts grow with load, and some change half way. Jobs
arrive in waves over a steady flow, and one worker fails for a time.
"""

import collections
import dataclasses
import math
import random

from portwharf.core import data
from portwharf.scheduler.decisions import interference

DURATION_SECONDS = 2400
VMS = 11
KINDS = 6
IDLE_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class Task:
    """A simulated batch task.

    :param left: seconds of work that remain
    :param whole: seconds of work in all
    """

    name: str = ''
    kind: str = ''
    size: data.Resources = None
    left: float = 0.0
    whole: float = 0.0
    saved: float = 0.0
    importance: int = 0
    evictions: int = 0
    vm: str = ''
    began: int = 0
    throttled: bool = False
    checkpointable: bool = True
    cancelled: bool = False


class World:
    """True loads, interference and arrivals of one simulation."""

    def __init__(self, seed):
        rnd = random.Random(seed)
        self.random = rnd
        self.services = ['team/a', 'team/b']
        self.kinds = [f'team/kind-{number}' for number in range(KINDS)]
        self.pairs = {
            (service, kind): rnd.choice((0.0, 0.01, 0.03, 0.08, 0.2, 0.35))
            for service in self.services
            for kind in self.kinds
        }
        self.phases = {name: rnd.uniform(0, 6.3) for name in self.services}
        names = [f'vm-{number:02d}' for number in range(VMS)]
        self.replicas = {
            name: self.services[number % 2]
            for number, name in enumerate(names[:7])
        }
        self.bursts = sorted(rnd.sample(range(100, DURATION_SECONDS), 6))
        self.arrivals = self._make_arrivals(rnd)
        self.outages = {rnd.choice(names): (600, 900)}

    def _make_arrivals(self, rnd):
        """Return a map of arrival second to tasks."""
        arrivals = collections.defaultdict(list)
        waves = [(when, rnd.randint(120, 200)) for when in (60, 800, 1500)]
        waves += [
            (when, rnd.randint(6, 14))
            for when in range(0, DURATION_SECONDS, 20)
        ]
        for when, count in waves:
            kind = rnd.choice(self.kinds)
            for _ in range(count):
                whole = rnd.lognormvariate(math.log(90), 0.7)
                task = Task(
                    f'0-t{when}-{len(arrivals[when])}.0',
                    kind,
                    data.Resources(rnd.choice((1000, 2000, 3000)), 2000),
                    whole,
                    whole,
                    importance=rnd.choice((0, 50, 100)),
                    checkpointable=rnd.random() < 0.8,
                    cancelled=rnd.random() < 0.03,
                )
                arrivals[when].append(task)
        return arrivals

    def change_interference(self):
        """Change the interference of two pairs of service and kind."""
        for pair in self.random.sample(sorted(self.pairs), 2):
            self.pairs[pair] = self.random.choice((0.01, 0.2, 0.3))

    def get_load(self, service, now):
        """Return a service's load at a time, as a share of its capacity."""
        wave = 0.5 + 0.3 * math.sin(now / 300 + self.phases[service])
        burst = any(0 <= now - when < 60 for when in self.bursts)
        return min(0.98, wave + 0.25 * burst)

    def get_log_seconds(self, service, load, kinds):
        """Return the logarithm of a service's true mean seconds a request.

        :param kinds: map of kind to number of tasks on the same VM
        """
        log_seconds = math.log(IDLE_SECONDS) + 0.6 * load
        for kind, count in kinds.items():
            weight = self.pairs[(service, kind)]
            log_seconds += weight * count * (0.25 + load)
        return log_seconds


class OracleModel:
    """The oracle's model, which predicts from the true interference."""

    def __init__(self, world):
        self._world = world

    def predict(self, service, load, kinds):
        """Return the true time as an ``Estimate`` without variance."""
        log_seconds = self._world.get_log_seconds(service, load, kinds)
        return interference.Estimate(log_seconds, 0.0)

    def get_weight(self, service, kind, load):
        """Return the true interference of a pair at a load."""
        return self._world.pairs[(service, kind)] * (0.25 + load)

    def observe(self, *arguments):
        """Ignore a measurement; the true values are known."""
