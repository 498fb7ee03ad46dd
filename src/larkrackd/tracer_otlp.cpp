// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/tracer_p.h"

#include "base/http_p.h"
#include "larkrackd/log_p.h"

#include <fstream>
#include <random>
#include <sstream>

namespace larkrack
{
namespace
{
/// Maximum number of spans queued for export; further spans are dropped. More needs memory.
constexpr std::size_t k_queue_limit = 4096;
/// Time between two exports. Shorter needs a smaller queue and more calls.
constexpr std::chrono::milliseconds k_export_interval{500};
/// Timeout of one export.
constexpr std::chrono::milliseconds k_export_timeout{1000};
// Sizes in the W3C format "00-<trace>-<span>-<flags>", in characters.
constexpr std::size_t k_traceparent_size = 55;
constexpr std::size_t k_trace_digits = 32;
constexpr std::size_t k_span_digits = 16;

std::mt19937_64& random_of_thread()
{
	thread_local std::mt19937_64 s_random{std::random_device{}()};
	return s_random;
}

std::string hex(std::uint64_t _number)
{
	char text[k_span_digits + 1];
	std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(_number));
	return text;
}

std::int64_t now_us()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

bool is_hex(const std::string& _text)
{
	return !_text.empty() && std::string::npos == _text.find_first_not_of("0123456789abcdef");
}

/// Identity of a span behind the OpenTracing interface. Baggage is not supported.
class span_context_otlp : public opentracing::SpanContext
{
public:
	explicit span_context_otlp(trace_identity _identity) : identity(std::move(_identity))
	{
	}
	void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override
	{
	}
	std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
	{
		return std::make_unique<span_context_otlp>(identity);
	}
	std::string ToTraceID() const noexcept override
	{
		return identity.trace_id;
	}
	std::string ToSpanID() const noexcept override
	{
		return identity.span_id;
	}

	trace_identity identity;
};

/// Span that passes itself to the tracer when finished. Baggage and logs are ignored; tags are converted to
/// text.
class span_otlp : public opentracing::Span
{
public:
	span_otlp(std::shared_ptr<const tracer_otlp> _tracer, std::string _name, trace_identity _identity,
	    std::string _parent)
	    : m_tracer(std::move(_tracer)), m_context(_identity)
	{
		m_span.identity = std::move(_identity);
		m_span.parent_id = std::move(_parent);
		m_span.name = std::move(_name);
		m_span.start_us = now_us();
	}
	~span_otlp() override
	{
		finish();
	}
	void FinishWithOptions(const opentracing::FinishSpanOptions&) noexcept override
	{
		finish();
	}
	void SetOperationName(opentracing::string_view _name) noexcept override
	{
		m_span.name = _name;
	}
	void SetTag(opentracing::string_view _key, const opentracing::Value& _value) noexcept override
	{
		std::string text;
		if (_value.is<std::string>())
		{
			text = _value.get<std::string>();
		}
		else if (_value.is<const char*>())
		{
			text = _value.get<const char*>();
		}
		else if (_value.is<std::int64_t>())
		{
			text = std::to_string(_value.get<std::int64_t>());
		}
		m_span.tags.emplace_back(_key, text);
	}
	void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override
	{
	}
	std::string BaggageItem(opentracing::string_view) const noexcept override
	{
		return "";
	}
	void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override
	{
	}
	void Log(opentracing::SystemTime,
	    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>) noexcept override
	{
	}
	void Log(opentracing::SystemTime,
	    const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&) noexcept override
	{
	}
	const opentracing::SpanContext& context() const noexcept override
	{
		return m_context;
	}
	const opentracing::Tracer& tracer() const noexcept override
	{
		return *m_tracer;
	}

private:
	void finish()
	{
		if (m_finished)
		{
			return;
		}
		m_finished = true;
		m_span.end_us = now_us();
		m_tracer->finish(m_span);
	}

