# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Translation between the users' platform and portwharf's own types."""
