// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of load_level_log: which changes of a load level are logged.

#include "fixtures.h"

#include "steering/load_level_log_p.h"

namespace larkrack
{
class steering_load_level_log_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_load_level_log_test);
	CPPUNIT_TEST(level_in_another_band_is_logged);
	CPPUNIT_TEST(level_at_the_bound_of_a_band_is_logged_once);
	CPPUNIT_TEST(region_that_is_left_out_has_level_0);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// @returns Whether the level of a region was logged.
	bool logged(double _level)
	{
		const auto changes = m_log.update({{m_east, _level}});
		CPPUNIT_ASSERT(changes.empty() || (1 == changes.size() && _level == changes[0].second));
		return !changes.empty();
	}

	void level_in_another_band_is_logged()
	{
		CPPUNIT_ASSERT(!logged(0.0));
		CPPUNIT_ASSERT(logged(0.1));
		CPPUNIT_ASSERT(!logged(0.25));
		CPPUNIT_ASSERT(logged(0.4));
		CPPUNIT_ASSERT(logged(1.0));
		CPPUNIT_ASSERT(logged(0.0));
	}

	/// Else each tick of an overload would write a line.
	void level_at_the_bound_of_a_band_is_logged_once()
	{
		int lines = 0;
		for (int tick = 0; tick < 100; ++tick)
		{
			lines += logged(0 == tick % 2 ? 0.49 : 0.51) ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(1, lines);
	}

	void region_that_is_left_out_has_level_0()
	{
		m_log.update({{m_east, 0.6}, {m_west, 0.6}});
		const auto changes = m_log.update({{m_west, 0.6}});
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
		CPPUNIT_ASSERT(m_east == changes[0].first);
		CPPUNIT_ASSERT_EQUAL(0.0, changes[0].second);
		CPPUNIT_ASSERT_EQUAL(0.0, m_log.levels().at(m_east));
		CPPUNIT_ASSERT_EQUAL(0.6, m_log.levels().at(m_west));
	}

private:
	const region_name m_east{"east"};
	const region_name m_west{"west"};
	load_level_log m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_load_level_log_test);
} // namespace larkrack
