// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of config_catch_up: when a node that is behind reads the store itself.

#include "fixtures.h"

#include "steering/config_catch_up_p.h"

namespace larkrack
{
class steering_config_catch_up_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_config_catch_up_test);
	CPPUNIT_TEST(node_behind_reads_the_store_in_time_whatever_the_others_do);
	CPPUNIT_TEST(node_behind_whose_peer_has_no_configuration_reads_at_once);
	CPPUNIT_TEST(node_up_to_date_never_reads);
	CPPUNIT_TEST(node_without_a_configuration_leaves_it_to_its_copy);
	CPPUNIT_TEST(node_whose_copy_is_outdated_reads_the_store_in_time);
	CPPUNIT_TEST(failed_reads_are_repeated_within_a_second);
	CPPUNIT_TEST(version_that_the_store_lacks_is_read_for_once);
	CPPUNIT_TEST(version_told_during_a_read_is_read_for_again);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against a configuration that is known to exist and fetched from nobody.
	void node_behind_reads_the_store_in_time_whatever_the_others_do()
	{
		m_catch_up.update(4, 5, m_now);
		CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
		m_now += k_store_read_delay;
		m_catch_up.update(4, 5, m_now);
		CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now));
		CPPUNIT_ASSERT(k_store_read_delay == m_catch_up.behind_for(m_now));
	}

	/// Guards large configurations, which nodes do not send each other.
	void node_behind_whose_peer_has_no_configuration_reads_at_once()
	{
		m_catch_up.update(4, 5, m_now);
		m_catch_up.on_peer_without_config(m_now);
		CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now));
	}

	/// Guards the calls to the store in calm.
	void node_up_to_date_never_reads()
	{
		m_catch_up.update(4, 5, m_now);
		m_now += std::chrono::milliseconds(60);
		m_catch_up.update(5, 5, m_now);
		m_now += std::chrono::hours(1);
		m_catch_up.update(5, 5, m_now);
		m_catch_up.on_peer_without_config(m_now);
		CPPUNIT_ASSERT(!m_catch_up.behind());
		CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
	}

	/// Guards the calls to the store at a common start.
	void node_without_a_configuration_leaves_it_to_its_copy()
	{
		m_catch_up.update(0, 5, m_now);
		m_now += std::chrono::seconds(5);
		CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
		m_catch_up.on_peer_without_config(m_now);
		CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now));
	}

	/// Guards a node whose copy holds an older configuration.
	void node_whose_copy_is_outdated_reads_the_store_in_time()
	{
		m_catch_up.update(0, 5, m_now);
		m_now += std::chrono::seconds(5);
		m_catch_up.update(4, 5, m_now);
		CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
		CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now + k_store_read_delay));
	}

	/// Guards the time of a node that the store turns away for a while.
	void failed_reads_are_repeated_within_a_second()
	{
		m_catch_up.update(4, 5, m_now);
		for (int i = 0; i < 20; ++i)
		{
			m_now += std::chrono::seconds(1);
			CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now));
			read(false, 4);
			CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
			CPPUNIT_ASSERT(m_catch_up.store_failed());
		}
		m_now += std::chrono::seconds(1);
		read(true, 5);
		CPPUNIT_ASSERT(!m_catch_up.behind());
	}

	/// Guards the store against a node that tells of a version that does not exist.
	void version_that_the_store_lacks_is_read_for_once()
	{
		m_catch_up.update(4, 99, m_now);
		m_now += std::chrono::seconds(1);
		read(true, 4);
		m_catch_up.update(4, 99, m_now);
		m_now += std::chrono::seconds(1);
		CPPUNIT_ASSERT(!m_catch_up.store_read_due(m_now));
		m_catch_up.update(4, 100, m_now);
		CPPUNIT_ASSERT(m_catch_up.behind());
	}

	/// Guards against an answer that is older than what was told meanwhile.
	void version_told_during_a_read_is_read_for_again()
	{
		m_catch_up.update(4, 5, m_now);
		m_now += std::chrono::seconds(1);
		m_catch_up.on_store_read_begins();
		m_catch_up.update(4, 6, m_now);
		m_catch_up.on_store_read(true, 5, m_now, m_random);
		CPPUNIT_ASSERT(m_catch_up.behind());
		m_now += k_store_read_delay;
		CPPUNIT_ASSERT(m_catch_up.store_read_due(m_now));
	}

	void read(bool _answered, std::uint64_t _own)
	{
		m_catch_up.on_store_read_begins();
		m_catch_up.on_store_read(_answered, _own, m_now, m_random);
	}

	config_catch_up m_catch_up;
	steady_time m_now{std::chrono::hours(1)};
	std::minstd_rand m_random;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_config_catch_up_test);
} // namespace larkrack
