// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of state_replica: changes, full copies and the lifetime of registry entries; and of the transfer of
/// changes and pages between nodes: compression, caches and division into datagrams.

#include "fixtures.h"
#include "plain_codec.h"

#include "entry_node/deflate_p.h"
#include "entry_node/packed_pages_p.h"
#include "entry_node/store_changes_codec_p.h"

#include <algorithm>
#include <limits>

namespace larkrack
{
class state_replica_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(state_replica_test);
	CPPUNIT_TEST(routes_invalid_keep_the_last_valid_ones);
	CPPUNIT_TEST(backend_draining_takes_effect_at_once);
	CPPUNIT_TEST(backend_vanished_is_removed_after_delay);
	CPPUNIT_TEST(backend_vanished_during_store_outage_stays_until_the_store_is_reachable);
	CPPUNIT_TEST(backend_vanished_after_store_outage_is_removed_within_the_drain_limit);
	CPPUNIT_TEST(backend_vanished_before_store_outage_is_removed_in_time);
	CPPUNIT_TEST(backend_vanished_after_a_single_failed_call_is_removed_in_time);
	CPPUNIT_TEST(backend_that_returns_is_not_removed);
	CPPUNIT_TEST(backend_deleted_and_put_in_one_batch_stays);
	CPPUNIT_TEST(backend_older_value_after_its_delete_is_ignored);
	CPPUNIT_TEST(evacuation_set_and_cleared);
	CPPUNIT_TEST(older_change_is_ignored);
	CPPUNIT_TEST(changes_from_another_node_produce_the_same_state);
	CPPUNIT_TEST(changes_after_a_gap_are_applied_and_keep_the_revision);
	CPPUNIT_TEST(changes_omit_routes_that_the_requester_has);
	CPPUNIT_TEST(changes_since_a_forgotten_revision_are_a_full_copy);
	CPPUNIT_TEST(copy_from_pages_of_several_nodes_produces_the_same_state);
	CPPUNIT_TEST(copy_interrupted_resumes_after_its_last_key);
	CPPUNIT_TEST(copy_of_older_pages_is_completed_by_later_changes);
	CPPUNIT_TEST(copy_removes_missing_keys);
	CPPUNIT_TEST(page_invalid_is_rejected);
	CPPUNIT_TEST(deflated_bytes_are_inflated_up_to_the_limit);
	CPPUNIT_TEST(deflated_bytes_of_any_length_are_inflated);
	CPPUNIT_TEST(deflated_bytes_cut_anywhere_are_refused);
	CPPUNIT_TEST(changes_requested_by_many_are_compressed_once);
	CPPUNIT_TEST(pages_requested_by_many_are_compressed_once_and_expire);
	CPPUNIT_TEST(changes_split_and_joined_are_unchanged);
	CPPUNIT_TEST(changes_split_part_has_only_deletes_of_its_revisions);
	CPPUNIT_TEST(changes_with_a_large_value_are_not_split);
	CPPUNIT_TEST(changes_with_a_large_configuration_are_sent_without_it);
	CPPUNIT_TEST(routes_missed_are_sent_although_all_other_changes_are_known);
	CPPUNIT_TEST(backend_with_entry_overwritten_by_foreign_writer_is_unusable_and_removed);
	CPPUNIT_TEST(backend_with_entry_rewritten_after_foreign_entry_stays);
	CPPUNIT_TEST(foreign_entry_with_older_revision_is_ignored);
	CPPUNIT_TEST(foreign_entries_in_a_full_copy_leave_the_others_unchanged);
	CPPUNIT_TEST(backend_restarted_under_its_id_has_no_former_load);
	CPPUNIT_TEST(backend_restarted_is_not_charged_for_its_former_incarnation);
	CPPUNIT_TEST(backend_entry_of_a_former_incarnation_is_ignored);
	CPPUNIT_TEST(requests_in_flight_are_reported_until_they_end);
	CPPUNIT_TEST(backend_with_clock_set_back_is_applied_once_its_former_entry_expires);
	CPPUNIT_TEST(backend_incarnations_in_any_order_produce_the_same_state);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_versions.clear();
		m_last_revision = 0;
		m_registry = make_registry();
		m_replica = make_replica(*m_registry);
	}

