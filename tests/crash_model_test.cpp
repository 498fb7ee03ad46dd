// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Model of requests that crash backend servers, in whole fleets of three regions on a virtual clock.
/// Datagrams are delayed and lost, nodes fail and restart. Compares three strategies: two counting nodes that
/// collect the crashes of a request from all nodes (the one in use), each crash reported to all nodes, and
/// each node on its own.

#include "fixtures.h"
#include "model_view.h"

#include "entry_node/crash_guard_p.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{5};
constexpr ms k_delay_between_regions{35}; ///< One way.
constexpr ms k_delay_in_region{1};        ///< One way.
constexpr ms k_time_to_crash{80};         ///< From the start of a crashing request to the crash.
constexpr ms k_work{300};                 ///< Run time of an innocent request.
/// Innocent requests of the observing node that run on each crashing server.
constexpr std::uint64_t k_concurrent = 8;
constexpr ms k_max_propagation{4000}; ///< Maximum time until all nodes know of a crash.
constexpr std::size_t k_blamed = 3;   ///< Crashes after which a request is to be blocked.
/// Maximum number of sends of a request, by all nodes, later than k_max_propagation after its third crash.
constexpr std::size_t k_max_late_sends = 3;

constexpr std::uint64_t k_crashing = 100; ///< The first of the crashing requests.
constexpr std::uint64_t k_innocent = 5;

enum class crash_strategy
{
	counting_nodes, ///< As implemented in crash_guard.
	broadcast,      ///< Each crash is reported to each node, and each node counts.
	isolated,       ///< Each node counts only the crashes that it observes.
};

request_fingerprint request_of(std::uint64_t _number)
{
	const std::uint64_t hash = request_head_hash("GET", "shop.example", std::to_string(_number));
	return {hash, hash, 7};
}

