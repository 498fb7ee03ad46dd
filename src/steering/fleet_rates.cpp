// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/fleet_rates_p.h"

#include "steering/report_transport_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// @returns 1 for a report that was just received, falling linearly to 0 at k_level_lifetime.
double freshness_at_age(steady_time::duration _age)
{
	return std::clamp(1.0 - to_s(_age) / to_s(k_level_lifetime), 0.0, 1.0);
}
} // namespace

void fleet_rates::add(const node_name& _self, const node_heartbeat& _node, steady_time _heard_at)
{
	for (const auto& [service, per_s] : _node.requests_per_s)
	{
		m_demand[service][_node.region] += per_s;
	}
	const bool is_before = _node.node < _self;
	for (const auto& [service, rates] : _node.sent_per_s)
	{
		if (is_report_name(service))
		{
			continue;
		}
		std::map<region_name, other_nodes_rates>& sums = m_sent[service];
		for (const auto& [region, per_s] : rates)
		{
			other_nodes_rates& sum = sums[region];
			sum.total_per_s += per_s;
			sum.preceding_per_s += is_before ? per_s : 0.0;
		}
	}
	add_reports(_node, _heard_at);
}

void fleet_rates::add_reports(const node_heartbeat& _node, steady_time _heard_at)
{
	for (const auto& [service, per_s] : _node.requests_per_s)
	{
		admission_report report = report_in(_node.sent_per_s, service);
		if (!report.level.empty() || !report.running.empty() || report.running_rest > 0.0 ||
		    report.waiting > 0.0)
		{
			report.sender_region = _node.region;
			m_reports[service].push_back({std::move(report), _heard_at});
		}
	}
}

std::vector<admission_report> fleet_rates::reports_of(const service_name& _service, steady_time _now) const
{
	std::vector<admission_report> reports;
	const auto it = m_reports.find(_service);
	if (m_reports.end() == it)
	{
		return reports;
	}
	for (const received_report& received : it->second)
	{
		const double freshness = freshness_at_age(_now - received.at);
		if (freshness > 0.0 || !received.report.running.empty() || received.report.running_rest > 0.0 ||
		    received.report.waiting > 0.0)
		{
			reports.push_back(received.report);
			reports.back().freshness = freshness;
		}
	}
	return reports;
}

rate_by_region fleet_rates::demand_of(const service_name& _service) const
{
	const auto it = m_demand.find(_service);
	return m_demand.end() == it ? rate_by_region() : it->second;
}

rate_by_region fleet_rates::single_region_demand_of(const service_name& _service) const
{
	rate_by_region bound;
	const auto it = m_sent.find(pinned_requests_of(_service));
	if (m_sent.end() == it)
	{
		return bound;
	}
	for (const auto& [region, sum] : it->second)
	{
		bound[region] = sum.total_per_s;
	}
	return bound;
}

other_nodes_rates fleet_rates::sent_of(const service_name& _service, const region_name& _region) const
{
	const auto service = m_sent.find(_service);
	if (m_sent.end() == service)
	{
		return {};
	}
	const auto region = service->second.find(_region);
	return service->second.end() == region ? other_nodes_rates{} : region->second;
}
} // namespace larkrack
