import { randomElement } from "../support/random.js";
import { rendezvousFirst } from "../support/rendezvous.js";
import type { EndpointId } from "../types/ids.js";
import type { EndpointRow, Run } from "../types/rows.js";
import { endpointRow, type World } from "../world.js";
import { candidateEndpoints, hasFreshReport } from "./endpoints.js";

const RECENT_USE_MS = 60_000;
const MIN_SAMPLE_INTERVAL_MS = 150;
const MAX_REPORT_WAIT_MS = 30;
const SAMPLE_SIZE = 3;

/**
 * Probes the load of the endpoints of recently used models and services. Above the polling limit it does nothing, and
 * requests probe a sample instead.
 */
export function probeEndpoints(world: World, now: number): void {
    const used = recentlyUsedEndpoints(world, now);
    if (used.size > world.policy.polledEndpoints) {
        return;
    }
    for (const id of used) {
        const row = endpointRow(world, id);
        if (now - row.probedAt >= world.policy.probeIntervalMs) {
            probe(world, row, now);
        }
    }
}

function recentlyUsedEndpoints(world: World, now: number): Set<EndpointId> {
    const used = new Set<EndpointId>();
    for (const [server, usedAt] of world.serverUsedAt) {
        if (now - usedAt > RECENT_USE_MS) {
            world.serverUsedAt.delete(server);
            continue;
        }
        candidateEndpoints(world, server).forEach((id) => used.add(id));
    }
    return used;
}

/**
 * Probes some endpoints when too few of the usable ones have a fresh load report, or when the one that is likely to
 * have the prompt's prefix cached has none. Returns true while the run should wait for reports.
 */
export function awaitsReports(
    world: World,
    run: Run,
    usable: readonly EndpointRow[],
    fresh: number,
    now: number,
): boolean {
    const stale = usable.filter((row) => !hasFreshReport(world, row, run, now));
    const holder = prefixHolder(run, usable);
    const hasEnoughReports = fresh >= Math.min(SAMPLE_SIZE, usable.length) && !stale.some((row) => row.id === holder);
    if (hasEnoughReports) {
        return false;
    }
    if (fresh === 0 || now - run.endpointsProbedAt > world.policy.reportLifetimeMs) {
        run.endpointsProbedAt = now;
        sampleEndpoints(world, run, stale, SAMPLE_SIZE - fresh, holder, now);
    }
    return fresh === 0 || stale.some((row) => now - row.probedAt < MAX_REPORT_WAIT_MS);
}

function prefixHolder(run: Run, usable: readonly EndpointRow[]): EndpointId | undefined {
    return run.target.kind === "model" ? rendezvousFirst(run.target.prefix, usable.map((row) => row.id)) : undefined;
}

function sampleEndpoints(
    world: World,
    run: Run,
    stale: readonly EndpointRow[],
    count: number,
    holder: EndpointId | undefined,
    now: number,
): void {
    const isDue = (row: EndpointRow): boolean =>
        now - row.probedAt >= MIN_SAMPLE_INTERVAL_MS
        || (run.isolationEndpoint !== undefined && row.probedAt < run.isolationGrantedAt);
    const due = stale.filter(isDue);
    let remaining = count - (stale.length - due.length);
    const first = due.find((row) => row.id === holder);
    if (first !== undefined) {
        probe(world, first, now);
        remaining--;
    }
    const others = due.filter((row) => row !== first);
    while (remaining > 0 && others.length > 0) {
        const row = randomElement(world.random, others)!;
        others.splice(others.indexOf(row), 1);
        probe(world, row, now);
        remaining--;
    }
}

function probe(world: World, row: EndpointRow, now: number): void {
    row.probedAt = now;
    world.effects.push({ kind: "probe", endpoint: row.id });
}
