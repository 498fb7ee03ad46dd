// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Messages of other nodes that state a size which no message can have.

#include "entry_node/crash_messages_p.h"
#include "entry_node/deflate_p.h"
#include "entry_node/digest_codec_p.h"
#include "entry_node/limit_messages_p.h"
#include "entry_node/quota_messages_p.h"
#include "entry_node/rollout_messages_p.h"
#include "entry_node/store_changes_codec_p.h"

#include <cppunit/extensions/HelperMacros.h>

namespace larkrack
{
namespace
{
/// CBOR head of an array of 2^63 - 1 items.
const std::string k_oversized = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
} // namespace

class oversized_cbor_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(oversized_cbor_form_test);
	CPPUNIT_TEST(oversized_messages_are_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against a datagram that ends the node by an exception of the CBOR reader.
	void oversized_messages_are_refused()
	{
		const std::vector<std::uint8_t> bytes(k_oversized.begin(), k_oversized.end());
		const std::uint8_t* data = bytes.data();
		const steady_time now{};
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode_quota_message(data, bytes.size())));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode_limit_message(data, bytes.size(), now)));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode_crash_message(data, bytes.size())));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode_rollout_report(data, bytes.size())));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode_state_page(bytes, "")));
		const std::string digest(1, static_cast<char>(encode(domain_digest()).front()));
		const std::string packed = digest + deflate_bytes(bytes);
		CPPUNIT_ASSERT(std::holds_alternative<error>(
		    decode_domain_digest(reinterpret_cast<const std::uint8_t*>(packed.data()), packed.size())));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(oversized_cbor_form_test);
} // namespace larkrack
