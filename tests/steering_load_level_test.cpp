// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the load level, of the transport of admission reports in heartbeats, and of the reports of other
/// nodes.

#include "fixtures.h"

#include "entry_node/fleet_p.h"
#include "entry_node/heartbeat_p.h"
#include "steering/fleet_rates_p.h"
#include "steering/load_level_p.h"
#include "steering/report_transport_p.h"

#include <cstdlib>
#include <iostream>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

const service_name k_shop("shop");
const region_name k_east("east");
const region_name k_west("west");
constexpr ms k_tick{100};

admission_request request_of(int _priority, std::uint64_t _number)
{
	admission_request request;
	request.number.value = _number;
	request.rank.of_route = _priority;
	request.region = k_east;
	return request;
}

admission_conditions room(double _slots, double _busy)
{
	admission_conditions conditions;
	conditions.rooms[k_east].slots = _slots;
	conditions.rooms[k_east].busy = _busy;
	return conditions;
}

admission_report report_of(double _level, double _freshness = 1.0)
{
	admission_report report;
	report.level[k_east] = _level;
	report.freshness = _freshness;
	return report;
}
} // namespace

class load_level_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(load_level_test);
	CPPUNIT_TEST(level_without_load_is_0_and_admits_all);
	CPPUNIT_TEST(level_of_a_node_alone_rises_when_requests_get_no_slot);
	CPPUNIT_TEST(level_with_servers_that_reject_all_stays_below_1);
	CPPUNIT_TEST(level_with_requests_that_wait_and_get_a_slot_stays_0);
	CPPUNIT_TEST(level_in_overload_with_free_room_afterwards_falls_to_0_within_two_seconds);
	CPPUNIT_TEST(level_at_its_highest_with_free_room_falls_within_two_seconds);
	CPPUNIT_TEST(level_without_attempts_falls);
	CPPUNIT_TEST(level_follows_the_fresh_reports_of_others_and_not_the_old_ones);
	CPPUNIT_TEST(level_of_a_region_without_room_is_forgotten);
	CPPUNIT_TEST(level_admits_the_most_urgent_first_and_a_class_in_part);
	CPPUNIT_TEST(level_gives_the_same_request_the_same_answer);
	CPPUNIT_TEST(customer_priority_comes_before_the_priority_of_the_route);
	CPPUNIT_TEST(many_urgencies_are_counted_in_bounded_memory_and_keep_their_order);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_level = {};
		m_now = steady_time{} + std::chrono::seconds(100);
	}

