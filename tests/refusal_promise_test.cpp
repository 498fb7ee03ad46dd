// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What answers of backend servers prove: a caller whose request must not run twice gets a status that
/// promises that it has not run only where that is known, and the request runs once whatever answers come.

#include "entry_fixture.h"

namespace larkrack
{
class refusal_promise_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(refusal_promise_test);
	CPPUNIT_TEST(refusal_of_a_server_without_the_mark_promises_nothing);
	CPPUNIT_TEST(refusal_of_a_server_without_the_mark_is_passed_on_where_requests_may_repeat);
	CPPUNIT_TEST(refusal_with_mark_and_id_is_sent_to_another_server);
	CPPUNIT_TEST(wrong_server_with_id_is_believed_and_without_is_not);
	CPPUNIT_TEST(refusal_without_id_is_not_the_answer_of_the_request);
	CPPUNIT_TEST(refusal_without_id_before_the_answer_changes_nothing);
	CPPUNIT_TEST(mark_that_contradicts_the_answer_proves_nothing);
	CPPUNIT_TEST(mark_outside_of_the_final_head_proves_nothing);
	CPPUNIT_TEST(mark_in_a_broken_answer_proves_nothing);
	CPPUNIT_TEST(rejection_that_comes_twice_is_not_the_answer_of_the_next_attempt);
	CPPUNIT_TEST(promise_that_is_broken_is_counted);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// How a request ended that must not run twice.
	struct order_end
	{
		unsigned status = 0;
		std::size_t runs = 0; ///< Requests that backend servers received.
		bool is_signed = false;
	};

	/// Sends an order to a node with two backend servers, each of which gives the same answer.
	/// @param[in] _bytes The answer; "{id}" is replaced by the id of the request.
	order_end order(const std::string& _bytes, bool _close = false)
	{
		const std::string id = "o" + std::to_string(++m_orders);
		if (!m_backends.empty())
		{
			tearDown(); // What a node has seen of its backend servers changes its choice of them.
			setUp();
		}
		set_answers(_bytes, _close);
		const caller_response response = ask(request("POST", "/pay/1", id, "", "x"));
		return {
		    response.result_int(), count_requests(id), response.end() != response.find("Larkrack-Signature")};
	}
	/// Sets the answer of both backend servers to further requests.
	void set_answers(const std::string& _bytes, bool _close = false)
	{
		if (m_backends.empty())
		{
			set_routes();
			add_backend("b1");
			add_backend("b2");
		}
		for (const std::unique_ptr<scripted_backend>& server : m_backends)
		{
			server->usual = {_bytes, _close, false, false};
		}
	}
	std::size_t count_requests(const std::string& _id) const
	{
		std::size_t count = 0;
		for (const std::unique_ptr<scripted_backend>& server : m_backends)
		{
			for (const std::string& text : server->requests)
			{
				count += std::string::npos != text.find("Larkrack-Request-Id: " + _id + "\r\n") ? 1 : 0;
			}
		}
		return count;
	}
	static std::string head(unsigned _status, const std::string& _headers)
	{
		return "HTTP/1.1 " + std::to_string(_status) + " X\r\n" + _headers + "Content-Length: 0\r\n\r\n";
	}
	static std::string id_line()
	{
		return "Larkrack-Request-Id: {id}\r\n";
	}
	static bool is_promise_status(unsigned _status)
	{
		return 408 == _status || 421 == _status || 429 == _status || 503 == _status;
	}
	/// Asserts that an order ran once, and that its caller was promised nothing.
	static void assert_ran_once(const std::string& _name, const order_end& _end)
	{
		CPPUNIT_ASSERT_EQUAL_MESSAGE(_name, std::size_t(1), _end.runs);
		CPPUNIT_ASSERT_MESSAGE(_name + ": " + std::to_string(_end.status), !is_promise_status(_end.status));
	}

