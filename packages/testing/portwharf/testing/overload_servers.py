# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The server tasks on the VMs of ``overload_day``.

A server tolerates a limited press, the slowdown by filling tasks beside it,
which varies with its own load.
"""

import math

# Press that a server tolerates, which swings by this share in this period.
TOLERATED_PRESS = 0.9
SWING_SHARE = 0.5
SWING_SECONDS = 10.0


class EvenServers:
    """Servers of equal tolerance, one on each VM."""

    def __init__(self, rnd, vms):
        """Take a ``random.Random`` and the names of the VMs."""
        self._phases = {vm: rnd.uniform(0, SWING_SECONDS) for vm in vms}

    def has_server(self, vm):
        """Return whether a server runs on a VM."""
        return vm in self._phases

    def get_tolerated_press(self, vm, now):
        """Return the press that is tolerated on a VM at a time."""
        return TOLERATED_PRESS * _swing(now, self._phases[vm])


class UnevenServers:
    """Several servers on each VM, but for every fourth, which has none.

    All servers of a VM have to meet their targets, so that the one that
    tolerates the least at a time decides.
    """

    SERVERS_PER_VM = 5
    OPEN_VM_INTERVAL = 4
    # Mean and relative variation of the press that a server tolerates.
    MEAN_PRESS = 0.4
    VARIATION = 0.2

    def __init__(self, rnd, vms):
        """Take a ``random.Random`` and the names of the VMs."""
        self._servers = {
            vm: [self._draw_server(rnd) for _ in range(self.SERVERS_PER_VM)]
            for number, vm in enumerate(vms)
            if number % self.OPEN_VM_INTERVAL
        }

    def _draw_server(self, rnd):
        """Return the mean tolerated press and the phase of a server."""
        variation = rnd.uniform(-self.VARIATION, self.VARIATION)
        mean = self.MEAN_PRESS * (1 + variation)
        return mean, rnd.uniform(0, SWING_SECONDS)

    def has_server(self, vm):
        """Return whether servers run on a VM."""
        return vm in self._servers

    def get_tolerated_press(self, vm, now):
        """Return the press that is tolerated on a VM at a time."""
        return min(
            (
                mean * _swing(now, phase)
                for mean, phase in self._servers.get(vm, ())
            ),
            default=math.inf,
        )


def _swing(now, phase):
    """Return the factor on the press that a server tolerates at a time."""
    phase = (now + phase) / SWING_SECONDS
    sign = 1 if phase % 1 < 0.5 else -1
    return 1 + SWING_SHARE * sign * abs(2 * (phase % 0.5) - 0.5)
