// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the keys of larkrackd's settings file and of the resources' specs, the schema of each key, and how
/// both are read.

#include "daemon_forms.h"

#include "base/settings_p.h"

namespace larkrack
{
class daemon_settings_forms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(daemon_settings_forms_test);
	CPPUNIT_TEST(schema_of_settings_has_its_keys);
	CPPUNIT_TEST(schema_of_every_resource_kind_has_its_keys);
	CPPUNIT_TEST(settings_with_every_key_are_read);
	CPPUNIT_TEST(settings_with_required_keys_have_their_defaults);
	CPPUNIT_TEST(settings_with_mistakes_are_refused_with_their_texts);
	CPPUNIT_TEST_SUITE_END();

	/// Appends one line for each key of a schema: the path of the key and its rules, without descriptions.
	static void list_keys(const std::string& _path, const nlohmann::json& _schema, std::string& _lines)
	{
		nlohmann::json own = _schema;
		own.erase("properties");
		own.erase("description");
		_lines += (_path.empty() ? "/" : _path) + " " + own.dump() + "\n";
		const nlohmann::json properties = _schema.value("properties", nlohmann::json::object());
		for (const auto& [name, inner] : properties.items())
		{
			list_keys(_path + "/" + name, inner, _lines);
		}
	}

	static std::string settings_to_text(const settings& _settings)
	{
		std::string seeds;
		for (const endpoint& seed : _settings.seeds)
		{
			seeds += to_string(seed) + " ";
		}
		std::ostringstream text;
		text << _settings.name << "|" << _settings.region << "|" << _settings.domain << "|"
		     << to_string(_settings.callers) << "|" << to_string(_settings.relay) << "|"
		     << to_string(_settings.peers) << "|" << to_string(_settings.operators) << "|"
		     << to_string(_settings.platform) << "|" << seeds << "|" << _settings.secret << "|"
		     << _settings.operator_token << "|" << _settings.chooser << "|" << _settings.log_file << "|"
		     << _settings.trace_file << "|" << _settings.trace_http << "|" << _settings.trace_share << "|"
		     << _settings.traffic_threads << "|" << _settings.read_ahead << "|"
		     << _settings.trust_caller_header << "|" << _settings.test_faults;
		return text.str();
	}

	/// @returns A settings file with the required keys only.
	static nlohmann::json required_keys()
	{
		return nlohmann::json::parse(R"({
			"name": "east-1", "region": "east", "domain": "east-a",
			"listen": {"callers": "127.0.0.1:1", "relay": "127.0.0.1:2", "peers": "127.0.0.1:3",
				"operators": "[::1]:4"},
			"platform": "127.0.0.1:5", "secret": "a secret of sixteen", "operator_token": "token of operators"})");
	}

