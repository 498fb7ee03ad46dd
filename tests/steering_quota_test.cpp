// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of quotas over all nodes: the lender, the borrower, and the ring of nodes that chooses the lender.

#include "fixtures.h"

#include "steering/customer_p.h"
#include "steering/node_ring_p.h"
#include "steering/quota_borrower_p.h"
#include "steering/quota_lender_p.h"

#include <map>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;
constexpr quota_bounds k_bounds{ms(5000), 0.1, 20.0};
constexpr quota_lenders k_shop_lenders{1, 2};

customer limited(double _per_s, double _burst)
{
	customer entry;
	entry.name = customer_name("shop");
	entry.id = customer_id("shop");
	entry.limit = {_per_s, _burst};
	return entry;
}

quota_request borrow_request(const customer& _customer, int _tokens, lender_rank _rank = lender_rank::first)
{
	return {_customer.id, static_cast<std::uint16_t>(_tokens), _rank};
}
} // namespace

class steering_quota_lender_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_quota_lender_test);
	CPPUNIT_TEST(lender_with_unchanged_nodes_lends_the_burst_then_the_rate);
	CPPUNIT_TEST(lender_after_its_start_lends_no_burst);
	CPPUNIT_TEST(lender_after_a_change_of_nodes_keeps_a_recently_used_bucket);
	CPPUNIT_TEST(lender_after_a_change_of_nodes_resets_an_unused_bucket);
	CPPUNIT_TEST(lender_as_backup_starts_with_an_empty_bucket);
	CPPUNIT_TEST(lender_with_few_live_nodes_lends_their_fraction_of_the_limit);
	CPPUNIT_TEST(lender_without_tokens_tells_the_wait_for_all_wanted_tokens);
	CPPUNIT_TEST(lender_with_a_lowered_limit_lends_by_the_new_limit);
	CPPUNIT_TEST(lender_that_counts_borrow_requests_tells_the_wait_by_their_number);
	CPPUNIT_TEST(bucket_without_borrow_requests_is_removed);
	CPPUNIT_TEST_SUITE_END();

