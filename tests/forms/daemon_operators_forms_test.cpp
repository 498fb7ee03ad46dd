// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the status codes, headers and bodies of larkrackd's resource API.

#include "daemon_node_forms.h"

namespace larkrack
{
class daemon_operators_forms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(daemon_operators_forms_test);
	CPPUNIT_TEST(get_resource_known_is_answered);
	CPPUNIT_TEST(get_steering_has_its_status);
	CPPUNIT_TEST(get_backend_server_has_its_status);
	CPPUNIT_TEST(get_kind_lists_its_resources);
	CPPUNIT_TEST(get_all_lists_every_kind);
	CPPUNIT_TEST(get_unknown_is_not_found);
	CPPUNIT_TEST(put_and_delete_are_accepted);
	CPPUNIT_TEST(put_of_other_revision_is_a_conflict);
	CPPUNIT_TEST(put_that_breaks_rules_is_invalid);
	CPPUNIT_TEST(change_that_is_no_change_is_refused);
	CPPUNIT_TEST(change_without_token_is_refused);
	CPPUNIT_TEST(apply_is_accepted);
	CPPUNIT_TEST(apply_of_other_revision_is_a_conflict);
	CPPUNIT_TEST(apply_that_breaks_rules_is_invalid);
	CPPUNIT_TEST(apply_that_is_no_list_is_refused);
	CPPUNIT_TEST(change_when_response_lost_is_unsure);
	CPPUNIT_TEST(change_when_platform_down_is_not_done);
	CPPUNIT_TEST(change_when_platform_older_is_not_done);
	CPPUNIT_TEST(status_without_configuration_is_answered);
	CPPUNIT_TEST(status_with_configuration_is_answered);
	CPPUNIT_TEST(explain_is_answered);
	CPPUNIT_TEST(watch_sends_a_line_of_status);
	CPPUNIT_TEST(cut_exists_only_with_test_faults);
	CPPUNIT_TEST_SUITE_END();

	static std::map<std::string, std::string> with(const std::string& _name, const std::string& _value)
	{
		return {{"Authorization", "Bearer token of operators"}, {_name, _value}};
	}

public:
	void get_resource_known_is_answered()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json
ETag: "1"

{"kind":"domain","name":"east-a","revision":1,"spec":{"region":"east"}})",
		    node.ask(http::verb::get, "/v1/resources/domain/east-a"));
	}

	void get_steering_has_its_status()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json
ETag: "1"

{"kind":"steering","name":"shop","revision":1,"spec":{"cap":0.1,"shares":{"east":0.4,"north":0.3,"west":0.3},"window_s":10},"status":{"goal":{"east":0.4,"north":0.3,"west":0.3},"shares":{"east":0.4,"north":0.3,"west":0.3},"state":"done","step":0,"waits_for":""}})",
		    node.ask(http::verb::get, "/v1/resources/steering/shop"));
	}

	void get_backend_server_has_its_status()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json
ETag: "1"

{"kind":"backend_server","name":"shop-east","revision":1,"spec":{"address":"127.0.0.1:1004","domain":"east-a","service":"shop","slots":3},"status":{"running_from_here":0}})",
		    node.ask(http::verb::get, "/v1/resources/backend_server/shop-east"));
	}

	void get_kind_lists_its_resources()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json

{"items":[{"kind":"site","name":"east-a","revision":1,"spec":{"domain":"east-a"}},{"kind":"site","name":"north-a","revision":1,"spec":{"domain":"north-a"}},{"kind":"site","name":"west-a","revision":1,"spec":{"domain":"west-a"}}],"revision":1})",
		    node.ask(http::verb::get, "/v1/resources/site"));
	}

	void get_all_lists_every_kind()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json

