// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership by gossip on a virtual clock, with many entry VMs in one process.

#include "fixtures.h"

#include "larkrackd/membership_p.h"
#include "larkrackd/message_p.h"

namespace larkrack
{
class membership_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(membership_test);
	CPPUNIT_TEST(members_when_all_run_know_each_other);
	CPPUNIT_TEST(members_when_entries_exceed_one_heartbeat_know_each_other);
	CPPUNIT_TEST(member_when_silent_is_suspected_until_heard_again);
	CPPUNIT_TEST(member_when_it_says_farewell_has_left);
	CPPUNIT_TEST(member_when_restarted_replaces_its_former_incarnation);
	CPPUNIT_TEST(entry_when_older_is_ignored);
	CPPUNIT_TEST(domain_when_cut_off_keeps_its_own_members);
	CPPUNIT_TEST(heartbeats_when_fleet_grows_stay_bounded_for_each_node);
	CPPUNIT_TEST(message_when_encoded_is_decoded_the_same);
	CPPUNIT_TEST(message_when_undecodable_is_an_error);
	CPPUNIT_TEST_SUITE_END();

	/// Entry VMs that deliver their heartbeats to each other without delay.
	struct fleet
	{
		fleet(int _domains, int _each)
		{
			std::vector<member_config> all;
			for (int domain = 0; domain < _domains; ++domain)
			{
				for (int number = 0; number < _each; ++number)
				{
					all.push_back({"vm-" + std::to_string(domain) + "-" + std::to_string(number),
					    "domain-" + std::to_string(domain)});
				}
			}
			for (const member_config& one : all)
			{
				nodes[one.vm] = std::make_unique<membership>(one.vm, one.domain, incarnation{1});
				nodes[one.vm]->configure(all);
			}
		}

		void run(std::chrono::milliseconds _time)
		{
			const auto step = std::chrono::milliseconds(50);
			for (auto passed = step; passed <= _time; passed += step)
			{
				clock.advance(step);
				for (auto& [name, node] : nodes)
				{
					if (0 == silent.count(name))
					{
						deliver(name, node->tick(clock.steady()));
					}
				}
			}
		}

		void deliver(const std::string& _from, const std::vector<heartbeat>& _heartbeats)
		{
			for (const heartbeat& one : _heartbeats)
			{
				const std::string from_domain = nodes[_from]->self().domain;
				const std::string to_domain = nodes[one.to]->self().domain;
				const bool is_cut =
				    from_domain != to_domain && (from_domain == cut_domain || to_domain == cut_domain);
				++messages[_from];
				bytes[_from] += encode({_from, message_heartbeat{one.entries}}).size();
				if (0 == silent.count(one.to) && !is_cut)
				{
					nodes[one.to]->receive(one.entries, clock.steady());
				}
			}
		}

		member_state state_seen(const std::string& _by, const std::string& _vm)
		{
			return nodes[_by]->state_of(_vm, clock.steady());
		}

		clock_virtual clock;
		std::map<std::string, std::unique_ptr<membership>> nodes;
		std::set<std::string> silent;
		std::string cut_domain;
		std::map<std::string, std::uint64_t> messages;
		std::map<std::string, std::uint64_t> bytes;
	};

	static void expect_all_alive(fleet& _all)
	{
		for (const auto& [by, node] : _all.nodes)
		{
			for (const auto& [vm, other] : _all.nodes)
			{
				CPPUNIT_ASSERT_MESSAGE(by + " of " + vm, member_state::alive == _all.state_seen(by, vm));
			}
		}
	}

public:
	void members_when_all_run_know_each_other()
	{
		fleet all(3, 3);
		all.run(std::chrono::seconds(3));
		expect_all_alive(all);
	}

	/// The fleet has more members than a heartbeat has entries. When entries were selected anew for each
	/// target, some were never sent to some members: 81% of 30 were known.
	void members_when_entries_exceed_one_heartbeat_know_each_other()
	{
		fleet all(6, 5);
		all.run(std::chrono::seconds(20));
		expect_all_alive(all);
	}

