// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Backend choice: affinity, free slots, slow start, connections, limits and rests decide which backend
/// server gets a request, and the reason that is given.

#include "fixtures.h"

#include "entry_node/backend_registry_p.h"
#include "steering/backend_choice_p.h"
#include "steering/rendezvous_p.h"

#include <iostream>
#include <map>
#include <set>

namespace larkrack
{
/// Gives every node the same warm-up share.
class equal_warmup_share : public warmup_sharing_base
{
public:
	double warmup_share(const backend_state&) const override
	{
		return 1.0 / 3.0;
	}
};

/// Answers each token request as the test specifies.
class scripted_tokens : public limit_tokens_base
{
public:
	quota_answer take(const backend_state&) override
	{
		++taken;
		return answer;
	}

	quota_answer answer = quota_answer::granted;
	int taken = 0;
};

class steering_backend_choice_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_backend_choice_test);
	CPPUNIT_TEST(select_same_key_free_servers_returns_the_same_server);
	CPPUNIT_TEST(select_key_while_all_are_busy_stays_on_one_server);
	CPPUNIT_TEST(select_key_own_server_and_queue_full_uses_an_idle_one);
	CPPUNIT_TEST(select_key_own_server_full_waits_there_rather_than_start_on_a_cold_cache);
	CPPUNIT_TEST(select_frequent_key_gets_more_servers);
	CPPUNIT_TEST(select_full_server_own_portion_is_still_granted);
	CPPUNIT_TEST(select_draining_gone_or_evacuated_server_is_never_chosen);
	CPPUNIT_TEST(select_cold_server_stays_within_this_nodes_share_of_the_rate);
	CPPUNIT_TEST(select_server_after_an_evacuation_is_treated_as_cold);
	CPPUNIT_TEST(select_server_with_a_longer_slow_start_in_its_entry_stays_cold);
	CPPUNIT_TEST(select_cold_server_of_another_region_is_never_chosen);
	CPPUNIT_TEST(select_among_thousands_takes_the_best);
	CPPUNIT_TEST(portions_of_all_nodes_sum_up_to_the_slots);
	CPPUNIT_TEST(reported_loads_of_a_silent_node_are_dropped);
	CPPUNIT_TEST(choice_made_has_a_reason);
	CPPUNIT_TEST(choice_none_has_a_reason);
	CPPUNIT_TEST(choice_large_response_prefers_the_near_domain);
	CPPUNIT_TEST(choice_connections_are_divided_among_the_nodes);
	CPPUNIT_TEST(backend_server_without_a_token_is_replaced_by_the_next_of_the_key);
	CPPUNIT_TEST(request_without_a_key_uses_a_server_with_a_limit_last);
	CPPUNIT_TEST(request_that_may_not_wait_skips_a_server_whose_token_may_come);
	CPPUNIT_TEST(retry_takes_a_token_as_well);
	CPPUNIT_TEST(key_of_a_resting_server_moves_to_the_next_one_and_returns);
	CPPUNIT_TEST(resting_server_takes_no_limit_token_and_no_warmup_token);
	CPPUNIT_TEST(choice_among_twenty_thousand_resting_servers_costs_no_more);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_registry = std::make_unique<backend_registry>(std::unordered_map<std::string, std::string>{
		    {"east-a", "east"}, {"east-b", "east"}, {"west-a", "west"}});
		for (int i = 0; i < 12; ++i)
		{
			put("s" + std::to_string(i), i % 2 == 0 ? "east-a" : "east-b");
		}
	}

