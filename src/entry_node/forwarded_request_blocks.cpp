// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "entry_node/forwarded_request_p.h"
#include "steering/request_times_p.h"

namespace larkrack
{
namespace
{
/// Retry-After for a blocked request, seconds. The request stays blocked until a new release or an operator
/// unblocks it, so that earlier retries are in vain.
constexpr double k_blocked_retry_after_s = 30.0;

std::string_view to_view(beast::string_view _text)
{
	return {_text.data(), _text.size()};
}
} // namespace

std::uint64_t forwarded_request::head_hash() const
{
	return request_head_hash(to_view(m_request.method_string()), to_view(m_request[http::field::host]),
	    to_view(m_request.target()));
}

const request_fingerprint& forwarded_request::fingerprint()
{
	if (!m_fingerprint)
	{
		const std::uint64_t head = head_hash();
		const std::uint64_t sender =
		    nullptr == m_customer ? m_session->address_hash() : request_sender_hash(m_customer->name.text);
		const affinity_key key = key_of_request();
		m_fingerprint =
		    request_fingerprint{head, request_content_hash(head, m_body ? *m_body : std::string()),
		        request_caller_hash(sender, key.any() ? key.hash : 0)};
	}
	return *m_fingerprint;
}

bool forwarded_request::handle_if_blocked()
{
	crash_admission_base& crashes = m_context.crashes;
	if (!crashes.has_blocked_requests() || !crashes.tracks_head(head_hash()))
	{
		return false;
	}
	switch (crashes.decide(fingerprint(), m_service))
	{
	case block_decision::open:
		return false;
	case block_decision::refuse:
		refuse_blocked();
		return true;
	case block_decision::may_request_trial:
		break;
	}
	leave_queue();
	m_state = state::initial;
	crashes.request_trial(fingerprint(), m_service,
	    [self = shared_from_this()](bool _granted)
	    {
		    self->on_trial_decided(_granted);
	    });
	return true;
}

void forwarded_request::on_trial_decided(bool _granted)
{
	if (_granted)
	{
		m_trial = trial_state::granted;
	}
	if (state::ended == m_state)
	{
		return_trial();
		return;
	}
	if (!_granted)
	{
		refuse(reason::ends_backends);
		return;
	}
	// Without affinity the trial is kept apart from other requests with its key: one of them may be at fault.
	m_key = {};
	send_or_enqueue();
}

void forwarded_request::refuse_blocked()
{
	refuse(reason::ends_backends, k_blocked_retry_after_s);
}

void forwarded_request::report_exchange(const backend_ptr& _backend, const exchange_result& _result)
{
	crash_admission_base& crashes = m_context.crashes;
	const bool ran = exchange_outcome::answered == _result.end || exchange_outcome::lost == _result.end;
	if (trial_state::granted == m_trial && ran)
	{
		m_trial = trial_state::used;
	}
	if (_result.connection_broke)
	{
		crashes.on_connection_broken(_backend, fingerprint());
		return;
	}
	const bool no_body = nullptr == m_body;
	if (exchange_outcome::answered == _result.end && (no_body || crashes.tracks_head(head_hash())))
	{
		crashes.on_answered(fingerprint());
	}
}

void forwarded_request::return_trial()
{
	const bool was_sent = m_exchange && m_exchange->sent();
	if (trial_state::granted == m_trial && !was_sent)
	{
		m_context.crashes.on_trial_unused(fingerprint());
	}
	m_trial = trial_state::none;
}

bool forwarded_request::refuse_after_wait()
{
	if (!key_still_valid())
	{
		refuse_key();
		return true;
	}
	if (too_late_to_stop())
	{
		refuse_as_stopping();
		return true;
	}
	return end_if_deadline_over() || (trial_state::none == m_trial && handle_if_blocked());
}
} // namespace larkrack
