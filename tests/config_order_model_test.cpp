// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Property test of replicas that learn the configuration in random orders: watches that begin anew, outdated
/// reads, changes and pages of other nodes with and without the configuration, two writes in a row,
/// restarts. No configuration is ever replaced by an older one, and none is
/// older than the replica claims.

#include "fixtures.h"
#include "plain_codec.h"

#include "testing/store_engine_p.h"

#include <random>

namespace larkrack
{
class config_order_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(config_order_model_test);
	CPPUNIT_TEST(configuration_in_random_orders_never_goes_back_nor_is_older_than_claimed);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr std::size_t k_nodes = 4;
	static constexpr int k_seeds = 10000;
	static constexpr int k_steps = 40;

	/// One life of a node.
	struct node
	{
		explicit node(config_order_model_test& _test)
		    : registry(std::unordered_map<std::string, std::string>{{"east-a", "east"}}),
		      replica(
		          _test.m_clock, _test.m_codec, registry, _test.m_log,
		          [this](const std::shared_ptr<const routing_table>& _routes)
		          {
			          went_back = went_back || _routes->version() <= version;
			          version = _routes->version();
		          },
		          [](const std::string&)
		          {
		          })
		{
		}
		backend_registry registry;
		state_replica replica;
		std::uint64_t version = 0;
		bool went_back = false;
	};

	/// State of the store at one revision.
	struct snapshot
	{
		std::int64_t revision = 0;
		std::uint64_t version = 0; ///< Of the newest configuration that decodes.
		std::vector<store_value> values;
	};

	void write(bool _routes, bool _backend)
	{
		std::vector<store_write> writes;
		if (_routes)
		{
			m_version += 1 + draw(3);
			writes.push_back({"routes", std::to_string(m_version), 0});
		}
		if (_backend)
		{
			writes.push_back({"backend/b" + std::to_string(draw(5)), 0 == draw(2) ? "ready" : "draining", 0});
		}
		m_engine.txn({}, writes);
		m_history.push_back({m_engine.revision(), m_version, m_engine.range("", true)});
	}

	std::uint64_t draw(std::uint64_t _below)
	{
		return std::uniform_int_distribution<std::uint64_t>(0, _below - 1)(m_random);
	}

	/// A watch from the replica's position, of which only some batches arrive before it is cut.
	void watch(node& _node)
	{
		const std::int64_t known = std::min(_node.replica.revision(), _node.replica.routes_confirmed_to());
		for (const watch_batch& batch : m_engine.changes("", known + 1))
		{
			if (0 == draw(4))
			{
				return;
			}
			_node.replica.apply(batch);
			_node.replica.on_routes_confirmed(batch.store_revision);
		}
	}

	void read_all(node& _node, const snapshot& _from)
	{
		_node.replica.replace(_from.values, _from.revision);
		_node.replica.on_routes_confirmed(_from.revision);
	}

	void copy_pages(node& _node, const node& _from)
	{
		_node.replica.begin_copy();
		while (_node.replica.copy_position() && 0 != draw(4))
		{
			_node.replica.apply_page(_from.replica.page_after(*_node.replica.copy_position(), 20));
		}
	}

	void step()
	{
		node& one = *m_nodes[draw(k_nodes)];
		const node& other = *m_nodes[draw(k_nodes)];
		switch (draw(9))
		{
		case 0:
			write(0 != draw(3), true);
			write(true, 0 == draw(2));
			break;
		case 1:
			write(false, true);
			break;
		case 2:
			watch(one);
			break;
		case 3:
			read_all(one, m_history[draw(m_history.size())]);
			break;
		case 4:
			one.replica.apply(other.replica.changes_after(
			    one.replica.revision(), std::numeric_limits<std::int64_t>::max()));
			break;
		case 5:
			one.replica.apply(
			    other.replica.changes_after(one.replica.revision(), one.replica.routes_revision()));
			break;
		case 6:
			if (other.replica.revision() > 0)
			{
				copy_pages(one, other);
			}
			break;
		case 7:
			one.replica.apply(m_engine.range("routes", false).front());
			one.replica.on_routes_confirmed(m_engine.revision());
			break;
		default:
			if (0 == draw(4))
			{
				m_nodes[draw(k_nodes)] = std::make_unique<node>(*this);
			}
			break;
		}
	}

	/// @returns Version of the newest configuration up to a revision.
	std::uint64_t version_at(std::int64_t _revision) const
	{
		std::uint64_t version = 0;
		for (const snapshot& one : m_history)
		{
			version = one.revision <= _revision ? one.version : version;
		}
		return version;
	}

	/// Guards against a configuration that goes back, and against a revision that claims more than is held.
	void configuration_in_random_orders_never_goes_back_nor_is_older_than_claimed()
	{
		for (int seed = 1; seed <= k_seeds; ++seed)
		{
			m_random.seed(static_cast<unsigned>(seed));
			m_engine = store_engine();
			m_history.clear();
			m_version = 0;
			write(true, true);
			m_nodes.clear();
			for (std::size_t i = 0; i < k_nodes; ++i)
			{
				m_nodes.push_back(std::make_unique<node>(*this));
			}
			for (int i = 0; i < k_steps; ++i)
			{
				step();
				for (const std::unique_ptr<node>& one : m_nodes)
				{
					const std::string which = "seed " + std::to_string(seed);
					CPPUNIT_ASSERT_MESSAGE(which, !one->went_back);
					CPPUNIT_ASSERT_MESSAGE(
					    which, one->version >= version_at(one->replica.routes_confirmed_to()));
				}
			}
		}
	}

	clock_virtual m_clock;
	plain_codec m_codec;
	entry_log m_log{"test", -1};
	std::mt19937 m_random;
	store_engine m_engine;
	std::uint64_t m_version = 0;
	std::vector<snapshot> m_history;
	std::vector<std::unique_ptr<node>> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_order_model_test);
} // namespace larkrack
