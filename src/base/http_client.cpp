// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/http_p.h"

#include "base/answer_form_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// Maximum number of idle connections for each server. A higher value saves connecting after a traffic peak
/// and costs file descriptors.
constexpr std::size_t k_idle_per_endpoint = 64;
/// Maximum time to establish a control connection, whatever the response may take.
constexpr std::chrono::milliseconds k_max_connect_time{900};

/// @returns The value of a hexadecimal digit, or -1.
int hex_value(char _digit)
{
	if ('0' <= _digit && _digit <= '9')
	{
		return _digit - '0';
	}
	const char lower = static_cast<char>(_digit | 0x20);
	return 'a' <= lower && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent-encoding.
std::string percent_decode(const std::string& _text)
{
	std::string out;
	for (std::size_t at = 0; at < _text.size(); ++at)
	{
		const bool coded = '%' == _text[at] && at + 2 < _text.size() && 0 <= hex_value(_text[at + 1]) &&
		                   0 <= hex_value(_text[at + 2]);
		out +=
		    coded ? static_cast<char>(hex_value(_text[at + 1]) * 16 + hex_value(_text[at + 2])) : _text[at];
		at += coded ? 2 : 0;
	}
	return out;
}
} // namespace

connection_ptr connection_pool::take(const endpoint& _endpoint, std::chrono::milliseconds _max_idle)
{
	const auto it = m_idle.find(to_string(_endpoint));
	if (m_idle.end() == it)
	{
		return nullptr;
	}
	const auto now = std::chrono::steady_clock::now();
	while (!it->second.empty())
	{
		connection_ptr connection = std::move(it->second.back());
		it->second.pop_back();
		if (now - connection->last_used <= _max_idle && !is_closed_by_peer(connection->stream.socket()))
		{
			return connection;
		}
	}
	return nullptr;
}

void connection_pool::give(const endpoint& _endpoint, connection_ptr _connection)
{
	std::vector<connection_ptr>& idle = m_idle[to_string(_endpoint)];
	// Unread bytes would be parsed as the start of the next response.
	if (k_idle_per_endpoint <= idle.size() || 0 < _connection->buffer.size())
	{
		return;
	}
	_connection->last_used = std::chrono::steady_clock::now();
	_connection->stream.expires_never();
	idle.push_back(std::move(_connection));
}

connection_ptr connection_pool::connect(
    const endpoint& _endpoint, std::chrono::milliseconds _timeout, const yield_context& _yield)
{
	auto connection = std::make_unique<client_connection>(m_executor);
	connection->stream.expires_after(_timeout);
	beast::error_code failure;
	const tcp::endpoint where(asio::ip::make_address(_endpoint.host), _endpoint.port);
	connection->stream.async_connect(where, _yield[failure]);
	if (failure)
	{
		// Not logged here: request forwarding and probes connect all the time, and log when they change the
		// state of the server.
		return nullptr;
	}
	// An error is ignored: without TCP_NODELAY requests are slower, but still correct.
	connection->stream.socket().set_option(tcp::no_delay(true), failure);
	return connection;
}

result<http_response> http_caller::call(const endpoint& _endpoint, const http_request& _request,
    std::chrono::milliseconds _timeout, const yield_context& _yield)
{
	connection_ptr connection = m_pool.take(_endpoint, m_max_idle);
	const bool kept = nullptr != connection;
	if (!kept)
	{
		connection = m_pool.connect(_endpoint, std::min(_timeout, k_max_connect_time), _yield);
	}
	if (!connection)
	{
		m_last_call = {};
		return error{"refused", "can not connect to " + to_string(_endpoint)};
	}
	connection->stream.expires_after(_timeout);
	beast::error_code failure;
	http::async_write(connection->stream, _request, _yield[failure]);
	http::response_parser<http::string_body> parser;
	parser.body_limit(k_max_control_body_bytes);
	if (!failure)
	{
		m_waiting = connection.get();
		// The head alone first: a parser that reads on behind it passes over a length beyond the limit.
		http::async_read_header(connection->stream, connection->buffer, parser, _yield[failure]);
		if (!failure)
		{
			http::async_read(connection->stream, connection->buffer, parser, _yield[failure]);
		}
		m_waiting = m_waiting == connection.get() ? nullptr : m_waiting;
	}
	if (!failure && !is_final_answer_head(parser.get()))
	{
		failure = http::error::bad_status;
	}
	m_last_call = {kept, beast::error::timeout == failure};
	if (failure)
	{
		return error{"unsure", "no answer from " + to_string(_endpoint) + ": " + failure.message()};
	}
	if (parser.get().keep_alive())
	{
		m_pool.give(_endpoint, std::move(connection));
	}
	return parser.release();
}

void http_caller::abandon()
{
	if (nullptr != m_waiting)
	{
		m_waiting->stream.cancel();
	}
}

http_request make_request(
    http::verb _verb, const std::string& _target, const endpoint& _endpoint, const std::string& _body)
{
	http_request request(_verb, _target, 11);
	request.set(http::field::host, to_string(_endpoint));
	request.body() = _body;
	if (!_body.empty())
	{
		request.set(http::field::content_type, "application/json");
	}
	request.prepare_payload();
	return request;
}

http_response make_json(http::status _status, const std::string& _body)
{
	http_response response(_status, 11);
	response.set(http::field::content_type, "application/json");
	response.body() = _body;
	return response;
}

std::string path_of(const std::string& _target)
{
	return _target.substr(0, _target.find('?'));
}

std::string query_value(const std::string& _target, const std::string& _name)
{
	const std::size_t mark = _target.find('?');
	std::size_t at = std::string::npos == mark ? _target.size() : mark + 1;
	while (at < _target.size())
	{
		const std::size_t end = std::min(_target.find('&', at), _target.size());
		const std::string pair = _target.substr(at, end - at);
		const std::size_t equals = pair.find('=');
		if (std::string::npos != equals && pair.substr(0, equals) == _name)
		{
			return percent_decode(pair.substr(equals + 1));
		}
		at = end + 1;
	}
	return "";
}
} // namespace larkrack
