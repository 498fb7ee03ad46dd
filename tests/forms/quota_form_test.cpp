// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the datagrams by which nodes borrow and lend tokens of customers.

#include "fixtures.h"
#include "forms/golden.h"

#include "entry_node/quota_messages_p.h"

namespace larkrack
{
class quota_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(quota_form_test);
	CPPUNIT_TEST(request_has_the_known_bytes);
	CPPUNIT_TEST(grant_has_the_known_bytes);
	CPPUNIT_TEST(bytes_of_other_datagrams_are_distinguished);
	CPPUNIT_TEST(message_invalid_is_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static result<quota_message> decode(const std::string& _hex)
	{
		const std::vector<std::uint8_t> bytes = from_hex(_hex);
		return decode_quota_message(bytes.data(), bytes.size());
	}

	void request_has_the_known_bytes()
	{
		const std::string known = "8418651b0102030405060708190101"
		                          "01";
		CPPUNIT_ASSERT_EQUAL(
		    known, to_hex(encode(quota_request{0x0102030405060708ULL, 257, lender_rank::backup})));
		result<quota_message> decoded = decode(known);
		const auto& request = std::get<quota_request>(*value_of(decoded));
		CPPUNIT_ASSERT(0x0102030405060708ULL == request.customer && 257 == request.wanted);
		CPPUNIT_ASSERT(lender_rank::backup == request.rank);
	}

	void grant_has_the_known_bytes()
	{
		const std::string known = "841866070019012c";
		CPPUNIT_ASSERT_EQUAL(known, to_hex(encode(quota_grant{7, 0, std::chrono::milliseconds(300)})));
		result<quota_message> decoded = decode(known);
		const auto& grant = std::get<quota_grant>(*value_of(decoded));
		CPPUNIT_ASSERT(7 == grant.customer && 0 == grant.granted && 300 == grant.wait.count());
	}

	void bytes_of_other_datagrams_are_distinguished()
	{
		const std::vector<std::uint8_t> heartbeat = from_hex("920560000060606060000000a080a080f52080");
		const std::vector<std::uint8_t> changes = from_hex("86186600f4008080");
		CPPUNIT_ASSERT(!is_quota_message(heartbeat.data(), heartbeat.size()));
		CPPUNIT_ASSERT(!is_quota_message(changes.data(), changes.size()));
		CPPUNIT_ASSERT(!is_quota_message(heartbeat.data(), 0));
		const std::vector<std::uint8_t> grant = encode(quota_grant{});
		CPPUNIT_ASSERT(is_quota_message(grant.data(), grant.size()));
	}

	void message_invalid_is_refused()
	{
		const char* const invalid[] = {
		    "", // Empty.
		    "8418670700"
		    "00", // Another layout.
		    "8418650700"
		    "00", // Zero tokens wanted.
		    "8418650701"
		    "02", // An unknown lender rank.
		    "841865071a00010000"
		    "00", // More tokens than the field holds.
		    "8418660700"
		    "20", // A negative wait.
		    "8418660700"
		    "1a00010000", // A wait of more than a minute.
		    "8418660700"
		    "f5",         // Not a number.
		    "8418660700", // Truncated.
		    "8518660700"
		    "0000", // One field too many.
		};
		for (const char* hex : invalid)
		{
			CPPUNIT_ASSERT_MESSAGE(hex, std::holds_alternative<error>(decode(hex)));
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_form_test);
} // namespace larkrack
