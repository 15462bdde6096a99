# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which VMs there are: the platform's list, or what they register."""

from portwharf.vmlist.base import VmList
from portwharf.vmlist.http import HttpVmList
from portwharf.vmlist.register import PREFIX
from portwharf.vmlist.register import Register
from portwharf.vmlist.register import Registration

__all__ = ('PREFIX', 'HttpVmList', 'Register', 'Registration', 'VmList')
