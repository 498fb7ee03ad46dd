// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Key-value store: the in-memory engine, the HTTP client against the fake platform, and platform_sync,
/// through which nodes agree on configuration, ownership records and leases.

#include "fixtures.h"

#include "larkrackd/platform_sync_p.h"
#include "testing/fake_platform_p.h"
#include "testing/store_memory_p.h"

namespace larkrack
{
class store_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_test);
	CPPUNIT_TEST(write_when_condition_holds_takes_effect);
	CPPUNIT_TEST(write_when_condition_fails_gives_current_values);
	CPPUNIT_TEST(lease_when_not_kept_alive_removes_its_keys);
	CPPUNIT_TEST(call_over_http_when_platform_answers_is_done);
	CPPUNIT_TEST(call_over_http_when_outage_is_not_done);
	CPPUNIT_TEST(write_over_http_when_answer_lost_is_unsure);
	CPPUNIT_TEST(watch_over_http_when_key_changes_delivers_change);
	CPPUNIT_TEST(operators_when_racing_one_gets_conflict);
	CPPUNIT_TEST(operator_when_answer_lost_gets_actual_result);
	CPPUNIT_TEST(operator_when_platform_down_changes_nothing);
	CPPUNIT_TEST(operator_when_policy_invalid_changes_nothing);
	CPPUNIT_TEST(platform_when_older_is_restored_and_node_does_not_revert);
	CPPUNIT_TEST(record_when_two_write_only_one_wins);
	CPPUNIT_TEST(driver_lease_when_holder_is_away_is_taken_over);
	CPPUNIT_TEST_SUITE_END();

	/// Store client and platform_sync of a node, without the rest of the node.
	struct sync_node
	{
		sync_node(asio::io_context& _context, store_engine& _engine, const clock_base& _clock,
		    const std::string& _name)
		{
			auto memory = std::make_unique<store_memory>(_engine, _clock);
			store = memory.get();
			services.add(std::move(memory));
			auto own = std::make_unique<platform_sync>(_context, _name, endpoint{"127.0.0.1", 1});
			sync = own.get();
			sync->set_reader(false);
			services.add(std::move(own));
			services.init();
		}
		~sync_node()
		{
			services.shutdown();
		}
		kernel services;
		store_memory* store = nullptr;
		platform_sync* sync = nullptr;
	};

	template <typename Function>
	void run(Function _function)
	{
		bool ended = false;
		std::exception_ptr failure;
		start(m_context,
		    [&](const yield_context& _yield)
		    {
			    try
			    {
				    _function(_yield);
			    }
			    catch (const CppUnit::Exception&)
			    {
				    failure = std::current_exception();
			    }
			    ended = true;
		    });
		run_until(m_context,
		    [&]
		    {
			    return ended;
		    });
		if (failure)
		{
			std::rethrow_exception(failure);
		}
	}

	static std::vector<config_change> all_of(const config_state& _state)
	{
		std::vector<config_change> changes;
		for (const auto& [key, value] : _state.resources)
		{
			const std::size_t slash = key.find('/');
			changes.push_back({key.substr(0, slash), key.substr(slash + 1), nlohmann::json::parse(value.spec),
			    std::nullopt});
		}
		return changes;
	}

	static config_change region_change(
	    const std::string& _name, double _share, std::optional<revision> _expected)
	{
		return {"region", _name, nlohmann::json({{"max_share", _share}}), _expected};
	}

	asio::io_context m_context{1};
	clock_virtual m_clock;
	store_engine m_engine;