protected:
	void tick(const admission_conditions& _conditions, int _times = 1)
	{
		for (int i = 0; i < _times; ++i)
		{
			m_now += k_tick;
			m_level.tick(_conditions, m_now);
		}
	}
	/// Lets some ticks pass in which requests meet the same result.
	void overload(const admission_conditions& _conditions, slot_result _result, int _ticks)
	{
		for (int i = 0; i < _ticks; ++i)
		{
			for (int j = 0; j < 10; ++j)
			{
				if (slot_result::rejected == _result)
				{
					m_level.on_attempt(k_east, slot_result::taken_at_once);
				}
				m_level.on_attempt(k_east, _result);
			}
			tick(_conditions);
		}
	}
	/// Makes the same number of requests of each of some priorities known.
	void learn(int _priorities)
	{
		for (std::uint64_t i = 0; i < 300; ++i)
		{
			m_level.on_request(request_of(static_cast<int>(i) % _priorities, i));
		}
	}
	/// @returns Part of the requests of a priority that is admitted.
	double admitted(int _priority) const
	{
		constexpr int k_requests = 2000;
		int count = 0;
		for (std::uint64_t i = 0; i < k_requests; ++i)
		{
			count += m_level.admits(request_of(_priority, 1000 + i), m_now) ? 1 : 0;
		}
		return static_cast<double>(count) / k_requests;
	}

	void level_without_load_is_0_and_admits_all()
	{
		learn(3);
		overload(room(10.0, 5.0), slot_result::taken_at_once, 50);
		CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
		CPPUNIT_ASSERT(m_level.reported_levels().empty());
		CPPUNIT_ASSERT_EQUAL(1.0, admitted(2));
		CPPUNIT_ASSERT(m_level.admits(request_of(7, 1), m_now));
	}

	/// Guards against a node that hears no other node and admits everything.
	void level_of_a_node_alone_rises_when_requests_get_no_slot()
	{
		learn(3);
		overload(room(10.0, 10.0), slot_result::waits, 5);
		CPPUNIT_ASSERT(m_level.level(k_east) > 0.3);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(m_level.level(k_east), m_level.reported_levels().at(k_east), 1e-9);
	}

	void level_with_servers_that_reject_all_stays_below_1()
	{
		learn(1);
		overload(room(10.0, 10.0), slot_result::rejected, 300);
		CPPUNIT_ASSERT(m_level.level(k_east) > 0.9);
		CPPUNIT_ASSERT(m_level.level(k_east) < 1.0);
		CPPUNIT_ASSERT(admitted(0) > 0.0);
	}

	/// Guards against a level that sheds short bursts, which the queue absorbs.
	void level_with_requests_that_wait_and_get_a_slot_stays_0()
	{
		for (int i = 0; i < 30; ++i)
		{
			for (int j = 0; j < 5; ++j)
			{
				m_level.on_attempt(k_east, slot_result::waits);
				m_level.on_attempt(k_east, slot_result::taken_after_wait);
			}
			tick(room(10.0, 10.0));
			CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
		}
	}

	/// Guards against a level that keeps slots free after the load has gone.
	void level_in_overload_with_free_room_afterwards_falls_to_0_within_two_seconds()
	{
		overload(room(10.0, 10.0), slot_result::waits, 2);
		CPPUNIT_ASSERT(m_level.level(k_east) > 0.4);
		overload(room(10.0, 6.0), slot_result::taken_at_once, 20);
		CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
	}

	void level_at_its_highest_with_free_room_falls_within_two_seconds()
	{
		overload(room(10.0, 10.0), slot_result::waits, 100);
		CPPUNIT_ASSERT(m_level.level(k_east) > 0.9);
		overload(room(10.0, 1.0), slot_result::taken_at_once, 20);
		CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
	}

	/// Guards against a level that stays when nothing is attempted and the estimated load is wrong.
	void level_without_attempts_falls()
	{
		overload(room(10.0, 10.0), slot_result::waits, 4);
		const double before = m_level.level(k_east);
		tick(room(10.0, 10.0), 600);
		CPPUNIT_ASSERT(before > 0.3);
		CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
	}

	/// Guards against the levels of nodes that are gone.
	void level_follows_the_fresh_reports_of_others_and_not_the_old_ones()
	{
		admission_conditions conditions = room(10.0, 10.0);
		conditions.others = {report_of(0.5), report_of(0.7), report_of(0.0, 0.0)};
		tick(conditions, 20);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, m_level.level(k_east), 0.02);
		conditions.others = {report_of(0.9, 0.0)};
		tick(conditions, 1);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, m_level.level(k_east), 0.05);
		admission_report elsewhere;
		elsewhere.level[k_west] = 0.0;
		conditions.others = {elsewhere};
		tick(conditions, 1);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, m_level.level(k_east), 0.05);
	}

	void level_of_a_region_without_room_is_forgotten()
	{
		overload(room(10.0, 10.0), slot_result::waits, 4);
		tick({});
		CPPUNIT_ASSERT_EQUAL(0.0, m_level.level(k_east));
		CPPUNIT_ASSERT(m_level.reported_levels().empty());
	}

	void level_admits_the_most_urgent_first_and_a_class_in_part()
	{
		learn(3);
		admission_conditions conditions = room(10.0, 10.0);
		conditions.others.assign(200, report_of(0.5));
		tick(conditions, 50);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, m_level.level(k_east), 0.01);
		CPPUNIT_ASSERT_EQUAL(1.0, admitted(0));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, admitted(1), 0.06);
		CPPUNIT_ASSERT_EQUAL(0.0, admitted(2));
	}

	void level_gives_the_same_request_the_same_answer()
	{
		learn(2);
		admission_conditions conditions = room(10.0, 10.0);
		conditions.others.assign(200, report_of(0.75));
		tick(conditions, 50);
		for (std::uint64_t i = 0; i < 100; ++i)
		{
			const bool first = m_level.admits(request_of(0, i), m_now);
			CPPUNIT_ASSERT_EQUAL(first, m_level.admits(request_of(0, i), m_now));
		}
	}

	void customer_priority_comes_before_the_priority_of_the_route()
	{
		urgency_shares shares;
		for (int i = 0; i < 50; ++i)
		{
			shares.count({0, 2});
			shares.count({1, 0});
		}
		CPPUNIT_ASSERT(shares.position({0, 2}, {1}) < 0.5);
		CPPUNIT_ASSERT(shares.position({1, 0}, {1}) >= 0.5);
	}

	void many_urgencies_are_counted_in_bounded_memory_and_keep_their_order()
	{
		urgency_shares shares;
		for (int i = 0; i < 20000; ++i)
		{
			shares.count({i % 1000, 0});
		}
		CPPUNIT_ASSERT(shares.urgencies() <= 64);
		double last = 0.0;
		for (int i = 0; i < 1000; ++i)
		{
			const double position = shares.position({i, 0}, {0});
			CPPUNIT_ASSERT(position >= last - 1e-9 && position <= 1.0);
			last = position;
		}
	}

