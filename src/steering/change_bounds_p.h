// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bounds in which changes of the store have to be in force at each node that reaches it. No state.
#pragma once

#include <algorithm>
#include <chrono>

namespace larkrack
{
/// Times from the store's acknowledgement of a change to its use.
struct change_bounds
{
	std::chrono::milliseconds config{2500}; ///< Of a configuration.
	std::chrono::milliseconds drain{2500};  ///< Of the entry of a backend server that leaves.
	std::chrono::milliseconds shortest() const
	{
		return std::min(config, drain);
	}
};
} // namespace larkrack
