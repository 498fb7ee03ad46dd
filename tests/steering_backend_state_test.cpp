// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Load estimate, outlier ejection and availability of one backend server, and the hashes that all nodes
/// share.

#include "fixtures.h"

#include "steering/backend_state_p.h"
#include "steering/rendezvous_p.h"

namespace larkrack
{
class load_estimate_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(load_estimate_test);
	CPPUNIT_TEST(requests_without_a_report_sum_up_own_and_heartbeat_counts);
	CPPUNIT_TEST(requests_fresh_report_replaces_heartbeat_counts);
	CPPUNIT_TEST(requests_report_older_than_a_heartbeat_is_ignored);
	CPPUNIT_TEST(requests_after_a_refusal_other_nodes_use_all_slots);
	CPPUNIT_TEST(requests_report_below_the_own_count_assigns_none_to_other_nodes);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_load = load_estimate();
		m_load.in_flight = 2;
		m_load.in_flight_elsewhere = 5;
	}

protected:
	void requests_without_a_report_sum_up_own_and_heartbeat_counts()
	{
		CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, m_load.requests(m_now), 1e-9);
	}

	void requests_fresh_report_replaces_heartbeat_counts()
	{
		m_load.on_report({3, 1, 3}, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, m_load.requests(m_now), 1e-9);
		++m_load.in_flight; // Sent after the report, which does not include it.
		CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, m_load.requests(m_now + std::chrono::milliseconds(100)), 1e-9);
	}

	void requests_report_older_than_a_heartbeat_is_ignored()
	{
		m_load.on_report({3, 1, 3}, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, m_load.requests(m_now + std::chrono::milliseconds(101)), 1e-9);
	}

	void requests_after_a_refusal_other_nodes_use_all_slots()
	{
		m_load.on_refused(4, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, m_load.requests(m_now), 1e-9);
	}

	void requests_report_below_the_own_count_assigns_none_to_other_nodes()
	{
		m_load.on_report({1, 0, 3}, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, m_load.requests(m_now), 1e-9);
	}

	load_estimate m_load;
	steady_time m_now{std::chrono::hours(1)};
};

class outlier_ejection_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(outlier_ejection_test);
	CPPUNIT_TEST(lost_responses_eject_with_the_third_in_a_row);
	CPPUNIT_TEST(lost_responses_with_a_served_one_between_do_not_eject);
	CPPUNIT_TEST(unreachable_ejects_at_once_and_returns_by_itself);
	CPPUNIT_TEST(unreachable_again_doubles_the_time_up_to_the_bound);
	CPPUNIT_TEST(refused_is_not_a_failure);
	CPPUNIT_TEST(state_draining_gone_or_evacuated_accepts_nothing);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_ejection = outlier_ejection();
	}

protected:
	ejection_decision end(backend_signal _signal)
	{
		return m_ejection.on_exchange_end(_signal, m_now);
	}

	void lost_responses_eject_with_the_third_in_a_row()
	{
		CPPUNIT_ASSERT(ejection_reason::too_few_lost == end(backend_signal::lost).reason);
		CPPUNIT_ASSERT(ejection_reason::too_few_lost == end(backend_signal::lost).reason);
		CPPUNIT_ASSERT(!m_ejection.ejected(m_now));
		const ejection_decision third = end(backend_signal::lost);
		CPPUNIT_ASSERT(ejection_reason::lost_responses == third.reason);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1200) == third.time);
		CPPUNIT_ASSERT(m_ejection.ejected(m_now));
	}

	void lost_responses_with_a_served_one_between_do_not_eject()
	{
		end(backend_signal::lost);
		end(backend_signal::lost);
		end(backend_signal::answered);
		end(backend_signal::lost);
		CPPUNIT_ASSERT(!m_ejection.ejected(m_now));
	}

	void unreachable_ejects_at_once_and_returns_by_itself()
	{
		const ejection_decision first = end(backend_signal::unreachable);
		CPPUNIT_ASSERT(ejection_reason::unreachable == first.reason);
		CPPUNIT_ASSERT(std::chrono::milliseconds(300) == first.time);
		CPPUNIT_ASSERT(m_ejection.ejected(m_now + std::chrono::milliseconds(299)));
		CPPUNIT_ASSERT(!m_ejection.ejected(m_now + std::chrono::milliseconds(300)));
	}

	void unreachable_again_doubles_the_time_up_to_the_bound()
	{
		for (const int ms : {300, 600, 1200, 2400, 3000, 3000, 3000})
		{
			CPPUNIT_ASSERT(std::chrono::milliseconds(ms) == end(backend_signal::unreachable).time);
		}
	}

	void refused_is_not_a_failure()
	{
		for (int i = 0; i < 10; ++i)
		{
			CPPUNIT_ASSERT(ejection_reason::healthy == end(backend_signal::refused).reason);
		}
		CPPUNIT_ASSERT(!m_ejection.ejected(m_now));
	}

	void state_draining_gone_or_evacuated_accepts_nothing()
	{
		backend_state state;
		CPPUNIT_ASSERT(state.accepts_new_requests() && state.usable(m_now));
		for (bool* flag : {&state.gone, &state.evacuated, &state.registered.draining})
		{
			*flag = true;
			CPPUNIT_ASSERT(!state.accepts_new_requests() && !state.usable(m_now));
			*flag = false;
		}
		state.on_exchange_end(backend_signal::unreachable, m_now);
		CPPUNIT_ASSERT(state.accepts_new_requests() && !state.usable(m_now));
	}

	outlier_ejection m_ejection;
	steady_time m_now{std::chrono::hours(1)};
};

/// Nodes of two versions run side by side during a rollout and must compute the same hashes.
class rendezvous_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rendezvous_test);
	CPPUNIT_TEST(hashes_are_the_same_as_in_all_earlier_versions);
	CPPUNIT_TEST(unit_interval_covers_0_up_to_1);
	CPPUNIT_TEST_SUITE_END();

protected:
	void hashes_are_the_same_as_in_all_earlier_versions()
	{
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(5894824055016522919U), rendezvous_weight("n1", 0));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(4917339357091533198U), rendezvous_weight("n1", 7));
		CPPUNIT_ASSERT_EQUAL(std::uint32_t(547394081U), short_hash("b1"));
	}

	void unit_interval_covers_0_up_to_1()
	{
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, unit_interval(0), 1e-12);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, unit_interval(1ULL << 63U), 1e-12);
		CPPUNIT_ASSERT(unit_interval(UINT64_MAX) < 1.0);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_estimate_test);
CPPUNIT_TEST_SUITE_REGISTRATION(outlier_ejection_test);
CPPUNIT_TEST_SUITE_REGISTRATION(rendezvous_test);
} // namespace larkrack
