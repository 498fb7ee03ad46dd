// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Which attempt a verdict is about: the rules for answers, connections and relays, alone and together in
/// random orders of events.

#include "fixtures.h"

#include "steering/answer_verdict_p.h"
#include "steering/rejected_requests_p.h"
#include "steering/relay_verdict_p.h"

#include <deque>
#include <random>

namespace larkrack
{
namespace
{
constexpr steady_time k_now{std::chrono::seconds(1000)};
constexpr std::chrono::seconds k_time_left{4};
const std::string k_id = "order"; // NOLINT(cert-err58-cpp): a short string.

/// Rules that a model leaves out, to show that it needs them.
struct left_out
{
	bool rejections = false;  ///< Connections carry several attempts for a request.
	bool relay_names = false; ///< Refusals of relays are believed by their status.
};

/// One request that must not run twice and its attempts, over kept connections to two backend servers and two
/// relays that repeat what they have said.
class attempt_model
{
public:
	attempt_model(unsigned _seed, const left_out& _without)
	    : m_without(_without), m_random(_seed), m_links(2 * k_servers * k_links)
	{
	}
	/// @returns Whether a promise was broken: an attempt that was taken for not run has run, or runs later.
	bool breaks_a_promise()
	{
		for (int i = 0; i < k_events; ++i)
		{
			step();
		}
		for (attempt& one : m_attempts)
		{
			m_broken = m_broken || (one.refused && one.ran);
		}
		return m_broken;
	}

private:
	static constexpr std::size_t k_servers = 2;
	static constexpr std::size_t k_links = 2; ///< To each server, direct and over a relay.
	static constexpr int k_events = 60;

	/// What a server or relay says about an attempt; a surplus one says it again.
	struct message
	{
		bool rejection = false;
		bool of_relay = false; ///< A refusal of the relay itself.
		unsigned attempt = 0;  ///< That it names; 0: none.
	};
	/// A connection, direct or to a relay.
	struct link
	{
		bool by_relay = false;
		bool used = false;
		rejected_requests rejections;
		std::deque<message> coming;
		std::optional<message> last; ///< May be said again.
	};
	struct attempt
	{
		std::size_t at = 0; ///< Index of its link.
		bool on_kept_connection = false;
		bool waiting = true; ///< At the server, which has not decided.
		bool ran = false;
		bool refused = false; ///< Taken for not run by the sending node.
		bool over = false;
	};

	std::size_t draw(std::size_t _count)
	{
		return std::uniform_int_distribution<std::size_t>(0, _count - 1)(m_random);
	}
	void step()
	{
		switch (draw(5))
		{
		case 0:
			send();
			break;
		case 1:
		case 2:
			decide();
			break;
		case 3:
			say_again();
			break;
		default:
			receive();
			break;
		}
	}
	void send()
	{
		const bool may_send = m_attempts.empty() || m_attempts.back().refused;
		const std::size_t at = draw(m_links.size());
		link& to = m_links[at];
		to.by_relay = at % 2 == 1;
		// A backend server behind a relay is reached over the relay's connection, which has the same rule.
		if (!may_send || (!m_without.rejections && !to.rejections.permits(k_id)))
		{
			return;
		}
		m_attempts.push_back({at, to.used});
		to.used = true;
	}
	/// The server runs or rejects the attempt, or its relay refuses it.
	void decide()
	{
		if (m_attempts.empty() || !m_attempts.back().waiting)
		{
			return;
		}
		attempt& one = m_attempts.back();
		link& by = m_links[one.at];
		one.waiting = false;
		message said{draw(3) != 0, false, static_cast<unsigned>(m_attempts.size())};
		said.of_relay = said.rejection && by.by_relay && draw(2) == 0;
		said.attempt = said.of_relay && draw(2) == 0 ? 0 : said.attempt; // A relay of an earlier version.
		one.ran = !said.rejection;
		by.coming.push_back(said);
		by.last = said;
	}
	void say_again()
	{
		link& by = m_links[draw(m_links.size())];
		if (by.last)
		{
			by.coming.push_back(*by.last);
		}
	}
	void receive()
	{
		if (m_attempts.empty() || m_attempts.back().refused || m_attempts.back().over)
		{
			return;
		}
		attempt& one = m_attempts.back();
		link& from = m_links[one.at];
		if (from.coming.empty())
		{
			return;
		}
		const message said = from.coming.front();
		from.coming.pop_front();
		if (said.of_relay)
		{
			one.refused = relay_verdict::not_sent == judge_refusal(said, one);
			one.over = true;
			return;
		}
		if (from.by_relay && said.attempt != m_attempts.size() && !m_without.relay_names)
		{
			one.over = true; // The result of a relay that names another attempt: lost.
			return;
		}
		const answer_marks marks{
		    said.rejection ? 503U : 200U, answer_id::own, said.rejection, !said.rejection, true};
		one.over = true;
		if (answer_verdict::rejected == judge_answer(marks, true, repeat_rule::at_most_once))
		{
			one.refused = true;
			from.rejections.add(k_id, k_now + k_time_left, k_now);
		}
	}
	relay_verdict judge_refusal(const message& _said, const attempt& _attempt) const
	{
		relay_marks marks;
		marks.status = 503;
		marks.on_kept_connection = _attempt.on_kept_connection && !m_without.relay_names;
		if (0 != _said.attempt && !m_without.relay_names)
		{
			marks.request = answer_id::own;
			marks.attempt = _said.attempt == m_attempts.size() ? answer_id::own : answer_id::other;
		}
		return judge_relay(marks, repeat_rule::at_most_once);
	}

