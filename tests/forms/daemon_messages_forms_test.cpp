// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the messages that larkrackd processes send to each other over websockets.

#include "daemon_forms.h"

#include "larkrackd/message_p.h"

namespace larkrack
{
namespace
{
const char* const k_heartbeat =
    "a36165818966656173742d3166656173742d611b00060a24181e40011a000111700c1bfedcba987654321000a1647368"
    "6f708505040319012c01a16473686f7083190fa0190bb8190bb8616666656173742d316174626862";
const char* const k_heartbeat_leaving =
    "a36165818966776573742d3166776573742d610100000003a0a0616666656173742d316174626862";
const char* const k_get_config = "a3616666656173742d3164686176651902016174626763";
const char* const k_config =
    "a66462617365066364656c816b736974652f656173742d62616666656173742d31637265760763736574a16b72656769"
    "6f6e2f6561737483717b226d61785f7368617265223a302e397d0769656173742d312d343261746163";
const char* const k_get_records =
    "a3616666656173742d316468617665a2716f776e65722f656173742d612f73686f700369737465702f73686f7019012c"
    "6174626772";
const char* const k_records =
    "a3616666656173742d316172818369737465702f73686f70697b22736571223a397d0961746172";

member_entry full_entry()
{
	member_entry entry;
	entry.vm = "east-1";
	entry.domain = "east-a";
	entry.life = {1700000000000001};
	entry.sequence = 70000;
	entry.rev = {12};
	entry.records_digest = 0xfedcba9876543210;
	entry.loads["shop"].usable = 5;
	entry.loads["shop"].running = 4;
	entry.loads["shop"].queued = 3;
	entry.loads["shop"].slots = 300;
	entry.loads["shop"].cold = 1;
	entry.in_force["shop"] = {4000, 3000, 3000};
	return entry;
}

member_entry leaving_entry()
{
	member_entry entry;
	entry.vm = "west-1";
	entry.domain = "west-a";
	entry.life = {1};
	entry.leaving = true;
	entry.left = true;
	return entry;
}

template <typename Body>
Body decoded(const char* _hex)
{
	result<envelope> read = decode(bytes_from_hex(_hex));
	const envelope* whole = value_of(read);
	CPPUNIT_ASSERT(nullptr != whole);
	CPPUNIT_ASSERT_EQUAL(std::string("east-1"), whole->from);
	CPPUNIT_ASSERT(std::holds_alternative<Body>(whole->body));
	return std::get<Body>(whole->body);
}
} // namespace

class daemon_messages_forms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(daemon_messages_forms_test);
	CPPUNIT_TEST(heartbeat_encoded_has_its_bytes);
	CPPUNIT_TEST(heartbeat_bytes_decoded_fill_every_field);
	CPPUNIT_TEST(heartbeat_when_sender_leaves_has_its_flags);
	CPPUNIT_TEST(heartbeat_bytes_of_leaving_sender_decoded_have_its_flags);
	CPPUNIT_TEST(get_config_encoded_and_decoded_keeps_its_bytes);
	CPPUNIT_TEST(config_encoded_has_its_bytes);
	CPPUNIT_TEST(config_bytes_decoded_fill_every_field);
	CPPUNIT_TEST(get_records_encoded_and_decoded_keeps_its_bytes);
	CPPUNIT_TEST(records_encoded_and_decoded_keep_their_bytes);
	CPPUNIT_TEST(bytes_of_no_message_are_refused);
	CPPUNIT_TEST_SUITE_END();

public:
	void heartbeat_encoded_has_its_bytes()
	{
		assert_same_text(k_heartbeat, bytes_to_hex(encode({"east-1", message_heartbeat{{full_entry()}}})));
	}

	void heartbeat_bytes_decoded_fill_every_field()
	{
		const auto body = decoded<message_heartbeat>(k_heartbeat);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, body.entries.size());
		const member_entry& entry = body.entries.front();
		CPPUNIT_ASSERT_EQUAL(std::string("east-1"), entry.vm);
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), entry.domain);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000001}, entry.life.value);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{70000}, entry.sequence);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, entry.rev.value);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xfedcba9876543210}, entry.records_digest);
		CPPUNIT_ASSERT(!entry.leaving && !entry.left);
		const service_headroom& load = entry.loads.at("shop");
		CPPUNIT_ASSERT_EQUAL(5, load.usable);
		CPPUNIT_ASSERT_EQUAL(4, load.running);
		CPPUNIT_ASSERT_EQUAL(3, load.queued);
		CPPUNIT_ASSERT_EQUAL(300, load.slots);
		CPPUNIT_ASSERT_EQUAL(1, load.cold);
		CPPUNIT_ASSERT((std::vector<int>{4000, 3000, 3000}) == entry.in_force.at("shop"));
	}

	void heartbeat_when_sender_leaves_has_its_flags()
	{
		assert_same_text(
		    k_heartbeat_leaving, bytes_to_hex(encode({"east-1", message_heartbeat{{leaving_entry()}}})));
	}

	void heartbeat_bytes_of_leaving_sender_decoded_have_its_flags()
	{
		const auto body = decoded<message_heartbeat>(k_heartbeat_leaving);
		CPPUNIT_ASSERT(body.entries.front().leaving && body.entries.front().left);
	}

	void get_config_encoded_and_decoded_keeps_its_bytes()
	{
		assert_same_text(k_get_config, bytes_to_hex(encode({"east-1", message_get_config{{513}}})));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{513}, decoded<message_get_config>(k_get_config).have.value);
	}

	void config_encoded_has_its_bytes()
	{
		message_config body;
		body.base = {6};
		body.rev = {7};
		body.changed["region/east"] = {R"({"max_share":0.9})", {7}, "east-1-42"};
		body.removed = {"site/east-b"};
		assert_same_text(k_config, bytes_to_hex(encode({"east-1", body})));
	}

	void config_bytes_decoded_fill_every_field()
	{
		const auto body = decoded<message_config>(k_config);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, body.base.value);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, body.rev.value);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, body.changed.size());
		const resource_value& value = body.changed.at("region/east");
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"max_share":0.9})"), value.spec);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, value.rev.value);
		CPPUNIT_ASSERT_EQUAL(std::string("east-1-42"), value.by);
		CPPUNIT_ASSERT((std::vector<std::string>{"site/east-b"}) == body.removed);
	}

	void get_records_encoded_and_decoded_keeps_its_bytes()
	{
		const std::map<std::string, std::uint64_t> have = {{"owner/east-a/shop", 3}, {"step/shop", 300}};
		assert_same_text(k_get_records, bytes_to_hex(encode({"east-1", message_get_records{have}})));
		CPPUNIT_ASSERT(have == decoded<message_get_records>(k_get_records).have);
	}

	void records_encoded_and_decoded_keep_their_bytes()
	{
		assert_same_text(
		    k_records, bytes_to_hex(encode({"east-1", message_records{{{"step/shop", R"({"seq":9})", 9}}}})));
		const auto body = decoded<message_records>(k_records);
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, body.records.size());
		CPPUNIT_ASSERT_EQUAL(std::string("step/shop"), body.records.front().key);
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"seq":9})"), body.records.front().value);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, body.records.front().sequence);
	}

	void bytes_of_no_message_are_refused()
	{
		const result<envelope> read = decode("not CBOR");
		CPPUNIT_ASSERT(std::holds_alternative<error>(read));
		CPPUNIT_ASSERT_EQUAL(std::string("bad_message"), std::get<error>(read).code);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_messages_forms_test);
} // namespace larkrack
