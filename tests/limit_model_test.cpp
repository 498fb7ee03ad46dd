// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Model of the rate limit of one backend server in whole fleets of three regions, on a virtual clock.
/// Datagrams are delayed and lost; nodes are partitioned, fail, restart and stall; the limit changes.
/// Compares three strategies: tokens lent by one node (the one in use), a fixed share of the limit for each
/// node, and a single node that sends to the backend server.

#include "fixtures.h"
#include "model_view.h"

#include "entry_node/backend_limits_p.h"
#include "testing/clock_virtual_p.h"

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <rapidcheck.h>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{5};
constexpr ms k_delay_between_regions{35}; ///< One way.
constexpr ms k_delay_in_region{1};        ///< One way.
constexpr ms k_window{4000};              ///< Window in which requests are counted.
constexpr ms k_grace{500}; ///< From a node's first response with the limit until the node has to keep to it.
/// Time from the first reported limit, and from a fault of a node, until requests are checked.
constexpr ms k_settled_after{4000};
constexpr ms k_work{200}; ///< Run time of a request at the backend server.

/// Divides a limit between nodes without lending tokens.
class local_limits : public limit_admission_base
{
public:
	/// @param[in] _single_sender Whether one node sends all requests; otherwise each has the same share.
	local_limits(const clock_base& _clock, const model_view& _view, bool _single_sender)
	    : m_clock(_clock), m_view(_view), m_single_sender(_single_sender)
	{
	}
	quota_answer take(const backend_state& _backend) override
	{
		const double per_s = *_backend.limit.report().per_s;
		const bool sends = m_view.responsible_in_region(_backend.region, _backend.id_hash).first.ip.empty();
		const double share = m_single_sender ? (sends ? 1.0 : 0.0) : 1.0 / m_view.nodes.most;
		return m_bucket.take(share * per_s, 1.0, m_clock.steady()) ? quota_answer::granted
		                                                           : quota_answer::over_limit;
	}
	void wait_for_token(const backend_state&, handler) override
	{
	}
	void return_token(const backend_state&) override
	{
	}
	void on_limit_report(backend_server& _backend, const limit_report& _limit) override
	{
		_backend.limit.take_report(_limit);
	}

private:
	const clock_base& m_clock;
	const model_view& m_view;
	bool m_single_sender;
	token_bucket m_bucket;
};

enum class limit_strategy
{
	lent_tokens, ///< As implemented in backend_limits.
	fixed_share,
	single_sender,
};

/// A fleet, and one backend server of region r0.
class limit_model
{
public:
	limit_model(limit_strategy _strategy, int _nodes, double _loss, unsigned _seed)
	    : m_strategy(_strategy), m_loss(_loss), m_random(_seed), m_nodes(static_cast<std::size_t>(_nodes))
	{
		m_clock.advance(ms(1000));
		for (int i = 0; i < _nodes; ++i)
		{
			start(i);
		}
		refresh_views();
	}

