// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the keys and values of the platform's store, the header names and the lookups, as larkrack-edge reads
/// and writes them.

#include "fixtures.h"

#include "platform_dialect_p.h"

namespace larkrack
{
class platform_keys_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(platform_keys_form_test);
	CPPUNIT_TEST(keys_have_their_kinds_and_names);
	CPPUNIT_TEST(node_key_is_written_under_its_prefix);
	CPPUNIT_TEST(routes_full_are_read);
	CPPUNIT_TEST(routes_with_required_fields_get_the_known_defaults);
	CPPUNIT_TEST(routes_kinds_give_repeat_rules);
	CPPUNIT_TEST(routes_that_are_incomplete_are_refused);
	CPPUNIT_TEST(routes_version_is_a_letter_and_a_number);
	CPPUNIT_TEST(routes_with_customers_are_read);
	CPPUNIT_TEST(routes_with_a_shared_key_are_refused_without_naming_it);
	CPPUNIT_TEST(routes_cut_short_are_refused_without_the_last_text);
	CPPUNIT_TEST(backend_full_is_read);
	CPPUNIT_TEST(backend_without_start_time_is_read);
	CPPUNIT_TEST(backend_that_drains_is_read);
	CPPUNIT_TEST(backend_that_is_incomplete_is_refused);
	CPPUNIT_TEST(backend_with_a_field_of_another_type_is_refused);
	CPPUNIT_TEST(backend_with_value_out_of_range_is_refused);
	CPPUNIT_TEST(rollout_order_is_read);
	CPPUNIT_TEST(rollout_order_invalid_is_refused);
	CPPUNIT_TEST(rollout_status_written_is_read_back);
	CPPUNIT_TEST(block_written_is_read_back);
	CPPUNIT_TEST(block_invalid_is_refused);
	CPPUNIT_TEST(headers_have_the_names_of_the_platform);
	CPPUNIT_TEST(lookup_target_is_read);
	CPPUNIT_TEST(lookup_answer_has_the_known_text);
	CPPUNIT_TEST_SUITE_END();

protected:
	using routes_result = result<std::shared_ptr<const routing_table>>;