	std::shared_ptr<const tracer_otlp> m_tracer;
	span_context_otlp m_context;
	finished_span m_span;
	bool m_finished = false;
};

nlohmann::json attribute(const std::string& _key, const std::string& _value)
{
	return {{"key", _key}, {"value", {{"stringValue", _value}}}};
}

nlohmann::json to_json(const finished_span& _span)
{
	nlohmann::json attributes = nlohmann::json::array();
	for (const auto& [key, value] : _span.tags)
	{
		attributes.push_back(attribute(key, value));
	}
	constexpr int k_server_kind = 2;
	return {{"traceId", _span.identity.trace_id}, {"spanId", _span.identity.span_id},
	    {"parentSpanId", _span.parent_id}, {"name", _span.name}, {"kind", k_server_kind},
	    {"startTimeUnixNano", std::to_string(_span.start_us) + "000"},
	    {"endTimeUnixNano", std::to_string(_span.end_us) + "000"}, {"attributes", attributes}};
}
} // namespace

trace_identity parse_traceparent(const std::string& _header)
{
	trace_identity identity;
	// A malformed header is ignored, as W3C Trace Context requires.
	if (k_traceparent_size > _header.size() || 0 != _header.compare(0, 3, "00-"))
	{
		return identity;
	}
	const std::string trace = _header.substr(3, k_trace_digits);
	const std::string span = _header.substr(36, k_span_digits);
	const std::string flags = _header.substr(53, 2);
	if (!is_hex(trace) || !is_hex(span) || !is_hex(flags))
	{
		return identity;
	}
	identity.trace_id = trace;
	identity.span_id = span;
	identity.sampled = 0 != (std::stoi(flags, nullptr, 16) & 1);
	return identity;
}

std::string to_traceparent(const trace_identity& _identity)
{
	return "00-" + _identity.trace_id + "-" + _identity.span_id + (_identity.sampled ? "-01" : "-00");
}

tracer_otlp::tracer_otlp(std::string _node, double _share) : m_node(std::move(_node)), m_share(_share)
{
}

std::unique_ptr<opentracing::Span> tracer_otlp::StartSpanWithOptions(
    opentracing::string_view _name, const opentracing::StartSpanOptions& _options) const noexcept
{
	trace_identity parent;
	for (const auto& reference : _options.references)
	{
		if (const auto* ours = dynamic_cast<const span_context_otlp*>(reference.second))
		{
			parent = ours->identity;
		}
	}
	trace_identity identity;
	identity.sampled = true;
	identity.trace_id =
	    parent.trace_id.empty() ? hex(random_of_thread()()) + hex(random_of_thread()()) : parent.trace_id;
	identity.span_id = hex(random_of_thread()());
	return std::make_unique<span_otlp>(shared_from_this(), _name, identity, parent.span_id);
}

