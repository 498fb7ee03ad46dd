// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/domain_digest_p.h"

#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Nodes of a failure domain that take turns in sending its digests. Higher values send more bytes. Lower
/// values: a dead delegate interrupts the digests of its failure domain until it is detected.
constexpr std::size_t k_delegates = 2;
/// Milliseconds between two digests to a failure domain of the same region. Longer: lookups return dead nodes
/// for longer. Shorter: more bytes (6 KB for each of two failure domains of 110 nodes).
constexpr std::chrono::milliseconds k_near_digest_interval{1000};
/// Milliseconds between two digests to a failure domain of another region: bytes between regions cost most.
constexpr std::chrono::milliseconds k_far_digest_interval{4000};
/// Maximum number of consecutive digests that may be missed. Higher values keep a dead node in lookups for
/// longer. Lower values drop live nodes: with 5 of 100 datagrams lost, 14 of 100 parts are lost on their
/// three hops, and three in a row once in 360.
constexpr int k_max_missed_digests = 3;
} // namespace

std::chrono::milliseconds digest_interval(proximity _where)
{
	return proximity::far == _where ? k_far_digest_interval : k_near_digest_interval;
}

std::chrono::milliseconds digest_timeout(proximity _where)
{
	return k_max_missed_digests * digest_interval(_where);
}

bool is_delegate(const node_name& _self, const std::vector<const node_name*>& _domain)
{
	const std::uint64_t own = rendezvous_weight(_self.text, 0);
	const auto comes_first = [own](const node_name* _node)
	{
		return rendezvous_weight(_node->text, 0) > own;
	};
	const auto before = std::count_if(_domain.begin(), _domain.end(), comes_first);
	return static_cast<std::size_t>(before) < k_delegates;
}

std::chrono::milliseconds delegate_interval(proximity _where)
{
	return k_delegates * digest_interval(_where);
}

relay_plan::relay_plan(std::vector<const node_name*> _domain, std::uint64_t _number)
    : m_order(std::move(_domain)),
      m_relays(static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(m_order.size())))))
{
	std::sort(m_order.begin(), m_order.end(),
	    [_number](const node_name* _left, const node_name* _right)
	    {
		    return rendezvous_weight(_left->text, _number) > rendezvous_weight(_right->text, _number);
	    });
}

std::vector<const node_name*> relay_plan::first(const node_name& _self) const
{
	std::vector<const node_name*> relays;
	for (std::size_t i = 0; i < m_order.size() && i < m_relays; ++i)
	{
		if (*m_order[i] != _self)
		{
			relays.push_back(m_order[i]);
		}
	}
	// If this node is a relay itself, it also sends to that relay's nodes.
	const std::vector<const node_name*> own = next(_self);
	relays.insert(relays.end(), own.begin(), own.end());
	return relays;
}

std::vector<const node_name*> relay_plan::next(const node_name& _self) const
{
	std::vector<const node_name*> relayed_to;
	for (std::size_t relay = 0; relay < m_relays && relay < m_order.size(); ++relay)
	{
		if (*m_order[relay] != _self)
		{
			continue;
		}
		for (std::size_t i = relay + m_relays; i < m_order.size(); i += m_relays)
		{
			relayed_to.push_back(m_order[i]);
		}
	}
	return relayed_to;
}
} // namespace larkrack
