// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulates one service with the slots of three regions, 78 customers and several nodes in each region on a
/// virtual clock. One customer sends at six times its usual rate, mostly through a third of the nodes. A
/// request that finds no slot waits and is then refused. Compares three strategies: order of arrival at each
/// node, fair queues at each node, and fair queues with shares over all nodes of a region.

#include "fixtures.h"

#include "steering/fair_queue_p.h"
#include "steering/fair_shares_p.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <queue>
#include <random>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{5};
constexpr ms k_simulated{24000};
constexpr ms k_counted_from{4000};
constexpr ms k_max_wait{100};
constexpr ms k_retry_interval{25};      ///< Of waiting requests at nodes where no request ended.
constexpr ms k_tick_interval{100};      ///< Of the module.
constexpr ms k_heartbeat_interval{250}; ///< Within a region.
constexpr double k_service_s = 0.72;    ///< Mean; evenly distributed within k_service_spread.
constexpr double k_service_spread = 0.4;
constexpr double k_usual_load = 0.7; ///< Of the slots.
constexpr double k_large_part = 0.15;
constexpr std::size_t k_customers = 78;
constexpr std::size_t k_large = 0;           ///< Index of the large customer.
constexpr double k_quota_of_usual = 2.0;     ///< Quota of the other customers, of their usual rate.
constexpr double k_quota_of_large = 7.0;     ///< Quota of the large customer, of its usual rate.
constexpr double k_large_at_few_nodes = 0.7; ///< Part of its requests that go to a third of the nodes.

enum class share_strategy
{
	arrival,
	fair_queues,
	fair_shares,
};

/// Which nodes of a region hear each other.
enum class hearing
{
	all,
	halves,
	none,
};

struct share_scenario
{
	share_strategy strategy = share_strategy::fair_shares;
	double large_rate = 6.0;  ///< Of its usual rate.
	double others_rate = 1.0; ///< Of their usual rates.
	hearing heard = hearing::all;
	double failed_nodes = 0.0; ///< Part of the nodes that fail at k_counted_from; callers use the others.
	unsigned seed = 1;
};

struct share_figures
{
	double others = 0.0;        ///< Served fraction of the other customers.
	double large = 0.0;         ///< Mean part of the slots that the large customer uses.
	double used = 0.0;          ///< Mean part of the slots that are used.
	double worst_others = 1.0;  ///< Lowest served fraction of a region's other customers.
	double others_demand = 0.0; ///< Part of the slots.
};

/// One region; regions do not share requests in this model.
class share_model
{
public:
	share_model(const share_scenario& _scenario, int _slots, std::size_t _nodes)
	    : m_scenario(_scenario), m_slots(_slots), m_random(_scenario.seed), m_reports(_nodes)
	{
		set_rates();
		for (std::size_t i = 0; i < _nodes; ++i)
		{
			m_nodes.push_back(std::make_unique<model_node>(i,
			    [this](group_id _group)
			    {
				    return m_weights.at(_group.value - 1);
			    }));
		}
	}

	share_figures run()
	{
		for (m_passed = ms(0); m_passed < k_simulated; m_passed += k_step)
		{
			end_requests();
			arrive();
			for (std::size_t i = 0; i < m_nodes.size(); ++i)
			{
				run_node(i);
			}
			measure();
		}
		const double samples = static_cast<double>(m_samples) * m_slots;
		share_figures figures;
		figures.others = m_offered > 0.0 ? m_served / m_offered : 1.0;
		figures.worst_others = figures.others;
		figures.large = m_large_busy / samples;
		figures.used = m_all_busy / samples;
		figures.others_demand = k_usual_load * (1.0 - k_large_part);
		return figures;
	}

private:
	struct model_request
	{
		admission_request admission;
		steady_time until{};
		bool counted = false;
	};
	struct running_request
	{
		steady_time ends{};
		std::size_t node = 0;
		request_number number;

		friend bool operator<(const running_request& _a, const running_request& _b)
		{
			return _a.ends > _b.ends;
		}
	};
	struct model_node
	{
		model_node(std::size_t _index, fair_shares::weight_source _weight_of)
		    : shares(std::move(_weight_of), 0x9E37 * (_index + 1))
		{
		}
		fair_queue queue;
		fair_shares shares;
		std::map<request_number, model_request> waiting;
		int running = 0;
		bool failed = false;
	};

