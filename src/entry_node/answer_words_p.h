// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// What a backend server says of itself beside an answer, decoded once for all headers and for every kind of
/// answer, whether the answer is passed on, kept or dropped.
///
/// | header | beside | heard |
/// | --- | --- | --- |
/// | load | any answer | yes |
/// | limit | any answer | yes; its absence ends a limit only beside an answer to a request that ran |
/// | rest (Retry-After) | 503 | yes; beside another status it speaks of the request, not of the server |
/// | leaving | any answer | yes |
/// | any of them | 421 | no: another backend server speaks |
///
/// Relies on upstream_exchange to tell which answers may be trusted so far, and on backend_words to follow
/// what was said.
#pragma once

#include "entry_node/header_names_p.h"
#include "steering/backend_limit_p.h"
#include "steering/load_estimate_p.h"

#include <boost/beast/http/message.hpp>

#include <optional>

namespace larkrack
{
/// What stands beside one answer.
struct answer_words
{
	std::optional<backend_load> load;
	std::optional<limit_word> limit;           ///< The limit that holds from now on, or that none does.
	std::optional<steady_time::duration> rest; ///< It wants nothing from this node for so long.
	bool leaving = false;                      ///< It is about to end.
};

/// @param[in] _head Of an answer; its body need not have come.
/// @param[in] _ran Whether the backend server ran the request.
answer_words words_beside(const boost::beast::http::response_header<>& _head, const header_names& _names,
    bool _ran, steady_time _now);
} // namespace larkrack
