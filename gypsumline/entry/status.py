"""Status page of an entry: members, availability zones and versions."""

from __future__ import annotations

from gypsumline.entry.node import AgentReport, EntryNode


def status_body(node: EntryNode) -> dict[str, object]:
    """Returns the body of `GET /v1/status`."""
    record = node.record
    return {
        "entry": node.local_member.member_id,
        "revision": record.revision,
        "configuration_version": record.configuration_version,
        "fresh": node.is_fresh,
        "entries": _entry_rows(node),
        "voters": [voter.member_id for voter in record.voters],
        "agents": _agent_rows(node),
        "availability_zones": _zone_rows(node),
    }


def _entry_rows(node: EntryNode) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for entry in node.record.entries:
        heartbeat = node.peers.get(entry.member_id)
        is_self = entry == node.local_member
        revision = heartbeat.revision if heartbeat is not None else 0
        leaving = heartbeat.leaving if heartbeat is not None else False
        rows.append(
            {
                "member_id": entry.member_id,
                "availability_zone": entry.availability_zone,
                "revision": node.record.revision if is_self else revision,
                "alive": is_self or heartbeat is not None,
                "leaving": node.leaving if is_self else leaving,
            }
        )
    return rows


def _agent_rows(node: EntryNode) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    configuration = node.record.configuration
    for agent in node.record.agents:
        report = node.agents.get(agent.agent_id)
        row: dict[str, object] = {
            "agent_id": agent.agent_id,
            "availability_zone": agent.availability_zone,
            "state": _agent_state(report),
            "out": agent.availability_zone
            in configuration.availability_zones_out,
        }
        if report is not None:
            row |= _report_fields(report)
            is_out = report.upstream.upstream_id in configuration.upstreams_out
            row["out"] = bool(row["out"]) or is_out
        rows.append(row)
    return rows


def _report_fields(report: AgentReport) -> dict[str, object]:
    upstream = report.upstream
    return {
        "upstream_id": upstream.upstream_id,
        "service": upstream.service,
        "slots": upstream.slots,
        "free": upstream.free,
        "queued": upstream.queued,
        "revision": report.revision,
    }


def _agent_state(report: AgentReport | None) -> str:
    if report is None:
        return "silent"
    if report.upstream.leaving:
        return "leaving"
    return "live" if report.upstream.healthy else "no upstream"


def _zone_rows(node: EntryNode) -> list[dict[str, object]]:
    excluded = node.record.configuration.availability_zones_out
    names = {agent.availability_zone for agent in node.record.agents}
    names |= {entry.availability_zone for entry in node.record.entries}
    names |= set(excluded)
    rows: list[dict[str, object]] = []
    for name in sorted(names):
        reports = [
            report
            for report in node.agents.values()
            if report.member.availability_zone == name
        ]
        rows.append(
            {
                "name": name,
                "out": name in excluded,
                "slots": sum(report.upstream.slots for report in reports),
                "agents": len(reports),
            }
        )
    return rows
