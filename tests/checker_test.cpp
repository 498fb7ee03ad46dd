// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the history checker: a valid history passes, and each kind of violation is reported.

#include "fixtures.h"

#include "testing/checker_p.h"

namespace larkrack
{
class checker_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(checker_test);
	CPPUNIT_TEST(history_when_good_has_no_violation);
	CPPUNIT_TEST(history_when_key_ran_twice_is_caught);
	CPPUNIT_TEST(history_when_refusal_had_run_is_caught);
	CPPUNIT_TEST(history_when_key_refused_after_run_is_caught);
	CPPUNIT_TEST(history_when_slots_exceeded_is_caught);
	CPPUNIT_TEST(history_when_region_overloaded_is_caught);
	CPPUNIT_TEST(history_when_answer_cut_is_caught);
	CPPUNIT_TEST(history_when_answer_crossed_is_caught);
	CPPUNIT_TEST(history_when_served_without_run_is_caught);
	CPPUNIT_TEST(history_when_work_after_drain_is_caught);
	CPPUNIT_TEST(history_when_traffic_jumps_is_caught);
	CPPUNIT_TEST(history_when_step_exceeds_cap_is_caught);
	CPPUNIT_TEST(history_when_configuration_reverts_is_caught);
	CPPUNIT_TEST(history_when_configuration_not_in_force_is_caught);
	CPPUNIT_TEST(history_when_cut_off_node_is_late_is_allowed);
	CPPUNIT_TEST(history_when_node_is_late_after_cut_ended_is_caught);
	CPPUNIT_TEST_SUITE_END();

	static nlohmann::json run_line(const std::string& _id, std::int64_t _start, const std::string& _key = "",
	    int _running = 1, const std::string& _backend = "shop-1")
	{
		return {{"type", "run"}, {"backend", _backend}, {"id", _id}, {"key", _key}, {"start", _start},
		    {"end", _start + 1000}, {"running", _running}, {"slots", 3}};
	}

	static nlohmann::json request_line(
	    const std::string& _id, const std::string& _outcome, std::int64_t _t0, const std::string& _key = "")
	{
		return {{"type", "request"}, {"id", _id}, {"key", _key}, {"service", "shop"}, {"t0", _t0},
		    {"t1", _t0 + 5000}, {"outcome", _outcome}, {"whole", true}, {"own", true}, {"sent", true}};
	}

	static nlohmann::json event_line(const std::string& _node, const std::string& _name, std::int64_t _t_us)
	{
		return {{"event", 1}, {"node", _node}, {"name", _name}, {"t_us", _t_us}};
	}

public:
	void setUp() override
	{
		m_rules.region_of_backend = {{"shop-1", "east"}, {"shop-2", "west"}};
		m_rules.slots_of_region = {{"shop/east", 3}, {"shop/west", 3}};
		m_rules.caps["shop"] = {0.1, 1000000};
		m_lines = {run_line("r1", 100), request_line("r1", "served", 50), run_line("r2", 5000, "k2"),
		    request_line("r2", "served", 4000, "k2"), request_line("r3", "not_run", 6000)};
	}

private:
	void expect(const std::string& _guarantee)
	{
		const check_report report = check_history(m_lines, m_rules);
		CPPUNIT_ASSERT_MESSAGE(_guarantee, 0 < report.count(_guarantee));
		CPPUNIT_ASSERT_EQUAL(report.violations.size(), report.count(_guarantee));
	}