	/// The backend server reports another limit from now on, or none.
	void set_limit(std::optional<double> _per_s)
	{
		m_reported = _per_s;
		if (_per_s && steady_time{} == m_first_reported)
		{
			m_first_reported = m_clock.steady();
		}
		for (int i = 0; limit_strategy::lent_tokens != m_strategy && i < nodes(); ++i)
		{
			receive_response(i, _per_s); // The other strategies require that all nodes know the limit.
		}
	}
	/// Advances the clock while callers at all nodes send requests for the backend server.
	void run(ms _time, double _per_s)
	{
		const double mean = _per_s * std::chrono::duration<double>(k_step).count();
		for (ms passed{0}; passed < _time; passed += k_step)
		{
			step();
			for (int left = std::poisson_distribution<int>(mean)(m_random); left > 0; --left)
			{
				request_token(std::uniform_int_distribution<int>(0, nodes() - 1)(m_random));
			}
		}
	}
	void kill(int _node)
	{
		excuse(_node).dead = true;
	}
	void start(int _node)
	{
		model_node& node = excuse(_node);
		node.dead = false;
		node.frozen = false;
		node.known_since = steady_time{};
		node.gate.reset();
		node.lent = nullptr;
		node.view = std::make_unique<model_view>();
		node.view->self = _node;
		node.backends = std::make_unique<backend_registry>(
		    std::unordered_map<std::string, std::string>{{"d", "r0"}, {"d1", "r1"}, {"d2", "r2"}});
		backend_record record;
		record.id = backend_id("limited");
		record.domain = domain_name("d");
		node.backends->put(record, m_clock.steady());
		if (limit_strategy::lent_tokens != m_strategy)
		{
			node.gate = std::make_unique<local_limits>(
			    m_clock, *node.view, limit_strategy::single_sender == m_strategy);
		}
		else
		{
			auto lent = std::make_unique<backend_limits>(m_context, m_clock, *node.view, *node.backends,
			    placement{model_name_of(_node), "", model_region_of(_node).text}, m_log,
			    [this, _node](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
			    {
				    send(_node, std::stoi(_ip), _bytes);
			    });
			node.lent = lent.get();
			node.gate = std::move(lent);
		}
		refresh(node);
	}
	void set_partitioned(int _node, bool _cut)
	{
		excuse(_node).cut = _cut;
	}
	/// Suspends or resumes the process of a node; datagrams that arrive meanwhile are queued.
	void set_frozen(int _node, bool _frozen)
	{
		excuse(_node).frozen = _frozen;
	}
	/// Updates the views of all nodes on the fleet; between two calls their views are outdated.
	void refresh_views()
	{
		for (model_node& node : m_nodes)
		{
			refresh(node);
		}
	}
	int nodes() const
	{
		return static_cast<int>(m_nodes.size());
	}
	/// @returns The node that lends the tokens, in the view of node 0.
	int lender() const
	{
		const responsible_node first =
		    m_nodes.front()
		        .view->responsible_in_region(model_region_of(0), ring_position(state_at(0).id_hash))
		        .first;
		return first.ip.empty() ? 0 : std::stoi(first.ip);
	}
	/// @returns Maximum of the requests in any window, relative to the number allowed in that window.
	double max_utilization() const
	{
		return m_max_utilization;
	}
	/// @returns Number of requests that reached the backend server.
	std::size_t arrived() const
	{
		return m_arrived;
	}
	/// @returns Number of requests that got no token and would be sent to another backend server.
	std::size_t diverted() const
	{
		return m_diverted;
	}
	/// @returns Number of datagrams that all nodes sent.
	std::size_t datagrams() const
	{
		return m_datagrams;
	}

private:
	struct model_node
	{
		std::unique_ptr<model_view> view;
		std::unique_ptr<backend_registry> backends;
		std::unique_ptr<limit_admission_base> gate;
		backend_limits* lent = nullptr; ///< The gate, when the strategy is lent_tokens.
		bool cut = false;               ///< Partitioned from all other nodes.
		bool dead = false;
		bool frozen = false;
		steady_time known_since{}; ///< When the node received the first response with the limit.
		steady_time excused_at{};  ///< When a fault last affected the node.
	};

	model_node& at(int _node)
	{
		return m_nodes.at(static_cast<std::size_t>(_node));
	}
	/// Exempts a node that is affected by a fault from the check for a while.
	model_node& excuse(int _node)
	{
		at(_node).excused_at = m_clock.steady();
		return at(_node);
	}
	const backend_server& state_at(int _node) const
	{
		return *m_nodes.at(static_cast<std::size_t>(_node)).backends->find(backend_id("limited"));
	}
	backend_server& state_at(int _node)
	{
		return *at(_node).backends->find(backend_id("limited"));
	}
	ms delay_to(int _from, int _to) const
	{
		return _from % k_model_regions == _to % k_model_regions ? k_delay_in_region : k_delay_between_regions;
	}
	void schedule(ms _delay, std::function<void()> _action)
	{
		m_due.emplace(m_clock.steady() + _delay, std::move(_action));
	}
	/// Runs an action at a node, after the node is resumed if it is frozen, and never if it is dead.
	void run_at_node(int _node, const std::function<void()>& _action)
	{
		if (at(_node).frozen)
		{
			schedule(k_step,
			    [this, _node, _action]
			    {
				    run_at_node(_node, _action);
			    });
		}
		else if (!at(_node).dead)
		{
			_action();
		}
	}

	void request_token(int _node)
	{
		model_node& node = at(_node);
		if (node.dead || node.frozen)
		{
			return;
		}
		backend_server& backend = state_at(_node);
		const quota_answer answer =
		    backend.limit.limited() ? node.gate->take(backend) : quota_answer::granted;
		if (quota_answer::waits == answer)
		{
			node.gate->wait_for_token(backend,
			    [this, _node](quota_answer _answer)
			    {
				    decide(_node, _answer);
			    });
			return;
		}
		decide(_node, answer);
	}
	void decide(int _node, quota_answer _answer)
	{
		if (quota_answer::granted != _answer)
		{
			++m_diverted;
			return;
		}
		schedule(delay_to(_node, 0),
		    [this, _node]
		    {
			    arrive(_node);
		    });
	}
	void arrive(int _node)
	{
		model_node& node = at(_node);
		const steady_time now = m_clock.steady();
		++m_arrived;
		const bool bound = steady_time{} != node.known_since && now - node.known_since >= k_grace;
		if (bound && !node.cut && now - node.excused_at > k_settled_after)
		{
			m_counted.push_back(now);
		}
		schedule(k_work + delay_to(_node, 0),
		    [this, _node, reported = m_reported]
		    {
			    run_at_node(_node,
			        [this, _node, reported]
			        {
				        receive_response(_node, reported);
			        });
		    });
	}
	void receive_response(int _node, const std::optional<double>& _reported)
	{
		model_node& node = at(_node);
		if (_reported && steady_time{} == node.known_since)
		{
			node.known_since = m_clock.steady();
		}
		node.gate->on_limit_report(state_at(_node), {_reported, m_clock.steady()});
	}

	void send(int _from, int _to, const std::vector<std::uint8_t>& _bytes)
	{
		++m_datagrams;
		if (std::uniform_real_distribution<double>()(m_random) < m_loss)
		{
			return;
		}
		schedule(delay_to(_from, _to),
		    [this, _from, _to, _bytes]
		    {
			    if (at(_from).cut || at(_to).cut)
			    {
				    return;
			    }
			    run_at_node(_to,
			        [this, _from, _to, _bytes]
			        {
				        result<limit_message> decoded =
				            decode_limit_message(_bytes.data(), _bytes.size(), m_clock.steady());
				        at(_to).lent->on_message(*value_of(decoded), std::to_string(_from));
			        });
		    });
	}

	void step()
	{
		m_clock.advance(k_step);
		++m_steps;
		while (!m_due.empty() && m_due.begin()->first <= m_clock.steady())
		{
			const std::function<void()> action = std::move(m_due.begin()->second);
			m_due.erase(m_due.begin());
			action();
		}
		for (model_node& node : m_nodes)
		{
			const bool runs = !node.dead && !node.frozen && nullptr != node.lent;
			if (runs && 0 == m_steps % 5)
			{
				node.lent->check_waiting();
			}
			if (runs && 0 == m_steps % 20)
			{
				node.lent->tick();
			}
		}
		check_window();
	}
	/// Compares the requests in the current window with the number allowed. After a limit decreases, the
	/// higher one stays in force for k_grace, until the nodes can have learned of the lower one.
	void check_window()
	{
		const steady_time now = m_clock.steady();
		m_limits.push_back({now, m_reported.value_or(k_max_limit_per_s)});
		double highest = 0.0;
		for (auto it = m_limits.rbegin(); it != m_limits.rend() && it->first > now - k_grace; ++it)
		{
			highest = std::max(highest, it->second);
		}
		m_in_force.push_back({now, highest});
		m_allowed += 1.5 * highest * std::chrono::duration<double>(k_step).count();
		while (m_in_force.front().first <= now - k_window)
		{
			m_allowed -= 1.5 * m_in_force.front().second * std::chrono::duration<double>(k_step).count();
			m_in_force.pop_front();
		}
		while (m_limits.front().first <= now - k_window)
		{
			m_limits.pop_front();
		}
		while (!m_counted.empty() && m_counted.front() <= now - k_window)
		{
			m_counted.pop_front();
		}
		const bool settled = steady_time{} != m_first_reported && now - m_first_reported >= k_settled_after;
		if (settled)
		{
			m_max_utilization =
			    std::max(m_max_utilization, static_cast<double>(m_counted.size()) / (m_allowed + 5.0));
		}
	}

	void refresh(model_node& _node)
	{
		model_view& view = *_node.view;
		std::vector<int> reachable;
		for (int i = 0; i < nodes(); ++i)
		{
			const model_node& other = at(i);
			if (i == view.self || (!other.dead && !other.cut && !other.frozen && !_node.cut))
			{
				reachable.push_back(i);
			}
		}
		view.set_visible_nodes(reachable);
		if (nullptr != _node.lent && !_node.frozen && !_node.dead)
		{
			_node.lent->tick();
		}
	}

	limit_strategy m_strategy;
	double m_loss;
	std::minstd_rand m_random;
	asio::io_context m_context{1};
	clock_virtual m_clock;
	entry_log m_log{"model", -1};
	std::vector<model_node> m_nodes;
	std::multimap<steady_time, std::function<void()>> m_due;
	std::optional<double> m_reported;
	steady_time m_first_reported{};
	std::deque<steady_time> m_counted; ///< Arrivals in the window from nodes that have to keep the limit.
	std::deque<std::pair<steady_time, double>> m_limits;   ///< Reported limit of each step of the window.
	std::deque<std::pair<steady_time, double>> m_in_force; ///< Limit in force in each step of the window.
	double m_allowed = 0.0; ///< Requests that the limits in force allow in the window.
	double m_max_utilization = 0.0;
	std::size_t m_arrived = 0;
	std::size_t m_diverted = 0;
	std::size_t m_datagrams = 0;
	int m_steps = 0;
};

/// Usage of a limit while callers send four times as many requests as it allows.
struct usage
{
	double used = 0.0;            ///< Requests that reached the backend server, relative to the limit.
	double datagrams_per_s = 0.0; ///< Of all nodes, after the first 6 seconds.
	double max_utilization = 0.0;
};

usage measure_usage(limit_strategy _strategy, int _nodes, double _limit)
{
	limit_model model(_strategy, _nodes, 0.0, 1);
	model.set_limit(_limit);
	model.run(ms(6000), 4.0 * _limit);
	const std::size_t before = model.arrived();
	const std::size_t datagrams = model.datagrams();
	model.run(ms(10000), 4.0 * _limit);
	return {static_cast<double>(model.arrived() - before) / (10.0 * _limit),
	    static_cast<double>(model.datagrams() - datagrams) / 10.0, model.max_utilization()};
}

void print(const char* _what, int _nodes, const usage& _usage)
{
	if (nullptr != std::getenv("LARKRACK_FIGURES"))
	{
		std::cout << _what << ", nodes " << _nodes << ": part of the limit used " << _usage.used
		          << ", most of what is allowed " << _usage.max_utilization << ", datagrams a second "
		          << _usage.datagrams_per_s << "\n";
	}
}
} // namespace

