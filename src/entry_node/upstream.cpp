// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/upstream_p.h"

#include "larkrack/config.h"

#include <algorithm>
#include <charconv>

namespace larkrack
{
namespace
{
// The constants came with the first version of the file; none of them was measured by itself.

/// Bytes of an answer's body: not limited, since a download may have any length.
constexpr std::uint64_t k_any_length = INT64_MAX;
/// Bytes of buffer that an idle connection keeps: memory at rest against an allocation for each exchange.
constexpr std::size_t k_buffer_kept = 4096;
/// A connection is dropped this long before the backend server would close it: a new connection more often
/// against a request that meets a closing one.
constexpr std::chrono::milliseconds k_rest_margin{1000};
/// Time for which a backend server that states no Keep-Alive timeout is taken to keep a connection.
constexpr std::chrono::milliseconds k_rest_default{4000};
/// A request that may run once only does not use a connection that rested longer: a connect more often
/// against an answer that is lost for good, since such a request is not repeated.
constexpr std::chrono::milliseconds k_rest_at_most_once{1500};
/// For all other requests: longer than any rest.
constexpr std::chrono::hours k_rest_repeatable{1};
/// Idle connections to one backend server: descriptors and memory against connects after a burst.
constexpr int k_idle_connections = 16;
/// Late answers to earlier requests that are passed over in one exchange: a stuck peer must not hold it.
constexpr int k_foreign_answers = 2;

bool has(const http::response_header<>& _head, const std::string& _name)
{
	return _head.end() != _head.find(_name);
}

std::chrono::milliseconds keep_alive_of(const caller_response& _response)
{
	const std::string value(_response[http::field::keep_alive]);
	const std::size_t at = value.find("timeout=");
	int seconds = 0;
	if (std::string::npos == at ||
	    std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds).ec != std::errc())
	{
		return k_rest_default;
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

void upstream_connection::rest(std::chrono::milliseconds _life, steady_time _now)
{
	if (m_backend->gone || m_backend->idle_connections >= k_idle_connections || _life <= k_rest_margin)
	{
		return;
	}
	buffer.clear();
	if (buffer.capacity() > k_buffer_kept)
	{
		buffer.shrink_to_fit();
	}
	m_resting = true;
	m_rested_at = _now;
	++m_rests;
	m_backend->add_idle(shared_from_this());
	const std::weak_ptr<upstream_connection> weak = weak_from_this();
	const auto end_rest = [weak, number = m_rests](beast::error_code _error)
	{
		const auto self = weak.lock();
		if (asio::error::operation_aborted != _error && self && self->m_resting && self->m_rests == number)
		{
			self->drop();
		}
	};
	socket.async_wait(tcp::socket::wait_read, end_rest);
	m_timer.expires_after(_life - k_rest_margin);
	m_timer.async_wait(end_rest);
}

bool upstream_connection::wake(steady_time _now, std::chrono::milliseconds _longest_rest)
{
	m_resting = false;
	m_timer.cancel();
	// An error here or in non_blocking() shows in receive(): the connection is then not used.
	beast::error_code error;
	socket.cancel(error);
	if (_now - m_rested_at > _longest_rest)
	{
		return false;
	}
	// Readable means closed, or bytes that belong to no request.
	socket.non_blocking(true, error);
	char byte = 0;
	socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
	return asio::error::would_block == error;
}

void upstream_connection::drop()
{
	const auto self = shared_from_this();
	m_resting = false;
	m_timer.cancel();
	beast::error_code ignored; // The connection is given up in any case.
	socket.close(ignored);
	m_backend->drop_idle(self);
}

upstream_exchange::upstream_exchange(asio::io_context& _context, const clock_base& _clock,
    const header_names& _names, answer_listener_base& _listener, backend_ptr _backend,
    upstream_request _request, std::chrono::milliseconds _connect_timeout, handler _handler)
    : m_context(_context), m_clock(_clock), m_names(_names), m_listener(_listener),
      m_backend(std::move(_backend)), m_request(std::move(_request)), m_connect_timeout(_connect_timeout),
      m_handler(std::move(_handler)), m_timer(_context)
{
}

void upstream_exchange::start()
{
	++m_backend->load.in_flight;
	const std::chrono::milliseconds longest_rest =
	    m_request.at_most_once ? k_rest_at_most_once : k_rest_repeatable;
	while (const std::shared_ptr<upstream_connection> connection = m_backend->take_idle())
	{
		if (connection->wake(m_clock.steady(), longest_rest))
		{
			m_connection = connection;
			write();
			return;
		}
	}
	connect();
}

void upstream_exchange::connect()
{
	m_connecting_since = m_clock.steady();
	m_connection = std::make_shared<upstream_connection>(m_context, m_backend);
	m_timer.expires_after(m_connect_timeout);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error && !self->m_done && !self->m_sent)
		    {
			    self->fail(exchange_outcome::not_sent, "connect_timeout", backend_signal::unreachable);
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
			    self->fail(exchange_outcome::not_sent, "connect_failed", backend_signal::unreachable);
			    return;
		    }
		    self->m_connect_time = self->m_clock.steady() - self->m_connecting_since;
		    beast::error_code ignored; // Without the option small packets are only slower.
		    self->m_connection->socket.set_option(tcp::no_delay(true), ignored);
		    self->write_if_wanted();
	    });
}

