import type { BodyDigest } from "../types/ids.js";
import type { PromptPartId } from "./types.js";

/** What may crash the endpoints that run a request: the request itself, or a part of its prompt. */
export type RequestFeatures = {
    /** Identical for all attempts of the same request by the same caller. */
    readonly request: BodyDigest;
    /** Parts of the prompt that other requests may share, in order. */
    readonly parts: readonly PromptPartId[];
};

/** One of a request's features. */
export type SuspectFeature = BodyDigest | PromptPartId;

/** The crash of a start of an endpoint, and the requests that may have caused it. */
export type Crash = {
    readonly start: string;
    readonly suspects: readonly RequestFeatures[];
    /** True if it was noticed as it happened; registrations of endpoints that end together expire one by one. */
    readonly isTimed: boolean;
};

/** A crash that counts against a feature. */
type CountedCrash = { readonly at: number; isTimed: boolean; };

/** Evidence against one feature. */
type FeatureEvidence = {
    readonly kind: "request" | "part";
    /** Crashes since a request with the feature last completed, as far as this router knows, by start. */
    readonly crashes: Map<string, CountedCrash>;
    /** Starts that crashed since all routers were last told that a request with the feature completed. */
    readonly unrefuted: Set<string>;
    /** Parts before this feature in the prompts of requests. */
    readonly broader: Set<PromptPartId>;
    /** When a request with the feature last completed; reports of earlier crashes may still arrive. */
    completedAt: number;
};

/** Crashes of endpoints and the features that may have caused them. Times in ms. */
export type CrashEvidence = {
    readonly features: Map<SuspectFeature, FeatureEvidence>;
    /** When the latest crashes became known, by start. */
    readonly crashTimes: Map<string, number>;
    /** Parts held responsible for crashes; undefined if it has to be worked out again. */
    convictedParts: ReadonlySet<PromptPartId> | undefined;
    /** When the first of `convictedParts` expires. */
    convictedUntil: number;
    /** When this router last let a request with a convicted part run. */
    readonly lastTrials: Map<PromptPartId, number>;
};

/** Crashes after which a feature is held responsible; a single crash also affects many unrelated requests. */
export const CRASH_LIMIT = 3;
/** Crashes after which a part is held responsible even if some of them may have the same cause. */
const STORM_CRASHES = 2 * CRASH_LIMIT;
/** Time in ms after its last crash for which evidence against a feature counts; callers may repeat for minutes. */
export const CRASH_MEMORY_MS = 600_000;
/** Crashes of a part's requests within this time in ms count once: a rack that fails ends many endpoints together. */
const SAME_CAUSE_MS = 500;
/** The same for crashes that were noticed by an expired or replaced registration. */
const SAME_CAUSE_UNTIMED_MS = 1_500;
/** Crashes known within this time in ms are simultaneous; those without a part show that it did not cause the others. */
const SIMULTANEOUS_MS = 150;
/** Maximum number of crashes of which the time is remembered; the oldest are evicted first. */
const MAX_CRASH_TIMES = 500;
/** Maximum number of features remembered; the oldest are evicted first. */
const MAX_FEATURES = 5_000;
/** Parts of a request that count; longer prompts share their first parts anyway. */
const MAX_PARTS = 32;

/** Time in ms after its last crash at which one request with a convicted part may run, to learn if it still crashes. */
const FIRST_TRIAL_DELAY_MS = 30_000;
/** Factor by which each further crash delays the next trial, and the longest delay in ms. */
const TRIAL_DELAY_FACTOR = 4;
const MAX_TRIAL_DELAY_MS = 240_000;

/** Creates evidence against nothing. */
export function createCrashEvidence(): CrashEvidence {
    return {
        features: new Map(),
        crashTimes: new Map(),
        convictedParts: undefined,
        convictedUntil: -Infinity,
        lastTrials: new Map(),
    };
}

/** Counts a crash that this or another router detected at a time in ms against all features of a suspect request. */
export function addSuspect(
    evidence: CrashEvidence,
    { request, parts }: RequestFeatures,
    crash: Omit<Crash, "suspects">,
    at: number,
): void {
    const counted = parts.slice(0, MAX_PARTS);
    counted.forEach((part, index) => addFeature(evidence, part, "part", counted.slice(0, index), crash, at));
    addFeature(evidence, request, "request", counted, crash, at);
    evidence.convictedParts = undefined;
    if (!evidence.crashTimes.has(crash.start)) {
        evidence.crashTimes.set(crash.start, at);
    }
    if (evidence.crashTimes.size > MAX_CRASH_TIMES) {
        evidence.crashTimes.delete(evidence.crashTimes.keys().next().value!);
    }
    while (evidence.features.size > MAX_FEATURES) {
        evictOldest(evidence.features);
    }
}

