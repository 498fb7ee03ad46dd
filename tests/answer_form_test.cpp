// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Bytes of a backend server in trouble that look like an answer and are none: statuses that do not exist,
/// heads with fields that can't be. They never reach a caller, and a repeatable request goes elsewhere at
/// once.

#include "entry_fixture.h"

#include "entry_node/relay_messages_p.h"

namespace larkrack
{
class answer_form_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(answer_form_test);
	CPPUNIT_TEST(status_that_does_not_exist_is_no_answer);
	CPPUNIT_TEST(status_that_does_not_exist_costs_a_repeatable_request_one_attempt);
	CPPUNIT_TEST(status_that_exists_is_passed_on);
	CPPUNIT_TEST(name_with_an_odd_byte_anywhere_is_no_answer);
	CPPUNIT_TEST(value_with_a_control_byte_anywhere_is_no_answer);
	CPPUNIT_TEST(odd_field_in_an_interim_answer_or_a_trailer_is_no_answer);
	CPPUNIT_TEST(lengths_that_contradict_each_other_are_no_answer);
	CPPUNIT_TEST(result_of_a_relay_with_an_odd_head_is_refused);
	CPPUNIT_TEST(success_without_a_signature_is_no_answer);
	CPPUNIT_TEST(success_with_an_odd_signature_is_no_answer);
	CPPUNIT_TEST_SUITE_END();

protected:
	static std::string head(const std::string& _status, const std::string& _more = "")
	{
		return "HTTP/1.1 " + _status + " X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n" +
		       _more + "Content-Length: 4\r\n\r\n";
	}
	/// @returns Status of the answer to an order whose backend server sends these bytes.
	unsigned status_after(const std::string& _bytes)
	{
		tearDown(); // What a node has seen of its backend server changes its choice.
		setUp();
		set_routes();
		add_backend("b1").usual = {_bytes, false, false, false};
		return ask(request("POST", "/pay/1", "r1", "", "x")).result_int();
	}
	void assert_no_answer(const std::string& _bytes)
	{
		const steady_time begin = m_clock.steady();
		CPPUNIT_ASSERT_EQUAL_MESSAGE(_bytes, 502U, status_after(_bytes));
		CPPUNIT_ASSERT_MESSAGE(_bytes, m_clock.steady() - begin < std::chrono::milliseconds(1000));
	}

