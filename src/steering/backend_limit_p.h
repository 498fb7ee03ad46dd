// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Reported limit of a backend server: the maximum number of requests per second that an overloaded backend
/// server accepts from all nodes together.
///
/// Parses the limits that backend servers report, and decides which of several reports holds. Inputs: the
/// limit header of responses to this node; reports that other nodes forward, with their age.
///
/// Each request to a backend server that reports a limit needs a token, whether it is a first attempt, a
/// retry, or a request of a sticky session. One node of the backend server's region lends the tokens
/// (quota_p.h).
///
/// Alternatives (limit_model_test): a share of 1/n for each node, and a single node that sends
/// to a limited backend server. Both lose most of a limit where many nodes send few requests each
/// (docs/CAPACITY.md).
///
/// Algorithm: the newest report holds, whether it states a limit or none. A header value that is not a
/// number, or is negative, is ignored: the previous report stays in force. A value above k_max_limit_per_s
/// counts as no limit. A value below k_min_limit_per_s, including 0, counts as k_min_limit_per_s: without an
/// occasional request no node would learn that the limit has ended.
///
/// Relies on backend_registry to create a new object for each incarnation of a backend server, so that a
/// report of an earlier incarnation has no effect.
#pragma once

#include "steering/quota_p.h"

#include "base/clock_p.h"

#include <optional>
#include <string_view>

namespace larkrack
{
/// Minimum limit that is enforced, requests per second: one request in four seconds.
constexpr double k_min_limit_per_s = 0.25;
/// Limit above which no limit is enforced, requests per second: more than any backend server gets.
constexpr double k_max_limit_per_s = 1e6;

/// Requests permitted in any window in excess of the limit itself: half as many again, and five more.
constexpr quota_bounds k_limit_bounds{std::chrono::milliseconds(4000), 0.5, 5.0,
    std::chrono::milliseconds(300), std::chrono::milliseconds(2000), true};
/// Burst of a limit: the time for which unused tokens accumulate, seconds, and a constant number of requests.
/// Higher values allow larger bursts after a pause. Lower values lose requests that arrive together between
/// two token requests.
constexpr double k_limit_burst_s = 0.1;
constexpr double k_limit_burst = 2.0; ///< Constant number of requests in the burst.
/// Fraction of a limit, scaled by the number of visible nodes, that is lent by a node that sees less than
/// half of its region.
constexpr double k_minority_share = 0.5;

/// Limit that a backend server reported.
struct limit_report
{
	std::optional<double> per_s; ///< Requests per second; nothing: no limit.
	steady_time report_time{};   ///< By the clock of this node.
};

/// @param[in] _id Id of the limit in messages between nodes.
/// @returns Quota subject for which tokens are lent.
quota_subject limit_quota_subject(std::uint64_t _id, double _per_s);
/// Number of nodes to base the lending on. A node that sees more than half of the region lends the whole
/// limit, so that nothing is lost when nodes are gone for good. If the region is split into two equal halves,
/// each lends half of the limit. Smaller partitions lend at most a quarter of it in total, which the bounds
/// permit in addition.
/// @param[in] _live Visible nodes of the region, including this one.
/// @param[in] _most Maximum number of nodes of the region ever seen.
/// @returns Number of nodes, out of _most, that the lender counts.
double lender_node_count(double _live, double _most);

/// @param[in] _text Value of the limit header.
/// @returns The report, or nothing if the text is not a limit.
std::optional<limit_report> parse_limit(std::string_view _text, steady_time _now);

/// The report in force for one incarnation of a backend server.
class reported_limit
{
public:
	/// Takes a report, unless a newer one is known.
	/// @returns Whether the limit changes.
	bool take_report(const limit_report& _report);
	/// @returns Whether a limit is in force.
	bool limited() const
	{
		return m_report.per_s.has_value();
	}
	const limit_report& report() const
	{
		return m_report;
	}

private:
	limit_report m_report;
};
} // namespace larkrack
