// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/upstream_p.h"

#include "base/answer_form_p.h"

#include "larkrack/config.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace larkrack
{
namespace
{
/// Maximum bytes of a response body: unlimited, since a download may have any length.
constexpr std::uint64_t k_unlimited_body = INT64_MAX;
/// Buffer bytes that an idle connection keeps. More costs idle memory, less an allocation per exchange.
constexpr std::size_t k_idle_buffer_bytes = 4096;
/// An idle connection is closed this long before the backend server would close it. Longer: more new
/// connections. Shorter: requests are sent on connections that are being closed.
constexpr std::chrono::milliseconds k_idle_margin{1000};
/// Maximum idle time of a connection that is reused for an at-most-once request. Longer: more such requests
/// are lost on stale connections, and they cannot be retried. Shorter: more new connections.
constexpr std::chrono::milliseconds k_max_idle_at_most_once{1500};
/// Maximum idle time for all other requests: longer than any idle period.
constexpr std::chrono::hours k_max_idle_repeatable{1};
/// Maximum idle connections to one backend server. More cost descriptors and memory, fewer cost new
/// connections after a burst.
constexpr int k_max_idle_connections = 16;
/// Maximum interim responses (1xx) before the final one.
constexpr int k_max_interim_responses = 16;
/// Minimum size of the buffer for what is not parsed yet; it also bounds a line that never ends.
constexpr std::size_t k_read_buffer_bytes = 65536;
/// Maximum late responses to earlier requests that one exchange skips: a faulty peer must not hold it up.
constexpr int k_max_foreign_responses = 2;

bool has_header(const http::response_header<>& _head, const std::string& _name)
{
	return _head.end() != _head.find(_name);
}

std::chrono::milliseconds keep_alive_timeout(const caller_response& _response)
{
	const std::string value(_response[http::field::keep_alive]);
	const std::size_t at = value.find("timeout=");
	int seconds = 0;
	if (std::string::npos == at ||
	    std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds).ec != std::errc())
	{
		return k_default_keep_alive;
	}
	return std::chrono::seconds(seconds);
}
} // namespace

upstream_connection::upstream_connection(asio::io_context& _context, backend_ptr _backend)
    : socket(_context), m_backend(std::move(_backend)), m_timer(_context)
{
	++m_backend->connections;
}

upstream_connection::~upstream_connection()
{
	--m_backend->connections;
}

void upstream_connection::keep_idle(std::chrono::milliseconds _lifetime, steady_time _now)
{
	if (m_backend->gone || m_backend->idle_connections >= k_max_idle_connections ||
	    _lifetime <= k_idle_margin || rejections.is_full())
	{
		return;
	}
	buffer.clear();
	if (buffer.capacity() > k_idle_buffer_bytes)
	{
		buffer.shrink_to_fit();
	}
	m_idle = true;
	m_idle_since = _now;
	++m_idle_periods;
	m_backend->add_idle(shared_from_this());
	const std::weak_ptr<upstream_connection> weak = weak_from_this();
	const auto end_idle = [weak, number = m_idle_periods](beast::error_code _error)
	{
		const auto self = weak.lock();
		if (asio::error::operation_aborted != _error && self && self->m_idle &&
		    self->m_idle_periods == number)
		{
			self->discard();
		}
	};
	socket.async_wait(tcp::socket::wait_read, end_idle);
	m_timer.expires_after(_lifetime - k_idle_margin);
	m_timer.async_wait(end_idle);
}

bool upstream_connection::reuse(
    steady_time _now, std::chrono::milliseconds _max_idle_time, std::string_view _request_id)
{
	m_idle = false;
	m_timer.cancel();
	// An error here or in non_blocking() also shows in receive(), and the connection is not used.
	beast::error_code error;
	socket.cancel(error);
	if (_now - m_idle_since > _max_idle_time || !rejections.permits(_request_id))
	{
		return false;
	}
	// A readable idle connection was closed, or holds bytes that belong to no request.
	socket.non_blocking(true, error);
	char byte = 0;
	socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
	return asio::error::would_block == error;
}

void upstream_connection::discard()
{
	const auto self = shared_from_this();
	m_idle = false;
	m_timer.cancel();
	beast::error_code ignored; // The connection is discarded in any case.
	socket.close(ignored);
	m_backend->drop_idle(self);
}

