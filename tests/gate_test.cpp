// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of gate: slots, queue, priorities, drains, shedding, and slots that a previous owner may still
/// occupy.

#include "fixtures.h"

#include "larkrackd/gate_p.h"

#include <rapidcheck.h>

namespace larkrack
{
class gate_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(gate_test);
	CPPUNIT_TEST(admission_when_slot_free_gets_ticket);
	CPPUNIT_TEST(admission_when_slots_full_waits_and_gets_released_slot);
	CPPUNIT_TEST(admission_when_queue_full_is_refused_at_once);
	CPPUNIT_TEST(admission_when_priority_is_higher_evicts_lower);
	CPPUNIT_TEST(admission_when_draining_is_refused);
	CPPUNIT_TEST(admission_when_previous_owner_may_run_counts_slots_as_full);
	CPPUNIT_TEST(admission_when_held_after_pause_waits);
	CPPUNIT_TEST(release_when_request_may_still_run_keeps_slot_until_confirmed);
	CPPUNIT_TEST(concurrency_limit_when_shed_is_lowered_and_recovers);
	CPPUNIT_TEST(admission_when_reports_are_false_respects_counted_slots);
	CPPUNIT_TEST(region_share_when_reached_stops_admission);
	CPPUNIT_TEST(running_when_faults_are_random_never_exceeds_slots);
	CPPUNIT_TEST_SUITE_END();

	static backend_grant grant_of(const std::string& _name, int _slots)
	{
		backend_grant one;
		one.name = _name;
		one.service = "shop";
		one.slots = _slots;
		one.owned = true;
		return one;
	}

	admission admission_for(int _wait_ms = 0, int _priority = 5) const
	{
		return {"shop", _priority, m_clock.steady() + std::chrono::milliseconds(_wait_ms)};
	}

	std::variant<ticket, waiter_ptr, reason> admit(int _wait_ms = 0, int _priority = 5)
	{
		return m_gate.admit(
		    admission_for(_wait_ms, _priority),
		    [this]
		    {
			    ++m_wake_count;
		    },
		    m_clock.steady());
	}

	void set_backends(const std::vector<backend_grant>& _grants, double _max_share = 1.0)
	{
		m_gate.update(_grants, _max_share, m_clock.steady());
	}

	clock_virtual m_clock;
	gate m_gate{"own_count"};
	int m_wake_count = 0;

public:
	void admission_when_slot_free_gets_ticket()
	{
		set_backends({grant_of("a", 2)});
		CPPUNIT_ASSERT(std::holds_alternative<ticket>(admit()));
		CPPUNIT_ASSERT_EQUAL(1, m_gate.running("a"));
	}

	void admission_when_slots_full_waits_and_gets_released_slot()
	{
		set_backends({grant_of("a", 1)});
		const ticket first = std::get<ticket>(admit());
		const waiter_ptr queued = std::get<waiter_ptr>(admit(30));
		m_gate.release(first, exchange_status::completed, m_clock.steady());
		CPPUNIT_ASSERT_EQUAL(1, m_wake_count);
		CPPUNIT_ASSERT(m_gate.leave_queue(queued).has_value());
		CPPUNIT_ASSERT_EQUAL(1, m_gate.running("a"));
	}

	void admission_when_queue_full_is_refused_at_once()
	{
		set_backends({grant_of("a", 2)});
		admit();
		admit();
		CPPUNIT_ASSERT(std::holds_alternative<waiter_ptr>(admit(30)));
		CPPUNIT_ASSERT(reason::no_headroom == std::get<reason>(admit(30)));
	}

	void admission_when_priority_is_higher_evicts_lower()
	{
		set_backends({grant_of("a", 1)});
		admit();
		const waiter_ptr low = std::get<waiter_ptr>(admit(30, 1));
		const waiter_ptr high = std::get<waiter_ptr>(admit(30, 9));
		CPPUNIT_ASSERT_EQUAL(1, m_wake_count);
		CPPUNIT_ASSERT(low->removed);
		CPPUNIT_ASSERT(!high->removed);
	}

	void admission_when_draining_is_refused()
	{
		backend_grant one = grant_of("a", 2);
		one.drain = true;
		set_backends({one});
		CPPUNIT_ASSERT(reason::no_headroom == std::get<reason>(admit()));
	}

	void admission_when_previous_owner_may_run_counts_slots_as_full()
	{
		backend_grant one = grant_of("a", 2);
		one.full_until = m_clock.steady() + std::chrono::seconds(2);
		set_backends({one});
		CPPUNIT_ASSERT(std::holds_alternative<reason>(admit()));
		m_clock.advance(std::chrono::seconds(2));
		CPPUNIT_ASSERT(std::holds_alternative<ticket>(admit()));
	}

	void admission_when_held_after_pause_waits()
	{
		set_backends({grant_of("a", 2)});
		m_gate.hold(true);
		const waiter_ptr queued = std::get<waiter_ptr>(admit(30));
		m_gate.hold(false);
		m_gate.tick(m_clock.steady());
		CPPUNIT_ASSERT(m_gate.leave_queue(queued).has_value());
	}

