// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulates rests of backend servers in fleets of several sizes on a virtual clock, with two strategies:
/// each node obeys only the rests that it was told itself, or each rest is sent to all nodes. The request
/// rate for each backend server is the same whatever the number of nodes; a refused request is retried at one
/// other backend server.

#include "fixtures.h"

#include "steering/backend_rest_p.h"

#include <iostream>
#include <random>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr std::size_t k_servers = 24;
constexpr double k_per_s = 480.0; ///< Requests to all backend servers.
constexpr ms k_simulated{20000};
constexpr ms k_in_flight{500}; ///< Time after a refusal during which requests in flight may still arrive.
constexpr std::size_t k_tries = 2;
constexpr std::size_t k_report_bytes = 24; ///< A datagram with an id, a time and its header.

enum class rest_strategy
{
	own_refusals,
	sent_to_all,
};

/// Behaviour of the backend servers.
struct rest_scenario
{
	double refused = 0.0;    ///< Fraction of requests that each backend server refuses at random.
	std::size_t resting = 0; ///< Number of backend servers that refuse all requests for a time.
	ms from{2000};
	ms until{11000};
	ms asked_for{3000};
};

struct rest_figures
{
	double refused = 0.0;  ///< Fraction of all first attempts.
	double served = 0.0;   ///< Fraction of all requests.
	double withheld = 0.0; ///< Mean fraction of all pairs of a node and a serving backend server.
	/// Maximum number of requests of one node to a backend server during the remainder of a rest.
	std::size_t most_in_rest = 0;
	std::size_t bytes = 0;
};

class rest_model
{
public:
	rest_model(rest_strategy _strategy, std::size_t _nodes, const rest_scenario& _scenario)
	    : m_strategy(_strategy), m_scenario(_scenario),
	      m_nodes(_nodes, std::vector<backend_knowledge>(k_servers)), m_random(7)
	{
	}
	rest_figures run()
	{
		std::exponential_distribution<double> pause(k_per_s);
		std::uniform_int_distribution<std::size_t> node(0, m_nodes.size() - 1);
		double at_s = 1.0;
		std::size_t requests = 0;
		for (; at_s < 1.0 + to_s(k_simulated); at_s += pause(m_random))
		{
			m_now = steady_time{} + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * at_s));
			send(node(m_random));
			count_withheld(++requests);
		}
		m_figures.refused /= static_cast<double>(requests);
		m_figures.served /= static_cast<double>(requests);
		m_figures.withheld /= static_cast<double>(requests);
		return m_figures;
	}

