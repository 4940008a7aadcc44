import type { BodyDigest } from "../types/ids.js";
import type { Crash, Suspicion } from "../types/messages.js";
import type { ObservedCrash, Run, SuspectRow } from "../types/rows.js";
import type { World } from "../world.js";

// Routers detect the same crash at different times, some only after their connection was silent for too long.
const SAME_CRASH_MS = 10_000;

/** Suspect bodies and confirmed poison bodies, as exchanged between routers. */
export type Suspicions = { readonly suspects: readonly Suspicion[]; readonly convicts: readonly Suspicion[]; };

/** Returns true when a body was in flight at a recent unexplained crash and has not completed since. */
export function isSuspect(world: World, body: BodyDigest, now: number): boolean {
    return hasRecentCrash(world, world.suspects.get(body)?.crashes ?? [], now);
}

/** Returns true when a body is confirmed to crash endpoints. */
export function isPoisonRequest(world: World, body: BodyDigest, now: number): boolean {
    return hasRecentCrash(world, world.poisonRequests.get(body) ?? [], now);
}

function hasRecentCrash(world: World, crashes: readonly ObservedCrash[], now: number): boolean {
    return crashes.some((crash) => now - crash.at < world.policy.convictionMs);
}

/** Records that a body was in flight at an endpoint crash. A suspect that ran isolated is confirmed as poison. */
export function recordCrash(world: World, run: Run, now: number): void {
    const body = run.arrival.bodyDigest;
    const crash = { endpoint: run.endpoint!, at: now };
    run.ranMs = now - run.dispatchedAt;
    if (isAttributed(world, crash)) {
        return;
    }
    const row = suspectRow(world, body);
    const wasSuspect = isSuspect(world, body, now);
    row.crashes.push(crash);
    if (wasSuspect && run.isolationEndpoint !== undefined) {
        confirmPoisonRequest(world, body, row.crashes);
    }
}

function confirmPoisonRequest(world: World, body: BodyDigest, crashes: readonly ObservedCrash[]): void {
    world.poisonRequests.set(body, crashes);
    world.suspects.delete(body);
    for (const row of world.suspects.values()) {
        row.crashes = row.crashes.filter((crash) => !isAttributed(world, crash));
    }
}

// A crash attributed to a confirmed poison request does not make other requests suspect.
function isAttributed(world: World, crash: ObservedCrash): boolean {
    return [...world.poisonRequests.values()].some((crashes) => crashes.some((other) => isSameCrash(crash, other)));
}

function isSameCrash(first: ObservedCrash, second: ObservedCrash): boolean {
    return first.endpoint === second.endpoint && Math.abs(first.at - second.at) <= SAME_CRASH_MS;
}

/** Clears the suspicion against a body that completed. */
export function clearSuspect(world: World, run: Run, now: number): void {
    const row = world.suspects.get(run.arrival.bodyDigest);
    if (row !== undefined) {
        row.crashes = [];
        row.clearedAt = now;
    }
}

/** Returns all suspects and confirmed poison requests of this router. */
export function currentSuspicions(world: World, now: number): Suspicions {
    const suspects = [...world.suspects].map(([body, row]) => suspicionOf(body, row.crashes, now));
    const convicts = [...world.poisonRequests].map(([body, crashes]) => suspicionOf(body, crashes, now));
    return { suspects: suspects.filter((entry) => entry.crashes.length > 0), convicts };
}

/** Returns the suspicions of this router about one body. */
export function suspicionsOf(world: World, body: BodyDigest, now: number): Suspicions {
    const { suspects, convicts } = currentSuspicions(world, now);
    const isSame = (entry: Suspicion): boolean => entry.body === body;
    return { suspects: suspects.filter(isSame), convicts: convicts.filter(isSame) };
}

function suspicionOf(body: BodyDigest, crashes: readonly ObservedCrash[], now: number): Suspicion {
    return { body, crashes: crashes.map(({ endpoint, at }) => ({ endpoint, ageMs: now - at })) };
}

/** Applies the suspicions of a peer. Returns true when they confirm a further poison request. */
export function applySuspicions(world: World, { suspects, convicts }: Suspicions, now: number): boolean {
    let confirmed = false;
    for (const { body, crashes } of convicts) {
        if (!world.poisonRequests.has(body)) {
            confirmPoisonRequest(world, body, crashes.map((crash) => toObservedCrash(crash, now)));
            confirmed = true;
        }
    }
    for (const { body, crashes } of suspects) {
        if (!world.poisonRequests.has(body)) {
            addCrashes(world, suspectRow(world, body), crashes.map((crash) => toObservedCrash(crash, now)));
        }
    }
    removeExpiredSuspects(world, now);
    return confirmed;
}

function addCrashes(world: World, row: SuspectRow, crashes: readonly ObservedCrash[]): void {
    const newCrashes = crashes.filter((crash) =>
        crash.at > row.clearedAt && !isAttributed(world, crash)
        && !row.crashes.some((known) => isSameCrash(known, crash))
    );
    row.crashes.push(...newCrashes);
}

function toObservedCrash(crash: Crash, now: number): ObservedCrash {
    return { endpoint: crash.endpoint, at: now - crash.ageMs };
}

/** Removes expired crashes, clearances and confirmed poison requests. */
export function removeExpiredSuspects(world: World, now: number): void {
    const { convictionMs } = world.policy;
    for (const [body, row] of world.suspects) {
        row.crashes = row.crashes.filter((crash) => now - crash.at < convictionMs);
        if (row.crashes.length === 0 && now - row.clearedAt >= convictionMs) {
            world.suspects.delete(body);
        }
    }
    for (const [body, crashes] of world.poisonRequests) {
        if (!hasRecentCrash(world, crashes, now)) {
            world.poisonRequests.delete(body);
        }
    }
}

function suspectRow(world: World, body: BodyDigest): SuspectRow {
    const row = world.suspects.get(body) ?? { crashes: [], clearedAt: -Infinity };
    world.suspects.set(body, row);
    return row;
}
