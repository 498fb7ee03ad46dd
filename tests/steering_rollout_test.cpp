// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the decisions of a rollout: which requests go to the new version, what the evidence shows, and
/// when which state is written.

#include "fixtures.h"

#include "steering/rollout_plan_p.h"
#include "steering/rollout_share_p.h"

#include <cmath>
#include <random>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

/// A simulated version: how often it fails and how long it takes.
struct simulated_version
{
	double failing = 0.0; ///< Fraction of its answers.
	double slower = 1.0;  ///< Ratio of its answer times to those of the others.
};

/// Simulates one request of a route whose runs take 900 ms, or 270 ms for a known key.
void simulate_request(
    version_counts& _side, const simulated_version& _version, double _known, std::minstd_rand& _random)
{
	std::uniform_real_distribution<double> draw(0.0, 1.0);
	++_side.ended;
	if (draw(_random) < _version.failing)
	{
		++_side.failed;
		return;
	}
	const double run_ms = draw(_random) < _known ? 270.0 : 900.0;
	const double spread = std::exp(std::normal_distribution<double>(0.0, 0.15)(_random));
	_side.count_time(ms(static_cast<int>(_version.slower * run_ms * spread)));
}

/// Result of a simulated rollout.
struct simulated_rollout
{
	bool detected = false;
	double exposed = 0.0; ///< Requests to the target until the verdict.
	double failed = 0.0;  ///< Failed requests among them.
};

/// Simulates a rollout with 400 requests per second on five routes, 9 of 100 to the target, for 10 s.
/// @param[in] _bad_route Whether the target is bad on one route only.
/// @param[in] _bad_after Number of requests to the target after which it turns bad.
simulated_rollout simulate(const simulated_version& _target, const simulated_version& _others,
    bool _bad_route, int _bad_after, std::minstd_rand& _random)
{
	constexpr int k_requests = 4000;
	constexpr int k_routes = 5;
	rollout_evidence evidence;
	simulated_rollout result;
	for (int i = 0; i < k_requests; ++i)
	{
		const int route = i % k_routes;
		route_evidence& counts = evidence["r" + std::to_string(route)];
		simulate_request(counts.others, _others, 0.8, _random);
		if (std::uniform_real_distribution<double>(0.0, 1.0)(_random) >= 0.09)
		{
			continue;
		}
		const bool is_bad = result.exposed >= _bad_after && (!_bad_route || 0 == route);
		const version_counts before = counts.target;
		simulate_request(counts.target, is_bad ? _target : _others, 0.6, _random);
		++result.exposed;
		result.failed += counts.target.failed - before.failed;
		if (judge_version(evidence).is_bad())
		{
			result.detected = true;
			return result;
		}
	}
	return result;
}
} // namespace

class rollout_share_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rollout_share_test);
	CPPUNIT_TEST(exposed_requests_never_exceed_their_fraction);
	CPPUNIT_TEST(exposed_keys_are_the_same_at_all_nodes);
	CPPUNIT_TEST(no_request_is_exposed_with_a_bound_of_zero);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Many nodes with few requests each, as in a large fleet, and one hot key.
	void exposed_requests_never_exceed_their_fraction()
	{
		std::minstd_rand random(7);
		int seen = 0;
		int exposed = 0;
		for (int node = 0; node < 986; ++node)
		{
			rollout_share share(0.1);
			const int requests = 1 + node % 40;
			for (int i = 0; i < requests; ++i)
			{
				const bool hot = 0 == i % 2;
				const double position = hot ? 0.01 : std::uniform_real_distribution<double>(0.0, 1.0)(random);
				exposed += share.next(position) ? 1 : 0;
				++seen;
				CPPUNIT_ASSERT(share.part() <= 0.1);
			}
		}
		CPPUNIT_ASSERT(exposed > 0 && exposed <= 0.1 * seen);
	}

	void exposed_keys_are_the_same_at_all_nodes()
	{
		for (int node = 0; node < 9; ++node)
		{
			rollout_share share(0.1);
			for (int i = 0; i < 1000; ++i)
			{
				const double position = static_cast<double>((i * 37 + node * 11) % 1000) / 1000.0;
				CPPUNIT_ASSERT(!share.next(position) || position <= 0.09);
			}
			CPPUNIT_ASSERT(share.part() > 0.05);
		}
	}

	void no_request_is_exposed_with_a_bound_of_zero()
	{
		rollout_share share(0.0);
		for (int i = 0; i < 100; ++i)
		{
			CPPUNIT_ASSERT(!share.next(0.0));
		}
	}
};