	void set_rates()
	{
		const double total = k_usual_load * m_slots / k_service_s;
		double sum = 0.0;
		for (std::size_t k = 1; k < k_customers; ++k)
		{
			sum += std::pow(k, -0.8);
		}
		for (std::size_t k = 0; k < k_customers; ++k)
		{
			const bool large = k_large == k;
			const double part =
			    large ? k_large_part : (1.0 - k_large_part) * std::pow(static_cast<double>(k), -0.8) / sum;
			m_rates.push_back(part * total * (large ? m_scenario.large_rate : m_scenario.others_rate));
			m_weights.push_back(part * total * (large ? k_quota_of_large : k_quota_of_usual));
		}
	}

	steady_time now() const
	{
		return steady_time{} + ms(1000) + m_passed;
	}
	bool due(ms _interval, std::size_t _node) const
	{
		const auto offset = static_cast<std::int64_t>(_node) * 35;
		return 0 == (m_passed.count() + offset) % _interval.count();
	}
	bool counted() const
	{
		return m_passed >= k_counted_from;
	}
	bool with_shares() const
	{
		return share_strategy::fair_shares == m_scenario.strategy;
	}

	void arrive()
	{
		for (std::size_t customer = 0; customer < k_customers; ++customer)
		{
			const double mean = m_rates[customer] * to_s(k_step);
			const int requests = std::poisson_distribution<int>(mean)(m_random);
			for (int i = 0; i < requests; ++i)
			{
				add(customer, choose_node(customer));
			}
		}
	}
	std::size_t choose_node(std::size_t _customer)
	{
		const bool at_few =
		    k_large == _customer && std::uniform_real_distribution<double>()(m_random) < k_large_at_few_nodes;
		const std::size_t last = at_few ? (m_nodes.size() - 1) / 3 : m_nodes.size() - 1;
		const std::size_t chosen = std::uniform_int_distribution<std::size_t>(0, last)(m_random);
		return m_nodes[chosen]->failed ? choose_node(_customer) : chosen;
	}
	void add(std::size_t _customer, std::size_t _node)
	{
		model_node& node = *m_nodes[_node];
		model_request added;
		added.admission.number = {++m_last_number};
		added.admission.group = {_customer + 1};
		added.admission.weight = m_weights[_customer];
		added.until = now() + k_max_wait;
		added.counted = counted();
		if (share_strategy::arrival == m_scenario.strategy)
		{
			added.admission.group = {1};
			added.admission.weight = 1.0;
		}
		m_offered += added.counted && k_large != _customer ? 1.0 : 0.0;
		m_customers[added.admission.number.value] = _customer;
		if (may_send(node, added.admission.group) && m_busy < m_slots && !next(node).any())
		{
			send(_node, added);
			return;
		}
		node.queue.add(added.admission, false);
		node.shares.on_waiting(added.admission);
		node.waiting[added.admission.number] = added;
	}
	bool may_send(const model_node& _node, group_id _group) const
	{
		return !with_shares() || _node.shares.within_share(_group, m_weights[_group.value - 1]);
	}
	request_number next(const model_node& _node) const
	{
		return _node.queue.next(
		    [&](const urgency&, group_id _group)
		    {
			    return may_send(_node, _group);
		    });
	}

