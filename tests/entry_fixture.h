// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Fixture for tests of the path of a request: a forwarder with its listener on loopback, backend servers
/// that follow a script, a caller that sends raw bytes, and gates whose answers the test sets.
///
/// Owns everything on one event loop; no other node and no store is needed. Relies on fixtures.h for
/// run_until().
#pragma once

#include "fixtures.h"

#include "entry_node/forwarder_p.h"

#include <algorithm>
#include <deque>

namespace larkrack
{
/// System clock, ahead by the time for which the VM was suspended. Timers do not include that time, as after
/// a real suspension.
class clock_suspended : public clock_system
{
public:
	steady_time steady() const override
	{
		return clock_system::steady() + m_suspended_time;
	}
	void suspend(std::chrono::milliseconds _time)
	{
		m_suspended_time += _time;
	}

private:
	std::chrono::milliseconds m_suspended_time{0};
};

/// Fleet view of a node without other nodes.
class fleet_view_single_node : public fleet_view_base
{
public:
	budget_sharing sharers() const override
	{
		return {nodes};
	}
	rate_by_region demand_of_others(const service_name&) const override
	{
		return {};
	}
	rate_by_region single_region_demand_of_others(const service_name&) const override
	{
		return {};
	}
	slot_portion portion(const service_name&, const region_name&) const override
	{
		return {};
	}
	double warmup_share(const backend_state&) const override
	{
		return 1.0;
	}
	responsible_nodes responsible_for(std::uint64_t) const override
	{
		return {{"", 1}, {}};
	}
	live_node_counts live_nodes() const override
	{
		return {nodes, nodes, 0};
	}
	responsible_nodes responsible_in_region(const region_name&, std::uint64_t) const override
	{
		return {{"", 1}, {}};
	}
	live_node_counts live_nodes_of_region() const override
	{
		return {nodes, nodes, 0};
	}
	std::vector<std::string> region_addresses() const override
	{
		return {};
	}
	double nodes = 1.0;
};

/// Quota gate that gives each request the answer set by the test. With quota_answer::waits the request waits
/// until the test calls the handler in "waiting".
class scripted_quotas : public quota_admission_base
{
public:
	void take(const customer& _customer, handler _decided) override
	{
		asked.push_back(_customer.name.text);
		if (quota_answer::waits == answer)
		{
			waiting = std::move(_decided);
			return;
		}
		_decided(answer);
	}
	void return_token(const customer& _customer) override
	{
		given_back.push_back(_customer.name.text);
	}
	double quota_retry_delay_s(const customer&) const override
	{
		return quota_retry_after_s;
	}

	quota_answer answer = quota_answer::granted;
	handler waiting;
	double quota_retry_after_s = 2.0;
	std::vector<std::string> asked;      ///< Customers of the requests that took a token.
	std::vector<std::string> given_back; ///< Customers of the requests that returned a token.
};

/// Roll-out gate that gives each request the rule set by the test, and records the reported attempts.
class scripted_rollouts : public rollout_routing_base
{
public:
	version_rule rule_for(const service_name&, double) override
	{
		return rule;
	}
	void on_attempt_end(const version_attempt& _attempt) override
	{
		attempts.push_back(_attempt);
	}

	version_rule rule;
	std::vector<version_attempt> attempts;
};

/// Limit gate that applies the limits that backend servers report, and gives each request the answer set by
/// the test.
class scripted_limits : public limit_admission_base
{
public:
	quota_answer take(const backend_state&) override
	{
		++taken;
		return answer;
	}
	void wait_for_token(const backend_state&, handler _decided) override
	{
		waiting = std::move(_decided);
	}
	void return_token(const backend_state&) override
	{
		++given_back;
	}
	void on_limit_report(backend_server& _backend, const limit_report& _report) override
	{
		_backend.limit.take_report(_report);
	}

