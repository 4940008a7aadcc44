import type { BodyDigest } from "@gooseberrybend/core";
import {
    addCrash,
    clearUnanswered,
    convictedParts,
    type Crash,
    crashCount,
    createSuspectTable,
    discardStart,
    type EndpointEntry,
    type EndpointStart,
    type EndpointState,
    endTrackedSend,
    isPoison,
    isRefutable,
    isSuccess,
    nextTrialAt,
    poisonPart,
    type PromptPartId,
    ranAfter,
    recordBytes,
    recordCompletion,
    recordEnd,
    recordExpiry,
    recordRestart,
    recordTrial,
    refute,
    type RequestFeatures,
    type ResponseEnd,
    startName,
    type SuspectFeature,
    type TrackedSend,
    trackSend,
} from "@gooseberrybend/core/dispatch";
import { checkConnection, type ConnectionOutcome } from "./connection-check.js";
import type { CrashReports } from "./crash-reports.js";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem } from "./metadata-store.js";

/** Maximum requests, and prompt parts of each, listed in one log line. */
const MAX_LOGGED_REQUESTS = 8;
const MAX_LOGGED_PARTS = 8;
/** Longest delay in ms of telling other routers that a request completed: many routers learn it at the same time. */
const MAX_REFUTATION_DELAY_MS = 300;
/** Time in ms after the end of a connection by which a busy endpoint has sent bytes on another one. */
const SIGN_OF_LIFE_MS = 300;
/** Shortest retry delay in ms for the caller of a request that crashes endpoints. */
const MIN_RETRY_AFTER_MS = 5_000;

/** Events of suspect requests, as counted in the metrics. */
export const suspectEvents = [
    "broken",
    "crashed",
    "heard",
    "shared",
    "not-shared",
    "cleared",
    "convicted",
    "released",
    "trial",
] as const;

/** Event of a suspect request. */
export type SuspectEvent = typeof suspectEvents[number];

/** How a crash was detected. */
type CrashEvidenceKind = "refuses-connections" | "started-again" | "lapsed";

/** Why a request is not run: the request itself or a part of its prompt crashes endpoints. */
export type Conviction = {
    readonly kind: "convicted";
    readonly part: PromptPartId | undefined;
    /** Time in ms after which the caller may try again. */
    readonly retryAfterMs: number;
};

/** Whether a request may run; `trial` if it has a convicted part and shows whether that still crashes endpoints. */
export type Admission = { readonly kind: "admitted" | "trial"; } | Conviction;

/** Tracks which requests were running when endpoints crashed, and shares this with the other routers. */
export class PoisonRequestTracker {
    private readonly table = createSuspectTable();
    /** Connection checks in progress, by the start of the endpoint. */
    private readonly runningChecks = new Map<string, Promise<ConnectionOutcome>>();
    /** Refutations that this router is about to report. */
    private readonly pendingRefutations = new Set<SuspectFeature>();
    /** Parts that were last logged as convicted. */
    private loggedConvictions: ReadonlySet<PromptPartId> = new Set();

