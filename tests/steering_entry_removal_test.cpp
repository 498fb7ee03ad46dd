// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Removal of registry entries that vanished, with and without a store outage.

#include "fixtures.h"

#include "steering/entry_removal_p.h"

namespace larkrack
{
class entry_removal_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(entry_removal_test);
	CPPUNIT_TEST(vanished_without_an_outage_is_removed_after_half_a_second);
	CPPUNIT_TEST(vanished_during_an_outage_is_kept_at_most_six_seconds);
	CPPUNIT_TEST(vanished_during_an_outage_is_removed_two_seconds_after_its_end);
	CPPUNIT_TEST(vanished_during_a_long_outage_is_not_kept_longer_after_its_end);
	CPPUNIT_TEST(vanished_long_after_an_outage_is_removed_after_half_a_second);
	CPPUNIT_TEST(vanished_before_an_outage_is_removed_after_half_a_second);
	CPPUNIT_TEST(outage_shorter_than_a_second_changes_nothing);
	CPPUNIT_TEST(outage_reported_twice_starts_with_the_first_failure);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_removal = entry_removal();
	}

protected:
	static steady_time at(int _ms)
	{
		return steady_time(std::chrono::hours(1) + std::chrono::milliseconds(_ms));
	}

	void expect(removal_reason _reason, int _due_ms, int _vanished_ms)
	{
		const removal_decision decision = m_removal.plan(at(_vanished_ms));
		CPPUNIT_ASSERT(_reason == decision.reason);
		CPPUNIT_ASSERT_EQUAL(to_us(at(_due_ms)), to_us(decision.due));
	}

	void vanished_without_an_outage_is_removed_after_half_a_second()
	{
		expect(removal_reason::vanished, 500, 0);
	}

	void vanished_during_an_outage_is_kept_at_most_six_seconds()
	{
		m_removal.on_store_lost(at(0));
		expect(removal_reason::store_unreachable, 7000, 1000);
	}

	void vanished_during_an_outage_is_removed_two_seconds_after_its_end()
	{
		m_removal.on_store_lost(at(0));
		m_removal.on_store_recovered(at(3000));
		expect(removal_reason::store_recovered, 5000, 2500);
	}

	void vanished_during_a_long_outage_is_not_kept_longer_after_its_end()
	{
		m_removal.on_store_lost(at(0));
		m_removal.on_store_recovered(at(60000));
		expect(removal_reason::store_recovered, 7000, 1000);
	}

	void vanished_long_after_an_outage_is_removed_after_half_a_second()
	{
		m_removal.on_store_lost(at(0));
		m_removal.on_store_recovered(at(3000));
		expect(removal_reason::vanished, 9500, 9000);
	}

	void vanished_before_an_outage_is_removed_after_half_a_second()
	{
		m_removal.on_store_lost(at(100));
		expect(removal_reason::vanished, 500, 0);
	}

	void outage_shorter_than_a_second_changes_nothing()
	{
		m_removal.on_store_lost(at(0));
		m_removal.on_store_recovered(at(999));
		expect(removal_reason::vanished, 1500, 1000);
	}

	void outage_reported_twice_starts_with_the_first_failure()
	{
		m_removal.on_store_lost(at(0));
		m_removal.on_store_lost(at(900));
		m_removal.on_store_recovered(at(1500));
		m_removal.on_store_recovered(at(9000));
		expect(removal_reason::store_recovered, 3500, 1000);
	}

	entry_removal m_removal;
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_removal_test);
} // namespace larkrack
