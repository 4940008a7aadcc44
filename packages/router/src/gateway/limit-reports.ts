import { brand, type EndpointId } from "@gooseberrybend/core";
import {
    type EndpointEntry,
    type EndpointLimits,
    limitToReport,
    recordReportedLimit,
    type ReportedLimit,
} from "@gooseberrybend/core/dispatch";
import { z } from "zod";
import type { LimitEvent } from "./gateway-metrics.js";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoredItem } from "./metadata-store.js";
import { parseJson } from "./parse-json.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Key prefix of the request limits that routers share, followed by the endpoint's id. */
export const LIMIT_PREFIX = `${SHARED_PREFIX}limits/`;

/** Minimum time in ms between two writes for one endpoint; each is read by all routers. */
const WRITE_INTERVAL_MS = 2_000;
/** Keys of removed endpoints deleted per transaction, of which the store accepts 32 entries. */
const MAX_DELETES = 30;

const valueSchema = z.object({
    startedAt: z.number(),
    /** Requests per second from all routers together; missing if the endpoint no longer states a limit. */
    perSecond: z.number().min(0).optional(),
});

/** A report in the store. */
type StoredReport = { readonly report: ReportedLimit; readonly revision: number; };

/**
 * Shares request limits with the other routers through the store. A router that leaves a limited endpoint to others
 * gets no responses from it, so it can't notice the end of a limit by itself.
 */
export class LimitReports {
    private readonly stored = new Map<EndpointId, StoredReport>();
    /** Time of the last write in ms, by endpoint. */
    private readonly writtenAt = new Map<EndpointId, number>();

    constructor(
        private readonly store: MetadataStore,
        private readonly limits: EndpointLimits,
        private readonly logs: GatewayLogs,
        private readonly countEvent: (event: LimitEvent) => void,
        private readonly random: () => number,
        /** Monotonic time in ms. */
        private readonly clock: () => number,
    ) {}

    /** Forgets what is stored, as the store came back from an older copy; its items are applied again. */
    forgetStored(): void {
        this.stored.clear();
        this.writtenAt.clear();
    }

    /** Applies a stored report. */
    apply({ key, value, revision }: StoredItem): void {
        const endpoint = endpointOf(key);
        if (revision < (this.stored.get(endpoint)?.revision ?? 0)) {
            // A change feed may be behind a write of this router.
            return;
        }
        const parsed = valueSchema.safeParse(parseJson(value.toString("utf8")));
        if (!parsed.success) {
            this.logs.endpoints.warn("Invalid request limit in the store ignored.", { key });
            return;
        }
        const { startedAt, perSecond } = parsed.data;
        const report = { endpoint, startedAt, perSecond };
        this.stored.set(endpoint, { report, revision });
        const now = this.clock();
        const change = recordReportedLimit(this.limits, report, this.random, now);
        if (change !== undefined) {
            this.countEvent("heard");
            this.logs.endpoints.info("Request limit of the endpoint reported by another router.", {
                ...report,
                before: change.before,
                revision,
            });
        }
    }

    /** Records that a key was removed from the store. */
    recordRemoved(key: string, revision: number): void {
        const endpoint = endpointOf(key);
        if (revision > (this.stored.get(endpoint)?.revision ?? 0)) {
            this.stored.delete(endpoint);
        }
    }

    /** Writes what an endpoint's response stated, if other routers need to know it from this one. */
    async report(entry: EndpointEntry): Promise<void> {
        const now = this.clock();
        const stored = this.stored.get(entry.id);
        const report = limitToReport(this.limits, entry, stored?.report);
        if (report === undefined || now - (this.writtenAt.get(entry.id) ?? -Infinity) < WRITE_INTERVAL_MS) {
            return;
        }
        this.writtenAt.set(entry.id, now);
        const key = LIMIT_PREFIX + entry.id;
        const { startedAt, perSecond } = report;
        const result = await this.store.transact({
            conditions: new Map([[key, stored?.revision ?? 0]]),
            puts: [{ key, value: JSON.stringify({ startedAt, perSecond }) }],
            deletes: [],
        });
        this.countEvent(result.kind === "done" ? "shared" : "not-shared");
        this.logs.endpoints.info("Write of a request limit to the store ended.", { ...report, result: result.kind });
        if (result.kind === "done" && result.value > (this.stored.get(entry.id)?.revision ?? 0)) {
            this.stored.set(entry.id, { report, revision: result.value });
        }
        else if (result.kind === "conflict") {
            this.applyConflict(entry.id, result.items.get(key));
        }
    }

    private applyConflict(endpoint: EndpointId, current: StoredItem | undefined): void {
        if (current === undefined) {
            this.stored.delete(endpoint);
            return;
        }
        this.apply(current);
    }

    /** Deletes the reports of endpoints that are no longer registered. */
    async removeUnregistered(isRegistered: (endpoint: EndpointId) => boolean): Promise<void> {
        const removed = [...this.stored.keys()].filter((endpoint) => !isRegistered(endpoint)).slice(0, MAX_DELETES);
        if (removed.length === 0) {
            return;
        }
        const deletes = removed.map((endpoint) => LIMIT_PREFIX + endpoint);
        const result = await this.store.transact({ conditions: new Map(), puts: [], deletes });
        this.logs.endpoints.info("Request to delete request limits of removed endpoints ended.", {
            endpoints: removed.length,
            result: result.kind,
        });
    }
}

function endpointOf(key: string): EndpointId {
    return brand<EndpointId>(key.slice(LIMIT_PREFIX.length));
}
