// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Responses that never end, or are too large: they end as soon as that is known, and their memory is
/// bounded.

#include "entry_fixture.h"

#include "base/cbor_p.h"

namespace larkrack
{
/// Exchange that only notes that it was ended.
struct noted_holder : public memory_holder_base
{
	explicit noted_holder(const memory_ledger_ptr& _ledger) : claim(_ledger, this)
	{
	}
	void set(std::uint64_t _bytes, bool _has_length)
	{
		claim.set(_bytes, _has_length ? memory_use::response : memory_use::growing_response);
	}
	void end_for_memory() override
	{
		ended = true;
	}
	memory_claim claim;
	bool ended = false;
};

class endless_response_test : public entry_fixture
{
	CPPUNIT_TEST_SUITE(endless_response_test);
	CPPUNIT_TEST(interim_responses_without_end_are_given_up_at_once);
	CPPUNIT_TEST(few_interim_responses_are_passed_over);
	CPPUNIT_TEST(chunk_extension_without_end_is_given_up_at_once);
	CPPUNIT_TEST(trailer_without_end_is_given_up_at_once);
	CPPUNIT_TEST(body_beyond_the_bound_is_given_up_at_once);
	CPPUNIT_TEST(stated_length_beyond_all_memory_is_given_up_at_once);
	CPPUNIT_TEST(body_up_to_the_bound_is_passed_on_whole);
	CPPUNIT_TEST(bodies_beyond_the_memory_of_all_end_the_largest_without_length);
	CPPUNIT_TEST(body_of_a_stated_length_is_held_by_a_small_node);
	CPPUNIT_TEST(bodies_that_end_leave_no_memory_counted);
	CPPUNIT_TEST(message_of_nodes_nested_without_end_is_no_document);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr std::size_t k_endless_bytes = 4U << 20U;

	static std::string head(const std::string& _framing)
	{
		return "HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n" + _framing + "\r\n";
	}
	static std::string chunked()
	{
		return head("Transfer-Encoding: chunked\r\n");
	}
	static std::string repeated(const std::string& _text, std::size_t _bytes)
	{
		std::string all;
		while (all.size() < _bytes)
		{
			all += _text;
		}
		return all;
	}
	/// Sends an order to a backend server that gives these bytes and then keeps the connection open.
	caller_response order(const std::string& _bytes)
	{
		if (m_backends.empty())
		{
			set_routes();
			add_backend("b1");
		}
		m_backends.front()->usual = {_bytes, false, false, false};
		return ask(request("POST", "/pay/1", "o" + std::to_string(++m_orders), "", "x"));
	}
	/// Asserts that such an order gets 502 long before its deadline of 1.5 s.
	void assert_given_up(const std::string& _bytes)
	{
		const steady_time begin = m_clock.steady();
		CPPUNIT_ASSERT_EQUAL(502U, order(_bytes).result_int());
		CPPUNIT_ASSERT(m_clock.steady() - begin < std::chrono::milliseconds(700));
	}

