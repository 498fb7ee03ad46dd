// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Orders of events on the connection of a caller. The event loop runs only where a test says so: while it
/// does not, the node stands still, as a frozen VM does, and what callers send waits in the sockets.

#include "fixtures.h"

#include "entry_node/http_listener_p.h"

#include <random>

namespace larkrack
{
/// A listener whose event loop the test turns by hand, and a caller with blocking sockets.
class caller_session_fixture : public CppUnit::TestFixture
{
public:
	void setUp() override
	{
		m_listener = std::make_unique<http_listener>(
		    m_context,
		    [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
		    {
			    handled.push_back(_request.body());
			    if (hold)
			    {
				    held = _session;
				    return;
			    }
			    caller_response response(http::status::ok, 11);
			    response.body() = answer;
			    _session->respond(std::move(response));
			    _session->respond(caller_response(http::status::bad_gateway, 11)); // One too many: no effect.
		    },
		    1000);
		CPPUNIT_ASSERT(!m_listener->listen(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
		set_timeouts(k_header_timeout, std::chrono::seconds(10));
	}
	void tearDown() override
	{
		m_context.stop();
		held.reset();
		m_listener.reset();
	}

protected:
	/// Shorter than the time for which a test stands still.
	static constexpr std::chrono::milliseconds k_header_timeout{4};
	static constexpr std::chrono::milliseconds k_idle_timeout{4};

	void set_timeouts(std::chrono::milliseconds _header, std::chrono::milliseconds _idle)
	{
		caller_limits limits;
		limits.header_bytes = 2048;
		limits.body_bytes = 100000;
		limits.header_timeout = _header;
		limits.idle_timeout = _idle;
		m_listener->set_limits(limits);
	}
	/// @returns A connected caller; the node has not accepted it yet.
	tcp::socket connect()
	{
		tcp::socket socket(m_callers);
		socket.connect(m_listener->address());
		socket.set_option(tcp::no_delay(true)); // Each piece is on its way at once.
		socket.non_blocking(true);
		return socket;
	}
	static void send(tcp::socket& _caller, const std::string& _bytes)
	{
		beast::error_code ignored; // The node may have closed the connection.
		asio::write(_caller, asio::buffer(_bytes), ignored);
	}
	/// Runs all handlers that are due.
	void run_node()
	{
		m_context.restart();
		m_context.poll();
	}
	/// Lets time pass while the node does not run.
	static void stand_still(std::chrono::milliseconds _time)
	{
		const auto end = std::chrono::steady_clock::now() + _time;
		while (std::chrono::steady_clock::now() < end)
		{
		}
	}
	/// Runs the node until a time has passed.
	void run_node_for(std::chrono::milliseconds _time)
	{
		const auto end = std::chrono::steady_clock::now() + _time;
		while (std::chrono::steady_clock::now() < end)
		{
			run_node();
		}
	}
	/// Runs the node until no more bytes come from it.
	/// @returns All bytes that the node has sent to a caller.
	std::string answers(tcp::socket& _caller)
	{
		std::string all;
		const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
		while (std::chrono::steady_clock::now() < end)
		{
			run_node();
			std::array<char, 4096> bytes{};
			beast::error_code error;
			all.append(bytes.data(), _caller.read_some(asio::buffer(bytes), error));
		}
		return all;
	}
	static std::size_t count(const std::string& _text, const std::string& _part)
	{
		std::size_t found = 0;
		for (std::size_t at = _text.find(_part); std::string::npos != at; at = _text.find(_part, at + 1))
		{
			++found;
		}
		return found;
	}
	static std::string head(const std::string& _more)
	{
		return "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\n" + _more + "\r\n";
	}

	std::vector<std::string> handled; ///< Bodies of the requests that were passed on.
	std::string answer;               ///< Body of each response.
	bool hold = false;                ///< Requests get no response for now.
	std::shared_ptr<caller_session> held;
	asio::io_context m_context{1};
	asio::io_context m_callers{1};
	std::unique_ptr<http_listener> m_listener;
};

class caller_session_test : public caller_session_fixture
{
	CPPUNIT_TEST_SUITE(caller_session_test);
	CPPUNIT_TEST(request_that_came_while_the_node_stood_still_is_served);
	CPPUNIT_TEST(request_refused_as_late_is_never_passed_on);
	CPPUNIT_TEST(request_in_any_order_of_events_has_one_outcome);
	CPPUNIT_TEST(body_that_keeps_flowing_is_not_cut_by_the_timeout_of_the_headers);
	CPPUNIT_TEST(body_that_is_incomplete_at_the_deadline_of_its_request_is_refused);
	CPPUNIT_TEST(body_that_cannot_be_parsed_is_refused_and_never_passed_on);
	CPPUNIT_TEST(time_for_which_the_node_stood_still_does_not_count);
	CPPUNIT_TEST(late_event_of_bytes_that_were_read_does_not_count_as_the_caller_leaving);
	CPPUNIT_TEST(caller_that_leaves_during_its_request_is_noticed);
	CPPUNIT_TEST(last_answer_before_unread_requests_arrives_whole);
	CPPUNIT_TEST(caller_that_never_stops_sending_is_closed_in_bounded_time);
	CPPUNIT_TEST(response_that_ends_with_its_connection_is_reset_when_it_is_not_sent_whole);
	CPPUNIT_TEST(response_that_ends_with_its_connection_ends_in_good_order_when_it_is_sent_whole);
	CPPUNIT_TEST(idle_connection_whose_request_came_in_time_is_not_closed);
	CPPUNIT_TEST(new_connection_at_a_stopping_node_stays_open_for_its_request);
	CPPUNIT_TEST(connection_that_was_established_before_the_end_of_accepting_is_answered);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// One way to send the same request, in pieces.
	struct upload
	{
		std::string name;
		std::vector<std::string> pieces;
	};
	static std::vector<upload> uploads()
	{
		return {{"length", {head("Content-Length: 6\r\n"), "abc", "def"}},
		    {"chunks", {head("Transfer-Encoding: chunked\r\n"), "3\r\nabc\r\n3\r\nd", "ef\r\n0\r\n\r\n"}},
		    {"continue", {head("Expect: 100-continue\r\nContent-Length: 6\r\n"), "abc", "def"}},
		    {"half a head",
		        {"POST /pay/1 HTTP/1.1\r\nHost: sh", "op.example\r\nContent-Length: 6", "\r\n\r\nabcdef"}},
		    {"long head",
		        {"POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\n", "Long: " + std::string(1800, 'l') + "\r\n",
		            "Content-Length: 6\r\n\r\nabcdef"}}};
	}

	/// Guards against a 408 for a request whose rest waits in the socket of a node that wakes, and against
	/// its run after the 408 (review/1).
	void request_that_came_while_the_node_stood_still_is_served()
	{
		for (const upload& one : uploads())
		{
			handled.clear();
			tcp::socket caller = connect();
			send(caller, one.pieces[0]);
			run_node();
			send(caller, one.pieces[1]);
			send(caller, one.pieces[2]);
			stand_still(2 * k_header_timeout);
			const std::string sent = answers(caller);
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name + ": " + sent, std::size_t(1), count(sent, "HTTP/1.1 200"));
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t(0), count(sent, "HTTP/1.1 408"));
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t(1), handled.size());
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string("abcdef"), handled.front());
		}
	}

