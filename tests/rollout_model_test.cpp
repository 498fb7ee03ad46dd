// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulates fleets that roll a version out, on a virtual clock: requests, reports that are delayed and lost,
/// and a store with conditional writes that may be unreachable.

#include "entry_fixture.h"

#include <algorithm>
#include <random>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_step{50}; ///< Step of the virtual clock.
/// Delay from a write to the notification of all nodes that are not cut off.
constexpr ms k_store_notification_delay{250};
constexpr ms k_crash_detection_time{1000}; ///< Time until other nodes detect a crash.
/// Maximum fraction of the requests that a version may get while it is judged.
constexpr double k_bound = 0.1;

/// Fleet view with the nodes that the model sets.
class fleet_view_fake : public fleet_view_single_node
{
public:
	responsible_nodes responsible_for(std::uint64_t) const override
	{
		return deciders;
	}
	live_node_counts live_nodes() const override
	{
		return sight;
	}

	responsible_nodes deciders;
	live_node_counts sight;
};

/// Simulates a fleet whose nodes all get the same number of requests.
class rollout_model
{
public:
	/// @param[in] _per_s Requests per second at each node.
	rollout_model(int _nodes, double _per_s, double _failing) : m_per_s(_per_s), m_failing(_failing)
	{
		m_clock.advance(ms(1000));
		m_nodes.resize(static_cast<std::size_t>(_nodes));
		for (int i = 0; i < _nodes; ++i)
		{
			start(i);
		}
	}

	/// Starts or restarts a node: it knows only what the store holds.
	void start(int _node)
	{
		node& entry = m_nodes.at(static_cast<std::size_t>(_node));
		entry.alive = true;
		entry.view = std::make_unique<fleet_view_fake>();
		entry.registry = std::make_unique<backend_registry>(
		    std::unordered_map<std::string, std::string>{{"east-a", "east"}});
		for (const char* version : {"v1", "v2"})
		{
			backend_record record;
			record.id = backend_id(std::string("b-") + version);
			record.service = m_service;
			record.domain = domain_name("east-a");
			record.version = version_name(version);
			entry.registry->put(record, m_clock.steady());
		}
		entry.service_rollouts = std::make_unique<rollouts>(
		    m_clock, *entry.view, *entry.registry, k_bound, name_of(_node), ++m_incarnation, m_log,
		    [this, _node](const std::vector<std::uint8_t>& _bytes, const std::string& _ip)
		    {
			    m_sent.push_back({m_clock.steady() + k_step, _node, std::stoi(_ip), _bytes});
		    },
		    [this, _node](const rollout_status& _status, std::int64_t _expected)
		    {
			    write(_node, _status, _expected);
		    });
		if (0 != m_order.revision)
		{
			entry.service_rollouts->on_order(m_order);
		}
		if (m_status)
		{
			entry.service_rollouts->on_status(*m_status);
		}
	}
	void crash(int _node)
	{
		node& entry = m_nodes.at(static_cast<std::size_t>(_node));
		entry.alive = false;
		entry.crashed_at = m_clock.steady();
	}
	void set_cut_off(int _node, bool _cut_off)
	{
		m_nodes.at(static_cast<std::size_t>(_node)).cut_off = _cut_off;
	}
	void set_store_down(bool _down)
	{
		m_store_down = _down;
	}
	void order(ms _duration)
	{
		m_order = {m_service, version_name("v2"), _duration, ++m_revision};
		for (node& entry : m_nodes)
		{
			if (entry.alive && !entry.cut_off)
			{
				entry.service_rollouts->on_order(m_order);
			}
		}
	}

	void run(ms _time)
	{
		for (ms passed{0}; passed < _time; passed += k_step)
		{
			m_clock.advance(k_step);
			refresh_views();
			deliver();
			for (node& entry : m_nodes)
			{
				if (entry.alive)
				{
					entry.service_rollouts->tick();
					take_requests(entry);
				}
			}
		}
	}