function addFeature(
    { features, crashTimes }: CrashEvidence,
    feature: SuspectFeature,
    kind: FeatureEvidence["kind"],
    broader: readonly PromptPartId[],
    { start, isTimed }: Omit<Crash, "suspects">,
    at: number,
): void {
    const known = features.get(feature)
        ?? { kind, crashes: new Map(), unrefuted: new Set(), broader: new Set<PromptPartId>(), completedAt: -Infinity };
    features.set(feature, known);
    broader.forEach((part) => known.broader.add(part));
    known.unrefuted.add(start);
    if ((crashTimes.get(start) ?? at) <= known.completedAt) {
        return;
    }
    const crash = known.crashes.get(start);
    if (crash === undefined) {
        known.crashes.set(start, { at, isTimed });
    }
    else {
        crash.isTimed ||= isTimed;
    }
}

/**
 * Records that requests with these features completed, which refutes the evidence against them. Returns those that
 * other routers should be told of, as one more crash may make them refuse requests.
 */
export function recordCompletion(
    evidence: CrashEvidence,
    completed: readonly SuspectFeature[],
    now: number,
): SuspectFeature[] {
    for (const feature of completed) {
        const known = evidence.features.get(feature);
        if (known !== undefined) {
            clearCrashes(evidence, known, now);
        }
    }
    return completed.filter((feature) => isRefutable(evidence, feature));
}

/** Returns whether several crashes count against a feature elsewhere that this router knows to be refuted. */
export function isRefutable({ features }: CrashEvidence, feature: SuspectFeature): boolean {
    const known = features.get(feature);
    return known !== undefined && known.crashes.size === 0 && known.unrefuted.size >= CRASH_LIMIT - 1;
}

/** Drops all evidence against a feature, because some router reported that a request with it completed. */
export function refute(evidence: CrashEvidence, feature: SuspectFeature, now: number): void {
    const known = evidence.features.get(feature);
    if (known !== undefined) {
        clearCrashes(evidence, known, now);
        known.unrefuted.clear();
        evidence.lastTrials.delete(feature as PromptPartId);
    }
}

function clearCrashes(evidence: CrashEvidence, known: FeatureEvidence, now: number): void {
    known.completedAt = now;
    if (known.crashes.size > 0) {
        known.crashes.clear();
        evidence.convictedParts = undefined;
    }
}

/** Returns how many crashes of starts count against a feature. */
export function crashCount(evidence: CrashEvidence, feature: SuspectFeature, now: number): number {
    return crashesOf(evidence, feature, now).length;
}

/** Returns the starts whose crashes count against a feature. */
export function crashedStarts(evidence: CrashEvidence, feature: SuspectFeature, now: number): string[] {
    return crashesOf(evidence, feature, now).map(([start]) => start);
}

/**
 * Returns the parts held responsible for crashes. Each crash is explained by as few parts as possible: those in most
 * crashes, and of parts that always come together the most specific one.
 */
export function convictedParts(evidence: CrashEvidence, now: number): ReadonlySet<PromptPartId> {
    if (evidence.convictedParts === undefined || now >= evidence.convictedUntil) {
        const convicted = convict(evidence, now);
        evidence.convictedParts = new Set(convicted.filter(isPartOf(evidence)));
        evidence.convictedUntil = Math.min(
            ...convicted.map((feature) => lastCrashOf(evidence, feature) + CRASH_MEMORY_MS),
        );
    }
    return evidence.convictedParts;
}

/** Returns when the fleet may let a single request with a convicted part run, as a time in ms. */
export function nextTrialAt(evidence: CrashEvidence, part: PromptPartId, now: number): number {
    const beyondLimit = Math.max(0, separateCrashes(crashesOf(evidence, part, now)).length - CRASH_LIMIT);
    const delayMs = Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** beyondLimit);
    return Math.max(lastCrashOf(evidence, part), evidence.lastTrials.get(part) ?? -Infinity) + delayMs;
}

/** Records that this router lets a request with a convicted part run. */
export function recordTrial({ lastTrials }: CrashEvidence, part: PromptPartId, now: number): void {
    lastTrials.set(part, now);
}

/** Returns the time in ms of the last crash that counts against a feature, or -Infinity. */
export function lastCrashOf({ features }: CrashEvidence, feature: SuspectFeature): number {
    return Math.max(-Infinity, ...[...features.get(feature)?.crashes.values() ?? []].map(({ at }) => at));
}

type Crashes = readonly [string, CountedCrash][];

