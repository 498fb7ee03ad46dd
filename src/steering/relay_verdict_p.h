// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

/// @file
/// Relay verdict: what the response of a relay proves about the attempt that was sent to it.
///
/// Inputs: the marks in the head of the response, and what is known of the attempt. An attempt is named by
/// the id of its request and its number; a relay gives both back. Relays of earlier versions give back the id
/// or nothing; then the connection names the attempt, if it has carried no other one.
///
/// | response | attempt | verdict |
/// | --- | --- | --- |
/// | names another attempt | any | lost |
/// | 200 with a result | any | result |
/// | 200 without a result | at most once | lost: a relay of another version may have sent it |
/// | 200 without a result | may repeat | not sent |
/// | 400, 403, 404, 413, 431, 503 that names the attempt, or first on its connection | any | not sent |
/// | the same without a name, on a connection that earlier attempts have used | at most once | lost |
/// | the same | may repeat | not sent |
/// | any other status | any | lost |
///
/// A 408 proves nothing: relays of earlier versions went on with a request after it. Other statuses are none
/// that a relay gives.
#pragma once

#include "steering/answer_marks_p.h"
#include "steering/routing_table_p.h"

namespace larkrack
{
/// Verdict on the response of a relay.
enum class relay_verdict
{
	result,   ///< It holds the result of the attempt.
	not_sent, ///< The relay has not sent the attempt to a backend server, and never will.
	lost,     ///< The attempt may have been sent.
};

/// Marks in the head of a relay's response.
struct relay_marks
{
	unsigned status = 0;
	bool has_result = false;             ///< Its content type is that of a result.
	answer_id request = answer_id::none; ///< The request that it names.
	answer_id attempt = answer_id::none; ///< The attempt that it names, by its number.
	bool on_kept_connection = false;     ///< Earlier attempts have used the connection.
};

relay_verdict judge_relay(const relay_marks& _marks, repeat_rule _repeat);
} // namespace larkrack
