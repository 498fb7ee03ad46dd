// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Settings, policies, the table of client blocks, and the configuration replica, whose revision only grows.

#include "fixtures.h"

#include "base/settings_p.h"
#include "larkrackd/config_replica_p.h"
#include "larkrackd/log_p.h"

#include <rapidcheck.h>

#include <fstream>
#include <regex>

namespace larkrack
{
class policy_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(policy_test);
	CPPUNIT_TEST(policy_when_valid_is_built);
	CPPUNIT_TEST(policy_when_many_mistakes_reports_each_with_path);
	CPPUNIT_TEST(settings_when_example_are_valid);
	CPPUNIT_TEST(settings_when_wrong_report_every_mistake);
	CPPUNIT_TEST(lookup_when_blocks_nest_finds_longest);
	CPPUNIT_TEST(lookup_when_v6_finds_block);
	CPPUNIT_TEST(lookup_when_blocks_are_random_agrees_with_linear_search);
	CPPUNIT_TEST(configuration_when_older_is_not_applied);
	CPPUNIT_TEST(configuration_when_invalid_is_rejected_whole);
	CPPUNIT_TEST(configuration_when_another_resource_changes_keeps_the_client_table);
	CPPUNIT_TEST(configuration_when_one_shard_changes_parses_only_that_one);
	CPPUNIT_TEST(changes_when_passed_on_give_the_same_configuration);
	CPPUNIT_TEST(changes_when_base_is_unknown_are_rejected);
	CPPUNIT_TEST(events_when_catalogued_match_the_page);
	CPPUNIT_TEST_SUITE_END();

