// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// A request that crashes each backend server that runs it, and arrives again and again at any node, each
/// time with another request id. Runs nine nodes and eight backend servers on real sockets.

#include "node_group_fixture.h"

#include <set>

namespace larkrack
{
namespace
{
using ms = std::chrono::milliseconds;

constexpr ms k_work{20};              ///< From the start of a request to its response or to the crash.
constexpr ms k_down{400};             ///< From the crash of a backend server to the start of its successor.
constexpr ms k_crashing_interval{90}; ///< Between two arrivals of the crashing request.
constexpr ms k_request_interval{15};  ///< Between two requests of any kind.
constexpr ms k_max_propagation{500};  ///< From the third crash until all nodes are to block the request.
constexpr ms k_duration{4000};
constexpr std::size_t k_servers = 8;
constexpr std::size_t k_crashes = 3;        ///< After which the request is to be blocked.
constexpr std::size_t k_max_late_sends = 3; ///< Later than k_max_propagation after the third crash.
const std::string k_crashing_path = "/read/ends";

/// Backend server that crashes when it runs a certain request, which breaks all its connections, and
/// restarts.
class crashing_server : public std::enable_shared_from_this<crashing_server>
{
public:
	crashing_server(
	    asio::io_context& _context, std::size_t _place, std::function<void(crashing_server&)> _on_start)
	    : m_context(_context), m_place(_place), m_on_start(std::move(_on_start)), m_timer(_context)
	{
	}
	void start()
	{
		m_acceptor =
		    std::make_unique<tcp::acceptor>(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
		++m_incarnation;
		accept();
		m_on_start(*this);
	}
	backend_id id() const
	{
		return backend_id("b" + std::to_string(m_place) + "." + std::to_string(m_incarnation));
	}
	/// @returns The id of the previous incarnation.
	backend_id former_id() const
	{
		return backend_id("b" + std::to_string(m_place) + "." + std::to_string(m_incarnation - 1));
	}
	tcp::endpoint address() const
	{
		return m_acceptor->local_endpoint();
	}

	std::vector<steady_time> crashing_arrivals;
	std::vector<steady_time> crashes;

private:
	struct session
	{
		explicit session(tcp::socket _socket) : socket(std::move(_socket)), timer(socket.get_executor())
		{
		}
		tcp::socket socket;
		asio::steady_timer timer;
		beast::flat_buffer buffer;
		http::request<http::string_body> request;
		std::string answer;
	};
	using session_ptr = std::shared_ptr<session>;

	void accept()
	{
		m_acceptor->async_accept(
		    [self = shared_from_this()](beast::error_code _error, tcp::socket _socket)
		    {
			    if (_error)
			    {
				    return;
			    }
			    const auto accepted = std::make_shared<session>(std::move(_socket));
			    self->m_sessions.insert(accepted);
			    self->read(accepted);
			    self->accept();
		    });
	}
	void read(const session_ptr& _session)
	{
		_session->request = {};
		http::async_read(_session->socket, _session->buffer, _session->request,
		    [self = shared_from_this(), _session](beast::error_code _error, std::size_t)
		    {
			    if (_error)
			    {
				    self->m_sessions.erase(_session);
				    return;
			    }
			    self->run(_session);
		    });
	}
	void run(const session_ptr& _session)
	{
		const bool crashing = k_crashing_path == _session->request.target();
		if (crashing)
		{
			crashing_arrivals.push_back(clock_system().steady());
		}
		_session->timer.expires_after(k_work);
		_session->timer.async_wait(
		    [self = shared_from_this(), _session, crashing](beast::error_code _error)
		    {
			    if (_error || !_session->socket.is_open())
			    {
				    return;
			    }
			    crashing ? self->crash() : self->answer(_session);
		    });
	}
	void answer(const session_ptr& _session)
	{
		_session->answer = scripted_backend::answer("fine");
		_session->answer.replace(
		    _session->answer.find("{id}"), 4, std::string(_session->request["Larkrack-Request-Id"]));
		asio::async_write(_session->socket, asio::buffer(_session->answer),
		    [self = shared_from_this(), _session](beast::error_code, std::size_t)
		    {
			    self->read(_session);
		    });
	}
	void crash()
	{
		crashes.push_back(clock_system().steady());
		m_acceptor->close();
		for (const session_ptr& open_session : std::exchange(m_sessions, {}))
		{
			beast::error_code ignored;
			open_session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
			open_session->socket.close(ignored);
			open_session->timer.cancel();
		}
		m_timer.expires_after(k_down);
		m_timer.async_wait(
		    [self = shared_from_this()](beast::error_code _error)
		    {
			    if (!_error)
			    {
				    self->start();
			    }
		    });
	}

	asio::io_context& m_context;
	std::size_t m_place;
	std::function<void(crashing_server&)> m_on_start;
	asio::steady_timer m_timer;
	std::unique_ptr<tcp::acceptor> m_acceptor;
	std::set<session_ptr> m_sessions;
	int m_incarnation = 0;
};

/// Nine nodes, and backend servers that a certain request crashes.
class crashing_request_model
{
public:
	crashing_request_model()
	{
		const auto on_start = [this](crashing_server& _server)
		{
			for (std::size_t i = 0; m_nodes && i < k_group_nodes; ++i)
			{
				m_nodes->at(i).registry().remove(_server.former_id(), m_clock.steady());
				m_nodes->at(i).registry().put(
				    record_at(_server.id().text, _server.address()), m_clock.steady());
			}
		};
		std::vector<backend_record> records;
		for (std::size_t i = 0; i < k_servers; ++i)
		{
			m_servers.push_back(std::make_shared<crashing_server>(m_context, i, on_start));
			m_servers.back()->start();
			records.push_back(record_at(m_servers.back()->id().text, m_servers.back()->address()));
		}
		m_nodes = std::make_unique<node_group>(m_context, m_clock, records);
	}
	~crashing_request_model()
	{
		m_context.stop();
	}
	crashing_request_model(const crashing_request_model&) = delete;
	crashing_request_model& operator=(const crashing_request_model&) = delete;

