// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Limits that backend servers report: which header values are accepted, and which of several reports holds.

#include "fixtures.h"

#include "steering/backend_limit_p.h"

namespace larkrack
{
class steering_backend_limit_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_backend_limit_test);
	CPPUNIT_TEST(text_of_a_decimal_number_is_a_limit);
	CPPUNIT_TEST(text_that_is_not_a_number_is_ignored);
	CPPUNIT_TEST(number_out_of_range_becomes_the_nearest_limit_that_is_enforced);
	CPPUNIT_TEST(newest_report_holds_in_any_order_of_arrival);
	CPPUNIT_TEST_SUITE_END();

protected:
	static std::optional<limit_report> parse(const char* _text)
	{
		return parse_limit(_text, k_now);
	}

	void text_of_a_decimal_number_is_a_limit()
	{
		CPPUNIT_ASSERT_EQUAL(2.9, *parse("2.9")->per_s);
		CPPUNIT_ASSERT_EQUAL(5.0, *parse("5")->per_s);
		CPPUNIT_ASSERT(k_now == parse("5")->report_time);
	}

	void text_that_is_not_a_number_is_ignored()
	{
		for (const char* text : {"", "-1", "nan", "inf", "2.9 a second", "0x10", " 5", "5,6"})
		{
			CPPUNIT_ASSERT_MESSAGE(text, !parse(text));
		}
	}

	void number_out_of_range_becomes_the_nearest_limit_that_is_enforced()
	{
		CPPUNIT_ASSERT_EQUAL(k_min_limit_per_s, *parse("0")->per_s);
		CPPUNIT_ASSERT_EQUAL(k_min_limit_per_s, *parse("0.0000001")->per_s);
		CPPUNIT_ASSERT(!parse("10000000000")->per_s);
	}

	void newest_report_holds_in_any_order_of_arrival()
	{
		reported_limit limit;
		CPPUNIT_ASSERT(!limit.limited());
		CPPUNIT_ASSERT(limit.take_report({5.0, k_now}));
		CPPUNIT_ASSERT(!limit.take_report({7.0, k_now - std::chrono::milliseconds(1)}));
		CPPUNIT_ASSERT_EQUAL(5.0, *limit.report().per_s);
		CPPUNIT_ASSERT(!limit.take_report({5.0, k_now + std::chrono::milliseconds(1)}));
		CPPUNIT_ASSERT(limit.take_report({std::nullopt, k_now + std::chrono::milliseconds(2)}));
		CPPUNIT_ASSERT(!limit.limited());
	}

	static constexpr steady_time k_now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_backend_limit_test);
} // namespace larkrack
