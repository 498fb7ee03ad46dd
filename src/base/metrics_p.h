// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Prometheus metrics of larkrackd (prometheus-cpp), with a small, fixed set of labels.
///
/// Owns: the metrics registry and all counters since the process started.
/// Relies on: the service `operators`, which serves text() and sets the gauges at each scrape. Label values
/// are services, regions, outcomes, reasons, priorities and purposes of store calls, so the number of time
/// series is bounded.
#pragma once

#include "base/kernel_p.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>

namespace larkrack
{
/// All metrics of a node. Counters are thread-safe.
class metrics : public service_base
{
public:
	metrics();
	const char* name() const override
	{
		return "metrics";
	}
	/// @returns All metrics in the Prometheus text format.
	std::string text() const;

	/// Counts a completed request by service, outcome and reason.
	void count_outcome(const std::string& _service, outcome _outcome, reason _reason);
	/// Counts a look-up.
	void count_lookup()
	{
		m_lookups->Increment();
	}
	/// Counts a request that was relayed to another entry VM.
	void count_relay()
	{
		m_relays->Increment();
	}
	/// Counts a retry by this entry VM.
	void count_retry()
	{
		m_retries->Increment();
	}
	/// Records the time from receiving a request to the end of its response, in seconds.
	void observe_request_time(double _seconds)
	{
		m_seconds->Observe(_seconds);
	}
	/// Records the time for which a request waited for a slot, in seconds.
	void observe_wait(double _seconds);
	/// Records the time that a relay added to an exchange, in seconds.
	void observe_relay_hop(double _seconds);
	/// Counts a request whose caller returned after a refusal.
	void count_return();
	/// Counts a request that admission refused, by its urgency. Priorities above k_max_priority_label count
	/// as that one, so that the number of time series is bounded.
	void count_refusal(int _customer_priority, int _route_priority);
	/// Sets a gauge without labels.
	void set(const std::string& _name, const std::string& _help, double _value);
	/// Sets a gauge with one label.
	void set(const std::string& _name, const std::string& _help, const std::string& _label,
	    const std::string& _label_value, double _value);
	/// Sets a gauge with several labels.
	void set(const std::string& _name, const std::string& _help,
	    const std::map<std::string, std::string>& _labels, double _value);

private:
	std::shared_ptr<prometheus::Registry> m_registry;
	static constexpr std::size_t k_outcomes = 3; ///< Number of values of enum outcome.
	/// Number of values of enum reason. A smaller number counts a reason as another outcome's.
	static constexpr std::size_t k_reasons = static_cast<std::size_t>(k_last_reason) + 1;
	using outcome_counters = std::array<std::atomic<prometheus::Counter*>, k_outcomes * k_reasons>;

	/// Highest priority that has a label value of its own.
	static constexpr int k_max_priority_label = 9;

	prometheus::Family<prometheus::Counter>* m_outcomes = nullptr;
	prometheus::Family<prometheus::Counter>* m_returns = nullptr;
	prometheus::Family<prometheus::Counter>* m_refusals = nullptr;
	prometheus::Family<prometheus::Histogram>* m_waits = nullptr;
	prometheus::Family<prometheus::Histogram>* m_hops = nullptr;
	/// Cached counters by service, so that labels are built only once. Guarded by m_mutex.
	std::map<std::string, std::unique_ptr<outcome_counters>> m_counters;
	std::shared_mutex m_mutex;
	prometheus::Counter* m_lookups = nullptr;
	prometheus::Counter* m_relays = nullptr;
	prometheus::Counter* m_retries = nullptr;
	prometheus::Histogram* m_seconds = nullptr;
};
} // namespace larkrack
