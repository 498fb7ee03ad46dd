// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/rollout_plan_p.h"

namespace larkrack
{
namespace
{
/// Fraction of a rollout's duration after which a version that was not found bad serves all requests. Later:
/// the rollout completes late when the store is slow. Sooner: a version that turns bad late is not detected.
constexpr double k_complete_fraction = 0.8;
/// Fraction of a rollout's duration after which a version without any request is rolled back.
constexpr double k_give_up_fraction = 0.95;
/// Milliseconds for which the backup node lets the first node write. Longer: a crashed first node delays a
/// verdict. Shorter: both nodes write, and one write is refused. A conditional write and its notification
/// take about 0.2 s.
constexpr std::chrono::milliseconds k_backup_write_delay{1000};

bool elapsed(
    steady_time::duration _passed, const rollout_order& _order, double _part, steady_time::duration _wait)
{
	return _passed >= std::chrono::duration_cast<steady_time::duration>(_part * _order.duration) + _wait;
}
} // namespace

std::optional<rollout_step> plan_rollout(const rollout_order& _order, const rollout_view& _view)
{
	const bool decided = _view.written && rollout_state::running != *_view.written;
	if (decider_rank::none == _view.rank || decided)
	{
		return std::nullopt;
	}
	const steady_time::duration wait =
	    decider_rank::first == _view.rank ? steady_time::duration{} : k_backup_write_delay;
	if (_view.verdict.is_bad())
	{
		return _view.bad_for >= wait
		           ? std::optional<rollout_step>({rollout_state::rolled_back, rollout_reason::found_bad})
		           : std::nullopt;
	}
	if (_view.ended_at_target > 0 && elapsed(_view.passed, _order, k_complete_fraction, wait))
	{
		return rollout_step{rollout_state::complete, rollout_reason::not_found_bad};
	}
	if (elapsed(_view.passed, _order, k_give_up_fraction, wait))
	{
		return rollout_step{rollout_state::rolled_back, rollout_reason::no_requests};
	}
	if (!_view.written && _view.passed >= wait)
	{
		return rollout_step{rollout_state::running, rollout_reason::ordered};
	}
	return std::nullopt;
}

bool is_status_of(const rollout_status& _status, const rollout_order& _order)
{
	return _status.target == _order.target && _status.revision > _order.revision;
}
} // namespace larkrack