	void try_waiting(std::size_t _node)
	{
		model_node& node = *m_nodes[_node];
		while (m_busy < m_slots)
		{
			const request_number number = next(node);
			if (!number.any())
			{
				return;
			}
			send(_node, take(node, number));
		}
	}
	model_request take(model_node& _node, request_number _number)
	{
		model_request taken = _node.waiting.at(_number);
		_node.waiting.erase(_number);
		_node.queue.remove(_number);
		_node.shares.on_wait_end(_number);
		return taken;
	}
	void send(std::size_t _node, const model_request& _request)
	{
		model_node& node = *m_nodes[_node];
		node.queue.on_sent(_request.admission);
		node.shares.on_sent(_request.admission);
		const double service_s = k_service_s * std::uniform_real_distribution<double>(
		                                           1.0 - k_service_spread, 1.0 + k_service_spread)(m_random);
		const steady_time ends =
		    now() + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * service_s));
		m_running.push({ends, _node, _request.admission.number});
		++m_busy;
		++node.running;
		const std::size_t customer = m_customers.at(_request.admission.number.value);
		m_ends_of_large.push_back(k_large == customer ? ends : steady_time{});
		m_served += _request.counted && k_large != customer ? 1.0 : 0.0;
		m_customers.erase(_request.admission.number.value);
	}
	void end_requests()
	{
		while (!m_running.empty() && m_running.top().ends <= now())
		{
			const running_request ended = m_running.top();
			m_running.pop();
			--m_busy;
			model_node& node = *m_nodes[ended.node];
			--node.running;
			node.shares.on_end(ended.number);
			if (!node.failed)
			{
				try_waiting(ended.node);
			}
		}
	}

	void run_node(std::size_t _node)
	{
		model_node& node = *m_nodes[_node];
		const auto failed =
		    static_cast<std::size_t>(m_scenario.failed_nodes * static_cast<double>(m_nodes.size()));
		if (counted() && _node + failed >= m_nodes.size() && !node.failed)
		{
			node.failed = true;
			node.waiting.clear();
			m_reports[_node] = {};
		}
		if (node.failed)
		{
			return;
		}
		refuse_overdue(node);
		if (with_shares() && due(k_tick_interval, _node))
		{
			node.shares.tick(room_of(node), heard_by(_node), now());
		}
		if (with_shares() && due(k_heartbeat_interval, _node))
		{
			node.shares.report(m_reports[_node]);
		}
		if (due(k_retry_interval, _node))
		{
			try_waiting(_node);
		}
	}
	region_room room_of(const model_node& _node) const
	{
		region_room room;
		room.slots = m_slots;
		room.busy = m_busy;
		room.in_flight = _node.running;
		return room;
	}
	std::vector<const admission_report*> heard_by(std::size_t _node) const
	{
		std::vector<const admission_report*> heard;
		for (std::size_t other = 0; other < m_nodes.size(); ++other)
		{
			const bool hears = hearing::all == m_scenario.heard ||
			                   (hearing::halves == m_scenario.heard && other % 2 == _node % 2);
			if (other != _node && hears)
			{
				heard.push_back(&m_reports[other]);
			}
		}
		return heard;
	}
	void refuse_overdue(model_node& _node)
	{
		while (!_node.waiting.empty() && _node.waiting.begin()->second.until <= now())
		{
			const request_number number = _node.waiting.begin()->first;
			take(_node, number);
			m_customers.erase(number.value);
		}
	}
	void measure()
	{
		m_ends_of_large.erase(std::remove_if(m_ends_of_large.begin(), m_ends_of_large.end(),
		                          [this](steady_time _ends)
		                          {
			                          return _ends <= now();
		                          }),
		    m_ends_of_large.end());
		if (!counted())
		{
			return;
		}
		++m_samples;
		m_all_busy += m_busy;
		m_large_busy += static_cast<double>(m_ends_of_large.size());
	}

	share_scenario m_scenario;
	int m_slots;
	std::minstd_rand m_random;
	std::vector<admission_report> m_reports; ///< As last sent by each node.
	std::vector<std::unique_ptr<model_node>> m_nodes;
	std::vector<double> m_rates;
	std::vector<double> m_weights;
	std::map<std::uint64_t, std::size_t> m_customers; ///< Of the requests that were not sent yet.
	std::priority_queue<running_request> m_running;
	std::vector<steady_time> m_ends_of_large;
	std::uint64_t m_last_number = 0;
	ms m_passed{0};
	int m_busy = 0;
	double m_offered = 0.0; ///< Requests of the other customers.
	double m_served = 0.0;  ///< The same, of those that were served.
	std::size_t m_samples = 0;
	double m_all_busy = 0.0;
	double m_large_busy = 0.0;
};

/// @returns Figures of three regions of different size; of the slots, weighted by them.
share_figures run_regions(const share_scenario& _scenario)
{
	struct region_size
	{
		int slots;
		std::size_t nodes;
	};
	constexpr region_size k_regions[] = {{552, 30}, {108, 11}, {468, 30}};
	share_figures sum;
	double slots = 0.0;
	for (const region_size& region : k_regions)
	{
		const share_figures figures = share_model(_scenario, region.slots, region.nodes).run();
		slots += region.slots;
		sum.others += region.slots * figures.others;
		sum.large += region.slots * figures.large;
		sum.used += region.slots * figures.used;
		sum.others_demand = figures.others_demand;
		sum.worst_others = std::min(sum.worst_others, figures.others);
	}
	sum.others /= slots;
	sum.large /= slots;
	sum.used /= slots;
	return sum;
}
} // namespace