upstream_exchange::upstream_exchange(const exchange_services& _services, path_listener_base& _paths,
    backend_ptr _backend, upstream_request _request, std::chrono::milliseconds _connect_timeout,
    handler _handler)
    : m_services(_services), m_paths(_paths), m_backend(std::move(_backend)), m_request(std::move(_request)),
      m_head(head_of_request(m_request, m_request.time_left)), m_memory(_services.memory, this),
      m_reports(_services.clock, _services.names, _services.reports, m_backend, !m_request.relayed),
      m_connect_timeout(_connect_timeout), m_handler(std::move(_handler)), m_timer(_services.io)
{
	m_request.before = {};
	m_request.after = {};
	m_on_chunk = [this](std::uint64_t, beast::string_view, beast::error_code&)
	{
		m_marks = m_marks ? m_marks : marks_of(m_parser->get());
	};
}

const std::string& upstream_exchange::relay() const
{
	static const std::string s_none;
	return s_none;
}

void upstream_exchange::count_in_flight(int _change)
{
	m_backend->load.in_flight += m_request.relayed ? 0 : _change;
	if (_change > 0)
	{
		m_path_request = m_paths.on_exchange_start(*m_backend, m_request.kind, m_request.time_left);
	}
	else
	{
		m_paths.on_exchange_end(m_path_request);
	}
}

void upstream_exchange::start()
{
	count_in_flight(1);
	m_started_at = m_services.clock.steady();
	const std::chrono::milliseconds max_idle_time =
	    m_request.at_most_once ? k_max_idle_at_most_once : k_max_idle_repeatable;
	while (const std::shared_ptr<upstream_connection> connection = m_backend->take_idle())
	{
		if (connection->reuse(m_services.clock.steady(), max_idle_time, m_request.request_id))
		{
			m_connection = connection;
			m_on_kept_connection = true;
			write();
			return;
		}
	}
	connect();
}

void upstream_exchange::connect()
{
	m_connecting_since = m_services.clock.steady();
	m_connection = std::make_shared<upstream_connection>(m_services.io, m_backend);
	m_timer.expires_after(m_connect_timeout);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error && !self->m_done && !self->m_sent)
		    {
			    self->fail_connect("connect_timeout");
		    }
	    });
	m_connection->socket.async_connect(m_backend->address,
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->fail_connect("connect_failed");
			    return;
		    }
		    self->m_paths.on_connected(*self->m_backend);
		    self->m_connect_time = self->m_services.clock.steady() - self->m_connecting_since;
		    beast::error_code ignored; // Without the option small packets are only delayed.
		    self->m_connection->socket.set_option(tcp::no_delay(true), ignored);
		    self->write_if_accepted();
	    });
}

void upstream_exchange::write_if_accepted()
{
	if (m_backend->accepts_requests_now(m_services.clock.steady()))
	{
		write();
		return;
	}
	m_connection->keep_idle(k_default_keep_alive, m_services.clock.steady());
	m_connection.reset();
	exchange_result result;
	result.detail = "not_wanted";
	result.withheld = true;
	finish(std::move(result), backend_signal::not_tried);
}

void upstream_exchange::write()
{
	m_sent = true;
	m_timer.cancel();
	if (nullptr != m_services.promises && m_request.at_most_once)
	{
		m_services.promises->on_sent(m_request.request_id, m_services.clock);
	}
	static const std::string s_no_body;
	// The response may arrive before the whole request was sent, so reading starts at once.
	const std::string& body = m_request.body ? *m_request.body : s_no_body;
	const std::array<asio::const_buffer, 2> bytes{asio::buffer(m_head), asio::buffer(body)};
	asio::async_write(m_connection->socket, bytes,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error, std::size_t)
	    {
		    self->m_written = !_error; // read() handles the error.
		    self->m_write_failed = static_cast<bool>(_error);
	    });
	read();
}

void upstream_exchange::read()
{
	m_parser.emplace();
	m_parser->body_limit(
	    nullptr == m_services.memory ? k_unlimited_body : m_services.memory->max_response_bytes());
	m_parser->header_limit(m_request.max_header_bytes);
	m_parser->skip(m_request.head);
	m_parser->on_chunk_header(m_on_chunk);
	m_marks.reset();
	m_connection->buffer.max_size(std::max<std::size_t>(k_read_buffer_bytes, m_request.max_header_bytes));
	read_more();
}

