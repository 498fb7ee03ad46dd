// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollout share: decides which requests of a service go to a version that is being judged.
///
/// Inputs: the maximum fraction of a service's requests, over all nodes, that such a version may get (the
/// operator's bound); each request and the position of its affinity key in [0, 1).
///
/// Algorithm: keys with a position below k_exposed_fraction of the bound go to the version, so that each of
/// these keys runs only once on a backend server without state for it; a request without a key draws a random
/// position. A node never sends more than that fraction of the requests that it took since the order. Since
/// each node keeps to the fraction of its own requests, the sum keeps to the fraction of all requests,
/// whichever nodes are cut off, slow or restarted, and without messages between them.
///
/// Alternatives:
/// - a share that grows in steps up to all requests: a fault that shows late or under load would reach more
///   requests than the bound allows;
/// - a budget lent by one node, as for customers' quotas: needs that node, for a bound that holds without it;
/// - a fraction of the nodes instead of a fraction of the keys: nodes do not know their share of the
///   requests.
///
/// Owns the counts of one rollout at one node.
#pragma once

#include <cstdint>

namespace larkrack
{
/// Fraction of the bound that is used; the rest covers retries, and orders that reach nodes one after the
/// other. Higher: a verdict comes sooner. Lower: fewer requests reach a bad version.
constexpr double k_exposed_fraction = 0.9;

/// Divides the requests of one rollout at one node.
class rollout_share
{
public:
	/// @param[in] _bound Maximum fraction of the requests that a version may get while it is judged, 0 to 1.
	explicit rollout_share(double _bound = 0.0) : m_fraction(k_exposed_fraction * _bound)
	{
	}
	/// Counts a request of the service.
	/// @param[in] _position Position of its affinity key, or a random one.
	/// @returns Whether the request goes to the target version.
	bool next(double _position)
	{
		++m_seen;
		const bool wanted = _position < m_fraction;
		const bool within = static_cast<double>(m_exposed + 1) <= m_fraction * static_cast<double>(m_seen);
		m_exposed += wanted && within ? 1 : 0;
		return wanted && within;
	}
	/// @returns Fraction of the requests that went to the target version.
	double part() const
	{
		return 0 == m_seen ? 0.0 : static_cast<double>(m_exposed) / static_cast<double>(m_seen);
	}

private:
	double m_fraction;
	std::uint64_t m_seen = 0;
	std::uint64_t m_exposed = 0;
};
} // namespace larkrack
