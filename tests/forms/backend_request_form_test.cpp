// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes that larkrack-edge sends to backend servers and to callers, and its log lines about
/// requests.

#include "entry_fixture.h"

#include <unistd.h>

namespace larkrack
{
/// A fake backend server that records all bytes it receives and sends one fixed response.
class byte_recorder
{
public:
	explicit byte_recorder(asio::io_context& _context)
	    : m_acceptor(_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), m_socket(_context)
	{
		m_acceptor.async_accept(m_socket,
		    [this](beast::error_code _error)
		    {
			    if (!_error)
			    {
				    read();
			    }
		    });
	}
	tcp::endpoint address() const
	{
		return m_acceptor.local_endpoint();
	}

	std::string bytes;
	std::string last_bytes; ///< The response is sent once the received bytes end with these.
	std::string answer;

private:
	void read()
	{
		m_socket.async_read_some(asio::buffer(m_part),
		    [this](beast::error_code _error, std::size_t _size)
		    {
			    if (_error)
			    {
				    return;
			    }
			    bytes.append(m_part.data(), _size);
			    if (bytes.size() >= last_bytes.size() &&
			        0 == bytes.compare(bytes.size() - last_bytes.size(), last_bytes.size(), last_bytes))
			    {
				    asio::async_write(m_socket, asio::buffer(answer),
				        [](beast::error_code, std::size_t)
				        {
				        });
			    }
			    read();
		    });
	}

	tcp::acceptor m_acceptor;
	tcp::socket m_socket;
	std::array<char, 4096> m_part{};
};

class backend_request_form_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(backend_request_form_test);
	CPPUNIT_TEST(request_with_body_has_the_known_bytes);
	CPPUNIT_TEST(request_without_body_has_the_known_bytes);
	CPPUNIT_TEST(request_chunked_is_forwarded_with_its_length);
	CPPUNIT_TEST(response_of_a_backend_server_is_returned_with_the_known_bytes);
	CPPUNIT_TEST(refusal_has_the_known_bytes_and_retry_after_with_two_decimals);
	CPPUNIT_TEST(request_without_route_gets_the_known_bytes);
	CPPUNIT_TEST(log_lines_of_requests_have_the_known_keys_in_order);
	CPPUNIT_TEST_SUITE_END();

public:
	void tearDown() override
	{
		m_context->stop();
		m_recorder.reset();
		entry_fixture::tearDown();
	}

protected:
	void add_recorder()
	{
		m_recorder = std::make_unique<byte_recorder>(*m_context);
		m_recorder->answer = "HTTP/1.1 200 OK\r\nLarkrack-Request-Id: r1\r\nLarkrack-Signature: s\r\n"
		                     "Content-Length: 4\r\n\r\nfine";
		backend_record record;
		record.id = backend_id("b1");
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = 3;
		record.address = m_recorder->address();
		m_registry->put(record, m_clock.steady());
	}

	/// @returns The bytes that the backend server received, with the remaining milliseconds replaced by
	/// "{ms}".
	std::string sent_bytes(const std::string& _request, const std::string& _last_bytes = "\r\n\r\n")
	{
		set_routes();
		add_recorder();
		m_recorder->last_bytes = _last_bytes;
		CPPUNIT_ASSERT_EQUAL(200U, ask(_request).result_int());
		std::string bytes = m_recorder->bytes;
		const std::string name = "Larkrack-Deadline-Ms: ";
		const std::size_t begin = bytes.find(name) + name.size();
		const std::size_t end = bytes.find("\r\n", begin);
		const int left = std::stoi(bytes.substr(begin, end - begin));
		CPPUNIT_ASSERT(left > 0 && left <= 1500);
		return bytes.replace(begin, end - begin, "{ms}");
	}