void upstream_exchange::read_more()
{
	// The handler keeps the connection alive, since the operation uses it also after a cancellation.
	// A parser that reads on behind the head passes over a length beyond the limit, and reserves it.
	m_parser->eager(m_parser->is_header_done());
	http::async_read_some(m_connection->socket, m_connection->buffer, *m_parser,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error, std::size_t)
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (_error)
		    {
			    self->fail_read(_error);
			    return;
		    }
		    if (self->m_parser->is_done())
		    {
			    self->on_whole_response();
			    return;
		    }
		    self->report_memory();
		    if (!self->m_done)
		    {
			    self->read_more();
		    }
	    });
}

void upstream_exchange::report_memory()
{
	if (nullptr != m_services.memory)
	{
		const bool has_length = m_parser->is_header_done() && m_parser->content_length().has_value();
		const std::string& body = m_parser->get().body();
		m_memory.set(has_length ? body.size() : body.capacity(),
		    has_length ? memory_use::response : memory_use::growing_response);
	}
}

void upstream_exchange::end_for_memory()
{
	if (m_cancelled)
	{
		finish_cancelled();
		return;
	}
	exchange_result result;
	result.end = exchange_outcome::lost;
	result.detail = "no_memory";
	result.no_memory = true;
	finish(std::move(result), backend_signal::not_tried); // It says nothing of the backend server.
}

void upstream_exchange::fail_read(beast::error_code _error)
{
	const bool closed = http::error::end_of_stream == _error || asio::error::connection_reset == _error;
	handle_partial_report();
	if (m_cancelled)
	{
		finish_cancelled();
		return;
	}
	m_connection_broke = closed;
	const char* detail = http::error::body_limit == _error ? "too_large" : "broken_answer";
	fail(exchange_outcome::lost, closed ? "closed" : detail, backend_signal::lost);
}

answer_marks upstream_exchange::marks_of(const http::response_header<>& _head) const
{
	return read_answer_marks(_head, m_services.names, m_request.request_id, m_written);
}

answer_verdict upstream_exchange::verdict() const
{
	return judge_answer(*m_marks, !m_request.request_id.empty(), m_request.repeat());
}

void upstream_exchange::check_promises(const http::response_header<>& _head) const
{
	const auto id = _head.find(m_services.names.request_id);
	const bool ran =
	    has_header(_head, m_services.names.signature) && !has_header(_head, m_services.names.not_run);
	if (nullptr != m_services.promises && ran && _head.end() != id)
	{
		m_services.promises->on_ran({id->value().data(), id->value().size()}, m_services.clock);
	}
}

void upstream_exchange::end_without_answer(const char* _detail)
{
	if (m_cancelled)
	{
		finish_cancelled();
		return;
	}
	fail(exchange_outcome::lost, _detail, backend_signal::lost);
}

void upstream_exchange::on_whole_response()
{
	if (!m_parser->need_eof() || m_written)
	{
		on_response();
		return;
	}
	// A reset reports its error once: to the write, if one is pending, and the read sees a usual end. The
	// handler of such a write is due by now.
	asio::post(m_services.io,
	    [self = shared_from_this()]
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (self->m_write_failed)
		    {
			    self->fail_read(asio::error::connection_reset);
			    return;
		    }
		    self->on_response();
	    });
}

void upstream_exchange::on_response()
{
	if (!is_answer_head(m_parser->get()))
	{
		end_without_answer("invalid_answer");
		return;
	}
	if (m_parser->get().result_int() < k_min_final_status)
	{
		if (++m_interim_responses > k_max_interim_responses)
		{
			end_without_answer("interim_answers");
			return;
		}
		read(); // An interim response (1xx); the final response follows.
		return;
	}
	m_marks = m_marks ? m_marks : marks_of(m_parser->get());
	m_paths.on_response(m_path_request, answer_verdict::answered == verdict());
	check_promises(m_parser->get());
	handle_report(m_parser->get());
	if (m_cancelled)
	{
		finish_cancelled();
		return;
	}
	if (answer_verdict::foreign == verdict())
	{
		skip_foreign_response();
		return;
	}
	note_rejection();
	caller_response response = m_parser->release();
	if (!m_reports.is_from_backend(response))
	{
		fail(exchange_outcome::lost, "unsigned_answer", backend_signal::lost);
		return;
	}
	if (!m_parser->need_eof() && m_parser->keep_alive())
	{
		keep_connection(response);
	}
	switch (verdict())
	{
	case answer_verdict::rejected:
		finish_rejected(std::move(response));
		return;
	case answer_verdict::inconclusive:
		fail(exchange_outcome::lost, "ambiguous_answer", backend_signal::answered);
		return;
	case answer_verdict::foreign:
	case answer_verdict::answered:
		break;
	}
	exchange_result result;
	result.end = exchange_outcome::answered;
	result.response = std::move(response);
	result.framing = m_parser->need_eof() ? response_framing::by_close : response_framing::by_length;
	finish(std::move(result), backend_signal::answered);
}

