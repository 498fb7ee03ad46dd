// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Simulates refused callers in a fleet on a virtual clock: a burst refuses about 3,000 callers within one
/// second, and they return at arbitrary nodes. Compares the present rules (slot_queue_p.h, random retry time)
/// with the forecast of waits, the schedule of returns and the detection of returns. Prints its figures with
/// LARKRACK_FIGURES=1.

#include "fixtures.h"

#include "steering/request_times_p.h"
#include "steering/retry_schedule_p.h"
#include "steering/return_detector_p.h"
#include "steering/slot_queue_p.h"
#include "steering/wait_forecast_p.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

enum class refusal_rules
{
	present,
	planned,
};

constexpr std::size_t k_model_slots = 17; ///< Slots of a node.
constexpr double k_model_work_s = 0.3;    ///< Mean work time; single ones differ by up to 0.3 of it.
constexpr std::array<ms, 3> k_model_objectives{ms(500), ms(600), ms(1200)};
constexpr ms k_model_tick{100};
constexpr ms k_repeat_pause{100}; ///< Pause of a caller that does not honour the retry time.

struct refusal_scenario
{
	refusal_rules rules = refusal_rules::planned;
	std::size_t nodes = 71;
	double base = 0.85;     ///< Steady first arrivals, part of the capacity.
	double burst = 0.92;    ///< Further first arrivals during the first second, part of the capacity.
	double impatient = 0.0; ///< Part of the callers that repeat at once and often.
	ms timeout{30000};
	double room_lost = 0.0; ///< Part of the slots that is gone from the end of the burst on.
	ms lost_until{0};
	bool restarted = false; ///< All nodes forget at the end of the burst.
	std::uint32_t seed = 7;
};

/// What became of a group of callers that were refused in the first second.
struct caller_figures
{
	double callers = 0.0;
	double served = 0.0;
	double in_time = 0.0;
	double refused_twice = 0.0;
	double answer_s = 0.0; ///< Sum over served callers.
};

struct refusal_figures
{
	caller_figures waiting;
	caller_figures impatient;
	std::array<double, 5> returns{};      ///< In the five seconds after the burst.
	std::vector<double> decided_s;        ///< Time from arrival to refusal, refusals of the first second.
	std::array<double, 3> refused{};      ///< Refusals of the first second, by rank.
	std::array<double, 3> waited{};       ///< Those of them that waited for more than 10 ms.
	std::array<double, 3> burst_firsts{}; ///< First arrivals during the burst, by rank.
	std::array<double, 3> burst_in_time{};
	double firsts = 0.0; ///< First arrivals after the burst.
	double firsts_in_time = 0.0;

	double peak() const
	{
		double sum = 0.0;
		for (const double one : returns)
		{
			sum += one;
		}
		return sum > 0.0 ? 5.0 * *std::max_element(returns.begin(), returns.end()) / sum : 0.0;
	}
	double decided_p99() const
	{
		std::vector<double> sorted = decided_s;
		std::sort(sorted.begin(), sorted.end());
		return sorted.empty() ? 0.0 : sorted[(sorted.size() * 99) / 100];
	}
};

class refusal_model
{
public:
	explicit refusal_model(const refusal_scenario& _scenario)
	    : m_scenario(_scenario), m_random(_scenario.seed)
	{
		for (std::size_t i = 0; i < _scenario.nodes; ++i)
		{
			m_nodes.emplace_back(_scenario.seed + 1000 + static_cast<std::uint32_t>(i));
		}
	}
	refusal_figures run()
	{
		schedule(k_start, event_kind::first);
		schedule(k_burst, event_kind::burst_first);
		schedule(k_start, event_kind::tick);
		while (!m_events.empty() && m_events.top().at < k_end)
		{
			const event next = m_events.top();
			m_events.pop();
			m_now = next.at;
			play(next);
		}
		count_callers();
		return m_figures;
	}

private:
	enum class event_kind
	{
		first,
		burst_first,
		attempt,
		end,
		wait_over,
		tick,
	};
	struct event
	{
		steady_time at{};
		std::uint64_t order = 0;
		event_kind kind = event_kind::tick;
		std::size_t caller = 0;
		std::size_t node = 0;
		std::uint64_t attempt = 0;

