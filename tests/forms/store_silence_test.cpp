// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Tests of the readers of a region whose connections to the store fall silent for good while new ones work:
/// real sockets, a store behind a link for each reader, and news between the readers as by datagram.

#include "cuttable_link.h"
#include "plain_codec.h"

#include "entry_node/store_sync_p.h"
#include "testing/store_engine_p.h"

#include "store_kv_p.h"

namespace larkrack
{
/// The platform's store over HTTP, as far as a reader needs it.
class store_over_http
{
public:
	explicit store_over_http(asio::io_context& _context)
	    : m_context(_context),
	      m_server(_context,
	          [this](http_session& _session, http_request& _request, const yield_context& _yield)
	          {
		          answer(_session, _request, _yield);
	          })
	{
		CPPUNIT_ASSERT(!m_server.listen({"127.0.0.1", 0}));
	}
	void write(const std::string& _key, const std::string& _value)
	{
		m_engine.txn({}, {{_key, _value, 0}});
	}
	tcp::endpoint address() const
	{
		return {asio::ip::make_address("127.0.0.1"), m_server.port()};
	}

	bool over = false;
	std::size_t calls = 0;

private:
	static nlohmann::json item(const store_value& _value)
	{
		return {{"Key", _value.key}, {"Value", to_base64(_value.value)}, {"Revision", _value.mod_revision},
		    {"lease", 0}};
	}
	void answer(http_session& _session, const http_request& _request, const yield_context& _yield)
	{
		++calls;
		const std::string target(_request.target());
		nlohmann::json body = {{"items", nlohmann::json::array()}, {"events", nlohmann::json::array()}};
		if ("/kv-watch" == path_of(target))
		{
			wait_for_changes(target, body, _yield);
		}
		else
		{
			const bool one = "/kv-key" == path_of(target);
			for (const store_value& value :
			    m_engine.range(query_value(target, one ? "Key" : "PathPrefix"), !one))
			{
				body["items"].push_back(item(value));
				body.update(item(value));
			}
			body["at"] = m_engine.revision();
		}
		http_response response = make_json(http::status::ok, body.dump());
		_session.send(response, _yield);
	}
	void wait_for_changes(const std::string& _target, nlohmann::json& _body, const yield_context& _yield)
	{
		const std::int64_t after = std::stoll(query_value(_target, "after"));
		const auto end = std::chrono::steady_clock::now() +
		                 std::chrono::milliseconds(std::stoi(query_value(_target, "WaitMs")));
		while (!over && m_engine.revision() <= after && std::chrono::steady_clock::now() < end)
		{
			sleep_for(m_context.get_executor(), std::chrono::milliseconds(2), _yield);
		}
		for (const watch_batch& batch : m_engine.changes("", after + 1))
		{
			for (const store_value& value : batch.puts)
			{
				_body["events"].push_back(item(value));
			}
		}
		_body["at"] = std::max(after, m_engine.revision());
	}

	asio::io_context& m_context;
	store_engine m_engine;
	http_server m_server;
};

/// One reader of the region, with its own link to the store.
class linked_reader : private fleet_coordination_base
{
public:
	/// @param[in] _rank Of this reader among all _readers of the region.
	/// @param[in] _told Is given each batch of changes, for the other readers.
	linked_reader(asio::io_context& _context, const clock_base& _clock, const store_over_http& _store,
	    std::size_t _rank, std::size_t _readers, std::function<void(const store_changes&)> _told)
	    : link(_context, "127.0.0.1", _store.address()), m_rank(_rank), m_readers(_readers),
	      m_told(std::move(_told)), m_client(_context, endpoint{"127.0.0.1", link.address().port()}),
	      replica(
	          _clock, m_codec, m_registry, m_log,
	          [this](const std::shared_ptr<const routing_table>& _routes)
	          {
		          version = _routes->version();
	          },
	          [](const std::string&)
	          {
	          }),
	      sync(_context, _clock, m_client, replica, m_codec, *this, m_log, change_bounds(),
	          "n" + std::to_string(_rank), "10.0.0.1")
	{
		sync.begin();
	}

	cuttable_link link;
	std::uint64_t version = 0; ///< Of the configuration in force.

private:
	reader_decision reader() const override
	{
		return {true, reader_reason::ranks_first, m_rank, m_readers};
	}
	copy_step next_copy_step() override
	{
		return copy_step::from_store;
	}
	bool should_register() const override
	{
		return false;
	}
	std::optional<steady_time> peers_store_response_at() const override
	{
		return std::nullopt;
	}
	void on_initial_read() override
	{
	}
	void on_store_changes(const store_changes& _changes) override
	{
		m_told(_changes);
	}

