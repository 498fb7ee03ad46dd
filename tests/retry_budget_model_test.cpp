// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Model of the retries of one service by all nodes of a fleet, on a virtual time: half of all attempts are
/// rejected, so that the budget is used up, while nodes die, start and are cut off from each other. Each node
/// has the production rules; the retries of all nodes are added up in every window, those of dead nodes too.
/// With LARKRACK_FIGURES set, prints the use of the budget.

#include "fixtures.h"

#include "steering/retry_budget_p.h"
#include "steering/shared_budgets_p.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <random>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{10};
constexpr ms k_window{10000};
constexpr ms k_hearing_time{
    300}; ///< From the start of the later one of two nodes until they know each other.
constexpr std::size_t k_domains = 6;
constexpr int k_max_attempts = 3;

/// What the model's fleet is like.
struct fleet_shape
{
	std::size_t nodes = 12;
	double per_s = 260.0; ///< Requests of all nodes together.
	double ratio = 0.05;
	double slack = 100.0;
};

/// One node, over all its lives.
struct model_node
{
	std::size_t domain = 0;
	std::unique_ptr<retry_budget> budget; ///< Null while the node is down.
	node_count_maximum census;
	ms started{0};
};
} // namespace

class retry_budget_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(retry_budget_model_test);
	CPPUNIT_TEST(fleet_in_calm_uses_most_of_the_budget);
	CPPUNIT_TEST(fleet_killed_at_once_stays_within_the_budget);
	CPPUNIT_TEST(fleet_with_halves_killed_in_turn_stays_within_the_budget);
	CPPUNIT_TEST(fleet_restarted_one_by_one_stays_within_the_budget);
	CPPUNIT_TEST(fleet_started_behind_cuts_of_failure_domains_stays_within_the_budget);
	CPPUNIT_TEST(fleet_started_with_each_node_cut_off_stays_within_the_budget);
	CPPUNIT_TEST(fleet_with_bursts_of_rejections_stays_within_the_budget);
	CPPUNIT_TEST(fleet_with_traffic_that_halves_stays_within_the_budget);
	CPPUNIT_TEST(fleet_with_random_kills_and_cuts_stays_within_the_budget);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		start_model({});
	}