		friend bool operator<(const event& _a, const event& _b)
		{
			return std::tie(_b.at, _b.order) < std::tie(_a.at, _a.order);
		}
	};
	struct caller
	{
		std::size_t route = 0;
		bool impatient = false;
		steady_time first_at{};
		steady_time arrived_at{};
		std::uint64_t attempt = 0; ///< Number of its present attempt; 0: none runs or waits.
		std::size_t refusals = 0;
		steady_time refused_at{};
		wait_request request;   ///< Of its present attempt, while it waits.
		caller_history history; ///< The same.
		bool answered = false;
		steady_time answered_at{};
	};
	using place = std::pair<wait_order, std::uint64_t>;
	struct node
	{
		explicit node(std::uint32_t _seed) : schedule(_seed)
		{
		}
		std::size_t running = 0;
		std::map<place, std::size_t> waiting; ///< Callers by place.
		wait_forecast forecast;
		retry_schedule schedule;
		return_detector detector;
	};

	void schedule(steady_time _at, event_kind _kind, std::size_t _caller = 0, std::size_t _node = 0,
	    std::uint64_t _attempt = 0)
	{
		m_events.push({_at, ++m_order, _kind, _caller, _node, _attempt});
	}
	void play(const event& _event)
	{
		switch (_event.kind)
		{
		case event_kind::first:
			arrive_first(m_scenario.base, event_kind::first);
			break;
		case event_kind::burst_first:
			arrive_first(m_scenario.burst, event_kind::burst_first);
			break;
		case event_kind::attempt:
			arrive(_event.caller);
			break;
		case event_kind::end:
			end(_event.caller, _event.node);
			break;
		case event_kind::wait_over:
			end_wait(_event);
			break;
		case event_kind::tick:
			tick();
			break;
		}
	}
	void arrive_first(double _load, event_kind _kind)
	{
		if (event_kind::burst_first == _kind && m_now >= k_burst + k_second)
		{
			return;
		}
		const double capacity_per_s = static_cast<double>(m_scenario.nodes * k_model_slots) / k_model_work_s;
		const double pause_s = std::exponential_distribution<double>(_load * capacity_per_s)(m_random);
		schedule(m_now + from_s(pause_s), _kind);
		caller one;
		one.route = std::uniform_int_distribution<std::size_t>(0, 2)(m_random);
		one.impatient = std::uniform_real_distribution<double>()(m_random) < m_scenario.impatient;
		one.first_at = m_now;
		m_callers.push_back(one);
		arrive(m_callers.size() - 1);
	}
	void arrive(std::size_t _caller)
	{
		caller& one = m_callers[_caller];
		if (one.answered || deadline(one) <= m_now)
		{
			return;
		}
		one.arrived_at = m_now;
		one.attempt = ++m_attempts;
		const auto second = (m_now - k_burst) / k_second - 1;
		if (one.refusals > 0 && m_now >= k_burst + k_second && second < 5)
		{
			m_figures.returns[static_cast<std::size_t>(second)] += 1.0;
		}
		const std::size_t at = std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
		if (refusal_rules::present == m_scenario.rules)
		{
			arrive_present(_caller, at);
			return;
		}
		arrive_planned(_caller, at);
	}
	void arrive_present(std::size_t _caller, std::size_t _node)
	{
		caller& one = m_callers[_caller];
		node& here = m_nodes[_node];
		if (here.waiting.empty() && here.running < slots())
		{
			start(_caller, _node);
			return;
		}
		wait_order order;
		order.rank.of_route = static_cast<int>(one.route);
		here.waiting[{order, one.attempt}] = _caller;
		const ms wait = max_slot_wait(k_model_objectives[one.route]);
		schedule(m_now + wait, event_kind::wait_over, _caller, _node, one.attempt);
	}
	void arrive_planned(std::size_t _caller, std::size_t _node)
	{
		caller& one = m_callers[_caller];
		node& here = m_nodes[_node];
		const ms stated = to_ms(deadline(one) - m_now);
		const ms used_up = here.detector.used_up(one.route, stated);
		here.detector.count(one.route, stated);
		const given_retry_times given = here.schedule.given(used_up, m_now);
		const caller_history history = return_detector::judge(used_up, given.shortest_s);
		wait_request request;
		request.rank.of_route = static_cast<int>(one.route);
		request.objective = k_model_objectives[one.route];
		request.used_up = used_up;
		request.returning = history.returning;
		request.early = history.early;
		request.not_before = m_now - used_up + from_s(given.mean_s);
		request.arrived_at = m_now;
		request.deadline = deadline(one);
		if (0 == used_up.count())
		{
			here.schedule.count_first(request.rank);
		}
		const wait_order order = wait_forecast::order(request, here.forecast.band(request, m_now));
		if (wait_band::in_time == order.band)
		{
			here.forecast.on_arrival(request.rank, m_now);
		}
		const place mine{order, one.attempt};
		const bool first = here.waiting.empty() || mine < here.waiting.begin()->first;
		if (first && may_start(here, order))
		{
			start(_caller, _node);
			return;
		}
		wait_or_refuse(_caller, _node, request, history);
	}
	void wait_or_refuse(
	    std::size_t _caller, std::size_t _node, const wait_request& _request, const caller_history& _history)
	{
		caller& one = m_callers[_caller];
		node& here = m_nodes[_node];
		const wait_band other = _request.early ? wait_band::early : wait_band::late;
		queue_ahead ahead;
		ahead.in_time = before(here, {wait_forecast::order(_request, wait_band::in_time), one.attempt});
		ahead.late = before(here, {wait_forecast::order(_request, other), one.attempt});
		const wait_answer answer = here.forecast.decide(_request, ahead, here.schedule.spare_per_s(), m_now);
		if (!answer.waits)
		{
			refuse(_caller, _node, _history.early);
			return;
		}
		here.waiting[{wait_forecast::order(_request, answer.band), one.attempt}] = _caller;
		if (wait_band::in_time == answer.band)
		{
			here.forecast.on_waits(m_now);
		}
		one.request = _request;
		one.history = _history;
		schedule(answer.until, event_kind::wait_over, _caller, _node, one.attempt);
	}
	static std::size_t before(const node& _node, const place& _place)
	{
		return static_cast<std::size_t>(
		    std::distance(_node.waiting.begin(), _node.waiting.lower_bound(_place)));
	}
	bool may_start(const node& _node, const wait_order& _order) const
	{
		if (_node.running >= slots() || m_now < _order.not_before)
		{
			return false;
		}
		const auto free = static_cast<double>(slots() - _node.running);
		return wait_band::in_time == _order.band ||
		       _node.forecast.late_may_start(free, _node.schedule.first_per_s(), m_now);
	}
	void start(std::size_t _caller, std::size_t _node)
	{
		const double work_s = k_model_work_s * std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
		++m_nodes[_node].running;
		schedule(m_now + from_s(work_s), event_kind::end, _caller, _node);
		m_callers[_caller].answered = true;
		m_callers[_caller].answered_at = m_now + from_s(work_s);
		m_nodes[_node].forecast.on_end(work_s);
	}
	void end(std::size_t, std::size_t _node)
	{
		--m_nodes[_node].running;
		send_waiting(_node);
	}
	void send_waiting(std::size_t _node)
	{
		node& here = m_nodes[_node];
		while (!here.waiting.empty() && may_start(here, here.waiting.begin()->first.first))
		{
			const auto first = here.waiting.begin();
			const std::size_t who = first->second;
			const wait_band band = first->first.first.band;
			here.waiting.erase(first);
			if (wait_band::in_time == band)
			{
				here.forecast.on_sent_from_queue(m_now);
			}
			tell_if_none_waits(here);
			start(who, _node);
		}
	}
	void tell_if_none_waits(node& _node) const
	{
		if (_node.waiting.empty() || wait_band::in_time != _node.waiting.begin()->first.first.band)
		{
			_node.forecast.on_none_waiting(m_now);
		}
	}
	void end_wait(const event& _event)
	{
		node& here = m_nodes[_event.node];
		const auto it = std::find_if(here.waiting.begin(), here.waiting.end(),
		    [&_event](const auto& _one)
		    {
			    return _one.first.second == _event.attempt;
		    });
		if (here.waiting.end() == it)
		{
			return;
		}
		here.waiting.erase(it);
		tell_if_none_waits(here);
		const caller& one = m_callers[_event.caller];
		if (refusal_rules::planned == m_scenario.rules && one.history.used_up.count() > 0)
		{
			wait_or_refuse(_event.caller, _event.node, one.request, one.history);
			return;
		}
		refuse(_event.caller, _event.node, false);
	}
	void refuse(std::size_t _caller, std::size_t _node, bool _early)
	{
		caller& one = m_callers[_caller];
		one.attempt = 0;
		if (in_burst(m_now))
		{
			m_figures.decided_s.push_back(to_s(m_now - one.arrived_at));
			m_figures.waited[one.route] += m_now - one.arrived_at > ms(10) ? 1.0 : 0.0;
			m_figures.refused[one.route] += 1.0;
		}
		one.refused_at = 0 == one.refusals ? m_now : one.refused_at;
		++one.refusals;
		const ms left = to_ms(deadline(one) - m_now);
		double after_s = refusal_rules::present == m_scenario.rules
		                     ? retry_after_s(m_random)
		                     : m_nodes[_node].schedule.retry_after_s(rank_of(one), left, _early, m_now);
		after_s = std::min(after_s, to_s(left) / 3.0);
		if (one.impatient)
		{
			schedule(m_now + k_repeat_pause, event_kind::attempt, _caller);
			return;
		}
		if (1 == one.refusals)
		{
			schedule(m_now + from_s(after_s), event_kind::attempt, _caller);
		}
	}
	void tick()
	{
		const double own_slots = static_cast<double>(slots());
		for (std::size_t i = 0; i < m_nodes.size(); ++i)
		{
			node& here = m_nodes[i];
			here.forecast.tick(own_slots, k_model_work_s, m_now);
			here.schedule.tick(own_slots / here.forecast.work_time_s(), m_now);
			send_waiting(i);
		}
		if (m_scenario.restarted && m_now == k_burst + k_second)
		{
			restart();
		}
		schedule(m_now + k_model_tick, event_kind::tick);
	}
	/// All nodes forget what they learned; requests that run or wait are kept.
	void restart()
	{
		for (node& here : m_nodes)
		{
			here.forecast = wait_forecast();
			here.schedule = retry_schedule(m_scenario.seed);
			here.detector = return_detector();
			here.forecast.tick(static_cast<double>(slots()), k_model_work_s, m_now);
		}
	}
	std::size_t slots() const
	{
		const bool lost = m_now >= k_burst + k_second && m_now < k_burst + m_scenario.lost_until;
		const double part = lost ? 1.0 - m_scenario.room_lost : 1.0;
		return static_cast<std::size_t>(part * static_cast<double>(k_model_slots));
	}
	void count_callers()
	{
		for (const caller& one : m_callers)
		{
			const bool in_time =
			    one.answered && one.answered_at - one.first_at <= k_model_objectives[one.route];
			if (in_burst(one.first_at))
			{
				m_figures.burst_firsts[one.route] += 1.0;
				m_figures.burst_in_time[one.route] += in_time ? 1.0 : 0.0;
			}
			if (one.first_at >= k_burst + k_second && one.first_at < k_burst + 6 * k_second)
			{
				m_figures.firsts += 1.0;
				m_figures.firsts_in_time += in_time ? 1.0 : 0.0;
			}
			if (0 == one.refusals || !in_burst(one.refused_at))
			{
				continue;
			}
			caller_figures& group = one.impatient ? m_figures.impatient : m_figures.waiting;
			group.callers += 1.0;
			group.served += one.answered ? 1.0 : 0.0;
			group.in_time += in_time ? 1.0 : 0.0;
			group.refused_twice += one.refusals > 1 ? 1.0 : 0.0;
			group.answer_s += one.answered ? to_s(one.answered_at - one.first_at) : 0.0;
		}
	}
	steady_time deadline(const caller& _caller) const
	{
		return _caller.first_at + m_scenario.timeout;
	}
	static urgency rank_of(const caller& _caller)
	{
		urgency rank;
		rank.of_route = static_cast<int>(_caller.route);
		return rank;
	}
	static bool in_burst(steady_time _time)
	{
		return _time >= k_burst && _time < k_burst + k_second;
	}
	static steady_time::duration from_s(double _seconds)
	{
		return std::chrono::microseconds(static_cast<std::int64_t>(1e6 * _seconds));
	}