	/// Guards against callers that get such a status, or wait until their deadline for another answer.
	void status_that_does_not_exist_is_no_answer()
	{
		for (const char* status : {"000", "001", "099", "101", "600", "999"})
		{
			assert_no_answer(head(status) + "body");
		}
	}
	void status_that_does_not_exist_costs_a_repeatable_request_one_attempt()
	{
		for (const char* status : {"000", "099", "600", "999"})
		{
			tearDown();
			setUp();
			set_routes();
			add_backend("b1").usual = {head(status) + "body", false, false, false};
			add_backend("b2").usual = {head(status) + "body", false, false, false};
			add_backend("b3");
			m_backends[0]->script = {m_backends[0]->usual};
			m_backends[0]->usual = m_backends[2]->usual;
			m_backends[1]->script = {m_backends[1]->usual};
			m_backends[1]->usual = m_backends[2]->usual;
			CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 200U, ask(request("GET", "/read/1", "r1")).result_int());
		}
	}
	void status_that_exists_is_passed_on()
	{
		for (const unsigned status : {200U, 206U, 299U, 302U, 404U, 418U, 500U, 599U})
		{
			CPPUNIT_ASSERT_EQUAL(status, status_after(head(std::to_string(status)) + "body"));
		}
	}
	void name_with_an_odd_byte_anywhere_is_no_answer()
	{
		const std::string name = "Odd-Name";
		for (const char odd : {' ', '\t', '\x01', '\x7f', '\0', '(', '\xe9', '\r', '\n'})
		{
			for (std::size_t at = 0; at <= name.size(); ++at)
			{
				if (0 == at && (' ' == odd || '\t' == odd || '\n' == odd))
				{
					continue; // A folded line, or the end of a line.
				}
				std::string field = name;
				field.insert(at, 1, odd);
				assert_no_answer(head("200", field + ": v\r\n") + "body");
			}
		}
	}
	void value_with_a_control_byte_anywhere_is_no_answer()
	{
		const std::string value = "value";
		for (const char odd : {'\x01', '\x1f', '\x7f', '\0', '\r'})
		{
			for (std::size_t at = 0; at <= value.size(); ++at)
			{
				std::string text = value;
				text.insert(at, 1, odd);
				assert_no_answer(head("200", "Odd-Name: " + text + "\r\n") + "body");
			}
		}
	}
	void odd_field_in_an_interim_answer_or_a_trailer_is_no_answer()
	{
		for (const char* field :
		    {"Odd Name: v", "Odd\tName: v", "Odd\x01Name: v", "Odd-Name : v", "Odd-Name: \x01"})
		{
			const std::string line = std::string(field) + "\r\n";
			assert_no_answer("HTTP/1.1 103 X\r\n" + line + "\r\n" + head("200") + "body");
			assert_no_answer("HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n"
			                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
			                 line + "\r\n");
		}
	}
	void lengths_that_contradict_each_other_are_no_answer()
	{
		assert_no_answer(head("200", "Content-Length: 5\r\n") + "body");
		assert_no_answer(head("200", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n");
	}
	/// Guards against the page of a server before a broken application, taken for the success of an order
	/// (review/7).
	void success_without_a_signature_is_no_answer()
	{
		for (const char* status : {"200", "201", "206"})
		{
			const std::string start =
			    "HTTP/1.1 " + std::string(status) + " OK\r\nLarkrack-Request-Id: {id}\r\n";
			assert_no_answer(start + "Content-Length: 4\r\n\r\npage");
			assert_no_answer(start + "Connection: close\r\nContent-Length: 4\r\n\r\npage");
		}
		CPPUNIT_ASSERT_EQUAL(404U,
		    status_after("HTTP/1.1 404 X\r\nLarkrack-Request-Id: {id}\r\nContent-Length: 4\r\n\r\npage"));
	}
	/// Guards against the same page behind something that looks like a signature.
	void success_with_an_odd_signature_is_no_answer()
	{
		const std::string id = "Larkrack-Request-Id: {id}\r\n";
		const std::string start = "HTTP/1.1 200 OK\r\n" + id;
		const std::string end = "Content-Length: 4\r\n\r\npage";
		for (const char* odd : {"Larkrack-Signature:\r\n", "Larkrack-Signature: \t \r\n",
		         "Larkrack-Signature: s\r\nLarkrack-Signature: t\r\n",
		         "Larkrack-Signature: s\r\nlarkrack-signature: s\r\n"})
		{
			assert_no_answer(start + odd + end);
		}
		assert_no_answer("HTTP/1.1 103 X\r\n" + id + "Larkrack-Signature: s\r\n\r\n" + start + end);
		assert_no_answer(
		    start + "Transfer-Encoding: chunked\r\n\r\n4\r\npage\r\n0\r\nLarkrack-Signature: s\r\n\r\n");
	}
	void result_of_a_relay_with_an_odd_head_is_refused()
	{
		const auto decoded = [](unsigned _status, const std::string& _name, const std::string& _value)
		{
			relay_result message;
			message.result.end = exchange_outcome::answered;
			message.result.response.emplace(http::status::ok, 11);
			message.result.response->result(_status);
			message.result.response->insert(_name, _value);
			result<relay_result> read = decode_relay_result(encode(message));
			return nullptr != value_of(read);
		};
		CPPUNIT_ASSERT(decoded(200, "Name", "a value\twith a tab"));
		for (const unsigned status : {0U, 99U, 100U, 600U, 999U})
		{
			CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !decoded(status, "Name", "v"));
		}
		for (const char* name : {"Odd Name", "Odd\tName", "Odd\x01Name", "Odd:Name", "Odd\r\nName"})
		{
			CPPUNIT_ASSERT_MESSAGE(name, !decoded(200, name, "v"));
		}
		for (const char* value : {"a\r\nb", "a\x01", "a\x7f"})
		{
			CPPUNIT_ASSERT_MESSAGE(value, !decoded(200, "Name", value));
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_form_test);
} // namespace larkrack
