// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "base/events_p.h"

#include <cstdlib>

namespace larkrack
{
const std::vector<event_info>& event_catalogue()
{
	static const std::vector<event_info> s_rows = {
#define LARKRACK_EVENT_ROW(_number, _name, _severity, _text)                                                 \
	{event::_name, #_name, severity::_severity, _text},
	    LARKRACK_EVENTS(LARKRACK_EVENT_ROW)
#undef LARKRACK_EVENT_ROW
	};
	return s_rows;
}

const event_info& info_of(event _event)
{
	for (const event_info& row : event_catalogue())
	{
		if (row.id == _event)
		{
			return row;
		}
	}
	std::abort();
}
} // namespace larkrack
