// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Requests that a node without paths sends over other nodes: bodies, kinds of responses, lost answers,
/// callers that leave, foreign senders, and random cuts.

#include "partition_fixture.h"

#include <functional>
#include <set>
#include <thread>

namespace larkrack
{
class relay_requests_test : public partition_fixture
{
	CPPUNIT_TEST_SUITE(relay_requests_test);
	CPPUNIT_TEST(large_body_and_response_arrive_whole);
	CPPUNIT_TEST(response_to_head_has_length_and_no_body);
	CPPUNIT_TEST(lost_answer_of_at_most_once_request_is_unknown_and_not_sent_again);
	CPPUNIT_TEST(lost_answer_of_repeatable_request_is_sent_again);
	CPPUNIT_TEST(caller_that_leaves_ends_the_work_at_the_backend_server);
	CPPUNIT_TEST(backend_server_that_is_down_is_refused_as_not_run);
	CPPUNIT_TEST(relay_that_cannot_end_a_request_before_its_stop_refuses_it_as_not_sent);
	CPPUNIT_TEST(request_that_a_relay_has_given_up_reading_never_runs);
	CPPUNIT_TEST(request_whose_rest_came_while_the_relay_stood_still_runs_once);
	CPPUNIT_TEST(foreign_senders_and_malformed_messages_are_refused);
	CPPUNIT_TEST(service_that_is_down_is_refused_at_once);
	CPPUNIT_TEST(random_cuts_run_no_request_twice_and_mix_no_responses);
	CPPUNIT_TEST_SUITE_END();

protected:
	void large_body_and_response_arrive_whole()
	{
		cut_off_first_node();
		const std::string body(60000, 'u');
		const std::string large(3000000, 'd');
		set_answers(scripted_backend::answer(large));
		const caller_response response = ask("POST", "/pay/1", "large", body);
		CPPUNIT_ASSERT_EQUAL(200U, response.result_int());
		CPPUNIT_ASSERT(large == response.body());
		CPPUNIT_ASSERT(std::string::npos != requests_with("large").front().find("\r\n\r\n" + body));
	}
	void response_to_head_has_length_and_no_body()
	{
		cut_off_first_node();
		set_answers("HTTP/1.1 200 X\r\nLarkrack-Request-Id: {id}\r\nLarkrack-Signature: s\r\n"
		            "Content-Length: 12\r\n\r\n");
		const caller_response response = ask("HEAD", "/read/1", "head", "");
		CPPUNIT_ASSERT_EQUAL(200U, response.result_int());
		CPPUNIT_ASSERT(response[http::field::content_length] == "12");
	}
	/// Guards against a request that runs twice because its first run was over a relay.
	void lost_answer_of_at_most_once_request_is_unknown_and_not_sent_again()
	{
		cut_off_first_node();
		set_answers("", true);
		CPPUNIT_ASSERT_EQUAL(502U, ask("POST", "/pay/1", "lost", "x").result_int());
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_with("lost").size());
	}
	void lost_answer_of_repeatable_request_is_sent_again()
	{
		cut_off_first_node();
		for (scripted_backend& server : m_servers)
		{
			server.script.push_back({"", false, true, false});
		}
		ask("GET", "/read/1", "again", "");
		CPPUNIT_ASSERT(requests_with("again").size() > 1);
	}
	void caller_that_leaves_ends_the_work_at_the_backend_server()
	{
		cut_off_first_node();
		for (scripted_backend& server : m_servers)
		{
			server.usual.hold = true;
		}
		raw_caller caller(*m_context, m_nodes->at(0).address());
		caller.send(request_text("GET", "/read/1", "left", ""));
		run_for(ms(300));
		CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_with("left").size());
		const int before = closed_connections();
		caller.close();
		run_for(ms(200));
		CPPUNIT_ASSERT_EQUAL(before + 1, closed_connections());
	}
	/// Guards against a relay whose word about a dead backend server is taken for a broken relay.
	void backend_server_that_is_down_is_refused_as_not_run()
	{
		cut_off_first_node();
		for (std::size_t node = 1; node < k_group_nodes; ++node)
		{
			cut_node(node, path_cut::resets);
		}
		run_for(ms(1500));
		const caller_response response = ask("POST", "/pay/1", "down", "x");
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT(requests_with("down").empty());
	}
	/// Guards against a request that is cut at a relay whose planned stop the sending node does not know of.
	void relay_that_cannot_end_a_request_before_its_stop_refuses_it_as_not_sent()
	{
		cut_off_first_node();
		begin_stop_of_relays(ms(10000));
		CPPUNIT_ASSERT_EQUAL(200U, ask("POST", "/pay/1", "in time", "x").result_int());
		begin_stop_of_relays(ms(1000));
		CPPUNIT_ASSERT_EQUAL(503U, ask("POST", "/pay/1", "too late", "x").result_int());
		CPPUNIT_ASSERT(requests_with("too late").empty());
	}
	/// Begins a stop of all nodes but the first one.
	void begin_stop_of_relays(ms _grace)
	{
		for (std::size_t node = 1; node < k_group_nodes; ++node)
		{
			m_nodes->at(node).begin_stop({m_clock.steady(), _grace});
		}
	}
	/// Sends the bytes of a request to the relay in two parts.
	/// @param[in] _rest Bytes of the second part, half of the body of the request.
	/// @param[in] _between Called after the first part.
	/// @returns The status of the answer.
	std::string send_in_two_parts(
	    const std::string& _id, std::size_t _rest, const std::function<void()>& _between)
	{
		const std::string text = request_text("POST", "/pay/1", _id, std::string(2 * _rest, 'b'));
		const std::string field = "Larkrack-Deadline-Ms: ";
		upstream_request request;
		request.before = text.substr(0, text.find(field) + field.size());
		request.after = text.substr(text.find("\r\n", text.find(field)));
		request.request_id = _id;
		request.time_left = ms(1500);
		request.at_most_once = true;
		const std::string body = encode(relay_request{backend_id("b0"), 0, request});
		const std::string bytes =
		    "POST /relay HTTP/1.1\r\nHost: n\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
		    body;
		tcp::socket socket(*m_context);
		socket.open(tcp::v4());
		socket.bind({asio::ip::make_address(peer_address_of(2)), 0});
		socket.connect({asio::ip::make_address(peer_address_of(1)), m_nodes->at(1).peer_port()});
		socket.set_option(tcp::no_delay(true));
		asio::write(socket, asio::buffer(bytes.substr(0, bytes.size() - _rest)));
		run_for(ms(10));
		_between();
		asio::write(socket, asio::buffer(bytes.substr(bytes.size() - _rest)));
		run_for(ms(100));
		std::string answer(12, '\0');
		asio::read(socket, asio::buffer(answer));
		return answer.substr(9);
	}
	/// Guards against an order that runs after its relay has answered 408, so that it runs twice.
	void request_that_a_relay_has_given_up_reading_never_runs()
	{
		m_nodes->at(1).set_peer_timeouts(ms(20));
		const std::string status = send_in_two_parts("given-up", 10,
		    [this]
		    {
			    run_for(ms(60));
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("408"), status);
		CPPUNIT_ASSERT(requests_with("given-up").empty());
	}
	void request_whose_rest_came_while_the_relay_stood_still_runs_once()
	{
		m_nodes->at(1).set_peer_timeouts(ms(20));
		const std::string status = send_in_two_parts("stood-still", 100000,
		    []
		    {
			    std::this_thread::sleep_for(ms(60)); // The event loop does not run.
		    });
		CPPUNIT_ASSERT_EQUAL(std::string("200"), status);
		CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests_with("stood-still").size());
	}
	void foreign_senders_and_malformed_messages_are_refused()
	{
		const auto answer_of = [this](const std::string& _own_ip, const std::string& _body)
		{
			tcp::socket socket(*m_context);
			socket.open(tcp::v4());
			socket.bind({asio::ip::make_address(_own_ip), 0});
			socket.connect({asio::ip::make_address(peer_address_of(1)), m_nodes->at(1).peer_port()});
			const std::string bytes = "POST /relay HTTP/1.1\r\nHost: n\r\nLarkrack-Request-Id: named\r\n"
			                          "Larkrack-Attempt: 7\r\nContent-Length: " +
			                          std::to_string(_body.size()) + "\r\n\r\n" + _body;
			asio::write(socket, asio::buffer(bytes));
			run_for(ms(100));
			std::string answer(socket.available(), '\0');
			asio::read(socket, asio::buffer(answer));
			return answer;
		};
		for (const auto& [sender, body, status] :
		    std::vector<std::tuple<std::string, std::string, std::string>>{{"127.0.9.9", "x", "403"},
		        {peer_address_of(2), "x", "400"}, {peer_address_of(2), encode_path_query({}), "400"}})
		{
			const std::string answer = answer_of(sender, body);
			CPPUNIT_ASSERT_EQUAL(status, answer.substr(9, 3));
			// A refusal names the attempt, so that it is not taken for that of another one.
			CPPUNIT_ASSERT(std::string::npos != answer.find("Larkrack-Request-Id: named\r\n"));
			CPPUNIT_ASSERT(std::string::npos != answer.find("Larkrack-Attempt: 7\r\n"));
		}
	}
	/// Guards against requests that wait although no backend server can serve them.
	void service_that_is_down_is_refused_at_once()
	{
		constexpr ms k_max_refusal_time{10};
		for (std::size_t node = 0; node < k_group_nodes; ++node)
		{
			cut_node(node, path_cut::resets);
		}
		for (int i = 0; i < 10; ++i)
		{
			ask("GET", "/read/1", "warm-up", "");
			run_for(ms(150));
		}
		const steady_time before = m_clock.steady();
		const caller_response response = ask("GET", "/read/1", "refused", "");
		const steady_time::duration taken = m_clock.steady() - before;
		CPPUNIT_ASSERT_EQUAL(503U, response.result_int());
		CPPUNIT_ASSERT_MESSAGE(std::to_string(to_ms(taken).count()) + " ms", taken <= k_max_refusal_time);
	}
	/// Guards against two runs of a request, and a response that belongs to another one, under cuts at
	/// random.
	void random_cuts_run_no_request_twice_and_mix_no_responses()
	{
		static constexpr path_cut s_kinds[] = {path_cut::none, path_cut::none, path_cut::resets,
		    path_cut::silence, path_cut::new_refused, path_cut::response_silence};
		std::minstd_rand random(random_seed());
		for (int step = 0; step < 25; ++step)
		{
			cut_node(random() % k_group_nodes, s_kinds[random() % std::size(s_kinds)]);
			run(ms(100 + random() % 200), 0, true);
		}
		for (std::size_t node = 0; node < k_group_nodes; ++node)
		{
			cut_node(node, path_cut::none);
		}
		settle();
		std::map<std::string, int> runs;
		for (const scripted_backend& server : m_servers)
		{
			for (const std::string& text : server.requests)
			{
				++runs[id_of(text)];
			}
		}
		int served = 0;
		for (const single_request& request : m_requests)
		{
			const unsigned status = request.done ? request.response.result_int() : 0;
			served += 200 == status ? 1 : 0;
			CPPUNIT_ASSERT(200 != status || request.response["Larkrack-Request-Id"] == request.id);
			CPPUNIT_ASSERT_MESSAGE(request.id, !request.at_most_once || runs[request.id] <= 1);
			CPPUNIT_ASSERT_MESSAGE(request.id + " was refused and ran",
			    503 != status || !request.at_most_once || 0 == runs[request.id]);
		}
		CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " + std::to_string(m_requests.size()),
		    served > 0.8 * static_cast<double>(m_requests.size()));
	}

	/// Cuts the first node off, and waits until it uses relays.
	void cut_off_first_node()
	{
		cut_node(0, path_cut::resets);
		ask("GET", "/read/1", "first", "");
		run_for(ms(300));
	}
	void set_answers(const std::string& _bytes, bool _reset = false)
	{
		for (scripted_backend& server : m_servers)
		{
			server.usual = {_bytes, false, _reset, false};
		}
	}
	caller_response ask(const std::string& _method, const std::string& _path, const std::string& _id,
	    const std::string& _body)
	{
		raw_caller caller(*m_context, m_nodes->at(0).address());
		caller.send(request_text(_method, _path, _id, _body));
		return caller.receive("HEAD" == _method);
	}
	static std::string id_of(const std::string& _request)
	{
		static const std::string s_name = "Larkrack-Request-Id: ";
		const std::size_t at = _request.find(s_name) + s_name.size();
		return _request.substr(at, _request.find('\r', at) - at);
	}
	std::vector<std::string> requests_with(const std::string& _id) const
	{
		std::vector<std::string> found;
		for (const scripted_backend& server : m_servers)
		{
			for (const std::string& text : server.requests)
			{
				if (id_of(text) == _id)
				{
					found.push_back(text);
				}
			}
		}
		return found;
	}
	int closed_connections() const
	{
		int closed = 0;
		for (const scripted_backend& server : m_servers)
		{
			closed += server.closed_by_peer;
		}
		return closed;
	}
	/// @returns The seed of LARKRACK_SEED, so that many can be tried by hand.
	static unsigned random_seed()
	{
		const char* text = std::getenv("LARKRACK_SEED");
		return nullptr == text ? 20261203U : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_requests_test);
} // namespace larkrack