	std::size_t m_rank;
	std::size_t m_readers;
	std::function<void(const store_changes&)> m_told;
	plain_codec m_codec;
	entry_log m_log{"test", -1};
	backend_registry m_registry{std::unordered_map<std::string, std::string>{{"east-a", "east"}}};
	store_kv m_client;

public:
	state_replica replica;
	store_sync sync;
};

class store_silence_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(store_silence_test);
	CPPUNIT_TEST(region_whose_connections_fall_silent_together_has_a_change_in_time);
	CPPUNIT_TEST(region_whose_connections_fall_silent_in_one_direction_has_a_change_in_time);
	CPPUNIT_TEST(region_of_one_reader_whose_connection_falls_silent_has_a_change_in_time);
	CPPUNIT_TEST(store_that_was_silent_as_watches_began_and_is_back_is_heard_in_time);
	CPPUNIT_TEST_SUITE_END();

public:
	void setUp() override
	{
		m_context = std::make_unique<asio::io_context>(1);
		m_store = std::make_unique<store_over_http>(*m_context);
		m_store->write("routes", "1");
	}
	void tearDown() override
	{
		m_store->over = true;
		for (const auto& reader : m_readers)
		{
			reader->sync.end();
		}
		m_context->run_for(std::chrono::milliseconds(50));
		m_context->stop();
		m_readers.clear();
		m_store.reset();
		m_context.reset(); // Ends the coroutines that still wait.
	}

protected:
	using ms = std::chrono::milliseconds;
	/// The aim, at bounds of 2.0 s and of 2.5 s.
	static constexpr ms k_max_age{1500};
	static constexpr ms k_time_to_watch{1300}; ///< From the start.
	static constexpr ms k_after_change{300};   ///< Watches wait again.

	void start_readers(std::size_t _count)
	{
		for (std::size_t rank = 0; rank < _count; ++rank)
		{
			m_readers.push_back(std::make_unique<linked_reader>(*m_context, m_clock, *m_store, rank, _count,
			    [this](const store_changes& _changes)
			    {
				    for (const auto& reader : m_readers)
				    {
					    reader->replica.apply(_changes);
				    }
			    }));
		}
		m_context->run_for(k_time_to_watch);
		change_and_expect("2", ms(300));
		m_context->run_for(k_after_change);
	}
	/// Writes a configuration and expects it at all readers in time.
	void change_and_expect(const std::string& _version, ms _max_age)
	{
		m_store->write("routes", _version);
		const auto begin = std::chrono::steady_clock::now();
		const auto known = [&]
		{
			return std::all_of(m_readers.begin(), m_readers.end(),
			    [&](const auto& _reader)
			    {
				    return std::to_string(_reader->version) == _version;
			    });
		};
		while (!known() && std::chrono::steady_clock::now() - begin < ms(5000))
		{
			m_context->run_for(ms(5));
		}
		const auto age = std::chrono::duration_cast<ms>(std::chrono::steady_clock::now() - begin);
		CPPUNIT_ASSERT_MESSAGE("in force after " + std::to_string(age.count()) + " ms", age <= _max_age);
	}

	/// Guards against readers that take silence for a store in which nothing changes, all for the same time:
	/// a change had answered all their watches, so that these began again together.
	void region_whose_connections_fall_silent_together_has_a_change_in_time()
	{
		start_readers(3);
		for (const auto& reader : m_readers)
		{
			reader->link.silence_open();
		}
		change_and_expect("3", k_max_age);
	}

	/// Guards against the same where only responses, or only requests, are lost.
	void region_whose_connections_fall_silent_in_one_direction_has_a_change_in_time()
	{
		start_readers(3);
		for (const auto& reader : m_readers)
		{
			reader->link.silence_open(false, true);
		}
		change_and_expect("3", k_max_age);
		m_context->run_for(k_after_change);
		for (const auto& reader : m_readers)
		{
			reader->link.silence_open(true, false);
		}
		m_context->run_for(k_after_change);
		change_and_expect("4", k_max_age);
	}

	/// Guards against the same where no other reader can hear the store first.
	void region_of_one_reader_whose_connection_falls_silent_has_a_change_in_time()
	{
		start_readers(1);
		m_readers.front()->link.silence_open();
		change_and_expect("3", k_max_age);
	}

	/// Guards against watches that were sent to a silent store and wait on when it is back, since what was
	/// lost is not answered any more.
	void store_that_was_silent_as_watches_began_and_is_back_is_heard_in_time()
	{
		start_readers(3);
		for (const auto& reader : m_readers)
		{
			reader->link.cut(path_cut::resets);
			reader->link.cut(path_cut::none);
			reader->link.silence_new(true);
		}
		m_context->run_for(ms(300));
		for (const auto& reader : m_readers)
		{
			reader->link.silence_new(false);
		}
		change_and_expect("3", k_max_age);
	}

	clock_system m_clock;
	std::unique_ptr<asio::io_context> m_context;
	std::unique_ptr<store_over_http> m_store;
	std::vector<std::unique_ptr<linked_reader>> m_readers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_silence_test);
} // namespace larkrack
