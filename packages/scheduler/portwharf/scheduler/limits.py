# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The time limits that ownership and grants are built on.

The whole deployment uses one set: a side and an owner with different limits
break the proof in DESIGN.md. So they are settings of each process and not part
of the configuration, which changes at run time.
"""

import dataclasses

# Largest difference in speed between two monotonic clocks, as a share. The
# clock of a worker may be 2% slow, and that of a VM is off by less.
MAX_CLOCK_DRIFT = 0.03
# Share of the silence before a takeover; the rest is left for redialling.
OWNER_IDLE_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class Limits:
    """Durations in seconds, each on the clock of the process that applies it.

    :param heartbeat: between two heartbeats of a side
    :param confirm: how long an owner may grant after it sent the question by
        which a majority or the store confirmed it
    :param guard: how long a side may keep exclusive tasks after it sent the
        heartbeat that a grant answers
    :param lease: how long a worker keeps them after a renewal
    :param takeover: silence of the owner before the first in line starts a
        takeover
    :param rank_step: additional silence for each following place in line
    :param unreachable: silence of a side before its VM gets no new tasks
    :param gone: how long the VM list must lack a VM before it is removed
    :param degraded_outage: how long an owner that a majority of the voters
        acknowledges may grant since the store last confirmed it
    :param outage: the same while all voters acknowledge it
    """

    heartbeat: float = 1.0
    confirm: float = 3.0
    guard: float = 6.0
    lease: float = 4.0
    takeover: float = 2.2
    rank_step: float = 0.5
    unreachable: float = 3.0
    gone: float = 120.0
    degraded_outage: float = 20.0
    outage: float = 300.0

    @property
    def owner_idle(self):
        """Silence after which an owner closes a connection to a side.

        Short enough that a live owner greets the side on a new connection
        before the first in line starts a takeover and before any grant ends.
        """
        return self.takeover * OWNER_IDLE_SHARE

    @property
    def sole_after_majority(self):
        """Wait until no former owner can grant any more."""
        return self.confirm * (1 + MAX_CLOCK_DRIFT)

    @property
    def extra_without_majority(self):
        """Added to waits that begin with the first voter, not a majority."""
        return (self.degraded_outage - self.confirm) * (1 + MAX_CLOCK_DRIFT)

    @property
    def extra_without_voters(self):
        """Added to waits that begin with the claim of the shard."""
        return (self.outage - self.confirm) * (1 + MAX_CLOCK_DRIFT)

    @property
    def lapse_after_majority(self):
        """Wait until no grant of a former owner can be valid."""
        return (self.confirm + self.guard) * (1 + MAX_CLOCK_DRIFT)

    @property
    def lapse_after_grant(self):
        """Wait until the last grant of an owner itself is not valid."""
        return self.guard * (1 + MAX_CLOCK_DRIFT)

    @property
    def replace_after_majority(self):
        """Wait between the first majority of an owner and a second attempt."""
        return (self.confirm + self.guard + self.lease) * (1 + MAX_CLOCK_DRIFT)

    @property
    def replace_after_grant(self):
        """Wait between the last grant of an owner and a second attempt."""
        return (self.guard + self.lease) * (1 + MAX_CLOCK_DRIFT)