	void release_when_request_may_still_run_keeps_slot_until_confirmed()
	{
		set_backends({grant_of("a", 1)});
		const ticket one = std::get<ticket>(admit());
		m_gate.release(one, exchange_status::may_still_run, m_clock.steady());
		CPPUNIT_ASSERT(std::holds_alternative<reason>(admit()));
		m_gate.confirm(one, m_clock.steady());
		CPPUNIT_ASSERT(std::holds_alternative<ticket>(admit()));
	}

	void concurrency_limit_when_shed_is_lowered_and_recovers()
	{
		set_backends({grant_of("a", 8)});
		m_gate.release(std::get<ticket>(admit()), exchange_status::shed, m_clock.steady());
		CPPUNIT_ASSERT_EQUAL(4, m_gate.headroom(m_clock.steady()).at("shop").usable);
		for (int round = 0; round < 16; ++round)
		{
			m_gate.release(std::get<ticket>(admit()), exchange_status::completed, m_clock.steady());
		}
		CPPUNIT_ASSERT_EQUAL(8, m_gate.headroom(m_clock.steady()).at("shop").usable);
	}

	/// Load reports may be false or stale. They only affect the order of backend servers, never the number of
	/// slots.
	void admission_when_reports_are_false_respects_counted_slots()
	{
		set_backends({grant_of("a", 3), grant_of("b", 2)});
		for (const auto& [a, b] : {std::pair(0.0, 0.0), std::pair(1.0, 0.0), std::pair(1.0, 1.0)})
		{
			m_gate.report("a", a, false, m_clock.steady());
			m_gate.report("b", b, false, m_clock.steady());
			std::vector<ticket> open;
			open.reserve(5);
			for (int at = 0; at < 5; ++at)
			{
				open.push_back(std::get<ticket>(admit()));
			}
			CPPUNIT_ASSERT_EQUAL(3, m_gate.running("a"));
			CPPUNIT_ASSERT_EQUAL(2, m_gate.running("b"));
			m_gate.report("a", 0.0, false, m_clock.steady());
			m_gate.report("b", 0.0, false, m_clock.steady());
			CPPUNIT_ASSERT(reason::no_headroom == std::get<reason>(admit()));
			for (const ticket& one : open)
			{
				m_gate.release(one, exchange_status::completed, m_clock.steady());
			}
		}
	}

	void region_share_when_reached_stops_admission()
	{
		set_backends({grant_of("a", 3), grant_of("b", 3)}, 0.5);
		admit();
		admit();
		CPPUNIT_ASSERT(std::holds_alternative<ticket>(admit()));
		CPPUNIT_ASSERT(std::holds_alternative<reason>(admit()));
	}

	void running_when_faults_are_random_never_exceeds_slots()
	{
		const bool held = rc::check("running requests never exceed the slots",
		    [](const std::vector<std::uint8_t>& _steps)
		    {
			    clock_virtual clock;
			    gate one("own_count");
			    one.update({grant_of("a", 3), grant_of("b", 2)}, 1.0, clock.steady());
			    std::vector<ticket> open;
			    std::vector<ticket> may_still_run;
			    std::vector<waiter_ptr> waiting;
			    for (const std::uint8_t step : _steps)
			    {
				    clock.advance(std::chrono::milliseconds(step % 7));
				    random_step(one, clock, step, open, may_still_run, waiting);
				    RC_ASSERT(one.running("a") <= 3);
				    RC_ASSERT(one.running("b") <= 2);
				    RC_ASSERT(static_cast<int>(open.size() + may_still_run.size()) <=
				              one.running("a") + one.running("b"));
			    }
		    });
		CPPUNIT_ASSERT(held);
	}

private:
	static void random_step(gate& _gate, const clock_virtual& _clock, std::uint8_t _step,
	    std::vector<ticket>& _open, std::vector<ticket>& _may_still_run, std::vector<waiter_ptr>& _waiting)
	{
		const steady_time now = _clock.steady();
		switch (_step % 6)
		{
		case 0:
		case 1:
		{
			auto entered = _gate.admit(
			    {"shop", _step % 10, now + std::chrono::milliseconds(20)},
			    []
			    {
			    },
			    now);
			if (const ticket* got = std::get_if<ticket>(&entered))
			{
				_open.push_back(*got);
			}
			if (const waiter_ptr* queued = std::get_if<waiter_ptr>(&entered))
			{
				_waiting.push_back(*queued);
			}
			return;
		}
		case 2:
			if (!_open.empty())
			{
				_gate.release(
				    _open.back(), 0 == _step % 4 ? exchange_status::shed : exchange_status::completed, now);
				_open.pop_back();
			}
			return;
		case 3:
			if (!_open.empty())
			{
				_gate.release(_open.back(), exchange_status::may_still_run, now);
				_may_still_run.push_back(_open.back());
				_open.pop_back();
			}
			return;
		case 4:
			if (!_may_still_run.empty())
			{
				_gate.confirm(_may_still_run.back(), now);
				_may_still_run.pop_back();
			}
			return;
		default:
			if (!_waiting.empty())
			{
				const std::optional<ticket> got = _gate.leave_queue(_waiting.back());
				_waiting.pop_back();
				if (got)
				{
					_open.push_back(*got);
				}
			}
		}
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(gate_test);
} // namespace larkrack
