// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of larkrack-edge's calls to the platform's store, and how their responses are read.

#include "entry_fixture.h"

#include "store_kv_p.h"

namespace larkrack
{
class store_kv_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_kv_form_test);
	CPPUNIT_TEST(range_of_one_key_has_the_known_bytes_and_is_read);
	CPPUNIT_TEST(range_of_a_missing_key_is_empty);
	CPPUNIT_TEST(range_of_a_prefix_reads_page_by_page);
	CPPUNIT_TEST(stale_range_reads_a_replica_and_has_the_lowest_revision_of_its_pages);
	CPPUNIT_TEST(txn_has_the_known_bytes_and_is_read);
	CPPUNIT_TEST(txn_refused_returns_the_current_keys);
	CPPUNIT_TEST(lease_calls_have_the_known_bytes_and_are_read);
	CPPUNIT_TEST(lease_lapsed_keep_alive_has_no_time_left);
	CPPUNIT_TEST(watch_has_the_known_bytes_and_is_read);
	CPPUNIT_TEST(watch_behind_the_history_is_lost);
	CPPUNIT_TEST(call_other_status_is_not_done);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_context = std::make_unique<asio::io_context>(1);
		m_server = std::make_unique<scripted_backend>(*m_context);
		m_store = std::make_unique<store_kv>(*m_context, endpoint{"127.0.0.1", m_server->address().port()});
	}

	void tearDown() override
	{
		m_context->stop();
		m_store.reset();
		m_server.reset();
		m_context.reset();
	}

