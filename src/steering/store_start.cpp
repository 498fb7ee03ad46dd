// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/store_start_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds in which a node that starts only listens. Longer: it is ready later when nobody knows the
/// keys. Shorter: a seed of its region (round trip about a millisecond) can not answer. Not measured.
constexpr std::chrono::milliseconds k_listen_first{50};
/// Milliseconds from its start on for which a node waits for the keys of another one. Longer: it is ready
/// later when that one is slow. Shorter: it reads the store beside. A copy of 1,356 backend servers takes 0.1
/// s over a link of 20 Mbit/s.
constexpr std::chrono::milliseconds k_copy_patience{600};
/// Nodes of a failure domain that register. More: calls. Fewer: a failure domain is not found while one of
/// them is being replaced. Not measured.
constexpr std::size_t k_registered_of_domain = 2;
/// Milliseconds between two whole copies that a node gives. Shorter: its link (20 Mbit/s at least; a copy of
/// 1,356 backend servers has 0.3 MB) is full of them. Longer: nodes that start read the store.
constexpr std::chrono::milliseconds k_copy_interval{250};
/// Copies that it gives at once after a pause.
constexpr int k_copies_burst = 2;
} // namespace

first_read plan_first_read(steady_time::duration _since_start, bool _others_know)
{
	if (_others_know && _since_start < k_copy_patience)
	{
		return first_read::from_peers;
	}
	return _since_start < k_listen_first ? first_read::listen : first_read::from_store;
}

bool registers(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live)
{
	const std::uint64_t own = rendezvous_weight(_self.node.text, 0);
	std::size_t rank = 0;
	for (const node_heartbeat* node : _live)
	{
		const bool may_register = node->domain == _self.domain && node_state::stopping != node->state;
		rank += may_register && rendezvous_weight(node->node.text, 0) > own ? 1 : 0;
	}
	return rank < k_registered_of_domain;
}

bool copy_limit::take(steady_time _now)
{
	if (_now < m_next - (k_copies_burst - 1) * k_copy_interval)
	{
		return false;
	}
	m_next = std::max(m_next, _now) + k_copy_interval;
	return true;
}
} // namespace larkrack
