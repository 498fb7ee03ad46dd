// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/metrics_p.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace larkrack
{
namespace
{
prometheus::Counter* counter(prometheus::Registry& _registry, const char* _name, const char* _help)
{
	return &prometheus::BuildCounter().Name(_name).Help(_help).Register(_registry).Add({});
}

const prometheus::Histogram::BucketBoundaries& time_buckets()
{
	static const prometheus::Histogram::BucketBoundaries s_bounds = {
	    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0};
	return s_bounds;
}
} // namespace

metrics::metrics() : m_registry(std::make_shared<prometheus::Registry>())
{
	m_outcomes = &prometheus::BuildCounter()
	                  .Name("larkrack_requests_total")
	                  .Help("Requests by service, outcome and reason.")
	                  .Register(*m_registry);
	m_lookups = counter(*m_registry, "larkrack_lookups_total", "Look-ups answered.");
	m_relays = counter(*m_registry, "larkrack_relays_total", "Requests sent on to another entry VM.");
	m_retries = counter(*m_registry, "larkrack_retries_total", "Second tries of this entry VM.");
	m_seconds = &prometheus::BuildHistogram()
	                 .Name("larkrack_request_seconds")
	                 .Help("Time from taking a request to the end of its answer, in seconds.")
	                 .Register(*m_registry)
	                 .Add({}, time_buckets());
	// A family without values is not exported: these appear with the first value.
	m_returns = &prometheus::BuildCounter()
	                 .Name("larkrack_returns_total")
	                 .Help("Requests whose caller returned after a refusal.")
	                 .Register(*m_registry);
	m_refusals = &prometheus::BuildCounter()
	                  .Name("larkrack_admission_refusals_total")
	                  .Help("Requests that admission refused, by urgency.")
	                  .Register(*m_registry);
	m_waits = &prometheus::BuildHistogram()
	               .Name("larkrack_wait_seconds")
	               .Help("Time for which requests waited for a slot, in seconds.")
	               .Register(*m_registry);
	m_hops = &prometheus::BuildHistogram()
	              .Name("larkrack_relay_hop_seconds")
	              .Help("Time that the way over another node added to requests, in seconds.")
	              .Register(*m_registry);
}

void metrics::observe_relay_hop(double _seconds)
{
	m_hops->Add({}, time_buckets()).Observe(_seconds);
}

void metrics::observe_wait(double _seconds)
{
	m_waits->Add({}, time_buckets()).Observe(_seconds);
}

void metrics::count_return()
{
	m_returns->Add({}).Increment();
}

void metrics::count_refusal(int _customer_priority, int _route_priority)
{
	const auto label = [](int _priority)
	{
		return std::to_string(std::clamp(_priority, 0, k_max_priority_label));
	};
	m_refusals
	    ->Add({{"customer_priority", label(_customer_priority)}, {"route_priority", label(_route_priority)}})
	    .Increment();
}

std::string metrics::text() const
{
	return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void metrics::count_outcome(const std::string& _service, outcome _outcome, reason _reason)
{
	outcome_counters* counters = nullptr;
	{
		const std::shared_lock<std::shared_mutex> lock(m_mutex);
		const auto it = m_counters.find(_service);
		counters = m_counters.end() == it ? nullptr : it->second.get();
	}
	if (nullptr == counters)
	{
		const std::unique_lock<std::shared_mutex> lock(m_mutex);
		std::unique_ptr<outcome_counters>& made = m_counters[_service];
		made = made ? std::move(made) : std::make_unique<outcome_counters>();
		counters = made.get();
	}
	std::atomic<prometheus::Counter*>& counter =
	    (*counters)[static_cast<std::size_t>(_outcome) * k_reasons + static_cast<std::size_t>(_reason)];
	if (nullptr == counter.load())
	{
		counter = &m_outcomes->Add(
		    {{"service", _service}, {"outcome", to_string(_outcome)}, {"reason", to_string(_reason)}});
	}
	counter.load()->Increment();
}

void metrics::set(const std::string& _name, const std::string& _help, double _value)
{
	prometheus::BuildGauge().Name(_name).Help(_help).Register(*m_registry).Add({}).Set(_value);
}

void metrics::set(const std::string& _name, const std::string& _help, const std::string& _label,
    const std::string& _label_value, double _value)
{
	set(_name, _help, {{_label, _label_value}}, _value);
}

void metrics::set(const std::string& _name, const std::string& _help,
    const std::map<std::string, std::string>& _labels, double _value)
{
	prometheus::BuildGauge().Name(_name).Help(_help).Register(*m_registry).Add(_labels).Set(_value);
}
} // namespace larkrack
