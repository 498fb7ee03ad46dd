// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rest periods of a backend server and the ramp-up after them, on a virtual clock.

#include "fixtures.h"

#include "steering/backend_rest_p.h"
#include "steering/backend_state_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
using ms = std::chrono::milliseconds;

class steering_backend_rest_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_backend_rest_test);
	CPPUNIT_TEST(text_of_seconds_is_a_rest_and_any_other_text_is_none);
	CPPUNIT_TEST(rest_above_the_maximum_is_cut_to_an_hour);
	CPPUNIT_TEST(shorter_rest_after_a_longer_one_does_not_end_it);
	CPPUNIT_TEST(ejection_and_rest_at_the_same_time_the_longer_one_holds);
	CPPUNIT_TEST(refused_requests_do_not_eject_a_backend_server);
	CPPUNIT_TEST(first_second_after_a_rest_is_limited_to_the_even_share);
	CPPUNIT_TEST(backend_server_that_never_rested_is_not_limited);
	CPPUNIT_TEST(retry_time_of_a_caller_is_after_the_first_rest);
	CPPUNIT_TEST_SUITE_END();

protected:
	static steady_time at(ms _time)
	{
		return steady_time{} + std::chrono::hours(1) + _time;
	}

	void text_of_seconds_is_a_rest_and_any_other_text_is_none()
	{
		CPPUNIT_ASSERT(ms(3000) == parse_rest("3"));
		CPPUNIT_ASSERT(ms(200) == parse_rest("0.2"));
		CPPUNIT_ASSERT(ms(0) == parse_rest("0"));
		for (const char* invalid :
		    {"", "-1", "nan", "inf", "soon", "3s", "3, 4", "Wed, 21 Oct 2026 07:28:00 GMT"})
		{
			CPPUNIT_ASSERT_MESSAGE(invalid, !parse_rest(invalid));
		}
	}

	void rest_above_the_maximum_is_cut_to_an_hour()
	{
		CPPUNIT_ASSERT(k_max_rest == parse_rest("1000000000"));
	}

	void shorter_rest_after_a_longer_one_does_not_end_it()
	{
		backend_rest rest;
		CPPUNIT_ASSERT(rest.take_report(ms(3000), at(ms(0))));
		CPPUNIT_ASSERT(!rest.take_report(ms(200), at(ms(10))));
		CPPUNIT_ASSERT(rest.resting(at(ms(2999))));
		CPPUNIT_ASSERT(rest.take_report(ms(3000), at(ms(1000))));
		CPPUNIT_ASSERT(rest.resting(at(ms(3999))));
		CPPUNIT_ASSERT(!rest.resting(at(ms(4000))));
	}

	void ejection_and_rest_at_the_same_time_the_longer_one_holds()
	{
		backend_state backend;
		backend.rest.take_report(ms(3000), at(ms(0)));
		backend.on_exchange_end(backend_signal::unreachable, at(ms(0)));
		CPPUNIT_ASSERT(!backend.ejection.ejected(at(ms(1000)))); // The ejection is over.
		CPPUNIT_ASSERT(!backend.usable(at(ms(2999))));
		CPPUNIT_ASSERT(backend.usable(at(ms(3000))));
		backend.rest.take_report(ms(200), at(ms(4000)));
		for (int i = 0; i < 3; ++i)
		{
			backend.on_exchange_end(backend_signal::unreachable, at(ms(4000)));
		}
		CPPUNIT_ASSERT(!backend.rest.resting(at(ms(4300))));
		CPPUNIT_ASSERT(!backend.usable(at(ms(4300)))); // Still ejected.
	}

	void refused_requests_do_not_eject_a_backend_server()
	{
		backend_state backend;
		for (int i = 0; i < 10; ++i)
		{
			backend.on_exchange_end(backend_signal::refused, at(ms(i)));
			backend.on_exchange_end(backend_signal::not_tried, at(ms(i)));
		}
		CPPUNIT_ASSERT(!backend.ejection.ejected(at(ms(10))));
	}

	/// Guards against a thundering herd: a backend server that is empty after a rest gets all requests at
	/// once.
	void first_second_after_a_rest_is_limited_to_the_even_share()
	{
		backend_rest rest;
		rest.take_report(ms(700), at(ms(0)));
		constexpr int k_share = 20; // Requests per second.
		std::vector<ms> sent;
		for (ms now(700); now < ms(1700); now += ms(1))
		{
			if (rest.admits_after_rest(k_share, at(now)))
			{
				sent.push_back(now);
			}
		}
		CPPUNIT_ASSERT(ms(700) == sent.front());
		CPPUNIT_ASSERT(sent.at(1) >= ms(700) + k_probe_time); // Time for the probe to be refused.
		CPPUNIT_ASSERT(sent.size() <= k_share + 1);
		CPPUNIT_ASSERT(sent.size() >= k_share * 8 / 10);
		CPPUNIT_ASSERT(rest.admits_after_rest(k_share, at(ms(1700)))); // The ramp-up is over.
		CPPUNIT_ASSERT(rest.admits_after_rest(k_share, at(ms(1700))));
	}

	void backend_server_that_never_rested_is_not_limited()
	{
		backend_rest rest;
		for (int i = 0; i < 100; ++i)
		{
			CPPUNIT_ASSERT(rest.admits_after_rest(0.0, at(ms(0))));
		}
	}

	void retry_time_of_a_caller_is_after_the_first_rest()
	{
		CPPUNIT_ASSERT(retry_after_rest_s(3.0, k_retry_after_min_s) >= 3.0);
		CPPUNIT_ASSERT(retry_after_rest_s(3.0, k_retry_after_max_s) > 3.0); // Includes jitter.
		CPPUNIT_ASSERT(retry_after_rest_s(3.0, k_retry_after_max_s) <= 3.0 + k_retry_after_max_s);
		CPPUNIT_ASSERT(retry_after_rest_s(-1.0, k_retry_after_min_s) >= k_retry_after_min_s);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_backend_rest_test);
} // namespace larkrack
