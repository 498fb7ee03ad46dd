// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the queue that divides the slots of a node between groups.

#include "fixtures.h"

#include "steering/fair_queue_p.h"

#include <cmath>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace larkrack
{
namespace
{
admission_request make_request(
    std::uint64_t _number, std::uint64_t _group, double _weight = 1.0, urgency _rank = {})
{
	admission_request made;
	made.number = {_number};
	made.group = {_group};
	made.weight = _weight;
	made.rank = _rank;
	return made;
}
} // namespace

class steering_fair_queue_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_fair_queue_test);
	CPPUNIT_TEST(more_urgent_requests_come_first_and_customers_before_routes);
	CPPUNIT_TEST(returning_callers_precede_first_arrivals_of_their_urgency_only);
	CPPUNIT_TEST(groups_are_served_by_weight_whatever_they_queue);
	CPPUNIT_TEST(group_that_comes_back_is_not_repaid_for_its_absence);
	CPPUNIT_TEST(requests_that_give_up_cost_their_group_nothing);
	CPPUNIT_TEST(request_sent_without_waiting_is_charged_to_its_group);
	CPPUNIT_TEST(groups_that_may_not_send_are_passed_over);
	CPPUNIT_TEST(forecast_counts_the_requests_that_are_tried_before_a_new_one);
	CPPUNIT_TEST(state_of_idle_groups_is_bounded);
	CPPUNIT_TEST(invalid_weights_and_unknown_requests_are_harmless);
	CPPUNIT_TEST(backlogged_groups_differ_by_one_request_at_most);
	CPPUNIT_TEST(random_operations_lose_and_repeat_no_request);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_queue = {};
		m_requests.clear();
		m_last = 0;
	}