protected:
	void start_model(const fleet_shape& _shape, unsigned _seed = 1)
	{
		m_shape = _shape;
		m_random.seed(_seed);
		m_nodes.clear();
		m_requests.clear();
		m_retries.clear();
		m_now = ms(0);
		m_rejected = 0.5;
		m_traffic = 1.0;
		m_island_of = [](std::size_t, const model_node&)
		{
			return std::size_t{0};
		};
		for (std::size_t i = 0; i < _shape.nodes; ++i)
		{
			m_nodes.emplace_back();
			m_nodes.back().domain = i % k_domains;
			start_node(i);
		}
	}

	steady_time now() const
	{
		return steady_time{std::chrono::hours(1)} + m_now;
	}

	void start_node(std::size_t _node)
	{
		model_node& node = m_nodes[_node];
		node.budget = std::make_unique<retry_budget>(retry_limits{m_shape.ratio, m_shape.slack, k_window});
		node.budget->set_full_from(now() + k_window);
		node.census = {};
		node.started = m_now;
		std::vector<domain_name> domains;
		for (std::size_t domain = 0; domain < k_domains; ++domain)
		{
			domains.push_back(name_of_domain(domain));
		}
		node.census.set_domains(domains);
	}

	void kill_node(std::size_t _node)
	{
		m_nodes[_node].budget.reset();
	}

	void kill_and_start(std::size_t _node)
	{
		kill_node(_node);
		start_node(_node);
	}

	bool hears(std::size_t _node, std::size_t _other) const
	{
		const model_node& node = m_nodes[_node];
		const model_node& other = m_nodes[_other];
		return other.budget && m_now - std::max(node.started, other.started) >= k_hearing_time &&
		       m_island_of(_node, node) == m_island_of(_other, other);
	}

	static domain_name name_of_domain(std::size_t _domain)
	{
		return domain_name("d" + std::to_string(_domain));
	}

	void update_census(std::size_t _node)
	{
		model_node& node = m_nodes[_node];
		std::size_t known = 1;
		std::array<std::size_t, k_domains> by_domain{};
		by_domain[node.domain] = 1;
		for (std::size_t other = 0; other < m_nodes.size(); ++other)
		{
			const std::size_t heard = other != _node && hears(_node, other) ? 1 : 0;
			known += heard;
			by_domain[m_nodes[other].domain] += heard;
		}
		node.census.on_nodes_counted(known, 1);
		for (std::size_t domain = 0; domain < k_domains; ++domain)
		{
			node.census.on_domain_counted(name_of_domain(domain), by_domain[domain]);
		}
		node.budget->set_slack_part(slack_share(node.census.extent(), m_now - node.started, k_window));
	}

	void on_request(model_node& _node)
	{
		m_requests.push_back(m_now);
		if (!_node.budget)
		{
			return;
		}
		_node.budget->earn(now());
		std::bernoulli_distribution rejected(m_rejected);
		for (int attempt = 1; attempt < k_max_attempts && rejected(m_random); ++attempt)
		{
			if (!_node.budget->spend(now()))
			{
				return;
			}
			m_retries.push_back(m_now);
		}
	}

	void run(ms _time)
	{
		const ms end = m_now + _time;
		std::poisson_distribution<int> arrivals(
		    m_traffic * m_shape.per_s * static_cast<double>(k_step.count()) / 1000.0);
		std::uniform_int_distribution<std::size_t> draw(0, m_nodes.size() - 1);
		for (; m_now < end; m_now += k_step)
		{
			if (0 == m_now.count() % 100)
			{
				for (std::size_t i = 0; i < m_nodes.size(); ++i)
				{
					if (m_nodes[i].budget)
					{
						update_census(i);
					}
				}
			}
			for (int i = arrivals(m_random); i > 0; --i)
			{
				on_request(m_nodes[draw(m_random)]);
			}
		}
	}

	static std::ptrdiff_t count_in(const std::vector<ms>& _times, ms _from, ms _until)
	{
		return std::lower_bound(_times.begin(), _times.end(), _until) -
		       std::lower_bound(_times.begin(), _times.end(), _from);
	}

	double allowed_from(ms _from) const
	{
		std::ptrdiff_t most = 0;
		for (const ms earlier : {ms(0), k_window / 2, k_window})
		{
			most = std::max(most, count_in(m_requests, _from - earlier, _from - earlier + k_window));
		}
		return m_shape.ratio * static_cast<double>(most) + m_shape.slack;
	}

	/// @returns Maximum over all windows of the retries, as a part of those allowed.
	double highest_use() const
	{
		double highest = 0.0;
		for (ms from{0}; from + k_window <= m_now; from += ms(50))
		{
			const auto retries = static_cast<double>(count_in(m_retries, from, from + k_window));
			highest = std::max(highest, retries / allowed_from(from));
		}
		return highest;
	}

	void assert_within_budget(const char* _what)
	{
		const double use = highest_use();
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			std::cout << "retries, " << m_shape.nodes << " nodes, " << _what << ": highest use " << use
			          << "\n";
		}
		CPPUNIT_ASSERT_MESSAGE(std::string(_what) + ": " + std::to_string(use), use <= 1.0);
	}

	static std::vector<fleet_shape> shapes()
	{
		return {{9, 200.0, 0.05, 100.0}, {12, 260.0, 0.05, 100.0}, {65, 1200.0, 0.2, 170.0},
		    {300, 3000.0, 0.2, 400.0}, {2000, 8000.0, 0.2, 1000.0}};
	}

	/// Plays a scenario on fleets of all sizes.
	template <typename Scenario>
	void play(const char* _what, const Scenario& _scenario)
	{
		for (const fleet_shape& shape : shapes())
		{
			start_model(shape);
			_scenario();
			assert_within_budget(_what);
		}
	}

	/// Guards the use of the budget where nothing strikes.
	void fleet_in_calm_uses_most_of_the_budget()
	{
		run(ms(40000));
		assert_within_budget("calm");
		CPPUNIT_ASSERT(highest_use() >= 0.7);
	}

	/// Guards against starts that forget what was spent.
	void fleet_killed_at_once_stays_within_the_budget()
	{
		play("all killed at once",
		    [this]
		    {
			    run(ms(16000));
			    for (std::size_t i = 0; i < m_nodes.size(); ++i)
			    {
				    kill_and_start(i);
			    }
			    run(ms(16000));
		    });
	}

	/// Guards against the same over several starts in one window.
	void fleet_with_halves_killed_in_turn_stays_within_the_budget()
	{
		play("halves killed in turn",
		    [this]
		    {
			    run(ms(14000));
			    for (std::size_t round = 0; round < 6; ++round)
			    {
				    for (std::size_t i = round % 2; i < m_nodes.size(); i += 2)
				    {
					    kill_and_start(i);
				    }
				    run(ms(1500));
			    }
			    run(ms(12000));
		    });
	}

	/// Guards planned restarts of a whole fleet.
	void fleet_restarted_one_by_one_stays_within_the_budget()
	{
		play("restarted one by one",
		    [this]
		    {
			    run(ms(14000));
			    for (std::size_t i = 0; i < m_nodes.size(); ++i)
			    {
				    kill_and_start(i);
				    run(ms(20000 / static_cast<int>(m_nodes.size()) / 10 * 10));
			    }
			    run(ms(12000));
		    });
	}

	void start_all_behind_a_cut()
	{
		run(ms(14000));
		for (std::size_t i = 0; i < m_nodes.size(); ++i)
		{
			kill_and_start(i);
		}
	}

	/// Guards against islands that take the slack of all for their own.
	void fleet_started_behind_cuts_of_failure_domains_stays_within_the_budget()
	{
		play("started behind cuts of failure domains",
		    [this]
		    {
			    start_all_behind_a_cut();
			    m_island_of = [](std::size_t, const model_node& _node)
			    {
				    return _node.domain;
			    };
			    run(ms(25000));
		    });
	}

	/// Guards against nodes that take themselves for the whole fleet.
	void fleet_started_with_each_node_cut_off_stays_within_the_budget()
	{
		play("started with each node cut off",
		    [this]
		    {
			    start_all_behind_a_cut();
			    m_island_of = [](std::size_t _number, const model_node&)
			    {
				    return _number;
			    };
			    run(ms(25000));
		    });
	}

	/// Guards against a window that forgets what was spent at its begin.
	void fleet_with_bursts_of_rejections_stays_within_the_budget()
	{
		play("bursts of rejections",
		    [this]
		    {
			    for (const int gap : {9100, 9300, 9500, 9700, 9900})
			    {
				    m_rejected = 0.0;
				    run(ms(gap - 400));
				    m_rejected = 1.0;
				    run(ms(400));
			    }
			    m_rejected = 0.0;
			    run(ms(10000));
		    });
	}

	/// Guards against retries earned by traffic that is over.
	void fleet_with_traffic_that_halves_stays_within_the_budget()
	{
		play("traffic that halves",
		    [this]
		    {
			    for (int i = 0; i < 8; ++i)
			    {
				    m_traffic = 0 == i % 2 ? 1.0 : 0.5;
				    run(ms(3700 + 600 * i));
			    }
			    run(ms(10000));
		    });
	}

	/// Guards against orders of kills, cuts, bursts and changes of traffic that nobody thought of.
	void fleet_with_random_kills_and_cuts_stays_within_the_budget()
	{
		for (unsigned seed = 1; seed <= 60; ++seed)
		{
			start_model(shapes()[seed % 3], seed);
			run(ms(11000));
			for (int strike = 0; strike < 12; ++strike)
			{
				strike_at_random();
				run(ms(100 * std::uniform_int_distribution<int>(1, 40)(m_random)));
			}
			run(ms(10000));
			assert_within_budget(("random, seed " + std::to_string(seed)).c_str());
		}
	}

	void strike_at_random()
	{
		std::uniform_real_distribution<double> share(0.0, 1.0);
		const double killed = share(m_random);
		switch (std::uniform_int_distribution<int>(0, 4)(m_random))
		{
		case 0:
			for (std::size_t i = 0; i < m_nodes.size(); ++i)
			{
				if (share(m_random) < killed)
				{
					kill_and_start(i);
				}
			}
			break;
		case 1:
			m_island_of = [](std::size_t, const model_node& _node)
			{
				return _node.domain;
			};
			break;
		case 2:
			m_island_of = [](std::size_t, const model_node&)
			{
				return std::size_t{0};
			};
			break;
		case 3:
			m_rejected = share(m_random);
			break;
		default:
			m_traffic = 0.3 + share(m_random);
			break;
		}
	}

	fleet_shape m_shape;
	std::mt19937 m_random;
	std::vector<model_node> m_nodes;
	/// Nodes of the same island hear each other.
	std::function<std::size_t(std::size_t, const model_node&)> m_island_of;
	double m_rejected = 0.5; ///< Part of all attempts.
	double m_traffic = 1.0;  ///< Times the usual.
	ms m_now{0};
	std::vector<ms> m_requests; ///< Times, of all nodes.
	std::vector<ms> m_retries;  ///< Times, of all nodes, the dead ones too.
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_model_test);
} // namespace larkrack
