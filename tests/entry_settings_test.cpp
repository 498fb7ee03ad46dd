// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of entry_settings: validation and error reports; and of entry_log with a blocked reader.

#include "fixtures.h"

#include "entry_node/entry_log_p.h"
#include "entry_node/entry_settings_p.h"

#include <fcntl.h>
#include <unistd.h>

namespace larkrack
{
class entry_settings_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(entry_settings_test);
	CPPUNIT_TEST(settings_valid_are_read);
	CPPUNIT_TEST(settings_backend_choice_is_read_and_defaults_to_reported);
	CPPUNIT_TEST(settings_unknown_backend_choice_names_the_field);
	CPPUNIT_TEST(settings_empty_address_names_the_field);
	CPPUNIT_TEST(settings_all_errors_are_reported_at_once);
	CPPUNIT_TEST(settings_invalid_address_names_the_field);
	CPPUNIT_TEST(settings_unknown_key_suggests_the_nearest);
	CPPUNIT_TEST(settings_overload_is_checked);
	CPPUNIT_TEST(settings_with_contracts_are_read_at_a_reload);
	CPPUNIT_TEST(log_with_blocked_reader_drops_and_counts_without_blocking);
	CPPUNIT_TEST_SUITE_END();

protected:
	static nlohmann::json valid()
	{
		return nlohmann::json::parse(R"({"name": "n1", "region": "east", "domain": "east-a", "ip": "10.0.0.1",
			"listen": {"callers": "10.0.0.1:80", "lookups": ""}, "inner_ports": [7000, 7010],
			"store": "10.0.0.9:90", "seeds": [], "regions": {"east-a": "east"},
			"bounds": {"retry_ratio": 0.2, "retry_slack": 50, "retry_window_s": 10, "max_shift": 0.15,
			"lookup_ttl_max_s": 1, "grace_s": 6}})");
	}

	void settings_valid_are_read()
	{
		const auto parsed = parse_entry_settings(valid());
		const auto* settings = std::get_if<entry_settings>(&parsed);
		CPPUNIT_ASSERT(nullptr != settings);
		CPPUNIT_ASSERT(!settings->lookups);
		CPPUNIT_ASSERT(settings->lookup_ttl == std::chrono::milliseconds(1000));
		CPPUNIT_ASSERT_EQUAL(std::string("east"), settings->region_of.at("east-a"));
	}

	void settings_backend_choice_is_read_and_defaults_to_reported()
	{
		const auto choice_of = [](const nlohmann::json& _overload)
		{
			nlohmann::json document = valid();
			document.update(_overload);
			const auto parsed = parse_entry_settings(document);
			const auto* settings = std::get_if<entry_settings>(&parsed);
			CPPUNIT_ASSERT(nullptr != settings);
			return settings->backend_choice;
		};
		using setting = backend_choice_setting;
		CPPUNIT_ASSERT(setting::reported == choice_of(nlohmann::json::object()));
		CPPUNIT_ASSERT(setting::reported == choice_of({{"overload", nlohmann::json::object()}}));
		CPPUNIT_ASSERT(setting::reported == choice_of({{"overload", {{"backend_choice", "reported"}}}}));
		CPPUNIT_ASSERT(setting::count == choice_of({{"overload", {{"backend_choice", "count"}}}}));
		CPPUNIT_ASSERT(setting::completion == choice_of({{"overload", {{"backend_choice", "completion"}}}}));
	}

	void settings_unknown_backend_choice_names_the_field()
	{
		nlohmann::json document = valid();
		document["overload"]["backend_choice"] = "fastest";
		const auto parsed = parse_entry_settings(document);
		const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed);
		CPPUNIT_ASSERT(nullptr != mistakes && 1 == mistakes->size());
		CPPUNIT_ASSERT_EQUAL(std::string("/overload/backend_choice"), mistakes->front().path);
	}

	void settings_empty_address_names_the_field()
	{
		nlohmann::json document = valid();
		document["listen"]["callers"] = "";
		const auto parsed = parse_entry_settings(document);
		const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed);
		CPPUNIT_ASSERT(nullptr != mistakes && 1 == mistakes->size());
		CPPUNIT_ASSERT_EQUAL(std::string("/listen/callers"), mistakes->front().path);
	}

	void settings_invalid_address_names_the_field()
	{
		nlohmann::json document = valid();
		document["ip"] = "nowhere";
		document["store"] = "1.2.3.4.5:90";
		document["listen"]["callers"] = "10.0.0.1:99999";
		document["listen"]["readiness"] = "10.0.0.300:80";
		const auto parsed = parse_entry_settings(document);
		const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed);
		CPPUNIT_ASSERT(nullptr != mistakes);
		CPPUNIT_ASSERT_EQUAL(
		    std::string("/ip: \"nowhere\": IP address, as in 10.0.0.1\n"
		                "/listen/callers: \"10.0.0.1:99999\": IP:port, as in 10.0.0.1:8000\n"
		                "/listen/readiness: \"10.0.0.300:80\": IP:port, as in 10.0.0.1:8000\n"
		                "/store: \"1.2.3.4.5:90\": IP:port, as in 10.0.0.1:8000\n"),
		    to_string(*mistakes));
	}

	void settings_all_errors_are_reported_at_once()
	{
		nlohmann::json document = valid();
		document["store"] = "nowhere";
		document["bounds"]["retry_ratio"] = 3;
		document["inner_ports"] = {1};
		const auto parsed = parse_entry_settings(document);
		const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed);
		CPPUNIT_ASSERT(nullptr != mistakes && 3 <= mistakes->size());
	}

	void settings_unknown_key_suggests_the_nearest()
	{
		nlohmann::json document = valid();
		document["listen"]["lookup"] = "";
		document["zebra"] = 1;
		const std::vector<unknown_key> unknown = unknown_keys(document);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), unknown.size());
		CPPUNIT_ASSERT_EQUAL(std::string("/listen/lookup"), unknown[0].path);
		CPPUNIT_ASSERT_EQUAL(std::string("lookups"), unknown[0].nearest);
		CPPUNIT_ASSERT_EQUAL(std::string(), unknown[1].nearest);
	}

	void settings_overload_is_checked()
	{
		for (const char* bad : {R"({"admission": "luck"})", R"({"memory_mb": 63})", R"({"memory_mb": "160"})",
		         R"({"memory_mb": 64.5})", R"(3)"})
		{
			nlohmann::json document = valid();
			document["overload"] = nlohmann::json::parse(bad);
			const auto parsed = parse_entry_settings(document);
			const auto* mistakes = std::get_if<std::vector<mistake>>(&parsed);
			CPPUNIT_ASSERT_MESSAGE(bad, nullptr != mistakes);
			CPPUNIT_ASSERT_EQUAL_MESSAGE(bad, std::size_t{0}, mistakes->front().path.find("/overload"));
		}
		nlohmann::json document = valid();
		document["overload"] = {{"admission", "arrival"}};
		const auto parsed = parse_entry_settings(document);
		CPPUNIT_ASSERT(admission_kind::arrival == std::get<entry_settings>(parsed).overload.admission);
	}

	/// A reload reads the file as it is, without the translation of the platform's keys.
	void settings_with_contracts_are_read_at_a_reload()
	{
		nlohmann::json document = valid();
		document["contracts"] = {"any"};
		document["overload"] = {{"memory_mb", 160}};
		const auto parsed = parse_entry_settings(document);
		CPPUNIT_ASSERT(std::holds_alternative<entry_settings>(parsed));
	}

	void log_with_blocked_reader_drops_and_counts_without_blocking()
	{
		int ends[2];
		CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
		entry_log log("n1", ends[1], 16384);
		for (int i = 0; i < 5000; ++i)
		{
			log.write(log_line(event::request_ended).number("number", i));
			log.flush(); // Nobody reads the pipe: a blocking write would hang the test.
		}
		CPPUNIT_ASSERT(log.dropped() > 1000);
		CPPUNIT_ASSERT(log.pending() <= 17000);
		std::string output;
		char piece[4096];
		fcntl(ends[0], F_SETFL, O_NONBLOCK);
		for (int round = 0; round < 100; ++round)
		{
			const ssize_t size = read(ends[0], piece, sizeof(piece));
			output.append(piece, size > 0 ? static_cast<std::size_t>(size) : 0);
			log.flush();
		}
		CPPUNIT_ASSERT(std::string::npos != output.find("\"log_dropped\""));
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), log.pending());
		close(ends[0]);
		close(ends[1]);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings_test);
} // namespace larkrack
