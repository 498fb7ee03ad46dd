// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Model of the ways in which a failure domain without a reader of the store keeps its configuration young
/// when it is cut off from all other nodes: how old a configuration gets, and the calls to the store in calm.
/// The intervals of heartbeats and the rules of readers are those of production. With LARKRACK_FIGURES set,
/// prints both for each way and size.

#include "fixtures.h"

#include "steering/node_liveness_p.h"
#include "steering/store_readers_p.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace larkrack
{
class config_age_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(config_age_model_test);
	CPPUNIT_TEST(isolated_failure_domain_has_the_configuration_in_time_at_any_size);
	CPPUNIT_TEST(isolation_needs_no_calls_in_calm_where_asking_by_age_does);
	CPPUNIT_TEST_SUITE_END();

protected:
	using ms = std::chrono::milliseconds;

	static constexpr std::size_t k_domains = 9;
	static constexpr std::size_t k_regions = 3;
	static constexpr std::size_t k_readers = 3; ///< In each region.
	static constexpr ms k_watch_wait{2500};
	static constexpr ms k_reader_check{200};
	static constexpr ms k_read_time{110}; ///< A connection and a read across regions.
	static constexpr ms k_max_age{1500};  ///< The aim, for a node that learns from others.
	static constexpr double k_datagram_loss = 0.02;

	/// How a node without a watch gets to know that its configuration may be old.
	enum class way
	{
		liveness,  ///< It ranks itself as a reader once the readers count as dead.
		isolation, ///< It also does once it hears nobody outside of its failure domain.
		age,       ///< It reads the store when no reader was heard for k_max_age.
	};

	/// Result of a way in a fleet of one size.
	struct figures
	{
		ms worst_age{0};
		double calls_per_s = 0.0; ///< In calm, of all nodes.
	};

	static std::size_t domain_peers(std::size_t _nodes)
	{
		return std::max<std::size_t>(1, _nodes / k_domains) - 1;
	}

	/// @returns Heartbeats that a node gets from one node elsewhere in its region: time between two of them.
	static ms region_interval(std::size_t _nodes)
	{
		const node_liveness pace(domain_peers(_nodes), _nodes - 1);
		return pace.heartbeat_divisor(proximity::region) * pace.interval();
	}

	/// @returns Reads of one node that asks when no reader was heard for k_max_age, per second.
	static double reads_by_age(std::size_t _nodes, std::mt19937& _random)
	{
		constexpr ms k_span{600000};
		const ms interval = region_interval(_nodes);
		std::uniform_int_distribution<std::int64_t> phase(0, interval.count() - 1);
		std::bernoulli_distribution lost(k_datagram_loss);
		std::vector<ms> heard;
		for (std::size_t reader = 0; reader < k_readers; ++reader)
		{
			for (ms at{phase(_random)}; at < k_span; at += interval)
			{
				if (!lost(_random))
				{
					heard.push_back(at);
				}
			}
		}
		std::sort(heard.begin(), heard.end());
		int reads = 0;
		ms last{0};
		for (const ms at : heard)
		{
			reads += static_cast<int>((at - last - ms(1)) / k_max_age);
			last = at;
		}
		return 1000.0 * reads / static_cast<double>(k_span.count());
	}

	static ms first_of(way _way, std::size_t _nodes)
	{
		const node_liveness pace(domain_peers(_nodes), _nodes - 1);
		const ms dead = pace.liveness_timeout(proximity::region, domain_peers(_nodes));
		if (way::age == _way)
		{
			return k_max_age;
		}
		ms silence{0};
		const auto reads = [_way, dead](ms _silence)
		{
			return _silence > dead ||
			       (way::isolation == _way && reader_scope::region != plan_reader_scope(_silence, _silence));
		};
		while (!reads(silence))
		{
			silence += ms(10);
		}
		return silence + k_reader_check;
	}

	static figures play(way _way, std::size_t _nodes)
	{
		std::mt19937 random(1);
		figures result;
		result.worst_age = first_of(_way, _nodes) + k_read_time;
		result.calls_per_s = static_cast<double>(k_regions * k_readers) * 1000.0 / k_watch_wait.count();
		if (way::age == _way)
		{
			constexpr int k_sampled_nodes = 50;
			double reads = 0.0;
			for (int i = 0; i < k_sampled_nodes; ++i)
			{
				reads += reads_by_age(_nodes, random) / k_sampled_nodes;
			}
			result.calls_per_s += reads * static_cast<double>(_nodes);
		}
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			const char* names[] = {"liveness", "isolation", "age"};
			std::cout << "configuration, " << _nodes << " nodes, " << names[static_cast<int>(_way)]
			          << ": worst age " << result.worst_age.count() << " ms, " << result.calls_per_s
			          << " calls a second\n";
		}
		return result;
	}

	/// Guards the age of the configuration in a failure domain that is cut off and has no reader.
	void isolated_failure_domain_has_the_configuration_in_time_at_any_size()
	{
		for (const std::size_t nodes : {std::size_t{9}, std::size_t{65}, std::size_t{300}, std::size_t{2000}})
		{
			play(way::liveness, nodes);
			const figures chosen = play(way::isolation, nodes);
			CPPUNIT_ASSERT_MESSAGE(
			    std::to_string(nodes) + " nodes: " + std::to_string(chosen.worst_age.count()) + " ms",
			    chosen.worst_age <= k_max_age);
		}
	}

	/// Guards the calls to the store in calm: no more than one watch for each reader.
	void isolation_needs_no_calls_in_calm_where_asking_by_age_does()
	{
		for (const std::size_t nodes : {std::size_t{9}, std::size_t{65}, std::size_t{300}, std::size_t{2000}})
		{
			const double before = play(way::liveness, nodes).calls_per_s;
			CPPUNIT_ASSERT(play(way::isolation, nodes).calls_per_s <= before);
			play(way::age, nodes);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_age_model_test);
} // namespace larkrack
