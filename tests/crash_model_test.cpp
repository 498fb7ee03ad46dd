// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests that end backend servers, in whole fleets of three regions on a virtual clock: datagrams that
/// take time and get lost, nodes that die and start anew. Three ways of one interface: two nodes that count a
/// request's ends for all, each end told to all nodes, and each node by itself.

#include "fixtures.h"
#include "model_view.h"

#include "entry_node/crash_guard_p.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{5};
constexpr ms k_far{35};   ///< One way between two regions.
constexpr ms k_near{1};   ///< Within one.
constexpr ms k_runs{80};  ///< From the begin of the request to the end of its server.
constexpr ms k_work{300}; ///< Of an innocent request.
constexpr std::uint64_t k_beside =
    8;                              ///< Innocent requests on each server that ends, of the node that sees it.
constexpr ms k_contact{4000};       ///< Longest time for the word of an end to be known everywhere.
constexpr std::size_t k_blamed = 3; ///< Ends after which the request has shown what it does.
constexpr std::size_t k_sends_after = 3; ///< In all, later than k_contact after that.

constexpr std::uint64_t k_crashing = 100; ///< The first of the crashing requests.
constexpr std::uint64_t k_innocent = 5;

enum class crash_way
{
	counted,  ///< As the program does.
	told_all, ///< Each end to each node, which counts by itself.
	alone,    ///< Each node by what it saw.
};

request_fingerprint request_of(std::uint64_t _number)
{
	const std::uint64_t hash = request_head_hash("GET", "shop.example", std::to_string(_number));
	return {hash, hash, 7};
}

