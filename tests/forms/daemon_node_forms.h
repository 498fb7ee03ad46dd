// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// One larkrackd in the test's own thread: control and the operators' listener, with a store in memory, a
/// virtual clock that only the test advances, and fake peers that never answer.
#pragma once

#include "daemon_forms.h"

#include "larkrackd/operators_p.h"
#include "testing/store_engine_p.h"
#include "testing/store_memory_p.h"

#include <fstream>
#include <sstream>

namespace larkrack
{
/// Peers that never answer.
class silent_peers : public peers_base
{
public:
	void on_message(receiver _receiver) override
	{
		m_receiver = std::move(_receiver);
	}
	void send(const std::string&, const endpoint&, const envelope&) override
	{
	}
	void set_partitioned(std::set<std::string>) override
	{
	}
	peer_traffic traffic() const override
	{
		return {11, 1200, 13, 1400};
	}
	/// Delivers a message to the node, as if a peer had sent it.
	void deliver(const envelope& _envelope)
	{
		m_receiver(_envelope);
	}

private:
	receiver m_receiver;
};

/// A store whose writes can be made to fail.
class faulty_store : public store_memory
{
public:
	using store_memory::store_memory;
	txn_reply txn(const char* _use, const std::vector<store_compare>& _conditions,
	    const std::vector<store_write>& _writes, const yield_context& _yield) override
	{
		if (call_status::done == write_call_status)
		{
			return store_memory::txn(_use, _conditions, _writes, _yield);
		}
		txn_reply reply;
		reply.status = write_call_status;
		return reply;
	}
	call_status write_call_status =
	    call_status::done; ///< If not done, writes have no effect and return this status.
};

/// The node, its services, and requests to its operators' listener.
class node_under_test
{
public:
	explicit node_under_test(bool _test_faults = false)
	{
		settings own;
		own.name = "east-1";
		own.region = "east";
		own.domain = "east-a";
		own.operators = {"127.0.0.1", free_port(context)};
		own.secret = "a secret of sixteen";
		own.operator_token = "token of operators";
		own.test_faults = _test_faults;
		port = own.operators.port;
		clock = add(std::make_unique<clock_virtual>());
		add(std::make_unique<settings_service>(own));
		node_metrics = add(std::make_unique<metrics>());
		add(std::make_unique<view_publisher>());
		slots = add(std::make_unique<gate>("own_count"));
		add(std::make_unique<key_table>());
		store = add(std::make_unique<faulty_store>(engine, *clock));
		peers = add(std::make_unique<silent_peers>());
		sync = add(std::make_unique<platform_sync>(context, own.name, endpoint{"127.0.0.1", 1}));
		node_control = add(std::make_unique<control>(context));
		add(std::make_unique<operators>(context));
		CPPUNIT_ASSERT(!services.init());
	}
	~node_under_test()
	{
		services.shutdown();
	}
	node_under_test(const node_under_test&) = delete;
	node_under_test& operator=(const node_under_test&) = delete;

	/// Sends a request to the operators' listener.
	/// @returns The response as text: status, content type, ETag and WWW-Authenticate if present, an empty
	/// line, the body; the random part of the node's name is masked.
	std::string ask(http::verb _verb, const std::string& _target, const std::string& _body = "",
	    const std::map<std::string, std::string>& _headers = {{"Authorization", "Bearer token of operators"}})
	{
		std::string text;
		run_coroutine(context,
		    [&](const yield_context& _yield)
		    {
			    http_request request = make_request(_verb, _target, {"127.0.0.1", port}, _body);
			    for (const auto& [name, value] : _headers)
			    {
				    request.set(name, value);
			    }
			    http_caller caller(context.get_executor());
			    result<http_response> called =
			        caller.call({"127.0.0.1", port}, request, std::chrono::seconds(20), _yield);
			    const http_response* answer = value_of(called);
			    CPPUNIT_ASSERT(nullptr != answer);
			    text = std::to_string(answer->result_int()) + "\n";
			    for (const char* name : {"Content-Type", "ETag", "WWW-Authenticate"})
			    {
				    const std::string value = header_of(*answer, name);
				    text += value.empty() ? "" : std::string(name) + ": " + value + "\n";
			    }
			    text += "\n" + answer->body();
		    });
		return masked(text, "east-1-[0-9]+", "east-1-RANDOM");
	}

	/// Applies the small configuration and waits until the node owns its backend server.
	void configure()
	{
		nlohmann::json resources = nlohmann::json::array();
		for (const auto& [key, value] : small_configuration().resources)
		{
			const std::size_t slash = key.find('/');
			resources.push_back({{"kind", key.substr(0, slash)}, {"name", key.substr(slash + 1)},
			    {"spec", nlohmann::json::parse(value.spec)}});
		}
		const std::string answer =
		    ask(http::verb::post, "/v1/apply", nlohmann::json({{"resources", resources}}).dump());
		CPPUNIT_ASSERT_EQUAL(std::string("200"), answer.substr(0, 3));
		run_until(context,
		    [this]
		    {
			    // Requests don't advance the virtual clock, but control's rounds need it to advance.
			    clock->advance(std::chrono::milliseconds(1));
			    return !slots->states().empty() && !sync->records().value_of("step/shop").empty();
		    });
	}

	asio::io_context& context = keep_until_exit(std::make_unique<asio::io_context>(1));
	store_engine engine;
	kernel services;
	std::uint16_t port = 0;
	clock_virtual* clock = nullptr;
	metrics* node_metrics = nullptr;
	gate* slots = nullptr;
	faulty_store* store = nullptr;
	silent_peers* peers = nullptr;
	platform_sync* sync = nullptr;
	control* node_control = nullptr;

private:
	template <typename Service>
	Service* add(std::unique_ptr<Service> _service)
	{
		Service* raw = _service.get();
		services.add(std::move(_service));
		return raw;
	}
};
} // namespace larkrack
