// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "fixtures.h"

#include "steering/priority_admission_p.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

const region_name k_home("east");
constexpr ms k_stated{3000};
} // namespace

/// The composition of load level, fair shares, wait forecast and retry schedule; each has tests of its own.
class steering_priority_admission_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_priority_admission_test);
	CPPUNIT_TEST(request_without_load_is_admitted);
	CPPUNIT_TEST(least_urgent_request_when_other_nodes_report_load_is_shed);
	CPPUNIT_TEST(returning_caller_when_other_nodes_report_load_is_not_shed_again);
	CPPUNIT_TEST(request_behind_more_than_can_be_in_time_is_refused_at_once);
	CPPUNIT_TEST(waiting_requests_are_tried_in_order_of_urgency);
	CPPUNIT_TEST(request_that_ended_in_any_way_leaves_no_state);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_now = steady_time{} + ms(1000);
		m_admission = std::make_unique<priority_admission>(k_home, 7, fair_shares::weight_source());
		m_conditions.rooms[k_home] = {10.0, 0.0, 10.0, 0.0};
		m_conditions.service_time_s = 0.2;
		tick();
	}

protected:
	admission_request make_request(int _priority, ms _stated = k_stated)
	{
		admission_request request;
		request.number.value = ++m_last_number;
		request.rank.of_route = _priority;
		request.group.value = 1;
		request.region = k_home;
		request.objective = ms(500);
		request.stated_timeout = _stated;
		request.arrived_at = m_now;
		request.deadline = m_now + _stated;
		return request;
	}
	void tick()
	{
		m_now += ms(100);
		m_admission->tick(m_conditions, m_now);
	}
	/// Lets other nodes report a load level that sheds a third of the demand.
	void report_load()
	{
		admission_report report;
		report.level[k_home] = 0.33;
		report.sender_region = k_home;
		m_conditions.others.assign(20, report);
		m_conditions.rooms[k_home].busy = 10.0;
		for (int i = 0; i < 30; ++i)
		{
			learn_requests();
			tick();
		}
	}
	/// Lets the admission learn the priorities of the demand and the usual timeout.
	void learn_requests()
	{
		for (int i = 0; i < 10; ++i)
		{
			const admission_request request = make_request(i % 2);
			m_admission->on_arrival(request, m_now);
			m_admission->on_end(request, {}, m_now);
		}
	}
	/// @param[in] _used_up Time since the first attempt of the first caller, 1 ms more for each further one.
	/// @returns Number of requests that are admitted, of 100.
	int admitted_of_hundred(int _priority, ms _used_up = ms(0))
	{
		int admitted = 0;
		for (int i = 0; i < 100; ++i)
		{
			const ms used_up = _used_up.count() > 0 ? _used_up + ms(i) : _used_up;
			const admission_request request = make_request(_priority, k_stated - used_up);
			const admission_decision decision = m_admission->on_arrival(request, m_now);
			admitted += admission_verdict::admitted == decision.verdict ? 1 : 0;
			m_admission->on_end(request, {}, m_now);
		}
		return admitted;
	}

	void request_without_load_is_admitted()
	{
		CPPUNIT_ASSERT_EQUAL(100, admitted_of_hundred(1));
	}

	/// Guards against urgent requests that are shed as often as others.
	void least_urgent_request_when_other_nodes_report_load_is_shed()
	{
		report_load();
		CPPUNIT_ASSERT_EQUAL(100, admitted_of_hundred(0));
		CPPUNIT_ASSERT(admitted_of_hundred(1) < 50);
		admission_decision decision;
		do
		{
			decision = m_admission->on_arrival(make_request(1), m_now);
		} while (admission_verdict::refused != decision.verdict);
		CPPUNIT_ASSERT(reason::shed_by_priority == decision.why);
		CPPUNIT_ASSERT(decision.retry_after_s > 0.0);
		CPPUNIT_ASSERT(decision.level > 0.0);
	}

	/// Guards against a caller that is told to return and refused for the same reason.
	void returning_caller_when_other_nodes_report_load_is_not_shed_again()
	{
		report_load();
		CPPUNIT_ASSERT_EQUAL(100, admitted_of_hundred(1, ms(900)));
	}

	/// Guards against requests that are held although their objective passes before a slot is free.
	void request_behind_more_than_can_be_in_time_is_refused_at_once()
	{
		admission_decision decision;
		int waiting = 0;
		do
		{
			const admission_request request = make_request(1);
			m_admission->on_arrival(request, m_now);
			decision = m_admission->on_no_slot(request, m_now);
			++waiting;
		} while (admission_verdict::waits == decision.verdict && waiting < 1000);
		CPPUNIT_ASSERT(admission_verdict::refused == decision.verdict);
		CPPUNIT_ASSERT(reason::no_headroom == decision.why);
		// Ten slots free 50 requests a second, and a request may wait for 300 ms.
		CPPUNIT_ASSERT(waiting <= 16);
	}

	void waiting_requests_are_tried_in_order_of_urgency()
	{
		const admission_request calm = make_request(1);
		const admission_request urgent = make_request(0);
		for (const admission_request& request : {calm, urgent})
		{
			m_admission->on_arrival(request, m_now);
			m_admission->on_no_slot(request, m_now);
		}
		CPPUNIT_ASSERT(urgent.number == m_admission->next(m_now));
		m_admission->remove(urgent);
		CPPUNIT_ASSERT(calm.number == m_admission->next(m_now));
		m_admission->remove(calm);
		CPPUNIT_ASSERT(!m_admission->next(m_now).any());
	}

	/// Guards against memory that grows with the requests served.
	void request_that_ended_in_any_way_leaves_no_state()
	{
		const admission_request waited = make_request(1);
		m_admission->on_arrival(waited, m_now);
		m_admission->on_no_slot(waited, m_now);
		m_admission->on_end(waited, {}, m_now);
		const admission_request sent = make_request(0);
		m_admission->on_arrival(sent, m_now);
		m_admission->on_sent(sent, m_now);
		m_admission->on_end(sent, {true, true, false, 0.2}, m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission->tracked());
		CPPUNIT_ASSERT(!m_admission->next(m_now).any());
	}

	steady_time m_now{};
	std::uint64_t m_last_number = 0;
	admission_conditions m_conditions;
	std::unique_ptr<priority_admission> m_admission;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_priority_admission_test);
} // namespace larkrack
