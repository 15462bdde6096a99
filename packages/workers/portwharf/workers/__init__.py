# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Access to the worker of a VM."""

from portwharf.workers.base import Attempt
from portwharf.workers.base import Listing
from portwharf.workers.base import REFUSED_FENCE
from portwharf.workers.base import REFUSED_LATE
from portwharf.workers.base import REFUSED_LEAVING
from portwharf.workers.base import REFUSED_OLD
from portwharf.workers.base import REFUSED_ROOM
from portwharf.workers.base import REFUSED_TICKET
from portwharf.workers.base import REFUSED_UNHEARD
from portwharf.workers.base import REFUSED_UNREACHED
from portwharf.workers.base import SOUND_REFUSALS
from portwharf.workers.base import Start
from portwharf.workers.base import Worker
from portwharf.workers.http import HttpWorker
from portwharf.workers.lives import Life
from portwharf.workers.lives import Lives

__all__ = (
    'REFUSED_FENCE',
    'REFUSED_LATE',
    'REFUSED_LEAVING',
    'REFUSED_OLD',
    'REFUSED_ROOM',
    'REFUSED_TICKET',
    'REFUSED_UNHEARD',
    'REFUSED_UNREACHED',
    'SOUND_REFUSALS',
    'Attempt',
    'HttpWorker',
    'Life',
    'Lives',
    'Listing',
    'Start',
    'Worker',
)
