// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the keys and values that larkrackd keeps in the platform's store, as written and as read.

#include "daemon_forms.h"

#include "larkrackd/ownership_p.h"
#include "larkrackd/platform_sync_p.h"
#include "larkrackd/shift_p.h"
#include "testing/store_engine_p.h"
#include "testing/store_memory_p.h"

namespace larkrack
{
namespace
{
const char* const k_owners =
    R"({"backends":{"shop-east":{"full_until_us":1700000009000000,"life":1700000000000001,"vm":"east-1"},"shop-spare":{"full_until_us":0,"life":0,"vm":""}},"seq":7})";
const char* const k_step =
    R"({"at_us":1700000009000000,"by":"east-1","goal":{"east":0.25,"west":0.75},"number":3,"seq":9,"shares":{"east":0.4,"west":0.6},"state":"waiting","waits_for":"headroom"})";
} // namespace

class daemon_records_forms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(daemon_records_forms_test);
	CPPUNIT_TEST(owners_written_have_their_text);
	CPPUNIT_TEST(owners_text_read_fills_every_field);
	CPPUNIT_TEST(step_written_has_its_text);
	CPPUNIT_TEST(step_text_read_fills_every_field);
	CPPUNIT_TEST(texts_invalid_read_are_empty_records);
	CPPUNIT_TEST(resources_written_stand_under_their_keys);
	CPPUNIT_TEST(resource_deleted_leaves_only_the_head);
	CPPUNIT_TEST(resources_restored_stand_under_their_keys);
	CPPUNIT_TEST(resources_in_the_store_are_read);
	CPPUNIT_TEST(record_written_stands_under_its_key);
	CPPUNIT_TEST(record_in_the_store_is_read);
	CPPUNIT_TEST(driver_lease_stands_under_its_key);
	CPPUNIT_TEST(digest_of_records_is_the_same_at_every_node);
	CPPUNIT_TEST_SUITE_END();

	/// The store client and platform_sync of a node, without the rest of the node.
	struct platform_client
	{
		platform_client(
		    asio::io_context& _context, store_engine& _engine, const clock_base& _clock, bool _reader)
		{
			services.add(std::make_unique<store_memory>(_engine, _clock));
			auto own = std::make_unique<platform_sync>(_context, "east-1", endpoint{"127.0.0.1", 1});
			sync = own.get();
			sync->set_reader(_reader);
			services.add(std::move(own));
			services.init();
		}
		~platform_client()
		{
			services.shutdown();
		}
		kernel services;
		platform_sync* sync = nullptr;
	};

	/// @returns One line "key value" for each key of the store; the random part of a writer's name is masked.
	std::string stored() const
	{
		std::string lines;
		for (const store_value& one : m_engine.range("", true))
		{
			lines += one.key + " " + one.value + "\n";
		}
		return masked(lines, "east-1-[0-9]+", "east-1-RANDOM");
	}

	static std::vector<config_change> two_resources()
	{
		return {{"region", "east", nlohmann::json({{"max_share", 0.9}, {"drain", false}}), std::nullopt},
		    {"domain", "east-a", nlohmann::json({{"region", "east"}}), std::nullopt}};
	}

	asio::io_context m_context{1};
	clock_virtual m_clock;
	store_engine m_engine;

public:
	void owners_written_have_their_text()
	{
		owner_record record;
		record.sequence = 7;
		record.backends["shop-east"] = {"east-1", {1700000000000001}, from_us(1700000009000000)};
		record.backends["shop-spare"] = {"", {}, from_us(0)};
		assert_same_text(k_owners, to_text(record));
	}

