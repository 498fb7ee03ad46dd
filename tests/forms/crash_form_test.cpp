// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the datagrams by which nodes report requests that crash backend servers.

#include "fixtures.h"
#include "forms/golden.h"

#include "entry_node/crash_messages_p.h"

namespace larkrack
{
class crash_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(crash_form_test);
	CPPUNIT_TEST(messages_have_the_known_bytes);
	CPPUNIT_TEST(messages_are_read_back);
	CPPUNIT_TEST(bytes_invalid_are_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static constexpr request_fingerprint k_request{1, 2, 3};

	static result<crash_message> decode(const std::string& _hex)
	{
		const std::vector<std::uint8_t> bytes = from_hex(_hex);
		return decode_crash_message(bytes.data(), bytes.size());
	}

	template <typename Message>
	static Message read_back(const Message& _message)
	{
		const std::vector<std::uint8_t> bytes = encode(_message);
		CPPUNIT_ASSERT(is_crash_message(bytes.data(), bytes.size()));
		const result<crash_message> decoded = decode_crash_message(bytes.data(), bytes.size());
		const auto& same = std::get<Message>(std::get<crash_message>(decoded));
		return same;
	}

	void messages_have_the_known_bytes()
	{
		const auto hex = [](const crash_message& _message)
		{
			return to_hex(encode(_message));
		};
		CPPUNIT_ASSERT_EQUAL(std::string("88186d0102030901"
		                                 "0000"),
		    hex(crash_report{k_request, 9, true}));
		CPPUNIT_ASSERT_EQUAL(std::string("88186e01020300000000"), hex(success_report{k_request}));
		CPPUNIT_ASSERT_EQUAL(
		    std::string("88186f01020303040107"), hex(block_update{{k_request, true, 4, 1, 7}, true}));
		CPPUNIT_ASSERT_EQUAL(std::string("88187001020307000000"), hex(trial_request{k_request, 7}));
		CPPUNIT_ASSERT_EQUAL(std::string("88187101020301000000"), hex(trial_response{k_request, true}));
		CPPUNIT_ASSERT_EQUAL(std::string("88187201020300000000"), hex(trial_unused{k_request}));
	}

	void messages_are_read_back()
	{
		const crash_report crash = read_back(crash_report{k_request, 9, true});
		CPPUNIT_ASSERT(k_request == crash.request && 1 == crash.request.head && 9 == crash.incarnation &&
		               crash.caller_only);
		const block_update news = read_back(block_update{{k_request, false, 4, 1, 7}, false});
		CPPUNIT_ASSERT(!news.block.blocked && 4 == news.block.number && 1 == news.block.trials);
		CPPUNIT_ASSERT(7 == news.block.versions && !news.forwards_changes);
		CPPUNIT_ASSERT_EQUAL(7U, read_back(trial_request{k_request, 7}).versions);
		CPPUNIT_ASSERT(read_back(trial_response{k_request, true}).granted);
		CPPUNIT_ASSERT(k_request == read_back(success_report{k_request}).request);
		CPPUNIT_ASSERT(k_request == read_back(trial_unused{k_request}).request);
	}

	void bytes_invalid_are_refused()
	{
		for (const char* hex : {"", "88", "8801", "88186c01020300000000", "88187301020300000000",
		         "88186d0102031a0000000001", "88186d01022003000000", "88186d0102031b0000000100000000000000",
		         "87186d010203000000", "88186d0102036161000000", "88186d01020300000000ff"})
		{
			CPPUNIT_ASSERT_MESSAGE(hex, std::holds_alternative<error>(decode(hex)));
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_form_test);
} // namespace larkrack
