// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Verdicts on paths (path_monitor) and the choice of relays (relay_table), on a virtual time.

#include "steering/path_monitor_p.h"
#include "steering/relay_table_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

const domain_name k_domain_a("east-a");
const domain_name k_domain_b("east-b");
constexpr std::size_t k_servers = 4; ///< In each failure domain.
constexpr ms k_usual_gap{10};        ///< Between two responses.
constexpr ms k_usual_time{100};      ///< From a request to its response.
constexpr ms k_deadline{2500};       ///< Of a request, from its begin.
const request_kind k_kind("usual");
const request_kind k_long_kind("long");
} // namespace

class steering_path_monitor_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_path_monitor_test);
	CPPUNIT_TEST(single_failed_server_with_reachable_neighbour_breaks_no_path);
	CPPUNIT_TEST(failed_check_after_failed_server_breaks_path);
	CPPUNIT_TEST(two_broken_domains_without_connection_cut_node_off);
	CPPUNIT_TEST(connection_anywhere_ends_being_cut_off);
	CPPUNIT_TEST(broken_path_is_checked_at_each_interval);
	CPPUNIT_TEST(unanswered_requests_are_checked_sooner_where_responses_are_frequent);
	CPPUNIT_TEST(slow_responses_of_rare_requests_are_not_checked);
	CPPUNIT_TEST(established_connections_without_responses_are_unresponsive_until_response);
	CPPUNIT_TEST(rare_requests_after_busy_time_do_not_break_path);
	CPPUNIT_TEST(long_requests_that_are_left_do_not_break_path);
	CPPUNIT_TEST(long_requests_of_a_known_kind_do_not_break_path);
	CPPUNIT_TEST(overdue_requests_of_an_unknown_kind_break_path);
	CPPUNIT_TEST(requests_given_up_when_overdue_break_path_with_later_ones);
	CPPUNIT_TEST(requests_given_up_early_do_not_break_path);
	CPPUNIT_TEST(request_that_was_never_begun_may_end);
	CPPUNIT_TEST(unresponsive_path_gets_one_trial_an_interval);
	CPPUNIT_TEST(open_connections_work_while_responses_arrive_after_failure);
	CPPUNIT_TEST(contact_is_unknown_while_path_is_broken);
	CPPUNIT_TEST_SUITE_END();