protected:
	steady_time m_now{std::chrono::hours(1)};
	quota_lender m_lender{k_bounds, m_now};
	const customer m_shop = limited(100.0, 50.0);

	int lend(const customer& _customer, int _tokens, lender_rank _rank = lender_rank::first)
	{
		return m_lender.lend(_customer, borrow_request(_customer, _tokens, _rank), m_now).granted;
	}

	void lender_with_unchanged_nodes_lends_the_burst_then_the_rate()
	{
		m_now += std::chrono::minutes(1);
		CPPUNIT_ASSERT_EQUAL(54, lend(m_shop, 1000)); // Burst, and a fifth of the slack.
		CPPUNIT_ASSERT_EQUAL(0, lend(m_shop, 1));
		m_now += ms(200);
		CPPUNIT_ASSERT_EQUAL(20, lend(m_shop, 1000));
	}

	void lender_after_its_start_lends_no_burst()
	{
		CPPUNIT_ASSERT_EQUAL(0, lend(m_shop, 1000));
		m_now += ms(100);
		CPPUNIT_ASSERT_EQUAL(10, lend(m_shop, 1000));
	}

	void lender_after_a_change_of_nodes_keeps_a_recently_used_bucket()
	{
		m_now += std::chrono::minutes(1);
		CPPUNIT_ASSERT_EQUAL(5, lend(m_shop, 5));
		m_now += ms(500);
		m_lender.on_nodes_changed(m_now);
		CPPUNIT_ASSERT_EQUAL(
		    49, lend(m_shop, 1000)); // The remaining tokens; none for the time until the change.
	}

	void lender_after_a_change_of_nodes_resets_an_unused_bucket()
	{
		m_now += std::chrono::minutes(1);
		CPPUNIT_ASSERT_EQUAL(5, lend(m_shop, 5));
		m_now += std::chrono::seconds(5);
		m_lender.on_nodes_changed(m_now);
		CPPUNIT_ASSERT_EQUAL(0, lend(m_shop, 1000));
	}

	void lender_as_backup_starts_with_an_empty_bucket()
	{
		m_now += std::chrono::minutes(1);
		CPPUNIT_ASSERT_EQUAL(0, lend(m_shop, 10, lender_rank::backup));
		m_now += ms(100);
		CPPUNIT_ASSERT_EQUAL(2, lend(m_shop, 1000, lender_rank::backup)); // A quarter of the rate.
		CPPUNIT_ASSERT_EQUAL(0, lend(m_shop, 1000)); // Now the first lender: the bucket is the same.
	}

	void lender_with_few_live_nodes_lends_their_fraction_of_the_limit()
	{
		m_now += std::chrono::minutes(1);
		m_lender.set_nodes(40.0, 100.0);
		CPPUNIT_ASSERT_EQUAL(21, lend(m_shop, 1000)); // 0.4 of 54.
		m_now += ms(500);
		CPPUNIT_ASSERT_EQUAL(20, lend(m_shop, 1000)); // 0.4 of 50.
	}

	/// Requests that try several limits in turn want more tokens of each than they need.
	void lender_that_counts_borrow_requests_tells_the_wait_by_their_number()
	{
		quota_bounds bounds = k_bounds;
		bounds.counts_borrow_requests = true;
		quota_lender lender(bounds, m_now);
		quota_grant last;
		for (int question = 0; question < 5; ++question)
		{
			last = lender.lend(m_shop, borrow_request(m_shop, 100), m_now);
		}
		CPPUNIT_ASSERT(0 == last.granted && last.wait >= ms(50) && last.wait < ms(60));
	}

	void lender_without_tokens_tells_the_wait_for_all_wanted_tokens()
	{
		m_now += std::chrono::minutes(1);
		lend(m_shop, 1000);
		const quota_grant few = m_lender.lend(m_shop, borrow_request(m_shop, 5), m_now);
		CPPUNIT_ASSERT(0 == few.granted && few.wait >= ms(50));
		lend(m_shop, 400);
		const quota_grant many = m_lender.lend(m_shop, borrow_request(m_shop, 5), m_now);
		CPPUNIT_ASSERT(many.wait >= ms(4000));
		CPPUNIT_ASSERT(!is_redirect(few) && !is_redirect(many));
	}

	void lender_with_a_lowered_limit_lends_by_the_new_limit()
	{
		m_now += std::chrono::minutes(1);
		lend(m_shop, 5);
		CPPUNIT_ASSERT_EQUAL(14, lend(limited(20.0, 10.0), 1000));
		m_now += ms(500);
		CPPUNIT_ASSERT_EQUAL(10, lend(limited(20.0, 10.0), 1000));
	}

	void bucket_without_borrow_requests_is_removed()
	{
		lend(m_shop, 1);
		m_now += k_bucket_idle_timeout;
		m_lender.evict_idle(m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lender.size());
		m_now += ms(1);
		m_lender.evict_idle(m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_lender.size());
	}
};

