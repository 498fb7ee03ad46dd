// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// In-memory implementation of the platform's key-value service, without a transport. fake_platform and
/// store_memory use it.
/// Owns: values, leases and the log of changes.
/// Relies on: the caller, which passes the current time. Not thread-safe.
#pragma once

#include "store/store_p.h"

namespace larkrack
{
/// Data and semantics of the key-value service.
class store_engine
{
public:
	/// @param[in] _prefix Whether to return all keys that start with the key.
	std::vector<store_value> range(const std::string& _key, bool _prefix) const;
	txn_reply txn(const std::vector<store_compare>& _conditions, const std::vector<store_write>& _writes);
	std::int64_t lease_grant(std::chrono::seconds _ttl, steady_time _now);
	/// @returns Time to live; 0 when the lease does not exist.
	std::chrono::seconds lease_keep_alive(std::int64_t _id, steady_time _now);
	void lease_revoke(std::int64_t _id);
	/// Removes expired leases and their keys.
	void tick(steady_time _now);
	/// @returns Revision of the latest change.
	std::int64_t revision() const
	{
		return m_revision;
	}
	/// @returns Changes to keys with a prefix, from a revision (inclusive) on.
	std::vector<watch_batch> changes(const std::string& _prefix, std::int64_t _from) const;

private:
	struct lease
	{
		std::chrono::seconds ttl{0};
		steady_time expires_at{};
	};
	void apply(const std::vector<store_write>& _writes);

	std::map<std::string, store_value> m_values;
	std::map<std::int64_t, lease> m_leases;
	std::vector<std::pair<std::int64_t, std::vector<store_write>>> m_log;
	std::int64_t m_revision = 1;
	std::int64_t m_next_lease = 1000;
};
} // namespace larkrack
