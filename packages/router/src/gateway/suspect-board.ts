import { type BodyDigest, brand } from "@gooseberrybend/core";
import {
    addCrash,
    createSuspectTable,
    type EndpointEntry,
    noteBrokenSend,
    noteCrash,
    startName,
} from "@gooseberrybend/core/dispatch";
import type { GatewayLogs } from "./log-sink.js";
import type { MetadataStore, StoreTransaction } from "./metadata-store.js";
import { SHARED_PREFIX } from "./shared-prefix.js";

/** Prefix of the keys that tell of crashes: the request, then the start of the endpoint. */
export const SUSPECT_PREFIX = `${SHARED_PREFIX}suspects/`;

/** Time in ms for which a crash is remembered; a request that crashes endpoints comes again within seconds. */
const MEMORY_MS = 120_000;
/** Entries of one transaction. */
const MOST_ENTRIES = 30;

/** Shares among the routers which requests were running when endpoints crashed. */
export class SuspectBoard {
    readonly table = createSuspectTable();

    constructor(private readonly store: MetadataStore, private readonly logs: GatewayLogs) {}

    /** Notes that a send broke before it was answered. */
    noteBroken(entry: EndpointEntry, body: BodyDigest, now: number): void {
        noteBrokenSend(this.table, { endpoint: entry.id, startedAt: entry.startedAt }, body, now);
    }

    /** Notes that an endpoint can't be reached; requests that broke there just before are suspects. */
    noteUnreachable(entry: EndpointEntry, now: number): void {
        const start = { endpoint: entry.id, startedAt: entry.startedAt };
        const bodies = noteCrash(this.table, start, now);
        if (bodies.length > 0) {
            this.logs.endpoints.warn("Crashed.", { endpoint: entry.id, suspects: bodies.length });
            void this.publish(bodies, startName(start));
        }
    }

    /** Takes in a crash that another router saw. */
    noteKey(key: string): void {
        const [body, start] = key.slice(SUSPECT_PREFIX.length).split("/");
        if (body !== undefined && start !== undefined) {
            addCrash(this.table, brand<BodyDigest>(body), start);
        }
    }

    private async publish(bodies: readonly BodyDigest[], start: string): Promise<void> {
        const lease = await this.store.grantLease(MEMORY_MS);
        if (lease.kind !== "done") {
            this.logs.endpoints.warn("Crash not shared.", { reason: lease.kind });
            return;
        }
        const puts = [...new Set(bodies)].slice(0, MOST_ENTRIES)
            .map((body) => ({ key: `${SUSPECT_PREFIX}${body}/${start}`, value: "", lease: lease.value }));
        const transaction: StoreTransaction = { conditions: new Map(), puts, deletes: [] };
        const result = await this.store.transact(transaction);
        if (result.kind !== "done") {
            this.logs.endpoints.warn("Crash not shared.", { reason: result.kind });
        }
    }
}
