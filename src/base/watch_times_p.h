// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Times of one call that waits at the store for changes. No state.
#pragma once

#include <chrono>

namespace larkrack
{
struct watch_times
{
	std::chrono::milliseconds wait{0};     ///< The store responds after it if nothing changes.
	std::chrono::milliseconds patience{0}; ///< Beyond the wait; without a response until then, the call ends.
};
} // namespace larkrack
