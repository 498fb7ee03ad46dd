// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/state_copy_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
/// Milliseconds for which a starting node only listens. Longer: the node is ready later when no node has the
/// keys. Shorter: a seed of its region (round-trip time about a millisecond) cannot answer in time. Not
/// measured.
constexpr std::chrono::milliseconds k_initial_listen_time{50};
/// Milliseconds without a page after which a node reads the store, when its turn has come. Longer: the node
/// is ready later when the nodes with the keys are slow. Shorter: it reads the store in addition. A page
/// takes 30 ms over a link of 20 Mbit/s, and 100 ms from another region.
constexpr std::chrono::milliseconds k_page_timeout{600};
/// Milliseconds until the turn of the second node of a failure domain. The delay doubles for each further
/// node, so that the number of copies that enter the failure domain before its first node can serve one grows
/// with the logarithm of the time that the first copy takes (1 to 4 s for 10,000 backend servers). Longer: a
/// crashed first node delays the others. Shorter: more of these copies. With turns of equal length 986 nodes
/// read the store 167 times.
constexpr std::chrono::milliseconds k_first_turn_delay{250};
/// Rank from which on all nodes have their turn together, after four minutes: even the state of a fleet of
/// that size is copied faster.
constexpr std::size_t k_max_turn_doublings = 10;
/// Bytes per second of pages that a node sends: 0.4 of a link of 20 Mbit/s.
constexpr double k_page_bytes_per_s = 1e6;
/// Milliseconds by which pages may be ahead of that rate.
constexpr std::chrono::milliseconds k_page_burst_time{100};
} // namespace

copy_step plan_copy(const copy_view& _view)
{
	const std::chrono::milliseconds turn =
	    k_first_turn_delay * ((1 << std::min(_view.rank, k_max_turn_doublings)) - 1);
	const bool has_turn = _view.passed >= turn;
	const bool no_page = _view.since_page >= k_page_timeout + turn;
	if (_view.anyone_has_keys && !no_page)
	{
		if (_view.domain_has_keys)
		{
			return copy_step::from_domain;
		}
		if (!has_turn)
		{
			return copy_step::wait;
		}
		return _view.region_has_keys ? copy_step::from_region : copy_step::from_anyone;
	}
	return _view.passed >= k_initial_listen_time + turn ? copy_step::from_store : copy_step::wait;
}

bool page_rate_limit::may_send_page(steady_time _now) const
{
	return m_free_at <= _now + k_page_burst_time;
}

void page_rate_limit::on_page_sent(std::size_t _bytes, steady_time _now)
{
	const std::chrono::duration<double> sending(static_cast<double>(_bytes) / k_page_bytes_per_s);
	m_free_at = std::max(m_free_at, _now) + std::chrono::duration_cast<steady_time::duration>(sending);
}
} // namespace larkrack
