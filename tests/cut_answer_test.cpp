// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Answers of backend servers that end early: a caller never gets a part of a body in a form that says that
/// it is the whole, and never a promise.

#include "entry_fixture.h"

namespace larkrack
{
class cut_answer_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(cut_answer_test);
	CPPUNIT_TEST(answer_with_a_length_cut_anywhere_is_never_passed_on);
	CPPUNIT_TEST(answer_in_chunks_cut_anywhere_is_never_passed_on);
	CPPUNIT_TEST(answer_behind_an_interim_one_cut_anywhere_is_never_passed_on);
	CPPUNIT_TEST(answer_with_a_bare_end_of_line_cut_anywhere_is_never_passed_on);
	CPPUNIT_TEST(answer_without_a_length_cut_in_its_head_is_never_passed_on);
	CPPUNIT_TEST(answer_without_a_length_cut_in_its_body_is_not_framed_as_whole);
	CPPUNIT_TEST(answer_without_a_length_that_is_reset_is_never_passed_on);
	CPPUNIT_TEST(answer_without_a_body_is_passed_on);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// How a backend server ends its connection.
	enum class end
	{
		close,
		reset,
	};
	static std::string marks()
	{
		return "Larkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n";
	}
	static std::string head_of(const caller_response& _response)
	{
		std::ostringstream text;
		text << _response.base();
		return text.str();
	}
	/// @returns The answer to a request whose backend server sends these bytes and ends its connection.
	caller_response answer_after(const std::string& _bytes, const std::string& _method, end _how)
	{
		tearDown(); // What a node has seen of its backend server changes its choice.
		setUp();
		set_routes();
		add_backend("b1").usual = {_bytes, end::close == _how, end::reset == _how, false};
		raw_caller& caller = call_and_keep();
		const bool pays = "POST" == _method;
		caller.send(request(_method, pays ? "/pay/1" : "/read/1", "r1", "", pays ? "x" : ""));
		return caller.receive("HEAD" == _method);
	}
	/// Asserts that no part of an answer that is shorter than the whole reaches a caller.
	void assert_never_passed_on(const std::string& _whole)
	{
		for (const end how : {end::close, end::reset})
		{
			for (const char* method : {"GET", "POST"})
			{
				for (std::size_t size = 0; size < _whole.size(); ++size)
				{
					const unsigned status = answer_after(_whole.substr(0, size), method, how).result_int();
					CPPUNIT_ASSERT_EQUAL_MESSAGE(method + std::to_string(size), 502U, status);
				}
			}
		}
	}

	void answer_with_a_length_cut_anywhere_is_never_passed_on()
	{
		assert_never_passed_on("HTTP/1.1 200 X\r\n" + marks() + "Content-Length: 12\r\n\r\nwhole answer");
	}
	void answer_in_chunks_cut_anywhere_is_never_passed_on()
	{
		assert_never_passed_on("HTTP/1.1 200 X\r\n" + marks() +
		                       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n3\r\none\r\n0\r\n\r\n");
	}
	void answer_behind_an_interim_one_cut_anywhere_is_never_passed_on()
	{
		assert_never_passed_on("HTTP/1.1 103 X\r\nLarkrack-Request-Id: {id}\r\n\r\nHTTP/1.1 200 X\r\n" +
		                       marks() + "Content-Length: 3\r\n\r\none");
	}
	void answer_with_a_bare_end_of_line_cut_anywhere_is_never_passed_on()
	{
		assert_never_passed_on("HTTP/1.1 200 X\r\n" + marks() + "Content-Length: 3\r\r\none");
	}
	void answer_without_a_length_cut_in_its_head_is_never_passed_on()
	{
		assert_never_passed_on("HTTP/1.1 200 X\r\n" + marks() + "Connection: close\r\n\r\n");
	}
	/// Guards against a body that its backend server broke off, passed on with a length that makes it whole.
	void answer_without_a_length_cut_in_its_body_is_not_framed_as_whole()
	{
		for (const char* body : {"", "w", "whole", "whole answer"})
		{
			for (const char* method : {"GET", "POST"})
			{
				const caller_response response = answer_after(
				    "HTTP/1.1 200 X\r\n" + marks() + "Connection: close\r\n\r\n" + body, method, end::close);
				const bool framed = response.has_content_length() || response.chunked();
				const std::string seen =
				    method + (" \"" + std::string(body) + "\" got: ") + head_of(response);
				CPPUNIT_ASSERT_MESSAGE(seen, 200U != response.result_int() || !framed);
				CPPUNIT_ASSERT_MESSAGE(seen, !response.keep_alive());
			}
		}
	}
	void answer_without_a_length_that_is_reset_is_never_passed_on()
	{
		const std::string bytes = "HTTP/1.1 200 X\r\n" + marks() + "Connection: close\r\n\r\nwhole";
		CPPUNIT_ASSERT_EQUAL(502U, answer_after(bytes, "GET", end::reset).result_int());
		CPPUNIT_ASSERT_EQUAL(502U, answer_after(bytes, "POST", end::reset).result_int());
	}
	/// Answers that have no body by their method or status are whole at the end of their heads.
	void answer_without_a_body_is_passed_on()
	{
		const std::string rest = marks() + "Connection: close\r\n\r\n";
		CPPUNIT_ASSERT_EQUAL(
		    200U, answer_after("HTTP/1.1 200 X\r\n" + rest, "HEAD", end::close).result_int());
		CPPUNIT_ASSERT_EQUAL(
		    204U, answer_after("HTTP/1.1 204 X\r\n" + rest, "POST", end::close).result_int());
		CPPUNIT_ASSERT_EQUAL(304U, answer_after("HTTP/1.1 304 X\r\n" + rest, "GET", end::close).result_int());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_answer_test);
} // namespace larkrack
