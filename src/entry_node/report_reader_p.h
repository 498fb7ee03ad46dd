// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Reads the reports of a backend server about itself from the headers of its responses, and applies them,
/// whichever way a response came.
///
/// Relies on its owner to pass in the headers of each response once, before the exchange ends.
#pragma once

#include "entry_node/answer_words_p.h"
#include "entry_node/backend_registry_p.h"
#include "entry_node/header_names_p.h"

#include <boost/beast/http/message.hpp>

namespace larkrack
{
/// Receives the reports of backend servers about themselves (answer_words_p.h).
class backend_report_listener_base
{
public:
	virtual ~backend_report_listener_base() = default;
	virtual void on_backend_report(const backend_ptr& _backend, const backend_report& _report) = 0;
};

/// Reports within the responses of one exchange.
class report_reader
{
public:
	using response_head = boost::beast::http::response_header<>;

	/// @param[in] _counted Whether the exchange is counted in the backend server's load at this node.
	report_reader(const clock_base& _clock, const header_names& _names,
	    backend_report_listener_base& _listener, backend_ptr _backend, bool _counted);
	/// @returns Whether a response carries a signature, a request id or the mark of a request that was not
	/// run. Without them it may come from any program that listens at the address.
	bool is_from_backend(const response_head& _head) const;
	/// Handles the report in the headers of a response, also if the response is not passed on.
	/// @param[in] _current Whether the response belongs to the request and somebody waits for it. Otherwise
	/// load and limit may be outdated; rest and leaving stay valid.
	void read(const response_head& _head, bool _current);
	/// @returns Whether the last load report showed a free slot.
	bool reported_free_slot() const
	{
		return m_reported_free_slot;
	}

private:
	void apply_load(const backend_report& _report);

	const clock_base& m_clock;
	const header_names& m_names;
	backend_report_listener_base& m_listener;
	backend_ptr m_backend;
	bool m_counted;
	bool m_reported_free_slot = false;
};
} // namespace larkrack
