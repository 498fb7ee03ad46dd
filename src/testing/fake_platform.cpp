// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "testing/fake_platform_p.h"

namespace larkrack
{
namespace
{
constexpr std::chrono::milliseconds k_watch_poll_interval{2};
constexpr std::chrono::milliseconds k_lease_poll_interval{20};

nlohmann::json to_json(const store_value& _value)
{
	nlohmann::json kv = {{"key", to_base64(_value.key)}, {"value", to_base64(_value.value)},
	    {"mod_revision", std::to_string(_value.mod_revision)}};
	if (0 != _value.lease)
	{
		kv["lease"] = std::to_string(_value.lease);
	}
	return kv;
}

nlohmann::json to_json(const std::vector<store_value>& _values)
{
	nlohmann::json kvs = nlohmann::json::array();
	for (const store_value& value : _values)
	{
		kvs.push_back(to_json(value));
	}
	return kvs;
}

bool is_write(const std::string& _path)
{
	return "/v3/kv/txn" == _path || 0 == _path.rfind("/v3/lease/", 0);
}
} // namespace

fake_platform::fake_platform(asio::io_context& _context)
    : m_context(_context),
      m_server(_context,
          [this](http_session& _session, http_request& _request, const yield_context& _yield)
          {
	          handle(_session, _request, _yield);
          })
{
}

std::optional<error> fake_platform::init(const endpoint& _endpoint)
{
	start(m_context,
	    [this](const yield_context& _yield)
	    {
		    expire_leases(_yield);
	    });
	return m_server.listen(_endpoint);
}

void fake_platform::expire_leases(const yield_context& _yield)
{
	while (true)
	{
		m_engine.tick(m_clock.steady());
		sleep_for(m_context.get_executor(), k_lease_poll_interval, _yield);
	}
}

void fake_platform::set_faults(const nlohmann::json& _faults)
{
	m_faults.outage = _faults.value("outage", m_faults.outage);
	m_faults.slow_ms = _faults.value("slow_ms", m_faults.slow_ms);
	m_faults.lose_answers = _faults.value("lose_answers", m_faults.lose_answers);
	if (_faults.value("save", false))
	{
		m_saved = m_engine;
	}
	if (_faults.value("restore", false))
	{
		m_engine = m_saved;
		++m_epoch;
	}
	if (m_faults.outage)
	{
		++m_epoch;
	}
}

nlohmann::json fake_platform::counts() const
{
	return {{"calls", m_calls}, {"revision", m_engine.revision()}};
}

void fake_platform::handle(http_session& _session, http_request& _request, const yield_context& _yield)
{
	const std::string path = path_of(std::string(_request.target()));
	if (0 == path.rfind("/fake/", 0))
	{
		handle_fake(_session, _request, _yield);
		return;
	}
	++m_calls[path];
	if (0 < m_faults.slow_ms)
	{
		sleep_for(m_context.get_executor(), std::chrono::milliseconds(m_faults.slow_ms), _yield);
	}
	if (m_faults.outage)
	{
		_session.close();
		return;
	}
	if ("/vms" == path)
	{
		http_response list = make_json(http::status::ok, vm_list().dump());
		_session.send(list, _yield);
		return;
	}
	const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
	if (!body.is_object())
	{
		http_response bad = make_json(http::status::bad_request, "{}");
		_session.send(bad, _yield);
		return;
	}
	if ("/v3/watch" == path)
	{
		handle_watch(_session, body, _yield);
		return;
	}
	const nlohmann::json reply = call(path, body);
	if (is_write(path) && 0 < m_faults.lose_answers)
	{
		--m_faults.lose_answers;
		_session.close();
		return;
	}
	http_response response =
	    make_json(reply.is_null() ? http::status::not_found : http::status::ok, reply.dump());
	_session.send(response, _yield);
}

nlohmann::json fake_platform::header() const
{
	return {{"revision", std::to_string(m_engine.revision())}};
}

nlohmann::json fake_platform::call(const std::string& _path, const nlohmann::json& _body)
{
	if ("/v3/kv/range" == _path)
	{
		return call_range(_body);
	}
	if ("/v3/kv/txn" == _path)
	{
		return call_txn(_body);
	}
	const steady_time now = m_clock.steady();
	if ("/v3/lease/grant" == _path)
	{
		const std::int64_t ttl = integer_field(_body, "TTL");
		const std::int64_t id = m_engine.lease_grant(std::chrono::seconds(ttl), now);
		return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
	}
	if ("/v3/lease/keepalive" == _path)
	{
		const std::int64_t id = integer_field(_body, "ID");
		const std::int64_t ttl = m_engine.lease_keep_alive(id, now).count();
		return {{"result", {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}}}};
	}
	if ("/v3/lease/revoke" == _path)
	{
		m_engine.lease_revoke(integer_field(_body, "ID"));
		return {{"header", header()}};
	}
	return nullptr;
}

