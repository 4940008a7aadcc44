import type { BodyDigest } from "../types/ids.js";
import type { Crash, Suspicion } from "../types/messages.js";
import type { Run, SeenCrash, SuspectRow } from "../types/rows.js";
import type { World } from "../world.js";

// Routers see one crash at different times: the last ones when their connections have been silent for too long.
const SAME_CRASH_MS = 10_000;

/** Suspects and convicts as routers tell each other of them. */
export type Suspicions = { readonly suspects: readonly Suspicion[]; readonly convicts: readonly Suspicion[]; };

/** Returns true when a body was in flight at a crash that nothing else explains, and did not run to its end since. */
export function isSuspect(world: World, body: BodyDigest, now: number): boolean {
    return countsStill(world, world.suspects.get(body)?.crashes ?? [], now);
}

/** Returns true when a body crashed endpoints repeatedly. */
export function isConvict(world: World, body: BodyDigest, now: number): boolean {
    return countsStill(world, world.convicts.get(body) ?? [], now);
}

function countsStill(world: World, crashes: readonly SeenCrash[], now: number): boolean {
    return crashes.some((crash) => now - crash.at < world.policy.convictionMs);
}

/** Notes that a body was in flight when an endpoint crashed. One that ran alone as a suspect is convicted. */
export function noteCrash(world: World, run: Run, now: number): void {
    const body = run.arrival.bodyDigest;
    const crash = { endpoint: run.endpoint!, at: now };
    run.ranMs = now - run.dispatchedAt;
    if (isExplained(world, crash)) {
        return;
    }
    const row = suspectRow(world, body);
    const wasSuspect = isSuspect(world, body, now);
    row.crashes.push(crash);
    if (wasSuspect && run.laneEndpoint !== undefined) {
        convict(world, body, row.crashes);
    }
}

function convict(world: World, body: BodyDigest, crashes: readonly SeenCrash[]): void {
    world.convicts.set(body, crashes);
    world.suspects.delete(body);
    for (const row of world.suspects.values()) {
        row.crashes = row.crashes.filter((crash) => !isExplained(world, crash));
    }
}

// A crash that a convict caused speaks against nobody else.
function isExplained(world: World, crash: SeenCrash): boolean {
    return [...world.convicts.values()].some((crashes) => crashes.some((other) => isSameCrash(crash, other)));
}

function isSameCrash(first: SeenCrash, second: SeenCrash): boolean {
    return first.endpoint === second.endpoint && Math.abs(first.at - second.at) <= SAME_CRASH_MS;
}

/** Clears a body that ran to its end. */
export function clearSuspect(world: World, run: Run, now: number): void {
    const row = world.suspects.get(run.arrival.bodyDigest);
    if (row !== undefined) {
        row.crashes = [];
        row.clearedAt = now;
    }
}

/** Returns the suspects and convicts that this router knows. */
export function knownSuspicions(world: World, now: number): Suspicions {
    const suspects = [...world.suspects].map(([body, row]) => suspicionOf(body, row.crashes, now));
    const convicts = [...world.convicts].map(([body, crashes]) => suspicionOf(body, crashes, now));
    return { suspects: suspects.filter((entry) => entry.crashes.length > 0), convicts };
}

/** Returns what this router knows of one body. */
export function suspicionsOf(world: World, body: BodyDigest, now: number): Suspicions {
    const { suspects, convicts } = knownSuspicions(world, now);
    const isSame = (entry: Suspicion): boolean => entry.body === body;
    return { suspects: suspects.filter(isSame), convicts: convicts.filter(isSame) };
}

function suspicionOf(body: BodyDigest, crashes: readonly SeenCrash[], now: number): Suspicion {
    return { body, crashes: crashes.map(({ endpoint, at }) => ({ endpoint, ageMs: now - at })) };
}

/** Takes in what a peer knows of suspects and convicts. Returns true when a body is convicted by it. */
export function adoptSuspicions(world: World, { suspects, convicts }: Suspicions, now: number): boolean {
    let convicted = false;
    for (const { body, crashes } of convicts) {
        if (!world.convicts.has(body)) {
            convict(world, body, crashes.map((crash) => seenCrash(crash, now)));
            convicted = true;
        }
    }
    for (const { body, crashes } of suspects) {
        if (!world.convicts.has(body)) {
            adoptCrashes(world, suspectRow(world, body), crashes.map((crash) => seenCrash(crash, now)));
        }
    }
    forgetSuspects(world, now);
    return convicted;
}

function adoptCrashes(world: World, row: SuspectRow, crashes: readonly SeenCrash[]): void {
    const news = crashes.filter((crash) =>
        crash.at > row.clearedAt && !isExplained(world, crash)
        && !row.crashes.some((known) => isSameCrash(known, crash))
    );
    row.crashes.push(...news);
}

function seenCrash(crash: Crash, now: number): SeenCrash {
    return { endpoint: crash.endpoint, at: now - crash.ageMs };
}

/** Forgets crashes that are too long ago. */
export function forgetSuspects(world: World, now: number): void {
    const { convictionMs } = world.policy;
    for (const [body, row] of world.suspects) {
        row.crashes = row.crashes.filter((crash) => now - crash.at < convictionMs);
        if (row.crashes.length === 0 && now - row.clearedAt >= convictionMs) {
            world.suspects.delete(body);
        }
    }
    for (const [body, crashes] of world.convicts) {
        if (!countsStill(world, crashes, now)) {
            world.convicts.delete(body);
        }
    }
}

function suspectRow(world: World, body: BodyDigest): SuspectRow {
    const row = world.suspects.get(body) ?? { crashes: [], clearedAt: -Infinity };
    world.suspects.set(body, row);
    return row;
}