	/// @returns How the connection ends on which a response of that size ends with it; the node closes it
	/// before the caller has taken anything.
	beast::error_code end_of_response(std::size_t _size)
	{
		hold = true;
		tcp::socket caller = connect();
		send(caller, head("Content-Length: 1\r\n") + "x");
		run_node_for(std::chrono::milliseconds(10));
		CPPUNIT_ASSERT(held);
		caller_response response(http::status::ok, 11);
		response.body() = std::string(_size, 'p');
		held->respond(std::move(response), response_framing::by_close);
		run_node_for(std::chrono::milliseconds(10));
		held->close(); // As the kernel does when the process is killed.
		run_node();
		caller.non_blocking(false);
		std::string bytes;
		beast::error_code end;
		asio::read(caller, asio::dynamic_buffer(bytes), end);
		return end;
	}
	/// Guards against a download that is cut by the end of the process and looks whole (review/5).
	void response_that_ends_with_its_connection_is_reset_when_it_is_not_sent_whole()
	{
		CPPUNIT_ASSERT_EQUAL(beast::error_code(asio::error::connection_reset), end_of_response(32U << 20U));
	}
	void response_that_ends_with_its_connection_ends_in_good_order_when_it_is_sent_whole()
	{
		CPPUNIT_ASSERT_EQUAL(beast::error_code(asio::error::eof), end_of_response(1000));
	}

