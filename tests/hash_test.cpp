// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of hash_p.h: known values don't change, and rendezvous hashing moves few keys when a name is
/// removed.

#include "fixtures.h"

#include "larkrackd/hash_p.h"
#include "larkrackd/lookup_p.h"

namespace larkrack
{
/// The expected values were computed with the implementation before hash_p.h. A different value would let
/// nodes of different versions decide differently during a deployment.
class hash_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(hash_test);
	CPPUNIT_TEST(weight_of_known_names_is_unchanged);
	CPPUNIT_TEST(hash_of_known_record_is_unchanged);
	CPPUNIT_TEST(point_of_known_caller_is_unchanged);
	CPPUNIT_TEST(names_when_ranked_are_by_weight_and_bounded);
	CPPUNIT_TEST(names_when_one_is_removed_keep_their_order);
	CPPUNIT_TEST_SUITE_END();

public:
	void weight_of_known_names_is_unchanged()
	{
		CPPUNIT_ASSERT_EQUAL(
		    std::uint64_t{5212909207645226862ULL}, rendezvous_weight("navarra-a/cuenta", "edge-1"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{16357401198292624001ULL}, rendezvous_weight("delegate", "edge-2"));
	}

	void hash_of_known_record_is_unchanged()
	{
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{352323326080244491ULL}, hash64("owner/navarra-a/cuenta", 7));
	}

	void point_of_known_caller_is_unchanged()
	{
		const double point = caller_hash_point(boost::asio::ip::make_address("10.1.0.7"), "cuenta");
		CPPUNIT_ASSERT_DOUBLES_EQUAL(0.38777063567405434, point, 1e-16);
	}

	void names_when_ranked_are_by_weight_and_bounded()
	{
		const std::vector<std::string> expected = {"d", "c"};
		CPPUNIT_ASSERT(expected == rendezvous_first("reader", {"a", "b", "c", "d"}, 2));
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rendezvous_first("reader", {"a"}, 2).size());
		CPPUNIT_ASSERT(rendezvous_first("reader", {}, 2).empty());
	}

	void names_when_one_is_removed_keep_their_order()
	{
		const std::vector<std::string> expected = {"d", "a", "b"};
		CPPUNIT_ASSERT(expected == rendezvous_first("reader", {"a", "b", "d"}, 3));
	}
};
CPPUNIT_TEST_SUITE_REGISTRATION(hash_test);
} // namespace larkrack