/// A fleet, and requests that end the backend servers that run them.
class crash_model
{
public:
	crash_model(crash_way _way, int _nodes, double _loss, unsigned _seed)
	    : m_way(_way), m_loss(_loss), m_random(_seed), m_nodes(static_cast<std::size_t>(_nodes))
	{
		m_clock.advance(ms(1000));
		for (int i = 0; i < _nodes; ++i)
		{
			start(i);
		}
		refresh_views();
	}
	/// Requests arrive at random nodes, each at its own pace.
	/// @param[in] _gap Between two arrivals of a request; 0: it does not come.
	/// @param[in] _crashing Requests that end backend servers, of different fingerprints.
	void run(ms _time, ms _gap, int _crashing = 1)
	{
		const steady_time until = m_clock.steady() + _time;
		steady_time next = m_clock.steady();
		while (m_clock.steady() < until)
		{
			step();
			for (; ms(0) != _gap && next <= m_clock.steady(); next += _gap)
			{
				for (int i = 0; i < _crashing; ++i)
				{
					arrive(any_node(), k_crashing + static_cast<std::uint64_t>(i));
				}
			}
		}
	}
	/// A request that is innocent comes.
	/// @param[in] _beside Whether it runs beside one that ends its server.
	void arrive_innocent(int _node, std::uint64_t _request, bool _beside)
	{
		come(_node, _request, _beside, false);
	}
	/// A backend server ends by itself, with a request of each of some nodes on it.
	void end_beside(const std::vector<int>& _nodes, std::uint64_t _request)
	{
		const std::uint32_t life = ++m_lives;
		for (const int node : _nodes)
		{
			saw_end(node, _request, life);
		}
	}
	void serve(int _node, std::uint64_t _request)
	{
		if (nullptr != at(_node).guard)
		{
			at(_node).guard->on_answered(request_of(_request));
		}
	}
	void kill(int _node)
	{
		at(_node).dead = true;
	}
	/// Starts a node without any memory but what stands in the store.
	void start(int _node)
	{
		model_node& node = at(_node);
		node.dead = false;
		node.guard.reset();
		node.view = std::make_unique<model_view>();
		node.view->self = _node;
		node.seen = std::make_unique<crash_evidence>();
		if (crash_way::counted == m_way)
		{
			node.guard = std::make_unique<crash_guard>(
			    m_context, m_clock, *node.view, m_registry, model_region_of(_node), m_log,
			    [this, _node](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
			    {
				    send(_node, std::stoi(_ip), _bytes);
			    },
			    [this](const request_block& _block)
			    {
				    write(_block);
			    });
			for (const auto& [request, block] : m_store)
			{
				node.guard->on_block(block);
			}
		}
		refresh(node);
	}
	void set_store_down(bool _down)
	{
		m_store_down = _down;
	}
	void refresh_views()
	{
		for (model_node& node : m_nodes)
		{
			refresh(node);
		}
	}
	int nodes() const
	{
		return static_cast<int>(m_nodes.size());
	}
	std::size_t ended() const
	{
		return m_ends.size();
	}
	/// @returns Sends of a request later than its third end and the time for all to know.
	std::size_t sends_after(std::uint64_t _request) const
	{
		const auto ends = m_ends_of.find(_request);
		const auto sends = m_sends_of.find(_request);
		if (m_ends_of.end() == ends || ends->second.size() < k_blamed || m_sends_of.end() == sends)
		{
			return 0;
		}
		const steady_time known = ends->second[k_blamed - 1] + k_contact;
		return static_cast<std::size_t>(std::count_if(sends->second.begin(), sends->second.end(),
		    [known](steady_time _at)
		    {
			    return _at > known;
		    }));
	}
	/// @returns Live nodes that would send a request on.
	std::size_t open_nodes(std::uint64_t _request)
	{
		std::size_t open = 0;
		for (int i = 0; i < nodes(); ++i)
		{
			open += !at(i).dead && block_decision::open == decide(i, _request) ? 1 : 0;
		}
		return open;
	}
	/// Runs until no live node would send a request on.
	/// @returns Time from the third end.
	ms time_until_all_know(std::uint64_t _request)
	{
		const steady_time third = m_ends_of.at(_request).at(k_blamed - 1);
		while (open_nodes(_request) > 0 && m_clock.steady() - third < ms(60000))
		{
			step();
		}
		return to_ms(m_clock.steady() - third);
	}
	std::size_t datagrams() const
	{
		return m_datagrams;
	}
	std::size_t bytes() const
	{
		return m_bytes;
	}
	std::size_t refused(std::uint64_t _request)
	{
		return m_refused[_request];
	}

private:
	struct model_node
	{
		std::unique_ptr<model_view> view;
		std::unique_ptr<crash_guard> guard;
		std::unique_ptr<crash_evidence> seen; ///< Of the other ways.
		std::set<request_fingerprint> blocked;
		bool dead = false;
	};

	model_node& at(int _node)
	{
		return m_nodes.at(static_cast<std::size_t>(_node));
	}
	int any_node()
	{
		int node = 0;
		do
		{
			node = std::uniform_int_distribution<int>(0, nodes() - 1)(m_random);
		} while (at(node).dead);
		return node;
	}
	ms delay_to(int _from, int _to) const
	{
		return _from % k_model_regions == _to % k_model_regions ? k_near : k_far;
	}
	void later(ms _delay, std::function<void()> _what)
	{
		m_due.emplace(m_clock.steady() + _delay, std::move(_what));
	}
	block_decision decide(int _node, std::uint64_t _request)
	{
		if (nullptr != at(_node).guard)
		{
			return at(_node).guard->decide(request_of(_request), service_name("shop"));
		}
		return 0 == at(_node).blocked.count(request_of(_request)) ? block_decision::open
		                                                          : block_decision::refuse;
	}
	void arrive(int _node, std::uint64_t _request)
	{
		come(_node, _request, true, true);
	}
	void come(int _node, std::uint64_t _request, bool _ends, bool _crashing)
	{
		const block_decision decision = decide(_node, _request);
		if (block_decision::open == decision)
		{
			send_on(_node, _request, _ends, _crashing);
			return;
		}
		if (block_decision::refuse == decision)
		{
			++m_refused[_request];
			return;
		}
		at(_node).guard->ask_for_look(request_of(_request), service_name("shop"),
		    [this, _node, _request, _crashing](bool _granted)
		    {
			    m_refused[_request] += _granted ? 0 : 1;
			    if (_granted)
			    {
				    send_on(
				        _node, _request, _crashing, _crashing); // Alone, so that an innocent one is served.
			    }
		    });
	}
	void send_on(int _node, std::uint64_t _request, bool _ends, bool _crashing)
	{
		m_sends_of[_request].push_back(m_clock.steady());
		if (!_ends)
		{
			later(k_work,
			    [this, _node, _request]
			    {
				    serve(_node, _request);
			    });
			return;
		}
		const std::uint32_t life = ++m_lives;
		later(delay_to(_node, 0) + k_runs,
		    [this, _node, _request, life, _crashing]
		    {
			    if (_crashing)
			    {
				    m_ends.push_back(m_clock.steady());
				    m_ends_of[_request].push_back(m_clock.steady());
			    }
			    // The connection breaks, and a new one is refused.
			    later(3 * delay_to(_node, 0),
			        [this, _node, _request, life]
			        {
				        saw_end(_node, _request, life);
			        });
		    });
	}
	void saw_end(int _node, std::uint64_t _request, std::uint32_t _life)
	{
		model_node& node = at(_node);
		if (node.dead)
		{
			return;
		}
		std::vector<request_fingerprint> requests{request_of(_request)};
		for (std::uint64_t i = 0; i < k_beside; ++i)
		{
			requests.push_back(request_of(1000000 + k_beside * _life + i));
		}
		backend_server backend;
		backend.id_hash = _life;
		if (nullptr != node.guard)
		{
			node.guard->on_backend_crashed(backend, requests);
			return;
		}
		note_end(_node, request_of(_request), _life);
		for (int other = 0; crash_way::told_all == m_way && other < nodes(); ++other)
		{
			for (const request_fingerprint& request : requests)
			{
				if (other != _node)
				{
					send(_node, other, encode(end_report{request, _life, false}));
				}
			}
		}
	}
	void note_end(int _node, const request_fingerprint& _request, std::uint32_t _life)
	{
		model_node& node = at(_node);
		if (node.seen->on_end(_request, {_life, _request.caller, false, m_clock.steady()}))
		{
			node.blocked.insert(_request);
		}
	}
	void send(int _from, int _to, const std::vector<std::uint8_t>& _bytes)
	{
		++m_datagrams;
		m_bytes += _bytes.size();
		if (std::uniform_real_distribution<double>()(m_random) < m_loss)
		{
			return;
		}
		later(delay_to(_from, _to),
		    [this, _from, _to, _bytes]
		    {
			    if (at(_to).dead)
			    {
				    return;
			    }
			    result<crash_message> decoded = decode_crash_message(_bytes.data(), _bytes.size());
			    if (nullptr != at(_to).guard)
			    {
				    at(_to).guard->on_message(*value_of(decoded), std::to_string(_from));
				    return;
			    }
			    const end_report& report = std::get<end_report>(*value_of(decoded));
			    note_end(_to, report.request, report.life);
		    });
	}
	/// The store keeps it, and tells all nodes a moment later.
	void write(const request_block& _block)
	{
		if (m_store_down)
		{
			return;
		}
		later(k_far,
		    [this, _block]
		    {
			    if (_block.blocked)
			    {
				    m_store[_block.request] = _block;
			    }
			    else
			    {
				    m_store.erase(_block.request);
			    }
		    });
		later(ms(300),
		    [this, _block]
		    {
			    for (model_node& node : m_nodes)
			    {
				    if (!node.dead && _block.blocked)
				    {
					    node.guard->on_block(_block);
				    }
				    else if (!node.dead)
				    {
					    node.guard->on_block_gone(_block.request);
				    }
			    }
		    });
	}
	void step()
	{
		m_clock.advance(k_step);
		++m_steps;
		while (!m_due.empty() && m_due.begin()->first <= m_clock.steady())
		{
			const std::function<void()> what = std::move(m_due.begin()->second);
			m_due.erase(m_due.begin());
			what();
		}
		for (model_node& node : m_nodes)
		{
			if (!node.dead && nullptr != node.guard && 0 == m_steps % 20)
			{
				node.guard->tick();
			}
		}
	}
	void refresh(model_node& _node)
	{
		std::vector<int> seen;
		for (int i = 0; i < nodes(); ++i)
		{
			if (i == _node.view->self || !at(i).dead)
			{
				seen.push_back(i);
			}
		}
		_node.view->set_seen(seen);
	}

	crash_way m_way;
	double m_loss;
	std::minstd_rand m_random;
	asio::io_context m_context{1};
	clock_virtual m_clock;
	backend_registry m_registry{{{"d0", "r0"}, {"d1", "r1"}, {"d2", "r2"}}};
	entry_log m_log{"model", -1};
	std::vector<model_node> m_nodes;
	std::multimap<steady_time, std::function<void()>> m_due;
	std::map<request_fingerprint, request_block> m_store;
	std::map<std::uint64_t, std::vector<steady_time>> m_sends_of;
	std::map<std::uint64_t, std::vector<steady_time>> m_ends_of;
	std::map<std::uint64_t, std::size_t> m_refused;
	std::vector<steady_time> m_ends;
	std::uint32_t m_lives = 0;
	std::size_t m_datagrams = 0;
	std::size_t m_bytes = 0;
	int m_steps = 0;
	bool m_store_down = false;
};

const char* name_of(crash_way _way)
{
	return crash_way::counted == _way ? "counted" : crash_way::told_all == _way ? "told to all" : "alone";
}

bool figures_wanted()
{
	return nullptr != std::getenv("LARKRACK_FIGURES");
}
} // namespace