	void request_with_body_has_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("POST /pay/a%20b?x=1 HTTP/1.1\r\n"
		                                 "host: Shop.example:80\r\n"
		                                 "LARKRACK-request-id: r1\r\n"
		                                 "X-Own: 7\r\n"
		                                 "x-own: 8\r\n"
		                                 "Cookie: Larkrack-Affinity=k; a=b\r\n"
		                                 "Larkrack-Deadline-Ms: {ms}\r\n"
		                                 "Larkrack-Backend: b1\r\n"
		                                 "Content-Length: 4\r\n"
		                                 "\r\n"
		                                 "body"),
		    sent_bytes("POST /pay/a%20b?x=1 HTTP/1.1\r\nhost: Shop.example:80\r\nLARKRACK-request-id: r1\r\n"
		               "Larkrack-Deadline-Ms: 1500\r\nLarkrack-Backend: other\r\nX-Own: 7\r\nx-own: 8\r\n"
		               "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nUpgrade: x\r\n"
		               "Content-Length: 4\r\nCookie: Larkrack-Affinity=k; a=b\r\n\r\nbody",
		        "\r\n\r\nbody"));
	}

	void request_without_body_has_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("GET /read/1 HTTP/1.1\r\n"
		                                 "Host: shop.example\r\n"
		                                 "Larkrack-Request-Id: r1\r\n"
		                                 "Larkrack-Deadline-Ms: {ms}\r\n"
		                                 "Larkrack-Backend: b1\r\n"
		                                 "\r\n"),
		    sent_bytes("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r1\r\n"
		               "Larkrack-Deadline-Ms: 1500\r\n\r\n"));
	}

	void request_chunked_is_forwarded_with_its_length()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("POST /pay/1 HTTP/1.1\r\n"
		                                 "Host: shop.example\r\n"
		                                 "Larkrack-Request-Id: r1\r\n"
		                                 "Larkrack-Deadline-Ms: {ms}\r\n"
		                                 "Larkrack-Backend: b1\r\n"
		                                 "Content-Length: 5\r\n"
		                                 "\r\n"
		                                 "abcde"),
		    sent_bytes("POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r1\r\n"
		               "Larkrack-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
		               "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
		        "\r\n\r\nabcde"));
	}

	/// @returns All bytes that a caller receives until the connection is closed.
	std::string received_bytes(const std::string& _request)
	{
		tcp::socket socket(*m_context);
		socket.connect(m_listener->address());
		asio::write(socket, asio::buffer(_request));
		std::string bytes;
		bool done = false;
		asio::async_read(socket, asio::dynamic_buffer(bytes),
		    [&](beast::error_code, std::size_t)
		    {
			    done = true;
		    });
		run_until(*m_context,
		    [&]
		    {
			    return done;
		    });
		return bytes;
	}

	void response_of_a_backend_server_is_returned_with_the_known_bytes()
	{
		set_routes();
		add_recorder();
		m_recorder->last_bytes = "\r\n\r\n";
		m_recorder->answer =
		    "HTTP/1.1 201 Made\r\nLarkrack-Request-Id: r1\r\nLarkrack-Signature: s\r\n"
		    "Larkrack-Load: 1 2 3\r\nX-Own: 7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n";
		CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 201 Made\r\n"
		                                 "Larkrack-Request-Id: r1\r\n"
		                                 "Larkrack-Signature: s\r\n"
		                                 "Larkrack-Load: 1 2 3\r\n"
		                                 "X-Own: 7\r\n"
		                                 "Connection: close\r\n"
		                                 "Content-Length: 4\r\n"
		                                 "\r\n"
		                                 "fine"),
		    received_bytes(request("GET", "/read/1", "r1", "Connection: close\r\n")));
	}

	void refusal_has_the_known_bytes_and_retry_after_with_two_decimals()
	{
		set_routes();
		for (int i = 0; i < 50; ++i)
		{
			std::string bytes = received_bytes(request("GET", "/read/1", "r1", "Connection: close\r\n"));
			const std::string name = "Retry-After: ";
			const std::size_t begin = bytes.find(name) + name.size();
			const std::string pause = bytes.substr(begin, bytes.find("\r\n", begin) - begin);
			CPPUNIT_ASSERT_EQUAL(std::size_t(4), pause.size());
			CPPUNIT_ASSERT_EQUAL(std::string("0."), pause.substr(0, 2));
			CPPUNIT_ASSERT(std::stod(pause) >= 0.3 && std::stod(pause) <= 0.8);
			CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503 Service Unavailable\r\n"
			                                 "Retry-After: {s}\r\n"
			                                 "Connection: close\r\n"
			                                 "Content-Length: 0\r\n"
			                                 "\r\n"),
			    bytes.replace(begin, pause.size(), "{s}"));
			m_forwarder->begin_stop(); // From now on requests are refused at once, with the same bytes.
		}
	}

	void request_without_route_gets_the_known_bytes()
	{
		set_routes();
		CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404 Not Found\r\n"
		                                 "Connection: close\r\n"
		                                 "Content-Length: 0\r\n"
		                                 "\r\n"),
		    received_bytes(request("GET", "/other/1", "r1", "Connection: close\r\n")));
	}

	/// @returns The lines of the log, with times and durations replaced by 0.
	std::vector<std::string> lines_from(int _descriptor)
	{
		m_log->flush();
		std::string text(65536, '\0');
		const ssize_t size = ::read(_descriptor, text.data(), text.size());
		text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
		std::vector<std::string> lines;
		std::istringstream stream(text);
		for (std::string line; std::getline(stream, line);)
		{
			for (const std::string name : {"\"t_us\":", "\"ms\":"})
			{
				const std::size_t begin = line.find(name) + name.size();
				const std::size_t end = line.find_first_of(",}", begin);
				line.replace(begin, end - begin, "0");
			}
			lines.push_back(line);
		}
		return lines;
	}

	void log_lines_of_requests_have_the_known_keys_in_order()
	{
		int pipe_ends[2];
		CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe_ends));
		*m_log = entry_log("n\"1\\\n", pipe_ends[1]);
		set_routes(7);
		add_backend("b1").script = {
		    {"HTTP/1.1 503 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Shed: 1\r\nContent-Length: 0\r\n\r\n"}};
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "r1", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(404U, ask(request("GET", "/other/1", "r2")).result_int());
		const std::vector<std::string> lines = lines_from(pipe_ends[0]);
		::close(pipe_ends[0]);
		::close(pipe_ends[1]);
		CPPUNIT_ASSERT_EQUAL(std::size_t(3), lines.size());
		CPPUNIT_ASSERT_EQUAL(
		    std::string(R"({"t_us":0,"node":"n\"1\\\u000a","event":1902,"name":"attempt_failed","id":"r1",)"
		                R"("service":"shop","backend":"b1","why":"shed","busy":3.000,"ms":0,)"
		                R"("answer":"503+id+not_run","attempt":1,"connection":"new"})"),
		    lines[0]);
		CPPUNIT_ASSERT_EQUAL(
		    std::string(R"({"t_us":0,"node":"n\"1\\\u000a","event":1901,"name":"request_ended","id":"r1",)"
		                R"("route":"pay","service":"shop","config":7,"status":503,"outcome":"not_run",)"
		                R"("reason":"shed","region":"east","backend":"b1","attempts":1,"unsent":0,"ms":0,)"
		                R"("promise":"rejected","stalled_ms":0})"),
		    lines[1]);
		CPPUNIT_ASSERT_EQUAL(
		    std::string(
		        R"({"t_us":0,"node":"n\"1\\\u000a","event":1901,"name":"request_ended","id":"r2",)"
		        R"("route":"","service":"","config":7,"status":404,"outcome":"not_run",)"
		        R"("reason":"unknown_service","region":"","backend":"","attempts":0,"unsent":0,"ms":0})"),
		    lines[2]);
	}

	std::unique_ptr<byte_recorder> m_recorder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_request_form_test);
} // namespace larkrack