	left_out m_without;
	std::mt19937 m_random;
	std::vector<link> m_links;
	std::vector<attempt> m_attempts;
	bool m_broken = false;
};

/// @returns Of 10,000 random orders of events, those in which a promise is broken.
int broken_promises(const left_out& _without)
{
	constexpr unsigned k_orders = 10000;
	int broken = 0;
	for (unsigned seed = 0; seed < k_orders; ++seed)
	{
		broken += attempt_model(seed, _without).breaks_a_promise() ? 1 : 0;
	}
	return broken;
}
} // namespace

class steering_attempt_names_test : public CppUnit::TestFixture
{
	CPPUNIT_TEST_SUITE(steering_attempt_names_test);
	CPPUNIT_TEST(connection_with_a_rejection_carries_no_further_attempt_until_the_deadline);
	CPPUNIT_TEST(connection_with_many_rejections_is_full_until_they_are_over);
	CPPUNIT_TEST(refusal_of_a_relay_is_believed_only_by_name_or_on_a_new_connection);
	CPPUNIT_TEST(refusal_of_a_relay_without_a_name_is_believed_where_requests_may_repeat);
	CPPUNIT_TEST(success_of_a_relay_without_a_result_is_no_refusal);
	CPPUNIT_TEST(attempts_in_any_order_of_events_break_no_promise);
	CPPUNIT_TEST(attempts_without_a_rule_break_promises);
	CPPUNIT_TEST_SUITE_END();

protected:
	static relay_marks refusal(answer_id _request, answer_id _attempt, bool _kept)
	{
		relay_marks marks;
		marks.status = 503;
		marks.request = _request;
		marks.attempt = _attempt;
		marks.on_kept_connection = _kept;
		return marks;
	}

	void connection_with_a_rejection_carries_no_further_attempt_until_the_deadline()
	{
		rejected_requests rejections;
		CPPUNIT_ASSERT(rejections.permits(k_id));
		rejections.add(k_id, k_now + k_time_left, k_now);
		CPPUNIT_ASSERT(!rejections.permits(k_id));
		CPPUNIT_ASSERT(rejections.permits("another"));
		rejections.add("later", k_now + 2 * k_time_left, k_now + k_time_left);
		CPPUNIT_ASSERT(rejections.permits(k_id));
	}
	void connection_with_many_rejections_is_full_until_they_are_over()
	{
		rejected_requests rejections;
		for (std::size_t i = 0; i < k_max_rejected_requests; ++i)
		{
			CPPUNIT_ASSERT(!rejections.is_full());
			rejections.add(std::to_string(i), k_now + k_time_left, k_now);
		}
		CPPUNIT_ASSERT(rejections.is_full());
		rejections.add("later", k_now + 2 * k_time_left, k_now + k_time_left);
		CPPUNIT_ASSERT(!rejections.is_full());
	}
	void refusal_of_a_relay_is_believed_only_by_name_or_on_a_new_connection()
	{
		using id = answer_id;
		for (const id request : {id::none, id::own, id::other})
		{
			for (const id attempt : {id::none, id::own, id::other})
			{
				for (const bool kept : {false, true})
				{
					const bool named = id::own == request && id::own == attempt;
					const bool other = id::other == request || id::other == attempt;
					const relay_verdict expected =
					    !other && (named || !kept) ? relay_verdict::not_sent : relay_verdict::lost;
					CPPUNIT_ASSERT(
					    expected == judge_relay(refusal(request, attempt, kept), repeat_rule::at_most_once));
				}
			}
		}
	}
	void refusal_of_a_relay_without_a_name_is_believed_where_requests_may_repeat()
	{
		const relay_marks marks = refusal(answer_id::none, answer_id::none, true);
		CPPUNIT_ASSERT(relay_verdict::not_sent == judge_relay(marks, repeat_rule::repeatable));
	}
	void success_of_a_relay_without_a_result_is_no_refusal()
	{
		relay_marks marks = refusal(answer_id::own, answer_id::own, false);
		marks.status = 200;
		CPPUNIT_ASSERT(relay_verdict::lost == judge_relay(marks, repeat_rule::at_most_once));
		marks.has_result = true;
		CPPUNIT_ASSERT(relay_verdict::result == judge_relay(marks, repeat_rule::at_most_once));
	}
	/// Guards against orders that run although a verdict about another attempt was taken for theirs.
	void attempts_in_any_order_of_events_break_no_promise()
	{
		CPPUNIT_ASSERT_EQUAL(0, broken_promises({}));
	}
	/// Guards the check itself: it sees what each rule keeps from happening.
	void attempts_without_a_rule_break_promises()
	{
		CPPUNIT_ASSERT(broken_promises({true, false}) > 0);
		CPPUNIT_ASSERT(broken_promises({false, true}) > 0);
	}
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_attempt_names_test);
} // namespace larkrack
