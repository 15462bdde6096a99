# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A shard's log, its owner, and the decisions that the owner makes."""

from portwharf.scheduler import configuration
from portwharf.scheduler.decisions import placement
from portwharf.scheduler import events
from portwharf.scheduler import grants
from portwharf.scheduler import guard
from portwharf.scheduler import limits
from portwharf.scheduler import operations
from portwharf.scheduler import owner
from portwharf.scheduler import shardlog
from portwharf.scheduler import state
from portwharf.scheduler import takeover

__all__ = (
    'configuration',
    'events',
    'grants',
    'guard',
    'limits',
    'operations',
    'owner',
    'placement',
    'shardlog',
    'state',
    'takeover',
)