	std::optional<rollout_state> state() const
	{
		return m_status ? std::optional(m_status->state) : std::nullopt;
	}
	/// @returns Fraction of the requests that went to the target version before the rollout was decided.
	double part_at_target() const
	{
		return static_cast<double>(m_exposed) / static_cast<double>(std::max(1, m_requests));
	}
	int failed_at_target() const
	{
		return m_failed;
	}
	int at_target() const
	{
		return m_at_target;
	}
	int states_written() const
	{
		return m_states_written;
	}

private:
	struct node
	{
		std::unique_ptr<fleet_view_fake> view;
		std::unique_ptr<backend_registry> registry;
		std::unique_ptr<rollouts> service_rollouts;
		bool alive = false;
		bool cut_off = false;
		steady_time crashed_at{};
		double due = 0.0; ///< Requests due, including fractions.
	};
	struct datagram
	{
		steady_time at;
		int from;
		int to;
		std::vector<std::uint8_t> bytes;
	};
	struct pending_status
	{
		steady_time at;
		rollout_status status;
	};

	static node_name name_of(int _node)
	{
		return node_name("n" + std::to_string(_node));
	}

	bool seen_live(const node& _node) const
	{
		return _node.alive || m_clock.steady() - _node.crashed_at < k_crash_detection_time;
	}

	void refresh_views()
	{
		std::vector<int> live;
		for (std::size_t i = 0; i < m_nodes.size(); ++i)
		{
			if (seen_live(m_nodes[i]) && !m_nodes[i].cut_off)
			{
				live.push_back(static_cast<int>(i));
			}
		}
		for (std::size_t i = 0; i < m_nodes.size(); ++i)
		{
			fleet_view_fake& view = *m_nodes[i].view;
			const int self = static_cast<int>(i);
			const std::vector<int> seen = m_nodes[i].cut_off ? std::vector<int>{self} : live;
			view.sight = {static_cast<double>(seen.size()), static_cast<double>(m_nodes.size()), 0};
			const auto holder = [self](int _node)
			{
				return responsible_node{
				    _node == self ? "" : std::to_string(_node), static_cast<std::uint32_t>(_node + 1)};
			};
			view.deciders = {holder(seen[0]), seen.size() > 1 ? holder(seen[1]) : responsible_node{}};
		}
	}

	void deliver()
	{
		const std::vector<datagram> due = std::move(m_sent);
		m_sent.clear();
		for (const datagram& entry : due)
		{
			const node& from = m_nodes.at(static_cast<std::size_t>(entry.from));
			node& to = m_nodes.at(static_cast<std::size_t>(entry.to));
			const bool lost = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < 0.05;
			result<rollout_report> report = decode_rollout_report(entry.bytes.data(), entry.bytes.size());
			CPPUNIT_ASSERT(
			    is_rollout_report(entry.bytes.data(), entry.bytes.size()) && nullptr != value_of(report));
			if (to.alive && !from.cut_off && !to.cut_off && !lost)
			{
				to.service_rollouts->on_report(*value_of(report));
			}
		}
		const auto is_due = [this](const pending_status& _one)
		{
			return _one.at <= m_clock.steady();
		};
		for (const pending_status& entry : m_pending_statuses)
		{
			for (node& to : m_nodes)
			{
				if (is_due(entry) && to.alive && !to.cut_off)
				{
					to.service_rollouts->on_status(entry.status);
				}
			}
		}
		m_pending_statuses.erase(std::remove_if(m_pending_statuses.begin(), m_pending_statuses.end(), is_due),
		    m_pending_statuses.end());
	}

	void write(int _node, const rollout_status& _status, std::int64_t _expected)
	{
		const node& from = m_nodes.at(static_cast<std::size_t>(_node));
		const std::int64_t current = m_status ? m_status->revision : 0;
		if (m_store_down || from.cut_off || _expected != current)
		{
			return;
		}
		// A decided rollout must not be decided again.
		CPPUNIT_ASSERT(!m_status || rollout_state::running == m_status->state);
		m_status = _status;
		m_status->revision = ++m_revision;
		++m_states_written;
		m_pending_statuses.push_back({m_clock.steady() + k_store_notification_delay, *m_status});
	}

