// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/news_spread_p.h"

#include "steering/rendezvous_p.h"

#include <map>

namespace larkrack
{
namespace
{
/// Datagrams (1.2 KB each) up to which changes are told. More: readers' links are full when much changes at
/// once (36 nodes told by a link of 20 Mbit/s: 17 ms a datagram). Fewer: nodes ask for what could be told, a
/// round trip and 60 ms later. Not measured alone.
constexpr std::size_t k_told_datagrams = 6;
} // namespace

telling plan_telling(std::size_t _datagrams, bool _large_fleet)
{
	const bool many = _large_fleet && _datagrams > k_told_datagrams;
	return 0 == _datagrams || many ? telling::announcement : telling::datagrams;
}

std::vector<const node_heartbeat*> first_told(
    const node_heartbeat& _self, const std::vector<const node_heartbeat*>& _live, bool _large_fleet)
{
	if (!_large_fleet)
	{
		return _live;
	}
	// Which node tells on differs by reader, so that a dead one does not keep all readers' news.
	const std::uint64_t draw = rendezvous_weight(_self.node.text, 0);
	std::vector<const node_heartbeat*> told;
	std::map<domain_name, const node_heartbeat*> telling_on;
	for (const node_heartbeat* node : _live)
	{
		if (node->domain == _self.domain)
		{
			told.push_back(node);
			continue;
		}
		const node_heartbeat*& best = telling_on[node->domain];
		const bool better = nullptr == best || rendezvous_weight(node->node.text, draw) >
		                                           rendezvous_weight(best->node.text, draw);
		best = better ? node : best;
	}
	for (const auto& [domain, node] : telling_on)
	{
		told.push_back(node);
	}
	return told;
}

bool tells_on(const node_heartbeat& _self, const node_heartbeat* _sender, bool _large_fleet)
{
	return _large_fleet && nullptr != _sender && _sender->region == _self.region &&
	       _sender->domain != _self.domain;
}
} // namespace larkrack
