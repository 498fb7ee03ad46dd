// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// The lease that makes one node the driver of all shifts.
///
/// Owns: the lease's id while this node holds the lease.
/// Relies on: the platform's store, where the lease expires when its holder stops renewing it. Losing the
/// lease costs only time: each step of a shift is a compare-and-swap of its own.
#pragma once

#include "store/store_p.h"

#include <string>

namespace larkrack
{
/// Control thread only.
class driver_lease
{
public:
	/// @param[in] _node Name that is written to the lease's key.
	explicit driver_lease(std::string _node) : m_node(std::move(_node))
	{
	}
	/// Renews the lease, or tries to acquire it if nobody holds it.
	/// @returns Whether this node holds the lease. A holder that lost the lease gets false once; the next
	/// call tries to acquire it again.
	bool acquire_or_renew(store_base& _store, const yield_context& _yield);

private:
	std::string m_node;
	std::int64_t m_lease = 0; ///< 0: this node does not hold the lease.
};
} // namespace larkrack
