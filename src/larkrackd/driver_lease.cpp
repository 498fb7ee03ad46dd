// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/driver_lease_p.h"

#include "larkrackd/platform_keys_p.h"

namespace larkrack
{
namespace
{
/// Time to live of the lease: shifts stand still for this long after the holder crashed. A shorter one needs
/// more calls to the platform.
constexpr std::chrono::seconds k_driver_lease_ttl{5};
constexpr const char* k_use = "driver_lease";
} // namespace

bool driver_lease::acquire_or_renew(store_base& _store, const yield_context& _yield)
{
	if (0 != m_lease)
	{
		const lease_reply kept = _store.lease_keep_alive(k_use, m_lease, _yield);
		if (call_status::done == kept.status && 0 < kept.ttl.count())
		{
			return true;
		}
		m_lease = 0;
		return false;
	}
	const range_reply holder = _store.range(k_use, k_key_driver, false, _yield);
	if (call_status::done != holder.status || !holder.values.empty())
	{
		return false;
	}
	const lease_reply lease = _store.lease_grant(k_use, k_driver_lease_ttl, _yield);
	if (call_status::done != lease.status)
	{
		return false;
	}
	// If the write fails or its outcome is unknown, the lease expires by itself, and its key with it.
	const txn_reply reply =
	    _store.txn(k_use, {{k_key_driver, 0}}, {{k_key_driver, m_node, lease.id}}, _yield);
	m_lease = call_status::done == reply.status && reply.succeeded ? lease.id : 0;
	return 0 != m_lease;
}
} // namespace larkrack