class steering_quota_borrower_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_quota_borrower_test);
	CPPUNIT_TEST(first_request_of_a_customer_waits_for_the_lender);
	CPPUNIT_TEST(request_with_tokens_borrowed_ahead_does_not_wait);
	CPPUNIT_TEST(tokens_expire_after_their_lifetime);
	CPPUNIT_TEST(token_given_back_serves_the_next_request);
	CPPUNIT_TEST(customer_far_above_its_limit_is_refused_until_the_next_borrow_request);
	CPPUNIT_TEST(customer_with_a_short_shortage_waits);
	CPPUNIT_TEST(lender_without_answers_is_skipped_for_all_customers);
	CPPUNIT_TEST(lender_with_late_answers_is_not_skipped);
	CPPUNIT_TEST(lender_after_a_redirect_is_asked_again);
	CPPUNIT_TEST(requests_without_lenders_stay_within_the_fallback_allowance);
	CPPUNIT_TEST(retry_time_of_refused_grows_with_the_overload);
	CPPUNIT_TEST(account_without_requests_is_removed);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// So many nodes that none has a fallback allowance of a whole request.
	static constexpr double k_nodes = 1e9;
	steady_time m_now{std::chrono::hours(1)};
	quota_borrower m_borrower{k_bounds, 0, m_now};
	const customer m_shop = limited(100.0, 50.0);

	quota_answer take()
	{
		return m_borrower.take(m_shop, k_nodes, m_now);
	}
	std::optional<quota_request> next_borrow_request(std::size_t _waiting = 1)
	{
		return m_borrower.next_borrow_request(m_shop, k_shop_lenders, _waiting, m_now);
	}
	void grant(int _tokens, ms _wait = ms(1), std::uint32_t _lender = 1)
	{
		m_borrower.on_grant({m_shop.id, static_cast<std::uint16_t>(_tokens), _wait}, _lender, m_now);
	}

	void first_request_of_a_customer_waits_for_the_lender()
	{
		CPPUNIT_ASSERT(quota_answer::waits == take());
		const auto request = next_borrow_request();
		CPPUNIT_ASSERT(request && 1 == request->wanted && lender_rank::first == request->rank);
		CPPUNIT_ASSERT(!next_borrow_request()); // One borrow request at a time.
		grant(1);
		CPPUNIT_ASSERT(quota_answer::granted == m_borrower.retry_take(m_shop, k_shop_lenders, m_now));
		CPPUNIT_ASSERT(!next_borrow_request(0)); // The rate of a single request is too low to borrow ahead.
	}

	void request_with_tokens_borrowed_ahead_does_not_wait()
	{
		for (int i = 0; i < 100; ++i)
		{
			take();
			m_now += ms(10);
		}
		const auto request = next_borrow_request();
		CPPUNIT_ASSERT(request && request->wanted >= 8 && request->wanted <= 21);
		grant(request->wanted);
		CPPUNIT_ASSERT(quota_answer::granted == take());
		CPPUNIT_ASSERT(!next_borrow_request(0)); // More than half of the tokens are left.
	}

	void tokens_expire_after_their_lifetime()
	{
		take();
		next_borrow_request();
		grant(2);
		m_now += k_token_lifetime;
		CPPUNIT_ASSERT(quota_answer::waits == take());
	}

	void token_given_back_serves_the_next_request()
	{
		take();
		next_borrow_request();
		grant(1);
		CPPUNIT_ASSERT(quota_answer::granted == take());
		CPPUNIT_ASSERT(quota_answer::waits == take());
		m_borrower.return_token(m_shop, m_now);
		CPPUNIT_ASSERT(quota_answer::granted == take());
	}

	void customer_far_above_its_limit_is_refused_until_the_next_borrow_request()
	{
		take();
		next_borrow_request();
		grant(0, ms(3000));
		CPPUNIT_ASSERT(quota_answer::over_limit == take());
		CPPUNIT_ASSERT(quota_answer::over_limit == m_borrower.retry_take(m_shop, k_shop_lenders, m_now));
		CPPUNIT_ASSERT(!next_borrow_request());
		m_now += k_max_borrow_pause;
		CPPUNIT_ASSERT(quota_answer::waits == take());
		CPPUNIT_ASSERT(next_borrow_request());
		CPPUNIT_ASSERT(
		    quota_answer::over_limit == take()); // Further requests are refused while that request waits.
	}

	void customer_with_a_short_shortage_waits()
	{
		take();
		next_borrow_request();
		grant(0, ms(100));
		CPPUNIT_ASSERT(quota_answer::waits == take());
		CPPUNIT_ASSERT(!next_borrow_request());
		m_now += ms(100);
		CPPUNIT_ASSERT(next_borrow_request());
	}

	void let_the_first_lender_time_out()
	{
		take();
		next_borrow_request();
		for (ms passed{0}; passed < k_lender_unresponsive_after; passed += k_lender_response_timeout)
		{
			m_now += k_lender_response_timeout;
			next_borrow_request();
		}
	}

	void lender_without_answers_is_skipped_for_all_customers()
	{
		let_the_first_lender_time_out();
		CPPUNIT_ASSERT(m_borrower.is_unresponsive(1, m_now));
		customer mill = limited(10.0, 10.0);
		mill.id = 7;
		m_borrower.take(mill, k_nodes, m_now);
		const auto request = m_borrower.next_borrow_request(mill, k_shop_lenders, 1, m_now);
		CPPUNIT_ASSERT(request && lender_rank::backup == request->rank);
		m_now += k_lender_skip_time;
		CPPUNIT_ASSERT(!m_borrower.is_unresponsive(1, m_now));
	}

	void lender_with_late_answers_is_not_skipped()
	{
		for (int i = 0; i < 10; ++i)
		{
			take();
			next_borrow_request();
			m_now += k_lender_response_timeout;
			CPPUNIT_ASSERT(next_borrow_request()); // A further borrow request is sent,
			grant(1);                              // and answered late.
			CPPUNIT_ASSERT(!m_borrower.is_unresponsive(1, m_now));
		}
	}

	void lender_after_a_redirect_is_asked_again()
	{
		let_the_first_lender_time_out();
		CPPUNIT_ASSERT(m_borrower.is_unresponsive(1, m_now));
		m_borrower.on_redirect({m_shop.id, 0, k_redirect_wait}, 1);
		const auto request = next_borrow_request();
		CPPUNIT_ASSERT(request && lender_rank::first == request->rank);
	}

	void requests_without_lenders_stay_within_the_fallback_allowance()
	{
		constexpr int k_fleet_nodes = 67;
		int granted = 0;
		for (int node = 0; node < k_fleet_nodes; ++node)
		{
			quota_borrower entry(k_bounds, customer_id("n" + std::to_string(node)), m_now - k_bounds.window);
			CPPUNIT_ASSERT(
			    quota_answer::waits == quota_borrower(k_bounds, 0, m_now).take(m_shop, 1.0, m_now));
			for (int i = 0; i < 500; ++i) // One request each 10 ms, for one window.
			{
				const steady_time now = m_now + ms(10 * i);
				granted += quota_answer::granted == entry.take(m_shop, k_fleet_nodes, now) ? 1 : 0;
			}
		}
		// A fifth of the overage of 550 requests and 0.3 of the slack, 17 in total, rounded at each node.
		CPPUNIT_ASSERT(granted >= 7 && granted <= 30);
	}

	void retry_time_of_refused_grows_with_the_overload()
	{
		CPPUNIT_ASSERT_EQUAL(0.5, m_borrower.quota_retry_delay_s(m_shop));
		for (int i = 0; i < 100; ++i)
		{
			take();
			m_now += ms(1);
		}
		CPPUNIT_ASSERT_EQUAL(4.0, m_borrower.quota_retry_delay_s(m_shop));
	}

	void account_without_requests_is_removed()
	{
		take();
		m_now += k_account_idle_timeout + ms(1);
		m_borrower.evict_idle(m_now);
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_borrower.size());
	}
};

