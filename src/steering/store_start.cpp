// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/store_start_p.h"

#include "steering/rendezvous_p.h"

namespace larkrack
{
namespace
{
/// Number of nodes of a failure domain that register. More: more calls. Fewer: a failure domain is not found
/// while one of these nodes is being replaced.
constexpr std::size_t k_registered_per_domain = 2;
} // namespace

bool should_register(const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live)
{
	const std::uint64_t own = rendezvous_weight(_self.node.text, 0);
	std::size_t rank = 0;
	for (const node_heartbeat* node : _live)
	{
		const bool may_register = node->domain == _self.domain && node_state::stopping != node->state;
		rank += may_register && rendezvous_weight(node->node.text, 0) > own ? 1 : 0;
	}
	return rank < k_registered_per_domain;
}

} // namespace larkrack
