// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Messages between a node and its relay, byte by byte, and what is refused of them.

#include "entry_node/relay_messages_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace larkrack
{
namespace
{
const std::string k_id_header = "Larkrack-Request-Id";

relay_request sample_request()
{
	relay_request message;
	message.backend = backend_id("b1");
	message.started_ms = 7;
	upstream_request& request = message.request;
	request.request_id = "r1";
	request.time_left = std::chrono::milliseconds(900);
	request.at_most_once = true;
	request.fingerprint = {1, 2, 3};
	request.before = "POST /pay/1 HTTP/1.1\r\nHost: a\r\nLarkrack-Request-Id: r1\r\nLarkrack-Deadline-Ms: ";
	request.after = "\r\nContent-Length: 2\r\n\r\nok";
	return message;
}

relay_result sample_result()
{
	relay_result message;
	message.result.end = exchange_outcome::answered;
	message.taken = std::chrono::microseconds(1500);
	caller_response response(http::status::created, 11);
	response.set("Larkrack-Signature", "s");
	response.body() = std::string("\0\xff", 2);
	message.result.response = std::move(response);
	return message;
}

std::string hex(const std::string& _bytes)
{
	static const char* const s_digits = "0123456789abcdef";
	std::string text;
	for (const unsigned char byte : _bytes)
	{
		text += s_digits[byte >> 4U];
		text += s_digits[byte & 15U];
	}
	return text;
}
} // namespace

class relay_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(relay_form_test);
	CPPUNIT_TEST(path_messages_have_these_bytes);
	CPPUNIT_TEST(request_has_these_bytes);
	CPPUNIT_TEST(result_has_these_bytes);
	CPPUNIT_TEST(request_is_read_as_written);
	CPPUNIT_TEST(result_is_read_as_written);
	CPPUNIT_TEST(anything_but_one_whole_request_is_refused);
	CPPUNIT_TEST(message_of_another_layout_is_refused);
	CPPUNIT_TEST(damaged_messages_are_refused_or_read_without_fault);
	CPPUNIT_TEST_SUITE_END();

protected:
	void path_messages_have_these_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("8218cb82616161 62").erase(14, 1),
		    hex(encode_path_query({domain_name("a"), domain_name("b")})));
		const path_report report{
		    {domain_name("a"), {std::chrono::milliseconds(3), std::chrono::milliseconds(500)}}};
		CPPUNIT_ASSERT_EQUAL(std::string("8218cc836161031901f4"), hex(encode(report)));
		result<path_report> read = decode_path_report(encode(report));
		CPPUNIT_ASSERT(std::chrono::milliseconds(500) == value_of(read)->at(domain_name("a")).response);
	}
	void request_has_these_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(
		    std::string("8b18c9626231076272311903840401020358"), hex(encode(sample_request())).substr(0, 36));
	}
	void result_has_these_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("8618ca006000"
		                                 "1905dc8318c982724c61726b7261636b2d5369676e6174757265417342"
		                                 "00ff"),
		    hex(encode(sample_result())));
	}
	void request_is_read_as_written()
	{
		result<relay_request> decoded = decode_relay_request(encode(sample_request()), k_id_header);
		const relay_request* read = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != read);
		CPPUNIT_ASSERT_EQUAL(std::string("b1"), read->backend.text);
		CPPUNIT_ASSERT(read->request.relayed && read->request.at_most_once && !read->request.head);
		CPPUNIT_ASSERT_EQUAL(sample_request().request.after, read->request.after);
		CPPUNIT_ASSERT(sample_request().request.fingerprint == read->request.fingerprint);
		CPPUNIT_ASSERT_EQUAL(std::string("POST /pay/1 HTTP/1.1\r\nHost: a\r\nLarkrack-Request-Id: r1\r\n"
		                                 "Larkrack-Deadline-Ms: 1\r\nContent-Length: 2\r\n\r\nok"),
		    bytes_of_request(read->request, std::chrono::milliseconds(-5)));
	}
	void result_is_read_as_written()
	{
		result<relay_result> decoded = decode_relay_result(encode(sample_result()));
		const relay_result* read = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != read);
		CPPUNIT_ASSERT_EQUAL(201U, read->result.response->result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("\0\xff", 2), read->result.response->body());
		CPPUNIT_ASSERT((*read->result.response)["Larkrack-Signature"] == "s");
		CPPUNIT_ASSERT(std::chrono::microseconds(1500) == read->taken);
	}
	/// Guards against a second request that is smuggled behind the relayed one.
	void anything_but_one_whole_request_is_refused()
	{
		const auto refused = [](const std::string& _before, const std::string& _after)
		{
			relay_request message = sample_request();
			message.request.before = _before.empty() ? message.request.before : _before;
			message.request.after = _after.empty() ? message.request.after : _after;
			result<relay_request> decoded = decode_relay_request(encode(message), k_id_header);
			return nullptr == value_of(decoded);
		};
		const relay_request whole = sample_request();
		CPPUNIT_ASSERT(!refused("", ""));
		CPPUNIT_ASSERT(refused("", whole.request.after + "GET / HTTP/1.1\r\n\r\n"));
		CPPUNIT_ASSERT(refused("", "\r\nContent-Length: 3\r\n\r\nok"));
		CPPUNIT_ASSERT(refused("", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
		CPPUNIT_ASSERT(refused("", "\r\n"));
		CPPUNIT_ASSERT(refused("GET / HTTP/1.1\r\nLarkrack-Request-Id: r2\r\nLarkrack-Deadline-Ms: ", ""));
		CPPUNIT_ASSERT(refused("no request ", ""));
	}
	void message_of_another_layout_is_refused()
	{
		std::string bytes = encode(sample_request());
		bytes[2] = static_cast<char>(bytes[2] + 8);
		result<relay_request> decoded = decode_relay_request(bytes, k_id_header);
		CPPUNIT_ASSERT(nullptr == value_of(decoded));
	}
	void damaged_messages_are_refused_or_read_without_fault()
	{
		CPPUNIT_ASSERT(rc::check("damaged messages",
		    [](std::uint16_t _at, std::uint8_t _byte, std::uint16_t _length)
		    {
			    for (std::string bytes : {encode(sample_request()), encode(sample_result()),
			             encode_path_query({domain_name("a")}), encode(path_report{{domain_name("a"), {}}})})
			    {
				    bytes[_at % bytes.size()] = static_cast<char>(_byte);
				    bytes.resize(0 == _length % 3 ? _length % bytes.size() : bytes.size());
				    decode_relay_request(bytes, k_id_header);
				    decode_relay_result(bytes);
				    decode_path_query(bytes);
				    decode_path_report(bytes);
			    }
		    }));
		CPPUNIT_ASSERT(rc::check("random bytes",
		    [](const std::string& _bytes)
		    {
			    decode_relay_request(_bytes, k_id_header);
			    decode_relay_result(_bytes);
			    decode_path_query(_bytes);
			    decode_path_report(_bytes);
		    }));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_form_test);
} // namespace larkrack
