// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "store/store_p.h"

#include "larkrack/config.h"

namespace larkrack
{
namespace
{
/// A watch without any data for this long is reopened, since its connection may be dead. A shorter time
/// detects dead connections sooner and opens more watches (calls counted in docs/CAPACITY.md).
constexpr std::chrono::seconds k_watch_idle_timeout{30};

store_value parse_value(const nlohmann::json& _kv)
{
	// The gateway omits empty fields; see integer_field().
	store_value value;
	value.key = from_base64(_kv.value("key", ""));
	value.value = from_base64(_kv.value("value", ""));
	value.mod_revision = integer_field(_kv, "mod_revision");
	value.lease = integer_field(_kv, "lease");
	return value;
}

std::vector<store_value> parse_values(const nlohmann::json& _reply)
{
	std::vector<store_value> values;
	for (const nlohmann::json& kv : _reply.value("kvs", nlohmann::json::array()))
	{
		values.push_back(parse_value(kv));
	}
	return values;
}

std::int64_t revision_of(const nlohmann::json& _reply)
{
	return _reply.contains("header") ? integer_field(_reply["header"], "revision") : 0;
}

nlohmann::json range_json(const std::string& _key, bool _prefix)
{
	nlohmann::json body = {{"key", to_base64(_key)}};
	if (_prefix)
	{
		body["range_end"] = to_base64(prefix_end(_key));
	}
	return body;
}

watch_batch parse_watch_batch(const nlohmann::json& _result)
{
	watch_batch batch;
	batch.store_revision = revision_of(_result);
	for (const nlohmann::json& event : _result.value("events", nlohmann::json::array()))
	{
		const store_value value = parse_value(event.at("kv"));
		if ("DELETE" == event.value("type", "PUT"))
		{
			batch.deletes.push_back({value.key, value.mod_revision});
		}
		else
		{
			batch.puts.push_back(value);
		}
	}
	return batch;
}
} // namespace

store_http::store_http(asio::io_context& _context, endpoint _endpoint)
    : m_context(_context), m_endpoint(std::move(_endpoint)), m_caller(_context.get_executor())
{
}

store_http::reply store_http::post(const char* _use, const char* _path, const nlohmann::json& _body,
    bool _writes, const yield_context& _yield)
{
	count(_use);
	if (m_partitioned)
	{
		return {call_status::not_done, {}};
	}
	http_request request = make_request(http::verb::post, _path, m_endpoint, _body.dump());
	result<http_response> called = m_caller.call(m_endpoint, request, k_platform_deadline, _yield);
	if (const error* failure = std::get_if<error>(&called))
	{
		const bool may_have_run = _writes && "unsure" == failure->code;
		return {may_have_run ? call_status::unsure : call_status::not_done, {}};
	}
	const http_response& response = std::get<http_response>(called);
	// Not logged here: platform_sync logs when the platform becomes unreachable, and not every failed call.
	nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
	if (http::status::ok != response.result() || body.is_discarded())
	{
		return {call_status::not_done, {}};
	}
	return {call_status::done, std::move(body)};
}

range_reply store_http::range(
    const char* _use, const std::string& _key, bool _prefix, const yield_context& _yield)
{
	const reply got = post(_use, "/v3/kv/range", range_json(_key, _prefix), false, _yield);
	if (call_status::done != got.status)
	{
		return {};
	}
	return {call_status::done, parse_values(got.body), revision_of(got.body)};
}

txn_reply store_http::txn(const char* _use, const std::vector<store_compare>& _conditions,
    const std::vector<store_write>& _writes, const yield_context& _yield)
{
	nlohmann::json body = {{"compare", nlohmann::json::array()}, {"success", nlohmann::json::array()},
	    {"failure", nlohmann::json::array()}};
	for (const store_compare& condition : _conditions)
	{
		body["compare"].push_back({{"key", to_base64(condition.key)}, {"target", "MOD"}, {"result", "EQUAL"},
		    {"mod_revision", std::to_string(condition.mod_revision)}});
		body["failure"].push_back({{"requestRange", range_json(condition.key, false)}});
	}
	for (const store_write& write : _writes)
	{
		if (!write.value)
		{
			body["success"].push_back({{"requestDeleteRange", range_json(write.key, false)}});
			continue;
		}
		nlohmann::json put = {{"key", to_base64(write.key)}, {"value", to_base64(*write.value)}};
		if (0 != write.lease)
		{
			put["lease"] = std::to_string(write.lease);
		}
		body["success"].push_back({{"requestPut", put}});
	}
	const reply got = post(_use, "/v3/kv/txn", body, true, _yield);
	txn_reply answer;
	answer.status = got.status;
	if (call_status::done != got.status)
	{
		return answer;
	}
	// The gateway omits fields that are false; see integer_field().
	answer.succeeded = got.body.value("succeeded", false);
	answer.store_revision = revision_of(got.body);
	for (const nlohmann::json& part : got.body.value("responses", nlohmann::json::array()))
	{
		if (part.contains("response_range"))
		{
			const std::vector<store_value> values = parse_values(part["response_range"]);
			answer.current.insert(answer.current.end(), values.begin(), values.end());
		}
	}
	return answer;
}

lease_reply store_http::lease_grant(const char* _use, std::chrono::seconds _ttl, const yield_context& _yield)
{
	const reply got = post(_use, "/v3/lease/grant", {{"TTL", std::to_string(_ttl.count())}}, true, _yield);
	if (call_status::done != got.status)
	{
		return {got.status, 0, {}};
	}
	return {got.status, integer_field(got.body, "ID"), std::chrono::seconds(integer_field(got.body, "TTL"))};
}

lease_reply store_http::lease_keep_alive(const char* _use, std::int64_t _id, const yield_context& _yield)
{
	const reply got = post(_use, "/v3/lease/keepalive", {{"ID", std::to_string(_id)}}, true, _yield);
	if (call_status::done != got.status || !got.body.contains("result"))
	{
		return {call_status::done == got.status ? call_status::not_done : got.status, _id, {}};
	}
	return {got.status, _id, std::chrono::seconds(integer_field(got.body["result"], "TTL"))};
}

lease_reply store_http::lease_revoke(const char* _use, std::int64_t _id, const yield_context& _yield)
{
	return {post(_use, "/v3/lease/revoke", {{"ID", std::to_string(_id)}}, true, _yield).status, _id, {}};
}

watch_end store_http::watch(const char* _use, const std::string& _prefix, std::int64_t _from,
    const std::function<bool(const watch_batch&)>& _on_batch, const yield_context& _yield)
{
	count(_use);
	if (m_partitioned)
	{
		return watch_end::broken;
	}
	connection_pool pool(m_context.get_executor());
	connection_ptr connection = pool.connect(m_endpoint, k_platform_deadline, _yield);
	if (!connection)
	{
		return watch_end::broken;
	}
	nlohmann::json create = range_json(_prefix, true);
	if (0 != _from)
	{
		create["start_revision"] = std::to_string(_from);
	}
	const nlohmann::json body = {{"create_request", create}};
	http_request request = make_request(http::verb::post, "/v3/watch", m_endpoint, body.dump());
	beast::error_code failure;
	http::async_write(connection->stream, request, _yield[failure]);
	http::response_parser<http::string_body> parser;
	parser.body_limit(k_unlimited_body_bytes); // A watch has no end; a line of it is bounded below.
	connection->stream.expires_after(k_watch_idle_timeout);
	http::async_read_header(connection->stream, connection->buffer, parser, _yield[failure]);
	if (parser.content_length().value_or(0) > k_max_control_body_bytes)
	{
		return watch_end::broken;
	}
	while (!failure && !m_partitioned && parser.get().body().size() <= k_max_control_body_bytes)
	{
		connection->stream.expires_after(k_watch_idle_timeout);
		http::async_read_some(connection->stream, connection->buffer, parser, _yield[failure]);
		std::string& text = parser.get().body();
		std::size_t end = text.find('\n');
		while (std::string::npos != end)
		{
			// An invalid line ends the watch; the caller resumes it from the last revision it received.
			const nlohmann::json line = nlohmann::json::parse(text.substr(0, end), nullptr, false);
			text.erase(0, end + 1);
			if (line.is_discarded() || !line.contains("result"))
			{
				return watch_end::broken;
			}
			if (line["result"].contains("compact_revision"))
			{
				return watch_end::history_lost;
			}
			if (!_on_batch(parse_watch_batch(line["result"])))
			{
				return watch_end::stopped;
			}
			end = text.find('\n');
		}
		if (parser.is_done())
		{
			return watch_end::broken;
		}
	}
	// Not logged: an idle timeout (k_watch_idle_timeout) ends here too. The caller reopens the watch.
	return watch_end::broken;
}
} // namespace larkrack
