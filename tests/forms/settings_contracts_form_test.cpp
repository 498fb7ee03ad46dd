// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins which settings the contracts of a deployment call for.

#include "fixtures.h"

#include "entry_node/entry_settings_p.h"
#include "settings_contracts_p.h"

namespace larkrack
{
class settings_contracts_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(settings_contracts_form_test);
	CPPUNIT_TEST(settings_without_contracts_stay_as_they_are);
	CPPUNIT_TEST(contract_pressure_sets_backend_choice);
	CPPUNIT_TEST(contract_pressure_keeps_values_that_the_settings_name);
	CPPUNIT_TEST(contracts_that_call_for_nothing_are_dropped);
	CPPUNIT_TEST(contracts_that_are_no_list_of_texts_stay_and_are_reported);
	CPPUNIT_TEST_SUITE_END();

protected:
	static std::string applied(const char* _settings)
	{
		return apply_contracts(nlohmann::json::parse(_settings)).dump();
	}

	void settings_without_contracts_stay_as_they_are()
	{
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"name":"n1"})"), applied(R"({"name":"n1"})"));
		CPPUNIT_ASSERT_EQUAL(std::string(R"([1])"), applied(R"([1])"));
	}

	void contract_pressure_sets_backend_choice()
	{
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"overload":{"backend_choice":"completion"}})"),
		    applied(R"({"contracts":["base","pressure"]})"));
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"overload":{"backend_choice":"completion","memory_mb":160}})"),
		    applied(R"({"contracts":["pressure"],"overload":{"memory_mb":160}})"));
	}

	void contract_pressure_keeps_values_that_the_settings_name()
	{
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"overload":{"admission":"priority","backend_choice":"count"}})"),
		    applied(
		        R"({"contracts":["pressure"],"overload":{"admission":"priority","backend_choice":"count"}})"));
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"overload":3})"), // Is refused by the schema.
		    applied(R"({"contracts":["pressure"],"overload":3})"));
	}

	void contracts_that_call_for_nothing_are_dropped()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("{}"), applied(R"({"contracts":[]})"));
		CPPUNIT_ASSERT_EQUAL(std::string("{}"), applied(R"({"contracts":null})"));
		CPPUNIT_ASSERT_EQUAL(
		    std::string(R"({"name":"n1"})"), applied(R"({"contracts":["quotas","unheard of"],"name":"n1"})"));
	}

	void contracts_that_are_no_list_of_texts_stay_and_are_reported()
	{
		for (const char* settings :
		    {R"({"contracts":"pressure"})", R"({"contracts":[1]})", R"({"contracts":{}})"})
		{
			CPPUNIT_ASSERT_EQUAL(std::string(settings), applied(settings));
			const std::vector<unknown_key> unknown = unknown_keys(nlohmann::json::parse(settings));
			CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unknown.size());
			CPPUNIT_ASSERT_EQUAL(std::string("/contracts"), unknown[0].path);
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_contracts_form_test);
} // namespace larkrack
