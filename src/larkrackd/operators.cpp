// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/operators_p.h"

#include "larkrackd/log_p.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

namespace larkrack
{
namespace
{
constexpr const char* k_api_prefix = "/v1/";

std::optional<revision> revision_from(const std::string& _text)
{
	if (_text.empty() || "*" == _text)
	{
		return std::nullopt;
	}
	std::string digits;
	for (const char one : _text)
	{
		if ('0' <= one && one <= '9')
		{
			digits += one;
		}
	}
	return revision{std::strtoull(digits.c_str(), nullptr, 10)};
}

bool has_kind_and_name(const nlohmann::json& _resource)
{
	return _resource.is_object() && _resource.contains("kind") && _resource.contains("name") &&
	       _resource["kind"].is_string() && _resource["name"].is_string();
}

/// @returns The change that one resource of an apply request describes.
config_change change_from(const nlohmann::json& _resource)
{
	config_change one;
	one.kind = _resource["kind"];
	one.name = _resource["name"];
	one.spec = _resource.value("spec", nlohmann::json::object());
	if (_resource.contains("revision"))
	{
		one.expected = revision{_resource["revision"].get<std::uint64_t>()};
	}
	if (_resource.value("delete", false))
	{
		one.spec.reset();
	}
	return one;
}
} // namespace

http_response error_response(http::status _status, const std::string& _code, const std::string& _message)
{
	return make_json(_status, nlohmann::json({{"error", _code}, {"message", _message}}).dump());
}

operators::operators(asio::io_context& _context) : m_context(_context)
{
}

std::optional<error> operators::init(kernel& _kernel)
{
	m_settings = &_kernel.find<settings_service>("settings")->get();
	m_clock = _kernel.find<clock_base>("clock");
	m_sync = _kernel.find<platform_sync>("platform_sync");
	m_control = _kernel.find<control>("control");
	m_gate = _kernel.find<gate>("gate");
	m_peers = _kernel.find<peers_base>("peers");
	m_metrics = _kernel.find<metrics>("metrics");
	m_view_publisher = _kernel.find<view_publisher>("view_publisher");
	m_keys = _kernel.find<key_table>("key_table");
	m_server = std::make_unique<http_server>(m_context,
	    [this](http_session& _session, http_request& _request, const yield_context& _yield)
	    {
		    handle(_session, _request, _yield);
	    });
	return m_server->listen(m_settings->operators);
}

void operators::shutdown()
{
	m_stopping = true;
	m_server->close_all();
}

bool operators::has_operator_token(const http_request& _request) const
{
	return signer::same("Bearer " + m_settings->operator_token, header_of(_request, "Authorization"));
}

void operators::handle(http_session& _session, http_request& _request, const yield_context& _yield)
{
	const bool reads = http::verb::get == _request.method() || http::verb::head == _request.method();
	if (!reads && !has_operator_token(_request))
	{
		log_event(event::operator_refused, {{"peer", _session.peer().address().to_string()},
		                                       {"target", std::string(_request.target()).substr(0, 200)}});
		http_response refusal =
		    error_response(http::status::unauthorized, "token", "the change needs the operators' token");
		refusal.set(http::field::www_authenticate, "Bearer");
		_session.send(refusal, _yield);
		return;
	}
	if ("/v1/watch" == path_of(std::string(_request.target())))
	{
		watch(_session, _yield);
		return;
	}
	http_response response = route(_request, _yield);
	_session.send(response, _yield);
}

http_response operators::route(const http_request& _request, const yield_context& _yield)
{
	const std::string path = path_of(std::string(_request.target()));
	if ("/metrics" == path)
	{
		return scrape();
	}
	if ("/" == path)
	{
		http_response page(http::status::ok, 11);
		page.set(http::field::content_type, "text/html; charset=utf-8");
		page.body() = status_page();
		return page;
	}
	if ("/v1/status" == path)
	{
		return status();
	}
	if ("/v1/explain" == path)
	{
		return explain(std::string(_request.target()));
	}
	if ("/v1/apply" == path && http::verb::post == _request.method())
	{
		return apply(_request, _yield);
	}
	if ("/v1/test/cut" == path && http::verb::put == _request.method() && m_settings->test_faults)
	{
		return set_test_cut(_request);
	}
	std::vector<std::string> parts;
	boost::split(parts, path, boost::is_any_of("/"));
	const bool is_resource = 4 <= parts.size() && 0 == path.rfind(k_api_prefix, 0) && "resources" == parts[2];
	if (!is_resource)
	{
		return error_response(http::status::not_found, "not_found", "no such page: " + path);
	}
	if (4 == parts.size() && http::verb::get == _request.method())
	{
		return list_resources(parts[3]);
	}
	if (5 != parts.size())
	{
		return error_response(http::status::not_found, "not_found", "no such page: " + path);
	}
	if (http::verb::get == _request.method())
	{
		return get_resource(parts[3], parts[4]);
	}
	return change_resource(_request, parts[3], parts[4], _yield);
}

nlohmann::json operators::resource_json(const std::string& _key, const resource_value& _value) const
{
	const std::size_t slash = _key.find('/');
	const std::string kind = _key.substr(0, slash);
	const std::string name = _key.substr(slash + 1);
	nlohmann::json resource = {{"kind", kind}, {"name", name}, {"revision", _value.rev.value},
	    {"spec", nlohmann::json::parse(_value.spec, nullptr, false)}};
	if ("steering" == kind)
	{
		for (const shift_status& shift : m_control->shifts())
		{
			if (shift.service == name)
			{
				resource["status"] = {{"state", shift.step.state}, {"waits_for", shift.step.waits_for},
				    {"shares", shift.step.shares}, {"goal", shift.step.goal}, {"step", shift.step.number}};
			}
		}
	}
	if ("backend_server" == kind)
	{
		resource["status"] = {{"running_from_here", m_gate->running(name)}};
	}
	return resource;
}

http_response operators::list_resources(const std::string& _kind) const
{
	nlohmann::json items = nlohmann::json::array();
	for (const auto& [key, value] : m_sync->configuration().state().resources)
	{
		if ("all" == _kind || 0 == key.rfind(_kind + "/", 0))
		{
			items.push_back(resource_json(key, value));
		}
	}
	if ("all" != _kind && nullptr == schema_resource(_kind))
	{
		return error_response(http::status::not_found, "unknown_kind", "no such kind: " + _kind);
	}
	const std::uint64_t at = m_sync->configuration().state().rev.value;
	return make_json(http::status::ok, nlohmann::json({{"revision", at}, {"items", items}}).dump());
}

http_response operators::get_resource(const std::string& _kind, const std::string& _name) const
{
	const resource_map& all = m_sync->configuration().state().resources;
	const auto it = all.find(_kind + "/" + _name);
	if (all.end() == it)
	{
		return error_response(
		    http::status::not_found, "not_found", "no such resource: " + _kind + "/" + _name);
	}
	http_response response = make_json(http::status::ok, resource_json(it->first, it->second).dump());
	response.set(http::field::etag, "\"" + std::to_string(it->second.rev.value) + "\"");
	return response;
}

http_response operators::change_resource(const http_request& _request, const std::string& _kind,
    const std::string& _name, const yield_context& _yield)
{
	config_change one;
	one.kind = _kind;
	one.name = _name;
	one.expected = revision_from(header_of(_request, "If-Match"));
	if ("*" == header_of(_request, "If-None-Match"))
	{
		one.expected = revision{0};
	}
	if (http::verb::put == _request.method())
	{
		const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
		if (!body.is_object())
		{
			return error_response(http::status::bad_request, "bad_json", "the body is not a JSON object");
		}
		one.spec = body.contains("spec") ? body["spec"] : body;
	}
	else if (http::verb::delete_ != _request.method())
	{
		return error_response(http::status::method_not_allowed, "method", "GET, PUT and DELETE are known");
	}
	const bool dry_run = "true" == query_value(std::string(_request.target()), "dry_run");
	return write_response(m_sync->write({one}, dry_run, _yield));
}

http_response operators::apply(const http_request& _request, const yield_context& _yield)
{
	const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
	if (!body.is_object() || !body.contains("resources") || !body["resources"].is_array())
	{
		return error_response(
		    http::status::bad_request, "bad_json", "the body is not {\"resources\": [...]}");
	}
	std::vector<config_change> changes;
	for (const nlohmann::json& resource : body["resources"])
	{
		if (!has_kind_and_name(resource))
		{
			return error_response(
			    http::status::bad_request, "bad_resource", "each resource needs kind, name and spec");
		}
		changes.push_back(change_from(resource));
	}
	return write_response(m_sync->write(changes, body.value("dry_run", false), _yield));
}

http_response operators::write_response(const write_result& _result) const
{
	nlohmann::json body = {{"revision", _result.rev.value}};
	switch (_result.status)
	{
	case write_status::accepted:
		return make_json(http::status::ok, body.dump());
	case write_status::conflict:
		body["error"] = "conflict";
		body["message"] = "changed by somebody else; read it again";
		body["resource"] = _result.conflicting;
		body["resource_revision"] = _result.conflicting_rev.value;
		return make_json(http::status::conflict, body.dump());
	case write_status::invalid:
		body["error"] = "invalid";
		body["message"] = "nothing was changed";
		body["mistakes"] = nlohmann::json::array();
		for (const mistake& one : _result.mistakes)
		{
			body["mistakes"].push_back({{"path", one.path}, {"value", one.value}, {"allowed", one.allowed}});
		}
		return make_json(http::status::unprocessable_entity, body.dump());
	case write_status::unsure:
		body["error"] = "unsure";
		body["message"] = "the platform stopped answering; the change may be in force: read it again";
		return make_json(http::status::gateway_timeout, body.dump());
	case write_status::older:
		body["error"] = "platform_older";
		body["message"] = "the platform holds older data and is being restored; nothing was changed";
		return make_json(http::status::service_unavailable, body.dump());
	case write_status::not_done:
		break;
	}
	body["error"] = "platform_down";
	body["message"] = "the platform does not answer; nothing was changed";
	return make_json(http::status::service_unavailable, body.dump());
}

http_response operators::set_test_cut(const http_request& _request)
{
	const nlohmann::json body = nlohmann::json::parse(_request.body(), nullptr, false);
	if (!body.is_object())
	{
		return error_response(http::status::bad_request, "bad_json", "the body is not a JSON object");
	}
	m_control->set_partitioned(
	    body.value("entry_vms", std::set<std::string>()), body.value("platform", false));
	return make_json(http::status::ok, "{}");
}
} // namespace larkrack
