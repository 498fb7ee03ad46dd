// Copyright 2026 the larkrack developers. All rights reserved.
// License: BSD 2-Clause, see LICENSE.

#include "larkrackd/operators_p.h"

namespace larkrack
{
const char* status_page()
{
	return R"HTML(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>larkrack</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem;color:#1d2733;background:#fbfcfd}
h1{font-size:1.4rem;margin:0 0 .2rem}h2{font-size:1.05rem;margin:1.6rem 0 .4rem}
table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #dfe5eb}
th{font-weight:600;color:#51606f}td.n{text-align:right;font-variant-numeric:tabular-nums}
.bar{background:#e6ebf0;border-radius:3px;height:.7rem;min-width:8rem}.bar i{display:block;height:100%;border-radius:3px;background:#2a7de1}
.warn{color:#9a3412}.muted{color:#6b7a89}
</style></head><body>
<h1>larkrack <span id="node" class="muted"></span></h1><div id="modes"></div>
<h2>Regions and failure domains</h2><table id="rooms"></table>
<h2>Shifts</h2><table id="shifts"></table>
<h2>Backend servers owned here</h2><table id="backends"></table>
<h2>Entry VMs</h2><table id="vms"></table>
<script>
const text=v=>String(v).replace(/[&<>"]/g,c=>({'&':'&amp;','<':'&lt;','>':'&gt;','"':'&quot;'}[c]));
const row=(cells,tag='td')=>'<tr>'+cells.map(c=>`<${tag}${typeof c==='number'?' class="n"':''}>${c}</${tag}>`).join('')+'</tr>';
const bar=p=>`<div class="bar"><i style="width:${Math.round(100*Math.max(0,Math.min(1,p)))}%"></i></div>`;
async function show(){
 const s=await (await fetch('/v1/status')).json();
 node.textContent=`${s.node} · revision ${s.revision}`;
 modes.innerHTML=s.degraded.length?'<p class="warn">Degraded: '+s.degraded.map(text).join(', ')+'</p>':'<p class="muted">No degraded mode.</p>';
 rooms.innerHTML=row(['Region','Failure domain','Service','Slots','Usable','In use','Load'],'th')+s.rooms.map(r=>row([text(r.region),text(r.domain),text(r.service),r.slots,r.usable,r.running,bar(r.usable?r.running/r.usable:0)])).join('');
 shifts.innerHTML=row(['Service','State','Waits for','Step','Shares now','Goal'],'th')+s.shifts.map(x=>row([text(x.service),text(x.state),text(x.waits_for||'–'),x.step,text(Object.entries(x.shares).map(e=>e[0]+' '+(100*e[1]).toFixed(1)+'%').join(', ')),text(Object.entries(x.goal).map(e=>e[0]+' '+(100*e[1]).toFixed(1)+'%').join(', '))])).join('');
 backends.innerHTML=row(['Name','Service','Slots','In use','Pace','State'],'th')+s.backends.map(b=>row([text(b.name),text(b.service),b.slots,b.running,Math.floor(b.pace),b.drain?'draining':(b.owned?'open':'handing over')])).join('');
 vms.innerHTML=row(['Name','Failure domain','State','Revision'],'th')+s.entry_vms.map(v=>row([text(v.name),text(v.domain),text(v.state),v.revision])).join('');
}
show();setInterval(show,1000);
</script></body></html>
)HTML";
}
} // namespace larkrack