opentracing::expected<void> tracer_otlp::Inject(const opentracing::SpanContext&, std::ostream&) const
{
	return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> tracer_otlp::Inject(
    const opentracing::SpanContext& _context, const opentracing::TextMapWriter& _writer) const
{
	const auto* ours = dynamic_cast<const span_context_otlp*>(&_context);
	if (nullptr == ours)
	{
		return opentracing::make_unexpected(opentracing::invalid_span_context_error);
	}
	return _writer.Set("traceparent", to_traceparent(ours->identity));
}

opentracing::expected<void> tracer_otlp::Inject(
    const opentracing::SpanContext& _context, const opentracing::HTTPHeadersWriter& _writer) const
{
	return Inject(_context, static_cast<const opentracing::TextMapWriter&>(_writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> tracer_otlp::Extract(std::istream&) const
{
	return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> tracer_otlp::Extract(
    const opentracing::TextMapReader& _reader) const
{
	trace_identity found;
	_reader.ForeachKey(
	    [&](opentracing::string_view _key, opentracing::string_view _value) -> opentracing::expected<void>
	    {
		    if (beast::iequals(std::string(_key), "traceparent"))
		    {
			    found = parse_traceparent(_value);
		    }
		    return {};
	    });
	return std::unique_ptr<opentracing::SpanContext>(std::make_unique<span_context_otlp>(found));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> tracer_otlp::Extract(
    const opentracing::HTTPHeadersReader& _reader) const
{
	return Extract(static_cast<const opentracing::TextMapReader&>(_reader));
}

std::unique_ptr<opentracing::Span> tracer_otlp::start_hop(
    const char* _name, const std::string& _traceparent, std::string& _child) const
{
	const trace_identity parent = parse_traceparent(_traceparent);
	const bool sampled_here = parent.trace_id.empty() && 0.0 < m_share &&
	                          std::uniform_real_distribution<double>(0.0, 1.0)(random_of_thread()) < m_share;
	if (!parent.sampled && !sampled_here)
	{
		_child = _traceparent;
		return nullptr;
	}
	const span_context_otlp parent_context(parent);
	opentracing::StartSpanOptions options;
	if (!parent.trace_id.empty())
	{
		options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, &parent_context);
	}
	auto span = StartSpanWithOptions(_name, options);
	_child = to_traceparent(dynamic_cast<const span_context_otlp&>(span->context()).identity);
	return span;
}

void tracer_otlp::finish(finished_span _span) const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	if (k_queue_limit <= m_queue.size())
	{
		++m_dropped;
		return;
	}
	m_queue.push_back(std::move(_span));
}

std::uint64_t tracer_otlp::dropped() const
{
	const std::lock_guard<std::mutex> lock(m_mutex);
	return m_dropped;
}

std::string tracer_otlp::drain()
{
	std::vector<finished_span> spans;
	{
		const std::lock_guard<std::mutex> lock(m_mutex);
		spans.swap(m_queue);
	}
	if (spans.empty())
	{
		return "";
	}
	nlohmann::json list = nlohmann::json::array();
	for (const finished_span& span : spans)
	{
		list.push_back(to_json(span));
	}
	const nlohmann::json resource = {
	    {"attributes", {attribute("service.name", "larkrack"), attribute("service.instance.id", m_node)}}};
	const nlohmann::json scope = {{"scope", {{"name", "larkrack"}}}, {"spans", list}};
	return nlohmann::json({{"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}}).dump();
}

std::optional<error> tracer_service::init(kernel& _kernel)
{
	const settings& own = _kernel.find<settings_service>("settings")->get();
	m_tracer = std::make_shared<tracer_otlp>(own.name, own.trace_share);
	m_file = own.trace_file;
	if (!own.trace_http.empty())
	{
		result<endpoint> collector = parse_endpoint(own.trace_http);
		if (const error* failure = std::get_if<error>(&collector))
		{
			return *failure;
		}
		m_collector = std::get<endpoint>(collector);
	}
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    http_caller caller(m_context.get_executor());
		    std::uint64_t logged_drops = 0;
		    while (!m_stopping)
		    {
			    sleep_for(m_context.get_executor(), k_export_interval, _yield);
			    if (logged_drops < m_tracer->dropped())
			    {
				    logged_drops = m_tracer->dropped();
				    log_event(event::trace_dropped, {{"dropped", logged_drops}});
			    }
			    if (!m_collector)
			    {
				    write_file();
				    continue;
			    }
			    const std::string body = m_tracer->drain();
			    if (!body.empty())
			    {
				    // A failed export loses its spans. Failures are not logged, because that would be a line
				    // per interval.
				    caller.call(*m_collector,
				        make_request(http::verb::post, "/v1/traces", *m_collector, body), k_export_timeout,
				        _yield);
			    }
		    }
	    });
	return std::nullopt;
}

void tracer_service::write_file()
{
	const std::string body = m_tracer->drain();
	// A write error loses the spans; tracing never affects traffic.
	if (!body.empty() && !m_file.empty())
	{
		std::ofstream(m_file, std::ios::app) << body << '\n';
	}
}

void tracer_service::shutdown()
{
	m_stopping = true;
	write_file();
}
} // namespace larkrack
