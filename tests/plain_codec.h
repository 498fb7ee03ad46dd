// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Key layout for tests of the replica of the store's keys. Owns nothing.
#pragma once

#include "entry_node/state_replica_p.h"

namespace larkrack
{
/// Minimal key layout: keys "routes", "backend/ID" and "evacuate/DOMAIN". The value of a backend server is
/// its state, optionally followed by "@" and its start time in milliseconds.
class plain_codec : public record_codec_base
{
public:
	std::string prefix() const override
	{
		return "";
	}
	std::string routes_key() const override
	{
		return "routes";
	}
	record_kind kind_of(const std::string& _key) const override
	{
		if ("routes" == _key)
		{
			return record_kind::routes;
		}
		if (0 == _key.rfind("backend/", 0))
		{
			return record_kind::backend;
		}
		return 0 == _key.rfind("evacuate/", 0) ? record_kind::evacuation : record_kind::other;
	}
	std::string name_of(const std::string& _key) const override
	{
		return _key.substr(_key.rfind('/') + 1);
	}
	result<std::shared_ptr<const routing_table>> decode_routes(const std::string& _value) const override
	{
		if ("bad" == _value)
		{
			return error{"bad_routes", "route r1 has no service"};
		}
		return std::make_shared<const routing_table>(
		    std::stoull(_value), std::vector<route>(), std::vector<routed_service>(), caller_limits());
	}
	result<backend_record> decode_backend(const std::string& _key, const std::string& _value) const override
	{
		if ("foreign" == _value)
		{
			return error{"bad_backend", "a text is missing"};
		}
		backend_record record;
		record.id = backend_id(name_of(_key));
		const std::size_t born = _value.find('@');
		record.started_ms = std::string::npos == born ? 0 : std::stoll(_value.substr(born + 1));
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.draining = 0 == _value.rfind("draining", 0);
		return record;
	}
	std::string node_key(const std::string& _node) const override
	{
		return "node/" + _node;
	}
	result<rollout_order> decode_rollout(const store_value&) const override
	{
		return error{"bad_rollout", "there are none here"};
	}
	result<rollout_status> decode_rollout_status(const store_value&) const override
	{
		return error{"bad_rollout", "there are none here"};
	}
	store_write rollout_status_write(const rollout_status&) const override
	{
		return {};
	}
	result<request_block> decode_block(const store_value&) const override
	{
		return error{"bad_block", "there are none here"};
	}
	result<request_fingerprint> blocked_request_of(const std::string&) const override
	{
		return error{"bad_block", "there are none here"};
	}
	store_write block_write(const request_block&) const override
	{
		return {};
	}
};
} // namespace larkrack
