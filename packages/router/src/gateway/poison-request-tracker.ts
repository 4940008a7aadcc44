import type { BodyDigest } from "@gooseberrybend/core";
import {
    addCrash,
    clearSuspect,
    type Crash,
    crashCount,
    createSuspectTable,
    discardStart,
    type EndpointEntry,
    type EndpointStart,
    type EndpointState,
    endTrackedSend,
    isPoison,
    recordBytes,
    recordEnd,
    recordExpiry,
    recordRestart,
    type RequestFeatures,
    startName,
    type TrackedSend,
    trackSend,
} from "@gooseberrybend/core/dispatch";
import { checkConnection } from "./connection-check.js";
import type { CrashReport, CrashReports } from "./crash-reports.js";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem } from "./metadata-store.js";

/** Maximum requests listed in one log line. */
const MAX_LOGGED_REQUESTS = 8;

/** Maximum prompt parts listed in one log line. */
const MAX_LOGGED_PARTS = 8;

/** Events of suspect requests, as counted in the metrics. */
export const suspectEvents = ["broken", "crashed", "heard", "shared", "not-shared", "cleared"] as const;

/** Event of a suspect request. */
export type SuspectEvent = typeof suspectEvents[number];

/** How a crash was detected. */
type CrashEvidence = "refuses-connections" | "started-again" | "lapsed";

/** Tracks which requests were running when endpoints crashed, and shares this with the other routers. */
export class PoisonRequestTracker {
    private readonly table = createSuspectTable();
    /** Connection checks in progress, by the start of the endpoint. */
    private readonly runningChecks = new Map<string, Promise<void>>();

    constructor(
        private readonly reports: CrashReports,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: SuspectEvent) => void,
        /** Monotonic time in ms. */
        private readonly clock: () => number,
    ) {}

    /** Records that a request is sent to an endpoint. */
    track(entry: EndpointEntry, body: BodyDigest): TrackedSend {
        return trackSend(this.table, startOf(entry), body);
    }

    /** Records that a byte of a response arrived. */
    recordResponseByte(send: TrackedSend | undefined, now: number): void {
        if (send !== undefined) {
            recordBytes(send, now);
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
    recordBrokenConnection(entry: EndpointEntry): Promise<void> {
        this.countEvent("broken");
        const name = startName(startOf(entry));
        const runningCheck = this.runningChecks.get(name);
        if (runningCheck !== undefined) {
            return runningCheck;
        }
        const newCheck = this.checkEndpoint(entry).finally(() => this.runningChecks.delete(name));
        this.runningChecks.set(name, newCheck);
        return newCheck;
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
            if ("kind" in report) {
                this.logs.endpoints.warn("Invalid crash report in the store ignored.", { key: report.key });
                continue;
            }
            this.applyReport(report);
        }
    }

    /** Applies a crash reported by another router. With `keep`, also stores it for that router, which can't. */
    applyPeerReport(crash: Crash, keep: boolean): void {
        this.applyReport({ ...crash, at: this.clock() });
        if (keep) {
            this.reports.storeCrashForPeer(crash);
        }
    }

    private applyReport({ start, requests, at }: CrashReport): void {
        if (start === undefined) {
            requests.forEach((body) => clearSuspect(this.table, body, this.clock()));
            return;
        }
        this.countEvent("heard");
        requests.forEach((body) => addCrash(this.table, body, start, at));
        this.logs.endpoints.info("Crash report received.", {
            start,
            ageMs: Math.round(this.clock() - at),
            requests: requests.slice(0, MAX_LOGGED_REQUESTS).map((body) => this.crashFigures(body)),
        });
    }

    /** Records that an endpoint completed a request successfully, which clears the request of its crashes. */
    recordServed(entry: EndpointEntry, body: BodyDigest, status: number): void {
        const crashes = clearSuspect(this.table, body, this.clock());
        if (crashes > 0) {
            this.countEvent("cleared");
            this.logs.endpoints.info("Suspect request completed; cleared of its crashes.", {
                request: body,
                crashes,
                endpoint: entry.id,
                status,
            });
            if (crashes > 1) {
                // Other routers would refuse it after one more crash.
                this.reports.addCleared(body);
            }
        }
    }

    /** Returns whether a request has crashed too many endpoints to be run again. */
    isPoison(body: BodyDigest): boolean {
        return isPoison(this.table, body, this.clock());
    }

    /** Returns the log fields of a request: its digest, the number of its crashes, and the shared parts of its prompt. */
    figures({ request, parts }: RequestFeatures): object {
        return { ...this.crashFigures(request), parts: parts.slice(0, MAX_LOGGED_PARTS) };
    }

    private crashFigures(body: BodyDigest): object {
        return { request: body, crashes: crashCount(this.table, body, this.clock()) };
    }

    private async checkEndpoint(entry: EndpointEntry): Promise<void> {
        const outcome = await checkConnection(entry.address);
        this.logs.endpoints.info("Connection check of an endpoint ended.", {
            endpoint: entry.id,
            startedAt: entry.startedAt,
            outcome,
        });
        if (outcome === "refused") {
            this.recordUnreachable(entry, this.clock());
        }
    }

    private recordCrash(entry: EndpointEntry, evidence: CrashEvidence, crash: Crash | undefined): void {
        if (crash === undefined) {
            return;
        }
        this.countEvent("crashed");
        this.logs.endpoints.warn("Endpoint crashed.", {
            endpoint: entry.id,
            start: crash.start,
            evidence,
            suspects: crash.requests.length,
            requests: crash.requests.slice(0, MAX_LOGGED_REQUESTS).map((body) => this.crashFigures(body)),
        });
        this.reports.addCrash(crash);
    }
}

function startOf(entry: EndpointEntry): EndpointStart {
    return { endpoint: entry.id, startedAt: entry.startedAt };
}