	void member_when_silent_is_suspected_until_heard_again()
	{
		fleet all(2, 3);
		all.run(std::chrono::seconds(3));
		all.silent.insert("vm-0-1");
		all.run(std::chrono::seconds(2));
		CPPUNIT_ASSERT(member_state::suspected == all.state_seen("vm-0-0", "vm-0-1"));
		all.silent.clear();
		all.run(std::chrono::seconds(2));
		CPPUNIT_ASSERT(member_state::alive == all.state_seen("vm-0-0", "vm-0-1"));
	}

	void member_when_it_says_farewell_has_left()
	{
		fleet all(1, 3);
		all.run(std::chrono::seconds(2));
		member_entry& self = all.nodes["vm-0-1"]->self();
		self.left = true;
		++self.sequence;
		all.nodes["vm-0-0"]->receive({self}, all.clock.steady());
		CPPUNIT_ASSERT(member_state::left == all.state_seen("vm-0-0", "vm-0-1"));
	}

	void member_when_restarted_replaces_its_former_incarnation()
	{
		fleet all(1, 2);
		all.run(std::chrono::seconds(2));
		member_entry restarted;
		restarted.vm = "vm-0-1";
		restarted.domain = "domain-0";
		restarted.life = {2};
		restarted.sequence = 1;
		all.nodes["vm-0-0"]->receive({restarted}, all.clock.steady());
		CPPUNIT_ASSERT(incarnation{2} == all.nodes["vm-0-0"]->entry_of("vm-0-1")->life);
	}

	void entry_when_older_is_ignored()
	{
		fleet all(1, 2);
		all.run(std::chrono::seconds(2));
		member_entry old = *all.nodes["vm-0-0"]->entry_of("vm-0-1");
		const std::uint64_t known = old.sequence;
		old.sequence = 1;
		all.nodes["vm-0-0"]->receive({old}, all.clock.steady());
		CPPUNIT_ASSERT_EQUAL(known, all.nodes["vm-0-0"]->entry_of("vm-0-1")->sequence);
	}

	void domain_when_cut_off_keeps_its_own_members()
	{
		fleet all(3, 2);
		all.run(std::chrono::seconds(3));
		all.cut_domain = "domain-0";
		all.run(std::chrono::seconds(6));
		CPPUNIT_ASSERT(member_state::alive == all.state_seen("vm-0-0", "vm-0-1"));
		CPPUNIT_ASSERT(member_state::suspected == all.state_seen("vm-0-0", "vm-1-0"));
		CPPUNIT_ASSERT(member_state::suspected == all.state_seen("vm-1-0", "vm-0-0"));
		CPPUNIT_ASSERT(member_state::alive == all.state_seen("vm-1-0", "vm-2-0"));
	}

	void heartbeats_when_fleet_grows_stay_bounded_for_each_node()
	{
		fleet all(7, 20);
		all.run(std::chrono::seconds(10));
		constexpr std::uint64_t k_budget_for_10_s = 150000;
		for (const auto& [name, sent] : all.bytes)
		{
			CPPUNIT_ASSERT(sent < k_budget_for_10_s);
		}
	}

	void message_when_encoded_is_decoded_the_same()
	{
		member_entry entry;
		entry.vm = "vm";
		entry.life = {9};
		entry.sequence = 4;
		entry.leaving = true;
		entry.loads["shop"].usable = 7;
		entry.in_force["shop"] = {1, 2, 3};
		const auto bytes = encode({"vm", message_heartbeat{{entry}}});
		const auto read = decode(std::string(bytes.begin(), bytes.end()));
		const auto& decoded = std::get<message_heartbeat>(std::get<envelope>(read).body).entries.front();
		CPPUNIT_ASSERT(decoded.leaving && incarnation{9} == decoded.life);
		CPPUNIT_ASSERT_EQUAL(7, decoded.loads.at("shop").usable);
		CPPUNIT_ASSERT_EQUAL(3, decoded.in_force.at("shop")[2]);
	}

	void message_when_undecodable_is_an_error()
	{
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode("hello")));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode("")));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);
} // namespace larkrack