{"items":[{"kind":"backend_server","name":"shop-east","revision":1,"spec":{"address":"127.0.0.1:1004","domain":"east-a","service":"shop","slots":3},"status":{"running_from_here":0}},{"kind":"backend_server","name":"shop-north","revision":1,"spec":{"address":"127.0.0.1:1008","domain":"north-a","service":"shop","slots":3},"status":{"running_from_here":0}},{"kind":"backend_server","name":"shop-west","revision":1,"spec":{"address":"127.0.0.1:1012","domain":"west-a","service":"shop","slots":3},"status":{"running_from_here":0}},{"kind":"client_blocks","name":"all","revision":1,"spec":{"blocks":{"10.1.0.0/16":"east-a","10.2.0.0/16":"north-a"}}},{"kind":"domain","name":"east-a","revision":1,"spec":{"region":"east"}},{"kind":"domain","name":"north-a","revision":1,"spec":{"region":"north"}},{"kind":"domain","name":"west-a","revision":1,"spec":{"region":"west"}},{"kind":"entry_vm","name":"east-1","revision":1,"spec":{"callers":"127.0.0.1:1001","domain":"east-a","peers":"127.0.0.1:1003","relay":"127.0.0.1:1002"}},{"kind":"entry_vm","name":"north-1","revision":1,"spec":{"callers":"127.0.0.1:1005","domain":"north-a","peers":"127.0.0.1:1007","relay":"127.0.0.1:1006"}},{"kind":"entry_vm","name":"west-1","revision":1,"spec":{"callers":"127.0.0.1:1009","domain":"west-a","peers":"127.0.0.1:1011","relay":"127.0.0.1:1010"}},{"kind":"region","name":"east","revision":1,"spec":{}},{"kind":"region","name":"north","revision":1,"spec":{}},{"kind":"region","name":"west","revision":1,"spec":{}},{"kind":"service","name":"shop","revision":1,"spec":{}},{"kind":"site","name":"east-a","revision":1,"spec":{"domain":"east-a"}},{"kind":"site","name":"north-a","revision":1,"spec":{"domain":"north-a"}},{"kind":"site","name":"west-a","revision":1,"spec":{"domain":"west-a"}},{"kind":"steering","name":"shop","revision":1,"spec":{"cap":0.1,"shares":{"east":0.4,"north":0.3,"west":0.3},"window_s":10},"status":{"goal":{"east":0.4,"north":0.3,"west":0.3},"shares":{"east":0.4,"north":0.3,"west":0.3},"state":"done","step":0,"waits_for":""}}],"revision":1})",
		    node.ask(http::verb::get, "/v1/resources/all"));
	}

	void get_unknown_is_not_found()
	{
		node_under_test node;
		assert_same_text(R"(
404
Content-Type: application/json

{"error":"not_found","message":"no such resource: region/none"})",
		    node.ask(http::verb::get, "/v1/resources/region/none"));
		assert_same_text(R"(
404
Content-Type: application/json

{"error":"unknown_kind","message":"no such kind: flavour"})",
		    node.ask(http::verb::get, "/v1/resources/flavour"));
		assert_same_text(R"(
404
Content-Type: application/json

{"error":"not_found","message":"no such page: /v1/other"})",
		    node.ask(http::verb::get, "/v1/other"));
		assert_same_text(R"(
404
Content-Type: application/json

{"error":"not_found","message":"no such page: /v1/resources/region/east/more"})",
		    node.ask(http::verb::get, "/v1/resources/region/east/more"));
	}

	void put_and_delete_are_accepted()
	{
		node_under_test node;
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":1})",
		    node.ask(http::verb::put, "/v1/resources/region/east", R"({"spec":{"max_share":0.9}})"));
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":2})",
		    node.ask(http::verb::put, "/v1/resources/region/east", R"({"max_share":0.8})",
		        with("If-Match", "\"1\"")));
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":2})",
		    node.ask(http::verb::put, "/v1/resources/region/east?dry_run=true", R"({"max_share":0.7})"));
		assert_same_text(R"(
200
Content-Type: application/json
ETag: "2"

{"kind":"region","name":"east","revision":2,"spec":{"max_share":0.8}})",
		    node.ask(http::verb::get, "/v1/resources/region/east"));
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":3})",
		    node.ask(http::verb::delete_, "/v1/resources/region/east"));
	}

	void put_of_other_revision_is_a_conflict()
	{
		node_under_test node;
		node.ask(http::verb::put, "/v1/resources/region/east", "{}");
		assert_same_text(R"(
409
Content-Type: application/json

{"error":"conflict","message":"changed by somebody else; read it again","resource":"region/east","resource_revision":1,"revision":1})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}", with("If-Match", "\"7\"")));
		assert_same_text(R"(
409
Content-Type: application/json

{"error":"conflict","message":"changed by somebody else; read it again","resource":"region/east","resource_revision":1,"revision":1})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}", with("If-None-Match", "*")));
	}

	void put_that_breaks_rules_is_invalid()
	{
		node_under_test node;
		assert_same_text(R"(
422
Content-Type: application/json

{"error":"invalid","message":"nothing was changed","mistakes":[{"allowed":"Expected number less than or equal to 1.000000","path":"/region/east/spec/max_share","value":"9"},{"allowed":"Object contains a property that could not be validated using 'properties' or 'additionalProperties' constraints: 'colour'.","path":"/region/east/spec","value":"{\"colour\":1,\"max_share\":9}"}],"revision":0})",
		    node.ask(http::verb::put, "/v1/resources/region/east", R"({"spec":{"max_share":9,"colour":1}})"));
		assert_same_text(R"(
422
Content-Type: application/json

{"error":"invalid","message":"nothing was changed","mistakes":[{"allowed":"one of the resource kinds","path":"/flavour/east","value":"\"flavour\""}],"revision":0})",
		    node.ask(http::verb::put, "/v1/resources/flavour/east", "{}"));
	}

	void change_that_is_no_change_is_refused()
	{
		node_under_test node;
		assert_same_text(R"(
400
Content-Type: application/json

{"error":"bad_json","message":"the body is not a JSON object"})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "[1]"));
		assert_same_text(R"(
405
Content-Type: application/json

{"error":"method","message":"GET, PUT and DELETE are known"})",
		    node.ask(http::verb::post, "/v1/resources/region/east", "{}"));
	}

	void change_without_token_is_refused()
	{
		node_under_test node;
		assert_same_text(R"(
401
Content-Type: application/json
WWW-Authenticate: Bearer

{"error":"token","message":"the change needs the operators' token"})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}", {}));
		assert_same_text(R"(
401
Content-Type: application/json
WWW-Authenticate: Bearer

{"error":"token","message":"the change needs the operators' token"})",
		    node.ask(
		        http::verb::put, "/v1/resources/region/east", "{}", {{"Authorization", "Bearer other"}}));
	}

	void apply_is_accepted()
	{
		node_under_test node;
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":1})",
		    node.ask(http::verb::post, "/v1/apply",
		        R"({"resources":[{"kind":"region","name":"east","spec":{}},
		            {"kind":"domain","name":"east-a","spec":{"region":"east"},"revision":0}]})"));
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":1})",
		    node.ask(http::verb::post, "/v1/apply",
		        R"({"dry_run":true,"resources":[{"kind":"region","name":"west"}]})"));
		assert_same_text(R"(
200
Content-Type: application/json

{"revision":2})",
		    node.ask(http::verb::post, "/v1/apply",
		        R"({"resources":[{"kind":"domain","name":"east-a","delete":true,"revision":1}]})"));
		assert_same_text(R"(
200
Content-Type: application/json

{"items":[{"kind":"region","name":"east","revision":1,"spec":{}}],"revision":2})",
		    node.ask(http::verb::get, "/v1/resources/all"));
	}

	void apply_of_other_revision_is_a_conflict()
	{
		node_under_test node;
		node.ask(http::verb::put, "/v1/resources/region/east", "{}");
		assert_same_text(R"(
409
Content-Type: application/json

{"error":"conflict","message":"changed by somebody else; read it again","resource":"region/east","resource_revision":1,"revision":1})",
		    node.ask(http::verb::post, "/v1/apply",
		        R"({"resources":[{"kind":"region","name":"east","spec":{},"revision":5}]})"));
	}

	void apply_that_breaks_rules_is_invalid()
	{
		node_under_test node;
		assert_same_text(R"(
422
Content-Type: application/json

{"error":"invalid","message":"nothing was changed","mistakes":[{"allowed":"name of a declared region","path":"/domain/east-a/spec/region","value":"\"nowhere\""}],"revision":0})",
		    node.ask(http::verb::post, "/v1/apply",
		        R"({"resources":[{"kind":"domain","name":"east-a","spec":{"region":"nowhere"}}]})"));
	}

	void apply_that_is_no_list_is_refused()
	{
		node_under_test node;
		assert_same_text(R"(
400
Content-Type: application/json

{"error":"bad_json","message":"the body is not {\"resources\": [...]}"})",
		    node.ask(http::verb::post, "/v1/apply", "{}"));
		assert_same_text(R"(
400
Content-Type: application/json

{"error":"bad_resource","message":"each resource needs kind, name and spec"})",
		    node.ask(http::verb::post, "/v1/apply", R"({"resources":[{"kind":"region"}]})"));
	}

	void change_when_response_lost_is_unsure()
	{
		node_under_test node;
		node.store->write_call_status = call_status::unsure;
		assert_same_text(R"(
504
Content-Type: application/json

{"error":"unsure","message":"the platform stopped answering; the change may be in force: read it again","revision":0})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}"));
	}

	void change_when_platform_down_is_not_done()
	{
		node_under_test node;
		node.store->down = true;
		assert_same_text(R"(
503
Content-Type: application/json

{"error":"platform_down","message":"the platform does not answer; nothing was changed","revision":0})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}"));
	}

	void change_when_platform_older_is_not_done()
	{
		node_under_test node;
		node.ask(http::verb::put, "/v1/resources/region/east", "{}");
		node.engine = store_engine();
		node.store->write_call_status = call_status::not_done;
		assert_same_text(R"(
503
Content-Type: application/json

{"error":"platform_older","message":"the platform holds older data and is being restored; nothing was changed","revision":0})",
		    node.ask(http::verb::put, "/v1/resources/region/east", "{}"));
	}

	void status_without_configuration_is_answered()
	{
		node_under_test node;
		assert_same_text(R"(
200
Content-Type: application/json

{"backends":[],"control":{"received_bytes":1400,"received_messages":13,"sent_bytes":1200,"sent_messages":11},"degraded":["no_configuration"],"domain":"east-a","entry_vms":[],"keys":0,"life":1576800000000000,"node":"east-1","platform_calls":COUNTS,"platform_up":BOOL,"revision":0,"rooms":[],"shifts":[],"version":"0.1.0"})",
		    masked(masked(node.ask(http::verb::get, "/v1/status"), "\"platform_calls\":\\{[^}]*\\}",
		               "\"platform_calls\":COUNTS"),
		        "\"platform_up\":(true|false)", "\"platform_up\":BOOL"));
	}

	void status_with_configuration_is_answered()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json

