// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the state copy: the decision itself, and simulated fleets that start at once on a virtual clock,
/// with links of 20 Mbit/s and a store in one region.

#include "fixtures.h"

#include "steering/rendezvous_p.h"
#include "steering/state_copy_p.h"

#include <algorithm>
#include <optional>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_model_step{10};                         ///< Step of the virtual clock.
constexpr double k_link_bytes_per_s = 2.5e6;           ///< 20 Mbit/s.
constexpr std::size_t k_compressed_page_bytes = 40000; ///< Bytes of a page as sent.
constexpr ms k_far_round_trip{70};                     ///< Round trip to another region.
/// Time until all nodes of a failure domain know which nodes have the keys.
constexpr ms k_domain_heartbeat_delay{300};
constexpr ms k_far_heartbeat_delay{1300}; ///< Time until all other nodes know.

/// Result of a common start.
struct start_result
{
	double last_s = 0.0; ///< Time until the last node has a copy.
	int store_reads = 0; ///< Number of nodes that read the store.
	int far_pages = 0;   ///< Pages that crossed a failure domain.
	int pages = 0;
};

/// Simulates a fleet in nine failure domains of three regions; the store is in the first region.
class copy_model
{
public:
	/// @param[in] _servers Number of backend servers; a page holds 850 of them.
	copy_model(int _nodes, int _servers)
	    : m_pages(std::max(1, _servers / 850)), m_calls(std::max(1, _servers / 200))
	{
		m_nodes.resize(static_cast<std::size_t>(_nodes));
		for (std::size_t i = 0; i < m_nodes.size(); ++i)
		{
			m_nodes[i].domain = static_cast<int>(i % 9);
			m_nodes[i].weight = rendezvous_weight("n" + std::to_string(i), 0);
			m_nodes[i].last_page = m_begin;
		}
	}

	start_result run()
	{
		start_result result;
		std::size_t complete = 0;
		while (complete < m_nodes.size())
		{
			m_now += k_model_step;
			complete = 0;
			for (node& entry : m_nodes)
			{
				step(entry, result);
				complete += entry.complete_at ? 1 : 0;
			}
			CPPUNIT_ASSERT(m_now - m_begin < std::chrono::seconds(300));
		}
		result.last_s = std::chrono::duration<double>(m_now - m_begin).count();
		return result;
	}

private:
	struct node
	{
		int domain = 0;
		std::uint64_t weight = 0;
		int pages = 0;
		std::optional<steady_time> complete_at; ///< Time at which the node had all pages.
		steady_time waits_until{};              ///< Time at which its request is answered.
		bool awaits_page = false;
		bool reads_store = false;
		steady_time last_page{};
		page_rate_limit page_rate;
	};

	bool is_known_source(const node& _sender, const node& _receiver) const
	{
		const ms delay =
		    _sender.domain == _receiver.domain ? k_domain_heartbeat_delay : k_far_heartbeat_delay;
		return _sender.complete_at && m_now - *_sender.complete_at >= delay;
	}

	static bool same_region(const node& _left, const node& _right)
	{
		return _left.domain % 3 == _right.domain % 3;
	}

	copy_view view_of(const node& _node) const
	{
		copy_view view;
		view.passed = m_now - m_begin;
		view.since_page = m_now - _node.last_page;
		for (const node& other : m_nodes)
		{
			if (is_known_source(other, _node))
			{
				view.anyone_has_keys = true;
				view.domain_has_keys = view.domain_has_keys || other.domain == _node.domain;
				view.region_has_keys = view.region_has_keys || same_region(other, _node);
			}
			else if (other.domain == _node.domain)
			{
				view.rank += other.weight > _node.weight ? 1 : 0;
			}
		}
		return view;
	}

	void finish_step(node& _node)
	{
		_node.last_page = _node.awaits_page ? m_now : _node.last_page;
		_node.pages += _node.awaits_page ? 1 : 0;
		_node.awaits_page = false;
		if (_node.reads_store || _node.pages >= m_pages)
		{
			_node.complete_at = m_now;
		}
	}

	void step(node& _node, start_result& _result)
	{
		if (_node.complete_at || m_now < _node.waits_until)
		{
			return;
		}
		finish_step(_node);
		if (_node.complete_at)
		{
			return;
		}
		const copy_view view = view_of(_node);
		_node.last_page = view.anyone_has_keys ? _node.last_page : m_now;
		const copy_step next = plan_copy(view);
		if (copy_step::wait == next)
		{
			return;
		}
		if (copy_step::from_store == next)
		{
			++_result.store_reads;
			_node.reads_store = true;
			const ms call = ms(4) + (0 == _node.domain % 3 ? ms(1) : k_far_round_trip);
			_node.waits_until = m_now + m_calls * call;
			return;
		}
		ask(_node, next, _result);
	}

	void ask(node& _node, copy_step _step, start_result& _result)
	{
		std::vector<node*> senders;
		for (node& other : m_nodes)
		{
			const bool wanted = copy_step::from_anyone == _step ||
			                    (copy_step::from_region == _step && same_region(other, _node)) ||
			                    (copy_step::from_domain == _step && other.domain == _node.domain);
			if (wanted && is_known_source(other, _node))
			{
				senders.push_back(&other);
			}
		}
		node& sender = *senders[rendezvous_weight("draw", ++m_draws) % senders.size()];
		_node.waits_until = m_now + k_copy_retry_pause;
		if (!sender.page_rate.may_send_page(m_now))
		{
			_node.last_page = m_now; // The sender is busy sending pages to others.
			return;
		}
		sender.page_rate.on_page_sent(k_compressed_page_bytes, m_now);
		const ms sending(static_cast<int>(1000.0 * k_compressed_page_bytes / k_link_bytes_per_s));
		_node.waits_until = m_now + sending + (same_region(sender, _node) ? ms(1) : k_far_round_trip);
		_node.awaits_page = true;
		++_result.pages;
		_result.far_pages += sender.domain == _node.domain ? 0 : 1;
	}