	/// Guards against a request that runs after its 408 because its rest comes while the 408 is on its way.
	void request_refused_as_late_is_never_passed_on()
	{
		set_timeouts(k_header_timeout, k_idle_timeout);
		for (const upload& one : uploads())
		{
			handled.clear();
			tcp::socket caller = connect();
			send(caller, one.pieces[0]);
			run_node_for(4 * k_header_timeout);
			send(caller, one.pieces[1]);
			send(caller, one.pieces[2]);
			const std::string sent = answers(caller);
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t(1), count(sent, "HTTP/1.1 408"));
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t(0), count(sent, "HTTP/1.1 200"));
			CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t(0), handled.size());
		}
	}

	/// Guards against two outcomes of one request: pieces, timeouts and single steps of the event loop come
	/// in random order.
	void request_in_any_order_of_events_has_one_outcome()
	{
		std::minstd_rand random(20261204);
		const auto draw = [&random](unsigned _below)
		{
			return static_cast<unsigned>(random()) / 7 % _below;
		};
		for (int round = 0; round < 400; ++round)
		{
			const std::vector<upload> all = uploads();
			const upload& one = all[draw(static_cast<unsigned>(all.size()))];
			set_timeouts(std::chrono::milliseconds(1), std::chrono::milliseconds(1));
			handled.clear();
			tcp::socket caller = connect();
			std::size_t next = 0;
			while (next < one.pieces.size())
			{
				switch (draw(3))
				{
				case 0:
					send(caller, one.pieces[next++]);
					break;
				case 1:
					stand_still(std::chrono::milliseconds(1));
					break;
				default:
					m_context.restart();
					m_context.poll_one();
				}
			}
			const std::string sent = answers(caller);
			const std::size_t served = count(sent, "HTTP/1.1 200");
			const std::size_t refused = count(sent, "HTTP/1.1 4");
			const std::string where = one.name + ", round " + std::to_string(round) + ": " + sent;
			CPPUNIT_ASSERT_MESSAGE(where, served + refused <= 1);
			CPPUNIT_ASSERT_EQUAL_MESSAGE(where, served, handled.size());
		}
	}

	/// Guards against a slow upload that is cut although its bytes keep coming.
	void body_that_keeps_flowing_is_not_cut_by_the_timeout_of_the_headers()
	{
		const std::string text = "slow and steady";
		tcp::socket caller = connect();
		send(caller, head("Content-Length: " + std::to_string(text.size()) + "\r\n"));
		for (const char byte : text)
		{
			run_node_for(k_header_timeout / 2);
			send(caller, std::string(1, byte));
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 200"));
		CPPUNIT_ASSERT_EQUAL(text, handled.at(0));
	}

	/// Guards against an upload that holds a connection although nobody waits for its answer any longer.
	void body_that_is_incomplete_at_the_deadline_of_its_request_is_refused()
	{
		m_listener->set_body_time_rule(
		    [](const caller_request&)
		    {
			    return 4 * k_header_timeout;
		    });
		tcp::socket caller = connect();
		send(caller, head("Content-Length: 1000\r\n"));
		for (int i = 0; i < 10; ++i)
		{
			run_node_for(k_header_timeout);
			send(caller, "x");
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 408"));
		CPPUNIT_ASSERT(handled.empty());
	}

	/// Guards against a connection that ends without a word behind a body with broken framing.
	void body_that_cannot_be_parsed_is_refused_and_never_passed_on()
	{
		tcp::socket caller = connect();
		send(caller, head("Transfer-Encoding: chunked\r\n"));
		run_node();
		send(caller, "zz\r\nabc\r\n0\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 400"));
		CPPUNIT_ASSERT(handled.empty());
	}

	/// Guards against a 408 for a request whose packets are sent again only after the VM has woken.
	void time_for_which_the_node_stood_still_does_not_count()
	{
		set_timeouts(10 * k_header_timeout, std::chrono::seconds(10));
		const auto now = []
		{
			return std::chrono::time_point_cast<steady_time::duration>(std::chrono::steady_clock::now());
		};
		m_listener->tick(now() - std::chrono::seconds(2));
		tcp::socket caller = connect();
		send(caller, "POST /pay/1 HTTP/1.1\r\nHost: sh");
		run_node(); // The first loop after two seconds, as the next tick will notice.
		stand_still(10 * k_header_timeout);
		CPPUNIT_ASSERT_EQUAL(std::string(), answers(caller));
		send(caller, "op.example\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 200"));
	}

	/// Guards against a request whose connection is closed while it is served: the event loop reports bytes
	/// as readable that the session has read already, and nothing is there to read.
	void late_event_of_bytes_that_were_read_does_not_count_as_the_caller_leaving()
	{
		hold = true;
		for (int round = 0; round < 20; ++round)
		{
			tcp::socket caller = connect();
			m_listener->set_header_check(
			    [&caller](const caller_request&)
			    {
				    send(caller, "abcdef"); // Read at once, before the event loop looks at the socket again.
				    return std::nullopt;
			    });
			send(caller, head("Content-Length: 6\r\n"));
			run_node_for(std::chrono::milliseconds(2));
			CPPUNIT_ASSERT(held);
			held->respond(caller_response(http::status::ok, 11));
			CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 200"));
			held.reset();
		}
	}

	void caller_that_leaves_during_its_request_is_noticed()
	{
		hold = true;
		bool left = false;
		tcp::socket caller = connect();
		send(caller, head("Content-Length: 0\r\n"));
		run_node_for(std::chrono::milliseconds(2));
		CPPUNIT_ASSERT(held);
		held->set_disconnect_handler(
		    [&left]
		    {
			    left = true;
		    });
		caller.close();
		run_node_for(std::chrono::milliseconds(2));
		CPPUNIT_ASSERT(left);
	}

	/// Guards against a reset that takes a part of the last answer, because the requests that its caller has
	/// sent behind the first one lie unread in the socket (review/2).
	void last_answer_before_unread_requests_arrives_whole()
	{
		answer = std::string(300000, 'a');
		tcp::socket caller(m_callers);
		caller.open(tcp::v4());
		caller.set_option(asio::socket_base::receive_buffer_size(4096));
		caller.connect(m_listener->address());
		caller.non_blocking(true);
		run_node();
		m_listener->begin_stop();
		const std::string further = head("Content-Length: 2000\r\n") + std::string(2000, 'f');
		std::string all = head("Content-Length: 6\r\n") + "abcdef";
		for (int i = 0; i < 5; ++i)
		{
			all += further;
		}
		send(caller, all);
		std::string received;
		for (int i = 0; i < 40; ++i)
		{
			received += answers(caller);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), handled.size());
		const std::size_t begin = received.find("\r\n\r\n") + 4;
		CPPUNIT_ASSERT_EQUAL(answer.size(), received.size() - begin);
	}

	/// Guards against connections that are held open, and bytes that are read, for callers that send on and
	/// on.
	void caller_that_never_stops_sending_is_closed_in_bounded_time()
	{
		constexpr std::chrono::milliseconds k_longer_than_any_drain{1500};
		tcp::socket caller = connect();
		run_node();
		m_listener->begin_stop();
		send(caller, head("Content-Length: 0\r\n"));
		const auto end = std::chrono::steady_clock::now() + k_longer_than_any_drain;
		const std::string flood(10000, 'f');
		std::size_t sent = 0;
		while (std::chrono::steady_clock::now() < end)
		{
			run_node();
			beast::error_code ignored; // The socket is full, or closed at last.
			sent += caller.write_some(asio::buffer(flood), ignored);
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_listener->connections());
		constexpr std::size_t k_bytes_of_sockets = 8000000;
		CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent < k_bytes_of_sockets);
	}

	/// Guards against the close of connections whose next requests wait in the sockets of a node that wakes:
	/// the event loop reports a part of many ready sockets only, but all timers that are due.
	/// Guards against requests on new connections that a stopping node closes without an answer, since it
	/// takes them for idle.
	void new_connection_at_a_stopping_node_stays_open_for_its_request()
	{
		tcp::socket kept = connect();
		send(kept, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n");
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(kept), "HTTP/1.1 200"));
		tcp::socket fresh = connect();
		run_node();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_listener->connections());
		m_listener->begin_stop();
		m_listener->close_idle();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_listener->connections());
		send(fresh, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n");
		const std::string sent = answers(fresh);
		CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, std::size_t(1), count(sent, "HTTP/1.1 200"));
		CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, std::size_t(1), count(sent, "Connection: close"));
	}
	/// Guards against the reset of connections that callers see as established.
	void connection_that_was_established_before_the_end_of_accepting_is_answered()
	{
		std::vector<tcp::socket> callers;
		for (int i = 0; i < 3; ++i)
		{
			callers.push_back(connect());
			send(callers.back(), "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n");
		}
		m_listener->begin_stop();
		m_listener->stop_accepting();
		for (tcp::socket& caller : callers)
		{
			CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(answers(caller), "HTTP/1.1 200"));
		}
	}
	void idle_connection_whose_request_came_in_time_is_not_closed()
	{
		constexpr std::chrono::milliseconds k_longer_than_all_accepts{300};
		constexpr std::size_t k_idle = 300;
		set_timeouts(k_longer_than_all_accepts / 2, k_longer_than_all_accepts);
		std::vector<tcp::socket> idle;
		idle.reserve(k_idle);
		while (idle.size() < k_idle)
		{
			idle.push_back(connect());
		}
		tcp::socket late = connect();
		send(late, "GET /read/1 HTTP/1.1\r\nHost: sh"); // Its timer is due first, and alone.
		run_node();
		stand_still(k_longer_than_all_accepts / 2);
		for (tcp::socket& caller : idle)
		{
			send(caller, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n");
		}
		stand_still(k_longer_than_all_accepts);
		run_node();
		CPPUNIT_ASSERT_EQUAL(k_idle, handled.size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_session_test);
} // namespace larkrack
