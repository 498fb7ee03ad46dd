// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Customer directory: lookup of API keys, rejection of invalid configurations, and home regions.

#include "fixtures.h"

#include "steering/customer_p.h"

#include <cmath>
#include <limits>
#include <type_traits>

namespace larkrack
{
namespace
{
template <typename Thing, typename = void>
struct is_streamable : std::false_type
{
};
template <typename Thing>
struct is_streamable<Thing,
    std::void_t<decltype(std::declval<std::ostream&>() << std::declval<const Thing&>())>> : std::true_type
{
};
static_assert(!is_streamable<api_key>::value, "a key must not get into a text by mistake");
static_assert(is_streamable<std::string>::value, "the check above would pass for any type");
} // namespace

class steering_customer_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_customer_test);
	CPPUNIT_TEST(directory_default_requires_no_keys);
	CPPUNIT_TEST(directory_without_any_customer_requires_keys_and_finds_none);
	CPPUNIT_TEST(key_of_each_customer_is_found);
	CPPUNIT_TEST(key_that_is_similar_is_not_found);
	CPPUNIT_TEST(key_many_customers_each_is_found);
	CPPUNIT_TEST(key_of_two_customers_is_rejected_without_printing_it);
	CPPUNIT_TEST(key_listed_twice_by_one_customer_is_accepted);
	CPPUNIT_TEST(customer_listed_twice_is_rejected);
	CPPUNIT_TEST(customer_with_an_empty_key_is_rejected);
	CPPUNIT_TEST(customer_with_an_impossible_limit_is_rejected);
	CPPUNIT_TEST(home_regions_of_route_and_customer_are_intersected);
	CPPUNIT_TEST_SUITE_END();

protected:
	static customer_entry entry(const std::string& _name, const std::vector<std::string>& _keys)
	{
		customer_entry one;
		one.who.name = customer_name(_name);
		for (const std::string& key : _keys)
		{
			one.keys.emplace_back(key);
		}
		return one;
	}

	static customer_directory built(std::vector<customer_entry> _entries)
	{
		result<customer_directory> directory = customer_directory::build(std::move(_entries));
		CPPUNIT_ASSERT(nullptr != value_of(directory));
		return std::move(*value_of(directory));
	}

	static std::string rejection(std::vector<customer_entry> _entries)
	{
		const result<customer_directory> directory = customer_directory::build(std::move(_entries));
		const error* rejected = std::get_if<error>(&directory);
		CPPUNIT_ASSERT(nullptr != rejected);
		return rejected->message;
	}

	void directory_default_requires_no_keys()
	{
		const customer_directory none;
		CPPUNIT_ASSERT(!none.in_force());
		CPPUNIT_ASSERT(nullptr == none.find("k1"));
		CPPUNIT_ASSERT(nullptr == none.find_by_id(1));
	}

	void directory_without_any_customer_requires_keys_and_finds_none()
	{
		const customer_directory none = built({});
		CPPUNIT_ASSERT(none.in_force());
		CPPUNIT_ASSERT(nullptr == none.find("k1"));
	}

	void key_of_each_customer_is_found()
	{
		const customer_directory two = built({entry("shop", {"k1", "k2"}), entry("farm", {"k3"})});
		CPPUNIT_ASSERT_EQUAL(std::string("shop"), two.find("k1")->name.text);
		CPPUNIT_ASSERT_EQUAL(std::string("shop"), two.find("k2")->name.text);
		CPPUNIT_ASSERT_EQUAL(std::string("farm"), two.find("k3")->name.text);
		CPPUNIT_ASSERT(two.find("k3") == two.find_by_id(customer_id("farm")));
		CPPUNIT_ASSERT(nullptr == two.find_by_id(customer_id("mill")));
	}

	void key_that_is_similar_is_not_found()
	{
		const customer_directory one = built({entry("shop", {"key-1"})});
		for (const char* text : {"", "key-", "key-2", "key-11", "KEY-1", " key-1", "key-1 "})
		{
			CPPUNIT_ASSERT(nullptr == one.find(text));
		}
		CPPUNIT_ASSERT(nullptr == one.find(std::string("key-1\0", 6)));
		CPPUNIT_ASSERT(nullptr == one.find(std::string(16384, '\xff')));
	}

	void key_many_customers_each_is_found()
	{
		constexpr int k_customers = 20000;
		std::vector<customer_entry> entries;
		for (int i = 0; i < k_customers; ++i)
		{
			const std::string name = "c" + std::to_string(i);
			entries.push_back(entry(name, {name + "-a", name + "-b"}));
		}
		const customer_directory many = built(std::move(entries));
		for (int i = 0; i < k_customers; ++i)
		{
			const std::string name = "c" + std::to_string(i);
			CPPUNIT_ASSERT_EQUAL(name, many.find(name + "-a")->name.text);
			CPPUNIT_ASSERT_EQUAL(name, many.find(name + "-b")->name.text);
			CPPUNIT_ASSERT(nullptr == many.find(name));
		}
	}

	void key_of_two_customers_is_rejected_without_printing_it()
	{
		const std::string why = rejection({entry("shop", {"hidden"}), entry("farm", {"hidden"})});
		CPPUNIT_ASSERT(std::string::npos != why.find("holds a key of another customer"));
		CPPUNIT_ASSERT(std::string::npos == why.find("hidden"));
	}

	void key_listed_twice_by_one_customer_is_accepted()
	{
		CPPUNIT_ASSERT(nullptr != built({entry("shop", {"k1", "k1"})}).find("k1"));
	}

	void customer_listed_twice_is_rejected()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("customer shop is named twice"),
		    rejection({entry("shop", {"k1"}), entry("shop", {"k2"})}));
	}

	void customer_with_an_empty_key_is_rejected()
	{
		CPPUNIT_ASSERT_EQUAL(
		    std::string("customer shop has an empty key at place 2"), rejection({entry("shop", {"k1", ""})}));
		CPPUNIT_ASSERT_EQUAL(std::string("customer  has no name"), rejection({entry("", {"k1"})}));
		CPPUNIT_ASSERT(std::string::npos != rejection({entry("a\r\nb", {})}).find("control characters"));
	}

	void customer_with_an_impossible_limit_is_rejected()
	{
		for (const double impossible : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 1e12})
		{
			customer_entry rate = entry("shop", {"k1"});
			rate.who.limit.per_s = impossible;
			customer_entry burst = entry("shop", {"k1"});
			burst.who.limit.burst = impossible;
			CPPUNIT_ASSERT_EQUAL(
			    std::string("customer shop has an impossible rate or burst"), rejection({rate}));
			CPPUNIT_ASSERT_EQUAL(
			    std::string("customer shop has an impossible rate or burst"), rejection({burst}));
		}
	}

	void home_regions_of_route_and_customer_are_intersected()
	{
		using names = std::vector<std::string>;
		CPPUNIT_ASSERT(
		    intersect_home_regions({}, {}).regions.empty() && !intersect_home_regions({}, {}).none_left);
		CPPUNIT_ASSERT(names{"east"} == intersect_home_regions({"east"}, {}).regions);
		CPPUNIT_ASSERT(names{"west"} == intersect_home_regions({}, {"west"}).regions);
		CPPUNIT_ASSERT(names{"west"} == intersect_home_regions({"east", "west"}, {"west", "north"}).regions);
		const home_regions apart = intersect_home_regions({"east"}, {"west"});
		CPPUNIT_ASSERT(apart.none_left && apart.regions.empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_customer_test);
} // namespace larkrack