	static constexpr std::chrono::seconds k_second{1};
	static constexpr steady_time k_start = steady_time{} + std::chrono::hours(1);
	static constexpr steady_time k_burst = k_start + std::chrono::seconds(18);
	static constexpr steady_time k_end = k_burst + std::chrono::seconds(32);

	refusal_scenario m_scenario;
	std::minstd_rand m_random;
	steady_time m_now{};
	std::vector<node> m_nodes;
	std::vector<caller> m_callers;
	std::priority_queue<event> m_events;
	std::uint64_t m_order = 0;
	std::uint64_t m_attempts = 0;
	refusal_figures m_figures;
};
} // namespace

class refusal_model_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(refusal_model_test);
	CPPUNIT_TEST(callers_refused_within_a_second_return_evenly_and_are_refused_once);
	CPPUNIT_TEST(present_rules_break_the_same_bounds);
	CPPUNIT_TEST(number_of_nodes_does_not_change_the_bounds);
	CPPUNIT_TEST(callers_that_repeat_at_once_and_often_gain_nothing);
	CPPUNIT_TEST(nodes_that_restarted_refuse_fewer_callers_twice_than_the_present_rules);
	CPPUNIT_TEST(room_that_vanishes_after_callers_were_told_to_return_refuses_none_twice);
	CPPUNIT_TEST(larger_room_is_used_sooner_and_not_exceeded);
	CPPUNIT_TEST(callers_with_little_time_are_refused_twice_less_often_than_by_the_present_rules);
	CPPUNIT_TEST_SUITE_END();

