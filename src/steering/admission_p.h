// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Admission: the interface by which a request asks whether it may take a slot of a backend server now, has
/// to wait, or is refused.
///
/// One admission object exists for each service of a node. It decides, queues the requests that wait, and is
/// told when requests were sent and ended. Implementations: arrival_admission_p.h serves requests by route
/// priority and arrival; priority_admission_p.h also sheds load over all nodes, divides slots fairly and
/// forecasts waits.
///
/// Relies on forwarded_request to call on_arrival() once, on_no_slot() when no backend server can take the
/// request, remove() when the request leaves the queue for any reason, on_sent() for each attempt and
/// on_end() once, whatever the end. Relies on forwarder to call tick() at a steady interval.
#pragma once

#include "steering/names_p.h"
#include "steering/rates_p.h"

#include "base/clock_p.h"

#include "larkrack/outcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace larkrack
{
/// Identifies a request at this node; 0: none.
struct request_number
{
	std::uint64_t value = 0;

	bool any() const
	{
		return 0 != value;
	}
	friend bool operator==(request_number _a, request_number _b)
	{
		return _a.value == _b.value;
	}
	friend bool operator<(request_number _a, request_number _b)
	{
		return _a.value < _b.value;
	}
};

/// Identifies a group of requests that shares room: a customer, or the failure domain that took the request
/// where there are no customers. The same at all nodes.
struct group_id
{
	std::uint64_t value = 0;

	friend bool operator<(group_id _a, group_id _b)
	{
		return _a.value < _b.value;
	}
	friend bool operator==(group_id _a, group_id _b)
	{
		return _a.value == _b.value;
	}
};

/// Rank of a request; the lowest is the most urgent. The customer's priority comes before the route's.
struct urgency
{
	int of_customer = 0; ///< Priority of the customer, 0 is the highest; 0 without a customer.
	int of_route = 0;    ///< Priority of the route, 0 is the highest.

	friend bool operator<(const urgency& _a, const urgency& _b)
	{
		return std::tie(_a.of_customer, _a.of_route) < std::tie(_b.of_customer, _b.of_route);
	}
	friend bool operator==(const urgency& _a, const urgency& _b)
	{
		return _a.of_customer == _b.of_customer && _a.of_route == _b.of_route;
	}
};

/// A request as admission sees it.
struct admission_request
{
	request_number number;
	urgency rank;
	group_id group;
	double weight = 1.0;                                     ///< Weight of the group; above 0.
	std::uint64_t route = 0;                                 ///< Hash of the route's name.
	region_name region;                                      ///< Region where the request is planned to run.
	std::chrono::milliseconds objective{0};                  ///< 0: the route has none.
	std::optional<std::chrono::milliseconds> stated_timeout; ///< As stated by the caller.
	steady_time arrived_at{};
	steady_time deadline{};
	std::size_t bytes = 0; ///< Size of the body.
};

/// Verdict about a request.
enum class admission_verdict
{
	admitted, ///< It may take a slot now.
	waits,    ///< It waits for a slot until admission_decision::wait_until.
	refused,
};

/// Decision about a request, with what the log tells of it.
struct admission_decision
{
	admission_verdict verdict = admission_verdict::admitted;
	reason why = reason::none;  ///< If refused.
	steady_time wait_until{};   ///< If it waits: it is refused at this time.
	double retry_after_s = 0.0; ///< If refused: seconds.
	double level = 0.0;         ///< Load level of its region, 0 to 1.
	double share = 1.0;         ///< Share of its group in the slots, 0 to 1.
	bool returning = false;     ///< Its caller was refused before and came back as told.
};

/// How a request ended.
struct admission_end
{
	bool sent = false;           ///< A backend server received it.
	bool answered = false;       ///< A backend server answered it.
	bool rejected = false;       ///< Backend servers rejected it without running it.
	double service_time_s = 0.0; ///< If answered: time from sending to the answer.
};

/// What one node tells the others of a service.
struct admission_report
{
	/// Load level by region, 0 to 1. In a report of another node, a region to which that node sends nothing
	/// is left out, and a region without load has level 0.
	rate_by_region level;
	/// Running requests of the groups with the most of them.
	std::vector<std::pair<group_id, double>> running;
	double running_rest = 0.0; ///< Running requests of all other groups.
	/// Waiting requests of groups below their shares: the sender's recent maximum.
	double waiting = 0.0;
	/// Weight of its levels: 1 when just received, 0 when too old to count.
	double freshness = 1.0;
	region_name sender_region; ///< Region of the node; set by the receiver.
};

/// Room for a service in one region.
struct region_room
{
	double slots = 0.0;     ///< Slots of usable and warm backend servers.
	double busy = 0.0;      ///< Slots in use by all nodes, estimated.
	double own_slots = 0.0; ///< This node's portion of the slots.
	double in_flight = 0.0; ///< Requests of this node at these backend servers.
};

/// What admission learns at each tick.
struct admission_conditions
{
	std::map<region_name, region_room> rooms;
	std::vector<admission_report> others; ///< Reports of the other live nodes, with their freshness.
	double service_time_s = 0.0;          ///< Mean time of an exchange with a backend server.
	double requests_per_s = 0.0;          ///< First attempts at this node.
};

/// Admission of the requests of one service at this node.
class admission_base
{
public:
	virtual ~admission_base() = default;
	/// @returns Whether decisions depend on the time and on conditions. If they do not, callers may pass any
	/// time, which saves readings of the clock, and never call tick().
	virtual bool uses_conditions() const
	{
		return true;
	}
	/// Decides before the request takes a slot. A request that waits goes to on_no_slot() without trying for
	/// a slot.
	virtual admission_decision on_arrival(const admission_request& _request, steady_time _now) = 0;
	/// Decides about an admitted request that no backend server can take now. Queues it if it has to wait;
	/// never admission_verdict::admitted.
	virtual admission_decision on_no_slot(const admission_request& _request, steady_time _now) = 0;
	/// Decides about a waiting request whose wait is over: refuses it, or lets it wait until a later time.
	virtual admission_decision on_wait_over(const admission_request& _request, steady_time _now) = 0;
	/// @returns The waiting request that is tried first; none when no request waits.
	virtual request_number next(steady_time _now) const = 0;
	/// Removes a request from the queue; without effect when it does not wait.
	virtual void remove(const admission_request& _request) = 0;
	/// Counts an attempt that was sent to a backend server.
	virtual void on_sent(const admission_request& _request, steady_time _now) = 0;
	/// Counts the end of a request.
	virtual void on_end(const admission_request& _request, const admission_end& _end, steady_time _now) = 0;
	virtual void tick(const admission_conditions& _conditions, steady_time _now) = 0;
	virtual admission_report report(steady_time _now) const = 0;
};
} // namespace larkrack
