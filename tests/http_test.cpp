// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// HTTP server, query strings and trace headers: an invalid request gets a 4xx status and does not affect
/// other callers.

#include "fixtures.h"

#include "base/http_p.h"
#include "larkrackd/tracer_p.h"

namespace larkrack
{
class http_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(http_test);
	CPPUNIT_TEST(request_when_both_lengths_given_is_refused);
	CPPUNIT_TEST(request_when_host_given_twice_is_refused);
	CPPUNIT_TEST(request_when_host_missing_is_refused);
	CPPUNIT_TEST(request_when_head_too_large_is_refused);
	CPPUNIT_TEST(request_when_body_too_large_is_refused);
	CPPUNIT_TEST(request_when_not_http_is_refused);
	CPPUNIT_TEST(request_when_another_stalls_is_still_answered);
	CPPUNIT_TEST(response_of_a_large_configuration_is_read);
	CPPUNIT_TEST(response_beyond_the_limit_is_none);
	CPPUNIT_TEST(query_when_percent_encoded_is_decoded);
	CPPUNIT_TEST(traceparent_when_sampled_makes_child_span);
	CPPUNIT_TEST(traceparent_when_malformed_is_ignored);
	CPPUNIT_TEST(spans_when_queue_is_full_are_dropped_and_counted);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_server = std::make_unique<http_server>(m_context,
		    [this](http_session& _session, http_request&, const yield_context& _yield)
		    {
			    ++m_handled;
			    http_response response = make_json(http::status::ok, m_body);
			    _session.send(response, _yield);
		    });
		m_server->listen({"127.0.0.1", 0});
	}

private:
	/// Sends raw bytes and reads until the server closes the connection or has sent the headers of a
	/// response.
	std::string exchange(const std::string& _bytes)
	{
		std::string response;
		bool ended = false;
		start(m_context,
		    [&](const yield_context& _yield)
		    {
			    tcp::socket socket(m_context);
			    boost::system::error_code failure;
			    socket.async_connect(
			        tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_server->port()), _yield[failure]);
			    asio::async_write(socket, asio::buffer(_bytes), _yield[failure]);
			    asio::async_read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n", _yield[failure]);
			    ended = true;
		    });
		run_until(m_context,
		    [&]
		    {
			    return ended;
		    });
		return response;
	}

	void expect_refused(const std::string& _bytes, const std::string& _status)
	{
		const std::string response = exchange(_bytes);
		CPPUNIT_ASSERT_MESSAGE(response, 0 == response.rfind("HTTP/1.1 " + _status, 0));
		CPPUNIT_ASSERT(std::string::npos != response.find("Larkrack-Outcome: not_run"));
		CPPUNIT_ASSERT_EQUAL(0, m_handled);
	}

	asio::io_context m_context{1};
	std::unique_ptr<http_server> m_server;
	int m_handled = 0;
	std::string m_body = "{}"; ///< Of each response.

	/// @returns Bytes of the body that a call of this process gets; nothing: the call failed.
	std::optional<std::size_t> called()
	{
		http_caller caller(m_context.get_executor());
		std::optional<result<http_response>> got;
		start(m_context,
		    [&](const yield_context& _yield)
		    {
			    const endpoint server{"127.0.0.1", m_server->port()};
			    const http_request request = make_request(http::verb::get, "/", server);
			    got = caller.call(server, request, std::chrono::milliseconds(60000), _yield);
		    });
		run_until(m_context,
		    [&]
		    {
			    return got.has_value();
		    });
		const http_response* response = value_of(*got);
		return nullptr == response ? std::nullopt : std::optional<std::size_t>(response->body().size());
	}

public:
	void request_when_both_lengths_given_is_refused()
	{
		expect_refused(
		    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    "400");
		expect_refused(
		    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		    "400");
		expect_refused(
		    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400");
	}
	void request_when_host_given_twice_is_refused()
	{
		expect_refused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400");
	}
	void request_when_host_missing_is_refused()
	{
		expect_refused("GET / HTTP/1.1\r\n\r\n", "400");
	}
	void request_when_head_too_large_is_refused()
	{
		expect_refused("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", "431");
	}
	void request_when_body_too_large_is_refused()
	{
		expect_refused("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n", "413");
	}
	void request_when_not_http_is_refused()
	{
		expect_refused("hello there\r\n\r\n", "400");
	}
	void request_when_another_stalls_is_still_answered()
	{
		tcp::socket stalled(m_context);
		stalled.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_server->port()));
		asio::write(stalled, asio::buffer(std::string("GET / HTTP/1.1\r\nHo")));
		CPPUNIT_ASSERT_EQUAL(
		    std::size_t{0}, exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").rfind("HTTP/1.1 200", 0));
	}
	void response_of_a_large_configuration_is_read()
	{
		m_body.assign(std::size_t{32} << 20U, 'x');
		CPPUNIT_ASSERT(m_body.size() == called());
	}
	/// Guards against an answer that a faulty store or node sends until the memory is used up.
	void response_beyond_the_limit_is_none()
	{
		m_body.assign(k_max_control_body_bytes + 1, 'x');
		CPPUNIT_ASSERT(!called());
	}
	void query_when_percent_encoded_is_decoded()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("a b/c"), query_value("/x?n=1&v=a%20b%2fc", "v"));
		CPPUNIT_ASSERT_EQUAL(std::string(), query_value("/x?n=1", "v"));
		CPPUNIT_ASSERT_EQUAL(std::string("/x"), path_of("/x?n=1"));
	}
	void traceparent_when_sampled_makes_child_span()
	{
		const auto tracer = std::make_shared<tracer_otlp>("node", 0.0);
		const std::string parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
		std::string child;
		auto span = tracer->start_hop("entry_vm", parent, child);
		CPPUNIT_ASSERT(nullptr != span);
		CPPUNIT_ASSERT_EQUAL(parse_traceparent(parent).trace_id, parse_traceparent(child).trace_id);
		CPPUNIT_ASSERT(parse_traceparent(parent).span_id != parse_traceparent(child).span_id);
		span.reset();
		const nlohmann::json out = nlohmann::json::parse(tracer->drain());
		const nlohmann::json& written = out["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
		CPPUNIT_ASSERT_EQUAL(std::string("b7ad6b7169203331"), written["parentSpanId"].get<std::string>());
	}
	void traceparent_when_malformed_is_ignored()
	{
		const auto tracer = std::make_shared<tracer_otlp>("node", 0.0);
		std::string child;
		CPPUNIT_ASSERT(nullptr == tracer->start_hop("entry_vm", "nonsense", child));
		CPPUNIT_ASSERT(parse_traceparent("00-zz").trace_id.empty());
	}
	void spans_when_queue_is_full_are_dropped_and_counted()
	{
		const auto tracer = std::make_shared<tracer_otlp>("node", 1.0);
		std::string child;
		for (int number = 0; number < 5000; ++number)
		{
			tracer->start_hop("entry_vm", "", child);
		}
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{5000 - 4096}, tracer->dropped());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_test);
} // namespace larkrack
