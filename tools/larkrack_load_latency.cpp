// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What an entry VM adds: latency beside the same requests sent straight to a backend server, and requests a
/// second beside a bare Beast server, in one run.

#include "larkrack_load_p.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace larkrack
{
namespace
{
constexpr int k_latency_rounds = 4000;
constexpr int k_warm_rounds = 300;
constexpr int k_clients = 16;
constexpr std::chrono::seconds k_throughput_time{3};

/// A blocking connection with one request that is sent again and again.
class steady_client
{
public:
	steady_client(const endpoint& _where, const std::string& _target) : m_stream(m_context)
	{
		m_stream.connect(tcp::endpoint(asio::ip::make_address(_where.host), _where.port));
		m_stream.socket().set_option(tcp::no_delay(true));
		m_request = make_request(http::verb::get, _target, _where);
		m_request.set(k_header_caller, "10.1.0.1");
	}
	/// @returns Whether the answer was 200.
	bool exchange()
	{
		http::write(m_stream, m_request);
		http_response response;
		http::read(m_stream, m_buffer, response);
		return http::status::ok == response.result();
	}

private:
	asio::io_context m_context;
	beast::tcp_stream m_stream;
	beast::flat_buffer m_buffer;
	http_request m_request;
};

/// The least that a Beast server can do: one thread, callbacks, a fixed answer.
class bare_server
{
public:
	bare_server() : m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
	{
		accept();
		m_thread = std::thread(
		    [this]
		    {
			    m_context.run();
		    });
	}
	~bare_server()
	{
		m_context.stop();
		m_thread.join();
	}
	bare_server(const bare_server&) = delete;
	bare_server& operator=(const bare_server&) = delete;
	endpoint where() const
	{
		return {"127.0.0.1", m_acceptor.local_endpoint().port()};
	}

private:
	struct session : std::enable_shared_from_this<session>
	{
		explicit session(tcp::socket _socket) : stream(std::move(_socket))
		{
		}
		void read()
		{
			request = {};
			http::async_read(stream, buffer, request,
			    [self = shared_from_this()](const beast::error_code& _failure, std::size_t)
			    {
				    if (!_failure)
				    {
					    self->write();
				    }
			    });
		}
		void write()
		{
			response = http_response(http::status::ok, 11);
			response.set(http::field::content_type, "application/octet-stream");
			response.body() = std::string(200, 'x');
			response.prepare_payload();
			http::async_write(stream, response,
			    [self = shared_from_this()](const beast::error_code& _failure, std::size_t)
			    {
				    if (!_failure)
				    {
					    self->read();
				    }
			    });
		}
		beast::tcp_stream stream;
		beast::flat_buffer buffer;
		http_request request;
		http_response response;
	};
	void accept()
	{
		m_acceptor.async_accept(
		    [this](const boost::system::error_code& _failure, tcp::socket _socket)
		    {
			    if (!_failure)
			    {
				    _socket.set_option(tcp::no_delay(true));
				    std::make_shared<session>(std::move(_socket))->read();
				    accept();
			    }
		    });
	}
	asio::io_context m_context{1};
	tcp::acceptor m_acceptor;
	std::thread m_thread;
};

double microseconds_of(steady_client& _client)
{
	const auto began = std::chrono::steady_clock::now();
	_client.exchange();
	return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count();
}

double at_part(std::vector<double>& _values, double _part)
{
	std::sort(_values.begin(), _values.end());
	return _values[static_cast<std::size_t>(_part * static_cast<double>(_values.size() - 1))];
}

/// Requests a second of several clients that each send one after the other.
double pace_of(const endpoint& _where, const std::string& _target)
{
	std::atomic<std::uint64_t> good{0};
	std::vector<std::thread> threads;
	threads.reserve(k_clients);
	const auto end = std::chrono::steady_clock::now() + k_throughput_time;
	for (int number = 0; number < k_clients; ++number)
	{
		threads.emplace_back(
		    [&]
		    {
			    steady_client client(_where, _target);
			    while (std::chrono::steady_clock::now() < end)
			    {
				    good += client.exchange() ? 1 : 0;
			    }
		    });
	}
	for (std::thread& one : threads)
	{
		one.join();
	}
	return static_cast<double>(good.load()) / static_cast<double>(k_throughput_time.count());
}
} // namespace

nlohmann::json measure_latency(
    const endpoint& _entry_vm, const endpoint& _backend, const std::string& _service)
{
	const std::string target = "/" + _service + "/page?work_us=0&bytes=200&object=x";
	steady_client direct(_backend, target);
	steady_client through(_entry_vm, target);
	std::vector<double> direct_us;
	std::vector<double> through_us;
	for (int round = 0; round < k_warm_rounds + k_latency_rounds; ++round)
	{
		const double one = microseconds_of(direct);
		const double two = microseconds_of(through);
		if (k_warm_rounds <= round)
		{
			direct_us.push_back(one);
			through_us.push_back(two);
		}
	}
	const bare_server bare;
	const double bare_pace = pace_of(bare.where(), target);
	const double carried_pace = pace_of(_entry_vm, target);
	const double lookup_pace = pace_of(_entry_vm, "/.larkrack/lookup?service=" + _service);
	const double direct_pace = pace_of(_backend, target);
	return {{"direct_p50_ms", at_part(direct_us, 0.5) / 1000},
	    {"direct_p99_ms", at_part(direct_us, 0.99) / 1000},
	    {"through_p50_ms", at_part(through_us, 0.5) / 1000},
	    {"through_p99_ms", at_part(through_us, 0.99) / 1000},
	    {"added_p50_ms", (at_part(through_us, 0.5) - at_part(direct_us, 0.5)) / 1000},
	    {"added_p99_ms", (at_part(through_us, 0.99) - at_part(direct_us, 0.99)) / 1000},
	    {"bare_rps", bare_pace}, {"carried_rps", carried_pace}, {"lookup_rps", lookup_pace},
	    {"stand_in_rps", direct_pace}, {"carried_share", carried_pace / bare_pace},
	    {"lookup_share", lookup_pace / bare_pace}};
}
} // namespace larkrack
