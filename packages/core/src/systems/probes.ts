import { randomElement } from "../support/random.js";
import { rendezvousFirst } from "../support/rendezvous.js";
import type { EndpointId } from "../types/ids.js";
import type { EndpointRow, Run } from "../types/rows.js";
import { endpointRow, type World } from "../world.js";
import { candidatesOf, isFresh } from "./endpoints.js";

const USED_LATELY_MS = 60_000;
const REFRESH_MS = 150;
const REPORT_WAIT_MS = 30;
const CHOICES = 3;

/** Asks for the load of the endpoints that lately had work. Where they are many, requests ask for some of them. */
export function probeEndpoints(world: World, now: number): void {
    const used = usedLately(world, now);
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

function usedLately(world: World, now: number): Set<EndpointId> {
    const used = new Set<EndpointId>();
    for (const [server, usedAt] of world.serverUsedAt) {
        if (now - usedAt > USED_LATELY_MS) {
            world.serverUsedAt.delete(server);
            continue;
        }
        candidatesOf(world, server).forEach((id) => used.add(id));
    }
    return used;
}

/**
 * Asks some endpoints for their load when too few of the usable ones have told it lately, or when the one that
 * has the prompt's prefix has not. Returns true while their answers are worth waiting for.
 */
export function awaitsReports(
    world: World,
    run: Run,
    usable: readonly EndpointRow[],
    fresh: number,
    now: number,
): boolean {
    const stale = usable.filter((row) => !isFresh(world, row, run, now));
    const holder = prefixHolder(run, usable);
    const isEnough = fresh >= Math.min(CHOICES, usable.length) && !stale.some((row) => row.id === holder);
    if (isEnough) {
        return false;
    }
    if (fresh === 0 || now - run.sampledAt > world.policy.reportLifetimeMs) {
        run.sampledAt = now;
        sample(world, run, stale, CHOICES - fresh, holder, now);
    }
    return fresh === 0 || stale.some((row) => now - row.probedAt < REPORT_WAIT_MS);
}

function prefixHolder(run: Run, usable: readonly EndpointRow[]): EndpointId | undefined {
    return run.target.kind === "model" ? rendezvousFirst(run.target.prefix, usable.map((row) => row.id)) : undefined;
}

function sample(
    world: World,
    run: Run,
    stale: readonly EndpointRow[],
    count: number,
    holder: EndpointId | undefined,
    now: number,
): void {
    const isDue = (row: EndpointRow): boolean =>
        now - row.probedAt >= REFRESH_MS || (run.laneEndpoint !== undefined && row.probedAt < run.laneGrantedAt);
    const due = stale.filter(isDue);
    let left = count - (stale.length - due.length);
    const first = due.find((row) => row.id === holder);
    if (first !== undefined) {
        probe(world, first, now);
        left--;
    }
    const others = due.filter((row) => row !== first);
    while (left > 0 && others.length > 0) {
        const row = randomElement(world.random, others)!;
        others.splice(others.indexOf(row), 1);
        probe(world, row, now);
        left--;
    }
}

function probe(world: World, row: EndpointRow, now: number): void {
    row.probedAt = now;
    world.effects.push({ kind: "probe", endpoint: row.id });
}
