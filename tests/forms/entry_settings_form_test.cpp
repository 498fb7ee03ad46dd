// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the keys of larkrack-edge's settings with their types and bounds, the values that they are read into,
/// and the template from which the platform writes them.

#include "fixtures.h"

#include "entry_node/entry_settings_p.h"

#include <fstream>

namespace larkrack
{
class entry_settings_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(entry_settings_form_test);
	CPPUNIT_TEST(schema_holds_the_known_keys);
	CPPUNIT_TEST(schema_ignores_unknown_keys);
	CPPUNIT_TEST(settings_full_are_read);
	CPPUNIT_TEST(settings_with_required_keys_get_the_known_defaults);
	CPPUNIT_TEST(template_of_the_platform_is_the_known_one);
	CPPUNIT_TEST_SUITE_END();

protected:
	struct known_key
	{
		const char* path;
		bool required;
		const char* rules; ///< Rules of the schema, without descriptions.
	};

	static void collect(
	    const nlohmann::json& _schema, const std::string& _path, std::map<std::string, std::string>& _rows)
	{
		const nlohmann::json properties = _schema.value("properties", nlohmann::json::object());
		for (const auto& [name, one] : properties.items())
		{
			bool required = false;
			for (const nlohmann::json& listed : _schema.value("required", nlohmann::json::array()))
			{
				required = required || listed == name;
			}
			nlohmann::json rules = one;
			rules.erase("description");
			rules.erase("properties");
			rules.erase("required");
			_rows[_path + "/" + name] = (required ? "required " : "optional ") + rules.dump();
			collect(one, _path + "/" + name, _rows);
		}
	}

	void schema_holds_the_known_keys()
	{
		const known_key known[] = {
		    {"/bounds", true, R"({"type":"object"})"},
		    {"/bounds/expose_share", false, R"({"maximum":1,"minimum":0,"type":"number"})"},
		    {"/bounds/grace_s", true, R"({"exclusiveMinimum":0,"type":"number"})"},
		    {"/bounds/config_apply_ms", false, R"({"minimum":100,"type":"integer"})"},
		    {"/bounds/drain_ms", false, R"({"minimum":100,"type":"integer"})"},
		    {"/bounds/lookup_ttl_max_s", true, R"({"exclusiveMinimum":0,"type":"number"})"},
		    {"/bounds/max_shift", true, R"({"maximum":1,"minimum":0,"type":"number"})"},
		    {"/bounds/quota_overage", false, R"({"minimum":0,"type":"number"})"},
		    {"/bounds/quota_slack", false, R"({"minimum":0,"type":"number"})"},
		    {"/bounds/quota_window_s", false, R"({"exclusiveMinimum":0,"type":"number"})"},
		    {"/bounds/retry_ratio", true, R"({"maximum":1,"minimum":0,"type":"number"})"},
		    {"/bounds/retry_slack", true, R"({"minimum":0,"type":"number"})"},
		    {"/bounds/retry_window_s", true, R"({"exclusiveMinimum":0,"type":"number"})"},
		    {"/domain", true, R"({"minLength":1,"type":"string"})"},
		    {"/inner_ports", true,
		        R"({"items":{"maximum":65535,"minimum":1,"type":"integer"},"maxItems":2,"minItems":2,"type":"array"})"},
		    {"/ip", true, R"({"minLength":1,"type":"string"})"},
		    {"/listen", true, R"({"type":"object"})"},
		    {"/listen/callers", true, R"({"pattern":"^[0-9.]+:[0-9]+$","type":"string"})"},
		    {"/listen/lookups", false, R"({"pattern":"^([0-9.]+:[0-9]+)?$","type":"string"})"},
		    {"/listen/metrics", false, R"({"pattern":"^([0-9.]+:[0-9]+)?$","type":"string"})"},
		    {"/listen/peers", false, R"({"pattern":"^([0-9.]+:[0-9]+)?$","type":"string"})"},
		    {"/listen/readiness", false, R"({"pattern":"^([0-9.]+:[0-9]+)?$","type":"string"})"},
		    {"/max_descriptors", false, R"({"minimum":64,"type":"integer"})"},
		    {"/name", true, R"({"minLength":1,"type":"string"})"},
		    {"/overload", false, R"({"type":"object"})"},
		    {"/overload/admission", false, R"({"enum":["arrival","priority"],"type":"string"})"},
		    {"/overload/max_response_mb", false, R"({"minimum":1,"type":"integer"})"},
		    {"/overload/memory_mb", false, R"({"minimum":64,"type":"integer"})"},
		    {"/overload/backend_choice", false,
		        R"({"enum":["count","reported","completion"],"type":"string"})"},
		    {"/region", true, R"({"minLength":1,"type":"string"})"},
		    {"/regions", true, R"({"additionalProperties":{"type":"string"},"type":"object"})"},
		    {"/seeds", false, R"({"items":{"type":"string"},"type":"array"})"},
		    {"/store", true, R"({"pattern":"^[0-9.]+:[0-9]+$","type":"string"})"},
		};
		std::map<std::string, std::string> rows;
		collect(schema_entry_settings(), "", rows);
		for (const known_key& key : known)
		{
			const std::string expected = std::string(key.required ? "required " : "optional ") + key.rules;
			CPPUNIT_ASSERT_EQUAL_MESSAGE(key.path, expected, rows[key.path]);
		}
		CPPUNIT_ASSERT_EQUAL(std::size(known), rows.size());
	}