/// A fleet, and requests that crash the backend servers that run them.
class crash_model
{
public:
	crash_model(crash_strategy _strategy, int _nodes, double _loss, unsigned _seed)
	    : m_strategy(_strategy), m_loss(_loss), m_random(_seed), m_nodes(static_cast<std::size_t>(_nodes))
	{
		m_clock.advance(ms(1000));
		for (int i = 0; i < _nodes; ++i)
		{
			start(i);
		}
		refresh_views();
	}
	/// Advances the clock while crashing requests arrive at random nodes.
	/// @param[in] _interval Time between two arrivals of a request; 0: none arrives.
	/// @param[in] _crashing Number of crashing requests with different fingerprints.
	void run(ms _time, ms _interval, int _crashing = 1)
	{
		const steady_time until = m_clock.steady() + _time;
		steady_time next = m_clock.steady();
		while (m_clock.steady() < until)
		{
			step();
			for (; ms(0) != _interval && next <= m_clock.steady(); next += _interval)
			{
				for (int i = 0; i < _crashing; ++i)
				{
					arrive_crashing(any_node(), k_crashing + static_cast<std::uint64_t>(i));
				}
			}
		}
	}
	/// An innocent request arrives.
	/// @param[in] _server_crashes Whether another request crashes its server while it runs.
	void arrive_innocent(int _node, std::uint64_t _request, bool _server_crashes)
	{
		arrive(_node, _request, _server_crashes, false);
	}
	/// A backend server crashes on its own while it runs a request of each of the given nodes.
	void crash_server(const std::vector<int>& _nodes, std::uint64_t _request)
	{
		const std::uint32_t incarnation = ++m_incarnations;
		for (const int node : _nodes)
		{
			observe_crash(node, _request, incarnation);
		}
	}
	void serve(int _node, std::uint64_t _request)
	{
		if (nullptr != at(_node).guard)
		{
			at(_node).guard->on_answered(request_of(_request));
		}
	}
	void kill(int _node)
	{
		at(_node).dead = true;
	}
	/// Starts a node that has no state except for the contents of the store.
	void start(int _node)
	{
		model_node& node = at(_node);
		node.dead = false;
		node.guard.reset();
		node.view = std::make_unique<model_view>();
		node.view->self = _node;
		node.evidence = std::make_unique<crash_evidence>();
		if (crash_strategy::counting_nodes == m_strategy)
		{
			node.guard = std::make_unique<crash_guard>(
			    m_context, m_clock, *node.view, m_registry, model_region_of(_node), m_log,
			    [this, _node](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
			    {
				    send(_node, std::stoi(_ip), _bytes);
			    },
			    [this](const request_block& _block)
			    {
				    write(_block);
			    });
			for (const auto& [request, block] : m_store)
			{
				node.guard->on_block(block);
			}
		}
		refresh(node);
	}
	void set_store_down(bool _down)
	{
		m_store_down = _down;
	}
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
	/// @returns Number of crashes that crashing requests caused.
	std::size_t crashes() const
	{
		return m_crashes.size();
	}
	/// @returns Number of sends of a request later than k_max_propagation after its third crash.
	std::size_t late_sends(std::uint64_t _request) const
	{
		const auto crash_times = m_crashes_of.find(_request);
		const auto sends = m_sends_of.find(_request);
		if (m_crashes_of.end() == crash_times || crash_times->second.size() < k_blamed ||
		    m_sends_of.end() == sends)
		{
			return 0;
		}
		const steady_time known = crash_times->second[k_blamed - 1] + k_max_propagation;
		return static_cast<std::size_t>(std::count_if(sends->second.begin(), sends->second.end(),
		    [known](steady_time _at)
		    {
			    return _at > known;
		    }));
	}
	/// @returns Number of live nodes that would forward a request.
	std::size_t open_nodes(std::uint64_t _request)
	{
		std::size_t open = 0;
		for (int i = 0; i < nodes(); ++i)
		{
			open += !at(i).dead && block_decision::open == decide(i, _request) ? 1 : 0;
		}
		return open;
	}
	/// Runs until no live node would forward a request.
	/// @returns Time since the third crash.
	ms time_until_blocked_everywhere(std::uint64_t _request)
	{
		const steady_time third = m_crashes_of.at(_request).at(k_blamed - 1);
		while (open_nodes(_request) > 0 && m_clock.steady() - third < ms(60000))
		{
			step();
		}
		return to_ms(m_clock.steady() - third);
	}
	std::size_t datagrams() const
	{
		return m_datagrams;
	}
	std::size_t bytes() const
	{
		return m_bytes;
	}
	std::size_t refused(std::uint64_t _request)
	{
		return m_refused[_request];
	}

private:
	struct model_node
	{
		std::unique_ptr<model_view> view;
		std::unique_ptr<crash_guard> guard;       ///< With counting nodes.
		std::unique_ptr<crash_evidence> evidence; ///< With the other strategies.
		std::set<request_fingerprint> blocked;    ///< With the other strategies.
		bool dead = false;
	};

	model_node& at(int _node)
	{
		return m_nodes.at(static_cast<std::size_t>(_node));
	}
	int any_node()
	{
		int node = 0;
		do
		{
			node = std::uniform_int_distribution<int>(0, nodes() - 1)(m_random);
		} while (at(node).dead);
		return node;
	}
	ms delay_to(int _from, int _to) const
	{
		return _from % k_model_regions == _to % k_model_regions ? k_delay_in_region : k_delay_between_regions;
	}
	void schedule(ms _delay, std::function<void()> _action)
	{
		m_due.emplace(m_clock.steady() + _delay, std::move(_action));
	}
	block_decision decide(int _node, std::uint64_t _request)
	{
		if (nullptr != at(_node).guard)
		{
			return at(_node).guard->decide(request_of(_request), service_name("shop"));
		}
		return 0 == at(_node).blocked.count(request_of(_request)) ? block_decision::open
		                                                          : block_decision::refuse;
	}
	void arrive_crashing(int _node, std::uint64_t _request)
	{
		arrive(_node, _request, true, true);
	}
	/// @param[in] _server_crashes Whether the server crashes while it runs the request.
	/// @param[in] _crashing Whether the request itself causes the crash.
	void arrive(int _node, std::uint64_t _request, bool _server_crashes, bool _crashing)
	{
		const block_decision decision = decide(_node, _request);
		if (block_decision::open == decision)
		{
			forward(_node, _request, _server_crashes, _crashing);
			return;
		}
		if (block_decision::refuse == decision)
		{
			++m_refused[_request];
			return;
		}
		at(_node).guard->request_trial(request_of(_request), service_name("shop"),
		    [this, _node, _request, _crashing](bool _granted)
		    {
			    m_refused[_request] += _granted ? 0 : 1;
			    if (_granted)
			    {
				    // No other request runs on the server, so an innocent request is served.
				    forward(_node, _request, _crashing, _crashing);
			    }
		    });
	}
	void forward(int _node, std::uint64_t _request, bool _server_crashes, bool _crashing)
	{
		m_sends_of[_request].push_back(m_clock.steady());
		if (!_server_crashes)
		{
			schedule(k_work,
			    [this, _node, _request]
			    {
				    serve(_node, _request);
			    });
			return;
		}
		const std::uint32_t incarnation = ++m_incarnations;
		schedule(delay_to(_node, 0) + k_time_to_crash,
		    [this, _node, _request, incarnation, _crashing]
		    {
			    if (_crashing)
			    {
				    m_crashes.push_back(m_clock.steady());
				    m_crashes_of[_request].push_back(m_clock.steady());
			    }
			    // The connection breaks, and the probe's connection is refused.
			    schedule(3 * delay_to(_node, 0),
			        [this, _node, _request, incarnation]
			        {
				        observe_crash(_node, _request, incarnation);
			        });
		    });
	}
	void observe_crash(int _node, std::uint64_t _request, std::uint32_t _incarnation)
	{
		model_node& node = at(_node);
		if (node.dead)
		{
			return;
		}
		std::vector<request_fingerprint> requests{request_of(_request)};
		for (std::uint64_t i = 0; i < k_concurrent; ++i)
		{
			requests.push_back(request_of(1000000 + k_concurrent * _incarnation + i));
		}
		backend_server backend;
		backend.id_hash = _incarnation;
		if (nullptr != node.guard)
		{
			node.guard->on_backend_crashed(backend, requests);
			return;
		}
		count_crash(_node, request_of(_request), _incarnation);
		for (int other = 0; crash_strategy::broadcast == m_strategy && other < nodes(); ++other)
		{
			for (const request_fingerprint& request : requests)
			{
				if (other != _node)
				{
					send(_node, other, encode(crash_report{request, _incarnation, false}));
				}
			}
		}
	}
	void count_crash(int _node, const request_fingerprint& _request, std::uint32_t _incarnation)
	{
		model_node& node = at(_node);
		if (node.evidence->on_crash(_request, {_incarnation, _request.caller, false, m_clock.steady()}))
		{
			node.blocked.insert(_request);
		}
	}
	void send(int _from, int _to, const std::vector<std::uint8_t>& _bytes)
	{
		++m_datagrams;
		m_bytes += _bytes.size();
		if (std::uniform_real_distribution<double>()(m_random) < m_loss)
		{
			return;
		}
		schedule(delay_to(_from, _to),
		    [this, _from, _to, _bytes]
		    {
			    if (at(_to).dead)
			    {
				    return;
			    }
			    result<crash_message> decoded = decode_crash_message(_bytes.data(), _bytes.size());
			    if (nullptr != at(_to).guard)
			    {
				    at(_to).guard->on_message(*value_of(decoded), std::to_string(_from));
				    return;
			    }
			    const crash_report& report = std::get<crash_report>(*value_of(decoded));
			    count_crash(_to, report.request, report.incarnation);
		    });
	}
	/// Writes a block to the store, which informs all nodes after a delay.
	void write(const request_block& _block)
	{
		if (m_store_down)
		{
			return;
		}
		schedule(k_delay_between_regions,
		    [this, _block]
		    {
			    if (_block.blocked)
			    {
				    m_store[_block.request] = _block;
			    }
			    else
			    {
				    m_store.erase(_block.request);
			    }
		    });
		schedule(ms(300),
		    [this, _block]
		    {
			    for (model_node& node : m_nodes)
			    {
				    if (!node.dead && _block.blocked)
				    {
					    node.guard->on_block(_block);
				    }
				    else if (!node.dead)
				    {
					    node.guard->on_block_removed(_block.request);
				    }
			    }
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
			if (!node.dead && nullptr != node.guard && 0 == m_steps % 20)
			{
				node.guard->tick();
			}
		}
	}
	void refresh(model_node& _node)
	{
		std::vector<int> reachable;
		for (int i = 0; i < nodes(); ++i)
		{
			if (i == _node.view->self || !at(i).dead)
			{
				reachable.push_back(i);
			}
		}
		_node.view->set_visible_nodes(reachable);
	}

	crash_strategy m_strategy;
	double m_loss;
	std::minstd_rand m_random;
	asio::io_context m_context{1};
	clock_virtual m_clock;
	backend_registry m_registry{{{"d0", "r0"}, {"d1", "r1"}, {"d2", "r2"}}};
	entry_log m_log{"model", -1};
	std::vector<model_node> m_nodes;
	std::multimap<steady_time, std::function<void()>> m_due;
	std::map<request_fingerprint, request_block> m_store;
	std::map<std::uint64_t, std::vector<steady_time>> m_sends_of;
	std::map<std::uint64_t, std::vector<steady_time>> m_crashes_of;
	std::map<std::uint64_t, std::size_t> m_refused;
	std::vector<steady_time> m_crashes;
	std::uint32_t m_incarnations = 0;
	std::size_t m_datagrams = 0;
	std::size_t m_bytes = 0;
	int m_steps = 0;
	bool m_store_down = false;
};

const char* name_of(crash_strategy _strategy)
{
	return crash_strategy::counting_nodes == _strategy ? "counted"
	       : crash_strategy::broadcast == _strategy    ? "told to all"
	                                                   : "alone";
}

/// @returns Whether the tests print their measurements.
bool prints_measurements()
{
	return nullptr != std::getenv("LARKRACK_FIGURES");
}
} // namespace

class crash_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(crash_model_test);
	CPPUNIT_TEST(request_that_arrives_at_all_nodes_is_blocked_in_fleets_of_any_size);
	CPPUNIT_TEST(isolated_nodes_never_block_it_in_a_large_fleet);
	CPPUNIT_TEST(lost_datagrams_do_not_prevent_any_node_from_blocking);
	CPPUNIT_TEST(counting_node_that_fails_is_replaced);
	CPPUNIT_TEST(nodes_that_all_restart_restore_blocks_from_the_store);
	CPPUNIT_TEST(unreachable_store_does_not_prevent_blocking_and_is_written_later);
	CPPUNIT_TEST(request_that_arrives_rarely_is_blocked_too);
	CPPUNIT_TEST(hundred_different_requests_cause_a_bounded_number_of_crashes_each);
	CPPUNIT_TEST(innocent_concurrent_request_is_served_again_within_a_second);
	CPPUNIT_TEST(popular_request_is_never_refused_while_servers_crash_on_their_own);
	CPPUNIT_TEST(nodes_send_nothing_while_no_server_crashes);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// With the environment variable LARKRACK_LARGE set, includes a fleet of 2,000 nodes.
	void request_that_arrives_at_all_nodes_is_blocked_in_fleets_of_any_size()
	{
		std::vector<int> sizes{9, 300, 1000};
		if (nullptr != std::getenv("LARKRACK_LARGE"))
		{
			sizes.push_back(2000);
		}
		for (const int nodes : sizes)
		{
			for (const crash_strategy strategy : {crash_strategy::counting_nodes, crash_strategy::broadcast})
			{
				crash_model model(strategy, nodes, 0.0, 1);
				while (model.crashes() < k_blamed)
				{
					model.run(ms(200), ms(200));
				}
				const ms known = model.time_until_blocked_everywhere(k_crashing);
				model.run(ms(6000), ms(200));
				if (prints_measurements())
				{
					std::cout << name_of(strategy) << ", nodes " << nodes << ": ended " << model.crashes()
					          << ", sends after " << model.late_sends(k_crashing) << ", all knew after "
					          << known.count() << " ms, datagrams " << model.datagrams() << ", bytes "
					          << model.bytes() << "\n";
				}
				CPPUNIT_ASSERT(crash_strategy::counting_nodes != strategy || known <= k_max_propagation);
				CPPUNIT_ASSERT(crash_strategy::counting_nodes != strategy ||
				               model.late_sends(k_crashing) <= k_max_late_sends);
			}
		}
	}

