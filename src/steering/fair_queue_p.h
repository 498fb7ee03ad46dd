// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fair queue: the waiting requests of one service at this node, and their order.
///
/// Load: one group (a customer) sends many more requests than the others, and slots are short. In order of
/// arrival the slots are divided by the number of waiting requests, so the others get fewer than they had.
///
/// Inputs: number, urgency, group, weight and kind (first arrival or returning caller) of each waiting
/// request; each request that was sent to a backend server.
///
/// Algorithm: the most urgent request comes first; within an urgency, returning callers precede first
/// arrivals; within these, start-time fair queueing (Goyal, Vin, Cheng 1996). The first waiting request of a
/// group has a start tag: the larger of the virtual time and the group's finish tag. The group with the
/// lowest start tag is next. A sent request moves the virtual time to its start tag, and the finish tag of
/// its group to that tag plus 1 / weight. Only sent requests are charged; a request that leaves without
/// having been sent costs its group nothing. Within a group, requests are served by arrival.
///
/// Alternatives:
/// - tags assigned to each request at its arrival: the requests behind one that gives up keep their late
///   tags, so that a group pays for requests that never ran;
/// - deficit round robin: cheaper, but a group of low weight waits for a whole round of all groups.
///
/// Memory: proportional to the waiting requests, plus at most k_max_idle_groups groups for each urgency that
/// has waiting requests.
#pragma once

#include "steering/admission_p.h"

#include <list>
#include <set>
#include <unordered_map>

namespace larkrack
{
/// Groups without waiting requests whose finish tags are kept, for each urgency. Fewer: a group that has just
/// been served counts as new and is served again too early. More: memory (about 100 bytes each).
constexpr std::size_t k_max_idle_groups = 1024;
/// Lowest weight of a group; lower ones, and values that are not numbers, count as this. Lower: one request
/// moves the tags so far that those of heavy groups lose their precision.
constexpr double k_min_group_weight = 1e-3;
/// Highest weight of a group. Higher: the tags lose their precision.
constexpr double k_max_group_weight = 1e9;

/// Waiting requests of one urgency; part of fair_queue.
class fair_queue_level
{
public:
	/// A waiting request; numbered by arrival.
	struct entry
	{
		request_number request;
		std::uint64_t arrival = 0;
	};
	using waiting_requests = std::list<entry>;

	waiting_requests::iterator add(request_number _request, group_id _group, double _weight, bool _returning);
	void remove(waiting_requests::iterator _request, group_id _group, bool _returning);
	/// Charges a group for a request that was sent.
	/// @param[in] _waited Whether the request came from this queue.
	void on_sent(group_id _group, double _weight, bool _waited);
	/// @param[in] _may_send Decides whether a group is considered.
	template <typename Predicate>
	request_number next(Predicate _may_send) const
	{
		for (const order& groups : m_order)
		{
			for (const position& at : groups)
			{
				if (_may_send(at.group))
				{
					return at.first->request;
				}
			}
		}
		return {};
	}
	/// @returns Number of waiting requests that a new request would find ahead of it.
	std::size_t ahead_of(group_id _group, double _weight, bool _returning) const;
	std::size_t size() const
	{
		return m_size;
	}
	/// @returns Number of groups whose state is held.
	std::size_t groups() const
	{
		return m_groups.size();
	}

private:
	/// Position of a group in the order of service.
	struct position
	{
		double start = 0.0; ///< Start tag.
		group_id group;
		waiting_requests::const_iterator first; ///< Its first request; decides between equal tags.

		friend bool operator<(const position& _a, const position& _b)
		{
			return std::tie(_a.start, _a.first->arrival) < std::tie(_b.start, _b.first->arrival);
		}
	};
	using order = std::set<position>;
	struct group_state
	{
		double weight = 1.0;
		double finish = 0.0;                     ///< Finish tag.
		double start = 0.0;                      ///< Start tag of its first waiting request.
		waiting_requests waiting[2];             ///< Returning callers, first arrivals.
		std::optional<order::iterator> place[2]; ///< Where its first requests stand in m_order.

		bool idle() const
		{
			return waiting[0].empty() && waiting[1].empty();
		}
	};

	void place(group_id _group, group_state& _state);
	void unplace(group_state& _state);
	void forget_idle_groups();

	std::map<group_id, group_state> m_groups;
	order m_order[2];                             ///< Groups with returning callers, with first arrivals.
	std::set<std::pair<double, group_id>> m_idle; ///< Groups without waiting requests, by finish tag.
	double m_virtual_time = 0.0;
	std::uint64_t m_arrivals = 0;
	std::size_t m_size = 0;
};

/// Waiting requests of one service at this node.
class fair_queue
{
public:
	/// Adds a request that does not wait yet.
	/// @param[in] _returning Whether its caller was refused before and came back as told.
	void add(const admission_request& _request, bool _returning);
	/// @returns Whether the request was waiting.
	bool remove(request_number _request);
	/// Charges the group of a request that was sent to a backend server, whether it had waited or not.
	void on_sent(const admission_request& _request);
	/// @returns The request to be tried first; none when no request waits.
	request_number next() const
	{
		return next(
		    [](const urgency&, group_id)
		    {
			    return true;
		    });
	}
	/// @param[in] _may_send Decides by urgency and group whether a request may be sent now (fair_shares_p.h).
	/// Asked once for each urgency and group that precedes the result.
	/// @returns The first request of a group that may send; none if there is none.
	template <typename Predicate>
	request_number next(Predicate _may_send) const
	{
		for (const auto& [rank, level] : m_levels)
		{
			const request_number found = level.next(
			    [&_may_send, &at = rank](group_id _group)
			    {
				    return _may_send(at, _group);
			    });
			if (found.any())
			{
				return found;
			}
		}
		return {};
	}
	/// @returns Number of waiting requests.
	std::size_t size() const
	{
		return m_requests.size();
	}
	/// @returns Number of waiting requests of one urgency.
	std::size_t size(const urgency& _rank) const;
	/// @returns Number of waiting requests that would be tried before a new request.
	std::size_t ahead_of(const admission_request& _request, bool _returning) const;
	/// @returns Number of groups whose state is held, over all urgencies.
	std::size_t groups() const;

private:
	struct waiting_request
	{
		urgency rank;
		group_id group;
		bool returning = false;
		fair_queue_level::waiting_requests::iterator at;
	};

	std::map<urgency, fair_queue_level> m_levels; ///< Those with waiting requests.
	std::unordered_map<std::uint64_t, waiting_request> m_requests;
	request_number m_last_removed; ///< Tells a request that waited and is sent from one sent directly.
};

/// @returns The weight within k_min_group_weight and k_max_group_weight.
double valid_weight(double _weight);
} // namespace larkrack