protected:
	static scripted_backend::step answer(int _status, const std::string& _body)
	{
		return {"HTTP/1.1 " + std::to_string(_status) +
		        " X\r\nContent-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body};
	}

	template <typename Call>
	void run(Call _call)
	{
		bool done = false;
		start(*m_context,
		    [&](const yield_context& _yield)
		    {
			    _call(_yield);
			    done = true;
		    });
		run_until(*m_context,
		    [&]
		    {
			    return done;
		    });
	}

	/// @returns A received request without its Host header, whose port differs from run to run.
	std::string sent(std::size_t _number) const
	{
		std::string text = m_server->requests.at(_number);
		const std::string host = "Host: 127.0.0.1:" + std::to_string(m_server->address().port()) + "\r\n";
		const std::size_t at = text.find(host);
		CPPUNIT_ASSERT(std::string::npos != at);
		return text.erase(at, host.size());
	}

	void range_of_one_key_has_the_known_bytes_and_is_read()
	{
		m_server->script = {
		    answer(200, R"({"Key":"op/config","Value":"eyJhIjoxfQ==","Revision":7,"lease":5,"at":9})")};
		range_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->range("u", "op/co nfig&", false, _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("GET /kv-key?Key=op/co%20nfig%26 HTTP/1.1\r\n\r\n"), sent(0));
		CPPUNIT_ASSERT(call_status::done == reply.status);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, reply.store_revision);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), reply.values.size());
		CPPUNIT_ASSERT_EQUAL(std::string("op/config"), reply.values[0].key);
		CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), reply.values[0].value);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, reply.values[0].mod_revision);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reply.values[0].lease);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_store->calls().at("u"));
	}

	void range_of_a_missing_key_is_empty()
	{
		m_server->script = {answer(404, R"({"at":9})")};
		range_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->range("u", "op/config", false, _yield);
		    });
		CPPUNIT_ASSERT(call_status::done == reply.status);
		CPPUNIT_ASSERT(reply.values.empty());
		CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, reply.store_revision);
	}

	void stale_range_reads_a_replica_and_has_the_lowest_revision_of_its_pages()
	{
		m_server->script = {
		    answer(200, R"({"items":[{"Key":"a/1","Value":"eA==","Revision":3}],"more":true,"at":8})"),
		    answer(200, R"({"items":[{"Key":"a/2","Value":"eQ==","Revision":4}],"more":false,"at":6})")};
		range_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->range_stale("u", "a/", true, _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("GET /kv-range?PathPrefix=a/&stale=1 HTTP/1.1\r\n\r\n"), sent(0));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("GET /kv-range?PathPrefix=a/&stale=1&after=a/1 HTTP/1.1\r\n\r\n"), sent(1));
		CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, reply.store_revision);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), reply.values.size());
	}

	void range_of_a_prefix_reads_page_by_page()
	{
		m_server->script = {
		    answer(200, R"({"items":[{"Key":"a/1","Value":"eA==","Revision":3}],"more":true,"at":8})"),
		    answer(200, R"({"items":[{"Key":"a/2","Value":"eQ==","Revision":4}],"more":false,"at":10})")};
		range_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->range("u", "a/", true, _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("GET /kv-range?PathPrefix=a/ HTTP/1.1\r\n\r\n"), sent(0));
		CPPUNIT_ASSERT_EQUAL(std::string("GET /kv-range?PathPrefix=a/&after=a/1 HTTP/1.1\r\n\r\n"), sent(1));
		CPPUNIT_ASSERT(call_status::done == reply.status);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, reply.store_revision);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), reply.values.size());
		CPPUNIT_ASSERT_EQUAL(std::string("y"), reply.values[1].value);
	}

	void txn_has_the_known_bytes_and_is_read()
	{
		m_server->script = {answer(200, R"({"Revision":12})")};
		txn_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->txn(
			        "u", {{"a", 3}}, {{"b", "x", 77}, {"c", "y", 0}, {"d", std::nullopt, 0}}, _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(
		    std::string(
		        "POST /kv-txn HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: 130\r\n\r\n"
		        R"({"ExpectedRev":[{"Key":"a","Revision":3}],"Remove":["d"],"put":[{"Key":"b",)"
		        R"("Value":"eA==","lease":77},{"Key":"c","Value":"eQ=="}]})"),
		    sent(0));
		CPPUNIT_ASSERT(call_status::done == reply.status && reply.succeeded);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, reply.store_revision);
	}

	void txn_refused_returns_the_current_keys()
	{
		m_server->script = {
		    answer(412, R"({"Revision":12,"items":[{"Key":"a","Value":"eA==","Revision":4}]})")};
		txn_reply reply;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->txn("u", {{"a", 3}}, {}, _yield);
		    });
		CPPUNIT_ASSERT(call_status::done == reply.status && !reply.succeeded);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), reply.current.size());
		CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, reply.current[0].mod_revision);
	}

	void lease_calls_have_the_known_bytes_and_are_read()
	{
		m_server->script = {
		    answer(200, R"({"lease":77})"), answer(200, R"({"ttl_ms":2500})"), answer(200, "{}")};
		lease_reply granted;
		lease_reply kept;
		lease_reply revoked;
		run(
		    [&](const yield_context& _yield)
		    {
			    granted = m_store->lease_grant("u", std::chrono::seconds(30), _yield);
			    kept = m_store->lease_keep_alive("u", 77, _yield);
			    revoked = m_store->lease_revoke("u", 77, _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(
		    std::string(
		        "POST /kv-lease HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n"
		        R"({"ttl_ms":30000})"),
		    sent(0));
		CPPUNIT_ASSERT_EQUAL(std::string("POST /kv-keep/77 HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), sent(1));
		CPPUNIT_ASSERT_EQUAL(std::string("DELETE /kv-lease-end/77 HTTP/1.1\r\n\r\n"), sent(2));
		CPPUNIT_ASSERT(call_status::done == granted.status);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{77}, granted.id);
		CPPUNIT_ASSERT_EQUAL(std::chrono::seconds::rep{30}, granted.ttl.count());
		CPPUNIT_ASSERT(call_status::done == kept.status);
		CPPUNIT_ASSERT_EQUAL(std::chrono::seconds::rep{3}, kept.ttl.count());
		CPPUNIT_ASSERT(call_status::done == revoked.status);
	}

	void lease_lapsed_keep_alive_has_no_time_left()
	{
		m_server->script = {answer(404, "{}")};
		lease_reply kept;
		run(
		    [&](const yield_context& _yield)
		    {
			    kept = m_store->lease_keep_alive("u", 77, _yield);
		    });
		CPPUNIT_ASSERT(call_status::done == kept.status);
		CPPUNIT_ASSERT_EQUAL(std::chrono::seconds::rep{0}, kept.ttl.count());
	}

	void watch_has_the_known_bytes_and_is_read()
	{
		m_server->script = {answer(200, R"({"events":[{"Key":"a","Value":"eA==","Revision":8},
			{"Key":"b","gone":true,"Revision":9}],"at":9})"),
		    answer(200, R"({"events":[],"at":11})")};
		std::vector<watch_batch> batches;
		watch_end end = watch_end::broken;
		run(
		    [&](const yield_context& _yield)
		    {
			    end = m_store->watch(
			        "u", "a/b c", 6,
			        [&](const watch_batch& _batch)
			        {
				        batches.push_back(_batch);
				        return batches.size() < 2;
			        },
			        _yield);
		    });
		CPPUNIT_ASSERT_EQUAL(
		    std::string("GET /kv-watch?PathPrefix=a/b%20c&after=5&WaitMs=2500 HTTP/1.1\r\n\r\n"), sent(0));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("GET /kv-watch?PathPrefix=a/b%20c&after=9&WaitMs=2500 HTTP/1.1\r\n\r\n"), sent(1));
		CPPUNIT_ASSERT(watch_end::stopped == end);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), batches.size());
		CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, batches[0].store_revision);
		CPPUNIT_ASSERT_EQUAL(std::string("x"), batches[0].puts.at(0).value);
		CPPUNIT_ASSERT_EQUAL(std::string("b"), batches[0].deletes.at(0).key);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, batches[0].deletes.at(0).mod_revision);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{11}, batches[1].store_revision);
	}

	void watch_behind_the_history_is_lost()
	{
		m_server->script = {answer(410, "{}"), answer(500, "{}")};
		std::vector<watch_end> ends;
		const auto never = [](const watch_batch&)
		{
			return true;
		};
		run(
		    [&](const yield_context& _yield)
		    {
			    ends.push_back(m_store->watch("u", "", 1, never, _yield));
			    ends.push_back(m_store->watch("u", "", 1, never, _yield));
		    });
		CPPUNIT_ASSERT(watch_end::history_lost == ends.at(0));
		CPPUNIT_ASSERT(watch_end::broken == ends.at(1));
	}

	void call_other_status_is_not_done()
	{
		m_server->script = {answer(503, "{}"), answer(429, "{}")};
		range_reply reply;
		lease_reply granted;
		run(
		    [&](const yield_context& _yield)
		    {
			    reply = m_store->range("u", "a", false, _yield);
			    granted = m_store->lease_grant("u", std::chrono::seconds(30), _yield);
		    });
		CPPUNIT_ASSERT(call_status::not_done == reply.status);
		CPPUNIT_ASSERT(call_status::not_done == granted.status);
	}

	std::unique_ptr<asio::io_context> m_context;
	std::unique_ptr<scripted_backend> m_server;
	std::unique_ptr<store_kv> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_kv_form_test);
} // namespace larkrack
