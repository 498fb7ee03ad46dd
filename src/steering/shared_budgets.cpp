// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/shared_budgets_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Fraction of the slow start rate that is used. Higher: bursts of several nodes may exceed the limit of the
/// service. Lower: a cold backend server is warm later.
constexpr double k_warmup_fraction = 0.9;
/// A node relies on the choice by consistent hashing while it sees at least one of this number of nodes of
/// its region. Higher: small partitions send too much to cold backend servers. Lower: a few nodes down
/// disable the choice.
constexpr std::size_t k_max_region_per_live = 2;
} // namespace

void node_count_maximum::on_nodes_counted(std::size_t _nodes, std::size_t _in_region)
{
	m_max_nodes = std::max(m_max_nodes, _nodes);
	m_max_in_region = std::max(m_max_in_region, _in_region);
}

void node_count_maximum::set_domains(const std::vector<domain_name>& _domains)
{
	for (const domain_name& domain : _domains)
	{
		m_max_in_domain.emplace(domain, 0);
	}
}

void node_count_maximum::on_domain_counted(const domain_name& _domain, std::size_t _nodes)
{
	std::size_t& most = m_max_in_domain[_domain];
	most = std::max(most, _nodes);
}

fleet_extent node_count_maximum::extent() const
{
	fleet_extent extent;
	extent.nodes = m_max_nodes;
	extent.domains = std::max(extent.domains, m_max_in_domain.size());
	for (const auto& [domain, nodes] : m_max_in_domain)
	{
		extent.domain_nodes = std::max(extent.domain_nodes, nodes);
		extent.unseen_domains += 0 == nodes ? 1 : 0;
	}
	return extent;
}

double connections_of_node(int _limit, const budget_sharing& _sharing)
{
	return std::max(1.0, _limit / _sharing.nodes);
}

warmup_decision plan_warmup(std::size_t _region_nodes, std::size_t _max_in_region, bool _chosen)
{
	if (k_max_region_per_live * _region_nodes < _max_in_region)
	{
		return {1.0 / static_cast<double>(_max_in_region), warmup_reason::cut_off};
	}
	return _chosen ? warmup_decision{1.0, warmup_reason::chosen}
	               : warmup_decision{0.0, warmup_reason::another_node};
}

double warmup_rate(double _per_s, double _part)
{
	return k_warmup_fraction * _per_s * _part;
}
} // namespace larkrack