	void schema_ignores_unknown_keys()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("object"), schema_entry_settings().at("type").get<std::string>());
		CPPUNIT_ASSERT(!schema_entry_settings().contains("additionalProperties"));
	}

	static entry_settings read(const char* _text)
	{
		const auto parsed = parse_entry_settings(nlohmann::json::parse(_text));
		const auto* settings = std::get_if<entry_settings>(&parsed);
		CPPUNIT_ASSERT(nullptr != settings);
		return *settings;
	}

	void settings_full_are_read()
	{
		const entry_settings settings = read(R"({"name": "n1", "region": "east", "domain": "east-a",
			"ip": "10.0.0.1", "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
			"lookups": "10.0.0.1:82", "peers": "10.0.0.1:83", "metrics": "10.0.0.1:84"},
			"inner_ports": [7000, 7010], "store": "10.0.0.9:90", "seeds": ["10.0.0.2:83"],
			"regions": {"east-a": "east", "west-a": "west"}, "max_descriptors": 500,
			"bounds": {"retry_ratio": 0.2, "retry_slack": 50, "retry_window_s": 10.5, "max_shift": 0.25,
			"lookup_ttl_max_s": 1.25, "grace_s": 6.5, "quota_window_s": 2.5, "quota_overage": 0.1,
			"quota_slack": 20, "expose_share": 0.25},
			"overload": {"admission": "priority", "memory_mb": 160}})");
		CPPUNIT_ASSERT_EQUAL(std::string("n1"), settings.place.node);
		CPPUNIT_ASSERT_EQUAL(std::string("east"), settings.place.region);
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), settings.place.domain);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), settings.ip);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), to_string(settings.callers));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:81"), to_string(settings.readiness.value()));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:82"), to_string(settings.lookups.value()));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:83"), to_string(settings.peers.value()));
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:84"), to_string(settings.metrics.value()));
		CPPUNIT_ASSERT_EQUAL(std::uint16_t{7000}, settings.heartbeat_port);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:90"), to_string(settings.store));
		CPPUNIT_ASSERT((std::vector<std::string>{"10.0.0.2:83"}) == settings.seeds);
		CPPUNIT_ASSERT_EQUAL(std::string("west"), settings.region_of.at("west-a"));
		CPPUNIT_ASSERT_EQUAL(500, settings.max_descriptors);
		CPPUNIT_ASSERT(std::chrono::milliseconds(10500) == settings.bounds.retries.window);
		CPPUNIT_ASSERT_EQUAL(0.25, settings.bounds.max_shift);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1250) == settings.lookup_ttl);
		CPPUNIT_ASSERT(std::chrono::milliseconds(6500) == settings.grace);
		CPPUNIT_ASSERT(std::chrono::milliseconds(2500) == settings.quotas.window);
		CPPUNIT_ASSERT_EQUAL(0.1, settings.quotas.overage);
		CPPUNIT_ASSERT_EQUAL(20.0, settings.quotas.slack);
		CPPUNIT_ASSERT_EQUAL(0.25, settings.expose_share);
		CPPUNIT_ASSERT(admission_kind::priority == settings.overload.admission);
		CPPUNIT_ASSERT_EQUAL(160, settings.overload.memory_mb.value());
	}

	void settings_with_required_keys_get_the_known_defaults()
	{
		const entry_settings settings = read(R"({"name": "n1", "region": "east", "domain": "east-a",
			"ip": "10.0.0.1", "listen": {"callers": "10.0.0.1:80"}, "inner_ports": [7000, 7010],
			"store": "10.0.0.9:90", "regions": {}, "bounds": {"retry_ratio": 0, "retry_slack": 0,
			"retry_window_s": 1, "max_shift": 0, "lookup_ttl_max_s": 5, "grace_s": 1}})");
		CPPUNIT_ASSERT(!settings.readiness && !settings.lookups && !settings.peers && !settings.metrics);
		CPPUNIT_ASSERT(settings.seeds.empty());
		CPPUNIT_ASSERT_EQUAL(1024, settings.max_descriptors);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1500) == settings.lookup_ttl);
		CPPUNIT_ASSERT(std::chrono::milliseconds(5000) == settings.quotas.window);
		CPPUNIT_ASSERT_EQUAL(0.0, settings.quotas.overage + settings.quotas.slack);
		CPPUNIT_ASSERT_EQUAL(0.1, settings.expose_share);
		CPPUNIT_ASSERT(admission_kind::arrival == settings.overload.admission);
		CPPUNIT_ASSERT(!settings.overload.memory_mb);
	}

	void template_of_the_platform_is_the_known_one()
	{
		std::ifstream file(std::string(LARKRACK_SOURCE_DIR) + "/deploy/settings.template.json");
		std::ostringstream text;
		text << file.rdbuf();
		CPPUNIT_ASSERT_EQUAL(std::string(R"TEMPLATE({
	"name": {{Node|json}},
	"region": {{Region|json}},
	"domain": {{Zone|json}},
	"ip": {{Ip|json}},
	"listen": {
		"callers": "{{Listen.Front}}",
		"readiness": "{{Listen.Ready}}",
		"lookups": "{{Listen.Directory}}",
		"peers": "{{Listen.Control}}",
		"metrics": "{{Ip}}:9464"
	},
	"inner_ports": {{InnerPorts|json}},
	"store": "{{Platform.Address}}",
	"seeds": {{Seeds|json}},
	"regions": {{Zones|json}},
	"max_descriptors": {{Limits.MaxFds}},
	"bounds": {
		"retry_ratio": {{Bounds.RetryBudgetRatio}},
		"retry_slack": {{Bounds.BudgetSlack}},
		"retry_window_s": {{Bounds.BudgetWindowS}},
		"max_shift": {{Bounds.MaxShift}},
		"lookup_ttl_max_s": {{Bounds.ttl_max_s}},
		"grace_s": {{Bounds.GraceS}}{{#Bounds.ConfigApplyMs}},
		"config_apply_ms": {{Bounds.ConfigApplyMs}}{{/Bounds.ConfigApplyMs}}{{#Bounds.DrainMs}},
		"drain_ms": {{Bounds.DrainMs}}{{/Bounds.DrainMs}}{{#Bounds.QuotaWindowS}},
		"quota_window_s": {{Bounds.QuotaWindowS}},
		"quota_overage": {{Bounds.QuotaOverage}},
		"quota_slack": {{Bounds.QuotaSlack}}{{/Bounds.QuotaWindowS}}{{#Bounds.ExposeShare}},
		"expose_share": {{Bounds.ExposeShare}}{{/Bounds.ExposeShare}}
	},
	"overload": {
		"memory_mb": {{Limits.MemoryMb}}
	},
	"contracts": {{Contracts|json}}
}
)TEMPLATE"),
		    text.str());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_settings_form_test);
} // namespace larkrack
