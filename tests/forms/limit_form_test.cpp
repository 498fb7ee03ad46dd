// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the datagrams by which nodes report limits of backend servers and lend tokens of them.

#include "fixtures.h"
#include "forms/golden.h"

#include "entry_node/limit_messages_p.h"

namespace larkrack
{
class limit_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(limit_form_test);
	CPPUNIT_TEST(report_has_the_known_bytes);
	CPPUNIT_TEST(request_has_the_known_bytes);
	CPPUNIT_TEST(grant_has_the_known_bytes);
	CPPUNIT_TEST(bytes_of_other_datagrams_are_distinguished);
	CPPUNIT_TEST(message_invalid_is_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static result<limit_message> decode(const std::string& _hex)
	{
		const std::vector<std::uint8_t> bytes = from_hex(_hex);
		return decode_limit_message(bytes.data(), bytes.size(), k_now);
	}

	void report_has_the_known_bytes()
	{
		const limit_message ended{7, {std::nullopt, k_now - std::chrono::milliseconds(20)}, {}};
		const std::string known = "85186a0700008114";
		CPPUNIT_ASSERT_EQUAL(known, to_hex(encode(ended, k_now)));
		const result<limit_message> decoded = decode(known);
		const auto& message = std::get<limit_message>(decoded);
		CPPUNIT_ASSERT(7 == message.incarnation && !message.report.per_s &&
		               ended.report.report_time == message.report.report_time);
		CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(message.tokens));
	}

	void request_has_the_known_bytes()
	{
		const limit_message message{7, {2.9, k_now}, quota_request{7, 3, lender_rank::backup}};
		const std::string known = "85186b0703018200190b54";
		CPPUNIT_ASSERT_EQUAL(known, to_hex(encode(message, k_now)));
		const result<limit_message> decoded = decode(known);
		const auto& request = std::get<quota_request>(std::get<limit_message>(decoded).tokens);
		CPPUNIT_ASSERT(7 == request.customer && 3 == request.wanted);
		CPPUNIT_ASSERT(lender_rank::backup == request.rank);
		CPPUNIT_ASSERT_EQUAL(2.9, *std::get<limit_message>(decoded).report.per_s);
	}

	void grant_has_the_known_bytes()
	{
		const limit_message lent{7, {5.0, k_now}, quota_grant{7, 0, std::chrono::milliseconds(300)}};
		const std::string known = "85186c070019012c8200191388";
		CPPUNIT_ASSERT_EQUAL(known, to_hex(encode(lent, k_now)));
		const result<limit_message> decoded = decode(known);
		const auto& grant = std::get<quota_grant>(std::get<limit_message>(decoded).tokens);
		CPPUNIT_ASSERT(7 == grant.customer && 0 == grant.granted && 300 == grant.wait.count());
	}

	void bytes_of_other_datagrams_are_distinguished()
	{
		for (const char* other : {"920560000060606060000000a080a080f52080", "86186600f4008080", "8418650701"})
		{
			const std::vector<std::uint8_t> bytes = from_hex(other);
			CPPUNIT_ASSERT(!is_limit_message(bytes.data(), bytes.size()));
		}
		const std::vector<std::uint8_t> bytes = encode(limit_message{}, k_now);
		CPPUNIT_ASSERT(is_limit_message(bytes.data(), bytes.size()));
		CPPUNIT_ASSERT(!is_limit_message(bytes.data(), 0));
	}

	void message_invalid_is_refused()
	{
		const char* const invalid[] = {
		    "",                                   // Empty.
		    "8518690700008114",                   // Another layout.
		    "85186b0700008200190b54",             // Zero tokens wanted.
		    "85186b0703028200190b54",             // An unknown lender rank.
		    "85186a1b00000001000000000000811400", // An incarnation of more than 32 bits.
		    "85186a07000080",                     // No report.
		    "85186a070000820001",                 // A limit below the minimum.
		    "85186a07000082001b000000e8d4a51000", // A limit above the maximum.
		    "85186a0700008120",                   // A negative age.
		    "85186a07000081fa41a00000",           // An age that is no integer.
		    "85186a070000811a000f4240",           // A report of more than ten minutes ago.
		    "85186c070020820019138800",           // A negative wait.
		    "85186a070000",                       // Truncated.
		};
		for (const char* hex : invalid)
		{
			CPPUNIT_ASSERT_MESSAGE(hex, std::holds_alternative<error>(decode(hex)));
		}
	}

	static constexpr steady_time k_now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_form_test);
} // namespace larkrack