void upstream_exchange::note_rejection()
{
	if (answer_verdict::rejected == verdict() && !m_request.request_id.empty())
	{
		m_connection->rejections.add(
		    m_request.request_id, m_started_at + m_request.time_left, m_services.clock.steady());
	}
}

void upstream_exchange::finish_rejected(caller_response&& _response)
{
	const bool wrong_server = http::status::misdirected_request == _response.result();
	exchange_result result;
	result.end = exchange_outcome::not_run;
	result.rejection = rejection_proof::of_answer(*m_marks, !m_request.request_id.empty());
	result.detail = wrong_server ? "wrong_server" : "shed";
	_response.body().clear();
	result.response = std::move(_response); // A relay passes the proof on to the sending node.
	finish(std::move(result), wrong_server ? backend_signal::unreachable : backend_signal::refused);
}

void upstream_exchange::skip_foreign_response()
{
	if (++m_foreign_responses <= k_max_foreign_responses && m_parser->keep_alive())
	{
		read();
		return;
	}
	fail(exchange_outcome::lost, "foreign_answer", backend_signal::lost);
}

void upstream_exchange::handle_report(const http::response_header<>& _head)
{
	const bool own = m_marks && answer_verdict::foreign != verdict();
	m_reports.read(_head, own && !m_cancelled);
}

void upstream_exchange::handle_partial_report()
{
	if (m_parser && m_parser->is_header_done())
	{
		m_marks = m_marks ? m_marks : marks_of(m_parser->get());
		handle_report(m_parser->get());
	}
}

refusal_report upstream_exchange::report_of(backend_signal _signal) const
{
	const bool free =
	    backend_signal::refused == _signal && m_request.by_completion && m_reports.reported_free_slot();
	return free ? refusal_report::slots_free : refusal_report::none;
}

void upstream_exchange::keep_connection(const caller_response& _response)
{
	// Remaining bytes of the request or of a response would be read as part of the next exchange.
	if (!m_written || m_connection->buffer.size() > 0)
	{
		return;
	}
	m_connection->keep_idle(keep_alive_timeout(_response), m_services.clock.steady());
	m_connection.reset();
}

void upstream_exchange::fail(exchange_outcome _end, const char* _detail, backend_signal _signal)
{
	exchange_result result;
	result.end = _end;
	result.detail = _detail;
	finish(std::move(result), _signal);
}

void upstream_exchange::fail_connect(const char* _detail)
{
	m_paths.on_connect_failed(*m_backend);
	exchange_result result;
	result.detail = _detail;
	result.no_connection = true;
	finish(std::move(result), backend_signal::unreachable);
}

void upstream_exchange::finish(exchange_result&& _result, backend_signal _signal)
{
	m_done = true;
	m_timer.cancel();
	m_memory.release();
	count_in_flight(-1);
	m_backend->on_exchange_end(_signal, m_services.clock.steady(), report_of(_signal));
	close_connection();
	const auto handler = std::move(m_handler);
	m_handler = nullptr;
	_result.connect_time = m_connect_time;
	_result.marks = m_marks;
	_result.connection_broke = m_connection_broke;
	_result.on_kept_connection = m_on_kept_connection;
	_result.slots_free = refusal_report::slots_free == report_of(_signal);
	handler(std::move(_result));
}

void upstream_exchange::close_connection()
{
	if (m_connection)
	{
		beast::error_code ignored; // The connection is discarded in any case.
		m_connection->socket.close(ignored);
		m_connection.reset();
	}
}

void upstream_exchange::cancel(std::chrono::milliseconds _linger)
{
	if (m_done || m_cancelled)
	{
		return;
	}
	m_handler = nullptr;
	handle_partial_report();
	count_in_flight(-1);
	m_cancelled = true;
	if (!m_sent || _linger <= std::chrono::milliseconds(0))
	{
		finish_cancelled();
		return;
	}
	m_timer.expires_after(_linger);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error && !self->m_done)
		    {
			    self->finish_cancelled();
		    }
	    });
}

void upstream_exchange::finish_cancelled()
{
	m_done = true;
	m_timer.cancel();
	m_memory.release();
	close_connection();
}
} // namespace larkrack
