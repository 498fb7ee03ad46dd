// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "steering/answer_marks_p.h"

namespace larkrack
{
bool is_promise(unsigned _status)
{
	switch (static_cast<rejection_status>(_status))
	{
	case rejection_status::request_timeout:
	case rejection_status::misdirected_request:
	case rejection_status::too_many_requests:
	case rejection_status::service_unavailable:
		return true;
	default:
		return false;
	}
}

std::string to_string(const answer_marks& _marks)
{
	std::string text = std::to_string(_marks.status);
	if (answer_id::none != _marks.id)
	{
		text += answer_id::own == _marks.id ? "+id" : "+other_id";
	}
	text += _marks.not_run ? "+not_run" : "";
	text += _marks.has_signature ? "+signature" : "";
	text += _marks.odd_signature ? "+odd_signature" : "";
	text += _marks.whole_request ? "" : "+early";
	return text;
}
} // namespace larkrack
