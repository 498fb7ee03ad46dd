// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Report of a backend server about itself in the headers of a response. Decodes all such headers in one
/// place and for every kind of response, whether the response is passed on, kept or dropped. No state.
///
/// | header | response | used |
/// | --- | --- | --- |
/// | load | any | yes; its fourth value (work time) is optional |
/// | limit | any | yes; its absence ends a limit only in the response to a request that ran |
/// | rest (Retry-After) | 503 | yes; with another status it concerns the request, not the backend server |
/// | leaving | any | yes |
/// | any of them | 421 | no: the response is from another backend server |
///
/// Relies on upstream_exchange to pass only responses that may be trusted this far, and on backend_reports to
/// act on the report.
#pragma once

#include "entry_node/header_names_p.h"
#include "steering/answer_marks_p.h"
#include "steering/backend_limit_p.h"
#include "steering/load_estimate_p.h"

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string_view>

namespace larkrack
{
/// Report of a backend server in the headers of one response.
struct backend_report
{
	std::optional<backend_load> load;
	std::optional<double> slowness;            ///< Work time relative to usual (server_slowness_p.h).
	bool invalid_slowness = false;             ///< The load header has an invalid work time.
	std::optional<limit_report> limit;         ///< The limit from now on, or that there is no limit any more.
	std::optional<steady_time::duration> rest; ///< Rest: no requests from this node for that long.
	bool leaving = false;                      ///< The backend server is about to shut down.
};

/// @param[in] _request_id Id of the request; empty: it has none.
/// @param[in] _whole_request Whether the request had been written whole.
answer_marks read_answer_marks(const boost::beast::http::response_header<>& _head, const header_names& _names,
    std::string_view _request_id, bool _whole_request);
/// @param[in] _head Header of the response; its body need not be complete.
/// @param[in] _ran Whether the backend server ran the request.
backend_report parse_backend_report(const boost::beast::http::response_header<>& _head,
    const header_names& _names, bool _ran, steady_time _now);
} // namespace larkrack