    constructor(
        private readonly reports: CrashReports,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: SuspectEvent) => void,
        /** Monotonic time in ms. */
        private readonly clock: () => number,
        /** Whether this router is the one that tries convicted parts again. */
        private readonly isTrialRouter: (part: PromptPartId) => boolean,
        /** In [0, 1). */
        private readonly random: () => number,
        /** Called when an endpoint does not accept a connection. */
        private readonly onLost: (entry: EndpointEntry) => void = () => undefined,
    ) {}

    /** Records that a request is sent to an endpoint. */
    track(entry: EndpointEntry, features: RequestFeatures): TrackedSend {
        return trackSend(this.table, startOf(entry), features);
    }

    /** Records that bytes of a response arrived; `isStreaming` if they are of a successful stream. */
    recordResponseByte(send: TrackedSend | undefined, isStreaming: boolean, now: number): void {
        if (send !== undefined && recordBytes(send, isStreaming, now)) {
            this.recordCompletion(send.features.parts);
        }
    }

    /** Records the end of a send, with or without a response. */
    recordSendEnd(send: TrackedSend | undefined, answered: boolean, now: number): void {
        if (send !== undefined) {
            endTrackedSend(this.table, send, answered, now);
        }
    }

    /**
     * Records that the connection of a send broke, and checks whether the endpoint still accepts connections,
     * as other requests may not be sent there soon. Resolves once the check has ended.
     */
    async recordBrokenConnection(entry: EndpointEntry): Promise<void> {
        this.countEvent("broken");
        await this.checkEndpoint(entry);
    }

    /**
     * Records that an endpoint responded to a request other than by a failure. If the response ended with its
     * connection, which a crash closes as well, it counts once it shows that the endpoint still runs.
     */
    recordResponse(entry: EndpointEntry, send: TrackedSend, status: number, end: ResponseEnd): void {
        if (end === "complete") {
            this.recordServed(entry, send.features, status);
            return;
        }
        const endedAt = this.clock();
        setTimeout(async () => {
            if (ranAfter(send, endedAt) || await this.checkEndpoint(entry) === "accepted") {
                this.recordServed(entry, send.features, status);
            }
        }, SIGN_OF_LIFE_MS).unref();
    }

    /** Returns whether an endpoint whose response ended with its connection still runs, as far as can be told. */
    async isRunning(entry: EndpointEntry): Promise<boolean> {
        return await this.checkEndpoint(entry) === "accepted";
    }

    /** Records that an endpoint refuses connections. */
    recordUnreachable(entry: EndpointEntry, now: number): void {
        this.recordCrash(entry, "refuses-connections", recordEnd(this.table, startOf(entry), now));
    }

    /** Records that the registration of an endpoint was replaced under the same id. */
    recordReplacedRegistration(before: EndpointEntry, after: EndpointEntry): void {
        if (after.startedAt > before.startedAt) {
            this.recordCrash(before, "started-again", recordRestart(this.table, startOf(before), this.clock()));
        }
        else {
            discardStart(this.table, startOf(before));
        }
    }

    /** Records that the registration of an endpoint was removed or has expired. */
    recordRemovedRegistration({ entry, announcedLeaving }: EndpointState): void {
        if (entry.leaving || announcedLeaving) {
            discardStart(this.table, startOf(entry));
        }
        else {
            this.recordCrash(entry, "lapsed", recordExpiry(this.table, startOf(entry), this.clock()));
        }
    }

    /** Applies stored crash reports, in the order in which they were written. */
    applyItems(items: readonly StoredItem[]): void {
        for (const item of [...items].sort((one, other) => one.revision - other.revision)) {
            const report = this.reports.read(item);
            if (report === undefined) {
                continue;
            }
            if (report.kind === "unreadable-report") {
                this.logs.endpoints.warn("Invalid crash report in the store ignored.", { key: report.key });
                continue;
            }
            if (report.kind === "refutation") {
                report.features.forEach((feature) => this.applyRefutation(feature));
                continue;
            }
            this.applyCrash(report.crash, report.at);
        }
        this.logConvictions("crash reports");
    }

    /** Applies a crash reported by another router. With `keep`, also stores it for that router, which can't. */
    applyPeerReport(crash: Crash, keep: boolean): void {
        this.applyCrash(crash, this.clock());
        this.logConvictions("crash reports");
        if (keep) {
            this.reports.storeCrashForPeer(crash);
        }
    }

    private applyCrash(crash: Crash, at: number): void {
        this.countEvent("heard");
        addCrash(this.table, crash, at);
        this.logs.endpoints.info("Crash report received.", {
            start: crash.start,
            ageMs: Math.round(this.clock() - at),
            isTimed: crash.isTimed,
            requests: this.loggedSuspects(crash),
        });
    }

    private applyRefutation(feature: SuspectFeature): void {
        refute(this.table.evidence, feature, this.clock());
        clearUnanswered(this.table, feature as BodyDigest);
    }

    // Refutes earlier crashes as evidence against the request.
    private recordServed(entry: EndpointEntry, { request, parts }: RequestFeatures, status: number): void {
        const now = this.clock();
        const crashes = crashCount(this.table.evidence, request, now);
        clearUnanswered(this.table, request);
        this.recordCompletion([request, ...isSuccess(status) ? parts : []]);
        if (crashes > 0) {
            this.countEvent("cleared");
            this.logs.endpoints.info("Suspect request completed; cleared of its crashes.", {
                request,
                crashes,
                endpoint: entry.id,
                status,
            });
        }
    }

    /** Decides whether a request may run. A `trial` counts as run, and is not allowed again soon. */
    admit(features: RequestFeatures): Admission {
        const conviction = this.convictionOf(features);
        if (conviction?.part === undefined) {
            return conviction ?? { kind: "admitted" };
        }
        const now = this.clock();
        if (now < nextTrialAt(this.table.evidence, conviction.part, now) || !this.isTrialRouter(conviction.part)) {
            return conviction;
        }
        recordTrial(this.table.evidence, conviction.part, now);
        this.countEvent("trial");
        this.logs.endpoints.warn("Letting one request with a prompt part that crashed endpoints run.", {
            ...this.figures(features),
            part: conviction.part,
        });
        return { kind: "trial" };
    }

    /** Returns why a request must not run, because it or a part of its prompt crashes endpoints. */
    convictionOf({ request, parts }: RequestFeatures): Conviction | undefined {
        const now = this.clock();
        if (isPoison(this.table, request, now)) {
            return { kind: "convicted", part: undefined, retryAfterMs: MIN_RETRY_AFTER_MS };
        }
        const part = poisonPart(this.table, parts, now);
        if (part === undefined) {
            return undefined;
        }
        const trialMs = nextTrialAt(this.table.evidence, part, now) - now;
        return { kind: "convicted", part, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, trialMs) };
    }

    /** Returns the log fields of a request: its digest, the number of its crashes, and the shared parts of its prompt. */
    figures({ request, parts }: RequestFeatures): object {
        return { ...this.crashFigures(request), parts: parts.slice(0, MAX_LOGGED_PARTS) };
    }

    private crashFigures(request: BodyDigest): object {
        return { request, crashes: crashCount(this.table.evidence, request, this.clock()) };
    }

    private loggedSuspects({ suspects }: Crash): object[] {
        return suspects.slice(0, MAX_LOGGED_REQUESTS).map((features) => this.figures(features));
    }

    private recordCompletion(features: readonly SuspectFeature[]): void {
        for (const feature of recordCompletion(this.table.evidence, features, this.clock())) {
            if (!this.pendingRefutations.has(feature)) {
                this.pendingRefutations.add(feature);
                setTimeout(() => this.reportRefutation(feature), this.random() * MAX_REFUTATION_DELAY_MS).unref();
            }
        }
        this.logConvictions("request completed");
    }

    // Another router may have reported it in the meantime.
    private reportRefutation(feature: SuspectFeature): void {
        this.pendingRefutations.delete(feature);
        if (isRefutable(this.table.evidence, feature)) {
            refute(this.table.evidence, feature, this.clock());
            this.reports.addRefutation(feature);
        }
    }

    private logConvictions(reason: string): void {
        const now = this.clock();
        const convicted = convictedParts(this.table.evidence, now);
        if (convicted === this.loggedConvictions) {
            return;
        }
        for (const part of convicted) {
            if (!this.loggedConvictions.has(part)) {
                this.countEvent("convicted");
                this.logs.endpoints.warn("Prompt part crashes endpoints; refusing requests with it.", {
                    part,
                    crashes: crashCount(this.table.evidence, part, now),
                    nextTrialMs: Math.round(nextTrialAt(this.table.evidence, part, now) - now),
                });
            }
        }
        for (const part of this.loggedConvictions) {
            if (!convicted.has(part)) {
                this.countEvent("released");
                this.logs.endpoints.info("Prompt part no longer held responsible for crashes.", { part, reason });
            }
        }
        this.loggedConvictions = convicted;
    }

    private checkEndpoint(entry: EndpointEntry): Promise<ConnectionOutcome> {
        const name = startName(startOf(entry));
        const runningCheck = this.runningChecks.get(name);
        if (runningCheck !== undefined) {
            return runningCheck;
        }
        const newCheck = this.connectTo(entry).finally(() => this.runningChecks.delete(name));
        this.runningChecks.set(name, newCheck);
        return newCheck;
    }

    private async connectTo(entry: EndpointEntry): Promise<ConnectionOutcome> {
        const outcome = await checkConnection(entry.address);
        this.logs.endpoints.info("Connection check of an endpoint ended.", {
            endpoint: entry.id,
            startedAt: entry.startedAt,
            outcome,
        });
        if (outcome !== "accepted") {
            this.onLost(entry);
        }
        if (outcome === "refused") {
            this.recordUnreachable(entry, this.clock());
        }
        return outcome;
    }

    private recordCrash(entry: EndpointEntry, evidence: CrashEvidenceKind, crash: Crash | undefined): void {
        if (crash === undefined) {
            return;
        }
        this.countEvent("crashed");
        this.logs.endpoints.warn("Endpoint crashed.", {
            endpoint: entry.id,
            start: crash.start,
            evidence,
            suspects: crash.suspects.length,
            isTimed: crash.isTimed,
            requests: this.loggedSuspects(crash),
        });
        this.logConvictions("endpoint crashed");
        this.reports.addCrash(crash);
    }
}

function startOf(entry: EndpointEntry): EndpointStart {
    return { endpoint: entry.id, startedAt: entry.startedAt };
}
