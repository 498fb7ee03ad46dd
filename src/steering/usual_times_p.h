// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Usual times: how long requests of a kind usually take, and after which time one is overdue.
///
/// Inputs: kind and time of each request that a backend server has run; of a request, its kind and its time
/// until the deadline.
///
/// Algorithm: by kind a moving mean and a moving mean deviation, as TCP estimates its round trip. A request
/// is overdue after the larger one of k_overdue_times means and the mean and k_overdue_deviations deviations.
/// Where less than k_min_kind_times were seen, it is overdue after k_overdue_fraction of its time until the
/// deadline.
///
/// Alternatives: the mean of all requests, which tells nothing of long ones where most are short, or where
/// the short ones cease.
///
/// Cost: one entry for each kind, at most k_max_kinds.
#pragma once

#include "steering/names_p.h"

#include "base/clock_p.h"

#include <map>

namespace larkrack
{
/// Mean times of its kind after which a request is overdue at the earliest. More: a cut path is noticed
/// later. Fewer: a slow request counts against its path.
constexpr int k_overdue_times = 3;
/// Mean deviations beyond the mean time of its kind after which it is.
constexpr int k_overdue_deviations = 4;
/// Part of its time until the deadline after which a request is overdue of whose kind nothing is known.
constexpr double k_overdue_fraction = 0.7;
/// Minimum number of times of a kind from which anything is concluded.
constexpr int k_min_kind_times = 8;
/// Maximum number of kinds that are kept; beyond it all are learned anew.
constexpr std::size_t k_max_kinds = 4096;

/// What is known of the times of all kinds.
class usual_times
{
public:
	/// Adds the time of a request that a backend server has run.
	void add(const request_kind& _kind, steady_time::duration _taken);
	/// @param[in] _until_deadline Time that the request has when it is sent.
	/// @returns Time after which the request is overdue.
	steady_time::duration overdue_after(
	    const request_kind& _kind, steady_time::duration _until_deadline) const;

private:
	struct estimate
	{
		steady_time::duration mean{0};
		steady_time::duration deviation{0};
		int count = 0; ///< Up to k_min_kind_times.
	};
	std::map<request_kind, estimate> m_kinds;
};
} // namespace larkrack