	/// Guards against orders that run although their callers got a 503, 429 or 408 that a backend server had
	/// given after it ran them.
	void refusal_of_a_server_without_the_mark_promises_nothing()
	{
		for (const unsigned status : {503U, 429U, 408U})
		{
			for (const char* more : {"", "Larkrack-Signature: s\r\n", "Retry-After: 1\r\n"})
			{
				const order_end end = order(head(status, id_line() + more));
				assert_ran_once(std::to_string(status) + more, end);
				CPPUNIT_ASSERT(!end.is_signed); // A signed failure has the status that the server gave.
			}
		}
	}
	void refusal_of_a_server_without_the_mark_is_passed_on_where_requests_may_repeat()
	{
		set_answers(head(503, id_line() + "Larkrack-Signature: s\r\n"));
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("GET", "/read/1", "r1")).result_int());
		set_answers(head(429, id_line() + "Larkrack-Signature: s\r\n"));
		CPPUNIT_ASSERT_EQUAL(429U, ask(request("GET", "/read/1", "r2")).result_int());
	}
	void refusal_with_mark_and_id_is_sent_to_another_server()
	{
		for (const unsigned status : {503U, 429U, 421U})
		{
			for (const char* more : {"", "Larkrack-Signature: s\r\n"})
			{
				const order_end end = order(head(status, id_line() + "Larkrack-Shed: 1\r\n" + more));
				CPPUNIT_ASSERT_EQUAL(503U, end.status);
				CPPUNIT_ASSERT_EQUAL(std::size_t(2), end.runs);
			}
		}
	}
	/// Guards against an order that runs although a 421 that nobody signed or numbered was taken for its
	/// refusal.
	void wrong_server_with_id_is_believed_and_without_is_not()
	{
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), order(head(421, id_line())).runs);
		assert_ran_once("bare", order(head(421, ""), true));
		assert_ran_once("signed", order(head(421, id_line() + "Larkrack-Signature: s\r\n")));
	}
	/// Guards against an order that runs twice since a refusal without an id was taken for its own.
	void refusal_without_id_is_not_the_answer_of_the_request()
	{
		for (const unsigned status : {503U, 429U})
		{
			assert_ran_once(std::to_string(status), order(head(status, "Larkrack-Shed: 1\r\n"), true));
		}
	}
	/// Guards against an order that runs twice since a surplus refusal came in the place of its answer.
	void refusal_without_id_before_the_answer_changes_nothing()
	{
		const order_end end = order(head(503, "Larkrack-Shed: 1\r\n") + scripted_backend::answer("done"));
		CPPUNIT_ASSERT_EQUAL(200U, end.status);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), end.runs);
	}
	/// Guards against an order that runs twice since an answer was believed that also says that it ran.
	void mark_that_contradicts_the_answer_proves_nothing()
	{
		assert_ran_once("200", order(scripted_backend::answer("done", 200, "Larkrack-Shed: 1\r\n")));
		assert_ran_once("500", order(scripted_backend::answer("", 500, "Larkrack-Shed: 1\r\n")));
		assert_ran_once("302", order(head(302, id_line() + "Larkrack-Shed: 1\r\n")));
	}
	void mark_outside_of_the_final_head_proves_nothing()
	{
		const std::string chunked = "HTTP/1.1 503 X\r\n" + id_line() + "Transfer-Encoding: chunked\r\n\r\n";
		assert_ran_once("trailer", order(chunked + "0\r\nLarkrack-Shed: 1\r\n\r\n"));
		const order_end interim = order(
		    "HTTP/1.1 103 X\r\n" + id_line() + "Larkrack-Shed: 1\r\n\r\n" + scripted_backend::answer("done"));
		CPPUNIT_ASSERT_EQUAL(200U, interim.status);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), interim.runs);
	}
	void mark_in_a_broken_answer_proves_nothing()
	{
		const std::string broken =
		    "HTTP/1.1 503 X\r\n" + id_line() + "Larkrack-Shed: 1\r\nContent-Length: 9\r\n\r\nshort";
		assert_ran_once("broken", order(broken, true));
	}
	/// Guards against an order that runs although its caller was refused, since the rejection of its first
	/// attempt came twice and was taken for that of its second.
	void rejection_that_comes_twice_is_not_the_answer_of_the_next_attempt()
	{
		const std::string free = "Larkrack-Load: 0,0,3,100\r\n";
		const std::string rejection = head(503, id_line() + "Larkrack-Shed: 1\r\n" + free);
		set_routes();
		scripted_backend& server = add_backend("b1");
		server.script = {{scripted_backend::answer("fine", 200, free)}, {rejection}};
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "first", "", "x")).result_int());
		server.usual.surplus = rejection;
		const unsigned status = ask(request("POST", "/pay/1", "twice", "", "x")).result_int();
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), count_requests("twice"));
		CPPUNIT_ASSERT_EQUAL(200U, status);
	}
	/// Guards the check itself: it sees a request that a backend server answers as run after its refusal.
	void promise_that_is_broken_is_counted()
	{
		set_answers(head(503, id_line() + "Larkrack-Shed: 1\r\n"));
		CPPUNIT_ASSERT_EQUAL(503U, ask(request("POST", "/pay/1", "again", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_exchanges->promises().promises());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_exchanges->promises().breaches());
		set_answers(scripted_backend::answer("done"));
		CPPUNIT_ASSERT_EQUAL(200U, ask(request("POST", "/pay/1", "again", "", "x")).result_int());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_exchanges->promises().breaches());
	}

	int m_orders = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_promise_test);
} // namespace larkrack