	check_rules m_rules;
	std::vector<nlohmann::json> m_lines;

public:
	void history_when_good_has_no_violation()
	{
		const check_report report = check_history(m_lines, m_rules);
		CPPUNIT_ASSERT(report.violations.empty());
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.served);
		CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report.not_run);
	}
	void history_when_key_ran_twice_is_caught()
	{
		m_lines.push_back(run_line("r9", 9000, "k2"));
		expect("run_twice");
	}
	void history_when_refusal_had_run_is_caught()
	{
		m_lines.push_back(run_line("r3", 6100));
		expect("false_refusal");
	}
	void history_when_key_refused_after_run_is_caught()
	{
		m_lines.push_back(request_line("r8", "not_run", 9000, "k2"));
		expect("false_refusal");
	}
	void history_when_slots_exceeded_is_caught()
	{
		m_lines.push_back(run_line("r7", 20000, "", 4));
		expect("over_slots");
	}
	void history_when_region_overloaded_is_caught()
	{
		m_rules.max_share["east"] = 0.3;
		m_lines.push_back(run_line("r7", 5100));
		expect("over_region");
	}
	void history_when_answer_cut_is_caught()
	{
		m_lines[1]["whole"] = false;
		expect("cut");
	}
	void history_when_answer_crossed_is_caught()
	{
		m_lines[1]["own"] = false;
		expect("crossed");
	}
	void history_when_served_without_run_is_caught()
	{
		m_lines.push_back(request_line("r6", "served", 7000));
		expect("phantom");
	}
	void history_when_work_after_drain_is_caught()
	{
		m_lines.push_back({{"type", "drain"}, {"backend", "shop-1"}, {"t", 10000}});
		m_lines.push_back(run_line("r5", 10000 + 2100000));
		m_lines.push_back(request_line("r5", "served", 10000 + 2100000));
		expect("late_work");
	}
	void history_when_traffic_jumps_is_caught()
	{
		m_lines.clear();
		for (int at = 0; at < 4000; ++at)
		{
			const std::string id = "j" + std::to_string(at);
			const std::int64_t t0 = std::int64_t{1000} * at;
			const bool is_west = t0 < 2000000 ? 0 == at % 10 : 0 == at % 2;
			m_lines.push_back(request_line(id, "served", t0));
			m_lines.push_back(run_line(id, t0 + 10, "", 1, is_west ? "shop-2" : "shop-1"));
		}
		expect("cap");
	}
	void history_when_step_exceeds_cap_is_caught()
	{
		nlohmann::json first = event_line("n1", "shift_step", 1000);
		first["service"] = "shop";
		first["shares"] = {{"east", 0.5}, {"west", 0.5}};
		nlohmann::json second = first;
		second["t_us"] = 500000;
		second["shares"] = {{"east", 0.3}, {"west", 0.7}};
		m_lines.push_back(first);
		m_lines.push_back(second);
		expect("cap");
	}
	void history_when_configuration_reverts_is_caught()
	{
		nlohmann::json newer = event_line("n1", "config_taken", 100);
		newer["revision"] = 5;
		nlohmann::json older = event_line("n1", "config_taken", 200);
		older["revision"] = 4;
		m_lines.push_back(newer);
		m_lines.push_back(older);
		expect("reverted");
	}
	void add_late_node(std::int64_t _taken_at)
	{
		m_lines.push_back(event_line("n1", "node_started", 10));
		nlohmann::json written = event_line("n2", "config_written", 100);
		written["revision"] = 5;
		m_lines.push_back(written);
		m_lines.push_back({{"type", "cut"}, {"vm", "n1"}, {"t", 200}});
		m_lines.push_back({{"type", "uncut"}, {"vm", "n1"}, {"t", 4000000}});
		nlohmann::json taken = event_line("n1", "config_taken", _taken_at);
		taken["revision"] = 5;
		m_lines.push_back(taken);
	}
	void history_when_cut_off_node_is_late_is_allowed()
	{
		add_late_node(8000000);
		CPPUNIT_ASSERT(check_history(m_lines, m_rules).violations.empty());
	}
	void history_when_node_is_late_after_cut_ended_is_caught()
	{
		add_late_node(9100000);
		expect("not_in_force");
	}
	void history_when_configuration_not_in_force_is_caught()
	{
		m_lines.push_back(event_line("n1", "node_started", 10));
		nlohmann::json written = event_line("n2", "config_written", 100);
		written["revision"] = 5;
		m_lines.push_back(written);
		expect("not_in_force");
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(checker_test);
} // namespace larkrack
