// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// A backend server that names how many requests a second it takes from all nodes together, and the nodes
/// that have passed its answers on.
///
/// The incident: eight seconds into a day two backend servers of an account service named limits of 2.9 and 5
/// a second. Four seconds later they were still sent 51 and 114 requests in 4 s, as before, by nodes that had
/// passed their answers on; 22 and 35 were allowed. No node refused anything, and no alert rose. The cause:
/// nodes passed over the header in which a limit is named, and no budget held over nodes for one backend
/// server. Proved by the rates, which did not move when the limits were named, and by this test, in which 104
/// came where 22 are allowed, although all nodes had read the header.

#include "entry_fixture.h"

#include "steering/node_ring_p.h"
#include "steering/rendezvous_p.h"

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr double k_named_per_s = 2.9;
constexpr ms k_window{4000};
/// What a window may hold: one and a half times what the limit allows, and five requests.
constexpr double k_allowed = 1.5 * k_named_per_s * 4.0 + 5.0;
/// Until all nodes have passed on an answer that names the limit, and half a second more.
constexpr ms k_until_known{1000};
constexpr ms k_pause{22};
constexpr std::size_t k_nodes = 9;
constexpr std::size_t k_objects = 40; ///< Of which about half belong to each backend server.

std::string name_of(std::size_t _number)
{
	return "n" + std::to_string(_number);
}

/// Each node sees all others; its address is its number.
class all_in_sight : public fleet_view_alone
{
public:
	explicit all_in_sight(std::size_t _self) : m_self(_self)
	{
		nodes = k_nodes;
		std::vector<node_name> names;
		for (std::size_t i = 0; i < k_nodes; ++i)
		{
			names.emplace_back(name_of(i));
		}
		m_ring.build(names);
	}
	quota_holders holders_in(const region_name&, std::uint64_t _thing) const override
	{
		const ring_owners owners = m_ring.owners_of(_thing);
		return {holder(owners.first), holder(owners.stand_in)};
	}
	std::vector<std::string> region_addresses() const override
	{
		std::vector<std::string> others;
		for (std::size_t i = 0; i < k_nodes; ++i)
		{
			if (i != m_self)
			{
				others.push_back(std::to_string(i));
			}
		}
		return others;
	}

private:
	quota_holder holder(std::size_t _node) const
	{
		return {_node == m_self ? "" : std::to_string(_node), short_hash(name_of(_node))};
	}

	std::size_t m_self;
	node_ring m_ring;
};

/// One node: a forwarder with its listener, and its own view of the backend servers.
class limited_node
{
public:
	using sender = backend_limits::sender;

	limited_node(asio::io_context& _context, const clock_base& _clock, std::size_t _number,
	    const std::vector<backend_record>& _records, sender _send)
	    : m_clock(_clock), m_fleet(_number),
	      m_registry(std::unordered_map<std::string, std::string>{{"east-a", "east"}}),
	      m_log(name_of(_number), -1),
	      m_limits(_context, _clock, m_fleet, m_registry, placement{name_of(_number), "east-a", "east"},
	          m_log, std::move(_send)),
	      m_forwarder(_context, _clock, header_names(), placement{name_of(_number), "east-a", "east"},
	          shared_bounds(), m_registry, m_fleet, m_quotas, m_rollouts, m_limits, m_log, m_metrics),
	      m_listener(
	          _context,
	          [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
	          {
		          m_forwarder.handle(_session, std::move(_request));
	          },
	          1000)
	{
		for (const backend_record& record : _records)
		{
			m_registry.put(record, _clock.steady());
		}
		m_forwarder.set_routes(entry_fixture::routes(1));
		CPPUNIT_ASSERT(!m_listener.listen(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
	}
	tcp::endpoint address() const
	{
		return m_listener.address();
	}
	void take(const std::vector<std::uint8_t>& _bytes, const std::string& _sender)
	{
		result<limit_message> decoded = decode_limit_message(_bytes.data(), _bytes.size(), m_clock.steady());
		m_limits.on_message(*value_of(decoded), _sender);
	}
	void tick()
	{
		m_limits.tick();
		m_forwarder.tick();
	}

private:
	const clock_base& m_clock;
	all_in_sight m_fleet;
	scripted_quotas m_quotas;
	scripted_rollouts m_rollouts;
	backend_registry m_registry;
	entry_log m_log;
	backend_limits m_limits;
	metrics m_metrics;
	forwarder m_forwarder;
	http_listener m_listener;
};

backend_record record_of(const std::string& _id, const scripted_backend& _backend)
{
	backend_record record;
	record.id = backend_id(_id);
	record.service = service_name("shop");
	record.domain = domain_name("east-a");
	record.slots = 3;
	record.address = _backend.address();
	return record;
}

/// @returns The most requests that came within any window, from a moment on.
std::size_t most_in_window(const std::vector<steady_time>& _arrivals, steady_time _from)
{
	std::size_t most = 0;
	for (auto begin = _arrivals.begin(); begin != _arrivals.end(); ++begin)
	{
		const auto end = std::upper_bound(begin, _arrivals.end(), *begin + k_window);
		most = *begin < _from ? most : std::max(most, static_cast<std::size_t>(end - begin));
	}
	return most;
}
} // namespace

class backend_limit_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(backend_limit_test);
	CPPUNIT_TEST(nine_nodes_that_know_a_limit_send_no_more_than_it_allows);
	CPPUNIT_TEST_SUITE_END();

protected:
	void nine_nodes_that_know_a_limit_send_no_more_than_it_allows()
	{
		asio::io_context context(1);
		const clock_system clock;
		scripted_backend limited(context);
		scripted_backend other(context);
		limited.usual.bytes = scripted_backend::answer("fine", 200, "Larkrack-Limit: 2.9\r\n");
		const std::vector<backend_record> records{record_of("limited", limited), record_of("other", other)};
		std::vector<std::unique_ptr<limited_node>> nodes;
		std::vector<raw_caller> callers;
		for (std::size_t i = 0; i < k_nodes; ++i)
		{
			const auto send = [&context, &nodes, i](
			                      const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
			{
				asio::post(context,
				    [&nodes, i, _bytes, to = std::stoul(_ip)]
				    {
					    nodes.at(to)->take(_bytes, std::to_string(i));
				    });
			};
			nodes.push_back(std::make_unique<limited_node>(context, clock, i, records, send));
			callers.emplace_back(context, nodes.back()->address());
		}
		const steady_time began = clock.steady();
		std::size_t served = 0;
		std::size_t sent = 0;
		for (; clock.steady() - began < k_until_known + k_window + ms(1000); ++sent)
		{
			raw_caller& caller = callers[sent % k_nodes];
			caller.send("GET /read/ HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: r" +
			            std::to_string(sent) +
			            "\r\nLarkrack-Deadline-Ms: 1500\r\nCookie: Larkrack-Affinity=" +
			            std::to_string(sent % k_objects) + "\r\n\r\n");
			served += 200 == caller.receive().result_int() ? 1 : 0;
			context.run_for(k_pause);
			nodes[sent % k_nodes]->tick();
		}
		CPPUNIT_ASSERT_EQUAL(sent, served); // The other backend server has room for all.
		const std::size_t most = most_in_window(limited.arrivals, began + k_until_known);
		CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= k_allowed);
		CPPUNIT_ASSERT(!limited.arrivals.empty());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_limit_test);
} // namespace larkrack
