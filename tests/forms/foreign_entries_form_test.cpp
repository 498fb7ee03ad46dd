// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Anyone may write to the registry: entries with random changes must not affect the valid entries beside
/// them, whether a node gets them by a read, by a watch or from a peer's datagrams.

#include "fixtures.h"

#include "entry_node/state_replica_p.h"
#include "entry_node/store_changes_codec_p.h"

#include "platform_dialect_p.h"

#include <rapidcheck.h>

namespace larkrack
{
namespace
{
std::string valid_entry()
{
	return R"({"Address":"10.0.1.1:8080","Info":{"Service":"shop","Version":"v1","Zone":"east-a","Slots":4},)"
	       R"("Status":{"State":"ready","CallSeq":4,"WarmupLeftMs":0},"born":1796083200123})";
}

/// @returns A valid entry with random bytes changed, removed or inserted, or its end cut off.
std::string mutated_entry()
{
	std::string text = valid_entry();
	const int changes = *rc::gen::inRange(1, 8);
	for (int i = 0; i < changes && !text.empty(); ++i)
	{
		const std::size_t at = *rc::gen::inRange(std::size_t(0), text.size());
		switch (*rc::gen::inRange(0, 4))
		{
		case 0:
			text[at] = *rc::gen::arbitrary<char>();
			break;
		case 1:
			text.erase(at, *rc::gen::inRange(std::size_t(1), std::size_t(30)));
			break;
		case 2:
			text.insert(at, *rc::gen::arbitrary<std::string>());
			break;
		default:
			text.resize(at);
			break;
		}
	}
	return text;
}
} // namespace

class foreign_entries_form_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(foreign_entries_form_test);
	CPPUNIT_TEST(random_entries_leave_valid_entries_usable);
	CPPUNIT_TEST_SUITE_END();

protected:
	void random_entries_leave_valid_entries_usable()
	{
		const bool held = rc::check("sound entries hold, however they come",
		    []()
		    {
			    clock_virtual clock;
			    const platform_codec codec;
			    entry_log log("test", -1);
			    const std::unordered_map<std::string, std::string> regions{{"east-a", "east"}};
			    std::vector<std::unique_ptr<backend_registry>> registries;
			    std::vector<std::unique_ptr<state_replica>> replicas;
			    for (int source = 0; source < 3; ++source)
			    {
				    registries.push_back(std::make_unique<backend_registry>(regions));
				    replicas.push_back(std::make_unique<state_replica>(
				        clock, codec, *registries.back(), log,
				        [](const std::shared_ptr<const routing_table>&)
				        {
				        },
				        [](const std::string&)
				        {
				        }));
			    }
			    watch_batch batch;
			    for (std::int64_t revision = 1; revision <= 9; ++revision)
			    {
				    const bool valid = 0 == revision % 3;
				    const std::string key =
				        (valid ? "servers/sound" : "servers/odd") + std::to_string(revision);
				    batch.puts.push_back({key, valid ? valid_entry() : mutated_entry(), revision, 0});
			    }
			    batch.store_revision = 9;
			    replicas[0]->replace(batch.puts, 9); // From a read of all keys.
			    replicas[1]->apply(batch);           // From a watch.
			    for (const store_changes& part : split_for_datagrams({0, false, batch}))
			    {
				    const std::vector<std::uint8_t> bytes = encode(part);
				    const result<store_changes> received = decode_store_changes(bytes.data(), bytes.size());
				    RC_ASSERT(std::holds_alternative<store_changes>(received));
				    replicas[2]->apply(std::get<store_changes>(received)); // From a peer's datagrams.
			    }
			    for (const auto& registry : registries)
			    {
				    for (const char* id : {"sound3", "sound6", "sound9"})
				    {
					    const backend_ptr backend = registry->find(backend_id(id));
					    RC_ASSERT(backend && backend->usable(clock.steady()));
					    RC_ASSERT(4 == backend->registered.slots);
				    }
			    }
		    });
		CPPUNIT_ASSERT(held);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(foreign_entries_form_test);
} // namespace larkrack
