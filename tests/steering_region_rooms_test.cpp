// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of region_rooms: which backend servers count as room, and this node's portion.

#include "fixtures.h"

#include "steering/region_rooms_p.h"

namespace larkrack
{
class steering_region_rooms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_region_rooms_test);
	CPPUNIT_TEST(rooms_are_summed_by_region);
	CPPUNIT_TEST(rooms_exclude_unusable_and_cold_backend_servers);
	CPPUNIT_TEST(room_of_this_node_is_its_portion);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_servers.assign(4, backend_state());
		m_backends.clear();
		for (std::size_t i = 0; i < m_servers.size(); ++i)
		{
			m_servers[i].registered.slots = 6;
			m_servers[i].region = i < 3 ? m_east : m_west;
			m_servers[i].load.in_flight = 2;
			m_servers[i].load.in_flight_elsewhere = 3;
			m_backends.push_back(&m_servers[i]);
		}
	}

protected:
	void rooms_are_summed_by_region()
	{
		const auto rooms = region_rooms(m_backends, {}, m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rooms.size());
		CPPUNIT_ASSERT_EQUAL(18.0, rooms.at(m_east).slots);
		CPPUNIT_ASSERT_EQUAL(15.0, rooms.at(m_east).busy);
		CPPUNIT_ASSERT_EQUAL(6.0, rooms.at(m_east).in_flight);
		CPPUNIT_ASSERT_EQUAL(6.0, rooms.at(m_west).slots);
	}

	/// A level computed with their slots would count on room that requests can not use.
	void rooms_exclude_unusable_and_cold_backend_servers()
	{
		m_servers[0].registered.draining = true;
		m_servers[1].cold_until = m_now + std::chrono::seconds(1);
		m_servers[3].region = region_name();
		const auto rooms = region_rooms(m_backends, {}, m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rooms.size());
		CPPUNIT_ASSERT_EQUAL(6.0, rooms.at(m_east).slots);
		CPPUNIT_ASSERT_EQUAL(5.0, rooms.at(m_east).busy);
	}

	void room_of_this_node_is_its_portion()
	{
		const auto rooms = region_rooms(m_backends, {{m_east, {0.25, 0.5}}}, m_now);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(4.5, rooms.at(m_east).own_slots, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, rooms.at(m_west).own_slots, 1e-9);
	}

private:
	const region_name m_east{"east"};
	const region_name m_west{"west"};
	const steady_time m_now{std::chrono::seconds(100)};
	std::vector<backend_state> m_servers;
	std::vector<backend_state*> m_backends;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_region_rooms_test);
} // namespace larkrack
