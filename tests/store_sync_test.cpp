// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of store_sync: how a node that had its keys from other nodes goes on by itself, on a store in the
/// same process.

#include "fixtures.h"
#include "plain_codec.h"

#include "entry_node/store_sync_p.h"
#include "testing/store_memory_p.h"

namespace larkrack
{
/// Other nodes as the test sets them.
class scripted_coordination : public fleet_coordination_base
{
public:
	reader_decision reader() const override
	{
		return {reads, reader_reason::ranks_first, 0, 1};
	}
	copy_step next_copy_step() override
	{
		return copy_step::from_store;
	}
	bool should_register() const override
	{
		return false;
	}
	std::optional<steady_time> peers_store_response_at() const override
	{
		return std::nullopt;
	}
	void on_initial_read() override
	{
	}
	void on_store_changes(const store_changes&) override
	{
	}

	bool reads = false;
};

class store_sync_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_sync_test);
	CPPUNIT_TEST(new_reader_told_of_changes_without_the_configuration_has_it_in_time);
	CPPUNIT_TEST(reader_whose_watch_begins_anew_after_such_changes_has_the_configuration_in_time);
	CPPUNIT_TEST(reader_that_knows_its_configuration_makes_no_further_read);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_context = std::make_unique<asio::io_context>(1);
		m_engine = store_engine();
		m_versions.clear();
		m_others = scripted_coordination();
		m_store = std::make_unique<store_memory>(m_engine, m_clock);
		m_registry = std::make_unique<backend_registry>(
		    std::unordered_map<std::string, std::string>{{"east-a", "east"}});
		m_replica = std::make_unique<state_replica>(
		    m_clock, m_codec, *m_registry, m_log,
		    [this](const std::shared_ptr<const routing_table>& _routes)
		    {
			    m_versions.push_back(_routes->version());
		    },
		    [](const std::string&)
		    {
		    });
		m_sync = std::make_unique<store_sync>(*m_context, m_clock, *m_store, *m_replica, m_codec, m_others,
		    m_log, change_bounds(), "n1", "10.0.0.1");
	}
	void tearDown() override
	{
		m_sync->end();
		m_store->down = true; // Ends the watch.
		m_context->run_for(std::chrono::milliseconds(1200));
		m_sync.reset();
		m_context.reset();
	}

protected:
	void write(const std::string& _key, const std::string& _value)
	{
		m_engine.txn({}, {{_key, _value, 0}});
	}

	void run(std::chrono::milliseconds _time)
	{
		m_context->run_for(_time);
	}

	/// Changes that another node sends: the configuration does not fit its datagrams.
	store_changes changes_without_routes(std::int64_t _after) const
	{
		store_changes changes;
		changes.after = _after;
		changes.batch.store_revision = m_engine.revision();
		for (const watch_batch& batch : m_engine.changes("", _after + 1))
		{
			for (const store_value& value : batch.puts)
			{
				if (value.key != m_codec.routes_key())
				{
					changes.batch.puts.push_back(value);
				}
			}
		}
		return changes;
	}

	/// Guards against a configuration that no node tells of any more: the nodes that had it are out of reach
	/// right after they have told of the other changes of its revision.
	void new_reader_told_of_changes_without_the_configuration_has_it_in_time()
	{
		write("routes", "1");
		m_sync->begin();
		run(std::chrono::milliseconds(100));
		CPPUNIT_ASSERT(std::vector<std::uint64_t>{1} == m_versions);
		const std::int64_t before = m_replica->revision();
		write("routes", "2");
		write("backend/b1", "ready");
		CPPUNIT_ASSERT(m_replica->apply(changes_without_routes(before)));
		CPPUNIT_ASSERT_EQUAL(m_engine.revision(), m_replica->revision());
		m_others.reads = true;
		run(std::chrono::milliseconds(1500));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_versions.back());
	}

	/// Guards against the same when the watch of a reader was cut and begins again.
	void reader_whose_watch_begins_anew_after_such_changes_has_the_configuration_in_time()
	{
		write("routes", "1");
		m_others.reads = true;
		m_sync->begin();
		run(std::chrono::milliseconds(1200));
		const std::int64_t before = m_replica->revision();
		m_store->down = true;
		run(std::chrono::milliseconds(50));
		write("routes", "2");
		write("backend/b1", "ready");
		m_replica->apply(changes_without_routes(before));
		m_store->down = false;
		run(std::chrono::milliseconds(1500));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_versions.back());
	}

	/// Guards the calls to the store in calm: one read at the start and one watch.
	void reader_that_knows_its_configuration_makes_no_further_read()
	{
		write("routes", "1");
		m_others.reads = true;
		m_sync->begin();
		run(std::chrono::milliseconds(1200));
		write("routes", "2");
		run(std::chrono::milliseconds(500));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_versions.back());
		std::uint64_t calls = 0;
		for (const auto& [use, count] : m_store->calls())
		{
			calls += count;
		}
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, calls);
	}

	clock_system m_clock;
	plain_codec m_codec;
	entry_log m_log{"test", -1};
	std::unique_ptr<asio::io_context> m_context;
	store_engine m_engine;
	std::vector<std::uint64_t> m_versions; ///< Of the configurations taken, in order.
	scripted_coordination m_others;
	std::unique_ptr<store_memory> m_store;
	std::unique_ptr<backend_registry> m_registry;
	std::unique_ptr<state_replica> m_replica;
	std::unique_ptr<store_sync> m_sync;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_sync_test);
} // namespace larkrack