	void owners_text_read_fills_every_field()
	{
		const owner_record record = owners_from_text(k_owners);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, record.sequence);
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, record.backends.size());
		const owner_entry& entry = record.backends.at("shop-east");
		CPPUNIT_ASSERT_EQUAL(std::string("east-1"), entry.vm);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000001}, entry.life.value);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000009000000}, to_us(entry.full_until));
		CPPUNIT_ASSERT(record.backends.at("shop-spare").vm.empty());
	}

	void step_written_has_its_text()
	{
		step_record record;
		record.sequence = 9;
		record.shares = {{"east", 0.4}, {"west", 0.6}};
		record.goal = {{"east", 0.25}, {"west", 0.75}};
		record.state = "waiting";
		record.waits_for = "headroom";
		record.at = from_us(1700000009000000);
		record.number = 3;
		record.by = "east-1";
		assert_same_text(k_step, to_text(record));
	}

	void step_text_read_fills_every_field()
	{
		const step_record record = step_from_text(k_step);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, record.sequence);
		CPPUNIT_ASSERT_EQUAL(0.4, record.shares.at("east"));
		CPPUNIT_ASSERT_EQUAL(0.75, record.goal.at("west"));
		CPPUNIT_ASSERT_EQUAL(std::string("waiting"), record.state);
		CPPUNIT_ASSERT_EQUAL(std::string("headroom"), record.waits_for);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000009000000}, to_us(record.at));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, record.number);
		CPPUNIT_ASSERT_EQUAL(std::string("east-1"), record.by);
	}

	void texts_invalid_read_are_empty_records()
	{
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, owners_from_text("no JSON").sequence);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, step_from_text("").sequence);
		CPPUNIT_ASSERT_EQUAL(std::string("done"), step_from_text("{}").state);
	}

	void resources_written_stand_under_their_keys()
	{
		platform_client client(m_context, m_engine, m_clock, false);
		run_coroutine(m_context,
		    [&](const yield_context& _yield)
		    {
			    client.sync->write(two_resources(), false, _yield);
		    });
		assert_same_text(R"(
/larkrack/config/head {"base":0,"by":"east-1-RANDOM","revision":1}
/larkrack/config/r/domain/east-a {"by":"east-1-RANDOM","rev":1,"spec":"{\"region\":\"east\"}"}
/larkrack/config/r/region/east {"by":"east-1-RANDOM","rev":1,"spec":"{\"drain\":false,\"max_share\":0.9}"}
)",
		    stored());
	}

	void resource_deleted_leaves_only_the_head()
	{
		platform_client client(m_context, m_engine, m_clock, false);
		run_coroutine(m_context,
		    [&](const yield_context& _yield)
		    {
			    client.sync->write({two_resources().front()}, false, _yield);
			    client.sync->write({{"region", "east", std::nullopt, std::nullopt}}, false, _yield);
		    });
		assert_same_text(R"(
/larkrack/config/head {"base":1,"by":"east-1-RANDOM","revision":2}
)",
		    stored());
	}

	void resources_restored_stand_under_their_keys()
	{
		platform_client client(m_context, m_engine, m_clock, false);
		run_coroutine(m_context,
		    [&](const yield_context& _yield)
		    {
			    client.sync->write(two_resources(), false, _yield);
			    m_engine = store_engine();
			    m_engine.txn({}, {{"/larkrack/config/r/region/lost", "{}", 0}});
			    // A dry run finds an older store and restores it, but doesn't write its own changes.
			    client.sync->write(two_resources(), true, _yield);
		    });
		assert_same_text(R"(
/larkrack/config/head {"base":0,"by":"east-1","revision":1}
/larkrack/config/r/domain/east-a {"by":"east-1-RANDOM","rev":1,"spec":"{\"region\":\"east\"}"}
/larkrack/config/r/region/east {"by":"east-1-RANDOM","rev":1,"spec":"{\"drain\":false,\"max_share\":0.9}"}
)",
		    stored());
	}

	void resources_in_the_store_are_read()
	{
		m_engine.txn({}, {{"/larkrack/config/head", R"({"base":4,"by":"west-1-1","revision":5})", 0},
		                     {"/larkrack/config/r/region/east",
		                         R"({"by":"west-1-1","rev":5,"spec":"{\"max_share\":0.9}"})", 0}});
		platform_client client(m_context, m_engine, m_clock, true);
		run_until(m_context,
		    [&]
		    {
			    return 0 < client.sync->configuration().state().rev.value;
		    });
		const config_state& state = client.sync->configuration().state();
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.rev.value);
		const resource_value& value = state.resources.at("region/east");
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"max_share":0.9})"), value.spec);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, value.rev.value);
		CPPUNIT_ASSERT_EQUAL(std::string("west-1-1"), value.by);
	}

	void record_written_stands_under_its_key()
	{
		platform_client client(m_context, m_engine, m_clock, false);
		run_coroutine(m_context,
		    [&](const yield_context& _yield)
		    {
			    client.sync->update_record(
			        "write_step", "step/shop",
			        [](const std::string&) -> std::optional<std::string>
			        {
				        return R"({"seq":1})";
			        },
			        _yield);
		    });
		assert_same_text(R"(
/larkrack/record/step/shop {"seq":1}
)",
		    stored());
	}

	void record_in_the_store_is_read()
	{
		m_engine.txn({}, {{"/larkrack/record/owner/east-a/shop", R"({"seq":3,"backends":{}})", 0}});
		platform_client client(m_context, m_engine, m_clock, true);
		run_until(m_context,
		    [&]
		    {
			    return !client.sync->records().sequences().empty();
		    });
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, client.sync->records().sequences().at("owner/east-a/shop"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string(R"({"seq":3,"backends":{}})"), client.sync->records().value_of("owner/east-a/shop"));
	}

	void driver_lease_stands_under_its_key()
	{
		platform_client client(m_context, m_engine, m_clock, false);
		run_coroutine(m_context,
		    [&](const yield_context& _yield)
		    {
			    CPPUNIT_ASSERT(client.sync->hold_driver_lease(_yield));
		    });
		assert_same_text(R"(
/larkrack/lease/driver east-1
)",
		    stored());
		// The lease lasts five seconds: the key exists until then and is removed afterwards.
		m_clock.advance(std::chrono::milliseconds(4999));
		m_engine.tick(m_clock.steady());
		CPPUNIT_ASSERT(!stored().empty());
		m_clock.advance(std::chrono::milliseconds(2));
		m_engine.tick(m_clock.steady());
		CPPUNIT_ASSERT(stored().empty());
	}

	void digest_of_records_is_the_same_at_every_node()
	{
		record_replica book;
		book.take({"owner/east-a/shop", "{}", 3});
		book.take({"step/shop", "{}", 9});
		assert_same_text(R"(14237122033121758801)", std::to_string(book.digest()));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_records_forms_test);
} // namespace larkrack