	/// Guards against callers that wait until their deadline for a response that can't come any more.
	void interim_responses_without_end_are_given_up_at_once()
	{
		assert_given_up(repeated("HTTP/1.1 100 X\r\n\r\n", k_endless_bytes));
		assert_given_up(repeated("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", k_endless_bytes));
	}
	void few_interim_responses_are_passed_over()
	{
		const std::string few = repeated("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", 200);
		const caller_response response = order(few + scripted_backend::answer("fine"));
		CPPUNIT_ASSERT_EQUAL(200U, response.result_int());
		CPPUNIT_ASSERT_EQUAL(std::string("fine"), std::string(response.body()));
	}
	void chunk_extension_without_end_is_given_up_at_once()
	{
		assert_given_up(chunked() + "5;a=" + repeated("a", k_endless_bytes));
	}
	void trailer_without_end_is_given_up_at_once()
	{
		assert_given_up(chunked() + "5\r\nhello\r\n0\r\n" + repeated("A: b\r\n", k_endless_bytes));
	}
	void body_beyond_the_bound_is_given_up_at_once()
	{
		m_exchanges->memory()->set_limits(1, std::nullopt);
		assert_given_up(chunked() + repeated("1000\r\n" + std::string(4096, 'x') + "\r\n", k_endless_bytes));
		assert_given_up(head("") + std::string(k_endless_bytes, 'x'));
		assert_given_up(head("Content-Length: 2000000\r\n"));
	}
	/// Guards against a process that ends since it reserves the length that a faulty backend server states.
	void stated_length_beyond_all_memory_is_given_up_at_once()
	{
		for (const char* length : {"67108865", "1152921504606846976", "9223372036854775807"})
		{
			assert_given_up(head("Content-Length: " + std::string(length) + "\r\n") + std::string(100, 'x'));
		}
	}
	/// Guards against a process that ends since a message of another one uses up its stack.
	void message_of_nodes_nested_without_end_is_no_document()
	{
		const auto parsed = [](const std::string& _opening, std::size_t _depth)
		{
			const std::string bytes = repeated(_opening, _depth * _opening.size()) + '\0';
			return !parse_cbor(bytes.begin(), bytes.end()).is_discarded();
		};
		for (const std::string& opening : {std::string("\x81"), std::string("\x82\x61z", 3)})
		{
			CPPUNIT_ASSERT(parsed(opening, k_max_cbor_depth));
			CPPUNIT_ASSERT(!parsed(opening, k_max_cbor_depth + 1));
			CPPUNIT_ASSERT(!parsed(opening, k_endless_bytes));
		}
		CPPUNIT_ASSERT(parsed(std::string("\xa1\x61z", 3), k_max_cbor_depth));
		CPPUNIT_ASSERT(!parsed(std::string("\xa1\x61z", 3), k_endless_bytes));
		CPPUNIT_ASSERT(!parsed("\x9f", k_endless_bytes));
		// Many items beside each other are not deep.
		const std::string flat("\x98\x40" + std::string(64, '\x80'));
		CPPUNIT_ASSERT(parse_cbor(flat.begin(), flat.end()).is_array());
	}
	void body_up_to_the_bound_is_passed_on_whole()
	{
		m_exchanges->memory()->set_limits(1, std::nullopt);
		const std::string body(1U << 20U, 'x');
		const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
		CPPUNIT_ASSERT(body == std::string(order(head(length) + body).body()));
		CPPUNIT_ASSERT(body == std::string(order(chunked() + "100000\r\n" + body + "\r\n0\r\n\r\n").body()));
	}

	/// Guards the memory of the process under many such responses at once.
	void bodies_beyond_the_memory_of_all_end_the_largest_without_length()
	{
		const auto memory = std::make_shared<memory_ledger>();
		memory->set_limits(64, 100); // 65 MB for all of them, 26 MB for those without a length.
		noted_holder large(memory);
		noted_holder endless(memory);
		noted_holder small(memory);
		large.set(45U << 20U, true);
		small.set(1U << 20U, false);
		endless.set(13U << 20U, false);
		CPPUNIT_ASSERT(!large.ended && !endless.ended && !small.ended);
		endless.set(26U << 20U, false);
		CPPUNIT_ASSERT(endless.ended && !large.ended && !small.ended);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{46U << 20U}, memory->held());
		small.set(21U << 20U, false);
		CPPUNIT_ASSERT(small.ended && !large.ended);
		endless.set(27U << 20U, false);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{45U << 20U}, memory->held());
	}
	void body_of_a_stated_length_is_held_by_a_small_node()
	{
		const auto memory = std::make_shared<memory_ledger>();
		memory->set_limits(64, 112);
		noted_holder large(memory);
		noted_holder other(memory);
		large.set(64U << 20U, true);
		CPPUNIT_ASSERT(!large.ended);
		other.set(10U << 20U, true);
		CPPUNIT_ASSERT(large.ended && !other.ended);
	}
	void bodies_that_end_leave_no_memory_counted()
	{
		const std::string body(200000, 'x');
		order(head("Content-Length: 200000\r\n") + body);
		order(chunked() + "30d40\r\n" + body + "\r\n0\r\n\r\n");
		m_exchanges->memory()->set_limits(1, std::nullopt);
		assert_given_up(chunked() + "200000\r\n" + std::string(2U << 20U, 'x'));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_exchanges->memory()->held());
	}

	int m_orders = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);
} // namespace larkrack