	int m_pages;
	int m_calls;
	std::vector<node> m_nodes;
	steady_time m_begin{std::chrono::seconds(100)};
	steady_time m_now{m_begin};
	std::uint64_t m_draws = 0;
};
} // namespace

class state_copy_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(state_copy_test);
	CPPUNIT_TEST(keys_without_a_source_are_read_from_the_store_after_listening);
	CPPUNIT_TEST(keys_in_the_failure_domain_are_requested_at_once);
	CPPUNIT_TEST(keys_further_away_are_requested_in_turns);
	CPPUNIT_TEST(keys_without_a_page_in_time_are_read_from_the_store);
	CPPUNIT_TEST(pages_are_sent_at_a_steady_rate);
	CPPUNIT_TEST(common_start_takes_few_store_reads_at_any_size);
	CPPUNIT_TEST_SUITE_END();

protected:
	static copy_view view_at(ms _passed, std::size_t _rank = 0)
	{
		copy_view view;
		view.passed = _passed;
		view.since_page = _passed;
		view.rank = _rank;
		return view;
	}

	void keys_without_a_source_are_read_from_the_store_after_listening()
	{
		CPPUNIT_ASSERT(copy_step::wait == plan_copy(view_at(ms(49))));
		CPPUNIT_ASSERT(copy_step::from_store == plan_copy(view_at(ms(50))));
		CPPUNIT_ASSERT(copy_step::wait == plan_copy(view_at(ms(299), 1)));
		CPPUNIT_ASSERT(copy_step::from_store == plan_copy(view_at(ms(300), 1)));
	}

	void keys_in_the_failure_domain_are_requested_at_once()
	{
		copy_view view = view_at(ms(10), 50);
		view.anyone_has_keys = view.region_has_keys = view.domain_has_keys = true;
		CPPUNIT_ASSERT(copy_step::from_domain == plan_copy(view));
	}

	void keys_further_away_are_requested_in_turns()
	{
		copy_view view = view_at(ms(10));
		view.anyone_has_keys = true;
		CPPUNIT_ASSERT(copy_step::from_anyone == plan_copy(view));
		view.region_has_keys = true;
		CPPUNIT_ASSERT(copy_step::from_region == plan_copy(view));
		view.rank = 2;
		CPPUNIT_ASSERT(copy_step::wait == plan_copy(view));
		view.passed = ms(749);
		CPPUNIT_ASSERT(copy_step::wait == plan_copy(view));
		view.passed = ms(750);
		CPPUNIT_ASSERT(copy_step::from_region == plan_copy(view));
	}

	void keys_without_a_page_in_time_are_read_from_the_store()
	{
		copy_view view = view_at(ms(599));
		view.anyone_has_keys = view.domain_has_keys = true;
		CPPUNIT_ASSERT(copy_step::from_domain == plan_copy(view));
		view.passed = view.since_page = ms(600);
		CPPUNIT_ASSERT(copy_step::from_store == plan_copy(view));
		view.since_page = ms(100); // Pages arrive: a large state takes long.
		view.passed = ms(60000);
		CPPUNIT_ASSERT(copy_step::from_domain == plan_copy(view));
	}

	void pages_are_sent_at_a_steady_rate()
	{
		page_rate_limit limit;
		const steady_time begin{std::chrono::seconds(100)};
		std::size_t bytes = 0;
		for (int passed = 0; passed < 10000; passed += 10)
		{
			if (limit.may_send_page(begin + ms(passed)))
			{
				limit.on_page_sent(40000, begin + ms(passed));
				bytes += 40000;
			}
		}
		CPPUNIT_ASSERT(bytes >= 9'900'000 && bytes <= 10'200'000); // 1 MB per second.
	}

	void common_start_takes_few_store_reads_at_any_size()
	{
		struct size
		{
			int nodes;
			int servers;
			double max_s;
		};
		// 2,000 nodes are simulated only on demand, with LARKRACK_FIGURES=1.
		std::vector<size> sizes{{9, 36, 0.7}, {295, 1356, 6.0}, {986, 10002, 12.0}};
		if (nullptr != std::getenv("LARKRACK_FIGURES"))
		{
			sizes.push_back({2000, 20000, 24.0});
		}
		for (const size& entry : sizes)
		{
			const start_result result = copy_model(entry.nodes, entry.servers).run();
			if (nullptr != std::getenv("LARKRACK_FIGURES"))
			{
				std::cout << entry.nodes << " nodes, " << entry.servers
				          << " backend servers: last copy after " << result.last_s
				          << " s, readings of the store " << result.store_reads << ", pages " << result.pages
				          << ", across failure domains " << result.far_pages << std::endl;
			}
			CPPUNIT_ASSERT(result.last_s <= entry.max_s);
			CPPUNIT_ASSERT(result.store_reads <= 9 * 6); // Does not grow with the number of nodes.
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_copy_test);
} // namespace larkrack