{"backends":[{"drain":false,"full_ms":0,"name":"shop-east","owned":true,"pace":3.0,"running":0,"served":0,"service":"shop","slots":3}],"control":{"received_bytes":1400,"received_messages":13,"sent_bytes":1200,"sent_messages":11},"degraded":["cut_off_from:north-a","cut_off_from:west-a","stale_measurements:shop-east"],"domain":"east-a","entry_vms":[{"domain":"east-a","lags":false,"name":"east-1","revision":1,"state":"alive"},{"domain":"north-a","lags":true,"name":"north-1","revision":0,"state":"unknown"},{"domain":"west-a","lags":true,"name":"west-1","revision":0,"state":"unknown"}],"keys":0,"life":1576800000000000,"node":"east-1","platform_calls":COUNTS,"platform_up":true,"revision":1,"rooms":[{"domain":"east-a","entry_vm":"east-1","region":"east","running":0,"service":"shop","slots":3,"usable":3}],"shifts":[{"goal":{"east":0.4,"north":0.3,"west":0.3},"in_force":{"east":0.4,"north":0.3,"west":0.3},"service":"shop","shares":{"east":0.4,"north":0.3,"west":0.3},"state":"done","step":0,"waits_for":""}],"version":"0.1.0"})",
		    masked(node.ask(http::verb::get, "/v1/status"), "\"platform_calls\":\\{[^}]*\\}",
		        "\"platform_calls\":COUNTS"));
	}

	void explain_is_answered()
	{
		node_under_test node;
		node.configure();
		assert_same_text(R"(
200
Content-Type: application/json

{"caller":"10.1.0.1","entry_vms":[{"domain":"east-a","entry_vm":"east-1","running":0,"usable":3,"weight":1.0}],"region":"east","revision":1,"service":"shop","steps":[{"result":"east-a","rule":"client_block"},{"result":"east","rule":"home_region"},{"parts":{"east":1.0,"north":0.0,"west":0.0},"point":0.28684091066715456,"result":"east","rule":"mix"}]})",
		    node.ask(http::verb::get, "/v1/explain?service=shop&caller=10.1.0.1"));
		assert_same_text(R"(
400
Content-Type: application/json

{"error":"bad_query","message":"needs service=NAME and caller=IP"})",
		    node.ask(http::verb::get, "/v1/explain?service=shop&caller=somebody"));
	}

	void watch_sends_a_line_of_status()
	{
		node_under_test node;
		node.configure();
		std::string line;
		run_coroutine(node.context,
		    [&](const yield_context& _yield)
		    {
			    beast::tcp_stream stream(node.context);
			    stream.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), node.port), _yield);
			    http::async_write(
			        stream, make_request(http::verb::get, "/v1/watch", {"127.0.0.1", node.port}), _yield);
			    beast::flat_buffer buffer;
			    http::response_parser<http::string_body> parser;
			    http::async_read_header(stream, buffer, parser, _yield);
			    line = std::to_string(parser.get().result_int()) + " " +
			           header_of(parser.get(), "Content-Type") + "\n";
			    while (std::string::npos == parser.get().body().find('\n'))
			    {
				    http::async_read_some(stream, buffer, parser, _yield);
			    }
			    line += parser.get().body();
		    });
		assert_same_text(R"(
200 application/x-ndjson
{"degraded":["cut_off_from:north-a","cut_off_from:west-a","stale_measurements:shop-east"],"entry_vms":[{"domain":"east-a","lags":false,"name":"east-1","revision":1,"state":"alive"},{"domain":"north-a","lags":true,"name":"north-1","revision":0,"state":"unknown"},{"domain":"west-a","lags":true,"name":"west-1","revision":0,"state":"unknown"}],"revision":1,"shifts":[{"goal":{"east":0.4,"north":0.3,"west":0.3},"in_force":{"east":0.4,"north":0.3,"west":0.3},"service":"shop","shares":{"east":0.4,"north":0.3,"west":0.3},"state":"done","step":0,"waits_for":""}]}
)",
		    line);
	}

	void cut_exists_only_with_test_faults()
	{
		node_under_test node;
		assert_same_text(R"(
404
Content-Type: application/json

{"error":"not_found","message":"no such page: /v1/test/cut"})",
		    node.ask(http::verb::put, "/v1/test/cut", "{}"));
		node_under_test faulty(true);
		assert_same_text(R"(
200
Content-Type: application/json

{})",
		    faulty.ask(http::verb::put, "/v1/test/cut", R"({"entry_vms":["west-1"],"platform":true})"));
		assert_same_text(R"(
400
Content-Type: application/json

{"error":"bad_json","message":"the body is not a JSON object"})",
		    faulty.ask(http::verb::put, "/v1/test/cut", "no JSON"));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_operators_forms_test);
} // namespace larkrack