protected:
	backend_record put(const std::string& _id, const std::string& _domain)
	{
		backend_record record;
		record.id = backend_id(_id);
		record.service = service_name("shop");
		record.domain = domain_name(_domain);
		record.slots = 3;
		m_registry->put(record, m_now);
		return record;
	}

	backend_record record_of(const std::string& _id)
	{
		backend_record record;
		static_cast<backend_registration&>(record) = m_registry->find(backend_id(_id))->registered;
		return record;
	}

	backend_query query(std::uint64_t _key)
	{
		backend_query built_query;
		built_query.candidates = &m_registry->of_service(service_name("shop"));
		built_query.region = region_name("east");
		built_query.own_region = region_name("east");
		built_query.key = {_key};
		built_query.own_portion = {0.0, 0.0};
		built_query.sharers = {9.0};
		return built_query;
	}

	backend_state* select(backend_query _query, double _warmup_per_s = 0.0)
	{
		_query.limits = {_warmup_per_s, 0};
		return choose_backend(_query, m_warmup, m_now).backend;
	}

	void fill(backend_state* _backend, int _in_flight)
	{
		_backend->load.in_flight = _in_flight;
	}

	void select_same_key_free_servers_returns_the_same_server()
	{
		for (std::uint64_t key = 1; key < 50; ++key)
		{
			CPPUNIT_ASSERT(select(query(key)) == select(query(key)));
		}
	}

	void select_key_while_all_are_busy_stays_on_one_server()
	{
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			fill(backend, 2); // One of three slots is free.
		}
		std::set<std::string> used;
		while (backend_state* backend = select(query(7)))
		{
			used.insert(backend->registered.id.text);
			++backend->load.in_flight;
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), used.size());
	}

	void select_key_own_server_and_queue_full_uses_an_idle_one()
	{
		backend_state* first = select(query(7));
		fill(first, 6); // All slots are in use, and the maximum number of requests waits.
		backend_state* second = select(query(7));
		CPPUNIT_ASSERT(second != first);
		fill(second, 3);
		CPPUNIT_ASSERT(nullptr != select(query(7)));
	}

	void select_key_own_server_full_waits_there_rather_than_start_on_a_cold_cache()
	{
		backend_state* first = select(query(7));
		fill(first, 5); // Three requests run, two wait.
		CPPUNIT_ASSERT(select(query(7)) == first);
		const backend_query without_key = query(0);
		CPPUNIT_ASSERT(select(without_key) != first);
	}

	void select_frequent_key_gets_more_servers()
	{
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			fill(backend, 2);
		}
		std::set<std::string> used;
		backend_query frequent = query(7);
		frequent.key_share = 0.25;
		while (backend_state* backend = select(frequent))
		{
			used.insert(backend->registered.id.text);
			++backend->load.in_flight;
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
	}

	void select_full_server_own_portion_is_still_granted()
	{
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			backend->load.in_flight_elsewhere = 6; // All slots, and the maximum number of waiting requests.
		}
		CPPUNIT_ASSERT(nullptr == select(query(7)));
		backend_query own = query(7);
		own.own_portion = {0.0, 0.5};
		CPPUNIT_ASSERT(nullptr != select(own));
	}

	void select_draining_gone_or_evacuated_server_is_never_chosen()
	{
		for (int i = 0; i < 12; ++i)
		{
			backend_record record = record_of("s" + std::to_string(i));
			record.draining = 0 == i % 3;
			m_registry->put(record, m_now);
		}
		m_registry->set_evacuated({domain_name("east-b")}, m_now);
		m_registry->remove(backend_id("s2"), m_now);
		for (std::uint64_t key = 1; key < 200; ++key)
		{
			const backend_state* chosen = select(query(key));
			CPPUNIT_ASSERT(
			    chosen && !chosen->registered.draining && "east-a" == chosen->registered.domain.text);
			CPPUNIT_ASSERT("s2" != chosen->registered.id.text);
		}
	}

	void select_cold_server_stays_within_this_nodes_share_of_the_rate()
	{
		setUp();
		for (int i = 1; i < 12; ++i)
		{
			m_registry->remove(backend_id("s" + std::to_string(i)), m_now);
		}
		backend_record record = record_of("s0");
		record.warmup_left = std::chrono::seconds(60);
		m_registry->put(record, m_now);
		int granted = 0;
		for (int ms = 0; ms < 10000; ms += 10)
		{
			granted += select(query(7), 9.0) ? 1 : 0;
			m_now += std::chrono::milliseconds(10);
		}
		// 9 per second for 3 nodes, less the margin of a tenth, and the burst.
		CPPUNIT_ASSERT(granted >= 24 && granted <= 29);
	}

	/// Guards against a burst at backend servers that are cold after an evacuation, before any registry entry
	/// says so: within a second they get no more than the warm-up rate.
	void select_server_after_an_evacuation_is_treated_as_cold()
	{
		setUp();
		m_registry->set_warmup_times({{service_name("shop"), std::chrono::seconds(3)}});
		m_registry->set_evacuated({domain_name("east-a"), domain_name("east-b")}, m_now);
		CPPUNIT_ASSERT(nullptr == select(query(7), 9.0));
		m_registry->set_evacuated({}, m_now);
		m_registry->put(record_of("s0"), m_now); // Written before it became cold.
		std::map<backend_state*, int> granted;
		for (int ms = 0; ms < 2990; ms += 10)
		{
			++granted[select(query(7), 9.0)];
			m_now += std::chrono::milliseconds(10);
		}
		granted.erase(nullptr);
		CPPUNIT_ASSERT(!granted.empty());
		for (const auto& [backend, count] : granted)
		{
			CPPUNIT_ASSERT(count <= 9); // A third of 9 per second, for 3 s.
		}
		m_now += std::chrono::milliseconds(20);
		CPPUNIT_ASSERT(nullptr != select(query(7), 9.0) && nullptr != select(query(7), 9.0));
	}

	void select_server_with_a_longer_slow_start_in_its_entry_stays_cold()
	{
		setUp();
		m_registry->set_warmup_times({{service_name("shop"), std::chrono::seconds(3)}});
		m_registry->set_evacuated({domain_name("east-a")}, m_now);
		m_registry->set_evacuated({}, m_now);
		backend_record record = record_of("s0");
		record.warmup_left = std::chrono::seconds(5);
		m_registry->put(record, m_now);
		CPPUNIT_ASSERT(m_registry->find(backend_id("s0"))->cold(m_now + std::chrono::milliseconds(4900)));
		CPPUNIT_ASSERT(
		    !m_registry->find(backend_id("s1"))->cold(m_now)); // Not in the evacuated failure domain.
	}

	void select_cold_server_of_another_region_is_never_chosen()
	{
		backend_record record = put("far", "west-a");
		record.warmup_left = std::chrono::seconds(60);
		m_registry->put(record, m_now);
		backend_query far = query(7);
		far.region = region_name("west");
		CPPUNIT_ASSERT(nullptr == select(far, 9.0));
	}

	/// Measures the duration of a choice, printed with LARKRACK_FIGURES=1, and checks at every size that the
	/// chosen backend server has the best rank.
	void select_among_thousands_takes_the_best()
	{
		for (const int servers : {30, 300, 3000, 10000})
		{
			m_registry = std::make_unique<backend_registry>(
			    std::unordered_map<std::string, std::string>{{"east-a", "east"}});
			for (int i = 0; i < servers; ++i)
			{
				put("i-" + std::to_string(1000000 + 7919 * i), "east-a");
			}
			constexpr int k_choices = 200;
			const auto begin = std::chrono::steady_clock::now();
			for (std::uint64_t key = 1; key <= k_choices; ++key)
			{
				const backend_state* chosen = select(query(key));
				CPPUNIT_ASSERT(nullptr != chosen);
				if (key > 3)
				{
					continue;
				}
				for (const backend_state* other : m_registry->of_service(service_name("shop")))
				{
					CPPUNIT_ASSERT(rendezvous_weight(other->registered.id.text, key) >=
					               rendezvous_weight(chosen->registered.id.text, key));
				}
			}
			const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
			if (nullptr != std::getenv("LARKRACK_FIGURES"))
			{
				std::cout << servers << " backend servers: " << took.count() / k_choices << " us a choice\n";
			}
		}
	}

	void portions_of_all_nodes_sum_up_to_the_slots()
	{
		const double ends[] = {0.0, 0.11, 0.5, 0.77, 1.0};
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			int sum = 0;
			for (int node = 0; node < 4; ++node)
			{
				sum += slot_portion{ends[node], ends[node + 1]}.slots_of(*backend);
			}
			CPPUNIT_ASSERT_EQUAL(backend->registered.slots, sum);
		}
	}

	void reported_loads_of_a_silent_node_are_dropped()
	{
		const backend_ptr backend = m_registry->find(backend_id("s0"));
		m_registry->set_in_flight_of_node(node_name("n1"), {{backend->id_hash, 2}});
		m_registry->set_in_flight_of_node(node_name("n2"), {{backend->id_hash, 1}});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, backend->estimated_load(m_now + std::chrono::seconds(1)), 1e-9);
		m_registry->set_in_flight_of_node(node_name("n1"), {{backend->id_hash, 1}});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, backend->estimated_load(m_now + std::chrono::seconds(1)), 1e-9);
		m_registry->set_in_flight_of_node(node_name("n1"), {});
		CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, backend->estimated_load(m_now + std::chrono::seconds(1)), 1e-9);
	}

	backend_choice_reason reason_for(const backend_query& _query)
	{
		return choose_backend(_query, m_warmup, m_now).why;
	}

	void choice_made_has_a_reason()
	{
		CPPUNIT_ASSERT(backend_choice_reason::preferred_for_key == reason_for(query(7)));
		CPPUNIT_ASSERT(backend_choice_reason::least_load == reason_for(query(0)));
		fill(select(query(7)), 6);
		CPPUNIT_ASSERT(backend_choice_reason::idle_for_key == reason_for(query(7)));
	}

	void choice_none_has_a_reason()
	{
		backend_query query_elsewhere = query(0);
		query_elsewhere.region = region_name("north");
		CPPUNIT_ASSERT(backend_choice_reason::none_usable == reason_for(query_elsewhere));
		std::vector<backend_id> all;
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			all.push_back(backend->registered.id);
		}
		backend_query tried = query(0);
		tried.tried = &all;
		CPPUNIT_ASSERT(backend_choice_reason::all_tried == reason_for(tried));
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			fill(backend, 6);
		}
		CPPUNIT_ASSERT(backend_choice_reason::no_slot == reason_for(query(0)));
		CPPUNIT_ASSERT(backend_choice_reason::not_preferred_for_key == reason_for(query(7)));
	}

	void choice_large_response_prefers_the_near_domain()
	{
		backend_query near_query = query(0);
		near_query.nearest_domain = domain_name("east-b");
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			fill(backend, domain_name("east-b") == backend->registered.domain ? 2 : 0);
		}
		CPPUNIT_ASSERT(
		    domain_name("east-b") == choose_backend(near_query, m_warmup, m_now).backend->registered.domain);
	}

	void choice_connections_are_divided_among_the_nodes()
	{
		backend_query limited = query(0);
		limited.limits.max_connections = 18; // Two for each of nine nodes.
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			backend->connections = 1;
		}
		CPPUNIT_ASSERT(nullptr != choose_backend(limited, m_warmup, m_now).backend);
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			backend->connections = 2;
		}
		CPPUNIT_ASSERT(backend_choice_reason::no_connection == reason_for(limited));
	}

	void report_limit(backend_state& _backend)
	{
		_backend.limit.take_report({2.9, m_now});
	}

	backend_query query_with_tokens(std::uint64_t _key)
	{
		backend_query built_query = query(_key);
		built_query.tokens = &m_tokens;
		return built_query;
	}

	void backend_server_without_a_token_is_replaced_by_the_next_of_the_key()
	{
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			fill(backend, 2); // None is idle enough for a key that is not its own.
		}
		backend_state* first = select(query_with_tokens(7));
		report_limit(*first);
		CPPUNIT_ASSERT(first == select(query_with_tokens(7)));
		m_tokens.answer = quota_answer::over_limit;
		backend_state* second = select(query_with_tokens(7));
		CPPUNIT_ASSERT(nullptr != second && second != first);
		backend_query query_without_token = query_with_tokens(7);
		std::vector<backend_id> lacking_token{first->registered.id};
		query_without_token.without_token = &lacking_token;
		m_tokens.taken = 0;
		CPPUNIT_ASSERT(second == select(query_without_token));
		CPPUNIT_ASSERT_EQUAL(0, m_tokens.taken); // No token is requested again.
	}

	void request_without_a_key_uses_a_server_with_a_limit_last()
	{
		const std::vector<backend_state*>& all = m_registry->of_service(service_name("shop"));
		for (backend_state* backend : all)
		{
			fill(backend, 2);
		}
		report_limit(*all.front());
		fill(all.front(), 0);
		CPPUNIT_ASSERT(all.front() != select(query_with_tokens(0)));
		for (backend_state* backend : all)
		{
			fill(backend, all.front() == backend ? 0 : 3);
		}
		CPPUNIT_ASSERT(all.front() == select(query_with_tokens(0)));
	}

	void request_that_may_not_wait_skips_a_server_whose_token_may_come()
	{
		backend_state* first = select(query_with_tokens(7));
		report_limit(*first);
		m_tokens.answer = quota_answer::waits;
		backend_query may_wait = query_with_tokens(7);
		may_wait.may_wait_for_token = true;
		const backend_choice choice = choose_backend(may_wait, m_warmup, m_now);
		CPPUNIT_ASSERT(first == choice.backend && backend_choice_reason::awaits_token == choice.why);
		CPPUNIT_ASSERT(first != select(query_with_tokens(7)));
	}

	void retry_takes_a_token_as_well()
	{
		backend_state* first = select(query_with_tokens(7));
		const std::vector<backend_id> tried{first->registered.id};
		backend_query retry_query = query_with_tokens(7);
		retry_query.tried = &tried;
		backend_state* second = select(retry_query);
		report_limit(*second);
		m_tokens.answer = quota_answer::over_limit;
		CPPUNIT_ASSERT(second != select(retry_query));
		CPPUNIT_ASSERT(m_tokens.taken > 0);
	}

	scripted_tokens m_tokens;
	std::unique_ptr<backend_registry> m_registry;
	equal_warmup_share m_warmup;
	steady_time m_now{std::chrono::hours(1)};

	void key_of_a_resting_server_moves_to_the_next_one_and_returns()
	{
		backend_state* home = select(query(42));
		home->rest.take_report(std::chrono::seconds(3), m_now);
		backend_state* next = select(query(42));
		CPPUNIT_ASSERT(nullptr != next && home != next);
		CPPUNIT_ASSERT(next == select(query(42))); // All requests of the key go there.
		m_now += std::chrono::seconds(3);
		CPPUNIT_ASSERT(home == select(query(42)));
	}

	void resting_server_takes_no_limit_token_and_no_warmup_token()
	{
		scripted_tokens tokens;
		backend_query built_query = query(42);
		built_query.tokens = &tokens;
		backend_state* home = select(built_query);
		home->limit.take_report({2.9, m_now});
		home->rest.take_report(std::chrono::seconds(3), m_now);
		CPPUNIT_ASSERT(home != select(built_query));
		CPPUNIT_ASSERT_EQUAL(0, tokens.taken);
		m_now += std::chrono::seconds(3);
		CPPUNIT_ASSERT(home == select(built_query));
		CPPUNIT_ASSERT_EQUAL(1, tokens.taken);
	}

	void choice_among_twenty_thousand_resting_servers_costs_no_more()
	{
		for (int i = 12; i < 20000; ++i)
		{
			put("s" + std::to_string(i), "east-a");
		}
		const auto time_of_a_choice = [this]
		{
			constexpr int k_choices = 50;
			const auto began = std::chrono::steady_clock::now();
			for (int i = 0; i < k_choices; ++i)
			{
				choose_backend(query(0), m_warmup, m_now);
			}
			return (std::chrono::steady_clock::now() - began) / k_choices;
		};
		const auto usable = time_of_a_choice();
		for (backend_state* backend : m_registry->of_service(service_name("shop")))
		{
			backend->rest.take_report(std::chrono::seconds(3), m_now);
		}
		m_registry->find(backend_id("s7"))->rest = {};
		m_registry->find(backend_id("s7"))->rest.take_report(std::chrono::seconds(1), m_now);
		const backend_choice none = choose_backend(query(0), m_warmup, m_now);
		CPPUNIT_ASSERT(backend_choice_reason::all_resting == none.why);
		CPPUNIT_ASSERT(m_now + std::chrono::seconds(1) == none.available_at);
		const auto resting = time_of_a_choice();
		std::cout << "choice among 20,000: " << usable.count() / 1000 << " us, all resting "
		          << resting.count() / 1000 << " us\n";
		CPPUNIT_ASSERT(resting < usable);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_backend_choice_test);
} // namespace larkrack
