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
    /** True if the reporting router received a complete response since the crash before, so that others still ran. */
    readonly othersRan: boolean;
};

/** A crash that counts against a feature. */
type CountedCrash = { readonly at: number; othersRan: boolean; };

/** Evidence against one feature. */
type FeatureEvidence = {
    readonly kind: "request" | "part";
    /** Crashes since a request with the feature last completed, as far as this router knows, by start. */
    readonly crashes: Map<string, CountedCrash>;
    /** Starts that crashed since all routers were last told that a request with the feature completed. */
    readonly unrefuted: Set<string>;
    /** Parts before this feature in the prompts of requests. */
    readonly broader: Set<PromptPartId>;
};

/** Crashes of endpoints and the features that may have caused them. Times in ms. */
export type CrashEvidence = {
    readonly features: Map<SuspectFeature, FeatureEvidence>;
    /** Parts held responsible for crashes; undefined if it has to be worked out again. */
    convictedParts: ReadonlySet<PromptPartId> | undefined;
    /** When the first of `convictedParts` expires. */
    convictedUntil: number;
    lastCrashAt: number;
    lastCompletionAt: number;
    /** When this router last let a request with a convicted part run. */
    readonly lastTrials: Map<PromptPartId, number>;
};

/** Crashes after which a feature is held responsible; a single crash also affects many unrelated requests. */
export const CRASH_LIMIT = 3;
/** Time in ms after its last crash for which evidence against a feature counts; callers may repeat for minutes. */
export const CRASH_MEMORY_MS = 600_000;
/** Crashes of a part's requests within this time in ms count once: a rack that fails ends many endpoints together. */
const SAME_CAUSE_MS = 500;
/** The same if no response completed in between: then all endpoints may have failed for another reason. */
const SAME_OUTAGE_MS = 4_000;
/** Maximum number of features remembered; the oldest are evicted first. */
const MAX_FEATURES = 5_000;
/** Parts of a request that count; longer prompts share their first parts anyway. */
const MAX_PARTS = 32;

/** Time in ms after its last crash at which one request with a convicted part may run, to learn if it still crashes. */
const FIRST_TRIAL_DELAY_MS = 15_000;
/** Factor by which each further crash delays the next trial, and the longest delay in ms. */
const TRIAL_DELAY_FACTOR = 4;
const MAX_TRIAL_DELAY_MS = 240_000;

/** Creates evidence against nothing. */
export function createCrashEvidence(): CrashEvidence {
    return {
        features: new Map(),
        convictedParts: undefined,
        convictedUntil: -Infinity,
        lastCrashAt: -Infinity,
        lastCompletionAt: -Infinity,
        lastTrials: new Map(),
    };
}

/** Counts a crash that this or another router detected at a time in ms against all features of a suspect request. */
export function addSuspect(
    evidence: CrashEvidence,
    { request, parts }: RequestFeatures,
    { start, othersRan }: Pick<Crash, "start" | "othersRan">,
    at: number,
): void {
    const counted = parts.slice(0, MAX_PARTS);
    counted.forEach((part, index) => addFeature(evidence, part, "part", counted.slice(0, index), start, othersRan, at));
    addFeature(evidence, request, "request", counted, start, othersRan, at);
    evidence.lastCrashAt = Math.max(evidence.lastCrashAt, at);
    evidence.convictedParts = undefined;
    while (evidence.features.size > MAX_FEATURES) {
        evictOldest(evidence.features);
    }
}

function addFeature(
    { features }: CrashEvidence,
    feature: SuspectFeature,
    kind: FeatureEvidence["kind"],
    broader: readonly PromptPartId[],
    start: string,
    othersRan: boolean,
    at: number,
): void {
    const known = features.get(feature)
        ?? { kind, crashes: new Map(), unrefuted: new Set(), broader: new Set<PromptPartId>() };
    features.set(feature, known);
    broader.forEach((part) => known.broader.add(part));
    known.unrefuted.add(start);
    const crash = known.crashes.get(start);
    if (crash === undefined) {
        known.crashes.set(start, { at, othersRan });
    }
    else {
        crash.othersRan ||= othersRan;
    }
}

/** Returns whether a response completed at this router since the last crash that it knows of. */
export function didOthersRun({ lastCompletionAt, lastCrashAt }: CrashEvidence): boolean {
    return lastCompletionAt > lastCrashAt;
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
    evidence.lastCompletionAt = now;
    for (const feature of completed) {
        const known = evidence.features.get(feature);
        if (known !== undefined && known.crashes.size > 0) {
            known.crashes.clear();
            evidence.convictedParts = undefined;
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
export function refute(evidence: CrashEvidence, feature: SuspectFeature): void {
    evidence.features.delete(feature);
    evidence.lastTrials.delete(feature as PromptPartId);
    evidence.convictedParts = undefined;
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
    const beyondLimit = Math.max(0, separateCrashes(crashesOf(evidence, part, now)) - CRASH_LIMIT);
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
    const { features } = evidence;
    const weightOf = (feature: SuspectFeature, crashes: Crashes): number =>
        features.get(feature)!.kind === "part" ? separateCrashes(crashes) : crashes.length;
    const candidates = [...features.keys()].filter((feature) =>
        features.get(feature)!.crashes.size >= CRASH_LIMIT
        && weightOf(feature, crashesOf(evidence, feature, now)) >= CRASH_LIMIT
    );
    const explained = new Set<string>();
    const convicted: SuspectFeature[] = [];
    const unexplained = (feature: SuspectFeature, also = new Set<string>()): number =>
        weightOf(
            feature,
            crashesOf(evidence, feature, now).filter(([start]) => !explained.has(start) && !also.has(start)),
        );
    while (true) {
        const remaining = candidates
            .filter((feature) => !convicted.includes(feature) && unexplained(feature) >= CRASH_LIMIT)
            .sort((one, other) =>
                unexplained(other) - unexplained(one)
                || features.get(other)!.broader.size - features.get(one)!.broader.size
            );
        const [strongest] = remaining;
        if (strongest === undefined) {
            return convicted;
        }
        const narrower = remaining.filter((feature) => features.get(feature)!.broader.has(strongest as PromptPartId));
        const explainedByNarrower = new Set(narrower.flatMap((feature) => crashedStarts(evidence, feature, now)));
        const isExplained = unexplained(strongest, explainedByNarrower) < CRASH_LIMIT;
        const found = isExplained ? narrower[0]! : strongest;
        convicted.push(found);
        crashedStarts(evidence, found, now).forEach((start) => explained.add(start));
    }
}

function separateCrashes(crashes: Crashes): number {
    let count = 0;
    let countedAt = -Infinity;
    for (const { at, othersRan } of crashes.map(([, crash]) => crash).sort((one, other) => one.at - other.at)) {
        if (at - countedAt >= (othersRan ? SAME_CAUSE_MS : SAME_OUTAGE_MS)) {
            count++;
            countedAt = at;
        }
    }
    return count;
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
