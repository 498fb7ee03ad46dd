// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the bytes of the datagrams by which nodes of different versions send changes of the store's keys.

#include "fixtures.h"
#include "forms/golden.h"

#include "entry_node/store_changes_codec_p.h"

namespace larkrack
{
class store_changes_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_changes_form_test);
	CPPUNIT_TEST(changes_encoded_have_the_known_bytes);
	CPPUNIT_TEST(changes_empty_encoded_have_the_known_bytes);
	CPPUNIT_TEST(changes_known_bytes_decoded_have_all_fields);
	CPPUNIT_TEST(changes_of_another_layout_are_refused);
	CPPUNIT_TEST(changes_cut_short_are_refused);
	CPPUNIT_TEST(changes_split_have_the_known_bytes);
	CPPUNIT_TEST(changes_split_with_one_value_too_large_give_no_parts);
	CPPUNIT_TEST_SUITE_END();

protected:
	static const std::string& known_bytes()
	{
		static const std::string s_bytes =
		    "8618661a00011170f51a0001117382836a736572766572732f6231677b2261223a31"
		    "7d1a0001117183696f702f636f6e666967601a0001117382826a736572766572732f"
		    "62321a00011172826a736572766572732f623300";
		return s_bytes;
	}

	static store_changes some()
	{
		store_changes changes;
		changes.after = 70000;
		changes.whole = true;
		changes.batch.puts = {{"servers/b1", "{\"a\":1}", 70001, 99}, {"op/config", "", 70003, 0}};
		changes.batch.deletes = {{"servers/b2", 70002}, {"servers/b3", 0}};
		changes.batch.store_revision = 70003;
		return changes;
	}

	static result<store_changes> decode(const std::vector<std::uint8_t>& _bytes)
	{
		return decode_store_changes(_bytes.data(), _bytes.size());
	}

	void changes_encoded_have_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(known_bytes(), to_hex(encode(some())));
	}

	void changes_empty_encoded_have_the_known_bytes()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("86186600f4008080"), to_hex(encode(store_changes())));
	}

	void changes_known_bytes_decoded_have_all_fields()
	{
		result<store_changes> decoded = decode(from_hex(known_bytes()));
		const store_changes* changes = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != changes);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{70000}, changes->after);
		CPPUNIT_ASSERT(changes->whole);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{70003}, changes->batch.store_revision);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes->batch.puts.size());
		CPPUNIT_ASSERT_EQUAL(std::string("servers/b1"), changes->batch.puts[0].key);
		CPPUNIT_ASSERT_EQUAL(std::string("{\"a\":1}"), changes->batch.puts[0].value);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{70001}, changes->batch.puts[0].mod_revision);
		CPPUNIT_ASSERT_EQUAL(std::string("op/config"), changes->batch.puts[1].key);
		CPPUNIT_ASSERT_EQUAL(std::string(), changes->batch.puts[1].value);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes->batch.deletes.size());
		CPPUNIT_ASSERT_EQUAL(std::string("servers/b2"), changes->batch.deletes[0].key);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{70002}, changes->batch.deletes[0].mod_revision);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, changes->batch.deletes[1].mod_revision);
	}

	void changes_of_another_layout_are_refused()
	{
		std::vector<std::uint8_t> bytes = from_hex(known_bytes());
		bytes.at(2) = 103;
		const result<store_changes> decoded = decode(bytes);
		const error* refused = std::get_if<error>(&decoded);
		CPPUNIT_ASSERT(nullptr != refused);
		CPPUNIT_ASSERT_EQUAL(std::string("bad_changes"), refused->code);
		CPPUNIT_ASSERT(std::holds_alternative<error>(decode(from_hex("80"))));
	}

	void changes_cut_short_are_refused()
	{
		const std::vector<std::uint8_t> whole = from_hex(known_bytes());
		for (std::size_t length = 0; length < whole.size(); ++length)
		{
			CPPUNIT_ASSERT(std::holds_alternative<error>(decode_store_changes(whole.data(), length)));
		}
	}

	void changes_split_have_the_known_bytes()
	{
		store_changes changes;
		changes.after = 4;
		changes.batch.puts = {{"a", std::string(700, 'x'), 7, 0}, {"b", std::string(600, 'y'), 5, 0}};
		changes.batch.deletes = {{"c", 5}, {"d", 0}};
		changes.batch.store_revision = 9;
		const std::vector<store_changes> parts = split_for_datagrams(changes);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), parts.size());
		// A long text is preceded by the byte 79 and two bytes of length.
		CPPUNIT_ASSERT_EQUAL(
		    "86186604f40581836162790258" + repeated("79", 600) + "058182616305", to_hex(encode(parts[0])));
		CPPUNIT_ASSERT_EQUAL("86186605f4098183616179"
		                     "02bc" +
		                         repeated("78", 700) + "078182616400",
		    to_hex(encode(parts[1])));
	}

	static std::string repeated(const std::string& _text, int _times)
	{
		std::string all;
		for (int i = 0; i < _times; ++i)
		{
			all += _text;
		}
		return all;
	}

	void changes_split_with_one_value_too_large_give_no_parts()
	{
		store_changes changes;
		changes.batch.puts = {{"a", std::string(1200, 'x'), 1, 0}};
		CPPUNIT_ASSERT(split_for_datagrams(changes).empty());
		changes.batch.puts = {{"a", std::string(1199, 'x'), 1, 0}};
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), split_for_datagrams(changes).size());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_changes_form_test);
} // namespace larkrack
