// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/rollout_verdict_p.h"

#include <algorithm>
#include <cmath>

namespace larkrack
{
namespace
{
/// Ratio of the failure rate of a bad version, as the test assumes it, to that of the others. Higher: a
/// version that is a little worse is not detected. Lower: more requests until a verdict.
constexpr double k_failure_ratio = 2.5;
/// Fraction of the requests that a bad version fails in addition to that ratio. Same trade-off.
constexpr double k_failure_offset = 0.03;
/// Maximum failure rate that the test assumes; with 1, a single good answer would prove that the version is
/// not bad.
constexpr double k_max_failure_rate = 0.9;
/// Probability with which one test takes a good version for bad. Lower: more requests until a verdict; a
/// version that fails 4 of 10 requests is found by its 6th failure at 1e-4 (calculated).
constexpr double k_false_alarm = 1e-4;
/// Failures added to those of the others, so that their failure rate is never taken for 0.
constexpr double k_prior_failures = 1.0;
/// Minimum number of answers of each side for a comparison of answer times. More: a slow version is found
/// later. Fewer: a tenth of the answers is too small a sample.
constexpr std::uint32_t k_min_timed_answers = 60;
/// Quantile of the answer times that is compared. Higher: includes runs on unknown keys. Lower: less stable.
constexpr double k_fast_quantile = 0.1;
/// Ratio of answer times from which on a version is slow. Higher: a version that is twice as slow is not
/// found. Lower: versions whose times differ by one class (a fifth) are taken for slow.
constexpr double k_slow_ratio = 1.6;

bool fails_more(const route_evidence& _evidence)
{
	const double usual =
	    (_evidence.others.failed + k_prior_failures) / (_evidence.others.ended + 2.0 * k_prior_failures);
	const double bad = std::min(k_max_failure_rate, k_failure_ratio * usual + k_failure_offset);
	if (bad <= usual)
	{
		return false; // The others fail nearly always, so there is nothing to compare with.
	}
	const double failed = _evidence.target.failed;
	const double served = static_cast<double>(_evidence.target.ended) - failed;
	const double ratio = failed * std::log(bad / usual) + served * std::log((1.0 - bad) / (1.0 - usual));
	return ratio > -std::log(k_false_alarm);
}

bool is_slower(const route_evidence& _evidence)
{
	if (std::min(_evidence.target.timed(), _evidence.others.timed()) < k_min_timed_answers)
	{
		return false;
	}
	return time_ratio(_evidence.target.quantile(k_fast_quantile),
	           _evidence.others.quantile(k_fast_quantile)) >= k_slow_ratio;
}
} // namespace

rollout_verdict judge_version(const rollout_evidence& _evidence)
{
	route_evidence all;
	for (const auto& [route, evidence] : _evidence)
	{
		if (fails_more(evidence))
		{
			return {verdict_reason::failures, route};
		}
		// Routes differ in their work, so answer times are compared for each route only.
		if (is_slower(evidence))
		{
			return {verdict_reason::slow, route};
		}
		all.target.add(evidence.target);
		all.others.add(evidence.others);
	}
	if (fails_more(all))
	{
		return {verdict_reason::failures, ""};
	}
	return {};
}
} // namespace larkrack