protected:
	static void print(const char* _what, const refusal_figures& _figures)
	{
		if (nullptr == std::getenv("LARKRACK_FIGURES"))
		{
			return;
		}
		const auto group = [](const char* _name, const caller_figures& _group)
		{
			std::cout << ", " << _name << " " << _group.callers << ": served "
			          << _group.served / std::max(1.0, _group.callers) << ", in time "
			          << _group.in_time / std::max(1.0, _group.callers) << ", refused twice "
			          << _group.refused_twice / std::max(1.0, _group.callers) << ", mean answer "
			          << _group.answer_s / std::max(1.0, _group.served) << " s";
		};
		std::cout << _what << ": returns";
		for (const double one : _figures.returns)
		{
			std::cout << " " << one;
		}
		std::cout << ", busiest by mean " << _figures.peak() << ", decided p99 "
		          << 1000.0 * _figures.decided_p99() << " ms of " << _figures.decided_s.size();
		for (std::size_t i = 0; i < 3; ++i)
		{
			std::cout << ", rank " << i << " in the burst: in time "
			          << _figures.burst_in_time[i] / std::max(1.0, _figures.burst_firsts[i])
			          << ", refused after a wait " << _figures.waited[i] << " of " << _figures.refused[i];
		}
		group("waiting", _figures.waiting);
		group("impatient", _figures.impatient);
		std::cout << ", first arrivals in time " << _figures.firsts_in_time / _figures.firsts << "\n";
	}
	static refusal_figures play(const char* _what, const refusal_scenario& _scenario)
	{
		refusal_figures figures = refusal_model(_scenario).run();
		print(_what, figures);
		return figures;
	}
	static double part(double _some, const caller_figures& _group)
	{
		return _some / std::max(1.0, _group.callers);
	}

	/// Guards against refused callers that return together, meet the same overload and are refused for good,
	/// and against refusals only after a wait in vain.
	void callers_refused_within_a_second_return_evenly_and_are_refused_once()
	{
		for (const std::uint32_t seed : {7U, 8U, 9U})
		{
			refusal_scenario scenario;
			scenario.seed = seed;
			const refusal_figures figures = play("planned", scenario);
			CPPUNIT_ASSERT(figures.waiting.callers > 2700.0 && figures.waiting.callers < 3300.0);
			CPPUNIT_ASSERT(part(figures.waiting.refused_twice, figures.waiting) <= 0.02);
			CPPUNIT_ASSERT(figures.peak() <= 1.2);
			CPPUNIT_ASSERT(figures.decided_p99() <= 0.010);
		}
	}

	/// Shows that the load tells the two sets of rules apart.
	void present_rules_break_the_same_bounds()
	{
		refusal_scenario scenario;
		scenario.rules = refusal_rules::present;
		const refusal_figures figures = play("present", scenario);
		CPPUNIT_ASSERT(part(figures.waiting.refused_twice, figures.waiting) > 0.02);
		CPPUNIT_ASSERT(figures.peak() > 1.2);
		CPPUNIT_ASSERT(figures.decided_p99() > 0.010);
	}

	/// Guards against rules that hold only with one number of nodes. With 9 nodes some 70 callers return in a
	/// second, so that chance alone exceeds the bound of the busiest second; it is not asserted there.
	void number_of_nodes_does_not_change_the_bounds()
	{
		for (const std::size_t nodes : {9, 300})
		{
			refusal_scenario scenario;
			scenario.nodes = nodes;
			const refusal_figures figures = play(9 == nodes ? "9 nodes" : "300 nodes", scenario);
			CPPUNIT_ASSERT(part(figures.waiting.refused_twice, figures.waiting) <= 0.02);
			CPPUNIT_ASSERT(figures.decided_p99() <= 0.010);
			CPPUNIT_ASSERT(9 == nodes || figures.peak() <= 1.2);
		}
	}

	/// Guards against callers that learn to ignore the retry time.
	void callers_that_repeat_at_once_and_often_gain_nothing()
	{
		refusal_scenario scenario;
		scenario.impatient = 0.1;
		const refusal_figures planned = play("a tenth repeats at once", scenario);
		CPPUNIT_ASSERT(part(planned.impatient.in_time, planned.impatient) <=
		               part(planned.waiting.in_time, planned.waiting) + 0.02);
		CPPUNIT_ASSERT(part(planned.impatient.served, planned.impatient) <=
		               part(planned.waiting.served, planned.waiting) + 0.01);
		CPPUNIT_ASSERT(planned.impatient.answer_s / planned.impatient.served >=
		               0.9 * planned.waiting.answer_s / planned.waiting.served);
		CPPUNIT_ASSERT(part(planned.waiting.refused_twice, planned.waiting) <= 0.02);
		scenario.rules = refusal_rules::present;
		const refusal_figures present = play("a tenth repeats at once, present", scenario);
		CPPUNIT_ASSERT(part(present.impatient.in_time, present.impatient) >
		               part(present.waiting.in_time, present.waiting) + 0.02);
	}

	/// Guards against nodes that, without a usual timeout and demand, invite callers to room that is not
	/// there.
	void nodes_that_restarted_refuse_fewer_callers_twice_than_the_present_rules()
	{
		refusal_scenario scenario;
		scenario.restarted = true;
		const refusal_figures planned = play("all nodes restarted", scenario);
		scenario.rules = refusal_rules::present;
		const refusal_figures present = play("all nodes restarted, present", scenario);
		CPPUNIT_ASSERT(part(planned.waiting.refused_twice, planned.waiting) <
		               part(present.waiting.refused_twice, present.waiting));
		CPPUNIT_ASSERT(planned.firsts_in_time / planned.firsts >= present.firsts_in_time / present.firsts);
	}

	/// Guards against returning callers that are refused for good, or that displace requests which can be in
	/// time, when three tenths of the slots are lost for three seconds after they were told to return.
	void room_that_vanishes_after_callers_were_told_to_return_refuses_none_twice()
	{
		refusal_scenario scenario;
		scenario.room_lost = 0.3;
		scenario.lost_until = ms(4000);
		const refusal_figures planned = play("room vanishes", scenario);
		scenario.rules = refusal_rules::present;
		const refusal_figures present = play("room vanishes, present", scenario);
		CPPUNIT_ASSERT(part(planned.waiting.refused_twice, planned.waiting) <= 0.02);
		CPPUNIT_ASSERT(part(present.waiting.refused_twice, present.waiting) > 0.02);
		CPPUNIT_ASSERT(planned.firsts_in_time / planned.firsts >= present.firsts_in_time / present.firsts);
	}

	/// Guards against callers that are kept away although there is room, and against returns beyond the room.
	void larger_room_is_used_sooner_and_not_exceeded()
	{
		refusal_scenario scenario;
		scenario.base = 0.6;
		scenario.burst = 1.2;
		const refusal_figures figures = play("larger room", scenario);
		const double capacity_per_s = static_cast<double>(scenario.nodes * k_model_slots) / k_model_work_s;
		const double room_per_s = (k_planned_capacity_fraction - scenario.base) * capacity_per_s;
		CPPUNIT_ASSERT(figures.returns[0] <= 1.1 * room_per_s);
		CPPUNIT_ASSERT(figures.returns[3] + figures.returns[4] < 0.02 * figures.waiting.callers);
		CPPUNIT_ASSERT(part(figures.waiting.refused_twice, figures.waiting) <= 0.02);
	}

	/// A third of 5 s is too short for 3,000 returns in this room: no schedule keeps the bounds. Guards
	/// against a schedule that does worse than chance then.
	void callers_with_little_time_are_refused_twice_less_often_than_by_the_present_rules()
	{
		refusal_scenario scenario;
		scenario.timeout = ms(5000);
		const refusal_figures planned = play("5 s", scenario);
		scenario.rules = refusal_rules::present;
		const refusal_figures present = play("5 s, present", scenario);
		CPPUNIT_ASSERT(part(planned.waiting.refused_twice, planned.waiting) <
		               part(present.waiting.refused_twice, present.waiting));
		CPPUNIT_ASSERT(planned.peak() < present.peak());
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_model_test);
} // namespace larkrack
