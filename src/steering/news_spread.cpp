// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/news_spread_p.h"

#include "steering/rendezvous_p.h"

#include <map>

namespace larkrack
{
namespace
{
/// Maximum number of datagrams (1.2 KB each) in which changes are sent. Higher values: readers' links are
/// saturated when many keys change at once (36 nodes over a link of 20 Mbit/s: 17 ms per datagram). Lower
/// values: nodes request what could have been sent, a round trip and 60 ms later.
constexpr std::size_t k_max_change_datagrams = 6;
} // namespace

change_delivery choose_change_delivery(std::size_t _datagrams, bool _large_fleet)
{
	const bool many = _large_fleet && _datagrams > k_max_change_datagrams;
	return 0 == _datagrams || many ? change_delivery::announcement : change_delivery::datagrams;
}

std::vector<const node_heartbeat*> change_recipients(
    const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live, bool _large_fleet)
{
	if (!_large_fleet)
	{
		return _live;
	}
	// The choice of forwarding nodes differs by reader, so that a dead node does not suppress the changes of
	// all readers.
	const std::uint64_t seed = rendezvous_weight(_self.node.text, 0);
	std::vector<const node_heartbeat*> recipients;
	std::map<domain_name, const node_heartbeat*> forwarders;
	for (const node_heartbeat* node : _live)
	{
		if (node->domain == _self.domain)
		{
			recipients.push_back(node);
			continue;
		}
		const node_heartbeat*& best = forwarders[node->domain];
		const bool ranks_higher = nullptr == best || rendezvous_weight(node->node.text, seed) >
		                                                 rendezvous_weight(best->node.text, seed);
		best = ranks_higher ? node : best;
	}
	for (const auto& [domain, node] : forwarders)
	{
		recipients.push_back(node);
	}
	return recipients;
}

bool forwards_changes(const node_heartbeat& _self, const node_heartbeat* _sender, bool _large_fleet)
{
	return _large_fleet && nullptr != _sender && _sender->region == _self.region &&
	       _sender->domain != _self.domain;
}
} // namespace larkrack
