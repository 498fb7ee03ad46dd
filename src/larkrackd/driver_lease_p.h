// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The lease that makes one node of all the driver of shifts. Owns the lease's id while this node holds it;
/// relies on the platform's store, whose lease lapses when its holder stops asking. Losing it costs nothing
/// but time: each step of a shift is a compare-and-swap of its own.
#pragma once

#include "store/store_p.h"

#include <string>

namespace larkrack
{
/// Control thread only.
class driver_lease
{
public:
	/// @param[in] _node Name that stands under the lease's key.
	explicit driver_lease(std::string _node) : m_node(std::move(_node))
	{
	}
	/// Keeps the lease, or tries to get it when nobody holds it.
	/// @returns Whether this node holds it. A holder that lost it is told so once before it tries anew.
	bool hold(store_base& _store, const yield_context& _yield);

private:
	std::string m_node;
	std::int64_t m_lease = 0; ///< 0: this node does not hold it.
};
} // namespace larkrack