	quota_answer answer = quota_answer::granted;
	handler waiting;
	int taken = 0;
	int given_back = 0;
};

/// Crash gate that decides on each request as set by the test (by default it blocks none), and records what
/// is reported of requests.
class scripted_crashes : public crash_admission_base
{
public:
	bool tracks_head(std::uint64_t) const override
	{
		return true;
	}
	bool has_blocked_requests() const override
	{
		return block_decision::open != decision;
	}
	block_decision decide(const request_fingerprint& _request, const service_name&) override
	{
		decided.push_back(_request);
		return decision;
	}
	void request_trial(const request_fingerprint&, const service_name&, trial_handler _decided) override
	{
		waiting = std::move(_decided);
	}
	void on_trial_unused(const request_fingerprint&) override
	{
		++trials_returned;
	}
	void on_connection_broken(const backend_ptr&, const request_fingerprint& _request) override
	{
		broken.push_back(_request);
	}
	bool may_retry(const request_fingerprint&) const override
	{
		return resends;
	}
	void on_answered(const request_fingerprint& _request) override
	{
		answered.push_back(_request);
	}

	block_decision decision = block_decision::open;
	bool resends = true;
	trial_handler waiting;
	int trials_returned = 0;
	std::vector<request_fingerprint> decided;
	std::vector<request_fingerprint> broken;
	std::vector<request_fingerprint> answered;
};

/// Paths of a node that always uses its own connections.
class direct_paths : public path_steering_base
{
public:
	path_request on_exchange_start(const backend_server&, const request_kind&, steady_time::duration) override
	{
		return {};
	}
	void on_exchange_end(const path_request&) override
	{
	}
	void on_response(path_request&, bool) override
	{
	}
	void on_connected(const backend_server&) override
	{
	}
	void on_connect_failed(const backend_server&) override
	{
	}
	bool sends_directly(const backend_server&, bool) override
	{
		return true;
	}
	std::optional<relay_candidate> choose_relay(
	    const backend_server&, const std::vector<std::string>&) override
	{
		return std::nullopt;
	}
	void on_relay_refused(const std::string&) override
	{
	}
	bool examining() const override
	{
		return in_examination;
	}
	bool in_doubt(const backend_server&) const override
	{
		return false;
	}

	bool in_examination = false; ///< Whether a path is in doubt, as set by the test.
};

/// What a scripted_admission decides and what it was told.
struct admission_script
{
	/// One end of a request.
	struct end
	{
		request_number number;
		admission_end how;
	};

	admission_decision on_arrival;
	admission_decision on_no_slot{admission_verdict::waits};
	std::chrono::milliseconds wait{60000}; ///< If on_no_slot waits. Longer than any test.
	admission_decision on_wait_over{admission_verdict::refused, reason::no_headroom};
	bool uses_conditions = true;
	bool newest_first = false; ///< Which of the waiting requests is tried first.
	admission_report report;

	std::vector<admission_request> arrived;
	std::vector<request_number> waiting; ///< In order of arrival.
	int waits_over = 0;
	std::vector<request_number> sent; ///< One entry for each attempt.
	std::vector<end> ended;
	std::vector<admission_conditions> conditions; ///< One entry for each tick.
	std::vector<steady_time> times;               ///< Times of on_arrival, on_no_slot and on_end.
};

/// Admission that decides on each request as its script says, and records what it is told.
class scripted_admission : public admission_base
{
public:
	explicit scripted_admission(admission_script& _script) : m_script(_script)
	{
	}
	bool uses_conditions() const override
	{
		return m_script.uses_conditions;
	}
	admission_decision on_arrival(const admission_request& _request, steady_time _now) override
	{
		m_script.times.push_back(_now);
		m_script.arrived.push_back(_request);
		return m_script.on_arrival;
	}
	admission_decision on_no_slot(const admission_request& _request, steady_time _now) override
	{
		m_script.times.push_back(_now);
		admission_decision decision = m_script.on_no_slot;
		if (admission_verdict::waits == decision.verdict)
		{
			decision.wait_until = _now + m_script.wait;
			m_script.waiting.push_back(_request.number);
		}
		return decision;
	}
	admission_decision on_wait_over(const admission_request&, steady_time) override
	{
		++m_script.waits_over;
		return m_script.on_wait_over;
	}
	request_number next(steady_time) const override
	{
		if (m_script.waiting.empty())
		{
			return {};
		}
		return m_script.newest_first ? m_script.waiting.back() : m_script.waiting.front();
	}
	void remove(const admission_request& _request) override
	{
		std::vector<request_number>& waiting = m_script.waiting;
		waiting.erase(std::remove(waiting.begin(), waiting.end(), _request.number), waiting.end());
	}
	void on_sent(const admission_request& _request, steady_time) override
	{
		m_script.sent.push_back(_request.number);
	}
	void on_end(const admission_request& _request, const admission_end& _end, steady_time _now) override
	{
		m_script.times.push_back(_now);
		m_script.ended.push_back({_request.number, _end});
	}
	void tick(const admission_conditions& _conditions, steady_time) override
	{
		m_script.conditions.push_back(_conditions);
	}
	admission_report report(steady_time) const override
	{
		return m_script.report;
	}

private:
	admission_script& m_script;
};

/// Backend server that responds to each request with the next step of its script, as raw bytes.
class scripted_backend
{
public:
	/// Response to one request.
	struct step
	{
		std::string bytes;  ///< "{id}" is replaced by the id of the request.
		bool close = false; ///< Closes the connection after the bytes were sent.
		bool reset = false; ///< Resets the connection after the bytes were sent.
		bool hold = false;  ///< Sends nothing and keeps the connection open.
		/// Sent first where the connection has carried a request before, with the id of that one: a surplus
		/// answer to it.
		std::string surplus = "";
	};