	void take_requests(node& _node)
	{
		_node.due += m_per_s * std::chrono::duration<double>(k_step).count();
		for (; _node.due >= 1.0; _node.due -= 1.0)
		{
			std::uniform_real_distribution<double> draw(0.0, 1.0);
			const version_rule rule = _node.service_rollouts->rule_for(m_service, draw(m_random));
			const bool to_target = version_side::target == rule.side;
			version_attempt attempt;
			attempt.service = m_service;
			attempt.version = version_name(to_target ? "v2" : "v1");
			attempt.route = "r1";
			attempt.failed = draw(m_random) < (to_target ? m_failing : 0.002);
			if (!attempt.failed)
			{
				attempt.time = ms(300);
			}
			_node.service_rollouts->on_attempt_end(attempt);
			const bool counts = !m_status || rollout_state::running == m_status->state;
			m_requests += counts ? 1 : 0;
			m_exposed += counts && to_target ? 1 : 0;
			m_at_target += to_target ? 1 : 0;
			m_failed += to_target && attempt.failed ? 1 : 0;
		}
	}

	clock_virtual m_clock;
	entry_log m_log{"test", -1};
	service_name m_service{"shop"};
	double m_per_s;
	double m_failing;
	std::vector<node> m_nodes;
	std::vector<datagram> m_sent;
	std::vector<pending_status> m_pending_statuses;
	rollout_order m_order;
	std::optional<rollout_status> m_status;
	std::int64_t m_revision = 1;
	std::uint64_t m_incarnation = 0;
	bool m_store_down = false;
	int m_requests = 0;
	int m_exposed = 0;
	int m_at_target = 0;
	int m_failed = 0;
	int m_states_written = 0;
	std::minstd_rand m_random{20261203};
};

void print_figures(const char* _what, int _nodes, const rollout_model& _model)
{
	if (nullptr != std::getenv("LARKRACK_FIGURES"))
	{
		std::cout << _what << ", " << _nodes << " nodes: at target " << _model.at_target() << " ("
		          << _model.part_at_target() << "), failed " << _model.failed_at_target() << std::endl;
	}
}
} // namespace

class rollout_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(rollout_model_test);
	CPPUNIT_TEST(good_version_completes_in_time_at_any_size);
	CPPUNIT_TEST(bad_version_is_rolled_back_and_gets_no_more_requests);
	CPPUNIT_TEST(bad_version_is_rolled_back_when_both_deciders_crash);
	CPPUNIT_TEST(node_that_is_cut_off_exposes_no_requests);
	CPPUNIT_TEST(verdict_holds_while_the_store_is_down);
	CPPUNIT_TEST(restarted_nodes_keep_to_the_bound);
	CPPUNIT_TEST(report_encoded_and_decoded_is_the_same);
	CPPUNIT_TEST(invalid_report_is_refused);
	CPPUNIT_TEST_SUITE_END();

