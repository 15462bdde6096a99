# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The worker of a VM, behind an abstract class."""

from portwharf.workers.base import Attempt
from portwharf.workers.base import Listing
from portwharf.workers.base import Start
from portwharf.workers.base import Worker
from portwharf.workers.http import HttpWorker

__all__ = ('Attempt', 'HttpWorker', 'Listing', 'Start', 'Worker')