	explicit scripted_backend(asio::io_context& _context)
	    : m_acceptor(_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
	{
		accept();
	}
	tcp::endpoint address() const
	{
		return m_acceptor.local_endpoint();
	}
	/// @returns A complete response with request id and signature.
	/// @param[in] _more Further header lines, each with its end of line.
	static std::string answer(const std::string& _body, int _status = 200, const std::string& _more = "")
	{
		return "HTTP/1.1 " + std::to_string(_status) +
		       " X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n" + _more +
		       "Content-Length: " + std::to_string(_body.size()) + "\r\n\r\n" + _body;
	}

	/// Sends bytes on the connections of all held requests.
	void respond_to_held(const std::string& _bytes)
	{
		for (const session_ptr& held : std::exchange(m_held, {}))
		{
			beast::error_code ignored; // The node may have closed the connection.
			asio::write(held->socket, asio::buffer(_bytes), ignored);
		}
	}

	std::deque<step> script; ///< Steps for the next requests; once it is empty, "usual" is used.
	step usual{answer("fine"), false, false, false};
	std::vector<std::string> requests; ///< Received requests, header and body.
	std::vector<steady_time> arrivals; ///< Arrival times of the requests, in rising order.
	int connections = 0;
	int closed_by_peer = 0;

private:
	/// A pending operation that completes behind the end of this object does nothing.
	using lifetime = std::weak_ptr<bool>;
	struct session
	{
		explicit session(tcp::socket _socket) : socket(std::move(_socket))
		{
		}
		tcp::socket socket;
		beast::flat_buffer buffer;
		http::request<http::string_body> request;
		std::string former_id; ///< Of the request before; empty: there was none.
	};
	using session_ptr = std::shared_ptr<session>;

	void accept()
	{
		m_acceptor.async_accept(
		    [this, alive = lifetime(m_alive)](beast::error_code _error, tcp::socket _socket)
		    {
			    if (_error || alive.expired())
			    {
				    return;
			    }
			    ++connections;
			    read(std::make_shared<session>(std::move(_socket)));
			    accept();
		    });
	}
	void read(const session_ptr& _session)
	{
		_session->request = {};
		http::async_read(_session->socket, _session->buffer, _session->request,
		    [this, alive = lifetime(m_alive), _session](beast::error_code _error, std::size_t)
		    {
			    if (alive.expired())
			    {
				    return;
			    }
			    if (_error)
			    {
				    ++closed_by_peer;
				    return;
			    }
			    std::ostringstream text;
			    text << _session->request;
			    requests.push_back(text.str());
			    arrivals.push_back(clock_system().steady());
			    run_step(_session);
		    });
	}
	static std::string with_id(std::string _bytes, const std::string& _id)
	{
		for (std::size_t at = _bytes.find("{id}"); std::string::npos != at; at = _bytes.find("{id}"))
		{
			_bytes.replace(at, 4, _id);
		}
		return _bytes;
	}
	void run_step(const session_ptr& _session)
	{
		step next = usual;
		if (!script.empty())
		{
			next = script.front();
			script.pop_front();
		}
		if (next.hold)
		{
			m_held.push_back(_session);
			read(_session);
			return;
		}
		const std::string id(_session->request["Larkrack-Request-Id"]);
		const std::string former = std::exchange(_session->former_id, id);
		const std::string surplus = former.empty() ? "" : with_id(next.surplus, former);
		const auto text = std::make_shared<std::string>(surplus + with_id(next.bytes, id));
		asio::async_write(_session->socket, asio::buffer(*text),
		    [this, alive = lifetime(m_alive), _session, text, next](beast::error_code, std::size_t)
		    {
			    if (alive.expired())
			    {
				    return;
			    }
			    beast::error_code ignored;
			    if (next.reset)
			    {
				    _session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
			    }
			    if (next.reset || next.close)
			    {
				    _session->socket.close(ignored);
				    return;
			    }
			    read(_session);
		    });
	}

	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
	tcp::acceptor m_acceptor;
	std::vector<session_ptr> m_held;
};

/// Caller that sends raw bytes and reads one response at a time.
class raw_caller
{
public:
	raw_caller(asio::io_context& _context, const tcp::endpoint& _address)
	    : m_context(_context), m_socket(std::make_shared<tcp::socket>(_context))
	{
		m_socket->connect(_address);
	}
	void send(const std::string& _bytes)
	{
		const auto bytes = std::make_shared<std::string>(_bytes);
		asio::async_write(*m_socket, asio::buffer(*bytes),
		    [bytes, socket = m_socket](beast::error_code, std::size_t)
		    {
		    });
	}
	/// @param[in] _head Whether the request was HEAD: its response has no body.
	/// @returns The next response; status 0 and the error as its reason when the connection ended without a
	/// response.
	caller_response receive(bool _head = false)
	{
		bool done = false;
		http::response_parser<http::string_body> parser;
		parser.body_limit(INT64_MAX);
		parser.header_limit(m_max_header_bytes);
		parser.skip(_head);
		beast::error_code failure;
		http::async_read(*m_socket, m_buffer, parser,
		    [&](beast::error_code _error, std::size_t)
		    {
			    failure = _error;
			    done = true;
		    });
		run_until(m_context,
		    [&]
		    {
			    return done;
		    });
		if (failure)
		{
			caller_response none;
			none.result(0);
			none.reason(failure.message());
			return none;
		}
		return parser.release();
	}
	void close()
	{
		m_socket->close();
	}
	void set_max_header_bytes(std::uint32_t _bytes)
	{
		m_max_header_bytes = _bytes;
	}

private:
	std::uint32_t m_max_header_bytes = 8192;
	asio::io_context& m_context;
	std::shared_ptr<tcp::socket> m_socket;
	beast::flat_buffer m_buffer;
};

/// One node with routes "/read/" (repeatable) and "/pay/" (at most once) to service "shop". A caller that a
/// fixture keeps beyond one function is kept here, since its socket must end before the event loop.
class entry_fixture : public CppUnit::TestFixture
{
public:
	void setUp() override
	{
		m_context = std::make_unique<asio::io_context>(1);
		m_registry = std::make_unique<backend_registry>(
		    std::unordered_map<std::string, std::string>{{"east-a", "east"}, {"west-a", "west"}});
		m_log = std::make_unique<entry_log>("test", m_log_descriptor);
		shared_bounds bounds;
		bounds.max_shift = 0.15;
		bounds.retries = {
		    0.2 / k_retry_used_fraction, 50.0 / k_retry_used_fraction, std::chrono::milliseconds(10000)};
		m_exchanges = std::make_unique<exchange_maker>(*m_context, m_clock, header_names(),
		    region_name("east"), m_paths,
		    [](steady_time::duration)
		    {
		    });
		m_forwarder = std::make_unique<forwarder>(*m_context, m_clock, header_names(),
		    placement{"n1", "east-a", "east"}, bounds, m_make_admission, *m_registry, m_fleet, m_quotas,
		    m_rollouts, m_limits, m_crashes, *m_exchanges, *m_log, m_metrics);
		m_listener = std::make_unique<http_listener>(
		    *m_context,
		    [this](const std::shared_ptr<caller_session>& _session, caller_request&& _request)
		    {
			    m_forwarder->handle(_session, std::move(_request));
		    },
		    1000);
		CPPUNIT_ASSERT(!m_listener->listen(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
	}

	void tearDown() override
	{
		m_context->stop();
		// Each handler may hold a request, which needs the context.
		m_quotas.waiting = nullptr;
		m_limits.waiting = nullptr;
		m_crashes.waiting = nullptr;
		m_kept_callers.clear();
		m_backends.clear();
		m_listener.reset();
		m_forwarder.reset();
		m_exchanges.reset();
		m_registry.reset();
		m_context.reset();
	}

	static std::shared_ptr<const routing_table> routes(std::uint64_t _version)
	{
		route read;
		read.name = "read";
		read.host = "shop.example";
		read.path_prefix = "/read/";
		read.repeat = repeat_rule::repeatable;
		read.timeout = std::chrono::milliseconds(2000);
		read.objective = std::chrono::milliseconds(400);
		read.max_attempts = 3;
		read.sticky = true;
		read.targets = {{"shop", 1.0}};
		route pay = read;
		pay.name = "pay";
		pay.path_prefix = "/pay/";
		pay.repeat = repeat_rule::at_most_once;
		caller_limits limits;
		limits.header_bytes = 2048;
		limits.body_bytes = 100000;
		return std::make_shared<const routing_table>(
		    _version, std::vector<route>{read, pay}, std::vector<routed_service>{{"shop", 0, 0.0}}, limits);
	}

protected:
	void set_routes(std::uint64_t _version = 1)
	{
		m_forwarder->set_routes(routes(_version));
	}

	scripted_backend& add_backend(const std::string& _id, int _slots = 3, const std::string& _version = "v1")
	{
		m_backends.push_back(std::make_unique<scripted_backend>(*m_context));
		backend_record record;
		record.id = backend_id(_id);
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = _slots;
		record.version = version_name(_version);
		record.address = m_backends.back()->address();
		m_registry->put(record, m_clock.steady());
		return *m_backends.back();
	}

	/// @returns A caller that is connected to the node.
	raw_caller call()
	{
		return {*m_context, m_listener->address()};
	}
	/// @returns A caller that is connected to the node until tearDown().
	raw_caller& call_and_keep()
	{
		m_kept_callers.push_back(std::make_unique<raw_caller>(call()));
		return *m_kept_callers.back();
	}

	static std::string request(const std::string& _method, const std::string& _path, const std::string& _id,
	    const std::string& _more = "", const std::string& _body = "")
	{
		return _method + " " + _path + " HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: " + _id +
		       "\r\nLarkrack-Deadline-Ms: 1500\r\n" + _more +
		       (_body.empty() ? "" : "Content-Length: " + std::to_string(_body.size()) + "\r\n") + "\r\n" +
		       _body;
	}

	/// Sends a request on a new connection.
	/// @returns The response.
	caller_response ask(const std::string& _bytes)
	{
		raw_caller caller = call();
		caller.send(_bytes);
		return caller.receive();
	}

	int m_log_descriptor = -1; ///< To be set before setUp() where a test reads the log.
	/// To be set before setUp() where a test needs another admission.
	admission_factory m_make_admission = make_admission_factory(admission_kind::arrival);
	std::unique_ptr<asio::io_context> m_context;
	clock_suspended m_clock;
	fleet_view_single_node m_fleet;
	scripted_quotas m_quotas;
	scripted_rollouts m_rollouts;
	scripted_limits m_limits;
	scripted_crashes m_crashes;
	std::unique_ptr<backend_registry> m_registry;
	std::unique_ptr<entry_log> m_log;
	metrics m_metrics;
	direct_paths m_paths;
	std::unique_ptr<exchange_maker> m_exchanges;
	std::unique_ptr<forwarder> m_forwarder;
	std::unique_ptr<http_listener> m_listener;
	std::vector<std::unique_ptr<scripted_backend>> m_backends;

private:
	std::vector<std::unique_ptr<raw_caller>> m_kept_callers;
};
} // namespace larkrack