	/// Sends other requests continuously, and the crashing request to a different node each time.
	void run()
	{
		const steady_time until = m_clock.steady() + k_duration;
		steady_time crashing_at = m_clock.steady() + k_crashing_interval;
		while (m_clock.steady() < until)
		{
			const bool crashing = m_clock.steady() >= crashing_at;
			crashing_at += crashing ? k_crashing_interval : ms(0);
			send(crashing ? k_crashing_path : "/read/" + std::to_string(m_sent % 50));
			m_context.run_for(k_request_interval);
			m_nodes->at(m_sent % k_group_nodes).tick();
		}
	}
	std::size_t crashes() const
	{
		return all(&crashing_server::crashes).size();
	}
	/// @returns Number of crashing requests that reached a backend server when all nodes had to block them.
	std::size_t late_sends() const
	{
		const std::vector<steady_time> crash_times = all(&crashing_server::crashes);
		const std::vector<steady_time> arrivals = all(&crashing_server::crashing_arrivals);
		const steady_time known = crash_times.at(k_crashes - 1) + k_max_propagation;
		return static_cast<std::size_t>(
		    arrivals.end() - std::upper_bound(arrivals.begin(), arrivals.end(), known));
	}

private:
	static backend_record record_at(const std::string& _id, const tcp::endpoint& _address)
	{
		backend_record record;
		record.id = backend_id(_id);
		record.service = service_name("shop");
		record.domain = domain_name("east-a");
		record.slots = 9;
		record.address = _address;
		return record;
	}
	std::vector<steady_time> all(std::vector<steady_time> crashing_server::*_times) const
	{
		std::vector<steady_time> times;
		for (const auto& server : m_servers)
		{
			times.insert(times.end(), ((*server).*_times).begin(), ((*server).*_times).end());
		}
		std::sort(times.begin(), times.end());
		return times;
	}
	void send(const std::string& _path)
	{
		const std::string id = "r" + std::to_string(++m_sent);
		m_callers.emplace_back(m_context, m_nodes->at(m_sent % k_group_nodes).address());
		m_callers.back().send("GET " + _path + " HTTP/1.1\r\nHost: shop.example\r\nLarkrack-Request-Id: " +
		                      id + "\r\nLarkrack-Deadline-Ms: 1500\r\n\r\n");
	}

	asio::io_context m_context{1};
	clock_system m_clock;
	std::vector<std::shared_ptr<crashing_server>> m_servers;
	std::unique_ptr<node_group> m_nodes;
	std::deque<raw_caller> m_callers;
	std::size_t m_sent = 0;
};
} // namespace

class crashing_request_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(crashing_request_test);
	CPPUNIT_TEST(request_that_crashed_three_servers_is_sent_at_most_three_times_more);
	CPPUNIT_TEST_SUITE_END();

protected:
	/// Guards against a crashing request that no node remembers beyond the lifetime of a single request id.
	void request_that_crashed_three_servers_is_sent_at_most_three_times_more()
	{
		crashing_request_model model;
		model.run();
		CPPUNIT_ASSERT(model.crashes() >= k_crashes);
		const std::string seen = std::to_string(model.late_sends()) +
		                         " sends after the third crash was known, " +
		                         std::to_string(model.crashes()) + " servers ended";
		CPPUNIT_ASSERT_MESSAGE(seen, model.late_sends() <= k_max_late_sends);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_test);
} // namespace larkrack