class limit_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(limit_model_test);
	CPPUNIT_TEST(limit_under_fourfold_load_is_fully_used_in_fleets_of_any_size);
	CPPUNIT_TEST(other_strategies_waste_most_of_a_limit_in_large_fleets);
	CPPUNIT_TEST(limit_that_changes_or_is_extreme_holds_in_every_window);
	CPPUNIT_TEST(limit_that_ends_is_dropped_by_all_nodes_within_a_second);
	CPPUNIT_TEST(lender_that_fails_or_stalls_is_replaced);
	CPPUNIT_TEST(partitioned_fleet_keeps_to_the_limit_in_sum);
	CPPUNIT_TEST(random_faults_never_exceed_what_a_limit_allows);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// With the environment variable LARKRACK_LARGE set, includes a fleet of 2,000 nodes.
	void limit_under_fourfold_load_is_fully_used_in_fleets_of_any_size()
	{
		std::vector<int> sizes{9, 300, 1000};
		if (nullptr != std::getenv("LARKRACK_LARGE"))
		{
			sizes.push_back(2000);
		}
		for (const int nodes : sizes)
		{
			for (const double limit : {2.9, 50.0})
			{
				const usage lent = measure_usage(limit_strategy::lent_tokens, nodes, limit);
				print(limit < 10.0 ? "lent, 2.9 a second" : "lent, 50 a second", nodes, lent);
				CPPUNIT_ASSERT(lent.max_utilization <= 1.0);
				CPPUNIT_ASSERT_MESSAGE(std::to_string(lent.used), lent.used >= 0.85);
				// Proportional to the number of requests, not to the number of nodes.
				CPPUNIT_ASSERT(lent.datagrams_per_s <= 25.0 * limit);
			}
		}
	}

	void other_strategies_waste_most_of_a_limit_in_large_fleets()
	{
		for (const int nodes : {9, 1000})
		{
			const usage fixed = measure_usage(limit_strategy::fixed_share, nodes, 2.9);
			const usage single = measure_usage(limit_strategy::single_sender, nodes, 2.9);
			print("fixed part, 2.9 a second", nodes, fixed);
			print("one sender, 2.9 a second", nodes, single);
			CPPUNIT_ASSERT(9 == nodes || (fixed.used < 0.5 && single.used < 0.5));
		}
	}

	void limit_that_changes_or_is_extreme_holds_in_every_window()
	{
		for (const int nodes : {9, 300})
		{
			limit_model model(limit_strategy::lent_tokens, nodes, 0.02, 2);
			for (const double limit : {20.0, 2.0, 40.0, 0.0, 3.0, 0.01, 10.0})
			{
				model.set_limit(std::max(k_min_limit_per_s, limit));
				model.run(ms(6000), 60.0);
				CPPUNIT_ASSERT_MESSAGE(std::to_string(limit) + " a second at " + std::to_string(nodes) +
				                           " nodes: " + std::to_string(model.max_utilization()),
				    model.max_utilization() <= 1.0);
			}
		}
	}

	void limit_that_ends_is_dropped_by_all_nodes_within_a_second()
	{
		limit_model model(limit_strategy::lent_tokens, 300, 0.0, 3);
		model.set_limit(5.0);
		model.run(ms(6000), 20.0);
		model.set_limit(std::nullopt);
		model.run(ms(1000), 20.0);
		const std::size_t diverted = model.diverted();
		model.run(ms(3000), 20.0);
		CPPUNIT_ASSERT_EQUAL(diverted, model.diverted());
	}

	void lender_that_fails_or_stalls_is_replaced()
	{
		for (const bool dies : {true, false})
		{
			limit_model model(limit_strategy::lent_tokens, 9, 0.0, 4);
			model.set_limit(5.0);
			model.run(ms(5000), 40.0);
			const int lender = model.lender();
			dies ? model.kill(lender) : model.set_frozen(lender, true);
			model.run(ms(900), 40.0);
			model.refresh_views();
			const std::size_t before = model.arrived();
			model.run(ms(4000), 40.0);
			CPPUNIT_ASSERT_MESSAGE(std::to_string(model.arrived() - before),
			    static_cast<double>(model.arrived() - before) >= 0.8 * 5.0 * 4.0);
			dies ? model.start(lender) : model.set_frozen(lender, false);
			model.run(ms(200), 40.0);
			model.refresh_views();
			model.run(ms(6000), 40.0);
			CPPUNIT_ASSERT(model.max_utilization() <= 1.0);
		}
	}

	void partitioned_fleet_keeps_to_the_limit_in_sum()
	{
		limit_model model(limit_strategy::lent_tokens, 30, 0.0, 5);
		model.set_limit(20.0);
		model.run(ms(5000), 100.0);
		for (int node = 0; node < 12; ++node)
		{
			model.set_partitioned(node, true);
		}
		model.run(ms(900), 100.0);
		model.refresh_views();
		model.run(ms(6000), 100.0);
		for (int node = 0; node < 12; ++node)
		{
			model.set_partitioned(node, false);
		}
		model.run(ms(300), 100.0);
		model.refresh_views();
		model.run(ms(8000), 100.0);
		CPPUNIT_ASSERT(model.max_utilization() <= 1.0);
	}

	void random_faults_never_exceed_what_a_limit_allows()
	{
		const bool held = rc::check("no window holds more than the limit allows",
		    []()
		    {
			    const int nodes = *rc::gen::inRange(2, 40);
			    const double loss = *rc::gen::inRange(0, 10) / 100.0;
			    limit_model model(limit_strategy::lent_tokens, nodes, loss,
			        static_cast<unsigned>(*rc::gen::inRange(1, 1000000)));
			    double limit = *rc::gen::inRange(1, 400) / 10.0;
			    model.set_limit(std::max(k_min_limit_per_s, limit));
			    model.run(ms(3000), 8.0 * limit + 10.0);
			    for (int fault = 0; fault < 5; ++fault)
			    {
				    const int node = *rc::gen::inRange(0, nodes);
				    switch (*rc::gen::inRange(0, 7))
				    {
				    case 0:
					    model.kill(node);
					    break;
				    case 1:
					    model.start(node);
					    break;
				    case 2:
					    model.set_partitioned(node, true);
					    break;
				    case 3:
					    model.set_partitioned(node, false);
					    break;
				    case 4:
					    model.set_frozen(node, true);
					    break;
				    case 5:
					    model.set_frozen(node, false);
					    break;
				    default:
					    limit = *rc::gen::inRange(1, 400) / 10.0;
					    model.set_limit(std::max(k_min_limit_per_s, limit));
					    break;
				    }
				    model.run(ms(*rc::gen::inRange(1, 10) * 100), 8.0 * limit + 10.0);
				    model.refresh_views();
				    model.run(ms(*rc::gen::inRange(1, 20) * 100), 8.0 * limit + 10.0);
			    }
			    RC_ASSERT(model.max_utilization() <= 1.0);
		    });
		CPPUNIT_ASSERT(held);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_model_test);
} // namespace larkrack
