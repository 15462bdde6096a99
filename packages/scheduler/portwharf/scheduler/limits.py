# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The time limits that ownership and grants rest on.

They are one set for a whole deployment: a side and an owner that disagree
about them break the proof in DESIGN.md, so they are settings of every
process alike and not configuration that changes under way.
"""

import dataclasses

# Two monotonic clocks may differ in speed by this share at the most; a
# worker's may be 2% slow, and a VM's by less.
DRIFT = 0.03
# Of the silence before a takeover; the rest is for dialling.
OWNER_IDLE_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class Limits:
    """Seconds, each on the clock of the process that applies it.

    :param heartbeat: between two heartbeats of a side
    :param confirm: how long an owner may grant after the question that a
        majority, or the store, confirmed it by was sent
    :param guard: how long a side may keep exclusive tasks after it sent
        the heartbeat that a grant answers
    :param lease: how long the worker keeps them after a renewal
    :param takeover: silence of the owner before the first in line asks
    :param rank_step: how much longer each next in line waits
    :param unreachable: silence of a side before its VM gets nothing new
    :param gone: how long the VM list must not have named a VM before it
        counts as gone for good
    """

    heartbeat: float = 1.0
    confirm: float = 3.0
    guard: float = 6.0
    lease: float = 4.0
    takeover: float = 2.2
    rank_step: float = 0.5
    unreachable: float = 3.0
    gone: float = 120.0

    @property
    def owner_idle(self):
        """Silence that ends an owner's connection to a side.

        Short enough that a living owner is heard on a new one before the
        first in line asks after it, and before any grant is over.
        """
        return self.takeover * OWNER_IDLE_SHARE

    @property
    def lapse_after_majority(self):
        """Wait until no former owner's grant can be valid."""
        return (self.confirm + self.guard) * (1 + DRIFT)

    @property
    def lapse_after_grant(self):
        """Wait until an owner's own last grant is not valid."""
        return self.guard * (1 + DRIFT)

    @property
    def replace_after_majority(self):
        """Wait between an owner's first majority and a second attempt."""
        return (self.confirm + self.guard + self.lease) * (1 + DRIFT)

    @property
    def replace_after_grant(self):
        """Wait between an owner's own last grant and a second attempt."""
        return (self.guard + self.lease) * (1 + DRIFT)
