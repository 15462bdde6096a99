# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Access to the worker of a VM."""

from portwharf.workers.base import Attempt
from portwharf.workers.base import EXPECTED_REFUSALS
from portwharf.workers.base import Listing
from portwharf.workers.base import REFUSED_ATTEMPT_OVER
from portwharf.workers.base import REFUSED_CAPACITY
from portwharf.workers.base import REFUSED_FENCE
from portwharf.workers.base import REFUSED_LEASE_EXPIRED
from portwharf.workers.base import REFUSED_LEAVING
from portwharf.workers.base import REFUSED_NO_HEARTBEAT
from portwharf.workers.base import REFUSED_TICKET
from portwharf.workers.base import REFUSED_UNREACHABLE
from portwharf.workers.base import Start
from portwharf.workers.base import Worker
from portwharf.workers.http import HttpWorker
from portwharf.workers.incarnations import Incarnation
from portwharf.workers.incarnations import IncarnationTracker

__all__ = (
    'REFUSED_FENCE',
    'REFUSED_LEASE_EXPIRED',
    'REFUSED_LEAVING',
    'REFUSED_ATTEMPT_OVER',
    'REFUSED_CAPACITY',
    'REFUSED_TICKET',
    'REFUSED_NO_HEARTBEAT',
    'REFUSED_UNREACHABLE',
    'EXPECTED_REFUSALS',
    'Attempt',
    'HttpWorker',
    'Incarnation',
    'IncarnationTracker',
    'Listing',
    'Start',
    'Worker',
)
