# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Names of what limits the CPU share of a filling task, for logs."""

# The task runs at its full share.
NONE = 'none'
# What is left of a serving task's headroom, by an estimate of interference
# that rests on measurements, and by one that does not.
KNOWN_ESTIMATE = 'known-estimate'
UNKNOWN_ESTIMATE = 'unknown-estimate'
# The factor on the shares of all filling tasks of the VM.
THROTTLE_FACTOR = 'throttle-factor'
# Tasks that rank before it use all of the headroom.
LEAST_SHARE = 'least-share'
# A serving task would have no headroom without filling tasks either.
TAIL_AT_TARGET = 'tail-at-target'
# All filling tasks of the VM are suspended, or the share is not known.
SUSPENDED = 'suspended'
UNKNOWN_SHARE = 'unknown-share'