class steering_node_ring_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_node_ring_test);
	CPPUNIT_TEST(customers_are_spread_over_all_nodes);
	CPPUNIT_TEST(node_that_leaves_passes_its_customers_to_their_backups);
	CPPUNIT_TEST(single_node_is_its_own_backup);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr std::size_t k_nodes = 67;
	static constexpr int k_customers = 20000;

	static std::vector<node_name> nodes_without(std::size_t _left_out)
	{
		std::vector<node_name> nodes;
		for (std::size_t i = 0; i < k_nodes; ++i)
		{
			if (i != _left_out)
			{
				nodes.emplace_back("n" + std::to_string(i));
			}
		}
		return nodes;
	}

	static std::uint64_t customer_of(int _number)
	{
		return customer_id("c" + std::to_string(_number));
	}

	void customers_are_spread_over_all_nodes()
	{
		node_ring ring;
		ring.build(nodes_without(k_nodes));
		std::map<std::size_t, int> customers;
		for (int i = 0; i < k_customers; ++i)
		{
			++customers[ring.owners_of(customer_of(i)).first];
		}
		CPPUNIT_ASSERT_EQUAL(k_nodes, customers.size());
		for (const auto& [node, count] : customers)
		{
			CPPUNIT_ASSERT(count < 3 * k_customers / static_cast<int>(k_nodes));
		}
	}

	void node_that_leaves_passes_its_customers_to_their_backups()
	{
		const std::vector<node_name> all = nodes_without(k_nodes);
		const std::vector<node_name> remaining = nodes_without(5);
		node_ring before;
		before.build(all);
		node_ring after;
		after.build(remaining);
		for (int i = 0; i < k_customers; ++i)
		{
			const ring_owners old = before.owners_of(customer_of(i));
			const std::size_t expected = 5 == old.first ? old.backup : old.first;
			CPPUNIT_ASSERT(all[expected] == remaining[after.owners_of(customer_of(i)).first]);
		}
	}

	void single_node_is_its_own_backup()
	{
		node_ring ring;
		CPPUNIT_ASSERT(ring.empty());
		ring.build({node_name("n1")});
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ring.owners_of(1).first);
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ring.owners_of(1).backup);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_quota_lender_test);
CPPUNIT_TEST_SUITE_REGISTRATION(steering_quota_borrower_test);
CPPUNIT_TEST_SUITE_REGISTRATION(steering_node_ring_test);
} // namespace larkrack