	static std::shared_ptr<const routing_table> routes_of(const std::string& _value)
	{
		routes_result decoded = platform_codec().decode_routes(_value);
		const auto* table = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != table);
		return *table;
	}

	static std::string refusal_of(const std::string& _value)
	{
		const routes_result decoded = platform_codec().decode_routes(_value);
		const error* refused = std::get_if<error>(&decoded);
		CPPUNIT_ASSERT(nullptr != refused);
		CPPUNIT_ASSERT_EQUAL(std::string("bad_routes"), refused->code);
		return refused->message;
	}

	void keys_have_their_kinds_and_names()
	{
		const platform_codec codec;
		CPPUNIT_ASSERT_EQUAL(std::string(), codec.prefix());
		CPPUNIT_ASSERT_EQUAL(std::string("op/config"), codec.routes_key());
		CPPUNIT_ASSERT(record_kind::routes == codec.kind_of("op/config"));
		CPPUNIT_ASSERT(record_kind::other == codec.kind_of("op/config/more"));
		CPPUNIT_ASSERT(record_kind::evacuation == codec.kind_of("op/evacuate/east-a"));
		CPPUNIT_ASSERT(record_kind::backend == codec.kind_of("servers/shop/b1"));
		CPPUNIT_ASSERT(record_kind::node == codec.kind_of("larkrack/nodes/n1"));
		CPPUNIT_ASSERT(record_kind::other == codec.kind_of("larkrack/other"));
		CPPUNIT_ASSERT(record_kind::other == codec.kind_of("x/servers/b1"));
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), codec.name_of("op/evacuate/east-a"));
		CPPUNIT_ASSERT_EQUAL(std::string("b1"), codec.name_of("servers/shop/b1"));
		CPPUNIT_ASSERT_EQUAL(std::string("plain"), codec.name_of("plain"));
	}

	void node_key_is_written_under_its_prefix()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("larkrack/nodes/n1"), platform_codec().node_key("n1"));
	}

	void routes_full_are_read()
	{
		const auto table = routes_of(R"({"Version": "v17",
			"Routes": [{"Name": "pay", "Host": "Shop.example", "PathPrefix": "/pay/", "Kind": "non_idempotent",
				"TimeoutMs": 2000, "ObjectiveMs": 400.9, "Priority": 2, "MaxAttempts": 3, "Sticky": true,
				"HomeRegions": ["east", "west"],
				"Split": [{"Service": "shop", "Weight": 0.75}, {"Service": "shop-next", "Weight": 0.25}],
				"Unknown": {"Any": 1}}],
			"Services": [{"Name": "shop", "HealthPath": "/health", "MaxConns": 4, "WarmupS": 1.5,
				"WarmupPerS": 2.5}],
			"Limits": {"MaxHeaderBytes": 2048, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000,
				"IdleTimeoutMs": 7000}})");
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, table->version());
		const route* pay = table->find("shop.example:80", "/pay/1?x=/");
		CPPUNIT_ASSERT(nullptr != pay);
		CPPUNIT_ASSERT_EQUAL(std::string("pay"), pay->name);
		CPPUNIT_ASSERT(repeat_rule::at_most_once == pay->repeat);
		CPPUNIT_ASSERT(!pay->large_answers);
		CPPUNIT_ASSERT(std::chrono::milliseconds(2000) == pay->timeout);
		CPPUNIT_ASSERT(std::chrono::milliseconds(400) == pay->objective);
		CPPUNIT_ASSERT_EQUAL(2, pay->priority);
		CPPUNIT_ASSERT_EQUAL(3, pay->max_attempts);
		CPPUNIT_ASSERT(pay->sticky);
		CPPUNIT_ASSERT((std::vector<std::string>{"east", "west"}) == pay->home_regions);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), pay->targets.size());
		CPPUNIT_ASSERT_EQUAL(std::string("shop-next"), pay->targets[1].service);
		CPPUNIT_ASSERT_EQUAL(0.25, pay->targets[1].weight);
		const routed_service* shop = table->find_service("shop");
		CPPUNIT_ASSERT(nullptr != shop);
		CPPUNIT_ASSERT_EQUAL(4, shop->max_connections);
		CPPUNIT_ASSERT_EQUAL(2.5, shop->warmup_requests_per_s);
		CPPUNIT_ASSERT(std::chrono::milliseconds(1500) == shop->warmup_time);
		CPPUNIT_ASSERT_EQUAL(2048U, table->limits().header_bytes);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{100000}, table->limits().body_bytes);
		CPPUNIT_ASSERT(std::chrono::milliseconds(3000) == table->limits().header_timeout);
		CPPUNIT_ASSERT(std::chrono::milliseconds(7000) == table->limits().idle_timeout);
	}

	void routes_with_required_fields_get_the_known_defaults()
	{
		const auto table =
		    routes_of(R"({"Version": "", "Routes": [{"Host": "h", "PathPrefix": "/", "Service": "shop"}],
			"Services": [{"Name": "shop"}]})");
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table->version());
		const route* one = table->find("h", "/");
		CPPUNIT_ASSERT(nullptr != one);
		CPPUNIT_ASSERT_EQUAL(std::string(), one->name);
		CPPUNIT_ASSERT(repeat_rule::at_most_once == one->repeat);
		CPPUNIT_ASSERT_EQUAL(std::chrono::milliseconds::rep{0}, one->timeout.count());
		CPPUNIT_ASSERT_EQUAL(std::chrono::milliseconds::rep{0}, one->objective.count());
		CPPUNIT_ASSERT_EQUAL(0, one->priority);
		CPPUNIT_ASSERT_EQUAL(1, one->max_attempts);
		CPPUNIT_ASSERT(!one->sticky && !one->large_answers);
		CPPUNIT_ASSERT(one->home_regions.empty());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), one->targets.size());
		CPPUNIT_ASSERT_EQUAL(std::string("shop"), one->targets[0].service);
		CPPUNIT_ASSERT_EQUAL(1.0, one->targets[0].weight);
		CPPUNIT_ASSERT_EQUAL(0, table->find_service("shop")->max_connections);
		CPPUNIT_ASSERT_EQUAL(0.0, table->find_service("shop")->warmup_requests_per_s);
		CPPUNIT_ASSERT(std::chrono::milliseconds(0) == table->find_service("shop")->warmup_time);
		CPPUNIT_ASSERT_EQUAL(16384U, table->limits().header_bytes);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{8388608}, table->limits().body_bytes);
		CPPUNIT_ASSERT(std::chrono::milliseconds(10000) == table->limits().header_timeout);
		CPPUNIT_ASSERT(std::chrono::milliseconds(15000) == table->limits().idle_timeout);
	}

	void routes_kinds_give_repeat_rules()
	{
		const auto route_of_kind = [](const std::string& _kind)
		{
			const auto table = routes_of(R"({"Version": "v1", "Services": [], "Routes": [{"Host": "h",
				"PathPrefix": "/", "Service": "s", "MaxAttempts": 0, "Kind": ")" +
			                             _kind + "\"}]}");
			return *table->find("h", "/");
		};
		CPPUNIT_ASSERT(repeat_rule::repeatable == route_of_kind("idempotent").repeat);
		CPPUNIT_ASSERT(!route_of_kind("idempotent").large_answers);
		CPPUNIT_ASSERT(repeat_rule::repeatable == route_of_kind("download").repeat);
		CPPUNIT_ASSERT(route_of_kind("download").large_answers);
		CPPUNIT_ASSERT(repeat_rule::at_most_once == route_of_kind("non_idempotent").repeat);
		CPPUNIT_ASSERT(repeat_rule::at_most_once == route_of_kind("other").repeat);
		CPPUNIT_ASSERT_EQUAL(1, route_of_kind("idempotent").max_attempts);
	}

	void routes_that_are_incomplete_are_refused()
	{
		CPPUNIT_ASSERT_EQUAL(std::string("route r1 has no service"),
		    refusal_of(R"({"Version": "v1", "Routes": [{"Name": "r1", "Host": "h", "PathPrefix": "/"}],
				"Services": []})"));
		refusal_of("no JSON");
		refusal_of(R"({"Routes": [], "Services": []})");
		refusal_of(R"({"Version": "v1", "Services": []})");
		refusal_of(R"({"Version": "v1", "Routes": []})");
		refusal_of(R"({"Version": "v1", "Routes": [{"PathPrefix": "/", "Service": "s"}], "Services": []})");
		refusal_of(R"({"Version": "v1", "Routes": [{"Host": "h", "Service": "s"}], "Services": []})");
		refusal_of(R"({"Version": "v1", "Routes": [], "Services": [{}]})");
		refusal_of(R"({"Version": 1, "Routes": [], "Services": []})");
	}

	void routes_version_is_a_letter_and_a_number()
	{
		const auto version_of = [](const std::string& _text)
		{
			return routes_of(R"({"Routes": [], "Services": [], "Version": ")" + _text + "\"}")->version();
		};
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, version_of("v1"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{123456}, version_of("c123456"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, version_of("v"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, version_of("12"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, version_of("v7-x"));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, version_of("vx"));
	}

	static backend_record backend_of(const std::string& _value)
	{
		result<backend_record> decoded = platform_codec().decode_backend("servers/shop/b1", _value);
		const backend_record* record = value_of(decoded);
		CPPUNIT_ASSERT(nullptr != record);
		return *record;
	}

	void routes_with_customers_are_read()
	{
		const auto table = routes_of(R"({"Version": "v1", "Services": [],
			"Routes": [{"Host": "h", "PathPrefix": "/a/", "Service": "s", "Public": true},
				{"Host": "h", "PathPrefix": "/b/", "Service": "s", "Public": false}],
			"Tenants": [{"Name": "mill", "ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 2.5, "Burst": 4,
				"HomeRegions": ["east"]}, {"Name": "farm", "ApiKeys": ["k3"]}]})");
		CPPUNIT_ASSERT(!table->find("h", "/a/")->needs_key && table->find("h", "/b/")->needs_key);
		CPPUNIT_ASSERT(table->customers().in_force());
		const customer* mill = table->customers().find("k2");
		CPPUNIT_ASSERT(nullptr != mill);
		CPPUNIT_ASSERT_EQUAL(std::string("mill"), mill->name.text);
		CPPUNIT_ASSERT_EQUAL(1, mill->priority);
		CPPUNIT_ASSERT((quota_limit{2.5, 4.0}) == mill->limit);
		CPPUNIT_ASSERT(std::vector<std::string>{"east"} == mill->home_regions);
		const customer* farm = table->customers().find("k3");
		CPPUNIT_ASSERT(nullptr != farm && !farm->limit.limited() && farm->home_regions.empty());
		const auto without = routes_of(R"({"Version": "v1", "Services": [], "Routes": []})");
		CPPUNIT_ASSERT(!without->customers().in_force());
	}

	void routes_with_a_shared_key_are_refused_without_naming_it()
	{
		const std::string why = refusal_of(R"({"Version": "v1", "Services": [], "Routes": [],
			"Tenants": [{"Name": "mill", "ApiKeys": ["hidden"]}, {"Name": "farm", "ApiKeys": ["hidden"]}]})");
		CPPUNIT_ASSERT(std::string::npos != why.find("holds a key of another customer"));
		CPPUNIT_ASSERT(std::string::npos == why.find("hidden"));
	}

	void routes_cut_short_are_refused_without_the_last_text()
	{
		const std::string why = refusal_of(R"({"Version": "v1", "Tenants": [{"ApiKeys": ["hidden)");
		CPPUNIT_ASSERT_EQUAL(std::size_t{0}, why.find("no JSON at byte "));
		CPPUNIT_ASSERT(std::string::npos == why.find("hidden"));
	}

	/// @returns An entry with all documented fields; the value of one field is replaced by a text, or the
	/// field is left out if the text is empty.
	static std::string entry_with(const std::string& _field = "", const std::string& _text = "")
	{
		const auto field = [&](const std::string& _name, const std::string& _usual)
		{
			const std::string& text = _name == _field ? _text : _usual;
			return text.empty() ? std::string() : "\"" + _name + "\": " + text + ",";
		};
		return "{" + field("Address", R"("10.0.1.1:8080")") + R"("Info": {)" + field("Service", R"("shop")") +
		       field("Zone", R"("east-a")") + field("Version", R"("v1")") + field("Slots", "4") +
		       R"("Id": "x"}, "Status": {)" + field("State", R"("ready")") + field("CallSeq", "7") +
		       field("WarmupLeftMs", "1500.5") + R"("Any": 1}, )" + field("born", "1796083200123") +
		       R"("Unknown": null})";
	}

	void backend_full_is_read()
	{
		const backend_record record = backend_of(entry_with());
		CPPUNIT_ASSERT_EQUAL(std::string("b1"), record.id.text);
		CPPUNIT_ASSERT_EQUAL(std::string("shop"), record.service.text);
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), record.domain.text);
		CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.1"), record.address.address().to_string());
		CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, record.address.port());
		CPPUNIT_ASSERT_EQUAL(4, record.slots);
		CPPUNIT_ASSERT(!record.draining);
		CPPUNIT_ASSERT_EQUAL(std::chrono::milliseconds::rep{1500}, record.warmup_left.count());
		CPPUNIT_ASSERT_EQUAL(std::int64_t{1796083200123}, record.started_ms);
	}

	void backend_without_start_time_is_read()
	{
		CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, backend_of(entry_with("born")).started_ms);
	}

	void backend_that_drains_is_read()
	{
		CPPUNIT_ASSERT(backend_of(entry_with("State", R"("draining")")).draining);
	}

	static void expect_refused(const std::string& _key, const std::string& _value)
	{
		const result<backend_record> decoded = platform_codec().decode_backend(_key, _value);
		const error* refused = std::get_if<error>(&decoded);
		CPPUNIT_ASSERT_MESSAGE(_value, nullptr != refused);
		CPPUNIT_ASSERT_EQUAL(std::string("bad_backend"), refused->code);
	}

	void backend_that_is_incomplete_is_refused()
	{
		for (const char* value : {"no JSON", "", "[]", "null", "{}", R"({"Info": {"Service": "shop"}})",
		         R"({"Address": "10.0.1.1:80"})", R"({"Address": "10.0.1.1:80", "Info": [], "Status": {}})",
		         "{\"Address\": \"\xff\xfe\"}"})
		{
			expect_refused("servers/b1", value);
		}
		for (const char* field :
		    {"Address", "Service", "Zone", "Version", "Slots", "State", "CallSeq", "WarmupLeftMs"})
		{
			expect_refused("servers/b1", entry_with(field));
		}
		expect_refused("servers/", entry_with()); // The key has no id.
	}

	void backend_with_a_field_of_another_type_is_refused()
	{
		for (const char* field :
		    {"Address", "Service", "Zone", "Version", "Slots", "State", "CallSeq", "WarmupLeftMs", "born"})
		{
			for (const char* text : {"null", "true", "[1]", R"({"a": 1})"})
			{
				expect_refused("servers/b1", entry_with(field, text));
			}
		}
		for (const char* field : {"Slots", "CallSeq", "WarmupLeftMs", "born"})
		{
			expect_refused("servers/b1", entry_with(field, R"("4")"));
		}
		for (const char* field : {"Address", "Service", "Zone", "Version", "State"})
		{
			expect_refused("servers/b1", entry_with(field, "4"));
		}
	}

	void backend_with_value_out_of_range_is_refused()
	{
		for (const char* slots : {"0", "-1", "1e300", "2000000"})
		{
			expect_refused("servers/b1", entry_with("Slots", slots));
		}
		for (const char* born : {"0", "-5", "1.5", "1e18"})
		{
			expect_refused("servers/b1", entry_with("born", born));
		}
		expect_refused("servers/b1", entry_with("WarmupLeftMs", "-1"));
		expect_refused("servers/b1", entry_with("State", R"("starting")"));
		expect_refused("servers/b1", entry_with("Address", R"("nowhere")"));
		expect_refused("servers/b1", entry_with("Address", R"("nowhere:80")"));
		expect_refused("servers/b1", entry_with("Address", R"("10.0.1.1:99999")"));
	}

	static store_value rollout_value(const std::string& _value, const std::string& _service = "shop")
	{
		return {"op/rollout/" + _service, _value, 9, 0};
	}

	void rollout_order_is_read()
	{
		CPPUNIT_ASSERT(record_kind::rollout_order == platform_codec().kind_of("op/rollout/shop"));
		const auto decoded = platform_codec().decode_rollout(
		    rollout_value(R"({"Service": "shop", "TargetVersion": "v2", "DurationS": 12.5})"));
		const auto* order = std::get_if<rollout_order>(&decoded);
		CPPUNIT_ASSERT(nullptr != order);
		CPPUNIT_ASSERT_EQUAL(std::string("shop"), order->service.text);
		CPPUNIT_ASSERT_EQUAL(std::string("v2"), order->target.text);
		CPPUNIT_ASSERT(std::chrono::milliseconds(12500) == order->duration);
		CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, order->revision);
	}

	void rollout_order_invalid_is_refused()
	{
		for (const char* value : {"no JSON", "[]", "{}", R"({"Service": "shop", "TargetVersion": "v2"})",
		         R"({"Service": "shop", "TargetVersion": "v2", "DurationS": 0})",
		         R"({"Service": "shop", "TargetVersion": "v2", "DurationS": -3})",
		         R"({"Service": "shop", "TargetVersion": "v2", "DurationS": 1e300})",
		         R"({"Service": "shop", "TargetVersion": "v2", "DurationS": "12"})",
		         R"({"Service": "shop", "TargetVersion": "", "DurationS": 12})",
		         R"({"Service": "shop", "TargetVersion": 2, "DurationS": 12})",
		         R"({"Service": "other", "TargetVersion": "v2", "DurationS": 12})"})
		{
			const auto decoded = platform_codec().decode_rollout(rollout_value(value));
			CPPUNIT_ASSERT_MESSAGE(value, std::holds_alternative<error>(decoded));
		}
	}

	void block_written_is_read_back()
	{
		const platform_codec codec;
		request_block block;
		block.request = {0x1122334455667788, 0x99aabbccddeeff01, 0x0a0b0c0d};
		block.number = 3;
		block.trials = 1;
		block.versions = 7;
		const store_write write = codec.block_write(block);
		CPPUNIT_ASSERT_EQUAL(std::string("status/blocked/99aabbccddeeff01-0a0b0c0d"), write.key);
		CPPUNIT_ASSERT_EQUAL(
		    std::string(R"({"Change":3,"Head":"1122334455667788","Looks":1,"Versions":7})"), *write.value);
		CPPUNIT_ASSERT(record_kind::block == codec.kind_of(write.key));
		const auto decoded = codec.decode_block({write.key, *write.value, 11, 0});
		const auto& same = std::get<request_block>(decoded);
		CPPUNIT_ASSERT(same.request == block.request && same.request.head == block.request.head);
		CPPUNIT_ASSERT(same.blocked && 3 == same.number && 1 == same.trials && 7 == same.versions);
		block.blocked = false;
		CPPUNIT_ASSERT(!codec.block_write(block).value);
	}

	void block_invalid_is_refused()
	{
		const platform_codec codec;
		const std::string value = R"({"Change":3,"Head":"1122334455667788","Looks":1,"Versions":7})";
		for (const char* name :
		    {"", "99", "99-", "-1", "99-1-", "xyz-1", "99aabbccddeeff0199-1", "99-112233445"})
		{
			const std::string key = std::string("status/blocked/") + name;
			CPPUNIT_ASSERT_MESSAGE(
			    name, std::holds_alternative<error>(codec.decode_block({key, value, 3, 0})));
		}
		for (const char* invalid : {"", "7", "{}", R"({"Head":""})", R"({"Head":"xyz"})", R"({"Head":7})"})
		{
			CPPUNIT_ASSERT_MESSAGE(invalid,
			    std::holds_alternative<error>(codec.decode_block({"status/blocked/99-1", invalid, 3, 0})));
		}
		const auto by_hand = codec.decode_block({"status/blocked/99-0", R"({"Head":"99"})", 3, 0});
		CPPUNIT_ASSERT_EQUAL(k_max_trials, std::get<request_block>(by_hand).trials);
	}

	void rollout_status_written_is_read_back()
	{
		const platform_codec codec;
		for (const rollout_state state :
		    {rollout_state::running, rollout_state::complete, rollout_state::rolled_back})
		{
			const rollout_status status{service_name("shop"), version_name("v2"), state, 0};
			const store_write write = codec.rollout_status_write(status);
			CPPUNIT_ASSERT_EQUAL(std::string("status/rollout/shop"), write.key);
			CPPUNIT_ASSERT(record_kind::rollout_status == codec.kind_of(write.key));
			const auto decoded = codec.decode_rollout_status({write.key, *write.value, 11, 0});
			const auto* same = std::get_if<rollout_status>(&decoded);
			CPPUNIT_ASSERT(nullptr != same && state == same->state && status.target == same->target);
			CPPUNIT_ASSERT(status.service == same->service && 11 == same->revision);
		}
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"State":"rolled_back","TargetVersion":"v2"})"),
		    *codec
		         .rollout_status_write(
		             {service_name("shop"), version_name("v2"), rollout_state::rolled_back, 0})
		         .value);
		for (const char* value :
		    {"", "7", R"({"State": "done", "TargetVersion": "v2"})", R"({"State": "running"})"})
		{
			CPPUNIT_ASSERT(std::holds_alternative<error>(
			    codec.decode_rollout_status({"status/rollout/shop", value, 3, 0})));
		}
	}

	void headers_have_the_names_of_the_platform()
	{
		const header_names names = platform_dialect().headers();
		CPPUNIT_ASSERT_EQUAL(std::string("Request-Id"), names.request_id);
		CPPUNIT_ASSERT_EQUAL(std::string("Timeout-Ms"), names.timeout_ms);
		CPPUNIT_ASSERT_EQUAL(std::string("Target-Instance"), names.target_id);
		CPPUNIT_ASSERT_EQUAL(std::string("Not-Executed"), names.not_run);
		CPPUNIT_ASSERT_EQUAL(std::string("Server-Load"), names.load);
		CPPUNIT_ASSERT_EQUAL(std::string("Server-Limit"), names.limit);
		CPPUNIT_ASSERT_EQUAL(std::string("Server-Leaving"), names.leaving);
		CPPUNIT_ASSERT_EQUAL(std::string("Affinity-Key"), names.affinity_cookie);
		CPPUNIT_ASSERT_EQUAL(std::string("Response-Signature"), names.signature);
	}

	void lookup_target_is_read()
	{
		const platform_dialect dialect;
		const auto question = dialect.parse_lookup("/resolve?Zone=east-a&Name=shop.example&Region=east%2Dx");
		CPPUNIT_ASSERT(question.has_value());
		CPPUNIT_ASSERT_EQUAL(std::string("shop.example"), question->host);
		CPPUNIT_ASSERT_EQUAL(std::string("east-x"), question->region);
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), question->domain);
		const auto empty = dialect.parse_lookup("/resolve");
		CPPUNIT_ASSERT(empty.has_value());
		CPPUNIT_ASSERT(empty->host.empty() && empty->region.empty() && empty->domain.empty());
		CPPUNIT_ASSERT(!dialect.parse_lookup("/resolve/").has_value());
		CPPUNIT_ASSERT(!dialect.parse_lookup("/other?Name=shop.example").has_value());
	}

	void lookup_answer_has_the_known_text()
	{
		const platform_dialect dialect;
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"Addresses":["10.0.0.1:80","10.0.0.2:80"],"TtlS":1.5})"),
		    dialect.render_lookup({"10.0.0.1:80", "10.0.0.2:80"}, std::chrono::milliseconds(1500)));
		CPPUNIT_ASSERT_EQUAL(std::string(R"({"Addresses":[],"TtlS":1.0})"),
		    dialect.render_lookup({}, std::chrono::milliseconds(1000)));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_keys_form_test);
} // namespace larkrack