protected:
	std::uint64_t add(std::uint64_t _group, double _weight = 1.0, bool _returning = false, urgency _rank = {})
	{
		const admission_request added = make_request(++m_last, _group, _weight, _rank);
		m_requests[m_last] = added;
		m_queue.add(added, _returning);
		return m_last;
	}
	/// Sends the next request.
	/// @returns Its number.
	std::uint64_t serve()
	{
		const request_number served = m_queue.next();
		m_queue.remove(served);
		m_queue.on_sent(m_requests[served.value]);
		return served.value;
	}
	/// @returns Requests of each group among the next ones.
	std::map<std::uint64_t, int> serve_many(int _requests)
	{
		std::map<std::uint64_t, int> served;
		for (int i = 0; i < _requests; ++i)
		{
			++served[m_requests[serve()].group.value];
		}
		return served;
	}

	fair_queue m_queue;
	std::map<std::uint64_t, admission_request> m_requests;
	std::uint64_t m_last = 0;

	/// Guards against a route's priority that overrides the customer's.
	void more_urgent_requests_come_first_and_customers_before_routes()
	{
		const auto low = add(1, 1.0, true, {1, 0});
		const auto middle = add(2, 1.0, false, {0, 2});
		const auto high = add(3, 1.0, false, {0, 1});
		CPPUNIT_ASSERT_EQUAL(high, serve());
		CPPUNIT_ASSERT_EQUAL(middle, serve());
		CPPUNIT_ASSERT_EQUAL(low, serve());
		CPPUNIT_ASSERT(!m_queue.next().any());
	}

	/// Guards against callers that are refused again when they come back as told.
	void returning_callers_precede_first_arrivals_of_their_urgency_only()
	{
		const auto first = add(1);
		const auto returning = add(2, 1.0, true);
		const auto urgent = add(3, 1.0, false, {-1, 0});
		CPPUNIT_ASSERT_EQUAL(urgent, serve());
		CPPUNIT_ASSERT_EQUAL(returning, serve());
		CPPUNIT_ASSERT_EQUAL(first, serve());
	}

	/// Guards against a division by the number of waiting requests.
	void groups_are_served_by_weight_whatever_they_queue()
	{
		for (int i = 0; i < 600; ++i)
		{
			add(1, 2.0);
		}
		for (int i = 0; i < 40; ++i)
		{
			add(2, 1.0);
		}
		const std::map<std::uint64_t, int> served = serve_many(90);
		CPPUNIT_ASSERT(std::abs(served.at(1) - 60) <= 1);
		CPPUNIT_ASSERT(std::abs(served.at(2) - 30) <= 1);
	}

	/// Guards against a group that saves up shares while it sends nothing, and then shuts the others out.
	void group_that_comes_back_is_not_repaid_for_its_absence()
	{
		for (int i = 0; i < 100; ++i)
		{
			add(1);
		}
		serve_many(50);
		for (int i = 0; i < 20; ++i)
		{
			add(2);
		}
		const std::map<std::uint64_t, int> served = serve_many(20);
		CPPUNIT_ASSERT(std::abs(served.at(2) - 10) <= 1);
	}

	/// Guards against start tags that stay late after the requests before them were refused.
	void requests_that_give_up_cost_their_group_nothing()
	{
		for (int i = 0; i < 50; ++i)
		{
			m_queue.remove({add(1)});
			add(2);
		}
		const auto last = add(1);
		const auto first = serve();
		const auto second = serve();
		CPPUNIT_ASSERT(last == first || last == second);
	}

	/// Guards against a group that gets its share of the queue in addition to the slots that it took
	/// directly.
	void request_sent_without_waiting_is_charged_to_its_group()
	{
		for (int i = 0; i < 10; ++i)
		{
			add(1);
			add(2);
		}
		for (std::uint64_t i = 0; i < 6; ++i)
		{
			m_queue.on_sent(make_request(1000 + i, 1));
		}
		const std::map<std::uint64_t, int> served = serve_many(10);
		CPPUNIT_ASSERT(std::abs(served.at(2) - 8) <= 1);
	}

	/// Guards against a group above its share that blocks the groups behind it.
	void groups_that_may_not_send_are_passed_over()
	{
		const auto held = add(1);
		const auto next = add(2);
		const auto not_held = [](const urgency&, group_id _group)
		{
			return 1 != _group.value;
		};
		CPPUNIT_ASSERT_EQUAL(next, m_queue.next(not_held).value);
		m_queue.remove({next});
		CPPUNIT_ASSERT(!m_queue.next(not_held).any());
		CPPUNIT_ASSERT_EQUAL(held, m_queue.next().value);
	}

	/// Guards against forecasts that charge a small group for the queue of a large one.
	void forecast_counts_the_requests_that_are_tried_before_a_new_one()
	{
		for (int i = 0; i < 100; ++i)
		{
			add(1);
		}
		add(3, 1.0, false, {-1, 0});
		add(3, 1.0, true);
		CPPUNIT_ASSERT_EQUAL(std::size_t(102), m_queue.ahead_of(make_request(0, 1), false));
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_queue.ahead_of(make_request(0, 2), false));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_queue.ahead_of(make_request(0, 2), true));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.ahead_of(make_request(0, 2, 1.0, {-2, 0}), false));
		const auto added = add(2);
		std::size_t ahead = 0;
		while (added != serve())
		{
			++ahead;
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), ahead);
	}

	/// Guards against memory that grows with the customers that ever sent a request.
	void state_of_idle_groups_is_bounded()
	{
		for (std::uint64_t group = 1; group <= 20000; ++group)
		{
			add(group);
			add(20001);
			serve();
			serve();
		}
		CPPUNIT_ASSERT(m_queue.groups() <= 2);
		add(1); // A request that nobody serves, while others are sent without waiting.
		for (std::uint64_t group = 2; group <= 20000; ++group)
		{
			m_queue.on_sent(make_request(100000 + group, group));
		}
		CPPUNIT_ASSERT(m_queue.groups() <= k_max_idle_groups + 1);
		while (m_queue.next().any())
		{
			serve();
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.groups());
	}

	/// Guards against tags that are not numbers, which would break the order of the queue.
	void invalid_weights_and_unknown_requests_are_harmless()
	{
		for (const double weight : {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()})
		{
			add(1, weight);
			add(2, weight);
			CPPUNIT_ASSERT(m_queue.ahead_of(make_request(0, 3, weight), false) <= m_queue.size());
		}
		CPPUNIT_ASSERT(!m_queue.remove({12345}));
		m_queue.add(m_requests[1], false);
		CPPUNIT_ASSERT_EQUAL(std::size_t(8), m_queue.size());
		serve_many(8);
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.size());
		CPPUNIT_ASSERT(!m_queue.next().any());
	}

	/// The bound of start-time fair queueing: the service of two groups with waiting requests, each divided
	/// by its weight, differs by one request of each at most.
	void backlogged_groups_differ_by_one_request_at_most()
	{
		const bool held = rc::check("fair at any time",
		    []()
		    {
			    const double weights[] = {1.0 * *rc::gen::inRange(1, 50), 1.0 * *rc::gen::inRange(1, 50)};
			    fair_queue queue;
			    std::map<std::uint64_t, std::uint64_t> groups;
			    for (std::uint64_t number = 1; number <= 400; ++number)
			    {
				    const std::uint64_t group = number % 2;
				    queue.add(make_request(number, group, weights[group]), *rc::gen::arbitrary<bool>());
				    groups[number] = group;
			    }
			    // All returning callers first: two series with the same bound.
			    double served[] = {0.0, 0.0};
			    for (int i = 0; i < 50; ++i)
			    {
				    const request_number number = queue.next();
				    const std::uint64_t group = groups[number.value];
				    queue.remove(number);
				    queue.on_sent(make_request(number.value, group, weights[group]));
				    served[group] += 1.0 / weights[group];
				    RC_ASSERT(std::abs(served[0] - served[1]) <= 1.0 / weights[0] + 1.0 / weights[1] + 1e-9);
			    }
		    });
		CPPUNIT_ASSERT(held);
	}

	/// Guards against references into the queue that outlive a removed request.
	void random_operations_lose_and_repeat_no_request()
	{
		const bool held = rc::check("each request is waiting once until it is removed",
		    []()
		    {
			    fair_queue queue;
			    std::map<std::uint64_t, admission_request> waiting;
			    std::uint64_t last = 0;
			    for (const int operation :
			        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100)))
			    {
				    if (operation < 50 || waiting.empty())
				    {
					    const auto value = static_cast<std::uint64_t>(operation);
					    const admission_request added =
					        make_request(++last, value % 5, 1.0 + operation, {operation % 2, operation % 3});
					    queue.add(added, 0 == operation % 4);
					    waiting[last] = added;
				    }
				    else if (operation < 70)
				    {
					    const auto removed =
					        std::next(waiting.begin(), operation % static_cast<int>(waiting.size()));
					    RC_ASSERT(queue.remove({removed->first}));
					    waiting.erase(removed);
				    }
				    else
				    {
					    const request_number next = queue.next();
					    RC_ASSERT(waiting.count(next.value) == 1);
					    const admission_request sent = waiting[next.value];
					    for (const auto& [number, other] : waiting)
					    {
						    RC_ASSERT(!(other.rank < sent.rank));
					    }
					    RC_ASSERT(queue.remove(next));
					    queue.on_sent(sent);
					    waiting.erase(next.value);
				    }
				    RC_ASSERT(queue.size() == waiting.size());
				    RC_ASSERT(queue.next().any() == !waiting.empty());
			    }
		    });
		CPPUNIT_ASSERT(held);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_fair_queue_test);
} // namespace larkrack
