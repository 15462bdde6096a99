# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The endpoint (runner) of a VM, behind an abstract class."""

from portwharf.endpoints.base import Runner
from portwharf.endpoints.base import RunnerAnswer
from portwharf.endpoints.http import HttpRunner

__all__ = ('HttpRunner', 'Runner', 'RunnerAnswer')