protected:
	static std::unique_ptr<backend_registry> make_registry()
	{
		return std::make_unique<backend_registry>(
		    std::unordered_map<std::string, std::string>{{"east-a", "east"}});
	}

	std::unique_ptr<state_replica> make_replica(backend_registry& _registry)
	{
		return std::make_unique<state_replica>(
		    m_clock, m_codec, _registry, m_log,
		    [this](const std::shared_ptr<const routing_table>& _routes)
		    {
			    m_versions.push_back(_routes->version());
		    },
		    [](const std::string&)
		    {
		    });
	}

	static store_value item(const std::string& _key, const std::string& _value, std::int64_t _revision)
	{
		return {_key, _value, _revision, 0};
	}

	void put(const std::string& _key, const std::string& _value, std::int64_t _revision)
	{
		m_replica->apply(watch_batch{{item(_key, _value, _revision)}, {}, _revision});
	}

	void remove(const std::string& _key, std::int64_t _revision)
	{
		m_replica->apply(watch_batch{{}, {{_key, _revision}}, _revision});
	}

	void wait(int _ms)
	{
		m_clock.advance(std::chrono::milliseconds(_ms));
		m_replica->tick();
	}

	void routes_invalid_keep_the_last_valid_ones()
	{
		put("routes", "3", 1);
		put("routes", "bad", 2);
		CPPUNIT_ASSERT(std::vector<std::uint64_t>{3} == m_versions);
	}

	void backend_draining_takes_effect_at_once()
	{
		put("backend/b1", "ready", 1);
		CPPUNIT_ASSERT(m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
		put("backend/b1", "draining", 2);
		CPPUNIT_ASSERT(!m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
	}

	void backend_vanished_is_removed_after_delay()
	{
		put("backend/b1", "ready", 1);
		remove("backend/b1", 2);
		CPPUNIT_ASSERT(m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
		wait(600);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	void backend_vanished_during_store_outage_stays_until_the_store_is_reachable()
	{
		put("backend/b1", "ready", 1);
		m_replica->on_store_unreachable();
		remove("backend/b1", 2);
		wait(3000);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b1")));
		m_replica->on_store_reachable();
		wait(1900);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b1")));
		wait(200);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	/// A backend server that vanishes some time after a store outage is subject to the usual drain limit.
	void backend_vanished_after_store_outage_is_removed_within_the_drain_limit()
	{
		put("backend/b1", "ready", 1);
		m_replica->on_store_unreachable();
		wait(4000);
		m_replica->on_store_reachable();
		wait(1000);
		remove("backend/b1", 2);
		wait(1100);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	void backend_vanished_before_store_outage_is_removed_in_time()
	{
		put("backend/b1", "ready", 1);
		remove("backend/b1", 2);
		wait(100);
		m_replica->on_store_unreachable();
		wait(1000);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	void backend_vanished_after_a_single_failed_call_is_removed_in_time()
	{
		put("backend/b1", "ready", 1);
		m_replica->on_store_unreachable();
		wait(100);
		m_replica->on_store_reachable();
		remove("backend/b1", 2);
		wait(1100);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	void backend_that_returns_is_not_removed()
	{
		put("backend/b1", "ready", 1);
		remove("backend/b1", 2);
		put("backend/b1", "ready", 3);
		wait(2000);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b1")));
	}

	void backend_deleted_and_put_in_one_batch_stays()
	{
		put("backend/b1", "ready", 1);
		m_replica->apply(watch_batch{{item("backend/b1", "ready", 3)}, {{"backend/b1", 2}}, 3});
		wait(2000);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b1")));
	}

	/// Changes arrive from two nodes, so that a delete may overtake an older value of the same key.
	void backend_older_value_after_its_delete_is_ignored()
	{
		put("backend/b1", "ready", 5);
		m_replica->apply(store_changes{8, false, watch_batch{{}, {{"backend/b1", 9}}, 9}});
		wait(500);
		m_replica->apply(store_changes{5, false, watch_batch{{item("backend/b1", "ready", 7)}, {}, 7}});
		wait(600);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
	}

	void evacuation_set_and_cleared()
	{
		put("backend/b1", "ready", 1);
		put("evacuate/east-a", "", 2);
		CPPUNIT_ASSERT(!m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
		remove("evacuate/east-a", 3);
		CPPUNIT_ASSERT(m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
	}

	void older_change_is_ignored()
	{
		put("backend/b1", "draining", 5);
		put("backend/b1", "ready", 4);
		CPPUNIT_ASSERT(!m_registry->find(backend_id("b1"))->usable(m_clock.steady()));
		remove("backend/b1", 3);
		wait(2000);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b1")));
	}

	void changes_from_another_node_produce_the_same_state()
	{
		put("routes", "3", 1);
		put("backend/b1", "ready", 2);
		put("backend/b2", "ready", 3);
		const auto registry = make_registry();
		const auto other = make_replica(*registry);
		CPPUNIT_ASSERT(other->apply(m_replica->changes_after(0)));
		put("backend/b1", "draining", 4);
		remove("backend/b2", 5);
		CPPUNIT_ASSERT(other->apply(m_replica->changes_after(3)));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(5), other->revision());
		CPPUNIT_ASSERT(registry->find(backend_id("b1"))->registered.draining);
		m_clock.advance(std::chrono::milliseconds(1100));
		other->tick();
		CPPUNIT_ASSERT(nullptr == registry->find(backend_id("b2")));
	}

	void changes_after_a_gap_are_applied_and_keep_the_revision()
	{
		put("backend/b1", "ready", 2);
		store_changes changes;
		changes.after = 3;
		changes.batch = {{item("backend/b2", "ready", 4)}, {}, 4};
		CPPUNIT_ASSERT(!m_replica->apply(changes));
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b2")));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(2), m_replica->revision());
		// The missing change arrives later and does not overwrite newer values.
		store_changes missing;
		missing.after = 2;
		missing.batch = {{item("backend/b1", "draining", 3)}, {}, 4};
		CPPUNIT_ASSERT(m_replica->apply(missing));
		CPPUNIT_ASSERT(m_registry->find(backend_id("b1"))->registered.draining);
		CPPUNIT_ASSERT(nullptr != m_registry->find(backend_id("b2")));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(4), m_replica->revision());
	}

	void changes_omit_routes_that_the_requester_has()
	{
		put("backend/b1", "ready", 1);
		put("routes", "3", 2);
		const auto registry = make_registry();
		const auto other = make_replica(*registry);
		other->apply(item("routes", "3", 2));
		const store_changes changes = m_replica->changes_after(0, other->routes_revision());
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.batch.puts.size());
		CPPUNIT_ASSERT(other->apply(changes));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(2), other->routes_revision());
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_replica->changes_after(0, 1).batch.puts.size());
	}

	void changes_since_a_forgotten_revision_are_a_full_copy()
	{
		std::int64_t revision = 0;
		for (int i = 0; i < 600; ++i)
		{
			put("backend/b1", "ready", ++revision);
			remove("backend/b1", ++revision);
		}
		CPPUNIT_ASSERT(m_replica->changes_after(10).whole);
		CPPUNIT_ASSERT(!m_replica->changes_after(revision - 20).whole);
	}

	/// Copies at most _max_pages pages from one replica to another, until the copy is complete.
	static void fetch_pages(const state_replica& _source, state_replica& _destination, int _max_pages = 1000)
	{
		_destination.begin_copy();
		for (int i = 0; i < _max_pages && _destination.copy_position(); ++i)
		{
			const std::string after = *_destination.copy_position();
			result<state_page> page = decode_state_page(encode(_source.page_after(after, 100)), after);
			CPPUNIT_ASSERT(nullptr != value_of(page));
			_destination.apply_page(*value_of(page));
		}
	}

	void put_many(int _begin, int _end)
	{
		for (int i = _begin; i < _end; ++i)
		{
			put("backend/b" + std::to_string(100 + i), "ready", ++m_last_revision);
		}
	}

	void copy_from_pages_of_several_nodes_produces_the_same_state()
	{
		put("routes", "3", ++m_last_revision);
		put_many(0, 50);
		const auto registry = make_registry();
		const auto source = make_replica(*registry);
		fetch_pages(*m_replica, *source);
		CPPUNIT_ASSERT_EQUAL(std::size_t(50), registry->size());
		CPPUNIT_ASSERT_EQUAL(m_replica->revision(), source->revision());
		CPPUNIT_ASSERT_EQUAL(std::int64_t(1), source->routes_revision());
		const auto other_registry = make_registry();
		const auto destination = make_replica(*other_registry);
		fetch_pages(*source, *destination, 3);
		CPPUNIT_ASSERT_EQUAL(std::int64_t(0), destination->revision());
		fetch_pages(*m_replica, *destination);
		CPPUNIT_ASSERT_EQUAL(std::size_t(50), other_registry->size());
		CPPUNIT_ASSERT_EQUAL(m_replica->revision(), destination->revision());
	}

	void copy_interrupted_resumes_after_its_last_key()
	{
		put_many(0, 50);
		const auto registry = make_registry();
		const auto destination = make_replica(*registry);
		fetch_pages(*m_replica, *destination, 2);
		const std::string before = *destination->copy_position();
		destination->begin_copy();
		CPPUNIT_ASSERT_EQUAL(before, *destination->copy_position());
		destination->replace(
		    {item("backend/b100", "ready", 1)}, 90); // This node has read the store meanwhile.
		CPPUNIT_ASSERT(!destination->copy_position());
		m_clock.advance(std::chrono::milliseconds(600));
		destination->tick();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry->size());
	}

	/// Between two pages, a key of the first page changes, a key is deleted and keys of a later page are
	/// added.
	void copy_of_older_pages_is_completed_by_later_changes()
	{
		put_many(0, 50);
		const auto registry = make_registry();
		const auto destination = make_replica(*registry);
		fetch_pages(*m_replica, *destination, 2);
		const std::int64_t first_revision = m_last_revision;
		put("backend/b100", "draining", ++m_last_revision);
		remove("backend/b101", ++m_last_revision);
		put_many(50, 52);
		fetch_pages(*m_replica, *destination);
		CPPUNIT_ASSERT_EQUAL(first_revision, destination->revision());
		CPPUNIT_ASSERT(destination->apply(m_replica->changes_after(destination->revision())));
		CPPUNIT_ASSERT_EQUAL(m_replica->revision(), destination->revision());
		CPPUNIT_ASSERT(registry->find(backend_id("b100"))->registered.draining);
		m_clock.advance(std::chrono::milliseconds(600));
		destination->tick();
		CPPUNIT_ASSERT(nullptr == registry->find(backend_id("b101")));
		CPPUNIT_ASSERT_EQUAL(std::size_t(51), registry->size());
	}

	void copy_removes_missing_keys()
	{
		put_many(0, 20);
		const auto registry = make_registry();
		const auto destination = make_replica(*registry);
		destination->apply(watch_batch{{item("backend/b9", "ready", 1)}, {}, 1});
		fetch_pages(*m_replica, *destination);
		m_clock.advance(std::chrono::milliseconds(600));
		destination->tick();
		CPPUNIT_ASSERT(nullptr == registry->find(backend_id("b9")));
		CPPUNIT_ASSERT_EQUAL(std::size_t(20), registry->size());
	}

	void page_invalid_is_rejected()
	{
		const auto rejected = [](const state_page& _page, const std::string& _after)
		{
			const result<state_page> decoded = decode_state_page(encode(_page), _after);
			return std::holds_alternative<error>(decoded);
		};
		CPPUNIT_ASSERT(!rejected({5, true, {item("b", "x", 1), item("c", "x", 2)}}, "a"));
		CPPUNIT_ASSERT(
		    rejected({5, true, {item("c", "x", 1), item("b", "x", 2)}}, "a")); // Keys out of order.
		CPPUNIT_ASSERT(rejected({5, true, {item("b", "x", 1)}}, "b"));         // A key that was sent before.
		CPPUNIT_ASSERT(rejected({5, true, {}}, "a")); // An empty page would make the copy endless.
		CPPUNIT_ASSERT(rejected({0, false, {item("b", "x", 1)}}, "a"));
		const std::vector<std::uint8_t> bytes = encode(state_page{5, false, {item("b", "x", 1)}});
		for (std::size_t size = 0; size < bytes.size(); ++size)
		{
			const std::vector<std::uint8_t> truncated(bytes.begin(), bytes.begin() + static_cast<long>(size));
			CPPUNIT_ASSERT(std::holds_alternative<error>(decode_state_page(truncated, "")));
		}
		CPPUNIT_ASSERT(
		    std::holds_alternative<error>(decode_state_page(encode(m_replica->changes_after(0)), "")));
	}

	void deflated_bytes_are_inflated_up_to_the_limit()
	{
		for (const std::size_t size : {std::size_t(0), std::size_t(1), std::size_t(300000)})
		{
			std::vector<std::uint8_t> bytes(size);
			for (std::size_t i = 0; i < size; ++i)
			{
				bytes[i] = static_cast<std::uint8_t>(i % 251 * (i / 1000));
			}
			const std::string packed = deflate_bytes(bytes);
			result<std::vector<std::uint8_t>> same = inflate_bytes(packed, size + 1);
			CPPUNIT_ASSERT(nullptr != value_of(same) && bytes == *value_of(same));
			CPPUNIT_ASSERT(
			    std::holds_alternative<error>(inflate_bytes(packed.substr(0, packed.size() / 2), size + 1)));
		}
		const std::string large = deflate_bytes(std::vector<std::uint8_t>(10'000'000));
		CPPUNIT_ASSERT(large.size() < 100'000);
		CPPUNIT_ASSERT(std::holds_alternative<error>(inflate_bytes(large, 1'000'000)));
		CPPUNIT_ASSERT(std::holds_alternative<error>(inflate_bytes("no packed bytes", 1000)));
	}

	/// Guards against messages that no node can read, since the code that ends them is the last one of a
	/// byte.
	void deflated_bytes_of_any_length_are_inflated()
	{
		for (std::size_t size = 0; size < 2000; ++size)
		{
			const std::vector<std::uint8_t> bytes = varied_bytes(size);
			result<std::vector<std::uint8_t>> same = inflate_bytes(deflate_bytes(bytes), size + 1);
			CPPUNIT_ASSERT_MESSAGE(
			    std::to_string(size), nullptr != value_of(same) && bytes == *value_of(same));
		}
	}
	void deflated_bytes_cut_anywhere_are_refused()
	{
		for (std::size_t size = 1; size < 300; ++size)
		{
			const std::string packed = deflate_bytes(varied_bytes(size));
			for (std::size_t kept = 0; kept < packed.size(); ++kept)
			{
				CPPUNIT_ASSERT(std::holds_alternative<error>(inflate_bytes(packed.substr(0, kept), 1000)));
			}
		}
	}
	/// @returns Bytes of which some occur often, as in messages.
	static std::vector<std::uint8_t> varied_bytes(std::size_t _size)
	{
		std::vector<std::uint8_t> bytes(_size);
		std::uint32_t state = static_cast<std::uint32_t>(_size) + 1;
		for (std::uint8_t& byte : bytes)
		{
			state = state * 1664525U + 1013904223U;
			byte = static_cast<std::uint8_t>((state >> 24U) % (1U << (_size % 9)));
		}
		return bytes;
	}

	/// After an announcement, a third of a region requests the same changes.
	void changes_requested_by_many_are_compressed_once()
	{
		packed_change_cache answers;
		int made = 0;
		const auto make = [&made]
		{
			++made;
			return std::string("packed");
		};
		for (int i = 0; i < 110; ++i)
		{
			CPPUNIT_ASSERT_EQUAL(std::string("packed"), answers.get("5,0", 9, make));
			answers.get(i % 2 == 0 ? "4,0" : "5,2", 9, make);
		}
		CPPUNIT_ASSERT_EQUAL(3, made);
		answers.get("5,0", 10, make); // The keys have changed.
		CPPUNIT_ASSERT_EQUAL(4, made);
		for (int i = 0; i < 1000; ++i)
		{
			answers.get(std::to_string(i), 10, make); // The cache is bounded: no response is kept for long.
		}
		CPPUNIT_ASSERT_EQUAL(1004, made);
	}

	void pages_requested_by_many_are_compressed_once_and_expire()
	{
		put_many(0, 50);
		packed_page_cache pages;
		const std::string first = pages.get("", *m_replica, m_clock.steady());
		put("backend/b100", "draining", ++m_last_revision);
		// The cached page lags slightly; a node that takes the page requests the later changes afterwards.
		CPPUNIT_ASSERT_EQUAL(first, pages.get("", *m_replica, m_clock.steady()));
		pages.tick(m_clock.steady() + std::chrono::seconds(3));
		CPPUNIT_ASSERT(first != pages.get("", *m_replica, m_clock.steady()));
		CPPUNIT_ASSERT_EQUAL(std::string("backend/b1\xff"), *text_of_hex(hex_of("backend/b1\xff")));
		CPPUNIT_ASSERT(!text_of_hex("0g") && !text_of_hex("0"));
	}

	void changes_split_and_joined_are_unchanged()
	{
		store_changes changes;
		changes.after = 10;
		for (int i = 0; i < 40; ++i)
		{
			changes.batch.puts.push_back(
			    item("backend/b" + std::to_string(i), std::string(150, 'x'), 50 - i));
		}
		changes.batch.deletes = {{"backend/old", 51}};
		changes.batch.store_revision = 51;
		const std::vector<store_changes> parts = split_for_datagrams(changes);
		CPPUNIT_ASSERT(parts.size() > 4);
		std::int64_t after = 10;
		std::size_t puts = 0;
		for (const store_changes& part : parts)
		{
			const std::vector<std::uint8_t> bytes = encode(part);
			CPPUNIT_ASSERT(bytes.size() < 1500);
			result<store_changes> decoded = decode_store_changes(bytes.data(), bytes.size());
			CPPUNIT_ASSERT_EQUAL(after, value_of(decoded)->after);
			after = value_of(decoded)->batch.store_revision;
			puts += value_of(decoded)->batch.puts.size();
		}
		CPPUNIT_ASSERT_EQUAL(std::int64_t(51), after);
		CPPUNIT_ASSERT_EQUAL(std::size_t(40), puts);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), parts.back().batch.deletes.size());
	}

	/// A node that loses later parts must still request their changes, so each part has only the deletes of
	/// its own range of revisions.
	void changes_split_part_has_only_deletes_of_its_revisions()
	{
		store_changes changes;
		changes.after = 10;
		for (int i = 11; i <= 50; ++i)
		{
			changes.batch.puts.push_back(item("backend/b" + std::to_string(i), std::string(150, 'x'), i));
		}
		changes.batch.deletes = {{"backend/early", 12}, {"backend/late", 51}};
		changes.batch.store_revision = 51;
		for (const store_changes& part : split_for_datagrams(changes))
		{
			for (const store_delete& gone : part.batch.deletes)
			{
				CPPUNIT_ASSERT(gone.mod_revision > part.after);
				CPPUNIT_ASSERT(gone.mod_revision <= part.batch.store_revision);
			}
		}
	}

	void changes_with_a_large_value_are_not_split()
	{
		store_changes changes;
		changes.batch.puts.push_back(item("routes", std::string(5000, 'x'), 1));
		CPPUNIT_ASSERT(split_for_datagrams(changes).empty());
	}

	/// A backend server starts to drain while a large configuration is being distributed.
	void changes_with_a_large_configuration_are_sent_without_it()
	{
		put("backend/b1", "ready", 1);
		store_changes changes;
		changes.after = 1;
		changes.batch.puts = {item("routes", std::string(5000, '1'), 2), item("backend/b1", "draining", 3)};
		changes.batch.store_revision = 3;
		CPPUNIT_ASSERT(remove_if_oversized(changes.batch, "routes"));
		for (const store_changes& part : split_for_datagrams(changes))
		{
			CPPUNIT_ASSERT(m_replica->apply(part));
		}
		CPPUNIT_ASSERT(m_registry->find(backend_id("b1"))->registered.draining);
		CPPUNIT_ASSERT_EQUAL(std::int64_t(3), m_replica->revision());
		CPPUNIT_ASSERT(!remove_if_oversized(changes.batch, "routes"));
	}

	void routes_missed_are_sent_although_all_other_changes_are_known()
	{
		put("routes", "3", 1);
		put("backend/b1", "draining", 2);
		put("routes", "4", 3);
		const auto registry = make_registry();
		const auto other = make_replica(*registry);
		other->apply(m_replica->changes_after(0, std::numeric_limits<std::int64_t>::max()));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(3), other->revision());
		CPPUNIT_ASSERT_EQUAL(std::int64_t(0), other->routes_revision());
		CPPUNIT_ASSERT(other->apply(m_replica->changes_after(other->revision(), other->routes_revision())));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(3), other->routes_revision());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), m_versions.back());
	}

	bool is_usable(const std::string& _id) const
	{
		const backend_ptr backend = m_registry->find(backend_id(_id));
		return backend && backend->usable(m_clock.steady());
	}

	void backend_with_entry_overwritten_by_foreign_writer_is_unusable_and_removed()
	{
		put("backend/b1", "ready", 1);
		put("backend/b2", "ready", 2);
		put("backend/b1", "foreign", 3);
		CPPUNIT_ASSERT(!is_usable("b1"));
		CPPUNIT_ASSERT(is_usable("b2"));
		wait(600);
		CPPUNIT_ASSERT(nullptr == m_registry->find(backend_id("b1")));
		CPPUNIT_ASSERT_EQUAL(std::int64_t(3), m_replica->revision());
	}

	void backend_with_entry_rewritten_after_foreign_entry_stays()
	{
		put("backend/b1", "ready", 1);
		put("backend/b1", "foreign", 2);
		put("backend/b1", "ready", 3);
		CPPUNIT_ASSERT(is_usable("b1"));
		wait(600);
		CPPUNIT_ASSERT(is_usable("b1"));
	}

	void foreign_entry_with_older_revision_is_ignored()
	{
		put("backend/b1", "ready", 5);
		put("backend/b1", "foreign", 4);
		wait(600);
		CPPUNIT_ASSERT(is_usable("b1"));
	}

	void foreign_entries_in_a_full_copy_leave_the_others_unchanged()
	{
		m_replica->replace(
		    {item("backend/b0", "foreign", 1), item("backend/b1", "ready", 2), item("odd", "\xff", 3),
		        item("backend/b3", "foreign", 4), item("backend/b4", "ready", 5)},
		    5);
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_registry->size());
		CPPUNIT_ASSERT(is_usable("b1") && is_usable("b4"));
		// Other nodes get the same keys and skip the foreign entries as well.
		const auto registry = make_registry();
		const auto other = make_replica(*registry);
		const std::vector<std::uint8_t> bytes = encode(m_replica->changes_after(0));
		result<store_changes> decoded = decode_store_changes(bytes.data(), bytes.size());
		CPPUNIT_ASSERT(other->apply(*value_of(decoded)));
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), registry->size());
	}

	void backend_restarted_under_its_id_has_no_former_load()
	{
		put("backend/b1", "ready@1000", 1);
		const backend_ptr former = m_registry->find(backend_id("b1"));
		former->load.in_flight = 3;
		former->on_exchange_end(backend_signal::unreachable, m_clock.steady());
		CPPUNIT_ASSERT(!is_usable("b1"));
		put("backend/b1", "ready@2000", 2);
		const backend_ptr now = m_registry->find(backend_id("b1"));
		CPPUNIT_ASSERT(now != former && former->gone);
		CPPUNIT_ASSERT(is_usable("b1"));
		CPPUNIT_ASSERT_EQUAL(0, now->load.in_flight);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry->of_service(service_name("shop")).size());
		--former->load
		      .in_flight; // A request to the former incarnation ends; the new incarnation's count stays.
		CPPUNIT_ASSERT_EQUAL(0, now->load.in_flight);
	}

	void backend_restarted_is_not_charged_for_its_former_incarnation()
	{
		put("backend/b1", "ready@1000", 1);
		const backend_ptr former = m_registry->find(backend_id("b1"));
		const in_flight_counts of_former{{former->id_hash, 4}};
		m_registry->set_in_flight_of_node(node_name("n2"), of_former);
		CPPUNIT_ASSERT_EQUAL(4, former->load.in_flight_elsewhere);
		put("backend/b1", "ready@2000", 2);
		const backend_ptr now = m_registry->find(backend_id("b1"));
		CPPUNIT_ASSERT_EQUAL(0, now->load.in_flight_elsewhere);
		// First n2 still reports the former incarnation, then the new one.
		m_registry->set_in_flight_of_node(node_name("n2"), of_former);
		CPPUNIT_ASSERT_EQUAL(0, now->load.in_flight_elsewhere);
		m_registry->set_in_flight_of_node(node_name("n2"), {{now->id_hash, 2}});
		CPPUNIT_ASSERT_EQUAL(2, now->load.in_flight_elsewhere);
	}

	void requests_in_flight_are_reported_until_they_end()
	{
		put("backend/b1", "ready", 1);
		put("backend/b2", "ready", 2);
		const backend_ptr busy = m_registry->find(backend_id("b1"));
		const backend_ptr other = m_registry->find(backend_id("b2"));
		CPPUNIT_ASSERT(m_registry->own_in_flight().empty());
		for (const backend_ptr& backend : {busy, busy, other})
		{
			m_registry->mark_in_use(*backend);
			++backend->load.in_flight;
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_registry->own_in_flight().size());
		--other->load.in_flight;
		const in_flight_counts counts = m_registry->own_in_flight();
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), counts.size());
		CPPUNIT_ASSERT_EQUAL(busy->id_hash, counts.front().id_hash);
		CPPUNIT_ASSERT_EQUAL(2, counts.front().in_flight);
		m_registry->remove(backend_id("b1"), m_clock.steady());
		CPPUNIT_ASSERT(m_registry->own_in_flight().empty());
	}

	void backend_entry_of_a_former_incarnation_is_ignored()
	{
		put("backend/b1", "ready@2000", 1);
		const backend_ptr known = m_registry->find(backend_id("b1"));
		put("backend/b1", "draining@1000", 2); // The former incarnation's entry is written late.
		CPPUNIT_ASSERT(is_usable("b1"));
		wait(3000);
		put("backend/b1", "ready@2000", 3); // The live incarnation renews its entry.
		wait(20000);
		CPPUNIT_ASSERT(is_usable("b1") && known == m_registry->find(backend_id("b1")));
	}

	void backend_with_clock_set_back_is_applied_once_its_former_entry_expires()
	{
		put("backend/b1", "draining@2000", 1);
		put("backend/b1", "ready@1000", 2);
		wait(8900);
		CPPUNIT_ASSERT(!is_usable("b1"));
		wait(200);
		CPPUNIT_ASSERT(is_usable("b1"));
		// The new entry is applied at once if the former entry was seen to vanish.
		put("backend/b2", "draining@2000", 3);
		remove("backend/b2", 4);
		wait(600);
		put("backend/b2", "ready@1000", 5);
		CPPUNIT_ASSERT(is_usable("b2"));
	}

	void backend_incarnations_in_any_order_produce_the_same_state()
	{
		const std::vector<store_value> entries{item("backend/b1", "ready@1000", 1),
		    item("backend/b1", "draining@3000", 2), item("backend/b1", "ready@2000", 3)};
		std::vector<std::size_t> order{0, 1, 2};
		do
		{
			setUp();
			for (const std::size_t which : order)
			{
				m_replica->apply(watch_batch{{entries[which]}, {}, entries[which].mod_revision});
			}
			wait(9100);
			CPPUNIT_ASSERT(is_usable("b1"));
			CPPUNIT_ASSERT_EQUAL(
			    std::int64_t(2000), m_registry->find(backend_id("b1"))->registered.started_ms);
		} while (std::next_permutation(order.begin(), order.end()));
	}

	clock_virtual m_clock;
	plain_codec m_codec;
	entry_log m_log{"test", -1};
	std::vector<std::uint64_t> m_versions;
	std::int64_t m_last_revision = 0;
	std::unique_ptr<backend_registry> m_registry;
	std::unique_ptr<state_replica> m_replica;
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_replica_test);
} // namespace larkrack