public:
	void schema_of_settings_has_its_keys()
	{
		std::string lines;
		list_keys("", schema_settings(), lines);
		assert_same_text(R"(
/ {"additionalProperties":false,"required":["name","region","domain","listen","platform","secret","operator_token"],"type":"object"}
/chooser {"enum":["own_count","round_robin","least_connections","two_random"],"type":"string"}
/domain {"minLength":1,"type":"string"}
/listen {"additionalProperties":false,"required":["callers","relay","peers","operators"],"type":"object"}
/listen/callers {"pattern":"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$","type":"string"}
/listen/operators {"pattern":"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$","type":"string"}
/listen/peers {"pattern":"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$","type":"string"}
/listen/relay {"pattern":"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$","type":"string"}
/log_file {"type":"string"}
/name {"minLength":1,"type":"string"}
/operator_token {"minLength":8,"type":"string"}
/platform {"pattern":"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$","type":"string"}
/read_ahead {"type":"boolean"}
/region {"minLength":1,"type":"string"}
/secret {"minLength":16,"type":"string"}
/seeds {"items":{"type":"string"},"type":"array"}
/test_faults {"type":"boolean"}
/trace_file {"type":"string"}
/trace_http {"type":"string"}
/trace_share {"maximum":1,"minimum":0,"type":"number"}
/traffic_threads {"maximum":64,"minimum":1,"type":"integer"}
/trust_caller_header {"type":"boolean"}
)",
		    lines);
	}

	void schema_of_every_resource_kind_has_its_keys()
	{
		std::string lines;
		for (const std::string& kind : resource_kinds())
		{
			list_keys("/" + kind, *schema_resource(kind), lines);
		}
		assert_same_text(R"(
/region {"additionalProperties":false,"type":"object"}
/region/drain {"type":"boolean"}
/region/max_share {"maximum":1,"minimum":0.05,"type":"number"}
/domain {"additionalProperties":false,"required":["region"],"type":"object"}
/domain/drain {"type":"boolean"}
/domain/region {"type":"string"}
/site {"additionalProperties":false,"required":["domain"],"type":"object"}
/site/domain {"type":"string"}
/entry_vm {"additionalProperties":false,"required":["domain","callers","relay","peers"],"type":"object"}
/entry_vm/callers {"type":"string"}
/entry_vm/domain {"type":"string"}
/entry_vm/drain {"type":"boolean"}
/entry_vm/peers {"type":"string"}
/entry_vm/relay {"type":"string"}
/service {"additionalProperties":false,"type":"object"}
/service/deadline_ms {"maximum":600000,"minimum":50,"type":"integer"}
/service/owners {"maximum":64,"minimum":1,"type":"integer"}
/service/run_limit_ms {"maximum":600000,"minimum":50,"type":"integer"}
/backend_server {"additionalProperties":false,"required":["service","domain","address","slots"],"type":"object"}
/backend_server/address {"type":"string"}
/backend_server/connections {"maximum":100000,"minimum":1,"type":"integer"}
/backend_server/domain {"type":"string"}
/backend_server/drain {"type":"boolean"}
/backend_server/service {"type":"string"}
/backend_server/slots {"maximum":1000,"minimum":1,"type":"integer"}
/steering {"additionalProperties":false,"required":["shares"],"type":"object"}
/steering/cap {"maximum":1,"minimum":0.001,"type":"number"}
/steering/demand {"additionalProperties":{"maximum":1,"minimum":0,"type":"number"},"type":"object"}
/steering/shares {"additionalProperties":{"maximum":1,"minimum":0,"type":"number"},"type":"object"}
/steering/window_s {"maximum":86400,"minimum":0.5,"type":"number"}
/client_blocks {"additionalProperties":false,"required":["blocks"],"type":"object"}
/client_blocks/blocks {"additionalProperties":{"type":"string"},"type":"object"}
)",
		    lines);
	}

	void settings_with_every_key_are_read()
	{
		nlohmann::json document = required_keys();
		document.update(nlohmann::json::parse(R"({
			"seeds": ["127.0.0.1:6", "127.0.0.1:7"], "traffic_threads": 3, "chooser": "two_random",
			"read_ahead": false, "trust_caller_header": true, "log_file": "log", "trace_file": "spans",
			"trace_http": "127.0.0.1:8", "trace_share": 0.25, "test_faults": true})"));
		const auto read = parse_settings(document);
		CPPUNIT_ASSERT(std::holds_alternative<settings>(read));
		assert_same_text(
		    R"(east-1|east|east-a|127.0.0.1:1|127.0.0.1:2|127.0.0.1:3|[::1]:4|127.0.0.1:5|127.0.0.1:6 127.0.0.1:7 |a secret of sixteen|token of operators|two_random|log|spans|127.0.0.1:8|0.25|3|0|1|1)",
		    settings_to_text(std::get<settings>(read)));
	}

	void settings_with_required_keys_have_their_defaults()
	{
		const auto read = parse_settings(required_keys());
		CPPUNIT_ASSERT(std::holds_alternative<settings>(read));
		assert_same_text(
		    R"(east-1|east|east-a|127.0.0.1:1|127.0.0.1:2|127.0.0.1:3|[::1]:4|127.0.0.1:5||a secret of sixteen|token of operators|own_count||||0|1|1|0|0)",
		    settings_to_text(std::get<settings>(read)));
	}

	void settings_with_mistakes_are_refused_with_their_texts()
	{
		nlohmann::json document = required_keys();
		document.erase("region");
		document["chooser"] = "best";
		document["traffic_threads"] = 0;
		document["colour"] = "blue";
		document["listen"]["relay"] = "127.0.0.1";
		const auto read = parse_settings(document);
		CPPUNIT_ASSERT(std::holds_alternative<std::vector<mistake>>(read));
		assert_same_text(R"(
/chooser: "best": Failed to match against any enum values.
/listen/relay: "127.0.0.1": Failed to match regex specified by 'pattern' constraint.
/traffic_threads: 0: Expected number greater than or equal to 1.000000
/: {"chooser":"best","colour":"blue","domain":"east-a","listen"...: Object contains a property that could not be validated using 'properties' or 'additionalProperties' constraints: 'colour'.
/: {"chooser":"best","colour":"blue","domain":"east-a","listen"...: Missing required property 'region'.
)",
		    to_string(std::get<std::vector<mistake>>(read)));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_forms_test);
} // namespace larkrack
