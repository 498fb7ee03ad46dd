// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests that crash backend servers: how they are identified and blamed, and when they are blocked and let
/// through for a trial.

#include "fixtures.h"

#include "steering/blocked_requests_p.h"
#include "steering/crash_evidence_p.h"
#include "steering/served_lately_p.h"

namespace larkrack
{
namespace
{
constexpr steady_time k_begin{std::chrono::hours(1)};
constexpr std::uint32_t k_first_caller = 11;
constexpr std::uint32_t k_other_caller = 12;

request_fingerprint request_of(std::uint64_t _number, std::uint32_t _caller = k_first_caller)
{
	return {_number, _number, _caller};
}

crash_record crash_of(std::uint32_t _life, std::uint32_t _caller = k_first_caller)
{
	return {_life, _caller, false, k_begin};
}

request_block block_of(std::uint32_t _number)
{
	request_block block;
	block.request = request_of(1);
	block.number = _number;
	return block;
}
} // namespace

class steering_crash_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_crash_test);
	CPPUNIT_TEST(fingerprint_differs_by_method_host_target_body_and_caller);
	CPPUNIT_TEST(request_that_three_servers_crashed_under_is_blamed);
	CPPUNIT_TEST(crash_reported_several_times_counts_once);
	CPPUNIT_TEST(request_that_was_served_meanwhile_is_not_blamed);
	CPPUNIT_TEST(request_of_several_callers_is_blamed_for_all);
	CPPUNIT_TEST(crash_that_counts_for_its_caller_only_blames_no_other);
	CPPUNIT_TEST(crash_that_expired_is_forgotten);
	CPPUNIT_TEST(many_different_requests_are_remembered_up_to_the_maximum);
	CPPUNIT_TEST(blocked_request_gets_one_trial);
	CPPUNIT_TEST(blocked_request_gets_another_trial_only_after_a_release);
	CPPUNIT_TEST(trial_that_reached_no_server_may_be_repeated);
	CPPUNIT_TEST(change_that_is_older_is_ignored);
	CPPUNIT_TEST(changes_with_one_number_leave_the_same_state_in_any_order);
	CPPUNIT_TEST(block_for_any_caller_holds_for_each);
	CPPUNIT_TEST(block_of_a_request_that_stays_away_expires);
	CPPUNIT_TEST(many_blocks_are_remembered_up_to_the_maximum_and_the_oldest_are_evicted);
	CPPUNIT_TEST(request_counts_as_recently_served_for_a_moment);
	CPPUNIT_TEST_SUITE_END();