class rollout_verdict_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rollout_verdict_test);
	CPPUNIT_TEST(good_versions_are_hardly_ever_found_bad);
	CPPUNIT_TEST(fault_of_all_versions_does_not_count_against_the_target);
	CPPUNIT_TEST(failing_versions_are_found_within_fifty_bad_answers);
	CPPUNIT_TEST(slow_versions_are_found);
	CPPUNIT_TEST(version_that_is_bad_on_one_route_or_later_is_found);
	CPPUNIT_TEST(bound_on_the_difference_finds_good_versions_bad_more_often);
	CPPUNIT_TEST(routes_beyond_the_maximum_count_together);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr int k_rollouts = 40;

	/// @returns Fraction of the rollouts in which the version is found bad, and the maximum of the requests
	/// that reached it.
	static std::pair<double, simulated_rollout> simulate_many(const char* _name,
	    const simulated_version& _target, const simulated_version& _others, bool _bad_route = false,
	    int _bad_after = 0)
	{
		std::minstd_rand random(20261203);
		double found = 0.0;
		simulated_rollout maximum;
		for (int i = 0; i < k_rollouts; ++i)
		{
			const simulated_rollout result = simulate(_target, _others, _bad_route, _bad_after, random);
			found += result.detected ? 1.0 : 0.0;
			maximum.exposed = std::max(maximum.exposed, result.exposed);
			maximum.failed = std::max(maximum.failed, result.failed);
		}
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << _name << ": found " << found / k_rollouts << ", most exposed " << maximum.exposed
			          << ", most failed " << maximum.failed << std::endl;
		}
		return {found / k_rollouts, maximum};
	}

	void good_versions_are_hardly_ever_found_bad()
	{
		CPPUNIT_ASSERT_EQUAL(0.0, simulate_many("good", {}, {}).first);
		CPPUNIT_ASSERT_EQUAL(
		    0.0, simulate_many("good, 0.4% fail on both sides", {0.004, 1.0}, {0.004, 1.0}).first);
	}

	void fault_of_all_versions_does_not_count_against_the_target()
	{
		CPPUNIT_ASSERT(simulate_many("a third of all fails", {0.33, 1.0}, {0.33, 1.0}).first <= 0.025);
		CPPUNIT_ASSERT_EQUAL(0.0, simulate_many("all three times slower", {0.0, 3.0}, {0.0, 3.0}).first);
	}

	void failing_versions_are_found_within_fifty_bad_answers()
	{
		for (const double failing : {0.1, 0.2, 0.4})
		{
			const auto [found, maximum] = simulate_many("fails", {failing, 1.0}, {0.004, 1.0});
			CPPUNIT_ASSERT_EQUAL(1.0, found);
			CPPUNIT_ASSERT(maximum.failed < 50.0);
		}
	}

	void slow_versions_are_found()
	{
		for (const double slower : {2.0, 4.0, 8.0})
		{
			CPPUNIT_ASSERT_EQUAL(1.0, simulate_many("slower", {0.0, slower}, {}).first);
		}
	}

	void version_that_is_bad_on_one_route_or_later_is_found()
	{
		CPPUNIT_ASSERT_EQUAL(1.0, simulate_many("one route of five fails 0.4", {0.4, 1.0}, {}, true).first);
		CPPUNIT_ASSERT_EQUAL(
		    1.0, simulate_many("fails 0.4 after 150 requests", {0.4, 1.0}, {}, false, 150).first);
	}

	/// The rejected alternative: two standard errors of the difference, evaluated at each request.
	static bool differs(const version_counts& _target, const version_counts& _others)
	{
		if (_target.ended < 20 || _others.ended < 20)
		{
			return false;
		}
		const double target = static_cast<double>(_target.failed) / _target.ended;
		const double others = static_cast<double>(_others.failed) / _others.ended;
		const double both =
		    static_cast<double>(_target.failed + _others.failed) / (_target.ended + _others.ended);
		const double spread = std::sqrt(both * (1.0 - both) * (1.0 / _target.ended + 1.0 / _others.ended));
		return target - others > 2.0 * spread;
	}

	/// Good versions that fail 2 of 100 requests like the others: both methods on the same draws.
	void bound_on_the_difference_finds_good_versions_bad_more_often()
	{
		constexpr int k_good_versions = 200;
		std::minstd_rand random(20261203);
		std::uniform_real_distribution<double> draw(0.0, 1.0);
		int by_bound = 0;
		int by_test = 0;
		for (int version = 0; version < k_good_versions; ++version)
		{
			rollout_evidence evidence;
			route_evidence& counts = evidence["r"];
			bool bound_found = false;
			bool test_found = false;
			for (int i = 0; i < 4000; ++i)
			{
				version_counts& side = draw(random) < 0.09 ? counts.target : counts.others;
				++side.ended;
				side.failed += draw(random) < 0.02 ? 1 : 0;
				bound_found = bound_found || differs(counts.target, counts.others);
				test_found = test_found || judge_version(evidence).is_bad();
			}
			by_bound += bound_found ? 1 : 0;
			by_test += test_found ? 1 : 0;
		}
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << "good versions found bad, of " << k_good_versions << ": by the bound " << by_bound
			          << ", by the test " << by_test << std::endl;
		}
		CPPUNIT_ASSERT(by_test <= 1);
		CPPUNIT_ASSERT(by_bound > 20 * std::max(1, by_test));
	}

	void routes_beyond_the_maximum_count_together()
	{
		rollout_evidence evidence;
		for (int i = 0; i < 30; ++i)
		{
			++evidence_of(evidence, "r" + std::to_string(i)).target.ended;
		}
		CPPUNIT_ASSERT_EQUAL(k_max_separate_routes + 1, evidence.size());
		CPPUNIT_ASSERT_EQUAL(std::uint32_t(22), evidence.at("").target.ended);
		CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), evidence.at("r3").target.ended);
	}
};

