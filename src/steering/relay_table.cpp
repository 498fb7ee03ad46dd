// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/relay_table_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Rank of a relay by its region, best first.
enum class relay_rank
{
	own_region,
	backend_region,
	other_region,
	not_permitted,
};

relay_rank rank_of(const relay_candidate& _node, const relay_query& _query)
{
	const std::vector<std::string>* homes = _query.homes;
	if (nullptr != homes && !homes->empty() &&
	    homes->end() == std::find(homes->begin(), homes->end(), _node.region.text))
	{
		return relay_rank::not_permitted;
	}
	if (_node.region == _query.own_region)
	{
		return relay_rank::own_region;
	}
	return _node.region == _query.region ? relay_rank::backend_region : relay_rank::other_region;
}
} // namespace

void relay_table::on_report(const relay_candidate& _node, path_report _report, steady_time _now)
{
	known_node& known = m_known[_node.ip];
	known.node = _node;
	known.report = std::move(_report);
	known.reported_at = _now;
}

void relay_table::on_refused(const std::string& _ip, steady_time _now)
{
	m_known[_ip].refused_until = _now + k_refusal_time;
}

bool relay_table::reaches(
    const known_node& _known, const domain_name& _domain, bool _needs_responses, steady_time _now)
{
	if (_now < _known.refused_until || _now - _known.reported_at > k_max_path_report_age)
	{
		return false;
	}
	const auto contact = _known.report.find(_domain);
	if (_known.report.end() == contact)
	{
		return false;
	}
	const contact_ages& ages = contact->second;
	return (_needs_responses ? ages.response : ages.contact) <= k_max_contact_age;
}

const relay_candidate* relay_table::choose(
    const relay_query& _query, std::minstd_rand& _random, steady_time _now) const
{
	relay_rank best = relay_rank::not_permitted;
	std::vector<const relay_candidate*> equals;
	for (const auto& [ip, known] : m_known)
	{
		const relay_rank rank = reaches(known, _query.domain, _query.needs_responses, _now)
		                            ? rank_of(known.node, _query)
		                            : relay_rank::not_permitted;
		if (rank < best)
		{
			best = rank;
			equals.clear();
		}
		if (rank == best && relay_rank::not_permitted != rank)
		{
			equals.push_back(&known.node);
		}
	}
	return equals.empty() ? nullptr : equals[_random() % equals.size()];
}

bool relay_table::any_for(const domain_name& _domain, bool _needs_responses, steady_time _now) const
{
	return std::any_of(m_known.begin(), m_known.end(),
	    [&_domain, _needs_responses, _now](const auto& _entry)
	    {
		    return reaches(_entry.second, _domain, _needs_responses, _now);
	    });
}

std::vector<relay_candidate> relay_table::nodes_to_ask(std::vector<relay_candidate> _nodes,
    const region_name& _own_region, std::minstd_rand& _random, steady_time _now) const
{
	std::size_t relays = 0;
	for (const auto& [ip, known] : m_known)
	{
		relays += !known.report.empty() && _now >= known.refused_until ? 1 : 0;
	}
	std::shuffle(_nodes.begin(), _nodes.end(), _random);
	std::vector<relay_candidate> chosen;
	std::size_t near = 0;
	for (relay_candidate& node : _nodes)
	{
		const auto known = m_known.find(node.ip);
		const bool is_known = m_known.end() != known;
		if (is_known && (_now < known->second.refused_until ||
		                    _now - known->second.reported_at < k_max_path_report_age / 2))
		{
			continue;
		}
		const bool is_near = node.region == _own_region;
		const bool is_wanted = relays < k_enough_relays || (is_known && !known->second.report.empty());
		const std::size_t asked = is_near ? near : chosen.size() - near;
		if (!is_wanted || asked >= (is_near ? k_near_queries : k_far_queries))
		{
			continue;
		}
		near += is_near ? 1 : 0;
		chosen.push_back(std::move(node));
	}
	return chosen;
}

void relay_table::tick(steady_time _now)
{
	for (auto it = m_known.begin(); it != m_known.end();)
	{
		const bool outdated =
		    _now - it->second.reported_at > k_max_path_report_age && _now >= it->second.refused_until;
		it = outdated ? m_known.erase(it) : std::next(it);
	}
}
} // namespace larkrack
