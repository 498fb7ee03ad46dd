// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of fleet: membership by heartbeats and digests, look-ups, readers of the store, shares and lenders;
/// and of the codecs of heartbeats and digests.

#include "fixtures.h"

#include "entry_node/digest_codec_p.h"
#include "entry_node/fleet_p.h"
#include "steering/rendezvous_p.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace larkrack
{
class fleet_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(fleet_test);
	CPPUNIT_TEST(heartbeat_survives_encoding_and_decoding);
	CPPUNIT_TEST(heartbeat_truncated_is_rejected);
	CPPUNIT_TEST(heartbeat_with_invalid_rate_is_rejected);
	CPPUNIT_TEST(heartbeat_with_unknown_state_is_rejected);
	CPPUNIT_TEST(lookup_returns_only_ready_nodes_of_the_region);
	CPPUNIT_TEST(lookup_omits_silent_node);
	CPPUNIT_TEST(lookup_in_region_without_nodes_returns_home_regions_first);
	CPPUNIT_TEST(lookup_without_ready_nodes_returns_this_node);
	CPPUNIT_TEST(restart_with_lower_incarnation_is_accepted_once_the_former_one_is_silent);
	CPPUNIT_TEST(warmup_is_sent_by_one_node_of_the_region);
	CPPUNIT_TEST(warmup_by_isolated_nodes_is_divided_evenly);
	CPPUNIT_TEST(readers_are_the_same_four_in_every_view);
	CPPUNIT_TEST(reader_without_connection_to_the_store_is_replaced);
	CPPUNIT_TEST(readers_in_store_outage_are_only_three);
	CPPUNIT_TEST(readers_of_a_failure_domain_that_is_cut_off_take_over_in_time);
	CPPUNIT_TEST(reader_that_hears_nobody_takes_over_in_time);
	CPPUNIT_TEST(store_response_reported_by_node_of_the_region_is_known);
	CPPUNIT_TEST(interval_grows_with_the_failure_domain);
	CPPUNIT_TEST(targets_include_far_node_once_per_cycle);
	CPPUNIT_TEST(targets_include_unresponsive_address_less_often);
	CPPUNIT_TEST(new_node_with_few_addresses_gets_one_introduction);
	CPPUNIT_TEST(silent_node_reported_by_neighbours_is_live);
	CPPUNIT_TEST(silent_node_without_recent_reports_dies_in_time);
	CPPUNIT_TEST(stopping_node_reported_by_neighbour_is_omitted);
	CPPUNIT_TEST(report_about_another_failure_domain_is_ignored);
	CPPUNIT_TEST(neighbours_are_reported_only_in_large_fleets);
	CPPUNIT_TEST(newer_keys_of_dead_node_are_not_requested_until_it_is_back);
	CPPUNIT_TEST(newer_configuration_of_dead_node_is_not_requested);
	CPPUNIT_TEST(node_restarted_in_another_failure_domain_counts_there);
	CPPUNIT_TEST(forgotten_node_is_tried_at_its_address);
	CPPUNIT_TEST(node_without_an_incarnation_counts_once);
	CPPUNIT_TEST(demand_of_dead_node_is_excluded);
	CPPUNIT_TEST(digest_of_another_failure_domain_makes_its_nodes_known);
	CPPUNIT_TEST(digest_survives_encoding_and_decoding_and_fits_into_a_datagram);
	CPPUNIT_TEST(digest_invalid_is_rejected);
	CPPUNIT_TEST(lenders_exclude_a_stopping_node);
	CPPUNIT_TEST(addresses_listed_in_a_large_fleet_rotate_through_all);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_registry = std::make_unique<backend_registry>(std::unordered_map<std::string, std::string>{});
	}

