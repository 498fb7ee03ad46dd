// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Pins the names, types, help texts and labels of larkrackd's metrics, as a scrape of the operators'
/// listener returns them. Values are left out.

#include "daemon_node_forms.h"

namespace larkrack
{
class daemon_metrics_forms_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(daemon_metrics_forms_test);
	CPPUNIT_TEST(scrape_has_the_names_types_and_labels_of_all_metrics);
	CPPUNIT_TEST(scrape_names_every_outcome_and_reason);
	CPPUNIT_TEST(every_outcome_and_reason_has_a_counter_of_its_own);
	CPPUNIT_TEST_SUITE_END();

	/// @returns The scrape without the values of its samples.
	static std::string without_values(const std::string& _scrape)
	{
		std::istringstream in(_scrape);
		std::string line;
		std::string all;
		while (std::getline(in, line))
		{
			const bool sample = !line.empty() && '#' != line.front() && 0 == line.rfind("larkrack", 0);
			all += (sample ? line.substr(0, line.rfind(' ')) : line) + "\n";
		}
		return all;
	}

public:
	void scrape_has_the_names_types_and_labels_of_all_metrics()
	{
		node_under_test node;
		node.configure();
		node.node_metrics->count_outcome("shop", outcome::served, reason::none);
		node.node_metrics->count_lookup();
		node.node_metrics->count_relay();
		node.node_metrics->count_retry();
		node.node_metrics->observe_request_time(0.25);
		// Which platform calls were made by now depends on the duration of the test.
		const std::string scrape = std::regex_replace(node.ask(http::verb::get, "/metrics"),
		    std::regex("(larkrack_platform_calls\\{use=\")[a-z_]+(\"\\}) [0-9]+\n"
		               "(larkrack_platform_calls.*\n)*"),
		    "$1USE$2 1\n");
		assert_same_text(R"(
200
Content-Type: text/plain; version=0.0.4

# HELP larkrack_requests_total Requests by service, outcome and reason.
# TYPE larkrack_requests_total counter
larkrack_requests_total{outcome="served",reason="none",service="shop"}
# HELP larkrack_lookups_total Look-ups answered.
# TYPE larkrack_lookups_total counter
larkrack_lookups_total
# HELP larkrack_relays_total Requests sent on to another entry VM.
# TYPE larkrack_relays_total counter
larkrack_relays_total
# HELP larkrack_retries_total Second tries of this entry VM.
# TYPE larkrack_retries_total counter
larkrack_retries_total
# HELP larkrack_configuration_revision Revision of the configuration in force.
# TYPE larkrack_configuration_revision gauge
larkrack_configuration_revision
# HELP larkrack_platform_up 1 when the platform answers.
# TYPE larkrack_platform_up gauge
larkrack_platform_up
# HELP larkrack_degraded_modes Number of degraded modes that hold.
# TYPE larkrack_degraded_modes gauge
larkrack_degraded_modes
# HELP larkrack_platform_calls Calls to the platform since the start.
# TYPE larkrack_platform_calls gauge
larkrack_platform_calls{use="USE"}
# HELP larkrack_slots_usable Slots that may be used now.
# TYPE larkrack_slots_usable gauge
larkrack_slots_usable{service="shop"}
# HELP larkrack_slots_running Slots in use.
# TYPE larkrack_slots_running gauge
larkrack_slots_running{service="shop"}
# HELP larkrack_control_sent_bytes Bytes of control messages sent.
# TYPE larkrack_control_sent_bytes gauge
larkrack_control_sent_bytes
# HELP larkrack_control_received_bytes Bytes of control messages received.
# TYPE larkrack_control_received_bytes gauge
larkrack_control_received_bytes
# HELP larkrack_request_seconds Time from taking a request to the end of its answer, in seconds.
# TYPE larkrack_request_seconds histogram
larkrack_request_seconds_count
larkrack_request_seconds_sum
larkrack_request_seconds_bucket{le="0.0005"}
larkrack_request_seconds_bucket{le="0.001"}
larkrack_request_seconds_bucket{le="0.002"}
larkrack_request_seconds_bucket{le="0.005"}
larkrack_request_seconds_bucket{le="0.01"}
larkrack_request_seconds_bucket{le="0.02"}
larkrack_request_seconds_bucket{le="0.05"}
larkrack_request_seconds_bucket{le="0.1"}
larkrack_request_seconds_bucket{le="0.2"}
larkrack_request_seconds_bucket{le="0.5"}
larkrack_request_seconds_bucket{le="1"}
larkrack_request_seconds_bucket{le="2"}
larkrack_request_seconds_bucket{le="5"}
larkrack_request_seconds_bucket{le="10"}
larkrack_request_seconds_bucket{le="+Inf"}
)",
		    without_values(scrape));
	}

	void scrape_names_every_outcome_and_reason()
	{
		metrics counted;
		for (const outcome end : {outcome::served, outcome::not_run, outcome::unknown})
		{
			counted.count_outcome("shop", end, reason::none);
		}
		for (int why = 0; why <= static_cast<int>(reason::bad_request); ++why)
		{
			counted.count_outcome("shop", outcome::not_run, static_cast<reason>(why));
		}
		std::istringstream in(without_values(counted.text()));
		std::vector<std::string> lines;
		for (std::string line; std::getline(in, line);)
		{
			if (0 == line.rfind("larkrack_requests_total", 0))
			{
				lines.push_back(line);
			}
		}
		std::sort(lines.begin(), lines.end());
		std::string all;
		for (const std::string& line : lines)
		{
			all += line + "\n";
		}
		assert_same_text(R"(
larkrack_requests_total{outcome="not_run",reason="bad_grant",service="shop"}
larkrack_requests_total{outcome="not_run",reason="bad_request",service="shop"}
larkrack_requests_total{outcome="not_run",reason="cap",service="shop"}
larkrack_requests_total{outcome="not_run",reason="deadline",service="shop"}
larkrack_requests_total{outcome="not_run",reason="in_flight_too_long",service="shop"}
larkrack_requests_total{outcome="not_run",reason="lost_answer",service="shop"}
larkrack_requests_total{outcome="not_run",reason="no_backend",service="shop"}
larkrack_requests_total{outcome="not_run",reason="no_configuration",service="shop"}
larkrack_requests_total{outcome="not_run",reason="no_headroom",service="shop"}
larkrack_requests_total{outcome="not_run",reason="none",service="shop"}
larkrack_requests_total{outcome="not_run",reason="owner_gone",service="shop"}
larkrack_requests_total{outcome="not_run",reason="shed",service="shop"}
larkrack_requests_total{outcome="not_run",reason="stopping",service="shop"}
larkrack_requests_total{outcome="not_run",reason="unknown_service",service="shop"}
larkrack_requests_total{outcome="not_run",reason="unreachable",service="shop"}
larkrack_requests_total{outcome="served",reason="none",service="shop"}
larkrack_requests_total{outcome="unknown",reason="none",service="shop"}
)",
		    all);
	}

	/// With room for 20 reasons the last ones were counted as another outcome's.
	void every_outcome_and_reason_has_a_counter_of_its_own()
	{
		metrics counted;
		std::size_t expected = 0;
		for (const outcome end : {outcome::served, outcome::not_run, outcome::unknown})
		{
			for (int why = 0; why <= static_cast<int>(k_last_reason); ++why)
			{
				counted.count_outcome("shop", end, static_cast<reason>(why));
				++expected;
			}
		}
		std::istringstream in(counted.text());
		std::size_t found = 0;
		for (std::string line; std::getline(in, line);)
		{
			if (0 == line.rfind("larkrack_requests_total", 0))
			{
				CPPUNIT_ASSERT_EQUAL(std::string(" 1"), line.substr(line.size() - 2));
				++found;
			}
		}
		CPPUNIT_ASSERT_EQUAL(expected, found);
		CPPUNIT_ASSERT_EQUAL(std::string("shed_by_priority"), std::string(to_string(k_last_reason)));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_metrics_forms_test);
} // namespace larkrack