class fair_share_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(fair_share_model_test);
	CPPUNIT_TEST(customer_at_six_times_its_rate_takes_nothing_from_the_others);
	CPPUNIT_TEST(order_of_arrival_fails_the_same_load);
	CPPUNIT_TEST(customer_alone_above_its_share_uses_all_slots);
	CPPUNIT_TEST(nodes_that_hear_half_of_the_region_or_none_still_divide_the_slots);
	CPPUNIT_TEST(nodes_that_fail_leave_their_shares_to_the_others);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Largest decrease of the served fraction of the other customers.
	static constexpr double k_max_decrease = 0.02;
	/// The large customer gets at least this part of its share.
	static constexpr double k_part_of_share = 0.9;

	static share_figures run(const char* _what, const share_scenario& _scenario)
	{
		const share_figures figures = run_regions(_scenario);
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << _what << ", large at " << _scenario.large_rate << ": others served "
			          << figures.others << " (worst region " << figures.worst_others << "), large uses "
			          << figures.large << ", slots used " << figures.used << "\n";
		}
		return figures;
	}
	static share_figures run_usual(const char* _what, share_scenario _scenario)
	{
		_scenario.large_rate = 1.0;
		return run(_what, _scenario);
	}
	/// @returns Share of the large customer: what the others leave, as they ask for less than their shares.
	static double share_of_large(const share_figures& _figures)
	{
		return 1.0 - _figures.others_demand;
	}

	/// Guards against a customer that takes slots from the others by sending more, within its quota.
	void customer_at_six_times_its_rate_takes_nothing_from_the_others()
	{
		for (const unsigned seed : {1U, 2U, 3U})
		{
			share_scenario scenario;
			scenario.seed = seed;
			const share_figures usual = run_usual("shares", scenario);
			const share_figures six_times = run("shares", scenario);
			CPPUNIT_ASSERT(six_times.others >= usual.others - k_max_decrease);
			CPPUNIT_ASSERT(six_times.worst_others >= usual.worst_others - k_max_decrease);
			CPPUNIT_ASSERT(six_times.large >= k_part_of_share * share_of_large(six_times));
			CPPUNIT_ASSERT(six_times.used >= 0.95);
		}
	}

	/// Shows that the load of this model needs the modules, and that queues at each node do not suffice.
	void order_of_arrival_fails_the_same_load()
	{
		for (const share_strategy strategy : {share_strategy::arrival, share_strategy::fair_queues})
		{
			share_scenario scenario;
			scenario.strategy = strategy;
			const share_figures usual = run_usual("without shares", scenario);
			const share_figures six_times = run("without shares", scenario);
			CPPUNIT_ASSERT(six_times.others < usual.others - k_max_decrease);
		}
	}

	/// Guards against slots that stay free because a group is above its share while nobody else waits.
	void customer_alone_above_its_share_uses_all_slots()
	{
		share_scenario scenario;
		scenario.large_rate = 20.0;
		scenario.others_rate = 0.0;
		CPPUNIT_ASSERT(run("alone", scenario).used >= 0.99);
		scenario.others_rate = 0.2;
		const share_figures with_few = run("others at a fifth", scenario);
		CPPUNIT_ASSERT(with_few.used >= 0.95);
		CPPUNIT_ASSERT(with_few.others >= 1.0 - k_max_decrease);
	}

	/// Guards against nodes that take the requests of nodes that they can not hear for free capacity, or that
	/// admit nothing.
	void nodes_that_hear_half_of_the_region_or_none_still_divide_the_slots()
	{
		for (const hearing heard : {hearing::halves, hearing::none})
		{
			share_scenario scenario;
			scenario.heard = heard;
			const share_figures usual = run_usual("partition", scenario);
			const share_figures six_times = run("partition", scenario);
			CPPUNIT_ASSERT(six_times.others >= usual.others - k_max_decrease);
			CPPUNIT_ASSERT(six_times.large >= k_part_of_share * share_of_large(six_times));
			CPPUNIT_ASSERT(six_times.used >= 0.95);
		}
	}

	/// Guards against shares that are kept for nodes that are gone, or counted twice.
	void nodes_that_fail_leave_their_shares_to_the_others()
	{
		share_scenario scenario;
		scenario.failed_nodes = 0.5;
		const share_figures usual = run_usual("half failed", scenario);
		const share_figures six_times = run("half failed", scenario);
		CPPUNIT_ASSERT(six_times.others >= usual.others - k_max_decrease);
		CPPUNIT_ASSERT(six_times.used >= 0.95);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_share_model_test);
} // namespace larkrack