protected:
	void single_failed_server_with_reachable_neighbour_breaks_no_path()
	{
		m_monitor.on_connect_failed(k_domain_a, 1, m_now);
		CPPUNIT_ASSERT(m_monitor.suspected(k_domain_a));
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_monitor.due_checks(m_now).size());
		m_monitor.on_check_started(k_domain_a, m_now);
		CPPUNIT_ASSERT(m_monitor.due_checks(m_now).empty());
		m_monitor.on_check_passed(k_domain_a, m_now);
		CPPUNIT_ASSERT(!m_monitor.suspected(k_domain_a));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
	}
	void failed_check_after_failed_server_breaks_path()
	{
		break_path(k_domain_a);
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_b));
		CPPUNIT_ASSERT(!m_monitor.cut_off());
	}
	void two_broken_domains_without_connection_cut_node_off()
	{
		break_path(k_domain_a);
		break_path(k_domain_b);
		CPPUNIT_ASSERT(m_monitor.cut_off());
		CPPUNIT_ASSERT(m_monitor.broken(domain_name("west-a")));
	}
	void connection_anywhere_ends_being_cut_off()
	{
		break_path(k_domain_a);
		break_path(k_domain_b);
		m_monitor.on_connected(domain_name("west-a"), m_now);
		CPPUNIT_ASSERT(!m_monitor.cut_off());
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
		m_monitor.on_connected(k_domain_a, m_now);
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
	}
	void broken_path_is_checked_at_each_interval()
	{
		break_path(k_domain_a);
		CPPUNIT_ASSERT(m_monitor.due_checks(m_now).empty());
		m_now += k_check_interval;
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_monitor.due_checks(m_now).size());
	}
	void unanswered_requests_are_checked_sooner_where_responses_are_frequent()
	{
		answer_regularly(k_domain_a, k_usual_gap, k_usual_time, 200);
		start(k_domain_a);
		m_now += k_min_silence;
		CPPUNIT_ASSERT(m_monitor.due_checks(m_now).empty());
		m_now += ms(10);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_monitor.due_checks(m_now).size());
	}
	void slow_responses_of_rare_requests_are_not_checked()
	{
		const ms slow{3000};
		answer_regularly(k_domain_a, slow, slow, 100);
		start(k_domain_a);
		m_now += slow + slow / 2;
		CPPUNIT_ASSERT(m_monitor.due_checks(m_now).empty());
	}
	void established_connections_without_responses_are_unresponsive_until_response()
	{
		answer_regularly(k_domain_a, k_usual_gap, k_usual_time, 200);
		for (int i = 0; i < k_min_unanswered; ++i)
		{
			start(k_domain_a);
		}
		m_now += k_min_unresponsive;
		m_monitor.on_connected(k_domain_a, m_now);
		m_monitor.tick(m_now);
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
		m_now += ms(10);
		m_monitor.tick(m_now);
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
		m_monitor.on_connected(k_domain_a, m_now);
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
		answer(k_domain_a, k_usual_time);
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
	}
	/// Guards against requests that are given up at a node to which few callers are left.
	void rare_requests_after_busy_time_do_not_break_path()
	{
		const ms time{700};
		answer_regularly(k_domain_a, k_usual_gap, time, 200);
		for (int i = 0; i < k_min_unanswered; ++i)
		{
			start(k_domain_a);
		}
		m_now += 2 * time;
		m_monitor.tick(m_now);
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
	}
	/// Guards against long requests that are broken off at work since the short ones, whose mean time was the
	/// measure of silence, have ceased.
	void long_requests_that_are_left_do_not_break_path()
	{
		change_mix(k_long_kind);
		wait(ms(1700));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
		CPPUNIT_ASSERT(!m_monitor.cut_off());
	}
	void long_requests_of_a_known_kind_do_not_break_path()
	{
		for (int i = 0; i < k_min_kind_times; ++i)
		{
			path_request ended = start(k_domain_a, k_long_kind);
			m_now += ms(1900);
			m_monitor.on_response(ended, true, m_now);
			m_monitor.on_exchange_end(ended, m_now);
		}
		change_mix(k_long_kind);
		wait(3 * ms(1900) - ms(1));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
		wait(ms(100));
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
	}
	void overdue_requests_of_an_unknown_kind_break_path()
	{
		change_mix(k_long_kind);
		wait(ms(1760));
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
		CPPUNIT_ASSERT(m_monitor.cut_off());
	}
	/// Guards against a cut that is never noticed, since all requests reach their deadline before a verdict.
	void requests_given_up_when_overdue_break_path_with_later_ones()
	{
		for (const path_request& given_up : change_mix(k_kind))
		{
			m_now += ms(101);
			m_monitor.on_exchange_end(given_up, m_now);
			start(k_domain_a, k_long_kind);
		}
		wait(ms(200));
		CPPUNIT_ASSERT(m_monitor.broken(k_domain_a));
	}
	void requests_given_up_early_do_not_break_path()
	{
		const std::vector<path_request> given_up = change_mix(k_kind);
		change_mix(k_long_kind);
		for (const path_request& request : given_up)
		{
			m_monitor.on_exchange_end(request, request.sent_at + ms(200));
		}
		wait(ms(1000));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_a));
	}
	void request_that_was_never_begun_may_end()
	{
		start(k_domain_a);
		m_monitor.on_exchange_end(path_request{k_domain_b, k_kind, m_now, m_now, false}, m_now);
		wait(ms(3000));
		CPPUNIT_ASSERT(!m_monitor.broken(k_domain_b));
	}
	void unresponsive_path_gets_one_trial_an_interval()
	{
		CPPUNIT_ASSERT(!m_monitor.take_trial(k_domain_a, m_now));
		for (int i = 0; i < k_min_unanswered; ++i)
		{
			start(k_domain_a);
		}
		m_now += k_unresponsive_factor * k_max_silence + ms(1);
		m_monitor.tick(m_now);
		CPPUNIT_ASSERT(m_monitor.take_trial(k_domain_a, m_now));
		CPPUNIT_ASSERT(!m_monitor.take_trial(k_domain_a, m_now));
		CPPUNIT_ASSERT(m_monitor.take_trial(k_domain_a, m_now + k_path_trial_interval));
	}
	void open_connections_work_while_responses_arrive_after_failure()
	{
		break_path(k_domain_a);
		CPPUNIT_ASSERT(!m_monitor.open_connections_work(k_domain_a, m_now));
		m_now += ms(10);
		answer(k_domain_a, k_usual_time);
		CPPUNIT_ASSERT(m_monitor.open_connections_work(k_domain_a, m_now));
		CPPUNIT_ASSERT(!m_monitor.open_connections_work(k_domain_a, m_now + k_open_connection_proof));
	}
	void contact_is_unknown_while_path_is_broken()
	{
		m_monitor.on_connected(k_domain_a, m_now);
		CPPUNIT_ASSERT(m_now == m_monitor.last_contact(k_domain_a));
		break_path(k_domain_a);
		CPPUNIT_ASSERT(!m_monitor.last_contact(k_domain_a));
	}

	void break_path(const domain_name& _domain)
	{
		m_monitor.on_connect_failed(_domain, 1, m_now);
		m_monitor.on_check_started(_domain, m_now);
		m_monitor.on_check_failed(_domain, {2, 3}, k_servers, m_now);
	}
	/// Lets requests begin and end at a steady pace, with one in flight at least.
	void answer_regularly(const domain_name& _domain, ms _gap, ms _time, int _count)
	{
		const path_request running = start(_domain);
		for (int i = 0; i < _count; ++i)
		{
			m_now += _gap;
			answer(_domain, _time);
		}
		m_monitor.on_exchange_end(running, m_now);
	}
	path_request start(
	    const domain_name& _domain, const request_kind& _kind = k_kind, ms _deadline = k_deadline)
	{
		return m_monitor.on_exchange_start(_domain, _kind, _deadline, m_now);
	}
	/// Lets the response of a request come that was sent that long ago.
	void answer(const domain_name& _domain, ms _time)
	{
		path_request request{_domain, k_kind, m_now - _time, m_now, false};
		m_monitor.on_response(request, true, m_now);
	}
	/// Lets requests of the usual kind be answered at a steady pace, and then cease while others run.
	/// @returns The requests that still run.
	std::vector<path_request> change_mix(const request_kind& _kind)
	{
		answer_regularly(k_domain_a, k_usual_gap, k_usual_time, 200);
		constexpr int k_count = 2 * k_min_unanswered;
		std::vector<path_request> running;
		running.reserve(k_count);
		for (int i = 0; i < k_count; ++i)
		{
			running.push_back(start(k_domain_a, _kind));
		}
		return running;
	}
	void wait(ms _time)
	{
		m_now += _time;
		m_monitor.tick(m_now);
	}

	steady_time m_now{std::chrono::hours(1)};
	path_monitor m_monitor;
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_path_monitor_test);

