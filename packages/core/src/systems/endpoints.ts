import type { EndpointDeclaration } from "../configuration/schema.js";
import { randomElement } from "../support/random.js";
import { rendezvousFirst, rendezvousOrder } from "../support/rendezvous.js";
import type { EndpointId } from "../types/ids.js";
import type { LoadReport, Target } from "../types/messages.js";
import type { EndpointRow, Run } from "../types/rows.js";
import { endpointRow, type World } from "../world.js";
import { awaitsReports } from "./probes.js";

const MAX_LOAD = 1.25;
const MAX_PREFIX_LOAD = 0.75;
const OTHER_DOMAIN_LOAD_PENALTY = 0.15;
const OTHER_REGION_LOAD_PENALTY = 0.6;

/** Returns the key that indexes the endpoints that serve a target. */
export function serverKey(target: Target): string {
    return target.kind === "model" ? `model:${target.model}` : `service:${target.service}`;
}

/** Returns the endpoints that this router considers for a model or service. */
export function candidateEndpoints(world: World, server: string): readonly EndpointId[] {
    const endpoints = world.configuration.servers.get(server) ?? [];
    if (endpoints.length <= world.policy.endpointSubset) {
        return endpoints;
    }
    const sameDomain = endpoints.filter((id) => world.configuration.endpoints.get(id)!.domain === world.self.domain);
    const otherDomains = rendezvousOrder(world.self.incarnation, endpoints.filter((id) => !sameDomain.includes(id)));
    return [...sameDomain, ...otherDomains].slice(0, world.policy.endpointSubset);
}

/** Returns true when an endpoint may be given new work. */
export function isUsable(world: World, row: EndpointRow, now: number): boolean {
    return !row.leaving && now >= row.ejectedUntil && world.configuration.endpoints.has(row.id);
}

/**
 * Returns true when an endpoint's load report is recent enough to send it a run; with an old report it may be leaving.
 * A crash is attributed to the suspect request isolated at the endpoint, so that endpoint must have answered a probe
 * sent since the isolation was granted.
 */
export function hasFreshReport(world: World, row: EndpointRow, run: Run, now: number): boolean {
    if (run.isolationEndpoint !== undefined) {
        return row.reportProbedAt >= run.isolationGrantedAt;
    }
    return now - row.reportedAt <= world.policy.reportLifetimeMs;
}

/** Returns the load of an endpoint as a share of its slots: runs of others by its report, plus those of this router. */
export function loadOf(row: EndpointRow, declaration: EndpointDeclaration): number {
    const report = row.report;
    if (report === undefined) {
        return row.ownRuns.size / declaration.slots;
    }
    const otherRuns = Math.max(0, report.running + report.queued - row.ownRunsAtReport);
    return (otherRuns + row.ownRuns.size) / Math.max(1, report.slots);
}

/** Chooses an endpoint for a run: the prefix holder if it has capacity, else the better of two random ones. */
export function chooseEndpoint(world: World, run: Run, now: number): EndpointId | undefined {
    const ids = run.isolationEndpoint === undefined
        ? candidateEndpoints(world, serverKey(run.target))
        : [run.isolationEndpoint];
    const candidates = ids.map((id) => endpointRow(world, id));
    const usable = candidates.filter((row) => isUsable(world, row, now));
    const fresh = usable.filter((row) => hasFreshReport(world, row, run, now)).map((row) => row.id);
    if (fresh.length < usable.length && awaitsReports(world, run, usable, fresh.length, now)) {
        return undefined;
    }
    const untried = fresh.filter((id) => !run.triedEndpoints.includes(id));
    const withCapacity = (untried.length > 0 ? untried : fresh).filter((id) => loadOfId(world, id) < MAX_LOAD);
    if (withCapacity.length === 0) {
        return undefined;
    }
    const prefixHolder = run.target.kind === "model" ? rendezvousFirst(run.target.prefix, withCapacity) : undefined;
    if (prefixHolder !== undefined && loadOfId(world, prefixHolder) < MAX_PREFIX_LOAD) {
        return prefixHolder;
    }
    const first = randomElement(world.random, withCapacity)!;
    const second = randomElement(world.random, withCapacity)!;
    return scoreOf(world, first) <= scoreOf(world, second) ? first : second;
}

/** Returns true when some endpoint can serve a target, now or once it has capacity. */
export function hasUsableEndpoint(world: World, target: Target, now: number): boolean {
    return candidateEndpoints(world, serverKey(target)).some((id) => isUsable(world, endpointRow(world, id), now));
}

function loadOfId(world: World, id: EndpointId): number {
    return loadOf(endpointRow(world, id), world.configuration.endpoints.get(id)!);
}

function scoreOf(world: World, id: EndpointId): number {
    const domain = world.configuration.endpoints.get(id)!.domain;
    const ownDomain = world.self.domain;
    const sameRegion = domain.split("/")[0] === ownDomain.split("/")[0];
    const penalty = domain === ownDomain ? 0 : sameRegion ? OTHER_DOMAIN_LOAD_PENALTY : OTHER_REGION_LOAD_PENALTY;
    return loadOfId(world, id) + penalty;
}

/** Records a load report, or the failure to get one. */
export function recordLoadReport(world: World, id: EndpointId, report: LoadReport | undefined, now: number): void {
    const row = endpointRow(world, id);
    if (report === undefined) {
        recordFailure(world, row, now);
        return;
    }
    row.report = report;
    row.reportedAt = now;
    row.reportProbedAt = row.probedAt;
    row.ownRunsAtReport = row.ownRuns.size;
    recordSuccess(row);
    if (report.leaving) {
        markLeaving(world, id);
    }
}

/** Marks an endpoint as leaving: it gets no new work from then on. */
export function markLeaving(world: World, id: EndpointId): void {
    world.leavingEndpoints.add(id);
    endpointRow(world, id).leaving = true;
}

/** Records a success of an endpoint, which ends its ejection. */
export function recordSuccess(row: EndpointRow): void {
    row.failures = 0;
    row.ejections = 0;
    row.ejectedUntil = -Infinity;
}

/** Records a failure of an endpoint; several in a row eject it temporarily, longer each time. */
export function recordFailure(world: World, row: EndpointRow, now: number): void {
    row.failures++;
    // It gets new work only after a new report.
    row.reportedAt = -Infinity;
    row.reportProbedAt = -Infinity;
    if (row.failures < world.policy.ejectionFailures) {
        return;
    }
    const durationMs = Math.min(world.policy.ejectionMs * 2 ** row.ejections, world.policy.longestEjectionMs);
    row.ejectedUntil = Math.max(row.ejectedUntil, now + durationMs);
    row.failures = 0;
    row.ejections++;
}

/** Returns the slots of the usable endpoints of a model or service. */
export function usableSlots(world: World, server: string, now: number): number {
    let slots = 0;
    for (const id of candidateEndpoints(world, server)) {
        const row = endpointRow(world, id);
        slots += isUsable(world, row, now) ? row.report?.slots ?? world.configuration.endpoints.get(id)!.slots : 0;
    }
    return slots;
}