private:
	load_level m_level;
	steady_time m_now{};
};

class report_transport_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(report_transport_test);
	CPPUNIT_TEST(report_without_load_adds_nothing_to_a_heartbeat);
	CPPUNIT_TEST(report_survives_encoding_and_decoding);
	CPPUNIT_TEST(report_of_20000_groups_lists_8_and_the_sum_of_the_others);
	CPPUNIT_TEST(report_with_invalid_groups_and_levels_is_read_without_them);
	CPPUNIT_TEST(heartbeat_with_levels_has_the_known_bytes_and_18_fields);
	CPPUNIT_TEST(heartbeat_of_a_fleet_of_300_grows_by_a_tenth_at_most_by_levels);
	CPPUNIT_TEST(heartbeats_of_a_fleet_of_300_grow_by_a_tenth_at_most_by_levels_of_three_regions);
	CPPUNIT_TEST(rates_with_reports_count_neither_as_demand_nor_as_slots);
	CPPUNIT_TEST(reports_of_others_lose_freshness_with_age_and_end_with_their_nodes);
	CPPUNIT_TEST(service_without_reports_has_none);
	CPPUNIT_TEST_SUITE_END();

protected:
	static admission_report loaded()
	{
		admission_report report;
		report.level = {{k_east, 0.5}, {k_west, 0.0001}};
		report.running = {{group_id{0xfeedbeef12345678}, 3.0}, {group_id{7}, 1.0}};
		report.running_rest = 12.0;
		return report;
	}

	static node_heartbeat sender(const std::string& _name)
	{
		node_heartbeat one;
		one.node = node_name(_name);
		one.domain = domain_name("east-a");
		one.region = k_east;
		one.ip = "10.0.0." + _name.substr(1);
		one.incarnation = 1;
		one.state = node_state::ready;
		one.requests_per_s = {{k_shop, 10.0}};
		one.sent_per_s = {{k_shop, {{k_east, 8.0}, {k_west, 2.0}}}};
		return one;
	}

	static node_heartbeat sent_and_received(const node_heartbeat& _heartbeat)
	{
		const std::vector<std::uint8_t> bytes = encode(_heartbeat);
		result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), bytes.size());
		CPPUNIT_ASSERT(nullptr != value_of(decoded));
		return *value_of(decoded);
	}

	void report_without_load_adds_nothing_to_a_heartbeat()
	{
		node_heartbeat one = sender("n1");
		const std::vector<std::uint8_t> before = encode(one);
		admission_report report;
		report.level[k_east] = 0.001;
		add_report(k_shop, report, one.sent_per_s);
		CPPUNIT_ASSERT(before == encode(one));
	}

	void report_survives_encoding_and_decoding()
	{
		node_heartbeat one = sender("n1");
		add_report(k_shop, loaded(), one.sent_per_s);
		const admission_report read = report_in(sent_and_received(one).sent_per_s, k_shop);
		CPPUNIT_ASSERT((rate_by_region{{k_east, 0.5}, {k_west, 0.0}}) == read.level);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.running.size());
		CPPUNIT_ASSERT(group_id{7} == read.running[0].first);
		CPPUNIT_ASSERT(group_id{0xfeedbeef12345678} == read.running[1].first);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, read.running[1].second, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, read.running_rest, 1e-9);
	}

	void report_of_20000_groups_lists_8_and_the_sum_of_the_others()
	{
		admission_report report;
		for (std::uint64_t i = 0; i < 20000; ++i)
		{
			report.running.emplace_back(group_id{i}, 0 == i % 2500 ? 5.0 : 1.0);
		}
		rate_by_service_and_region sent;
		add_report(k_shop, report, sent);
		const admission_report read = report_in(sent, k_shop);
		CPPUNIT_ASSERT_EQUAL(k_max_reported_groups, read.running.size());
		for (const auto& [group, running] : read.running)
		{
			CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, running, 1e-9);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(20000.0 - 8.0, read.running_rest, 1e-9);
	}

	void report_with_invalid_groups_and_levels_is_read_without_them()
	{
		rate_by_service_and_region sent;
		sent[load_levels_of(k_shop)] = {{k_east, 17.0}};
		sent[group_counts_of(k_shop)] = {{region_name("xyz"), 1.0}, {region_name(""), 1.0},
		    {region_name("11112222333344445"), 1.0}, {region_name("a "), 1.0}, {region_name("a"), 2.0}};
		const admission_report read = report_in(sent, k_shop);
		CPPUNIT_ASSERT_EQUAL(1.0, read.level.at(k_east));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.running.size());
		CPPUNIT_ASSERT(group_id{10} == read.running[0].first);
	}

	/// Guards against a datagram that a node of an earlier version rejects: layout and number of fields are
	/// the first two bytes.
	void heartbeat_with_levels_has_the_known_bytes_and_18_fields()
	{
		node_heartbeat one = sender("n1");
		add_report(k_shop, loaded(), one.sent_per_s);
		const std::vector<std::uint8_t> bytes = encode(one);
		CPPUNIT_ASSERT_EQUAL(0x92, static_cast<int>(bytes.at(0)));
		CPPUNIT_ASSERT_EQUAL(5, static_cast<int>(bytes.at(1)));
		const std::string text(bytes.begin(), bytes.end());
		const std::string levels("\x69shop/load\xa1\x64"
		                         "east\xfa\x3f\x00\x00\x00",
		    21);
		const std::string groups("\x6bshop/groups\xa3\x61"
		                         "7\xfa\x3f\x80\x00\x00\x70"
		                         "feedbeef12345678",
		    37);
		CPPUNIT_ASSERT(std::string::npos != text.find(levels));
		CPPUNIT_ASSERT(std::string::npos != text.find(groups));
	}

	/// @returns A heartbeat of a node among 300, without addresses of other nodes.
	static node_heartbeat one_of_300()
	{
		node_heartbeat one = sender("n1");
		one.node = node_name("edge-kafi47a-117");
		one.domain = domain_name("kafi47a");
		one.region = region_name("kafi47");
		one.ip = "10.14.117.203";
		one.callers = "10.14.117.203:8080";
		one.incarnation = 1796083200123456;
		one.sequence = 70000;
		one.config_version = 17;
		one.store_revision = 70000;
		one.store_answer_age = ms(250);
		one.requests_per_s = {{service_name("photos"), 11.3}, {k_shop, 1.7}};
		one.sent_per_s = {{service_name("photos"), {{one.region, 9.9}, {region_name("loka10"), 1.4}}},
		    {k_shop, {{one.region, 1.7}}}};
		for (std::uint32_t i = 0; i < 8; ++i)
		{
			one.in_flight.push_back({0x9000000U + 7919U * i, 1});
		}
		for (std::uint32_t i = 0; i < 32; ++i)
		{
			one.neighbours.push_back({0x9000000U + 7919U * i, node_state::ready, ms(350)});
		}
		return one;
	}

	/// @returns Bytes of a heartbeat with a report about a service.
	static std::size_t bytes_with(const admission_report& _report, node_heartbeat _heartbeat)
	{
		add_report(service_name("photos"), _report, _heartbeat.sent_per_s);
		return encode(_heartbeat).size();
	}

	void heartbeat_of_a_fleet_of_300_grows_by_a_tenth_at_most_by_levels()
	{
		const node_heartbeat one = one_of_300();
		const std::size_t before = encode(one).size();
		admission_report report;
		report.level = {{one.region, 0.31}, {region_name("loka10"), 0.12}};
		const std::size_t with_levels = bytes_with(report, one);
		for (std::uint64_t i = 0; i < 8; ++i)
		{
			report.running.emplace_back(group_id{0xfeedbeef12345678 + i}, 1.0);
		}
		report.running_rest = 3.0;
		print_bytes("two regions, without addresses", before, with_levels);
		print_bytes("two regions, without addresses, with groups", before, bytes_with(report, one));
		CPPUNIT_ASSERT(static_cast<double>(with_levels) <= 1.1 * static_cast<double>(before));
	}

	/// One of four heartbeats lists 64 addresses.
	void heartbeats_of_a_fleet_of_300_grow_by_a_tenth_at_most_by_levels_of_three_regions()
	{
		node_heartbeat one = one_of_300();
		one.sent_per_s[service_name("photos")][region_name("mesa13")] = 0.6;
		admission_report report;
		report.level = {{one.region, 0.31}, {region_name("loka10"), 0.12}, {region_name("mesa13"), 0.9}};
		const std::size_t short_before = encode(one).size();
		const std::size_t short_after = bytes_with(report, one);
		for (int i = 0; i < 64; ++i)
		{
			one.known_ips.push_back("10.14.117." + std::to_string(i + 100));
		}
		const std::size_t before = 3 * short_before + encode(one).size();
		const std::size_t after = 3 * short_after + bytes_with(report, one);
		print_bytes("three regions, without addresses", short_before, short_after);
		print_bytes("three regions, mean", before / 4, after / 4);
		CPPUNIT_ASSERT(static_cast<double>(after) <= 1.1 * static_cast<double>(before));
	}

	static void print_bytes(const char* _what, std::size_t _before, std::size_t _after)
	{
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << "heartbeat of a node among 300, " << _what << ": " << _before
			          << " bytes, with report " << _after << std::endl;
		}
	}

	/// Guards against levels and running requests that are taken for requests a second.
	void rates_with_reports_count_neither_as_demand_nor_as_slots()
	{
		fleet_rates plain;
		fleet_rates reporting;
		node_heartbeat one = sender("n1");
		plain.add(node_name("n2"), one);
		add_report(k_shop, loaded(), one.sent_per_s);
		reporting.add(node_name("n2"), sent_and_received(one));
		CPPUNIT_ASSERT(plain.demand_of(k_shop) == reporting.demand_of(k_shop));
		CPPUNIT_ASSERT(reporting.single_region_demand_of(k_shop).empty());
		CPPUNIT_ASSERT_EQUAL(
		    plain.sent_of(k_shop, k_east).total_per_s, reporting.sent_of(k_shop, k_east).total_per_s);
		for (const service_name& name : {load_levels_of(k_shop), group_counts_of(k_shop)})
		{
			CPPUNIT_ASSERT(reporting.demand_of(name).empty());
			CPPUNIT_ASSERT_EQUAL(0.0, reporting.sent_of(name, k_east).total_per_s);
		}
	}

	void reports_of_others_lose_freshness_with_age_and_end_with_their_nodes()
	{
		clock_virtual clock;
		clock.advance(std::chrono::seconds(100));
		backend_registry registry{std::unordered_map<std::string, std::string>{}};
		entry_log log{"test", -1};
		fleet view(clock, sender("n2"), registry, log);
		node_heartbeat one = sender("n1");
		add_report(k_shop, loaded(), one.sent_per_s);
		view.on_heartbeat(sent_and_received(one));
		const std::vector<admission_report> fresh = view.reports_of_others(k_shop);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), fresh.size());
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fresh[0].freshness, 1e-9);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fresh[0].level.at(k_east), 1e-9);
		clock.advance(ms(500));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, view.reports_of_others(k_shop).at(0).freshness, 1e-9);
		clock.advance(std::chrono::seconds(5));
		CPPUNIT_ASSERT(view.reports_of_others(k_shop).empty());
	}

	void service_without_reports_has_none()
	{
		fleet_rates rates;
		rates.add(node_name("n2"), sender("n1"), steady_time{});
		CPPUNIT_ASSERT(rates.reports_of(service_name("other"), steady_time{}).empty());
		const std::vector<admission_report> silent = rates.reports_of(k_shop, steady_time{});
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.size());
		CPPUNIT_ASSERT_EQUAL(0.0, silent[0].level.at(k_east));
		CPPUNIT_ASSERT(rates.reports_of(k_shop, steady_time{} + k_level_lifetime).empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_level_test);
CPPUNIT_TEST_SUITE_REGISTRATION(report_transport_test);
} // namespace larkrack