function crashesOf(evidence: CrashEvidence, feature: SuspectFeature, now: number): Crashes {
    return lastCrashOf(evidence, feature) + CRASH_MEMORY_MS <= now
        ? []
        : [...evidence.features.get(feature)?.crashes ?? []];
}

function isPartOf({ features }: CrashEvidence): (feature: SuspectFeature) => feature is PromptPartId {
    return (feature): feature is PromptPartId => features.get(feature)?.kind === "part";
}

function convict(evidence: CrashEvidence, now: number): SuspectFeature[] {
    const candidates = candidatesOf(evidence, now);
    const explained = new Set<string>();
    const convicted: SuspectFeature[] = [];
    while (true) {
        const remaining = candidates
            .filter(({ feature }) => !convicted.includes(feature))
            .map((candidate) => ({ ...candidate, weight: weightOf(candidate, explained) }))
            .filter(({ weight }) => weight.isEnough)
            .sort((one, other) =>
                other.weight.separate - one.weight.separate
                || other.weight.total - one.weight.total
                || other.broader.size - one.broader.size
            );
        const [strongest] = remaining;
        if (strongest === undefined) {
            return convicted;
        }
        const narrower = remaining.filter(({ broader }) => broader.has(strongest.feature as PromptPartId));
        const explainedByNarrower = new Set([...explained, ...narrower.flatMap(startsOf)]);
        const isExplained = !weightOf(strongest, explainedByNarrower).isEnough;
        const found = isExplained ? narrower[0]! : strongest;
        convicted.push(found.feature);
        startsOf(found).forEach((start) => explained.add(start));
    }
}

/** A feature with enough crashes to be convicted, and those that count. */
type Candidate = {
    readonly feature: SuspectFeature;
    readonly kind: FeatureEvidence["kind"];
    readonly broader: ReadonlySet<PromptPartId>;
    readonly crashes: Crashes;
};

function candidatesOf(evidence: CrashEvidence, now: number): Candidate[] {
    const candidates: Candidate[] = [];
    for (const [feature, { kind, broader, crashes: known }] of evidence.features) {
        if (known.size >= CRASH_LIMIT) {
            const crashes = crashesOf(evidence, feature, now);
            const candidate = {
                feature,
                kind,
                broader,
                crashes: kind === "part" ? crashes.filter((crash) => !isCoincident(evidence, known, crash)) : crashes,
            };
            if (weightOf(candidate, new Set()).isEnough) {
                candidates.push(candidate);
            }
        }
    }
    return candidates;
}

function startsOf({ crashes }: Candidate): string[] {
    return crashes.map(([start]) => start);
}

/** Weight of the crashes that count against a feature, without those that others explain. */
type Weight = { readonly total: number; readonly separate: number; readonly isEnough: boolean; };

function weightOf({ kind, crashes }: Candidate, explained: ReadonlySet<string>): Weight {
    const unexplained = crashes.filter(([start]) => !explained.has(start));
    const total = unexplained.length;
    if (kind === "request") {
        return { total, separate: total, isEnough: total >= CRASH_LIMIT };
    }
    const separate = separateCrashes(unexplained).length;
    // Requests that come often crash all endpoints within moments, and again as soon as they are back.
    const isStorm = separate > 1 && total >= STORM_CRASHES;
    return { total, separate, isEnough: separate >= CRASH_LIMIT || isStorm };
}

// Endpoints that end together without a request with the part have another cause, which may explain this crash too.
function isCoincident(
    { crashTimes }: CrashEvidence,
    known: ReadonlyMap<string, CountedCrash>,
    [start, { at }]: Crashes[number],
): boolean {
    for (const [otherStart, otherAt] of crashTimes) {
        if (otherStart !== start && Math.abs(otherAt - at) <= SIMULTANEOUS_MS && !known.has(otherStart)) {
            return true;
        }
    }
    return false;
}

// Returns one crash of each group that may have the same cause.
function separateCrashes(crashes: Crashes): CountedCrash[] {
    const separate: CountedCrash[] = [];
    const ordered = crashes.map(([, crash]) => crash).sort((one, other) => one.at - other.at);
    for (const crash of ordered) {
        const minGapMs = crash.isTimed ? SAME_CAUSE_MS : SAME_CAUSE_UNTIMED_MS;
        if (crash.at - (separate.at(-1)?.at ?? -Infinity) >= minGapMs) {
            separate.push(crash);
        }
    }
    return separate;
}

// Features with a single crash are evicted first, as most of them are unrelated to it.
function evictOldest(features: CrashEvidence["features"]): void {
    for (const [feature, { crashes }] of features) {
        if (crashes.size <= 1) {
            features.delete(feature);
            return;
        }
    }
    features.delete(features.keys().next().value!);
}