void upstream_exchange::write_if_wanted()
{
	if (m_backend->wants_requests(m_clock.steady()))
	{
		write();
		return;
	}
	m_connection->rest(k_rest_default, m_clock.steady());
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
	// The answer may come before the request has left whole; reading goes on meanwhile.
	asio::async_write(m_connection->socket, asio::buffer(*m_request.bytes),
	    [self = shared_from_this(), connection = m_connection, bytes = m_request.bytes](
	        beast::error_code _error, std::size_t)
	    {
		    self->m_written = !_error; // What the error means for the request is told by read().
	    });
	read();
}

void upstream_exchange::read()
{
	m_parser.emplace();
	m_parser->body_limit(k_any_length);
	m_parser->skip(m_request.head);
	// The operation uses the connection until its handler runs, also after a cancellation.
	http::async_read(m_connection->socket, m_connection->buffer, *m_parser,
	    [self = shared_from_this(), connection = m_connection](beast::error_code _error, std::size_t)
	    {
		    if (self->m_done)
		    {
			    return;
		    }
		    if (_error)
		    {
			    const bool closed =
			        http::error::end_of_stream == _error || asio::error::connection_reset == _error;
			    self->take_words_of_part();
			    if (self->m_cancelled)
			    {
				    self->end_listening();
				    return;
			    }
			    self->m_connection_broke = closed;
			    self->fail(exchange_outcome::lost, closed ? "closed" : "broken_answer", backend_signal::lost);
			    return;
		    }
		    self->on_answer();
	    });
}

bool upstream_exchange::is_ours(const http::response_header<>& _head) const
{
	const auto id = _head.find(m_names.request_id);
	return _head.end() == id || id->value() == m_request.request_id;
}

void upstream_exchange::on_answer()
{
	const unsigned status = m_parser->get().result_int();
	if (status < 200 && 101 != status)
	{
		read(); // An interim answer; the final one follows.
		return;
	}
	take_words(m_parser->get());
	if (m_cancelled)
	{
		end_listening();
		return;
	}
	if (!is_ours(m_parser->get()))
	{
		pass_over_foreign();
		return;
	}
	caller_response response = m_parser->release();
	const bool wrong_server = http::status::misdirected_request == response.result();
	const bool not_run = wrong_server || has(response, m_names.not_run);
	if (!wrong_server && !is_from_backend(response))
	{
		fail(exchange_outcome::lost, "unsigned_answer", backend_signal::lost);
		return;
	}
	if (!m_parser->need_eof() && m_parser->keep_alive())
	{
		keep_connection(response);
	}
	if (not_run)
	{
		fail(exchange_outcome::not_run, wrong_server ? "wrong_server" : "shed",
		    wrong_server ? backend_signal::unreachable : backend_signal::refused);
		return;
	}
	exchange_result result;
	result.end = exchange_outcome::answered;
	result.response = std::move(response);
	finish(std::move(result), backend_signal::answered);
}