class steering_relay_table_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_relay_table_test);
	CPPUNIT_TEST(relay_in_own_region_is_preferred_to_one_near_the_backend_server);
	CPPUNIT_TEST(request_with_homes_uses_relays_in_these_only);
	CPPUNIT_TEST(node_without_recent_contact_is_no_relay);
	CPPUNIT_TEST(node_without_recent_response_is_no_relay_for_lost_responses);
	CPPUNIT_TEST(old_report_is_not_used);
	CPPUNIT_TEST(refusing_node_is_no_relay_for_a_while);
	CPPUNIT_TEST(equal_relays_share_the_load);
	CPPUNIT_TEST(round_of_queries_does_not_grow_with_the_fleet);
	CPPUNIT_TEST(relay_among_third_of_fleet_is_found_in_few_rounds);
	CPPUNIT_TEST_SUITE_END();

protected:
	void relay_in_own_region_is_preferred_to_one_near_the_backend_server()
	{
		report("10.0.0.1", "west", ms(0));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), chosen());
		report("10.0.0.2", "north", ms(0));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), chosen());
		report("10.0.0.3", "east", ms(0));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3"), chosen());
	}
	void request_with_homes_uses_relays_in_these_only()
	{
		const std::vector<std::string> homes{"west"};
		m_query.homes = &homes;
		report("10.0.0.3", "east", ms(0));
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
		report("10.0.0.1", "west", ms(0));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), chosen());
	}
	void node_without_recent_contact_is_no_relay()
	{
		report("10.0.0.3", "east", k_max_contact_age + ms(1));
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
		CPPUNIT_ASSERT(!m_table.any_for(k_domain_a, false, m_now));
	}
	void node_without_recent_response_is_no_relay_for_lost_responses()
	{
		m_table.on_report(
		    node("10.0.0.3", "east"), {{k_domain_a, {ms(0), k_max_contact_age + ms(1)}}}, m_now);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3"), chosen());
		m_query.needs_responses = true;
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
	}
	void old_report_is_not_used()
	{
		report("10.0.0.3", "east", ms(0));
		m_now += k_max_path_report_age + ms(1);
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
		m_table.tick(m_now);
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
	}
	void refusing_node_is_no_relay_for_a_while()
	{
		report("10.0.0.3", "east", ms(0));
		m_table.on_refused("10.0.0.3", m_now);
		CPPUNIT_ASSERT_EQUAL(std::string(), chosen());
		m_now += k_refusal_time;
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3"), chosen());
	}
	void equal_relays_share_the_load()
	{
		constexpr int k_choices = 300;
		report("10.0.0.3", "east", ms(0));
		report("10.0.0.4", "east", ms(0));
		report("10.0.0.5", "east", ms(0));
		std::map<std::string, int> counts;
		for (int i = 0; i < k_choices; ++i)
		{
			++counts[chosen()];
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
		for (const auto& [ip, count] : counts)
		{
			CPPUNIT_ASSERT(count > k_choices / 5);
		}
	}
	void round_of_queries_does_not_grow_with_the_fleet()
	{
		for (const std::size_t size : {9U, 300U, 2000U})
		{
			const auto asked = m_table.nodes_to_ask(fleet_of(size), region_name("east"), m_random, m_now);
			CPPUNIT_ASSERT(asked.size() <= k_near_queries + k_far_queries);
			const auto near = std::count_if(asked.begin(), asked.end(),
			    [](const relay_candidate& _node)
			    {
				    return "east" == _node.region.text;
			    });
			CPPUNIT_ASSERT(static_cast<std::size_t>(near) <= k_near_queries);
			CPPUNIT_ASSERT(near > 0);
		}
	}
	/// Guards against a search that takes long where most nodes are cut off too.
	void relay_among_third_of_fleet_is_found_in_few_rounds()
	{
		constexpr int k_max_rounds = 3;
		constexpr int k_trials = 100;
		for (const std::size_t size : {9U, 300U, 2000U})
		{
			int late = 0;
			for (int trial = 0; trial < k_trials; ++trial)
			{
				late += rounds_to_find(size) > k_max_rounds ? 1 : 0;
			}
			CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " late of " + std::to_string(k_trials), late <= 2);
		}
	}

	/// @returns Rounds of queries until a relay is known, where each third node is one.
	int rounds_to_find(std::size_t _size)
	{
		relay_table table;
		const std::vector<relay_candidate> fleet = fleet_of(_size);
		for (int round = 1; round < 100; ++round)
		{
			for (const relay_candidate& asked :
			    table.nodes_to_ask(fleet, region_name("east"), m_random, m_now))
			{
				const bool reaches = 0 == std::stoi(asked.ip.substr(asked.ip.rfind('.') + 1)) / 3 % 3;
				table.on_report(asked, reaches ? path_report{{k_domain_a, {}}} : path_report{}, m_now);
			}
			if (table.any_for(k_domain_a, false, m_now))
			{
				return round;
			}
			m_now += k_query_interval;
		}
		return 100;
	}
	static std::vector<relay_candidate> fleet_of(std::size_t _size)
	{
		static const char* const s_regions[] = {"east", "west", "north"};
		std::vector<relay_candidate> fleet;
		for (std::size_t i = 0; i < _size; ++i)
		{
			fleet.push_back(
			    node("10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250), s_regions[i % 3]));
		}
		return fleet;
	}
	static relay_candidate node(const std::string& _ip, const std::string& _region)
	{
		return {_ip, region_name(_region), domain_name(_region + "-a")};
	}
	void report(const std::string& _ip, const std::string& _region, ms _age)
	{
		m_table.on_report(node(_ip, _region), {{k_domain_a, {_age, _age}}}, m_now);
	}
	std::string chosen()
	{
		const relay_candidate* relay = m_table.choose(m_query, m_random, m_now);
		return nullptr == relay ? "" : relay->ip;
	}

	steady_time m_now{std::chrono::hours(1)};
	std::minstd_rand m_random{7};
	relay_table m_table;
	relay_query m_query{k_domain_a, region_name("west"), region_name("east"), false, nullptr};
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_relay_table_test);
} // namespace larkrack
