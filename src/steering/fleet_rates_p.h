// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fleet rates: sums of the request rates of the other live nodes, and their admission reports.
///
/// Inputs: the heartbeats of the other live nodes, each added once.
///
/// Algorithm: one pass over all nodes at a regular interval computes all sums; queries read the sums, and
/// their cost does not depend on the number of nodes. The interval grows with the size of the failure
/// domains, so the passes per second cost the same at every fleet size.
///
/// Purpose: for each service, a tick queries the demand, the demand that is bound to one region and, for each
/// region, the portion of the slots. With 986 nodes and two services, a pass for each query made ten passes,
/// 4 times per second, on a tenth of a core.
///
/// Admission reports travel under names among the rates (report_transport_p.h). They are kept apart from the
/// sums, so that they never count as requests.
///
/// Relies on fleet to add each live node and no other.
#pragma once

#include "steering/admission_p.h"
#include "steering/node_heartbeat_p.h"
#include "steering/slot_portion_p.h"

namespace larkrack
{
/// Age at which the levels of another node no longer count, milliseconds. Longer: the common level follows
/// a change of load later, and keeps the level of a dead node. Shorter: a lost heartbeat leaves a node of a
/// small fleet without the levels of the others.
constexpr std::chrono::milliseconds k_level_lifetime{1000};

/// Sums of rates, in requests per second, and admission reports.
class fleet_rates
{
public:
	/// Resets all sums.
	void clear()
	{
		m_demand.clear();
		m_sent.clear();
		m_reports.clear();
	}
	/// Adds another live node.
	/// @param[in] _self Name of this node: slots are divided in the order of names.
	/// @param[in] _heard_at Time when the heartbeat was received.
	void add(const node_name& _self, const node_heartbeat& _node, steady_time _heard_at = {});
	/// @returns First attempts for a service, by region of the nodes that received them.
	rate_by_region demand_of(const service_name& _service) const;
	/// @returns Requests for a service that may run in only one region, by that region.
	rate_by_region single_region_demand_of(const service_name& _service) const;
	/// @returns Rates at which other nodes send to a region for a service.
	other_nodes_rates sent_of(const service_name& _service, const region_name& _region) const;
	/// @returns Admission reports of the nodes that send requests for a service or report running groups. A
	/// report without groups is left out once its levels are too old to count.
	std::vector<admission_report> reports_of(const service_name& _service, steady_time _now) const;

private:
	/// An admission report and the time when its heartbeat was received.
	struct received_report
	{
		admission_report report;
		steady_time at{};
	};
	/// Keeps the admission reports of a node, by service.
	void add_reports(const node_heartbeat& _node, steady_time _heard_at);

	std::map<service_name, rate_by_region> m_demand;
	std::map<service_name, std::map<region_name, other_nodes_rates>> m_sent;
	std::map<service_name, std::vector<received_report>> m_reports;
};
} // namespace larkrack
