// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rollout verdict: decides whether the evidence shows that a version is bad.
///
/// Inputs: rollout_evidence of all nodes.
///
/// Algorithm, for each route and, for failures, also for all routes together, so that a version that is bad
/// on one route of many is found on that route, and a version that is a little bad on all routes is found in
/// the sum:
/// - failures: a sequential probability ratio test of "fails as often as the others on the same route, at the
///   same time" against "fails k_failure_ratio times as often and k_failure_offset more". One failure is
///   added to those of the others, so that a few failures alone never make a verdict. A fault that affects
///   all backend servers raises the rates of both sides and does not count against the version.
/// - times: the fastest tenth of the answers takes k_slow_ratio times as long as that of the others. The
///   fastest answers of both sides are runs on known keys, whatever fraction of the keys the new version
///   knows; answers of cold backend servers are excluded.
/// There is no verdict "good": a version that was not found bad in time counts as good.
///
/// Error rates: by Wald's bound one test of failures takes a good version for bad with a probability of
/// k_false_alarm at most; 9 routes and the sum are ten tests. The tests simulate these rates.
///
/// Alternatives:
/// - a bound on the difference of two proportions (two standard errors): evaluated with each message it finds
///   42 of 200 good versions bad, this test none (rollout_verdict_test runs both on the same draws);
/// - means of the answer times: runs on unknown keys take three times as long, and the new version knows
///   none.
///
/// Relies on rollout_evidence_p.h for the counts of both sides.
#pragma once

#include "steering/rollout_evidence_p.h"

namespace larkrack
{
/// Reason for which a version is found bad, or not.
enum class verdict_reason
{
	nothing_found, ///< Not bad so far.
	failures,      ///< Bad: fails more often than the others.
	slow,          ///< Bad: takes much longer than the others.
};

/// Verdict on a version.
struct rollout_verdict
{
	verdict_reason reason = verdict_reason::nothing_found;
	std::string route; ///< Route on which the fault was found; "": all routes together.

	bool is_bad() const
	{
		return verdict_reason::nothing_found != reason;
	}
};

/// @param[in] _evidence Evidence of all nodes.
rollout_verdict judge_version(const rollout_evidence& _evidence);
} // namespace larkrack