class rollout_plan_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rollout_plan_test);
	CPPUNIT_TEST(order_is_written_as_running_at_once);
	CPPUNIT_TEST(bad_version_is_rolled_back_at_once_and_by_the_backup_a_second_later);
	CPPUNIT_TEST(good_version_completes_in_time);
	CPPUNIT_TEST(version_without_requests_is_rolled_back);
	CPPUNIT_TEST(decided_rollout_stays_decided);
	CPPUNIT_TEST(status_of_an_earlier_order_does_not_count);
	CPPUNIT_TEST_SUITE_END();

protected:
	static rollout_view view_at(ms _passed, decider_rank _rank = decider_rank::first)
	{
		rollout_view view;
		view.passed = _passed;
		view.rank = _rank;
		view.ended_at_target = 100;
		return view;
	}

	void expect_step(const rollout_view& _view, rollout_state _state) const
	{
		const std::optional<rollout_step> step = plan_rollout(m_order, _view);
		CPPUNIT_ASSERT(step && _state == step->state);
	}

	void expect_none(const rollout_view& _view) const
	{
		CPPUNIT_ASSERT(!plan_rollout(m_order, _view));
	}

	void order_is_written_as_running_at_once()
	{
		expect_step(view_at(ms(0)), rollout_state::running);
		expect_none(view_at(ms(0), decider_rank::backup));
		expect_step(view_at(ms(1000), decider_rank::backup), rollout_state::running);
		expect_none(view_at(ms(5000), decider_rank::none));
		rollout_view written_view = view_at(ms(5000));
		written_view.written = rollout_state::running;
		expect_none(written_view);
	}

	void bad_version_is_rolled_back_at_once_and_by_the_backup_a_second_later()
	{
		for (const decider_rank rank : {decider_rank::first, decider_rank::backup})
		{
			rollout_view view = view_at(ms(2000), rank);
			view.written = rollout_state::running;
			view.verdict = {verdict_reason::failures, "r1"};
			if (decider_rank::backup == rank)
			{
				expect_none(view);
				view.bad_for = ms(1000);
			}
			expect_step(view, rollout_state::rolled_back);
		}
	}

	void good_version_completes_in_time()
	{
		expect_step(view_at(ms(7900)), rollout_state::running);
		expect_step(view_at(ms(8000)), rollout_state::complete);
		expect_step(view_at(ms(9000), decider_rank::backup), rollout_state::complete);
	}

	void version_without_requests_is_rolled_back()
	{
		rollout_view view = view_at(ms(9400));
		view.ended_at_target = 0;
		expect_step(view, rollout_state::running);
		view.passed = ms(9500);
		expect_step(view, rollout_state::rolled_back);
	}

	void decided_rollout_stays_decided()
	{
		for (const rollout_state state : {rollout_state::complete, rollout_state::rolled_back})
		{
			rollout_view view = view_at(ms(9900));
			view.written = state;
			expect_none(view);
			view.verdict = {verdict_reason::failures, ""};
			view.bad_for = ms(5000);
			expect_none(view);
		}
	}

	void status_of_an_earlier_order_does_not_count()
	{
		CPPUNIT_ASSERT(is_status_of({m_order.service, m_order.target, rollout_state::running, 8}, m_order));
		CPPUNIT_ASSERT(!is_status_of({m_order.service, m_order.target, rollout_state::complete, 6}, m_order));
		CPPUNIT_ASSERT(
		    !is_status_of({m_order.service, version_name("v1"), rollout_state::complete, 8}, m_order));
	}

	rollout_order m_order{service_name("shop"), version_name("v2"), ms(10000), 7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_share_test);
CPPUNIT_TEST_SUITE_REGISTRATION(rollout_verdict_test);
CPPUNIT_TEST_SUITE_REGISTRATION(rollout_plan_test);
} // namespace larkrack
