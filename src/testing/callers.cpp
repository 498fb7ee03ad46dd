// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/callers_p.h"

#include "testing/pattern_p.h"

#include <algorithm>

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_connect_timeout{500};
constexpr std::chrono::milliseconds k_lookup_timeout{1000};
constexpr std::chrono::milliseconds k_idle{1000};
constexpr std::chrono::milliseconds k_second_try{150};
/// Callers wait this much longer than the deadline that they state.
constexpr std::chrono::milliseconds k_patience{500};
constexpr int k_ask_tries = 4;
constexpr int k_sends = 3;

std::string unknown_if_sent(bool _connected)
{
	return _connected ? "unknown" : "not_run";
}
} // namespace

callers::callers(
    asio::io_context& _context, const deployment& _deployment, history_writer& _history, std::uint64_t _seed)
    : m_context(_context), m_deployment(_deployment), m_history(_history), m_pool(_context.get_executor()),
      m_random(_seed)
{
}

std::optional<callers::looked_up> callers::ask(
    const endpoint& _where, const caller_operation& _operation, const yield_context& _yield)
{
	http_caller caller(m_context.get_executor());
	http_request request =
	    make_request(http::verb::get, "/.larkrack/lookup?service=" + _operation.service, _where);
	request.set(k_header_caller, _operation.caller);
	result<http_response> called = caller.call(_where, request, k_lookup_timeout, _yield);
	const http_response* response = value_of(called);
	const nlohmann::json body =
	    nullptr == response ? nlohmann::json() : nlohmann::json::parse(response->body(), nullptr, false);
	if (!body.is_object() || !body.contains("grant"))
	{
		return std::nullopt;
	}
	looked_up found;
	found.grant = body["grant"];
	found.expires = std::chrono::steady_clock::now() + std::chrono::milliseconds(body.value("ttl_ms", 0));
	for (const nlohmann::json& vm : body["entry_vms"])
	{
		result<endpoint> where = parse_endpoint(vm.at("address"));
		if (const endpoint* good = value_of(where))
		{
			found.choices.push_back({vm.at("name"), *good});
		}
	}
	return found;
}

callers::looked_up callers::look_up(const caller_operation& _operation, const yield_context& _yield)
{
	const std::string key = _operation.caller + "/" + _operation.service;
	const auto it = m_cache.find(key);
	if (m_cache.end() != it && std::chrono::steady_clock::now() < it->second.expires)
	{
		return it->second;
	}
	std::vector<const deployed_vm*> near;
	std::vector<const deployed_vm*> far;
	for (const deployed_vm& vm : m_deployment.entry_vms)
	{
		(vm.region == _operation.home ? near : far).push_back(&vm);
	}
	std::shuffle(near.begin(), near.end(), m_random);
	std::shuffle(far.begin(), far.end(), m_random);
	near.insert(near.end(), far.begin(), far.end());
	near.resize(std::min<std::size_t>(near.size(), k_ask_tries));
	for (const deployed_vm* vm : near)
	{
		if (std::optional<looked_up> found = ask(vm->callers, _operation, _yield))
		{
			m_cache[key] = *found;
			return *found;
		}
	}
	return {};
}

http_request callers::make(
    const caller_operation& _operation, const choice& _to, const std::string& _key, bool _first_try)
{
	const bool is_payment = "payment" == _operation.kind;
	const std::string target = "/" + _operation.service + "/" + _operation.kind + "?kind=" + _operation.kind +
	                           "&work_us=" + std::to_string(_operation.work_us) +
	                           "&bytes=" + std::to_string(_operation.bytes) + "&object=" + _operation.object;
	http_request request = make_request(
	    is_payment ? http::verb::post : http::verb::get, target, _to.where, is_payment ? "{\"pay\":1}" : "");
	request.set(k_header_caller, _operation.caller);
	request.set(k_header_deadline, std::to_string(_operation.deadline_ms));
	request.set(k_header_priority, std::to_string(_operation.priority));
	if (!_key.empty())
	{
		request.set(k_header_key, _key);
		if (_first_try)
		{
			request.set(k_header_first_try, "1");
		}
	}
	return request;
}

