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
constexpr std::chrono::milliseconds k_max_idle{1000};
constexpr std::chrono::milliseconds k_retry_delay{150};
/// Time beyond the stated deadline for which a caller waits for the response.
constexpr std::chrono::milliseconds k_deadline_margin{500};
/// Maximum number of entry VMs that one look-up is sent to.
constexpr int k_max_lookup_attempts = 4;
/// Attempts of an operation in addition to its retries: the first attempt, and further ones after failed
/// connections.
constexpr int k_max_connect_attempts = 3;

/// @returns The outcome of an attempt without a response.
std::string outcome_without_response(bool _connected)
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

std::optional<callers::lookup_result> callers::request_lookup(
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
	lookup_result found;
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

callers::lookup_result callers::look_up(const caller_operation& _operation, const yield_context& _yield)
{
	const std::string key = _operation.caller + "/" + _operation.service;
	const auto it = m_cache.find(key);
	if (m_cache.end() != it && std::chrono::steady_clock::now() < it->second.expires)
	{
		return it->second;
	}
	std::vector<const deployed_vm*> candidates;
	std::vector<const deployed_vm*> other_regions;
	for (const deployed_vm& vm : m_deployment.entry_vms)
	{
		(vm.region == _operation.home ? candidates : other_regions).push_back(&vm);
	}
	std::shuffle(candidates.begin(), candidates.end(), m_random);
	std::shuffle(other_regions.begin(), other_regions.end(), m_random);
	candidates.insert(candidates.end(), other_regions.begin(), other_regions.end());
	candidates.resize(std::min<std::size_t>(candidates.size(), k_max_lookup_attempts));
	for (const deployed_vm* vm : candidates)
	{
		if (std::optional<lookup_result> found = request_lookup(vm->callers, _operation, _yield))
		{
			m_cache[key] = *found;
			return *found;
		}
	}
	return {};
}

http_request callers::make_operation_request(const caller_operation& _operation, const entry_choice& _to,
    const std::string& _key, bool _is_first_attempt)
{
	const bool is_payment = "payment" == _operation.kind;
	const std::string target = "/" + _operation.service + "/" + _operation.kind + "?kind=" + _operation.kind +
	                           "&work_us=" + std::to_string(_operation.work_us) +
	                           "&bytes=" + std::to_string(_operation.bytes) + "&object=" + _operation.object;
	http_request request = make_request(is_payment ? http::verb::post : http::verb::get, target, _to.address,
	    is_payment ? "{\"pay\":1}" : "");
	request.set(k_header_caller, _operation.caller);
	request.set(k_header_deadline, std::to_string(_operation.deadline_ms));
	request.set(k_header_priority, std::to_string(_operation.priority));
	if (!_key.empty())
	{
		request.set(k_header_key, _key);
		if (_is_first_attempt)
		{
			request.set(k_header_first_try, "1");
		}
	}
	return request;
}

void callers::read_body(client_connection& _connection, http::response_parser<http::buffer_body>& _parser,
    const caller_operation& _operation, response_record& _response, const yield_context& _yield)
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
		_response.content_matches =
		    _response.content_matches &&
		    ("served" != _response.outcome || pattern.matches(piece.data(), got, _response.bytes));
		_response.bytes += got;
		if (0 < _operation.read_rate)
		{
			sleep_for(m_context.get_executor(),
			    std::chrono::microseconds(1000000 * got / _operation.read_rate), _yield);
		}
	}
	_response.complete = !failure && ("served" != _response.outcome || _response.bytes == _operation.bytes);
}

callers::response_record callers::send(const caller_operation& _operation, const entry_choice& _to,
    const std::string& _key, bool _is_first_attempt, const yield_context& _yield)
{
	response_record got;
	got.entry_vms = _to.name;
	connection_ptr connection = m_pool.take(_to.address, k_max_idle);
	if (!connection)
	{
		connection = m_pool.connect(_to.address, k_connect_timeout, _yield);
	}
	if (!connection)
	{
		return got;
	}
	got.connected = true;
	const http_request request = make_operation_request(_operation, _to, _key, _is_first_attempt);
	connection->stream.expires_after(std::chrono::milliseconds(_operation.deadline_ms) + k_deadline_margin);
	beast::error_code failure;
	http::async_write(connection->stream, request, _yield[failure]);
	http::response_parser<http::buffer_body> parser;
	parser.body_limit(k_unlimited_body_bytes);
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
	got.has_header = true;
	got.status = static_cast<int>(head.result_int());
	got.outcome = header_of(head, k_header_outcome);
	got.reason = header_of(head, k_header_reason);
	got.entry_vms = header_of(head, k_header_entry_vm);
	got.backend = header_of(head, k_header_backend);
	got.id = header_of(head, k_header_request_id);
	got.retry_after_ms = header_of(head, k_header_retry_after_ms);
	if ("not-kept" == header_of(head, "Larkrack-Body"))
	{
		got.complete = true;
		return got;
	}
	read_body(*connection, parser, _operation, got, _yield);
	if (got.complete && parser.get().keep_alive())
	{
		m_pool.give(_to.address, std::move(connection));
	}
	return got;
}

void callers::write_history(const caller_operation& _operation, const std::string& _key,
    const response_record& _response, std::int64_t _t0, int _attempt)
{
	const std::string outcome =
	    _response.has_header ? _response.outcome : outcome_without_response(_response.connected);
	m_history.write({{"type", "request"}, {"id", _response.id}, {"key", _key}, {"kind", _operation.kind},
	    {"service", _operation.service}, {"home", _operation.home}, {"t0", _t0},
	    {"t1", to_us(m_clock.wall())}, {"outcome", outcome}, {"reason", _response.reason},
	    {"status", _response.status}, {"way", _response.entry_vms}, {"backend", _response.backend},
	    {"region", m_deployment.region_of_backend(_response.backend)}, {"whole", _response.complete},
	    {"own", _response.content_matches}, {"bytes", _response.bytes}, {"try", _attempt},
	    {"sent", _response.connected}, {"retry_after_ms", _response.retry_after_ms}});
}

void callers::run_operation(const caller_operation& _operation, const yield_context& _yield)
{
	++m_in_flight;
	std::string key;
	bool sent = false;
	std::size_t next = 0;
	lookup_result found = look_up(_operation, _yield);
	if ("payment" == _operation.kind)
	{
		const std::string unique = "k" + std::to_string(m_random()) + "-" + std::to_string(++m_next_key);
		key = found.grant.empty() ? unique : found.grant + "/" + unique;
	}
	int retries = _operation.retries;
	for (int attempt = 0; attempt < k_max_connect_attempts + _operation.retries; ++attempt)
	{
		const std::int64_t t0 = to_us(m_clock.wall());
		if (found.choices.empty())
		{
			write_history(_operation, key, {}, t0, attempt);
			break;
		}
		const entry_choice to = found.choices[next++ % found.choices.size()];
		const response_record got = send(_operation, to, key, !sent, _yield);
		write_history(_operation, key, got, t0, attempt);
		sent = sent || got.connected;
		if (!got.connected)
		{
			// Nothing was sent, so another entry VM may be tried immediately.
			m_cache.erase(_operation.caller + "/" + _operation.service);
			continue;
		}
		const bool is_unknown = !got.has_header || "unknown" == got.outcome;
		if (!is_unknown || 0 == retries--)
		{
			break;
		}
		sleep_for(m_context.get_executor(), k_retry_delay, _yield);
	}
	--m_in_flight;
}
} // namespace larkrack