private:
	/// What a node knows of a backend server, and the requests that it sent during its rest.
	struct backend_knowledge
	{
		backend_rest rest;
		steady_time refused_at{};
		std::size_t in_rest = 0;
	};

	void send(std::size_t _node)
	{
		std::vector<bool> tried(k_servers, false);
		for (std::size_t attempt = 0; attempt < k_tries; ++attempt)
		{
			const std::size_t server = choose(m_nodes[_node], tried);
			if (k_servers == server)
			{
				return;
			}
			tried[server] = true;
			count_in_rest(m_nodes[_node][server]);
			if (serves(server))
			{
				m_figures.served += 1.0;
				return;
			}
			m_figures.refused += 0 == attempt ? 1.0 : 0.0;
			observe_rest(_node, server);
		}
	}
	std::size_t choose(std::vector<backend_knowledge>& _known, const std::vector<bool>& _tried)
	{
		std::uniform_int_distribution<std::size_t> first(0, k_servers - 1);
		const double share_per_s = k_per_s / static_cast<double>(k_servers * m_nodes.size());
		const std::size_t begin = first(m_random);
		for (std::size_t i = 0; i < k_servers; ++i)
		{
			const std::size_t server = (begin + i * 7) % k_servers;
			backend_rest& rest = _known[server].rest;
			if (!_tried[server] && !rest.resting(m_now) && rest.admits_after_rest(share_per_s, m_now))
			{
				return server;
			}
		}
		return k_servers;
	}
	bool serves(std::size_t _server)
	{
		const bool rests =
		    _server < m_scenario.resting && m_now >= at(m_scenario.from) && m_now < at(m_scenario.until);
		return !rests && std::uniform_real_distribution<double>()(m_random) >= m_scenario.refused;
	}
	static steady_time at(ms _time)
	{
		return steady_time{} + ms(1000) + _time;
	}
	void observe_rest(std::size_t _node, std::size_t _server)
	{
		backend_knowledge& local = m_nodes[_node][_server];
		local.rest.take_report(m_scenario.asked_for, m_now);
		local.refused_at = m_now;
		local.in_rest = 0;
		if (rest_strategy::sent_to_all != m_strategy)
		{
			return;
		}
		m_figures.bytes += k_report_bytes * (m_nodes.size() - 1);
		for (std::vector<backend_knowledge>& other : m_nodes)
		{
			other[_server].rest.take_report(m_scenario.asked_for, m_now);
		}
	}
	void count_in_rest(backend_knowledge& _known)
	{
		const bool counts = steady_time{} != _known.refused_at && m_now > _known.refused_at + k_in_flight &&
		                    m_now < _known.refused_at + m_scenario.asked_for;
		_known.in_rest += counts ? 1 : 0;
		m_figures.most_in_rest = std::max(m_figures.most_in_rest, _known.in_rest);
	}
	/// Samples one node per request, so that the simulation does not iterate over all nodes for each request.
	void count_withheld(std::size_t _request)
	{
		const std::vector<backend_knowledge>& known = m_nodes[_request % m_nodes.size()];
		std::size_t resting = 0;
		for (std::size_t server = m_scenario.resting; server < k_servers; ++server)
		{
			resting += known[server].rest.resting(m_now) ? 1 : 0;
		}
		m_figures.withheld +=
		    static_cast<double>(resting) / static_cast<double>(k_servers - m_scenario.resting);
	}

	rest_strategy m_strategy;
	rest_scenario m_scenario;
	std::vector<std::vector<backend_knowledge>> m_nodes;
	std::minstd_rand m_random;
	steady_time m_now{};
	rest_figures m_figures;
};
} // namespace

class rest_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rest_model_test);
	CPPUNIT_TEST(backend_servers_that_refuse_a_few_at_random_stay_in_use_by_own_refusals);
	CPPUNIT_TEST(third_of_a_service_that_rests_gets_nothing_from_nodes_that_it_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr std::size_t k_sizes[] = {9, 300, 2000};

	static void print(const char* _what, std::size_t _nodes, const rest_figures& _figures)
	{
		std::cout << _what << ", " << _nodes << " nodes: turned away " << _figures.refused << ", served "
		          << _figures.served << ", out of use " << _figures.withheld << ", in a rest "
		          << _figures.most_in_rest << ", " << _figures.bytes << " bytes told\n";
	}

	/// Guards against a refusal to one node that disables a backend server for all other nodes.
	void backend_servers_that_refuse_a_few_at_random_stay_in_use_by_own_refusals()
	{
		rest_scenario scenario;
		scenario.refused = 0.02;
		scenario.asked_for = ms(2000);
		for (const std::size_t nodes : k_sizes)
		{
			const rest_figures local = rest_model(rest_strategy::own_refusals, nodes, scenario).run();
			const rest_figures forwarded = rest_model(rest_strategy::sent_to_all, nodes, scenario).run();
			print("a few at random, own words", nodes, local);
			print("a few at random, told to all", nodes, forwarded);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), local.most_in_rest);
			CPPUNIT_ASSERT(local.withheld < forwarded.withheld);
		}
	}

	void third_of_a_service_that_rests_gets_nothing_from_nodes_that_it_refused()
	{
		rest_scenario scenario;
		scenario.resting = 8;
		for (const std::size_t nodes : k_sizes)
		{
			const rest_figures local = rest_model(rest_strategy::own_refusals, nodes, scenario).run();
			const rest_figures forwarded = rest_model(rest_strategy::sent_to_all, nodes, scenario).run();
			print("a third rests, own words", nodes, local);
			print("a third rests, told to all", nodes, forwarded);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), local.most_in_rest);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), forwarded.most_in_rest);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(rest_model_test);
} // namespace larkrack