protected:
	void fingerprint_differs_by_method_host_target_body_and_caller()
	{
		const std::uint64_t head = request_head_hash("GET", "shop.example", "/read/1?a=1");
		CPPUNIT_ASSERT(head == request_head_hash("GET", "shop.example", "/read/1?a=1"));
		CPPUNIT_ASSERT(head != request_head_hash("PUT", "shop.example", "/read/1?a=1"));
		CPPUNIT_ASSERT(head != request_head_hash("GET", "shop.example2", "/read/1?a=1"));
		CPPUNIT_ASSERT(head != request_head_hash("GET", "shop.example", "/read/1?a=2"));
		CPPUNIT_ASSERT(head == request_content_hash(head, ""));
		CPPUNIT_ASSERT(request_content_hash(head, "a") != request_content_hash(head, "b"));
		const std::uint64_t sender = request_sender_hash("press");
		CPPUNIT_ASSERT(request_caller_hash(sender, 0) != request_caller_hash(request_sender_hash("shop"), 0));
		CPPUNIT_ASSERT(request_caller_hash(sender, 1) != request_caller_hash(sender, 2));
	}

	void request_that_three_servers_crashed_under_is_blamed()
	{
		crash_evidence evidence;
		CPPUNIT_ASSERT(!evidence.on_crash(request_of(1), crash_of(1)));
		CPPUNIT_ASSERT(!evidence.on_crash(request_of(2), crash_of(1)));
		CPPUNIT_ASSERT(!evidence.on_crash(request_of(1), crash_of(2)));
		CPPUNIT_ASSERT(request_of(1) == *evidence.on_crash(request_of(1), crash_of(3)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), evidence.crash_count(request_of(1)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), evidence.crash_count(request_of(2)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), evidence.crash_count(request_of(1, k_other_caller)));
	}

	void crash_reported_several_times_counts_once()
	{
		crash_evidence evidence;
		for (int report = 0; report < 10; ++report)
		{
			CPPUNIT_ASSERT(!evidence.on_crash(request_of(1), crash_of(1)));
			CPPUNIT_ASSERT(!evidence.on_crash(request_of(1), crash_of(2)));
		}
	}

	void request_that_was_served_meanwhile_is_not_blamed()
	{
		crash_evidence evidence;
		evidence.on_crash(request_of(1), crash_of(1));
		evidence.on_crash(request_of(1), crash_of(2));
		evidence.on_served(request_of(1));
		CPPUNIT_ASSERT(evidence.empty());
		CPPUNIT_ASSERT(!evidence.suspects(1));
		CPPUNIT_ASSERT(!evidence.on_crash(request_of(1), crash_of(3)));
	}

	void request_of_several_callers_is_blamed_for_all()
	{
		crash_evidence evidence;
		evidence.on_crash(request_of(1, 1), crash_of(1, 1));
		evidence.on_crash(request_of(1, 2), crash_of(2, 2));
		const auto blamed = evidence.on_crash(request_of(1, 3), crash_of(3, 3));
		CPPUNIT_ASSERT(request_of(1, k_any_caller) == *blamed);
	}

	void crash_that_counts_for_its_caller_only_blames_no_other()
	{
		crash_evidence evidence;
		for (std::uint32_t caller = 1; caller <= 5; ++caller)
		{
			crash_record crash = crash_of(caller, caller);
			crash.caller_only = true;
			CPPUNIT_ASSERT(!evidence.on_crash(request_of(1, caller), crash));
		}
		evidence.on_crash(request_of(1, 1), crash_of(8, 1));
		CPPUNIT_ASSERT(request_of(1, 1) == *evidence.on_crash(request_of(1, 1), crash_of(9, 1)));
	}

	void crash_that_expired_is_forgotten()
	{
		crash_evidence evidence;
		evidence.on_crash(request_of(1), crash_of(1));
		evidence.tick(k_begin + k_crash_retention);
		CPPUNIT_ASSERT(!evidence.empty());
		evidence.tick(k_begin + k_crash_retention + std::chrono::milliseconds(1));
		CPPUNIT_ASSERT(evidence.empty());
	}

	void many_different_requests_are_remembered_up_to_the_maximum()
	{
		crash_evidence evidence;
		for (std::uint64_t number = 1; number <= 100000; ++number)
		{
			evidence.on_crash(request_of(number), crash_of(1));
		}
		std::size_t remembered = 0;
		for (std::uint64_t number = 1; number <= 100000; ++number)
		{
			remembered += evidence.suspects(number) ? 1 : 0;
		}
		CPPUNIT_ASSERT_EQUAL(k_max_suspects, remembered);
		CPPUNIT_ASSERT(evidence.suspects(100000));
	}

	void blocked_request_gets_one_trial()
	{
		blocked_requests blocked;
		CPPUNIT_ASSERT(block_decision::open == blocked.decide(request_of(1), 7, k_begin));
		blocked.take(block_of(1), k_begin);
		CPPUNIT_ASSERT(blocked.may_match(1));
		CPPUNIT_ASSERT(block_decision::may_request_trial == blocked.decide(request_of(1), 7, k_begin));
		CPPUNIT_ASSERT(block_decision::open == blocked.decide(request_of(1, k_other_caller), 7, k_begin));
		CPPUNIT_ASSERT(blocked.grant_trial(request_of(1), 7, k_begin));
		CPPUNIT_ASSERT(block_decision::refuse == blocked.decide(request_of(1), 7, k_begin));
		CPPUNIT_ASSERT(!blocked.grant_trial(request_of(1), 7, k_begin + std::chrono::hours(1)));
	}

	void blocked_request_gets_another_trial_only_after_a_release()
	{
		blocked_requests blocked;
		blocked.take(block_of(1), k_begin);
		blocked.grant_trial(request_of(1), 7, k_begin);
		CPPUNIT_ASSERT(!blocked.grant_trial(request_of(1), 8, k_begin + std::chrono::seconds(1)));
		const steady_time later = k_begin + k_trial_interval;
		CPPUNIT_ASSERT(!blocked.grant_trial(request_of(1), 7, later));
		CPPUNIT_ASSERT(blocked.grant_trial(request_of(1), 8, later));
		for (std::uint32_t versions = 9; versions < 20; ++versions)
		{
			CPPUNIT_ASSERT(
			    !blocked.grant_trial(request_of(1), versions, later + versions * k_trial_interval));
		}
	}

	void trial_that_reached_no_server_may_be_repeated()
	{
		blocked_requests blocked;
		blocked.take(block_of(1), k_begin);
		blocked.grant_trial(request_of(1), 7, k_begin);
		CPPUNIT_ASSERT_EQUAL(0U, blocked.return_trial(request_of(1), k_begin)->trials);
		CPPUNIT_ASSERT(!blocked.return_trial(request_of(1), k_begin));
		CPPUNIT_ASSERT(blocked.grant_trial(request_of(1), 7, k_begin));
	}

	void change_that_is_older_is_ignored()
	{
		blocked_requests blocked;
		request_block cleared = block_of(2);
		cleared.blocked = false;
		CPPUNIT_ASSERT(blocked.take(cleared, k_begin));
		CPPUNIT_ASSERT(!blocked.take(block_of(1), k_begin));
		CPPUNIT_ASSERT(block_decision::open == blocked.decide(request_of(1), 7, k_begin));
		CPPUNIT_ASSERT(blocked.take(block_of(3), k_begin));
		CPPUNIT_ASSERT(!blocked.take(block_of(3), k_begin));
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), blocked.size());
	}

	/// Guards against an innocent request that stays blocked at some nodes, since they heard of a trial
	/// before they heard of the clearance that another node decided at the same time.
	void changes_with_one_number_leave_the_same_state_in_any_order()
	{
		request_block cleared = block_of(2);
		cleared.blocked = false;
		request_block tried = block_of(2);
		tried.trials = 1;
		blocked_requests first;
		blocked_requests second;
		first.take(cleared, k_begin);
		CPPUNIT_ASSERT(!first.take(tried, k_begin));
		second.take(tried, k_begin);
		CPPUNIT_ASSERT(second.take(cleared, k_begin));
		CPPUNIT_ASSERT(block_decision::open == first.decide(request_of(1), 7, k_begin));
		CPPUNIT_ASSERT(block_decision::open == second.decide(request_of(1), 7, k_begin));
		request_block tried_twice = tried;
		tried_twice.trials = 2;
		CPPUNIT_ASSERT(tried < tried_twice && tried_twice < cleared && cleared < block_of(3));
	}

	void block_for_any_caller_holds_for_each()
	{
		blocked_requests blocked;
		request_block block = block_of(1);
		block.request.caller = k_any_caller;
		blocked.take(block, k_begin);
		CPPUNIT_ASSERT(nullptr != blocked.find(request_of(1, k_first_caller)));
		CPPUNIT_ASSERT(nullptr != blocked.find(request_of(1, k_other_caller)));
		CPPUNIT_ASSERT(nullptr == blocked.find(request_of(2)));
	}

	void block_of_a_request_that_stays_away_expires()
	{
		blocked_requests blocked;
		blocked.take(block_of(1), k_begin);
		const steady_time last = k_begin + k_block_retention;
		CPPUNIT_ASSERT(blocked.tick(last).empty());
		blocked.decide(request_of(1), 7, last);
		CPPUNIT_ASSERT(blocked.tick(last + k_block_retention).empty());
		CPPUNIT_ASSERT_EQUAL(
		    std::size_t(1), blocked.tick(last + k_block_retention + std::chrono::milliseconds(1)).size());
		CPPUNIT_ASSERT(!blocked.may_match(1));
	}

	void many_blocks_are_remembered_up_to_the_maximum_and_the_oldest_are_evicted()
	{
		blocked_requests blocked;
		request_block block = block_of(1);
		for (std::uint64_t number = 1; number <= k_max_blocked + 100; ++number)
		{
			const steady_time now = k_begin + std::chrono::milliseconds(number);
			block.request = request_of(number);
			blocked.take(block, now);
			blocked.decide(request_of(1), 7, now);
		}
		CPPUNIT_ASSERT_EQUAL(k_max_blocked, blocked.size());
		CPPUNIT_ASSERT(nullptr != blocked.find(request_of(1)));
		CPPUNIT_ASSERT(nullptr == blocked.find(request_of(2)));
	}

	void request_counts_as_recently_served_for_a_moment()
	{
		recently_served served;
		CPPUNIT_ASSERT(!served.has(0, k_begin));
		served.note(5, k_begin);
		CPPUNIT_ASSERT(served.has(5, k_begin + k_recently_served_time));
		CPPUNIT_ASSERT(!served.has(5, k_begin + k_recently_served_time + std::chrono::milliseconds(1)));
		CPPUNIT_ASSERT(!served.has(5 + k_recently_served_entries, k_begin));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_crash_test);
} // namespace larkrack
