# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The platform's list of VMs, behind an abstract class."""

from portwharf.vmlist.base import VmList
from portwharf.vmlist.http import HttpVmList

__all__ = ('HttpVmList', 'VmList')
