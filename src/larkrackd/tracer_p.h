// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tracing: spans through the OpenTracing interface, W3C traceparent propagation, and export as OTLP/JSON to
/// a file or a collector.
///
/// Decides: which requests are traced: those that the caller sampled, and a random fraction (trace_share, 0
/// to 1) of those without a trace.
/// Owns: a bounded queue of finished spans. When the queue is full, spans are dropped and counted (event
/// trace_dropped); a failed export loses its spans, because tracing must never delay traffic.
/// Relies on: settings for the file or the collector.
/// Units: times in microseconds since 1970, nanoseconds on the wire.
#pragma once

#include "base/kernel_p.h"
#include "base/settings_p.h"

#include <boost/asio.hpp>
#include <opentracing/tracer.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace larkrack
{
/// Identity of a span on the wire.
struct trace_identity
{
	std::string trace_id; ///< 32 hexadecimal digits.
	std::string span_id;  ///< 16 hexadecimal digits.
	bool sampled = false;
};

/// @returns The identity in a traceparent header; empty and not sampled when the header is empty or
/// malformed.
trace_identity parse_traceparent(const std::string& _header);
/// @returns A traceparent header.
std::string to_traceparent(const trace_identity& _identity);

/// A finished span.
struct finished_span
{
	trace_identity identity;
	std::string parent_id;
	std::string name;
	std::int64_t start_us = 0;
	std::int64_t end_us = 0;
	std::vector<std::pair<std::string, std::string>> tags;
};

/// Creates spans and queues the finished ones for export. Never blocks traffic: when the queue is full, spans
/// are dropped and counted.
class tracer_otlp : public opentracing::Tracer, public std::enable_shared_from_this<tracer_otlp>
{
public:
	tracer_otlp(std::string _node, double _share);

	std::unique_ptr<opentracing::Span> StartSpanWithOptions(opentracing::string_view _name,
	    const opentracing::StartSpanOptions& _options) const noexcept override;
	opentracing::expected<void> Inject(
	    const opentracing::SpanContext& _context, std::ostream& _writer) const override;
	opentracing::expected<void> Inject(
	    const opentracing::SpanContext& _context, const opentracing::TextMapWriter& _writer) const override;
	opentracing::expected<void> Inject(const opentracing::SpanContext& _context,
	    const opentracing::HTTPHeadersWriter& _writer) const override;
	opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
	    std::istream& _reader) const override;
	opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
	    const opentracing::TextMapReader& _reader) const override;
	opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
	    const opentracing::HTTPHeadersReader& _reader) const override;

	/// Starts a span for one hop.
	/// @param[in] _traceparent Header of the request; may be empty.
	/// @param[out] _child Header for the next hop; the unchanged _traceparent when the trace is not sampled.
	/// @returns The span; null when the trace is not sampled.
	std::unique_ptr<opentracing::Span> start_hop(
	    const char* _name, const std::string& _traceparent, std::string& _child) const;
	/// Queues a finished span for export. Called by spans.
	void finish(finished_span _span) const;
	/// Empties the queue.
	/// @returns The finished spans as one OTLP/JSON export; empty when there are none.
	std::string drain();
	/// @returns Number of spans dropped so far.
	std::uint64_t dropped() const;

private:
	std::string m_node;
	double m_share;
	mutable std::mutex m_mutex;
	mutable std::vector<finished_span> m_queue;
	mutable std::uint64_t m_dropped = 0;
};

/// Owns the tracer and exports its spans at regular intervals.
class tracer_service : public service_base
{
public:
	explicit tracer_service(boost::asio::io_context& _context) : m_context(_context)
	{
	}
	const char* name() const override
	{
		return "tracer";
	}
	std::optional<error> init(kernel& _kernel) override;
	void shutdown() override;
	const tracer_otlp& get() const
	{
		return *m_tracer;
	}

private:
	void write_file();

	boost::asio::io_context& m_context;
	std::shared_ptr<tracer_otlp> m_tracer;
	std::string m_file;
	std::optional<endpoint> m_collector;
	bool m_stopping = false;
};
} // namespace larkrack