public:
	void write_when_condition_holds_takes_effect()
	{
		CPPUNIT_ASSERT(m_engine.txn({{"a", 0}}, {{"a", "1", 0}}).succeeded);
		CPPUNIT_ASSERT_EQUAL(std::string("1"), m_engine.range("a", false).front().value);
	}

	void write_when_condition_fails_gives_current_values()
	{
		m_engine.txn({}, {{"a", "1", 0}});
		const txn_reply reply = m_engine.txn({{"a", 0}}, {{"a", "2", 0}});
		CPPUNIT_ASSERT(!reply.succeeded);
		CPPUNIT_ASSERT_EQUAL(std::string("1"), reply.current.front().value);
	}

	void lease_when_not_kept_alive_removes_its_keys()
	{
		const std::int64_t id = m_engine.lease_grant(std::chrono::seconds(5), m_clock.steady());
		m_engine.txn({}, {{"a", "1", id}});
		m_clock.advance(std::chrono::seconds(4));
		m_engine.lease_keep_alive(id, m_clock.steady());
		m_clock.advance(std::chrono::seconds(4));
		m_engine.tick(m_clock.steady());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_engine.range("a", false).size());
		m_clock.advance(std::chrono::seconds(2));
		m_engine.tick(m_clock.steady());
		CPPUNIT_ASSERT(m_engine.range("a", false).empty());
	}

	void call_over_http_when_platform_answers_is_done()
	{
		fake_platform platform(m_context);
		platform.init({"127.0.0.1", 0});
		store_http store(m_context, {"127.0.0.1", platform.port()});
		run(
		    [&](const yield_context& _yield)
		    {
			    const txn_reply written =
			        store.txn("t", {{"/x/a", 0}}, {{"/x/a", "one", 0}, {"/x/b", "two", 0}}, _yield);
			    CPPUNIT_ASSERT(call_status::done == written.status && written.succeeded);
			    const range_reply read = store.range("t", "/x/", true, _yield);
			    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.values.size());
			    const txn_reply again = store.txn("t", {{"/x/a", 0}}, {{"/x/a", "three", 0}}, _yield);
			    CPPUNIT_ASSERT(!again.succeeded);
			    CPPUNIT_ASSERT_EQUAL(std::string("one"), again.current.front().value);
			    const lease_reply lease = store.lease_grant("t", std::chrono::seconds(9), _yield);
			    CPPUNIT_ASSERT_EQUAL(
			        std::int64_t{9}, store.lease_keep_alive("t", lease.id, _yield).ttl.count());
		    });
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, store.calls().at("t"));
	}

	void call_over_http_when_outage_is_not_done()
	{
		fake_platform platform(m_context);
		platform.init({"127.0.0.1", 0});
		platform.set_faults({{"outage", true}});
		store_http store(m_context, {"127.0.0.1", platform.port()});
		run(
		    [&](const yield_context& _yield)
		    {
			    CPPUNIT_ASSERT(call_status::not_done == store.range("t", "/x", false, _yield).status);
			    CPPUNIT_ASSERT(call_status::unsure == store.txn("t", {}, {{"/x", "1", 0}}, _yield).status);
		    });
	}

	void write_over_http_when_answer_lost_is_unsure()
	{
		fake_platform platform(m_context);
		platform.init({"127.0.0.1", 0});
		platform.set_faults({{"lose_answers", 1}});
		store_http store(m_context, {"127.0.0.1", platform.port()});
		run(
		    [&](const yield_context& _yield)
		    {
			    CPPUNIT_ASSERT(call_status::unsure == store.txn("t", {}, {{"/x", "1", 0}}, _yield).status);
			    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.range("t", "/x", false, _yield).values.size());
		    });
	}

	void watch_over_http_when_key_changes_delivers_change()
	{
		fake_platform platform(m_context);
		platform.init({"127.0.0.1", 0});
		store_http store(m_context, {"127.0.0.1", platform.port()});
		platform.engine().txn({}, {{"/x/a", "1", 0}});
		std::vector<std::string> seen;
		run(
		    [&](const yield_context& _yield)
		    {
			    store.watch(
			        "t", "/x/", platform.engine().revision(),
			        [&](const watch_batch& _batch)
			        {
				        for (const store_value& value : _batch.puts)
				        {
					        seen.push_back(value.value);
				        }
				        if (1 == seen.size())
				        {
					        platform.engine().txn({}, {{"/x/b", "2", 0}, {"/y", "3", 0}});
				        }
				        return seen.size() < 2;
			        },
			        _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("1"), seen[0]);
		CPPUNIT_ASSERT_EQUAL(std::string("2"), seen[1]);
	}

	void operators_when_racing_one_gets_conflict()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		sync_node two(m_context, m_engine, m_clock, "two");
		run(
		    [&](const yield_context& _yield)
		    {
			    const write_result first = one.sync->write(all_of(small_configuration()), false, _yield);
			    CPPUNIT_ASSERT(write_status::accepted == first.status);
			    const write_result won =
			        one.sync->write({region_change("east", 0.9, first.rev)}, false, _yield);
			    const write_result lost =
			        two.sync->write({region_change("east", 0.8, first.rev)}, false, _yield);
			    CPPUNIT_ASSERT(write_status::accepted == won.status);
			    CPPUNIT_ASSERT(write_status::conflict == lost.status);
			    CPPUNIT_ASSERT(won.rev == lost.conflicting_rev);
			    CPPUNIT_ASSERT_EQUAL(std::string("region/east"), lost.conflicting);
		    });
	}

	void operator_when_answer_lost_gets_actual_result()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		run(
		    [&](const yield_context& _yield)
		    {
			    one.sync->write(all_of(small_configuration()), false, _yield);
			    one.store->lose_answers = 2;
			    const write_result written =
			        one.sync->write({region_change("east", 0.9, std::nullopt)}, false, _yield);
			    CPPUNIT_ASSERT(write_status::accepted == written.status);
			    CPPUNIT_ASSERT(revision{2} == written.rev);
		    });
	}

	void operator_when_platform_down_changes_nothing()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		run(
		    [&](const yield_context& _yield)
		    {
			    one.store->down = true;
			    const write_result written = one.sync->write(all_of(small_configuration()), false, _yield);
			    CPPUNIT_ASSERT(write_status::not_done == written.status);
			    CPPUNIT_ASSERT(nullptr == one.sync->configuration().current());
		    });
	}

	void operator_when_policy_invalid_changes_nothing()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		run(
		    [&](const yield_context& _yield)
		    {
			    one.sync->write(all_of(small_configuration()), false, _yield);
			    const std::int64_t before = m_engine.revision();
			    const write_result written =
			        one.sync->write({region_change("east", 9, std::nullopt)}, false, _yield);
			    CPPUNIT_ASSERT(write_status::invalid == written.status);
			    CPPUNIT_ASSERT_EQUAL(before, m_engine.revision());
		    });
	}

	void platform_when_older_is_restored_and_node_does_not_revert()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		run(
		    [&](const yield_context& _yield)
		    {
			    one.sync->write(all_of(small_configuration()), false, _yield);
			    const store_engine old = m_engine;
			    one.sync->write({region_change("east", 0.9, std::nullopt)}, false, _yield);
			    m_engine = old;
			    const write_result next =
			        one.sync->write({region_change("west", 0.7, std::nullopt)}, false, _yield);
			    CPPUNIT_ASSERT(write_status::accepted == next.status);
			    CPPUNIT_ASSERT(revision{3} == next.rev);
			    CPPUNIT_ASSERT(
			        std::string::npos !=
			        m_engine.range("/larkrack/config/r/region/east", false).front().value.find("0.9"));
		    });
	}

	void record_when_two_write_only_one_wins()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		sync_node two(m_context, m_engine, m_clock, "two");
		run(
		    [&](const yield_context& _yield)
		    {
			    bool nested = false;
			    call_status inner = call_status::not_done;
			    const call_status outer = one.sync->update_record(
			        "t", "owner/x",
			        [&](const std::string&) -> std::optional<std::string>
			        {
				        if (!nested)
				        {
					        nested = true;
					        inner = two.sync->update_record(
					            "t", "owner/x",
					            [](const std::string&) -> std::optional<std::string>
					            {
						            return R"({"seq":1,"by":"two"})";
					            },
					            _yield);
				        }
				        return R"({"seq":1,"by":"one"})";
			        },
			        _yield);
			    CPPUNIT_ASSERT(call_status::done == inner);
			    CPPUNIT_ASSERT(call_status::not_done == outer);
			    CPPUNIT_ASSERT(std::string::npos !=
			                   m_engine.range("/larkrack/record/owner/x", false).front().value.find("two"));
		    });
	}

	void driver_lease_when_holder_is_away_is_taken_over()
	{
		sync_node one(m_context, m_engine, m_clock, "one");
		sync_node two(m_context, m_engine, m_clock, "two");
		run(
		    [&](const yield_context& _yield)
		    {
			    CPPUNIT_ASSERT(one.sync->hold_driver_lease(_yield));
			    CPPUNIT_ASSERT(!two.sync->hold_driver_lease(_yield));
			    m_clock.advance(std::chrono::seconds(6));
			    m_engine.tick(m_clock.steady());
			    CPPUNIT_ASSERT(two.sync->hold_driver_lease(_yield));
			    // The former holder comes back and does not get the lease.
			    CPPUNIT_ASSERT(!one.sync->hold_driver_lease(_yield));
		    });
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_test);
} // namespace larkrack
