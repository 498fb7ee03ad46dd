// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Rests over whole fleets on a virtual clock, in two ways: each node keeps to what it heard itself, and each
/// word is told to all nodes. Requests come at the same rate for each backend server, however many nodes
/// carry them; one that is turned away is sent to one other backend server.

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
constexpr double k_per_s = 480.0; ///< Requests to all of them.
constexpr ms k_played{20000};
constexpr ms k_under_way{500}; ///< After a word, in which requests may still come.
constexpr std::size_t k_tries = 2;
constexpr std::size_t k_told_bytes = 24; ///< A datagram with an id, a time and its head.

enum class rest_way
{
	own_words,
	told_to_all,
};

/// What backend servers do.
struct rest_play
{
	double turned_away = 0.0; ///< Part of its requests that each one turns away at random.
	std::size_t resting = 0;  ///< Backend servers that turn all away for a time.
	ms from{2000};
	ms until{11000};
	ms asked{3000};
};

struct rest_figures
{
	double turned_away = 0.0;     ///< Of all first sends, part.
	double served = 0.0;          ///< Of all requests, part.
	double out_of_use = 0.0;      ///< Of all pairs of a node and a backend server that serves, mean part.
	std::size_t most_in_rest = 0; ///< Requests of a node to a backend server in what was left of a rest.
	std::size_t bytes = 0;
};

class rest_model
{
public:
	rest_model(rest_way _way, std::size_t _nodes, const rest_play& _play)
	    : m_way(_way), m_play(_play), m_nodes(_nodes, std::vector<knowledge>(k_servers)), m_random(7)
	{
	}
	rest_figures run()
	{
		std::exponential_distribution<double> pause(k_per_s);
		std::uniform_int_distribution<std::size_t> node(0, m_nodes.size() - 1);
		double at_s = 1.0;
		std::size_t requests = 0;
		for (; at_s < 1.0 + to_s(k_played); at_s += pause(m_random))
		{
			m_now = steady_time{} + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * at_s));
			send(node(m_random));
			count_out_of_use(++requests);
		}
		m_figures.turned_away /= static_cast<double>(requests);
		m_figures.served /= static_cast<double>(requests);
		m_figures.out_of_use /= static_cast<double>(requests);
		return m_figures;
	}

private:
	/// What a node knows of a backend server, and what the rule counts of both.
	struct knowledge
	{
		backend_rest rest;
		steady_time answered_at{};
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
			m_figures.turned_away += 0 == attempt ? 1.0 : 0.0;
			hear(_node, server);
		}
	}
	std::size_t choose(std::vector<knowledge>& _known, const std::vector<bool>& _tried)
	{
		std::uniform_int_distribution<std::size_t> first(0, k_servers - 1);
		const double share_per_s = k_per_s / static_cast<double>(k_servers * m_nodes.size());
		const std::size_t begin = first(m_random);
		for (std::size_t i = 0; i < k_servers; ++i)
		{
			const std::size_t server = (begin + i * 7) % k_servers;
			backend_rest& rest = _known[server].rest;
			if (!_tried[server] && !rest.resting(m_now) && rest.may_return(share_per_s, m_now))
			{
				return server;
			}
		}
		return k_servers;
	}
	bool serves(std::size_t _server)
	{
		const bool rests = _server < m_play.resting && m_now >= at(m_play.from) && m_now < at(m_play.until);
		return !rests && std::uniform_real_distribution<double>()(m_random) >= m_play.turned_away;
	}
	static steady_time at(ms _time)
	{
		return steady_time{} + ms(1000) + _time;
	}
	void hear(std::size_t _node, std::size_t _server)
	{
		knowledge& own = m_nodes[_node][_server];
		own.rest.hear(m_play.asked, m_now);
		own.answered_at = m_now;
		own.in_rest = 0;
		if (rest_way::told_to_all != m_way)
		{
			return;
		}
		m_figures.bytes += k_told_bytes * (m_nodes.size() - 1);
		for (std::vector<knowledge>& other : m_nodes)
		{
			other[_server].rest.hear(m_play.asked, m_now);
		}
	}
	void count_in_rest(knowledge& _known)
	{
		const bool counts = steady_time{} != _known.answered_at && m_now > _known.answered_at + k_under_way &&
		                    m_now < _known.answered_at + m_play.asked;
		_known.in_rest += counts ? 1 : 0;
		m_figures.most_in_rest = std::max(m_figures.most_in_rest, _known.in_rest);
	}
	/// Looks at one node at a time, so that a play takes no pass through all of them for each request.
	void count_out_of_use(std::size_t _turn)
	{
		const std::vector<knowledge>& known = m_nodes[_turn % m_nodes.size()];
		std::size_t resting = 0;
		for (std::size_t server = m_play.resting; server < k_servers; ++server)
		{
			resting += known[server].rest.resting(m_now) ? 1 : 0;
		}
		m_figures.out_of_use +=
		    static_cast<double>(resting) / static_cast<double>(k_servers - m_play.resting);
	}

	rest_way m_way;
	rest_play m_play;
	std::vector<std::vector<knowledge>> m_nodes;
	std::minstd_rand m_random;
	steady_time m_now{};
	rest_figures m_figures;
};
} // namespace

class rest_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rest_model_test);
	CPPUNIT_TEST(backend_servers_that_turn_a_few_away_at_random_stay_in_use_by_own_words);
	CPPUNIT_TEST(third_of_a_service_that_rests_gets_nothing_from_nodes_that_heard_it);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr std::size_t k_sizes[] = {9, 300, 2000};

	static void print(const char* _what, std::size_t _nodes, const rest_figures& _figures)
	{
		std::cout << _what << ", " << _nodes << " nodes: turned away " << _figures.turned_away << ", served "
		          << _figures.served << ", out of use " << _figures.out_of_use << ", in a rest "
		          << _figures.most_in_rest << ", " << _figures.bytes << " bytes told\n";
	}

	/// Guards against a word to one node that takes a backend server from all the others.
	void backend_servers_that_turn_a_few_away_at_random_stay_in_use_by_own_words()
	{
		rest_play play;
		play.turned_away = 0.02;
		play.asked = ms(2000);
		for (const std::size_t nodes : k_sizes)
		{
			const rest_figures own = rest_model(rest_way::own_words, nodes, play).run();
			const rest_figures told = rest_model(rest_way::told_to_all, nodes, play).run();
			print("a few at random, own words", nodes, own);
			print("a few at random, told to all", nodes, told);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), own.most_in_rest);
			CPPUNIT_ASSERT(own.out_of_use < told.out_of_use);
		}
	}

	void third_of_a_service_that_rests_gets_nothing_from_nodes_that_heard_it()
	{
		rest_play play;
		play.resting = 8;
		for (const std::size_t nodes : k_sizes)
		{
			const rest_figures own = rest_model(rest_way::own_words, nodes, play).run();
			const rest_figures told = rest_model(rest_way::told_to_all, nodes, play).run();
			print("a third rests, own words", nodes, own);
			print("a third rests, told to all", nodes, told);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), own.most_in_rest);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), told.most_in_rest);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(rest_model_test);
} // namespace larkrack