protected:
	static rollout_report full_report()
	{
		rollout_report report;
		report.service = service_name("shop");
		report.order_revision = 77;
		report.sender = 4000000000U;
		report.incarnation = 12345;
		report.passed = ms(2500);
		for (int i = 0; i < 30; ++i)
		{
			route_evidence& counts = evidence_of(report.evidence, "route-" + std::to_string(i));
			counts.others.ended += 100;
			counts.others.failed += 2;
			for (int time = 0; time < 12; ++time)
			{
				counts.others.count_time(ms(100 * (time + 1)));
				counts.target.count_time(ms(100 * (time + 1)));
			}
			counts.target.ended += 12;
		}
		return report;
	}

	void report_encoded_and_decoded_is_the_same()
	{
		const std::vector<std::uint8_t> bytes = encode(full_report());
		CPPUNIT_ASSERT(bytes.size() < 1400); // Fits into one datagram.
		result<rollout_report> decoded = decode_rollout_report(bytes.data(), bytes.size());
		CPPUNIT_ASSERT(nullptr != value_of(decoded));
		CPPUNIT_ASSERT(bytes == encode(*value_of(decoded)));
	}

	void invalid_report_is_refused()
	{
		const std::vector<std::uint8_t> bytes = encode(full_report());
		for (std::size_t size = 0; size < bytes.size(); ++size)
		{
			result<rollout_report> cut_short = decode_rollout_report(bytes.data(), size);
			CPPUNIT_ASSERT(nullptr == value_of(cut_short));
		}
		rollout_report absurd = full_report();
		absurd.evidence.begin()->second.target.failed = 5000000;
		rollout_report more_failed_than_ended = full_report();
		++more_failed_than_ended.evidence.begin()->second.target.ended;
		more_failed_than_ended.evidence.begin()->second.target.failed = 300;
		for (const rollout_report& report : {absurd, more_failed_than_ended})
		{
			const std::vector<std::uint8_t> sent = encode(report);
			result<rollout_report> decoded = decode_rollout_report(sent.data(), sent.size());
			CPPUNIT_ASSERT(nullptr == value_of(decoded));
		}
	}

	void good_version_completes_in_time_at_any_size()
	{
		for (const int nodes : {1, 9, 78, 295})
		{
			rollout_model model(nodes, nodes > 78 ? 5.0 : 20.0, 0.002);
			model.order(ms(12000));
			model.run(ms(9000));
			CPPUNIT_ASSERT(rollout_state::running == model.state());
			model.run(ms(2000));
			print_figures("good", nodes, model);
			CPPUNIT_ASSERT(rollout_state::complete == model.state());
			CPPUNIT_ASSERT(model.part_at_target() <= k_bound);
		}
	}

	void bad_version_is_rolled_back_and_gets_no_more_requests()
	{
		for (const int nodes : {9, 78, 295})
		{
			rollout_model model(nodes, nodes > 78 ? 5.0 : 20.0, 0.4);
			model.order(ms(12000));
			model.run(ms(6000));
			print_figures("fails 0.4", nodes, model);
			CPPUNIT_ASSERT(rollout_state::rolled_back == model.state());
			CPPUNIT_ASSERT(model.part_at_target() <= k_bound);
			const int before = model.at_target();
			model.run(ms(6000));
			CPPUNIT_ASSERT_EQUAL(before, model.at_target());
		}
	}

	void bad_version_is_rolled_back_when_both_deciders_crash()
	{
		rollout_model model(30, 10.0, 0.4);
		model.order(ms(12000));
		model.run(ms(200));
		model.crash(0);
		model.crash(1);
		model.run(ms(5000));
		print_figures("both deciders die", 30, model);
		CPPUNIT_ASSERT(rollout_state::rolled_back == model.state());
		CPPUNIT_ASSERT(model.part_at_target() <= k_bound);
	}

	void node_that_is_cut_off_exposes_no_requests()
	{
		rollout_model model(9, 20.0, 0.002);
		model.order(ms(12000));
		for (int node = 0; node < 9; ++node)
		{
			model.set_cut_off(node, true);
		}
		model.run(ms(50));
		const int before = model.at_target();
		model.run(ms(8000));
		CPPUNIT_ASSERT_EQUAL(before, model.at_target());
	}

	void verdict_holds_while_the_store_is_down()
	{
		rollout_model model(30, 10.0, 0.4);
		model.order(ms(20000));
		model.set_store_down(true);
		model.run(ms(8000));
		CPPUNIT_ASSERT(!model.state());
		CPPUNIT_ASSERT(model.part_at_target() <= k_bound);
		model.set_store_down(false);
		model.run(ms(2500));
		CPPUNIT_ASSERT(rollout_state::rolled_back == model.state());
		CPPUNIT_ASSERT_EQUAL(1, model.states_written());
	}

	void restarted_nodes_keep_to_the_bound()
	{
		rollout_model model(9, 20.0, 0.02);
		model.order(ms(12000));
		for (int round = 0; round < 18; ++round)
		{
			model.crash(round % 9);
			model.run(ms(250));
			model.start(round % 9);
			model.run(ms(250));
			CPPUNIT_ASSERT(model.part_at_target() <= k_bound);
		}
		model.run(ms(2000));
		CPPUNIT_ASSERT(rollout_state::complete == model.state());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_model_test);
} // namespace larkrack
