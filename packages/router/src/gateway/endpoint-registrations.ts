import { brand, type EndpointId } from "@gooseberrybend/core";
import {
    type EndpointEntry,
    type EndpointState,
    type EndpointTable,
    putEndpoint,
    recordColdRegistration,
    removeEndpoint,
} from "@gooseberrybend/core/dispatch";
import type { Dialect } from "./dialect.js";
import type { GatewayLogs } from "./log-sink.js";
import type { StoredItem } from "./metadata-store.js";

/** Maximum number of keys whose invalid registration is remembered as logged. */
const MAX_LOGGED_FAULTS = 1_000;

/** Number of removed endpoints that are remembered, and the time in ms for which they are. */
const MAX_REMOVED = 1_000;
const REMOVED_MEMORY_MS = 60_000;
/** Time in ms after a store has come back from an older copy within which registrations are written again. */
const REWRITE_MS = 5_000;

/** Renewals that an endpoint misses at least in a store outage before its registration expires. */
const MISSED_RENEWALS = 2;

/** Returns the shortest time in ms of a store outage in which a registration expires that is renewed at an interval. */
export function shortestExpiryMs(renewalMs: number): number {
    return MISSED_RENEWALS * renewalMs;
}

/** Told of changes in the endpoints that are registered. */
export type RegistrationListener = {
    /** An endpoint restarted, or has another address or service. */
    readonly onRestarted: (previous: EndpointState, entry: EndpointEntry) => void;
    readonly onRemoved: (row: EndpointState) => void;
    readonly onCount: (count: number) => void;
};

/** Applies the registrations of endpoints in the store to the table of endpoints. Times in ms. */
export class EndpointRegistrations {
    private readonly loggedFaults = new Map<string, string>();
    /** Starts of endpoints that were removed, by id, and the time of the removal. */
    private readonly removed = new Map<EndpointId, { readonly startedAt: number; readonly at: number; }>();
    /** Registrations that are held back, as they may be older than what this router knew, by key. */
    private readonly heldBack = new Map<string, NodeJS.Timeout>();

    constructor(
        private readonly dialect: Pick<Dialect, "endpointPrefix" | "readEndpoint">,
        private readonly table: EndpointTable,
        private readonly logs: GatewayLogs,
        private readonly listener: RegistrationListener,
    ) {}

    /** Applies all registrations of the store; endpoints without one are removed after a grace period. */
    replace(items: readonly StoredItem[], graceMs: number, now: number): void {
        const listed = new Set(
            [...items.map((item) => item.key), ...this.heldBack.keys()].map((key) => this.idOf(key)),
        );
        items.forEach((item) => this.put(item, now));
        for (const id of this.table.rows.keys()) {
            if (!listed.has(id)) {
                this.removeAfter(id, graceMs, now);
            }
        }
    }

    /**
     * Returns the registrations of a store that came back from an older copy without those that undo what this router
     * knew: of endpoints that were leaving or had been removed. They are applied if nothing newer replaces them.
     */
    withoutOutdated(items: readonly StoredItem[], now: number): readonly StoredItem[] {
        return items.filter((item) => {
            const entry = this.decode(item);
            if (entry === undefined || !this.isOutdated(entry, now)) {
                return true;
            }
            this.logs.endpoints.info("Registration held back, as it may be older than a removal or a drain.", {
                endpoint: entry.id,
                revision: item.revision,
            });
            const apply = (): void => {
                this.heldBack.delete(item.key);
                this.put(item, now + REWRITE_MS);
            };
            this.heldBack.set(item.key, setTimeout(apply, REWRITE_MS).unref());
            return false;
        });
    }

    private isOutdated(entry: EndpointEntry, now: number): boolean {
        const row = this.table.rows.get(entry.id);
        if (row !== undefined) {
            return row.entry.startedAt === entry.startedAt && row.entry.leaving && !entry.leaving;
        }
        const removed = this.removed.get(entry.id);
        return removed?.startedAt === entry.startedAt && now - removed.at < REMOVED_MEMORY_MS;
    }

    private endHold(key: string): void {
        clearTimeout(this.heldBack.get(key));
        this.heldBack.delete(key);
    }

    /**
     * Applies one registration; an invalid one names no endpoint. `writtenAfter` is a time before which it was not
     * written.
     */
    put(item: StoredItem, now: number, writtenAfter = -Infinity): void {
        this.endHold(item.key);
        const entry = this.decode(item);
        if (entry === undefined) {
            this.drop(this.idOf(item.key), "unreadable");
            return;
        }
        const existing = this.table.rows.get(entry.id);
        const isChanged = existing === undefined || existing.entry.leaving !== entry.leaving
            || existing.entry.startedAt !== entry.startedAt;
        const previous = putEndpoint(this.table, entry);
        recordColdRegistration(this.table.limits.cold, entry, item.revision, writtenAfter, now);
        if (previous !== undefined) {
            this.listener.onRestarted(previous, entry);
        }
        if (isChanged) {
            this.logs.endpoints.info(entry.leaving ? "Endpoint is leaving." : "Endpoint registered.", {
                ...entry,
                revision: item.revision,
            });
        }
        this.listener.onCount(this.table.rows.size);
    }

    /** Removes the endpoint of a key, after a grace period in which a live endpoint registers again. */
    remove(key: string, graceMs: number, now: number): void {
        this.endHold(key);
        this.removeAfter(this.idOf(key), graceMs, now);
    }

    private removeAfter(id: EndpointId, graceMs: number, now: number): void {
        const row = this.table.rows.get(id);
        if (row === undefined) {
            return;
        }
        if (graceMs <= 0) {
            this.drop(id, "registration removed");
            this.remember(row, now);
            return;
        }
        this.logs.endpoints.info("Registration removed; endpoint kept, as it may have expired in a store outage.", {
            endpoint: id,
            keptMs: Math.round(graceMs),
        });
        row.expiresAt = now + graceMs;
        setTimeout(() => {
            if (this.table.rows.get(id) === row && row.expiresAt !== undefined) {
                this.drop(id, "not back after the outage");
            }
        }, graceMs).unref();
    }

    private decode({ key, value }: StoredItem): EndpointEntry | undefined {
        try {
            const decoded = this.dialect.readEndpoint(key, value);
            if (decoded.isOk()) {
                return decoded.value;
            }
            this.logFault(key, decoded.error.message);
        }
        catch (error) {
            this.logFault(key, (error as Error).message);
        }
        return undefined;
    }

    private drop(id: EndpointId, reason: string): void {
        const row = removeEndpoint(this.table, id);
        if (row !== undefined) {
            this.listener.onRemoved(row);
            this.logs.endpoints.info("Endpoint removed.", { endpoint: id, reason });
            this.listener.onCount(this.table.rows.size);
        }
    }

    private remember({ entry }: EndpointState, now: number): void {
        this.removed.set(entry.id, { startedAt: entry.startedAt, at: now });
        if (this.removed.size > MAX_REMOVED) {
            this.removed.delete(this.removed.keys().next().value!);
        }
    }

    private idOf(key: string): EndpointId {
        return brand<EndpointId>(key.slice(this.dialect.endpointPrefix.length));
    }

    // Invalid registrations are written repeatedly; each error is logged once.
    private logFault(key: string, message: string): void {
        if (this.loggedFaults.get(key) !== message && this.loggedFaults.size < MAX_LOGGED_FAULTS) {
            this.loggedFaults.set(key, message);
            this.logs.endpoints.warn("Invalid endpoint registration; endpoint not used.", { key, detail: message });
        }
    }
}