	static std::string site_of(const policy& _policy, const std::string& _address)
	{
		const site_handle site = _policy.clients->find(boost::asio::ip::make_address(_address));
		return is_valid(site) ? _policy.sites[site.idx].name : "";
	}

public:
	void policy_when_valid_is_built()
	{
		const auto built = build_policy(small_configuration());
		const policy_ptr rules = std::get<policy_ptr>(built);
		CPPUNIT_ASSERT_EQUAL(std::size_t{3}, rules->regions.size());
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), site_of(*rules, "10.1.200.3"));
		CPPUNIT_ASSERT_EQUAL(std::string(), site_of(*rules, "10.3.0.1"));
	}

	void policy_when_many_mistakes_reports_each_with_path()
	{
		config_state state = small_configuration();
		put(state, "region/east", {{"max_share", 7}, {"colour", "red"}});
		put(state, "domain/north-a", {{"drain", true}});
		put(state, "backend_server/shop-east",
		    {{"service", "shop"}, {"domain", "east-a"}, {"address", 5}, {"slots", 0}});
		put(state, "steering/shop", {{"shares", {{"east", "much"}}}, {"cap", 0}});
		const auto mistakes = std::get<std::vector<mistake>>(build_policy(state));
		std::set<std::string> paths;
		for (const mistake& one : mistakes)
		{
			paths.insert(one.path);
		}
		for (const std::string path :
		    {"/region/east/spec/max_share", "/region/east/spec", "/domain/north-a/spec",
		        "/backend_server/shop-east/spec/address", "/backend_server/shop-east/spec/slots",
		        "/steering/shop/spec/shares/east", "/steering/shop/spec/cap"})
		{
			CPPUNIT_ASSERT_MESSAGE(path, 0 < paths.count(path));
		}
	}

	void settings_when_example_are_valid()
	{
		const std::string path =
		    std::string(LARKRACK_SOURCE_DIR) + "/examples/ondaraiz/entry_vms/pamplona-a-1.json";
		const auto file = read_json_file(path);
		CPPUNIT_ASSERT(std::holds_alternative<settings>(parse_settings(std::get<nlohmann::json>(file))));
	}

	void settings_when_wrong_report_every_mistake()
	{
		const nlohmann::json document = {{"name", ""}, {"region", "east"}, {"domain", "east-a"},
		    {"listen", {{"callers", "here"}, {"relay", "127.0.0.1:1"}, {"peers", "127.0.0.1:2"}}},
		    {"platform", "127.0.0.1:3"}, {"secret", "short"}, {"operator_token", "long enough"},
		    {"colour", 1}};
		const auto mistakes = std::get<std::vector<mistake>>(parse_settings(document));
		CPPUNIT_ASSERT_EQUAL(std::size_t{5}, mistakes.size());
	}

	void lookup_when_blocks_nest_finds_longest()
	{
		config_state state = small_configuration();
		put(state, "client_blocks/all",
		    {{"blocks", {{"10.0.0.0/8", "east-a"}, {"10.1.0.0/16", "north-a"}, {"10.1.2.0/24", "west-a"}}}});
		const policy_ptr rules = std::get<policy_ptr>(build_policy(state));
		CPPUNIT_ASSERT_EQUAL(std::string("west-a"), site_of(*rules, "10.1.2.9"));
		CPPUNIT_ASSERT_EQUAL(std::string("north-a"), site_of(*rules, "10.1.3.0"));
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), site_of(*rules, "10.2.0.0"));
		CPPUNIT_ASSERT_EQUAL(std::string(), site_of(*rules, "11.0.0.0"));
	}

	void lookup_when_v6_finds_block()
	{
		config_state state = small_configuration();
		put(state, "client_blocks/all",
		    {{"blocks", {{"2001:db8::/32", "east-a"}, {"2001:db8:1::/48", "west-a"}}}});
		const policy_ptr rules = std::get<policy_ptr>(build_policy(state));
		CPPUNIT_ASSERT_EQUAL(std::string("west-a"), site_of(*rules, "2001:db8:1::5"));
		CPPUNIT_ASSERT_EQUAL(std::string("east-a"), site_of(*rules, "2001:db8:2::5"));
		CPPUNIT_ASSERT_EQUAL(std::string(), site_of(*rules, "2001:db9::"));
	}

	void lookup_when_blocks_are_random_agrees_with_linear_search()
	{
		const bool held = rc::check("the flat table agrees with a search through all blocks",
		    [](const std::vector<std::uint32_t>& _numbers)
		    {
			    std::vector<client_block> blocks;
			    for (std::size_t at = 0; at < _numbers.size(); ++at)
			    {
				    const auto address = boost::asio::ip::make_address_v4(_numbers[at]);
				    const std::string text = address.to_string() + "/" + std::to_string(_numbers[at] % 33);
				    client_block block = std::get<client_block>(parse_block(text));
				    block.site = {static_cast<std::uint16_t>(at)};
				    blocks.push_back(block);
			    }
			    const prefix_table table(blocks);
			    for (const std::uint32_t number : _numbers)
			    {
				    for (const std::uint32_t probe : {number, number + 1, number ^ 255})
				    {
					    RC_ASSERT(find_linearly(blocks, probe) ==
					              table.find(boost::asio::ip::make_address_v4(probe)));
				    }
			    }
		    });
		CPPUNIT_ASSERT(held);
	}

	void configuration_when_older_is_not_applied()
	{
		config_replica replica;
		CPPUNIT_ASSERT(apply_status::applied == replica.apply(small_configuration(5)));
		CPPUNIT_ASSERT(apply_status::not_newer == replica.apply(small_configuration(5)));
		CPPUNIT_ASSERT(apply_status::not_newer == replica.apply(small_configuration(4)));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, replica.current()->rev.value);
	}

	void configuration_when_invalid_is_rejected_whole()
	{
		config_replica replica;
		replica.apply(small_configuration(1));
		config_state next = small_configuration(2);
		put(next, "region/east", {{"max_share", -1}});
		CPPUNIT_ASSERT(apply_status::invalid == replica.apply(next));
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, replica.current()->rev.value);
	}

	/// Guards against parsing all client blocks at each change, which took 2.1 s of processor time at 1.1 M
	/// blocks.
	void configuration_when_another_resource_changes_keeps_the_client_table()
	{
		config_replica replica;
		replica.apply(small_configuration(1));
		const policy_ptr before = replica.current();
		config_state next = small_configuration(1);
		next.rev = {2};
		put(next, "region/east", {{"max_share", 0.9}});
		CPPUNIT_ASSERT(apply_status::applied == replica.apply(next));
		CPPUNIT_ASSERT(before->clients && before->clients == replica.current()->clients);
	}

	void configuration_when_one_shard_changes_parses_only_that_one()
	{
		config_state state = small_configuration(1);
		put(state, "client_blocks/more", {{"blocks", {{"10.3.0.0/16", "east-a"}}}});
		config_replica replica;
		replica.apply(state);
		const policy_ptr before = replica.current();
		state.rev = {2};
		put(state, "client_blocks/more", {{"blocks", {{"10.3.0.0/16", "west-a"}}}});
		CPPUNIT_ASSERT(apply_status::applied == replica.apply(state));
		const policy_ptr after = replica.current();
		CPPUNIT_ASSERT(
		    before->client_shards.at("client_blocks/all") == after->client_shards.at("client_blocks/all"));
		CPPUNIT_ASSERT_EQUAL(std::string("west-a"), site_of(*after, "10.3.0.1"));
	}

	void changes_when_passed_on_give_the_same_configuration()
	{
		config_replica first;
		config_replica second;
		first.apply(small_configuration(1));
		second.apply(small_configuration(1));
		config_state next = small_configuration(1);
		next.rev = {2};
		put(next, "region/south", nlohmann::json::object());
		next.resources.erase("backend_server/shop-east");
		first.apply(next);
		const message_config changes = first.changes_since({1});
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.changed.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.removed.size());
		CPPUNIT_ASSERT(apply_status::applied == second.apply(changes));
		CPPUNIT_ASSERT_EQUAL(std::size_t{4}, second.current()->regions.size());
		CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.current()->backends.size());
	}

	void changes_when_base_is_unknown_are_rejected()
	{
		config_replica replica;
		replica.apply(small_configuration(1));
		message_config changes;
		changes.base = {3};
		changes.rev = {4};
		CPPUNIT_ASSERT(apply_status::unknown_base == replica.apply(changes));
	}

	void events_when_catalogued_match_the_page()
	{
		std::ifstream page(std::string(LARKRACK_SOURCE_DIR) + "/docs/EVENTS.md");
		const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
		std::set<int> numbers;
		for (const event_info& row : event_catalogue())
		{
			const std::string weight = severity::info == row.weight
			                               ? "info"
			                               : (severity::warning == row.weight ? "warning" : "error");
			const std::string line = "| " + std::to_string(static_cast<int>(row.id)) + " | " + row.name +
			                         " | " + weight + " | " + row.text + " |";
			CPPUNIT_ASSERT_MESSAGE(line, std::string::npos != text.find(line));
			CPPUNIT_ASSERT(numbers.insert(static_cast<int>(row.id)).second);
		}
		const std::regex rows("\\| [0-9]{4} \\|");
		const auto count =
		    std::distance(std::sregex_iterator(text.begin(), text.end(), rows), std::sregex_iterator());
		CPPUNIT_ASSERT_EQUAL(numbers.size(), static_cast<std::size_t>(count));
	}

private:
	static site_handle find_linearly(const std::vector<client_block>& _blocks, std::uint32_t _number)
	{
		site_handle best;
		int best_bits = -1;
		for (const client_block& block : _blocks)
		{
			const std::uint64_t size = std::uint64_t{1} << (32 - block.bits);
			const bool holds = block.first.low <= _number && _number < block.first.low + size;
			if (holds && best_bits <= block.bits)
			{
				best = block.site;
				best_bits = block.bits;
			}
		}
		return best;
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);
} // namespace larkrack