void upstream_exchange::pass_over_foreign()
{
	if (++m_foreign_answers <= k_foreign_answers && m_parser->keep_alive())
	{
		read();
		return;
	}
	fail(exchange_outcome::lost, "foreign_answer", backend_signal::lost);
}

bool upstream_exchange::is_from_backend(const http::response_header<>& _head) const
{
	return has(_head, m_names.not_run) || has(_head, m_names.signature) || has(_head, m_names.request_id);
}

void upstream_exchange::take_words(const http::response_header<>& _head)
{
	if (!is_from_backend(_head))
	{
		return;
	}
	answer_words words = words_beside(_head, m_names, !has(_head, m_names.not_run), m_clock.steady());
	if (!is_ours(_head) || m_cancelled)
	{
		// Load and limit may have changed since, or are counted no more; a rest and a leaving hold.
		words.load.reset();
		words.limit.reset();
	}
	if (words.load)
	{
		take_load(*words.load);
	}
	m_listener.on_words(m_backend, words);
}

void upstream_exchange::take_words_of_part()
{
	if (m_parser && m_parser->is_header_done())
	{
		take_words(m_parser->get());
	}
}

void upstream_exchange::take_load(const backend_load& _load)
{
	// The exchange that ends now is no longer among those that run.
	--m_backend->load.in_flight;
	m_backend->load.on_report(_load, m_clock.steady());
	++m_backend->load.in_flight;
}

void upstream_exchange::keep_connection(const caller_response& _response)
{
	// What is left of the request, or of an answer, would be taken for a part of the next exchange.
	if (!m_written || m_connection->buffer.size() > 0)
	{
		return;
	}
	m_connection->rest(keep_alive_of(_response), m_clock.steady());
	m_connection.reset();
}

void upstream_exchange::fail(exchange_outcome _end, const char* _detail, backend_signal _signal)
{
	exchange_result result;
	result.end = _end;
	result.detail = _detail;
	finish(std::move(result), _signal);
}

void upstream_exchange::finish(exchange_result&& _result, backend_signal _signal)
{
	m_done = true;
	m_timer.cancel();
	--m_backend->load.in_flight;
	m_backend->on_exchange_end(_signal, m_clock.steady());
	close_connection();
	const auto handler = std::move(m_handler);
	m_handler = nullptr;
	_result.connect_time = m_connect_time;
	_result.connection_broke = m_connection_broke;
	handler(std::move(_result));
}

void upstream_exchange::close_connection()
{
	if (m_connection)
	{
		beast::error_code ignored; // The connection is given up in any case.
		m_connection->socket.close(ignored);
		m_connection.reset();
	}
}

void upstream_exchange::cancel(std::chrono::milliseconds _listen)
{
	if (m_done || m_cancelled)
	{
		return;
	}
	m_handler = nullptr;
	take_words_of_part();
	--m_backend->load.in_flight;
	m_cancelled = true;
	if (!m_sent || _listen <= std::chrono::milliseconds(0))
	{
		end_listening();
		return;
	}
	m_timer.expires_after(_listen);
	m_timer.async_wait(
	    [self = shared_from_this()](beast::error_code _error)
	    {
		    if (!_error && !self->m_done)
		    {
			    self->end_listening();
		    }
	    });
}

void upstream_exchange::end_listening()
{
	m_done = true;
	m_timer.cancel();
	close_connection();
}
} // namespace larkrack