void callers::read_body(client_connection& _connection, http::response_parser<http::buffer_body>& _parser,
    const caller_operation& _operation, answer& _answer, const yield_context& _yield)
{
	const body_pattern pattern(_operation.object);
	std::vector<char> piece(0 < _operation.read_rate ? k_piece / 8 : k_piece);
	beast::error_code failure;
	while (!failure && !_parser.is_done())
	{
		_parser.get().body().data = piece.data();
		_parser.get().body().size = piece.size();
		_connection.stream.expires_after(std::chrono::seconds(30));
		http::async_read(_connection.stream, _connection.buffer, _parser, _yield[failure]);
		failure = http::error::need_buffer == failure ? beast::error_code() : failure;
		const std::size_t got = piece.size() - _parser.get().body().size;
		_answer.own =
		    _answer.own && ("served" != _answer.outcome || pattern.matches(piece.data(), got, _answer.bytes));
		_answer.bytes += got;
		if (0 < _operation.read_rate)
		{
			sleep_for(m_context.get_executor(),
			    std::chrono::microseconds(1000000 * got / _operation.read_rate), _yield);
		}
	}
	_answer.whole = !failure && ("served" != _answer.outcome || _answer.bytes == _operation.bytes);
}

callers::answer callers::send(const caller_operation& _operation, const choice& _to, const std::string& _key,
    bool _first_try, const yield_context& _yield)
{
	answer got;
	got.way = _to.name;
	connection_ptr connection = m_pool.take(_to.where, k_idle);
	if (!connection)
	{
		connection = m_pool.connect(_to.where, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		return got;
	}
	got.connected = true;
	const http_request request = make(_operation, _to, _key, _first_try);
	connection->stream.expires_after(std::chrono::milliseconds(_operation.deadline_ms) + k_patience);
	beast::error_code failure;
	http::async_write(connection->stream, request, _yield[failure]);
	http::response_parser<http::buffer_body> parser;
	parser.body_limit(k_any_length);
	if (!failure)
	{
		http::async_read_header(connection->stream, connection->buffer, parser, _yield[failure]);
	}
	if (failure)
	{
		got.reason = failure.message();
		return got;
	}
	const auto& head = parser.get();
	got.got_head = true;
	got.status = static_cast<int>(head.result_int());
	got.outcome = header_of(head, k_header_outcome);
	got.reason = header_of(head, k_header_reason);
	got.way = header_of(head, k_header_entry_vm);
	got.backend = header_of(head, k_header_backend);
	got.id = header_of(head, k_header_request_id);
	got.retry_after_ms = header_of(head, k_header_retry_after_ms);
	if ("not-kept" == header_of(head, "Larkrack-Body"))
	{
		got.whole = true;
		return got;
	}
	read_body(*connection, parser, _operation, got, _yield);
	if (got.whole && parser.get().keep_alive())
	{
		m_pool.give(_to.where, std::move(connection));
	}
	return got;
}

void callers::write(const caller_operation& _operation, const std::string& _key, const answer& _answer,
    std::int64_t _t0, int _try)
{
	const std::string outcome = _answer.got_head ? _answer.outcome : unknown_if_sent(_answer.connected);
	m_history.write({{"type", "request"}, {"id", _answer.id}, {"key", _key}, {"kind", _operation.kind},
	    {"service", _operation.service}, {"home", _operation.home}, {"t0", _t0},
	    {"t1", to_us(m_clock.wall())}, {"outcome", outcome}, {"reason", _answer.reason},
	    {"status", _answer.status}, {"way", _answer.way}, {"backend", _answer.backend},
	    {"region", m_deployment.region_of_backend(_answer.backend)}, {"whole", _answer.whole},
	    {"own", _answer.own}, {"bytes", _answer.bytes}, {"try", _try}, {"sent", _answer.connected},
	    {"retry_after_ms", _answer.retry_after_ms}});
}

void callers::operate(const caller_operation& _operation, const yield_context& _yield)
{
	++m_in_flight;
	std::string key;
	bool sent = false;
	std::size_t next = 0;
	looked_up found = look_up(_operation, _yield);
	if ("payment" == _operation.kind)
	{
		const std::string own = "k" + std::to_string(m_random()) + "-" + std::to_string(++m_next_key);
		key = found.grant.empty() ? own : found.grant + "/" + own;
	}
	int second_tries = _operation.second_tries;
	for (int attempt = 0; attempt < k_sends + _operation.second_tries; ++attempt)
	{
		const std::int64_t t0 = to_us(m_clock.wall());
		if (found.choices.empty())
		{
			write(_operation, key, {}, t0, attempt);
			break;
		}
		const choice to = found.choices[next++ % found.choices.size()];
		const answer got = send(_operation, to, key, !sent, _yield);
		write(_operation, key, got, t0, attempt);
		sent = sent || got.connected;
		if (!got.connected)
		{
			// Nothing was sent: another entry VM may be asked at once.
			m_cache.erase(_operation.caller + "/" + _operation.service);
			continue;
		}
		const bool open = !got.got_head || "unknown" == got.outcome;
		if (!open || 0 == second_tries--)
		{
			break;
		}
		sleep_for(m_context.get_executor(), k_second_try, _yield);
	}
	--m_in_flight;
}
} // namespace larkrack