nlohmann::json fake_platform::call_range(const nlohmann::json& _body) const
{
	const std::string key = from_base64(_body.value("key", ""));
	const std::vector<store_value> values = m_engine.range(key, _body.contains("range_end"));
	return {{"header", header()}, {"kvs", to_json(values)}, {"count", std::to_string(values.size())}};
}

nlohmann::json fake_platform::call_txn(const nlohmann::json& _body)
{
	std::vector<store_compare> conditions;
	for (const nlohmann::json& one : _body.value("compare", nlohmann::json::array()))
	{
		conditions.push_back({from_base64(one.value("key", "")), integer_field(one, "mod_revision")});
	}
	std::vector<store_write> writes;
	for (const nlohmann::json& one : _body.value("success", nlohmann::json::array()))
	{
		if (one.contains("requestPut"))
		{
			const nlohmann::json& put = one["requestPut"];
			writes.push_back({from_base64(put.value("key", "")), from_base64(put.value("value", "")),
			    integer_field(put, "lease")});
		}
		if (one.contains("requestDeleteRange"))
		{
			writes.push_back({from_base64(one["requestDeleteRange"].value("key", "")), std::nullopt, 0});
		}
	}
	const txn_reply reply = m_engine.txn(conditions, writes);
	nlohmann::json responses = nlohmann::json::array();
	for (const store_value& value : reply.current)
	{
		responses.push_back({{"response_range", {{"kvs", to_json(std::vector<store_value>{value})}}}});
	}
	return {{"header", header()}, {"succeeded", reply.succeeded}, {"responses", responses}};
}

void fake_platform::handle_watch(
    http_session& _session, const nlohmann::json& _body, const yield_context& _yield)
{
	const nlohmann::json create = _body.value("create_request", nlohmann::json::object());
	const std::string prefix = from_base64(create.value("key", ""));
	std::int64_t next = integer_field(create, "start_revision");
	next = 0 == next ? m_engine.revision() + 1 : next;
	const std::uint64_t epoch = m_epoch;
	http::response<http::buffer_body> head(http::status::ok, 11);
	bool open = _session.send_head(head, body_end::framed, _yield);
	const std::string created =
	    nlohmann::json({{"result", {{"header", header()}, {"created", true}}}}).dump() + "\n";
	open = open && _session.send_piece(created.data(), created.size(), _yield);
	while (open && epoch == m_epoch && !_session.peer_has_closed())
	{
		for (const watch_batch& batch : m_engine.changes(prefix, next))
		{
			nlohmann::json events = nlohmann::json::array();
			for (const store_value& value : batch.puts)
			{
				events.push_back({{"type", "PUT"}, {"kv", to_json(value)}});
			}
			for (const store_delete& gone : batch.deletes)
			{
				events.push_back({{"type", "DELETE"}, {"kv", {{"key", to_base64(gone.key)}}}});
			}
			next = batch.store_revision + 1;
			const nlohmann::json at = {{"revision", std::to_string(batch.store_revision)}};
			const std::string line =
			    nlohmann::json({{"result", {{"header", at}, {"events", events}}}}).dump() + "\n";
			open = open && _session.send_piece(line.data(), line.size(), _yield);
		}
		sleep_for(m_context.get_executor(), k_watch_poll_interval, _yield);
	}
	_session.close();
}

nlohmann::json fake_platform::vm_list() const
{
	nlohmann::json list = nlohmann::json::array();
	for (const auto& [name, vm] : m_vms.items())
	{
		list.push_back(vm);
	}
	return {{"vms", list}};
}

void fake_platform::handle_fake(
    http_session& _session, const http_request& _request, const yield_context& _yield)
{
	const std::string path = path_of(std::string(_request.target()));
	const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
	if ("/fake/faults" == path && body.is_object())
	{
		set_faults(body);
	}
	else if ("/fake/vms" == path && body.is_array())
	{
		for (const nlohmann::json& vm : body)
		{
			m_vms[vm.value("name", "")] = vm;
		}
	}
	else if ("/fake/counts" == path && http::verb::delete_ == _request.method())
	{
		m_calls.clear();
	}
	else if ("/fake/counts" != path)
	{
		http_response bad = make_json(http::status::bad_request, "{}");
		_session.send(bad, _yield);
		return;
	}
	http_response done = make_json(http::status::ok, counts().dump());
	_session.send(done, _yield);
}
} // namespace larkrack
