// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Owners of backend servers: which entry VM may take one, which must release it, and how long a new owner
/// counts its slots as full.

#include "fixtures.h"

#include "larkrackd/ownership_p.h"

#include <rapidcheck.h>

namespace larkrack
{
class ownership_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(ownership_test);
	CPPUNIT_TEST(free_when_wanted_is_taken_at_once);
	CPPUNIT_TEST(held_when_holder_is_only_silent_is_not_taken);
	CPPUNIT_TEST(held_when_holder_is_gone_is_taken_as_full);
	CPPUNIT_TEST(held_by_former_incarnation_is_taken_as_full);
	CPPUNIT_TEST(holder_when_not_wanted_waits_for_running_requests);
	CPPUNIT_TEST(holder_when_leaving_releases_without_successor);
	CPPUNIT_TEST(plan_when_member_is_added_is_the_same_on_all_nodes);
	CPPUNIT_TEST(record_when_written_is_read_back);
	CPPUNIT_TEST(owners_when_events_are_random_never_overlap);
	CPPUNIT_TEST_SUITE_END();

	static owner_facts facts_of(const std::string& _self, std::uint64_t _incarnation = 1)
	{
		owner_facts facts;
		facts.self = _self;
		facts.life = {_incarnation};
		facts.candidates = {"a", "b"};
		facts.max_run_time = std::chrono::seconds(2);
		facts.now = from_us(1000000);
		return facts;
	}

	static owner_record held_by(const std::string& _vm, std::uint64_t _incarnation = 1)
	{
		owner_record record;
		record.backends["s1"] = {_vm, {_incarnation}, {}};
		return record;
	}

public:
	void free_when_wanted_is_taken_at_once()
	{
		const auto next = next_owners({}, {{"s1", "a"}}, facts_of("a"));
		CPPUNIT_ASSERT(next.has_value());
		CPPUNIT_ASSERT_EQUAL(std::string("a"), next->backends.at("s1").vm);
		CPPUNIT_ASSERT(next->backends.at("s1").full_until <= from_us(1000000));
	}

	void held_when_holder_is_only_silent_is_not_taken()
	{
		owner_facts facts = facts_of("a");
		facts.candidates = {"a"};
		CPPUNIT_ASSERT(!next_owners(held_by("b"), {{"s1", "a"}}, facts).has_value());
	}

	void held_when_holder_is_gone_is_taken_as_full()
	{
		owner_facts facts = facts_of("a");
		facts.gone = {"b"};
		const auto next = next_owners(held_by("b"), {{"s1", "a"}}, facts);
		CPPUNIT_ASSERT(next.has_value());
		CPPUNIT_ASSERT(from_us(3000000) == next->backends.at("s1").full_until);
	}

	void held_by_former_incarnation_is_taken_as_full()
	{
		const auto next = next_owners(held_by("a", 1), {{"s1", "a"}}, facts_of("a", 2));
		CPPUNIT_ASSERT(next.has_value());
		CPPUNIT_ASSERT(incarnation{2} == next->backends.at("s1").life);
		CPPUNIT_ASSERT(from_us(3000000) == next->backends.at("s1").full_until);
	}

	void holder_when_not_wanted_waits_for_running_requests()
	{
		owner_facts facts = facts_of("a");
		facts.running["s1"] = 1;
		CPPUNIT_ASSERT(!next_owners(held_by("a"), {{"s1", "b"}}, facts).has_value());
		facts.running["s1"] = 0;
		const auto next = next_owners(held_by("a"), {{"s1", "b"}}, facts);
		CPPUNIT_ASSERT(next.has_value());
		CPPUNIT_ASSERT(next->backends.at("s1").vm.empty());
	}

	void holder_when_leaving_releases_without_successor()
	{
		owner_facts facts = facts_of("a");
		facts.self_leaving = true;
		CPPUNIT_ASSERT(is_releasing(held_by("a").backends.at("s1"), "s1", {}, facts));
		facts.self_leaving = false;
		CPPUNIT_ASSERT(!is_releasing(held_by("a").backends.at("s1"), "s1", {}, facts));
	}

	void plan_when_member_is_added_is_the_same_on_all_nodes()
	{
		const std::vector<std::string> backends = {"s1", "s2", "s3", "s4"};
		const auto one = plan_owners("d", "s", backends, {"a", "b", "c"}, 2);
		const auto two = plan_owners("d", "s", backends, {"c", "b", "a"}, 2);
		CPPUNIT_ASSERT(one == two);
		std::map<std::string, int> each;
		for (const auto& [backend, vm] : one)
		{
			++each[vm];
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, each.size());
		CPPUNIT_ASSERT_EQUAL(2, each.begin()->second);
	}

	void record_when_written_is_read_back()
	{
		owner_record record = held_by("a", 7);
		record.sequence = 3;
		const owner_record back = owners_from_text(to_text(record));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, back.sequence);
		CPPUNIT_ASSERT(incarnation{7} == back.backends.at("s1").life);
		CPPUNIT_ASSERT(owners_from_text("not JSON").backends.empty());
	}

	/// Two entry VMs with random crashes, planned stops and requests: only one of them runs requests at the
	/// backend server at a time, so their sum never exceeds the slots.
	void owners_when_events_are_random_never_overlap()
	{
		const bool held = rc::check("at most one entry VM may send to a backend server",
		    [](const std::vector<std::uint8_t>& _steps)
		    {
			    owner_record record;
			    std::map<std::string, std::uint64_t> incarnations = {{"a", 1}, {"b", 1}};
			    std::map<std::string, int> running;
			    std::map<std::string, bool> leaving;
			    std::int64_t now = 0;
			    std::int64_t crashed_work_until = 0;
			    for (const std::uint8_t step : _steps)
			    {
				    now += std::int64_t{100000} * (step % 8);
				    const std::string self = 0 != (step & 8) ? "a" : "b";
				    owner_facts facts = facts_of(self, incarnations[self]);
				    facts.now = from_us(now);
				    facts.self_leaving = leaving[self];
				    facts.candidates = {};
				    for (const std::string vm : {"a", "b"})
				    {
					    if (!leaving[vm])
					    {
						    facts.candidates.insert(vm);
					    }
				    }
				    facts.running["s1"] = running[self];
				    const auto wanted = plan_owners("d", "s", {"s1"}, facts.candidates, 1);
				    const owner_entry entry = record.backends["s1"];
				    const bool may_send = entry.vm == self && entry.life.value == incarnations[self] &&
				                          entry.full_until <= facts.now &&
				                          !is_releasing(entry, "s1", wanted, facts);
				    switch (step >> 5)
				    {
				    case 0: // The process crashes: its requests run on for at most 2 s.
					    crashed_work_until = 0 < running[self] ? now + 2000000 : crashed_work_until;
					    running[self] = 0;
					    ++incarnations[self];
					    break;
				    case 1:
					    leaving[self] = !leaving[self];
					    break;
				    case 2:
				    case 3:
					    if (may_send && running[self] < 3)
					    {
						    RC_ASSERT(crashed_work_until <= now);
						    ++running[self];
					    }
					    break;
				    case 4:
					    running[self] = std::max(0, running[self] - 1);
					    break;
				    default:
					    record = next_owners(record, wanted, facts).value_or(record);
				    }
				    RC_ASSERT(0 == running["a"] || 0 == running["b"]);
			    }
		    });
		CPPUNIT_ASSERT(held);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_test);
} // namespace larkrack
