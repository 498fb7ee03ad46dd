// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the heartbeat datagram, which nodes of different versions exchange.

#include "fixtures.h"
#include "forms/golden.h"

#include "entry_node/heartbeat_p.h"

namespace larkrack
{
class heartbeat_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(heartbeat_form_test);
	CPPUNIT_TEST(heartbeat_full_encoded_has_the_known_bytes);
	CPPUNIT_TEST(heartbeat_empty_encoded_has_the_known_bytes);
	CPPUNIT_TEST(heartbeat_known_bytes_decoded_have_all_fields);
	CPPUNIT_TEST(heartbeat_without_store_answer_decoded_has_no_age);
	CPPUNIT_TEST(heartbeat_of_another_layout_is_refused);
	CPPUNIT_TEST(heartbeat_with_a_field_more_or_less_is_refused);
	CPPUNIT_TEST(heartbeat_cut_short_is_refused);
	CPPUNIT_TEST(heartbeat_that_is_no_array_is_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static const std::string& full_bytes()
	{
		static const std::string s_bytes =
		    "9205626e311b00060a24181e400119012c66656173742d6164656173746831302e302e302e316b31"
		    "302e302e302e313a383002111a00011170a26566696c6573fb3fb999999999999a6473686f70fa41"
		    "480000826831302e302e302e326831302e302e302e33a16473686f70a26465617374fa4100000064"
		    "77657374fa40900000841adeadbeef030700f418fa8207182e";
		return s_bytes;
	}

	static const std::string& empty_bytes()
	{
		static const std::string s_bytes = "920560000060606060000000a080a080f52080";
		return s_bytes;
	}

	static node_heartbeat full()
	{
		node_heartbeat heartbeat;
		heartbeat.node = node_name("n1");
		heartbeat.incarnation = 1700000000000001ULL;
		heartbeat.sequence = 300;
		heartbeat.domain = domain_name("east-a");
		heartbeat.region = region_name("east");
		heartbeat.ip = "10.0.0.1";
		heartbeat.callers = "10.0.0.1:80";
		heartbeat.state = node_state::stopping;
		heartbeat.config_version = 17;
		heartbeat.store_revision = 70000;
		heartbeat.store_reached = false;
		heartbeat.store_answer_age = std::chrono::milliseconds(250);
		heartbeat.requests_per_s = {{service_name("files"), 0.1}, {service_name("shop"), 12.5}};
		heartbeat.sent_per_s = {
		    {service_name("shop"), {{region_name("east"), 8.0}, {region_name("west"), 4.5}}}};
		heartbeat.in_flight = {{0xdeadbeefU, 3}, {7U, 0}};
		heartbeat.known_ips = {"10.0.0.2", "10.0.0.3"};
		heartbeat.neighbours = {{7U, node_state::ready, std::chrono::milliseconds(770)}};
		return heartbeat;
	}

	static result<node_heartbeat> decode(const std::vector<std::uint8_t>& _bytes)
	{
		return decode_heartbeat(_bytes.data(), _bytes.size());
	}

	void heartbeat_full_encoded_has_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(full_bytes(), to_hex(encode(full())));
	}

	void heartbeat_empty_encoded_has_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(empty_bytes(), to_hex(encode(node_heartbeat())));
	}

	void heartbeat_known_bytes_decoded_have_all_fields()
	{
		result<node_heartbeat> decoded = decode(from_hex(full_bytes()));
		const node_heartbeat* heartbeat = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != heartbeat);
		CPPUNIT_ASSERT_EQUAL(std::string("n1"), heartbeat->node.text);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1700000000000001ULL}, heartbeat->incarnation);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, heartbeat->sequence);
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), heartbeat->domain.text);
		CPPUNIT_ASSERT_EQUAL(std::string("east"), heartbeat->region.text);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), heartbeat->ip);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), heartbeat->callers);
		CPPUNIT_ASSERT(node_state::stopping == heartbeat->state);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, heartbeat->config_version);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{70000}, heartbeat->store_revision);
		CPPUNIT_ASSERT(!heartbeat->store_reached);
		CPPUNIT_ASSERT(heartbeat->store_answer_age && 250 == heartbeat->store_answer_age->count());
		CPPUNIT_ASSERT((rate_by_service{{service_name("files"), 0.1}, {service_name("shop"), 12.5}}) ==
		               heartbeat->requests_per_s);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), heartbeat->sent_per_s.size());
		CPPUNIT_ASSERT((rate_by_region{{region_name("east"), 8.0}, {region_name("west"), 4.5}}) ==
		               heartbeat->sent_per_s.at(service_name("shop")));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), heartbeat->in_flight.size());
		CPPUNIT_ASSERT_EQUAL(0xdeadbeefU, heartbeat->in_flight[0].id_hash);
		CPPUNIT_ASSERT_EQUAL(3, heartbeat->in_flight[0].in_flight);
		CPPUNIT_ASSERT_EQUAL(7U, heartbeat->in_flight[1].id_hash);
		CPPUNIT_ASSERT_EQUAL(0, heartbeat->in_flight[1].in_flight);
		CPPUNIT_ASSERT((std::vector<std::string>{"10.0.0.2", "10.0.0.3"}) == heartbeat->known_ips);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), heartbeat->neighbours.size());
		CPPUNIT_ASSERT_EQUAL(7U, heartbeat->neighbours[0].name_hash);
		CPPUNIT_ASSERT(node_state::ready == heartbeat->neighbours[0].state);
		CPPUNIT_ASSERT(std::chrono::milliseconds(750) ==
		               heartbeat->neighbours[0].age); // Ages are sent in steps of 50 ms.
	}

	void heartbeat_without_store_answer_decoded_has_no_age()
	{
		result<node_heartbeat> decoded = decode(from_hex(empty_bytes()));
		const node_heartbeat* heartbeat = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != heartbeat);
		CPPUNIT_ASSERT(!heartbeat->store_answer_age);
		CPPUNIT_ASSERT(heartbeat->store_reached);
		CPPUNIT_ASSERT(node_state::starting == heartbeat->state);
	}

	void heartbeat_of_another_layout_is_refused()
	{
		for (const std::uint8_t layout : {4, 6})
		{
			std::vector<std::uint8_t> bytes = from_hex(full_bytes());
			bytes.at(1) = layout;
			const result<node_heartbeat> decoded = decode(bytes);
			const error* refused = std::get_if<error>(&decoded);
			CPPUNIT_ASSERT(nullptr != refused);
			CPPUNIT_ASSERT_EQUAL(std::string("bad_heartbeat"), refused->code);
		}
	}

	void heartbeat_with_a_field_more_or_less_is_refused()
	{
		std::vector<std::uint8_t> longer = from_hex(empty_bytes());
		longer.at(0) = 0x93; // An array of 19 elements.
		longer.push_back(0);
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode(longer)));
		std::vector<std::uint8_t> shorter = from_hex(empty_bytes());
		shorter.at(0) = 0x91; // An array of 17 elements.
		shorter.pop_back();
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode(shorter)));
	}

	void heartbeat_cut_short_is_refused()
	{
		const std::vector<std::uint8_t> whole = from_hex(full_bytes());
		for (std::size_t length = 0; length < whole.size(); ++length)
		{
			CPPUNIT_ASSERT(std::holds_alternative<error>(decode_heartbeat(whole.data(), length)));
		}
	}

	void heartbeat_that_is_no_array_is_refused()
	{
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode(from_hex("a0"))));
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode(from_hex("04"))));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_form_test);
} // namespace larkrack