class crash_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(crash_model_test);
	CPPUNIT_TEST(request_that_comes_at_all_nodes_is_held_off_at_any_size);
	CPPUNIT_TEST(each_node_by_itself_never_stops_it_in_a_large_fleet);
	CPPUNIT_TEST(lost_datagrams_keep_no_node_from_knowing);
	CPPUNIT_TEST(node_that_counts_and_dies_is_replaced);
	CPPUNIT_TEST(nodes_that_all_lose_power_know_it_by_the_store);
	CPPUNIT_TEST(store_that_is_away_is_not_needed_and_gets_it_later);
	CPPUNIT_TEST(request_that_comes_rarely_is_held_off_too);
	CPPUNIT_TEST(hundred_different_requests_end_a_bounded_number_each);
	CPPUNIT_TEST(innocent_request_beside_it_is_served_again_within_a_second);
	CPPUNIT_TEST(popular_request_is_refused_never_while_servers_end_by_themselves);
	CPPUNIT_TEST(nodes_are_silent_while_no_server_ends);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// LARKRACK_LARGE=1 plays 2,000 nodes too.
	void request_that_comes_at_all_nodes_is_held_off_at_any_size()
	{
		std::vector<int> sizes{9, 300, 1000};
		if (nullptr != std::getenv("LARKRACK_LARGE"))
		{
			sizes.push_back(2000);
		}
		for (const int nodes : sizes)
		{
			for (const crash_way way : {crash_way::counted, crash_way::told_all})
			{
				crash_model model(way, nodes, 0.0, 1);
				while (model.ended() < k_blamed)
				{
					model.run(ms(200), ms(200));
				}
				const ms known = model.time_until_all_know(k_crashing);
				model.run(ms(6000), ms(200));
				if (figures_wanted())
				{
					std::cout << name_of(way) << ", nodes " << nodes << ": ended " << model.ended()
					          << ", sends after " << model.sends_after(k_crashing) << ", all knew after "
					          << known.count() << " ms, datagrams " << model.datagrams() << ", bytes "
					          << model.bytes() << "\n";
				}
				CPPUNIT_ASSERT(crash_way::counted != way || known <= k_contact);
				CPPUNIT_ASSERT(crash_way::counted != way || model.sends_after(k_crashing) <= k_sends_after);
			}
		}
	}

	void each_node_by_itself_never_stops_it_in_a_large_fleet()
	{
		crash_model model(crash_way::alone, 300, 0.0, 1);
		model.run(ms(10000), ms(200));
		CPPUNIT_ASSERT(model.sends_after(k_crashing) > 5 * k_sends_after);
	}

	void lost_datagrams_keep_no_node_from_knowing()
	{
		for (unsigned seed = 1; seed <= 5; ++seed)
		{
			crash_model model(crash_way::counted, 60, 0.1, seed);
			model.run(ms(12000), ms(100));
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.open_nodes(k_crashing));
			CPPUNIT_ASSERT(model.sends_after(k_crashing) <= k_sends_after);
		}
	}

	void node_that_counts_and_dies_is_replaced()
	{
		for (int victim = 0; victim < 9; ++victim)
		{
			crash_model model(crash_way::counted, 9, 0.0, 2);
			model.run(ms(150), ms(200));
			model.kill(victim);
			model.run(ms(900), ms(200));
			model.refresh_views();
			model.run(ms(9000), ms(200));
			CPPUNIT_ASSERT(model.sends_after(k_crashing) <= k_sends_after);
			CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.open_nodes(k_crashing));
		}
	}

	void nodes_that_all_lose_power_know_it_by_the_store()
	{
		crash_model model(crash_way::counted, 9, 0.0, 3);
		model.run(ms(6000), ms(200));
		const std::size_t ended = model.ended();
		for (int node = 0; node < 9; ++node)
		{
			model.start(node);
		}
		model.refresh_views();
		model.run(ms(6000), ms(200));
		CPPUNIT_ASSERT_EQUAL(ended, model.ended());
	}

	void store_that_is_away_is_not_needed_and_gets_it_later()
	{
		crash_model model(crash_way::counted, 9, 0.0, 4);
		model.set_store_down(true);
		model.run(ms(8000), ms(200));
		CPPUNIT_ASSERT(model.sends_after(k_crashing) <= k_sends_after);
		model.set_store_down(false);
		model.run(ms(5000), ms(0));
		const std::size_t ended = model.ended();
		model.start(0);
		model.refresh_views();
		model.run(ms(5000), ms(50));
		CPPUNIT_ASSERT_EQUAL(ended, model.ended());
	}

	void request_that_comes_rarely_is_held_off_too()
	{
		crash_model model(crash_way::counted, 9, 0.0, 5);
		model.run(ms(360000), ms(30000));
		CPPUNIT_ASSERT(model.sends_after(k_crashing) <= k_sends_after);
		CPPUNIT_ASSERT(model.ended() <= 2 * k_blamed);
	}

	void hundred_different_requests_end_a_bounded_number_each()
	{
		crash_model model(crash_way::counted, 9, 0.0, 6);
		model.run(ms(8000), ms(500), 100);
		CPPUNIT_ASSERT_MESSAGE(
		    std::to_string(model.ended()), model.ended() <= std::size_t(100) * 2 * k_blamed);
	}

	/// Guards against an innocent request that is held off for what another one did beside it.
	void innocent_request_beside_it_is_served_again_within_a_second()
	{
		for (unsigned seed = 1; seed <= 5; ++seed)
		{
			crash_model model(crash_way::counted, 9, 0.0, seed);
			for (int i = 0; i < 3; ++i)
			{
				model.arrive_innocent(i, k_innocent, true);
				model.run(ms(400), ms(0));
			}
			CPPUNIT_ASSERT(model.open_nodes(k_innocent) < 9);
			model.arrive_innocent(5, k_innocent, false);
			model.run(ms(1000), ms(0));
			CPPUNIT_ASSERT_EQUAL(std::size_t(9), model.open_nodes(k_innocent));
		}
	}

	void popular_request_is_refused_never_while_servers_end_by_themselves()
	{
		crash_model model(crash_way::counted, 9, 0.0, 7);
		for (int second = 0; second < 10; ++second)
		{
			for (int i = 0; i < 20; ++i)
			{
				model.serve(i % 9, k_innocent);
				model.run(ms(50), ms(0));
				CPPUNIT_ASSERT_EQUAL(std::size_t(9), model.open_nodes(k_innocent));
			}
			model.end_beside({0, 3, 6}, k_innocent);
		}
	}

	void nodes_are_silent_while_no_server_ends()
	{
		crash_model model(crash_way::counted, 30, 0.0, 8);
		for (int i = 0; i < 100; ++i)
		{
			model.serve(i % 30, 1000 + static_cast<std::uint64_t>(i));
			model.run(ms(50), ms(0));
		}
		CPPUNIT_ASSERT_EQUAL(std::size_t(0), model.datagrams());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_model_test);
} // namespace larkrack
