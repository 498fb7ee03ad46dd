// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Membership on a virtual clock: many entry VMs in one process.

#include "fixtures.h"

#include "larkrackd/membership_p.h"
#include "larkrackd/message_p.h"

namespace larkrack
{
class membership_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(membership_test);
	CPPUNIT_TEST(members_when_all_run_know_each_other);
	CPPUNIT_TEST(members_when_news_have_to_come_round_know_each_other);
	CPPUNIT_TEST(member_when_silent_is_suspected_and_found_again);
	CPPUNIT_TEST(member_when_it_says_farewell_has_left);
	CPPUNIT_TEST(member_when_restarted_replaces_its_former_life);
	CPPUNIT_TEST(news_when_older_is_not_taken);
	CPPUNIT_TEST(domain_when_cut_off_keeps_its_own_members);
	CPPUNIT_TEST(heartbeats_when_fleet_grows_stay_bounded_for_each_node);
	CPPUNIT_TEST(message_when_encoded_is_decoded_the_same);
	CPPUNIT_TEST(message_when_foreign_is_an_error);
	CPPUNIT_TEST_SUITE_END();

	/// Entry VMs that hand each other heartbeats at once.
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
					if (0 == dead.count(name))
					{
						deliver(name, node->tick(clock.steady()));
					}
				}
			}
		}

		void deliver(const std::string& _from, const std::vector<heartbeat>& _beats)
		{
			for (const heartbeat& one : _beats)
			{
				const std::string from_domain = nodes[_from]->self().domain;
				const std::string to_domain = nodes[one.to]->self().domain;
				const bool is_cut = from_domain != to_domain && (from_domain == cut || to_domain == cut);
				++messages[_from];
				bytes[_from] += encode({_from, message_heartbeat{one.entries}}).size();
				if (0 == dead.count(one.to) && !is_cut)
				{
					nodes[one.to]->receive(one.entries, clock.steady());
				}
			}
		}

		member_state seen(const std::string& _by, const std::string& _vm)
		{
			return nodes[_by]->state_of(_vm, clock.steady());
		}

		clock_virtual clock;
		std::map<std::string, std::unique_ptr<membership>> nodes;
		std::set<std::string> dead;
		std::string cut;
		std::map<std::string, std::uint64_t> messages;
		std::map<std::string, std::uint64_t> bytes;
	};

	static void expect_all_alive(fleet& _all)
	{
		for (const auto& [by, node] : _all.nodes)
		{
			for (const auto& [vm, other] : _all.nodes)
			{
				CPPUNIT_ASSERT_MESSAGE(by + " of " + vm, member_state::alive == _all.seen(by, vm));
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

	/// More members than one heartbeat names. When its news were drawn anew for each target, some members
	/// were never told to some others: 81% of 30 were known.
	void members_when_news_have_to_come_round_know_each_other()
	{
		fleet all(6, 5);
		all.run(std::chrono::seconds(20));
		expect_all_alive(all);
	}

	void member_when_silent_is_suspected_and_found_again()
	{
		fleet all(2, 3);
		all.run(std::chrono::seconds(3));
		all.dead.insert("vm-0-1");
		all.run(std::chrono::seconds(2));
		CPPUNIT_ASSERT(member_state::suspected == all.seen("vm-0-0", "vm-0-1"));
		all.dead.clear();
		all.run(std::chrono::seconds(2));
		CPPUNIT_ASSERT(member_state::alive == all.seen("vm-0-0", "vm-0-1"));
	}

	void member_when_it_says_farewell_has_left()
	{
		fleet all(1, 3);
		all.run(std::chrono::seconds(2));
		member_entry& self = all.nodes["vm-0-1"]->self();
		self.left = true;
		++self.sequence;
		all.nodes["vm-0-0"]->receive({self}, all.clock.steady());
		CPPUNIT_ASSERT(member_state::left == all.seen("vm-0-0", "vm-0-1"));
	}

	void member_when_restarted_replaces_its_former_life()
	{
		fleet all(1, 2);
		all.run(std::chrono::seconds(2));
		member_entry reborn;
		reborn.vm = "vm-0-1";
		reborn.domain = "domain-0";
		reborn.life = {2};
		reborn.sequence = 1;
		all.nodes["vm-0-0"]->receive({reborn}, all.clock.steady());
		CPPUNIT_ASSERT(incarnation{2} == all.nodes["vm-0-0"]->entry_of("vm-0-1")->life);
	}

	void news_when_older_is_not_taken()
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
		all.cut = "domain-0";
		all.run(std::chrono::seconds(6));
		CPPUNIT_ASSERT(member_state::alive == all.seen("vm-0-0", "vm-0-1"));
		CPPUNIT_ASSERT(member_state::suspected == all.seen("vm-0-0", "vm-1-0"));
		CPPUNIT_ASSERT(member_state::suspected == all.seen("vm-1-0", "vm-0-0"));
		CPPUNIT_ASSERT(member_state::alive == all.seen("vm-1-0", "vm-2-0"));
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
		const auto& back = std::get<message_heartbeat>(std::get<envelope>(read).body).entries.front();
		CPPUNIT_ASSERT(back.leaving && incarnation{9} == back.life);
		CPPUNIT_ASSERT_EQUAL(7, back.loads.at("shop").usable);
		CPPUNIT_ASSERT_EQUAL(3, back.in_force.at("shop")[2]);
	}

	void message_when_foreign_is_an_error()
	{
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode("hello")));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode("")));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);
} // namespace larkrack