	void isolated_nodes_never_block_it_in_a_large_fleet()
	{
		crash_model model(crash_strategy::isolated, 300, 0.0, 1);
		model.run(ms(10000), ms(200));
		CPPUNIT_ASSERT(model.late_sends(k_crashing) > 5 * k_max_late_sends);
	}

	void lost_datagrams_do_not_prevent_any_node_from_blocking()
	{
		for (unsigned seed = 1; seed <= 5; ++seed)
		{
			crash_model model(crash_strategy::counting_nodes, 60, 0.1, seed);
			model.run(ms(12000), ms(100));
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.open_nodes(k_crashing));
			CPPUNIT_ASSERT(model.late_sends(k_crashing) <= k_max_late_sends);
		}
	}

	void counting_node_that_fails_is_replaced()
	{
		for (int victim = 0; victim < 9; ++victim)
		{
			crash_model model(crash_strategy::counting_nodes, 9, 0.0, 2);
			model.run(ms(150), ms(200));
			model.kill(victim);
			model.run(ms(900), ms(200));
			model.refresh_views();
			model.run(ms(9000), ms(200));
			CPPUNIT_ASSERT(model.late_sends(k_crashing) <= k_max_late_sends);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.open_nodes(k_crashing));
		}
	}

	void nodes_that_all_restart_restore_blocks_from_the_store()
	{
		crash_model model(crash_strategy::counting_nodes, 9, 0.0, 3);
		model.run(ms(6000), ms(200));
		const std::size_t crashes = model.crashes();
		for (int node = 0; node < 9; ++node)
		{
			model.start(node);
		}
		model.refresh_views();
		model.run(ms(6000), ms(200));
		CPPUNIT_ASSERT_EQUAL(crashes, model.crashes());
	}

	void unreachable_store_does_not_prevent_blocking_and_is_written_later()
	{
		crash_model model(crash_strategy::counting_nodes, 9, 0.0, 4);
		model.set_store_down(true);
		model.run(ms(8000), ms(200));
		CPPUNIT_ASSERT(model.late_sends(k_crashing) <= k_max_late_sends);
		model.set_store_down(false);
		model.run(ms(5000), ms(0));
		const std::size_t crashes = model.crashes();
		model.start(0);
		model.refresh_views();
		model.run(ms(5000), ms(50));
		CPPUNIT_ASSERT_EQUAL(crashes, model.crashes());
	}

	void request_that_arrives_rarely_is_blocked_too()
	{
		crash_model model(crash_strategy::counting_nodes, 9, 0.0, 5);
		model.run(ms(360000), ms(30000));
		CPPUNIT_ASSERT(model.late_sends(k_crashing) <= k_max_late_sends);
		CPPUNIT_ASSERT(model.crashes() <= 2 * k_blamed);
	}

	void hundred_different_requests_cause_a_bounded_number_of_crashes_each()
	{
		crash_model model(crash_strategy::counting_nodes, 9, 0.0, 6);
		model.run(ms(8000), ms(500), 100);
		CPPUNIT_ASSERT_MESSAGE(
		    std::to_string(model.crashes()), model.crashes() <= std::size_t(100) * 2 * k_blamed);
	}

	/// Guards against an innocent request that stays blocked because another request repeatedly crashed the
	/// server that ran both.
	void innocent_concurrent_request_is_served_again_within_a_second()
	{
		for (unsigned seed = 1; seed <= 5; ++seed)
		{
			crash_model model(crash_strategy::counting_nodes, 9, 0.0, seed);
			for (int i = 0; i < 3; ++i)
			{
				model.arrive_innocent(i, k_innocent, true);
				model.run(ms(400), ms(0));
			}
			CPPUNIT_ASSERT(model.open_nodes(k_innocent) < 9);
			model.arrive_innocent(5, k_innocent, false);
			model.run(ms(1000), ms(0));
			CPPUNIT_ASSERT_EQUAL(std::size_t(9), model.open_nodes(k_innocent));
		}
	}

	void popular_request_is_never_refused_while_servers_crash_on_their_own()
	{
		crash_model model(crash_strategy::counting_nodes, 9, 0.0, 7);
		for (int second = 0; second < 10; ++second)
		{
			for (int i = 0; i < 20; ++i)
			{
				model.serve(i % 9, k_innocent);
				model.run(ms(50), ms(0));
				CPPUNIT_ASSERT_EQUAL(std::size_t(9), model.open_nodes(k_innocent));
			}
			model.crash_server({0, 3, 6}, k_innocent);
		}
	}

	void nodes_send_nothing_while_no_server_crashes()
	{
		crash_model model(crash_strategy::counting_nodes, 30, 0.0, 8);
		for (int i = 0; i < 100; ++i)
		{
			model.serve(i % 30, 1000 + static_cast<std::uint64_t>(i));
			model.run(ms(50), ms(0));
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.datagrams());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_model_test);
} // namespace larkrack
