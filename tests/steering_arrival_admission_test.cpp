// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of arrival_admission: order, length of the wait, and the draws of the random generator, which decide
/// whether a replayed day stays the same to the digit.

#include "fixtures.h"

#include "steering/arrival_admission_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
class steering_arrival_admission_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_arrival_admission_test);
	CPPUNIT_TEST(request_is_always_admitted_on_arrival);
	CPPUNIT_TEST(request_without_slot_waits_for_a_tenth_of_its_objective);
	CPPUNIT_TEST(waiting_requests_are_ordered_by_route_priority_then_by_arrival);
	CPPUNIT_TEST(priority_of_the_customer_is_ignored);
	CPPUNIT_TEST(removed_request_is_never_next);
	CPPUNIT_TEST(refusal_draws_one_retry_time_and_nothing_else_draws);
	CPPUNIT_TEST_SUITE_END();

protected:
	static admission_request request(std::uint64_t _number, int _of_route = 0, int _of_customer = 0)
	{
		admission_request made;
		made.number.value = _number;
		made.rank = {_of_customer, _of_route};
		made.objective = std::chrono::milliseconds(400);
		return made;
	}

	void request_is_always_admitted_on_arrival()
	{
		for (std::uint64_t number = 1; number < 100; ++number)
		{
			const admission_decision decision = m_admission.on_arrival(request(number, 9, 9), m_now);
			CPPUNIT_ASSERT(admission_verdict::admitted == decision.verdict);
			m_admission.on_no_slot(request(number, 9, 9), m_now);
		}
	}

	void request_without_slot_waits_for_a_tenth_of_its_objective()
	{
		const admission_decision decision = m_admission.on_no_slot(request(1), m_now);
		CPPUNIT_ASSERT(admission_verdict::waits == decision.verdict);
		CPPUNIT_ASSERT(m_now + std::chrono::milliseconds(40) == decision.wait_until);
		admission_request other = request(2);
		other.objective = std::chrono::milliseconds(0);
		CPPUNIT_ASSERT(m_now + k_default_wait == m_admission.on_no_slot(other, m_now).wait_until);
	}

	void waiting_requests_are_ordered_by_route_priority_then_by_arrival()
	{
		CPPUNIT_ASSERT(!m_admission.next(m_now).any());
		const std::vector<admission_request> requests{
		    request(1, 2), request(2, 0), request(3, 0), request(4, 1)};
		for (const admission_request& one : requests)
		{
			m_admission.on_no_slot(one, m_now);
		}
		for (const std::uint64_t expected : {2, 3, 4, 1})
		{
			CPPUNIT_ASSERT_EQUAL(expected, m_admission.next(m_now).value);
			m_admission.remove(requests[expected - 1]);
		}
		CPPUNIT_ASSERT(!m_admission.next(m_now).any());
	}

	void priority_of_the_customer_is_ignored()
	{
		m_admission.on_no_slot(request(1, 1, 5), m_now);
		m_admission.on_no_slot(request(2, 1, 0), m_now);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_admission.next(m_now).value);
	}

	void removed_request_is_never_next()
	{
		m_admission.on_no_slot(request(1), m_now);
		m_admission.on_no_slot(request(2), m_now);
		m_admission.remove(request(1));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_admission.next(m_now).value);
		m_admission.remove(request(3)); // Does not wait.
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_admission.next(m_now).value);
	}

	void refusal_draws_one_retry_time_and_nothing_else_draws()
	{
		std::minstd_rand expected(7);
		m_admission.on_arrival(request(1), m_now);
		m_admission.on_no_slot(request(1), m_now);
		m_admission.on_sent(request(1), m_now);
		m_admission.on_end(request(1), {}, m_now);
		m_admission.tick({}, m_now);
		m_admission.remove(request(1));
		CPPUNIT_ASSERT(expected == m_random);
		const admission_decision decision = m_admission.on_wait_over(request(1), m_now);
		CPPUNIT_ASSERT(admission_verdict::refused == decision.verdict);
		CPPUNIT_ASSERT(reason::no_headroom == decision.why);
		CPPUNIT_ASSERT_EQUAL(retry_after_s(expected), decision.retry_after_s);
		CPPUNIT_ASSERT(expected == m_random);
		CPPUNIT_ASSERT(!m_admission.uses_conditions());
	}

private:
	std::minstd_rand m_random{7};
	arrival_admission m_admission{m_random};
	const steady_time m_now{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_arrival_admission_test);
} // namespace larkrack