protected:
	static node_heartbeat node(const std::string& _name, const std::string& _region = "east")
	{
		node_heartbeat one;
		one.node = node_name(_name);
		one.incarnation = 1000;
		one.sequence = 1;
		one.region = region_name(_region);
		one.domain = domain_name(_region + "-a");
		one.ip = "10.0.0." + _name.substr(1);
		one.callers = one.ip + ":80";
		one.state = node_state::ready;
		return one;
	}

	fleet view_of(const std::string& _name, int _nodes, const std::string& _region = "east")
	{
		fleet view(m_clock, node(_name, _region), *m_registry, m_log);
		for (int i = 1; i <= _nodes; ++i)
		{
			view.on_heartbeat(node("n" + std::to_string(i)));
		}
		return view;
	}

	void heartbeat_survives_encoding_and_decoding()
	{
		node_heartbeat one = node("n1");
		one.store_revision = 77;
		one.store_reached = false;
		one.store_answer_age = std::chrono::milliseconds(1250);
		one.requests_per_s = {{service_name("shop"), 12.5}};
		one.sent_per_s = {{service_name("shop"), {{region_name("west"), 3.25}}}};
		one.in_flight = {{4000000000U, 3}};
		one.known_ips = {"10.0.0.2"};
		one.neighbours = {{4000000001U, node_state::stopping, std::chrono::milliseconds(1250)}};
		const std::vector<std::uint8_t> bytes = encode(one);
		result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), bytes.size());
		const node_heartbeat* same = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != same);
		CPPUNIT_ASSERT(bytes == encode(*same));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(77), same->store_revision);
		CPPUNIT_ASSERT(!same->store_reached);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1250) == same->store_answer_age.value());
		CPPUNIT_ASSERT_EQUAL(3, same->in_flight.at(0).in_flight);
		CPPUNIT_ASSERT(node_state::stopping == same->neighbours.at(0).state);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1250) == same->neighbours.at(0).age);
	}

	void heartbeat_truncated_is_rejected()
	{
		const std::vector<std::uint8_t> bytes = encode(node("n1"));
		for (std::size_t size = 0; size < bytes.size(); ++size)
		{
			result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), size);
			CPPUNIT_ASSERT(nullptr == value_of(decoded));
		}
	}

	void heartbeat_with_invalid_rate_is_rejected()
	{
		for (const double rate : {-1.0, 1e9, std::nan(""), HUGE_VAL})
		{
			node_heartbeat asked = node("n1");
			asked.requests_per_s = {{service_name("shop"), rate}};
			node_heartbeat sent = node("n1");
			sent.sent_per_s = {{service_name("shop"), {{region_name("west"), rate}}}};
			for (const node_heartbeat& one : {asked, sent})
			{
				const std::vector<std::uint8_t> bytes = encode(one);
				result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), bytes.size());
				CPPUNIT_ASSERT(nullptr == value_of(decoded));
			}
		}
	}

	void heartbeat_with_unknown_state_is_rejected()
	{
		for (const int state : {-1, 3, 200})
		{
			node_heartbeat invalid = node("n1");
			invalid.state = static_cast<node_state>(state);
			const std::vector<std::uint8_t> bytes = encode(invalid);
			result<node_heartbeat> decoded = decode_heartbeat(bytes.data(), bytes.size());
			CPPUNIT_ASSERT(nullptr == value_of(decoded));
		}
	}

	void lookup_returns_only_ready_nodes_of_the_region()
	{
		fleet view = view_of("n1", 2);
		node_heartbeat stopping = node("n3");
		stopping.state = node_state::stopping;
		view.on_heartbeat(stopping);
		view.on_heartbeat(node("n4", "west"));
		const std::vector<std::string> expected{"10.0.0.2:80", "10.0.0.1:80"};
		CPPUNIT_ASSERT(expected == view.look_up(region_name("east"), {}).addresses);
	}

	void lookup_omits_silent_node()
	{
		fleet view = view_of("n1", 2);
		m_clock.advance(std::chrono::seconds(2));
		CPPUNIT_ASSERT(
		    std::vector<std::string>{"10.0.0.1:80"} == view.look_up(region_name("east"), {}).addresses);
	}

	void lookup_in_region_without_nodes_returns_home_regions_first()
	{
		fleet view = view_of("n1", 2);
		view.on_heartbeat(node("n7", "west"));
		view.on_heartbeat(node("n8", "north"));
		CPPUNIT_ASSERT(
		    std::vector<std::string>{"10.0.0.7:80"} ==
		    view.look_up(region_name("south"), {region_name("south"), region_name("west")}).addresses);
	}

	void lookup_without_ready_nodes_returns_this_node()
	{
		fleet view = view_of("n1", 0);
		view.self().state = node_state::stopping;
		CPPUNIT_ASSERT(
		    std::vector<std::string>{"10.0.0.1:80"} == view.look_up(region_name("east"), {}).addresses);
	}

	void restart_with_lower_incarnation_is_accepted_once_the_former_one_is_silent()
	{
		fleet view = view_of("n1", 2);
		node_heartbeat restarted = node("n2");
		restarted.incarnation = 10; // Its wall clock was set back.
		view.on_heartbeat(restarted);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), view.members().at(node_name("n2")).last.incarnation);
		m_clock.advance(std::chrono::seconds(2));
		view.on_heartbeat(restarted);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), view.members().at(node_name("n2")).last.incarnation);
	}

	void warmup_is_sent_by_one_node_of_the_region()
	{
		backend_state backend;
		for (std::uint32_t key = 0; key < 50; ++key)
		{
			backend.id_hash = key;
			double sum = 0.0;
			for (int i = 1; i <= 9; ++i)
			{
				sum += view_of("n" + std::to_string(i), 9).warmup_share(backend);
			}
			CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, sum, 1e-9);
		}
	}

	void warmup_by_isolated_nodes_is_divided_evenly()
	{
		backend_state backend;
		double sum = 0.0;
		for (int i = 1; i <= 9; ++i)
		{
			fleet view = view_of("n" + std::to_string(i), 9);
			m_clock.advance(std::chrono::seconds(5)); // Isolated: no heartbeat since.
			sum += view.warmup_share(backend);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, sum, 1e-9);
	}

	void readers_are_the_same_four_in_every_view()
	{
		int readers = 0;
		for (int i = 1; i <= 20; ++i)
		{
			readers += view_of("n" + std::to_string(i), 20).reader().rank < 4 ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(4, readers);
	}

	void reader_without_connection_to_the_store_is_replaced()
	{
		const auto first_of = [this](const std::string& _disconnected)
		{
			for (int i = 1; i <= 9; ++i)
			{
				fleet view = view_of("n" + std::to_string(i), 9);
				if (!_disconnected.empty() && view.self().node.text != _disconnected)
				{
					node_heartbeat disconnected = node(_disconnected);
					disconnected.sequence = 2;
					disconnected.store_reached = false;
					view.on_heartbeat(disconnected);
				}
				if (view.self().node.text != _disconnected && 0 == view.reader().rank)
				{
					return view.self().node.text;
				}
			}
			return std::string();
		};
		const std::string first = first_of("");
		const std::string next = first_of(first);
		CPPUNIT_ASSERT(!first.empty() && !next.empty() && first != next);
	}

	void readers_in_store_outage_are_only_three()
	{
		int readers = 0;
		for (int i = 1; i <= 20; ++i)
		{
			fleet view = view_of("n" + std::to_string(i), 0);
			view.self().store_reached = false;
			for (int j = 1; j <= 20; ++j)
			{
				node_heartbeat other = node("n" + std::to_string(j));
				other.store_reached = false;
				view.on_heartbeat(other);
			}
			readers += view.reader().rank < 3 ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(3, readers);
	}

	/// @returns The nodes of a fleet of nine failure domains in three regions; the first ones are "east-0".
	static std::vector<node_heartbeat> large_fleet(std::size_t _nodes)
	{
		std::vector<node_heartbeat> all;
		for (std::size_t i = 0; i < _nodes; ++i)
		{
			const std::string region = 0 == i % 3 ? "east" : 1 == i % 3 ? "north" : "west";
			node_heartbeat one = node("n" + std::to_string(i), region);
			one.domain = domain_name(region + "-" + std::to_string(i / 3 % 3));
			all.push_back(one);
		}
		return all;
	}

	/// Sends a heartbeat of each node for which a condition holds to a view.
	template <typename Condition>
	static void hear(fleet& _view, const std::vector<node_heartbeat>& _all, std::uint64_t _sequence,
	    const Condition& _heard)
	{
		for (node_heartbeat one : _all)
		{
			one.sequence = _sequence;
			if (_heard(one))
			{
				_view.on_heartbeat(one);
			}
		}
	}

	/// @returns Time from the cut of a failure domain until one of its nodes reads the store.
	std::chrono::milliseconds time_until_read(std::size_t _nodes)
	{
		const std::vector<node_heartbeat> all = large_fleet(_nodes);
		// The last failure domain of the region without any of the readers.
		std::set<std::string> with_reader;
		std::vector<fleet> views;
		for (const node_heartbeat& one : all)
		{
			if (one.region == region_name("east"))
			{
				views.emplace_back(m_clock, one, *m_registry, m_log);
			}
		}
		const auto any = [](const node_heartbeat&)
		{
			return true;
		};
		for (fleet& view : views)
		{
			hear(view, all, 2, any);
			if (view.reader().reads)
			{
				with_reader.insert(view.self().domain.text);
			}
		}
		std::string cut = "east-0";
		for (const std::string domain : {"east-0", "east-1", "east-2"})
		{
			cut = 0 == with_reader.count(domain) ? domain : cut;
		}
		const auto same_domain = [&cut](const node_heartbeat& _one)
		{
			return _one.domain == domain_name(cut);
		};
		constexpr std::chrono::milliseconds k_tick{100};
		std::chrono::milliseconds passed{0};
		for (std::uint64_t round = 3; passed < std::chrono::seconds(10); ++round)
		{
			for (fleet& view : views)
			{
				if (view.self().domain == domain_name(cut) && view.reader().reads)
				{
					return passed;
				}
			}
			m_clock.advance(k_tick);
			passed += k_tick;
			for (fleet& view : views)
			{
				if (view.self().domain == domain_name(cut))
				{
					hear(view, all, round, same_domain);
				}
			}
		}
		return passed;
	}

	/// Guards the age of the configuration in a failure domain that reaches the store and no other node.
	void readers_of_a_failure_domain_that_is_cut_off_take_over_in_time()
	{
		for (const std::size_t nodes : {std::size_t{12}, std::size_t{65}, std::size_t{295}, std::size_t{986}})
		{
			const std::chrono::milliseconds passed = time_until_read(nodes);
			CPPUNIT_ASSERT_MESSAGE(
			    std::to_string(nodes) + " nodes: " + std::to_string(passed.count()) + " ms",
			    passed <= std::chrono::milliseconds(1500));
		}
	}

	/// Guards the same at a node that reaches the store and no other node.
	void reader_that_hears_nobody_takes_over_in_time()
	{
		for (const std::size_t nodes : {std::size_t{12}, std::size_t{295}, std::size_t{986}})
		{
			const std::vector<node_heartbeat> all = large_fleet(nodes);
			for (std::size_t i = 0; i < 9; ++i)
			{
				fleet view(m_clock, all[i], *m_registry, m_log);
				hear(view, all, 2,
				    [](const node_heartbeat&)
				    {
					    return true;
				    });
				m_clock.advance(std::chrono::milliseconds(1500));
				CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes", view.reader().reads);
			}
		}
	}

	void store_response_reported_by_node_of_the_region_is_known()
	{
		fleet view = view_of("n1", 3);
		CPPUNIT_ASSERT(!view.peers_store_response_time());
		node_heartbeat other = node("n2");
		other.sequence = 2;
		other.store_answer_age = std::chrono::milliseconds(400);
		view.on_heartbeat(other);
		node_heartbeat far = node("n9", "west");
		far.store_answer_age = std::chrono::milliseconds(0);
		view.on_heartbeat(far);
		CPPUNIT_ASSERT(
		    m_clock.steady() - std::chrono::milliseconds(400) == view.peers_store_response_time().value());
	}

	void interval_grows_with_the_failure_domain()
	{
		CPPUNIT_ASSERT(view_of("n1", 9).interval() == std::chrono::milliseconds(100));
		CPPUNIT_ASSERT(view_of("n1", 101).interval() == std::chrono::milliseconds(1200));
	}

	void targets_include_far_node_once_per_cycle()
	{
		expect_one_heartbeat_per_cycle(30);
		expect_one_heartbeat_per_cycle(5);
	}

	void new_node_with_few_addresses_gets_one_introduction()
	{
		fleet view = view_of("n1", 200);
		node_heartbeat new_node = node("n201");
		CPPUNIT_ASSERT(contact_reply::introduction == view.on_heartbeat(new_node));
		++new_node.sequence;
		CPPUNIT_ASSERT(contact_reply::none == view.on_heartbeat(new_node));
		++new_node.incarnation;
		CPPUNIT_ASSERT(contact_reply::introduction == view.on_heartbeat(new_node));
		node_heartbeat updated = node("n202");
		updated.known_ips.assign(64, "10.0.0.9");
		CPPUNIT_ASSERT(contact_reply::heartbeat == view.on_heartbeat(updated));
		CPPUNIT_ASSERT(contact_reply::heartbeat ==
		               view_of("n1", 0).on_heartbeat(new_node)); // There are no addresses to send.
		CPPUNIT_ASSERT(view.unscheduled_heartbeat(contact_reply::heartbeat).known_ips.empty());
	}

	void addresses_listed_in_a_large_fleet_rotate_through_all()
	{
		fleet view = view_of("n1", 295);
		std::set<std::string> listed;
		for (int i = 0; i < 9; ++i)
		{
			const std::vector<std::string> some =
			    view.unscheduled_heartbeat(contact_reply::introduction).known_ips;
			CPPUNIT_ASSERT_EQUAL(std::size_t(64), some.size());
			listed.insert(some.begin(), some.end());
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(294), listed.size());
	}

	void targets_include_unresponsive_address_less_often()
	{
		fleet view = view_of_large_fleet();
		view.add_address("10.9.9.9");
		int tries = 0;
		for (int i = 0; i < 98; ++i)
		{
			view.next_heartbeat();
			const std::vector<std::string> targets = view.heartbeat_targets();
			tries += static_cast<int>(std::count(targets.begin(), targets.end(), "10.9.9.9"));
		}
		CPPUNIT_ASSERT_EQUAL(8 + 10, tries); // Each of the first 8 heartbeats, then every 9th.
	}

	/// @returns View of n1 that has heard 294 other nodes, in 9 failure domains of three regions.
	fleet view_of_large_fleet()
	{
		fleet view(m_clock, node_of_large_fleet("n1"), *m_registry, m_log);
		for (int i = 2; i <= 295; ++i)
		{
			view.on_heartbeat(node_of_large_fleet("n" + std::to_string(i)));
		}
		return view;
	}

	static node_heartbeat node_of_large_fleet(const std::string& _name)
	{
		const int place = std::stoi(_name.substr(1)) % 9;
		const std::string regions[] = {"east", "west", "north"};
		const std::string& region = regions[place % 3];
		node_heartbeat one = node(_name, region);
		one.domain = domain_name(region + "-" + std::to_string(place));
		return one;
	}

	/// @returns A heartbeat of n13 that reports on n4, a node of the same failure domain.
	static node_heartbeat report_about_n4(node_state _state, std::chrono::milliseconds _age)
	{
		node_heartbeat sender = node_of_large_fleet("n13");
		sender.sequence = 2;
		sender.neighbours = {{short_hash("n4"), _state, _age}};
		return sender;
	}

	static bool lookup_includes(const fleet& _view, const std::string& _node)
	{
		const std::vector<std::string> addresses = _view.look_up(region_name("west"), {}).addresses;
		return addresses.end() !=
		       std::find(addresses.begin(), addresses.end(), "10.0.0." + _node.substr(1) + ":80");
	}

	static node_state state_of(const fleet& _view, const std::string& _node)
	{
		return _view.members().at(node_name(_node)).last.state;
	}

	void silent_node_reported_by_neighbours_is_live()
	{
		fleet view = view_of_large_fleet();
		m_clock.advance(std::chrono::milliseconds(2400));
		view.on_heartbeat(report_about_n4(node_state::ready, std::chrono::milliseconds(100)));
		m_clock.advance(std::chrono::milliseconds(2400));
		CPPUNIT_ASSERT(lookup_includes(view, "n4"));
	}

	void silent_node_without_recent_reports_dies_in_time()
	{
		fleet view = view_of_large_fleet();
		m_clock.advance(std::chrono::milliseconds(2400));
		node_heartbeat sender = report_about_n4(node_state::ready, std::chrono::milliseconds(2350));
		view.on_heartbeat(sender);
		CPPUNIT_ASSERT(node_state::ready == state_of(view, "n4"));
		CPPUNIT_ASSERT(view.is_live(node_name("n4")));
		m_clock.advance(std::chrono::milliseconds(700)); // 3.05 s since the last report; the limit is 3.0 s.
		CPPUNIT_ASSERT(!view.is_live(node_name("n4")));
		CPPUNIT_ASSERT(!lookup_includes(view, "n4"));
	}

	void stopping_node_reported_by_neighbour_is_omitted()
	{
		fleet view = view_of_large_fleet();
		m_clock.advance(std::chrono::milliseconds(300));
		view.on_heartbeat(report_about_n4(node_state::stopping, std::chrono::milliseconds(500)));
		CPPUNIT_ASSERT(
		    node_state::ready == state_of(view, "n4")); // The report is older than n4's own heartbeat.
		node_heartbeat newer = report_about_n4(node_state::stopping, std::chrono::milliseconds(50));
		newer.sequence = 3;
		view.on_heartbeat(newer);
		CPPUNIT_ASSERT(node_state::stopping == state_of(view, "n4"));
		CPPUNIT_ASSERT(!lookup_includes(view, "n4"));
	}

	void report_about_another_failure_domain_is_ignored()
	{
		fleet view = view_of_large_fleet();
		m_clock.advance(std::chrono::milliseconds(300));
		node_heartbeat foreign = node_of_large_fleet("n5");
		foreign.sequence = 2;
		foreign.neighbours = {{short_hash("n4"), node_state::stopping, std::chrono::milliseconds(0)}};
		view.on_heartbeat(foreign);
		CPPUNIT_ASSERT(node_state::ready == state_of(view, "n4"));
	}

	void neighbours_are_reported_only_in_large_fleets()
	{
		CPPUNIT_ASSERT(view_of("n1", 9).next_heartbeat().neighbours.empty());
		fleet view = view_of_large_fleet();
		CPPUNIT_ASSERT_EQUAL(std::size_t(32), view.next_heartbeat().neighbours.size());
	}

	void newer_keys_of_dead_node_are_not_requested_until_it_is_back()
	{
		fleet view = view_of("n1", 3);
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_keys(0));
		node_heartbeat updated = node("n2");
		updated.sequence = 2;
		updated.store_revision = 70;
		view.on_heartbeat(updated);
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_keys(70));
		CPPUNIT_ASSERT(node_name("n2") == view.peer_with_newer_keys(69)->node);
		m_clock.advance(std::chrono::seconds(2)); // n2 is silent for longer than 0.9 s and counts as dead.
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_keys(69));
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_keys(0));
		++updated.sequence;
		view.on_heartbeat(updated);
		CPPUNIT_ASSERT(node_name("n2") == view.peer_with_newer_keys(69)->node);
		CPPUNIT_ASSERT(node_name("n2") == view.peer_with_newer_keys(0)->node);
	}

	void newer_configuration_of_dead_node_is_not_requested()
	{
		fleet view = view_of("n1", 3);
		node_heartbeat updated = node("n2");
		updated.sequence = 2;
		updated.config_version = 7;
		view.on_heartbeat(updated);
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_routes(7));
		CPPUNIT_ASSERT(node_name("n2") == view.peer_with_newer_routes(6)->node);
		m_clock.advance(std::chrono::seconds(2));
		CPPUNIT_ASSERT(nullptr == view.peer_with_newer_routes(6));
	}

	void node_restarted_in_another_failure_domain_counts_there()
	{
		fleet view = view_of("n1", 30);
		CPPUNIT_ASSERT(std::chrono::milliseconds(29 * 12) == view.interval());
		node_heartbeat moved = node("n2");
		++moved.incarnation;
		moved.domain = domain_name("east-b");
		view.on_heartbeat(moved);
		CPPUNIT_ASSERT(std::chrono::milliseconds(28 * 12) == view.interval());
		m_clock.advance(std::chrono::seconds(61));
		view.on_heartbeat(moved); // The other nodes are removed by tick().
		view.tick();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.members().size());
		CPPUNIT_ASSERT(std::chrono::milliseconds(100) == view.interval());
	}

	void node_without_an_incarnation_counts_once()
	{
		fleet view = view_of("n1", 30);
		node_heartbeat invalid = node("n99");
		invalid.incarnation = 0;
		for (int i = 0; i < 5; ++i)
		{
			view.on_heartbeat(invalid);
			++invalid.sequence;
		}
		CPPUNIT_ASSERT(std::chrono::milliseconds(30 * 12) == view.interval());
		CPPUNIT_ASSERT_EQUAL(std::size_t(30), view.members().size());
	}

	void forgotten_node_is_tried_at_its_address()
	{
		fleet view = view_of("n1", 2);
		m_clock.advance(std::chrono::seconds(61));
		view.tick();
		CPPUNIT_ASSERT(view.members().empty());
		CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2"} == view.heartbeat_targets());
		view.on_heartbeat(node("n2"));
		CPPUNIT_ASSERT(std::vector<std::string>{"10.0.0.2"} ==
		               view.heartbeat_targets()); // The address is not listed twice.
	}

	/// @returns View of n1 in a failure domain of 80 nodes.
	fleet view_of_large_domain()
	{
		return view_of("n1", 80);
	}

	/// @returns One part of a digest, with 16 nodes of the failure domain west-a.
	static domain_digest west_digest(std::chrono::milliseconds _age)
	{
		domain_digest part;
		part.domain = domain_name("west-a");
		part.region = region_name("west");
		part.number = 7;
		for (int i = 0; i < 16; ++i)
		{
			node_heartbeat one = node("n" + std::to_string(200 + i), "west");
			one.incarnation = 1796083200123456 + static_cast<std::uint64_t>(i) * 7919;
			one.sequence = 100 + static_cast<std::uint64_t>(i);
			one.store_revision = 12345;
			one.requests_per_s = {{service_name("kafi47a"), 2.51 + i}, {service_name("loka10b"), 0.37 * i}};
			one.sent_per_s = {{service_name("kafi47a"), {{region_name("west"), 2.51 + i}}}};
			part.rows.push_back({one, _age});
		}
		return part;
	}

	void digest_of_another_failure_domain_makes_its_nodes_known()
	{
		fleet view = view_of_large_domain();
		view.on_digest(west_digest(std::chrono::milliseconds(1000)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(79 + 16), view.members().size());
		CPPUNIT_ASSERT_EQUAL(std::size_t(16), view.look_up(region_name("west"), {}).addresses.size());
		CPPUNIT_ASSERT(nullptr != view.peer_with_newer_keys(12344));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(
		    2.51 * 16 + 120, view.demand_of_others(service_name("kafi47a")).at(region_name("west")), 1e-9);
		// A digest with older heartbeats changes nothing, and a digest of this failure domain is ignored.
		domain_digest older = west_digest(std::chrono::milliseconds(0));
		older.rows[0].last.sequence = 1;
		older.rows[0].last.state = node_state::stopping;
		view.on_digest(older);
		CPPUNIT_ASSERT(node_state::ready == state_of(view, "n200"));
		domain_digest own = west_digest(std::chrono::milliseconds(0));
		own.domain = domain_name("east-a");
		view.on_digest(own);
		CPPUNIT_ASSERT_EQUAL(std::size_t(79 + 16), view.members().size());
		m_clock.advance(std::chrono::seconds(20));
		CPPUNIT_ASSERT(!view.is_live(node_name("n200")));
	}

	void digest_survives_encoding_and_decoding_and_fits_into_a_datagram()
	{
		const domain_digest digest = west_digest(std::chrono::milliseconds(1250));
		const std::vector<std::uint8_t> bytes = encode(digest);
		CPPUNIT_ASSERT(bytes.size() < 1400);
		result<domain_digest> decoded = decode_domain_digest(bytes.data(), bytes.size());
		const domain_digest* same = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != same);
		CPPUNIT_ASSERT(bytes == encode(*same));
		CPPUNIT_ASSERT(std::chrono::milliseconds(1250) == same->rows.at(3).age);
	}

	void digest_invalid_is_rejected()
	{
		const auto rejected = [](const std::vector<std::uint8_t>& _bytes)
		{
			const result<domain_digest> decoded = decode_domain_digest(_bytes.data(), _bytes.size());
			return std::holds_alternative<error>(decoded);
		};
		const std::vector<std::uint8_t> bytes = encode(west_digest(std::chrono::milliseconds(0)));
		for (std::size_t size = 0; size < bytes.size(); ++size)
		{
			CPPUNIT_ASSERT(rejected({bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size)}));
		}
		domain_digest foreign = west_digest(std::chrono::milliseconds(0));
		foreign.rows[2].last.domain = domain_name("north-a");
		CPPUNIT_ASSERT(rejected(encode(foreign)));
		domain_digest invalid = west_digest(std::chrono::milliseconds(0));
		invalid.rows[2].last.requests_per_s = {{service_name("shop"), 1e9}};
		CPPUNIT_ASSERT(rejected(encode(invalid)));
		CPPUNIT_ASSERT(rejected(encode(west_digest(std::chrono::milliseconds(700000)))));
		CPPUNIT_ASSERT(rejected(encode(node("n1")))); // A heartbeat.
	}

	void demand_of_dead_node_is_excluded()
	{
		const service_name shop("shop");
		fleet view = view_of("n1", 2);
		CPPUNIT_ASSERT(view.demand_of_others(shop).empty());
		for (const char* name : {"n3", "n4"})
		{
			node_heartbeat busy = node(name);
			busy.requests_per_s = {{shop, 5.0}};
			view.on_heartbeat(busy);
		}
		CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, view.demand_of_others(shop).at(region_name("east")), 1e-9);
		m_clock.advance(std::chrono::milliseconds(600));
		node_heartbeat alive = node("n3");
		alive.sequence = 2;
		alive.requests_per_s = {{shop, 7.0}};
		view.on_heartbeat(alive);
		m_clock.advance(std::chrono::milliseconds(600));
		CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, view.demand_of_others(shop).at(region_name("east")), 1e-9);
	}

	void lenders_exclude_a_stopping_node()
	{
		fleet view = view_of("n1", 3);
		const std::uint64_t before = view.live_nodes().version;
		CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, view.live_nodes().live, 1e-9);
		node_heartbeat stopping = node("n2");
		stopping.sequence = 2;
		stopping.state = node_state::stopping;
		view.on_heartbeat(stopping);
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, view.live_nodes().live, 1e-9);
		CPPUNIT_ASSERT(view.live_nodes().version > before);
		for (std::uint64_t customer = 0; customer < 50; ++customer)
		{
			CPPUNIT_ASSERT(view.responsible_for(customer << 57U).first.ip != "10.0.0.2");
		}
	}

	void expect_one_heartbeat_per_cycle(int _nodes)
	{
		fleet view = view_of("n1", _nodes, "west"); // All other nodes are in the region east.
		std::map<std::string, int> sent;
		const int heartbeat_divisor =
		    node_liveness(0, static_cast<std::size_t>(_nodes - 1)).heartbeat_divisor(proximity::far);
		for (int round = 0; round < 2 * heartbeat_divisor; ++round)
		{
			view.next_heartbeat();
			for (const std::string& ip : view.heartbeat_targets())
			{
				++sent[ip];
			}
		}
		CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(_nodes - 1), sent.size());
		for (const auto& [ip, count] : sent)
		{
			CPPUNIT_ASSERT_EQUAL(2, count);
		}
	}

	clock_virtual m_clock;
	std::unique_ptr<backend_registry> m_registry;
	entry_log m_log{"test", -1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);
} // namespace larkrack
